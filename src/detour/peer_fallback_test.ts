import { expect } from "earl";
import { isNone } from "fp-ts/Option";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  CallOutcome,
  LATE_CALL_DELAY_MS,
  MemoryTransactionalKeyValue,
} from "../../stand_ins/memory_transactional_key_value.ts";
import {
  InProcessPeers,
  PeerNetwork,
} from "../../stand_ins/in_process_peers.ts";
import { BatchStore, ChangeStatus } from "../batches/batch_store.ts";
import { OWNER, submission } from "../batches/fixture_test.ts";
import { Kernel, SystemClock } from "../kernel/mod.ts";
import { type Platform, type TransactionalKeyValue } from "../outside/mod.ts";
import { type Peers, peersKey } from "../peers/mod.ts";
import { DEFAULT_TIMING } from "../settings/load.ts";
import type { Settings } from "../settings/mod.ts";
import { RecordsPeerFallback } from "./peer_fallback.ts";
import { peerFallbackKey } from "./mod.ts";

/** The records of a daemon that reaches the service through `direct`. */
function daemon(vm: string, options: {
  network: PeerNetwork;
  direct: TransactionalKeyValue;
}): TransactionalKeyValue {
  const peers: Peers = new InProcessPeers({ vm, network: options.network });
  const kernel = new Kernel({
    settings: { vm, timing: DEFAULT_TIMING } as Settings,
    platform: { records: options.direct } as Platform,
    incarnation: vm,
    registrations: [
      { key: peersKey, requires: [], create: () => peers },
      {
        key: peerFallbackKey,
        requires: [peersKey],
        create: (kernel) =>
          new RecordsPeerFallback({ kernel, direct: options.direct }),
      },
    ],
  });
  const fallback = kernel.get(peerFallbackKey);
  (peers as InProcessPeers).serve(fallback);
  return fallback.records;
}

/** The service as it behaves towards one daemon. */
function recordsWithConduct(
  records: MemoryTransactionalKeyValue,
  conduct: () => CallOutcome,
): TransactionalKeyValue {
  const view = Object.create(records) as MemoryTransactionalKeyValue;
  const through = async <T>(call: () => Promise<T>) => {
    if (conduct() === CallOutcome.Answered) return await call();
    const other = new MemoryTransactionalKeyValue();
    other.outcomeFor = conduct;
    return await other.get("") as T;
  };
  view.get = (key) => through(() => records.get(key));
  view.range = (prefix, options) =>
    through(() => records.range(prefix, options));
  view.commit = (change) => through(() => records.commit(change));
  return view;
}

function startDaemons(conducts: Record<string, () => CallOutcome>) {
  const network = new PeerNetwork();
  const records = new MemoryTransactionalKeyValue();
  const daemons = Object.entries(conducts).map(([vm, conduct]) =>
    daemon(vm, { network, direct: recordsWithConduct(records, conduct) })
  );
  return { network, records, daemons };
}

const answered = () => CallOutcome.Answered;
const silent = () => CallOutcome.Silent;
const refused = () => CallOutcome.Refused;

test("a daemon that is cut off writes and reads through a peer", async () => {
  const { records, daemons: [isolated] } = startDaemons({
    a: silent,
    b: answered,
  });
  const done = await isolated.swap("key", { value: "v", expected: 0 });
  expect(done.ok && done.val.applied).toEqual(true);
  expect(records.entriesUnder("key").map(({ value }) => value)).toEqual(["v"]);
  const found = await isolated.get("key");
  expect(found.ok && !isNone(found.val) && found.val.value.value).toEqual("v");
});

test("a read without an answer goes through a peer before it times out", async () => {
  const network = new PeerNetwork();
  const records = new MemoryTransactionalKeyValue();
  const unanswered = Object.create(records) as MemoryTransactionalKeyValue;
  unanswered.get = () => new Promise(() => {});
  const isolated = daemon("a", { network, direct: unanswered });
  daemon("b", { network, direct: records });
  const found = await Promise.race([isolated.get("key"), sleep(1000)]);
  expect(found?.ok).toEqual(true);
});

test("a daemon refused by the service reads through a peer", async () => {
  const { daemons: [isolated] } = startDaemons({ a: refused, b: answered });
  expect((await isolated.range("")).ok).toEqual(true);
});

test("a call fails if no daemon reaches the service", async () => {
  const { daemons: [isolated] } = startDaemons({ a: refused, b: refused });
  const failed = await isolated.get("key");
  expect(failed.err && failed.val.message).toEqual(
    "No peer reaches the service",
  );
});

test("a call without an answer stays unknown though a peer was refused", async () => {
  const { daemons: [isolated] } = startDaemons({ a: silent, b: refused });
  const failed = await isolated.commit({ expected: [], writes: [] });
  expect(failed.err && failed.val.fault).toEqual("unknown" as never);
});

/** Submits a batch whose calls to the service end as listed, one after another. */
async function submitWith(outcomes: readonly CallOutcome[]) {
  const { records, daemons: [first] } = startDaemons({
    a: answered,
    b: answered,
    c: answered,
  });
  const rest = [...outcomes];
  records.outcomeFor = () => rest.shift() ?? CallOutcome.Answered;
  const store = new BatchStore({ records: first, clock: new SystemClock() });
  const { changed } = await store.create(submission(), {
    ...OWNER,
    timeoutMs: 0,
  });
  await sleep(2 * LATE_CALL_DELAY_MS);
  const stored = records.entriesUnder("").length > 0;
  return { outcomes, calls: outcomes.length - rest.length, changed, stored };
}

test("a batch that is refused is never stored, however its calls end", async () => {
  const all = Object.values(CallOutcome);
  const submitted = await Promise.all(
    all.flatMap((own) =>
      all.flatMap((peer) => all.map((other) => submitWith([own, peer, other])))
    ),
  );
  const wrong = submitted.filter(({ changed, stored }) =>
    changed === ChangeStatus.Conflict ||
    changed === ChangeStatus.Refused && stored ||
    changed === ChangeStatus.Applied && !stored
  );
  expect(wrong).toEqual([]);
  expect(new Set(submitted.map(({ calls }) => calls)))
    .toEqual(new Set([1, 2, 3]));
  expect(new Set(submitted.map(({ changed }) => changed))).toEqual(
    new Set([ChangeStatus.Applied, ChangeStatus.Refused, ChangeStatus.Unknown]),
  );
});
