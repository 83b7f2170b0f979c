import { expect } from "earl";
import { isNone } from "fp-ts/Option";
import { test } from "node:test";
import {
  CallOutcome,
  MemoryTransactionalKeyValue,
} from "../../stand_ins/memory_transactional_key_value.ts";
import {
  InProcessPeers,
  PeerNetwork,
} from "../../stand_ins/in_process_peers.ts";
import { Kernel } from "../kernel/mod.ts";
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
