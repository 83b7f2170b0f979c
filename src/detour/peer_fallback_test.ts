import { expect } from "earl";
import { isNone } from "fp-ts/Option";
import { test } from "node:test";
import { Conduct, MemoryRecords } from "../../stand_ins/records.ts";
import { PeerNetwork, SoloPeers } from "../../stand_ins/peers.ts";
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
  const peers: Peers = new SoloPeers({ vm, network: options.network });
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
  (peers as SoloPeers).serve(fallback);
  return fallback.records;
}

/** The service as it behaves towards one daemon. */
function recordsWithConduct(
  records: MemoryRecords,
  conduct: () => Conduct,
): TransactionalKeyValue {
  const view = Object.create(records) as MemoryRecords;
  const through = async <T>(call: () => Promise<T>) => {
    if (conduct() === Conduct.Answered) return await call();
    const other = new MemoryRecords();
    other.conduct = conduct;
    return await other.get("") as T;
  };
  view.get = (key) => through(() => records.get(key));
  view.range = (prefix, options) =>
    through(() => records.range(prefix, options));
  view.commit = (change) => through(() => records.commit(change));
  return view;
}

function startDaemons(conducts: Record<string, () => Conduct>) {
  const network = new PeerNetwork();
  const records = new MemoryRecords();
  const daemons = Object.entries(conducts).map(([vm, conduct]) =>
    daemon(vm, { network, direct: recordsWithConduct(records, conduct) })
  );
  return { network, records, daemons };
}

const answered = () => Conduct.Answered;
const silent = () => Conduct.Silent;
const refused = () => Conduct.Refused;

test("a daemon that is cut off writes and reads through a peer", async () => {
  const { records, daemons: [isolated] } = startDaemons({
    a: silent,
    b: answered,
  });
  const done = await isolated.swap("key", { value: "v", expected: 0 });
  expect(done.ok && done.val.applied).toEqual(true);
  expect(records.under("key").map(({ value }) => value)).toEqual(["v"]);
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
