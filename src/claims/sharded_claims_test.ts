import { expect } from "earl";
import * as O from "fp-ts/Option";
import { test } from "node:test";
import { Err, Ok, type Result } from "ts-results";
import {
  Kernel,
  type PeerHandler,
  Reason,
  Refusal,
  Verdict,
} from "../kernel/mod.ts";
import { type Member, Peers, peersKey } from "../peers/mod.ts";
import type { Platform } from "../outside/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { UnreliableKeyValue } from "./unreliable_key_value.ts";
import { ShardedClaims } from "./sharded_claims.ts";
import {
  claimsKey,
  ClaimState,
  type IdempotencyScope,
  OutcomeKind,
} from "./mod.ts";

/** Connects the daemons of a test. */
interface FakeNetwork {
  readonly vms: string[];
  readonly handlers: Map<string, Readonly<Record<string, PeerHandler>>>;
  /** Daemons whose responses are lost. */
  readonly losesAnswers: Set<string>;
}

class FakePeers extends Peers {
  readonly self: Member;
  readonly #net: FakeNetwork;

  constructor(vm: string, net: FakeNetwork) {
    super();
    this.self = member(vm);
    this.#net = net;
  }

  members(): readonly Member[] {
    return this.#net.vms.map(member);
  }

  ranked(): readonly Member[] {
    return this.members();
  }

  async ask(
    vm: string,
    kind: string,
    body: unknown,
  ): Promise<Result<unknown, Refusal>> {
    const handlers = this.#net.handlers.get(vm);
    if (handlers === undefined) return Err(lost(Verdict.NotRun));
    const answer = await handlers[kind](
      body,
      this.self.vm,
      new AbortController().signal,
    );
    if (this.#net.losesAnswers.has(vm)) return Err(lost(Verdict.MayHaveRun));
    return Ok(answer);
  }

  onChange(): () => void {
    return () => {};
  }
}

function member(vm: string): Member {
  return {
    vm,
    incarnation: vm,
    address: "",
    http: "",
    availabilityZone: "",
    leaving: false,
    cores: 1,
  };
}

function lost(verdict: Verdict): Refusal {
  return new Refusal({
    verdict,
    reason: Reason.PeerFailed,
    message: "Response lost",
  });
}

/** Runs `body` with the claims of two daemons; the first owns all shards. */
async function withDaemons(
  body: (a: ShardedClaims, b: ShardedClaims, net: FakeNetwork) => Promise<void>,
): Promise<void> {
  const net: FakeNetwork = {
    vms: ["a", "b"],
    handlers: new Map(),
    losesAnswers: new Set(),
  };
  const keyValue = new UnreliableKeyValue();
  const [a, b] = net.vms.map((vm) => daemon(vm, net, keyValue));
  try {
    await body(a, b, net);
  } finally {
    await Promise.all([a.stop(), b.stop()]);
  }
}

function daemon(
  vm: string,
  net: FakeNetwork,
  keyValue: UnreliableKeyValue,
): ShardedClaims {
  const kernel = new Kernel({
    settings: { timing: { claimRetentionMs: 60_000 } } as Settings,
    platform: { keyValue } as unknown as Platform,
    incarnation: vm,
    registrations: [
      { key: peersKey, requires: [], create: () => new FakePeers(vm, net) },
      {
        key: claimsKey,
        requires: [peersKey],
        create: (kernel) => new ShardedClaims({ kernel }),
      },
    ],
  });
  const claims = kernel.get(claimsKey) as ShardedClaims;
  net.handlers.set(vm, claims.props.peerHandlers);
  return claims;
}

const SCOPE: IdempotencyScope = { organisation: "t", route: "r", key: "k" };

const ANSWERED = {
  ending: OutcomeKind.Answered,
  status: 200,
  contentType: "text/plain",
  body: "done",
  whole: true,
  digest: "",
};

async function standing(claims: ShardedClaims) {
  const claimed = await claims.claim(SCOPE, "f");
  return claimed.ok ? claimed.val.standing : claimed.val.verdict;
}

test("a retry through another entry does not run", async () => {
  await withDaemons(async (a, b) => {
    const claimed = (await a.claim(SCOPE, "f")).unwrap();
    expect(await standing(b)).toEqual(ClaimState.Held);
    if (claimed.standing !== ClaimState.Granted) throw new Error("Not granted");
    a.settle(claimed.claim, ANSWERED);
    await a.drain();
    expect(await standing(b)).toEqual(ClaimState.Ended);
    expect((await b.find(SCOPE)).unwrap())
      .toEqual(O.some({ outcome: O.some(ANSWERED) }));
  });
});

test("a new owner knows the claims granted by the dead owner", async () => {
  await withDaemons(async (a, b, net) => {
    expect(await standing(a)).toEqual(ClaimState.Granted);
    net.handlers.delete("a");
    net.vms.shift();
    expect(await standing(b)).toEqual(ClaimState.Held);
  });
});

test("claims are granted before the owner's death is detected", async () => {
  await withDaemons(async (_a, b, net) => {
    net.handlers.delete("a");
    expect(await standing(b)).toEqual(ClaimState.Granted);
    expect(await standing(b)).toEqual(ClaimState.Held);
  });
});

test("a claim whose response was lost is refused and released", async () => {
  await withDaemons(async (a, b, net) => {
    net.losesAnswers.add("a");
    expect(await standing(b)).toEqual(Verdict.NotRun);
    net.losesAnswers.clear();
    await a.drain();
    expect(await standing(b)).toEqual(ClaimState.Granted);
  });
});
