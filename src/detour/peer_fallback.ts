/**
 * The detour plug-in: calls the key-value service directly, and through peers
 * if that fails. After a failed direct call, peers are tried first for a while.
 *
 * @module
 */

import type { Option } from "fp-ts/Option";
import { fromNullable, toUndefined } from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import {
  type Kernel,
  logger,
  type PeerHandler,
  type Props,
  register,
} from "../kernel/mod.ts";
import {
  type Failure,
  Fault,
  type KeyValueEntry,
  type KeyValueLease,
  type Snapshot,
  type Transaction,
  TransactionalKeyValue,
  type TransactionResult,
} from "../outside/mod.ts";
import { type Peers, peersKey } from "../peers/mod.ts";
import { withTimeout } from "../peers/with_timeout.ts";
import { PeerFallback, peerFallbackKey } from "./mod.ts";

const log = logger("detour");

const CALL_MESSAGE = "detour.call";

/** Peers that are tried before a call fails. */
const MAX_PEERS = 3;

/** Covers the peer's own call to the service, which may take 1.5 s. */
const PEER_TIMEOUT_MS = 1800;

/** Time without an answer after which a read goes through peers as well. */
const SLOW_READ_MS = 400;

/** How long peers are tried first after a direct call failed. */
const PEERS_FIRST_MS = 1500;

const entry = z.object({
  key: z.string(),
  value: z.string(),
  revision: z.number(),
});
const failure = z.object({ fault: z.enum(Fault), message: z.string() });

const call = z.discriminatedUnion("name", [
  z.object({ name: z.literal("get"), key: z.string() }),
  z.object({
    name: z.literal("range"),
    prefix: z.string(),
    after: z.string().optional(),
    limit: z.number().optional(),
  }),
  z.object({
    name: z.literal("commit"),
    change: z.object({
      expected: z.array(z.object({ key: z.string(), revision: z.number() })),
      writes: z.array(z.object({
        key: z.string(),
        value: z.string(),
        lease: z.string().optional(),
      })),
      removes: z.array(z.string()).optional(),
    }),
  }),
]);

type Call = z.infer<typeof call>;

const answers = {
  get: z.object({ entry: entry.nullish() }),
  range: z.object({ entries: z.array(entry) }),
  commit: z.object({
    applied: z.boolean(),
    revision: z.number().optional(),
    current: z.array(entry).optional(),
  }),
};

/** A peer's response: the service's answer, or the failure of the call. */
const peerAnswer = z.union([
  z.object({ failure }),
  z.object({ answer: z.unknown() }),
]);

/** Calls the service through peers if it can't be reached directly. */
export class RecordsPeerFallback extends PeerFallback {
  override readonly props: Props = {
    peerHandlers: { [CALL_MESSAGE]: (body) => this.#serve(call.parse(body)) },
  };
  readonly records: TransactionalKeyValue;
  readonly #direct: TransactionalKeyValue;

  constructor(options: { kernel: Kernel; direct: TransactionalKeyValue }) {
    super();
    this.#direct = options.direct;
    this.records = new FallbackKeyValue(options);
  }

  readonly #serve = async (request: Call): ReturnType<PeerHandler> => {
    const result = await callRecords(this.#direct, request);
    return result.ok ? { answer: result.val } : { failure: result.val };
  };
}

/** A key-value service that falls back to peers if direct calls fail. */
class FallbackKeyValue extends TransactionalKeyValue {
  readonly #kernel: Kernel;
  readonly #direct: TransactionalKeyValue;
  readonly #callCounts;
  /** Time until which direct calls are assumed to fail. */
  #downUntil = -Infinity;

  constructor(options: { kernel: Kernel; direct: TransactionalKeyValue }) {
    super();
    this.#kernel = options.kernel;
    this.#direct = options.direct;
    this.#callCounts = options.kernel.counter(
      "toucanwind_detour_calls_total",
      "Calls to the key-value service by way and outcome",
      ["way", "outcome"],
    );
  }

  async get(key: string): Promise<Result<Option<KeyValueEntry>, Failure>> {
    const answer = await this.#call({ name: "get", key });
    return answer.map((body) => fromNullable(answers.get.parse(body).entry));
  }

  async range(
    prefix: string,
    options: { after?: string; limit?: number } = {},
  ): Promise<Result<readonly KeyValueEntry[], Failure>> {
    const answer = await this.#call({ name: "range", prefix, ...options });
    return answer.map((body) => answers.range.parse(body).entries);
  }

  async commit(
    change: Transaction,
  ): Promise<Result<TransactionResult, Failure>> {
    const answer = await this.#call({
      name: "commit",
      change: {
        expected: [...change.expected],
        writes: [...change.writes],
        removes: [...change.removes ?? []],
      },
    });
    return answer.map((body) => {
      const { applied, revision = 0, current = [] } = answers.commit.parse(
        body,
      );
      return applied ? { applied, revision } : { applied, current };
    });
  }

  // Leases and watches belong to this daemon, so they never go through peers.

  snapshot(prefix: string): Promise<Result<Snapshot, Failure>> {
    return this.#direct.snapshot(prefix);
  }

  grant(ttlMs: number): Promise<Result<KeyValueLease, Failure>> {
    return this.#direct.grant(ttlMs);
  }

  renew(id: string): Promise<Result<KeyValueLease, Failure>> {
    return this.#direct.renew(id);
  }

  revoke(id: string): Promise<Result<true, Failure>> {
    return this.#direct.revoke(id);
  }

  watch(key: string, options: {
    known: number;
    waitMs: number;
    signal?: AbortSignal;
  }): Promise<Result<Option<KeyValueEntry>, Failure>> {
    return this.#direct.watch(key, options);
  }

  async #call(request: Call): Promise<Result<unknown, Failure>> {
    const down = this.#kernel.clock.now() < this.#downUntil;
    const paths = [
      () => this.#callDirectly(request),
      () => this.#callThroughPeers(request),
    ];
    if (down) paths.reverse();
    else if (request.name === "get") return await this.#read(request);
    const first = await paths[0]();
    if (first.ok) return first;
    const second = await paths[1]();
    return second.ok ? second : Err(worse(first.val, second.val));
  }

  /**
   * Reads directly, and through peers too where that fails or takes long. The
   * owner of a batch needs the answer before its last proof expires, and a
   * direct call without an answer takes most of that time.
   */
  async #read(request: Call): Promise<Result<unknown, Failure>> {
    const direct = this.#callDirectly(request);
    const soon = await withTimeout(direct, {
      clock: this.#kernel.clock,
      timeoutMs: SLOW_READ_MS,
    });
    if (soon?.ok) return soon;
    const throughPeers = this.#callThroughPeers(request);
    const first = await Promise.race([
      ...soon === undefined ? [direct] : [],
      throughPeers,
    ]);
    if (first.ok) return first;
    const both = await Promise.all([direct, throughPeers]);
    return both.find(({ ok }) => ok) ?? first;
  }

  async #callDirectly(request: Call): Promise<Result<unknown, Failure>> {
    const { clock } = this.#kernel;
    const answer = await callRecords(this.#direct, request);
    this.#callCounts.inc({ way: "direct", outcome: outcomeOf(answer) });
    const down = clock.now() < this.#downUntil;
    if (answer.ok) {
      if (this.#downUntil > -Infinity) log("recovered", { call: request.name });
      this.#downUntil = -Infinity;
    } else {
      this.#downUntil = clock.now() + PEERS_FIRST_MS;
      if (!down) log("call failed", { call: request.name, ...answer.val });
    }
    return answer;
  }

  async #callThroughPeers(request: Call): Promise<Result<unknown, Failure>> {
    const peers = this.#kernel.get(peersKey);
    let fault = Fault.NotSent;
    for (const vm of fallbackPeers(peers)) {
      const answer = await peers.ask(vm, CALL_MESSAGE, request, {
        timeoutMs: PEER_TIMEOUT_MS,
      });
      const parsed = peerAnswer.safeParse(answer.ok ? answer.val : undefined);
      if (!parsed.success) {
        fault = Fault.Unknown;
        continue;
      }
      if ("failure" in parsed.data) {
        if (parsed.data.failure.fault === Fault.Unknown) fault = Fault.Unknown;
        continue;
      }
      this.#callCounts.inc({ way: "peer", outcome: "answered" });
      return Ok(parsed.data.answer);
    }
    this.#callCounts.inc({ way: "peer", outcome: fault });
    return Err({
      fault,
      message: "No peer reaches the service",
    });
  }
}

/** A call without an answer may take effect, whatever the other returned. */
function worse(first: Failure, second: Failure): Failure {
  return first.fault === Fault.Unknown ? first : second;
}

/** The peers to try; ranked per daemon, so that no peer serves all others. */
function fallbackPeers(peers: Peers): readonly string[] {
  const { vm: self } = peers.self;
  return peers.ranked(`detour/${self}`)
    .map(({ vm }) => vm)
    .filter((vm) => vm !== self)
    .slice(0, MAX_PEERS);
}

async function callRecords(
  records: TransactionalKeyValue,
  request: Call,
): Promise<Result<unknown, Failure>> {
  switch (request.name) {
    case "get":
      return (await records.get(request.key))
        .map((found) => ({ entry: toUndefined(found) }));
    case "range":
      return (await records.range(request.prefix, request))
        .map((entries) => ({ entries }));
    case "commit":
      return await records.commit(request.change);
  }
}

function outcomeOf(answer: Result<unknown, Failure>): string {
  return answer.ok ? "answered" : answer.val.fault;
}

register({
  key: peerFallbackKey,
  requires: [peersKey],
  create: (kernel) => {
    const { records } = kernel.platform;
    if (records === undefined) {
      throw new RangeError(
        "The platform has no key-value service with transactions",
      );
    }
    return new RecordsPeerFallback({ kernel, direct: records });
  },
});
