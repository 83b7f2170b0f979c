import { expect } from "earl";
import { test } from "node:test";
import { Role, type Vm } from "../outside/mod.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { demand, DispatchCluster, upstream, vm } from "./fixtures_test.ts";
import { Outcome } from "./mod.ts";
import { hash, partitionIntoShards } from "./shards.ts";

const RATE_PER_S = 8;

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Daemons of a pool with one upstream, which states this cold time. */
async function withDaemons(
  { count, coldMs, others = [] }: {
    count: number;
    coldMs: number;
    others?: readonly Vm[];
  },
  run: (
    entries: readonly Dispatcher[],
    cluster: DispatchCluster,
  ) => Promise<void>,
): Promise<void> {
  const cold = vm({ coldMs, bornAt: 1, slots: 20 });
  const cluster = new DispatchCluster({
    vms: [cold, ...others],
    coldStart: { durationMs: 60_000, requestsPerS: RATE_PER_S },
  });
  const entries = Array.from({ length: count }, (_, n) => cluster.add(`e${n}`));
  await cluster.start();
  try {
    await run(entries, cluster);
  } finally {
    await cluster.stop();
  }
}

/** How many requests start while all daemons ask for this long. */
async function startsIn(
  entries: readonly Dispatcher[],
  ms: number,
): Promise<number> {
  let starts = 0;
  const abort = new AbortController();
  const run = async (entry: Dispatcher) => {
    while (!abort.signal.aborted) {
      const permit = await entry.acquire(demand(), abort.signal);
      if (permit.err) return;
      starts += 1;
      permit.val.release(Outcome.Served, 1);
      await pause(1);
    }
  };
  const runs = entries.flatMap((entry) => [run(entry), run(entry)]);
  await pause(ms);
  abort.abort();
  await Promise.all(runs);
  return starts;
}

// Guards against a list or a configuration that doesn't reach the leader.
test("daemons pace the starts on an upstream that the list shows as cold", () =>
  withDaemons({ count: 3, coldMs: 60_000 }, async (entries) => {
    const starts = await startsIn(entries, 1500);
    expect([starts, starts >= 4 && starts <= RATE_PER_S * 1.5 + 2])
      .toEqual([starts, true]);
  }));

// Guards against an answer that only the daemon that got it obeys.
test("an answer to one daemon paces what all start", () =>
  withDaemons({ count: 3, coldMs: 0 }, async (entries, cluster) => {
    const before = await startsIn(entries, 500);
    expect([before, before > RATE_PER_S * 3]).toEqual([before, true]);
    cluster.announceCold("e1", "up-1", 60_000);
    await pause(100);
    const starts = await startsIn(entries, 1500);
    expect([starts, starts >= 4 && starts <= RATE_PER_S * 1.6 + 2])
      .toEqual([starts, true]);
  }));

// Guards against a leader on a daemon that has not seen the evacuation.
test("a leader on a daemon that started after an evacuation paces the upstreams of the zone", () =>
  withDaemons({ count: 2, coldMs: 0 }, async (entries, cluster) => {
    cluster.evacuate(["zone-1"]);
    await pause(50);
    cluster.evacuate([]);
    const before = cluster.leaderOf("shard/lm/0");
    const score = (id: string) => hash(`shard/lm/0@${id}`);
    const successor = Array.from({ length: 100 }, (_, n) => `later-${n}`)
      .find((id) => ["e0", "e1"].every((one) => score(id) > score(one))) ?? "";
    cluster.add(successor);
    await cluster.nodes.get(successor)?.start();
    for (const listener of cluster.listeners) listener();
    const leader = cluster.leaderOf("shard/lm/0");
    expect([leader, leader === before]).toEqual([successor, false]);
    const starts = await startsIn(entries, 1500);
    expect([starts, starts >= 4 && starts <= RATE_PER_S * 1.6 + 2])
      .toEqual([starts, true]);
  }));

// Guards against a refusal by one shard that ends the request.
test("a request that a wholly cold shard can't start in time is served by another shard", async () => {
  const ids = Array.from({ length: 24 }, (_, n) => `u${n}`);
  const [first] = partitionIntoShards(ids.map((id) => upstream({ id })));
  const cold = new Set(first.map(({ id }) => id));
  const cluster = new DispatchCluster({
    vms: ids.map((id) =>
      vm({ id, bornAt: 1, coldMs: cold.has(id) ? 60_000 : 0 })
    ),
    coldStart: { durationMs: 60_000, requestsPerS: 0.5 },
  });
  const entry = cluster.add("e1");
  await cluster.start();
  try {
    for (let n = 0; n < 12; n++) {
      const permit = (await entry.acquire(
        demand({ remainingMs: 500 }),
        new AbortController().signal,
      )).unwrap();
      expect(cold.has(permit.target.id)).toEqual(false);
      permit.release(Outcome.Served, 1);
    }
  } finally {
    await cluster.stop();
  }
});

// Guards against a minority of the daemons that uses the whole rate.
test("daemons that reach at most half of those listed use half of the rate", () => {
  const others = ["e0", "e1", "e2", "e3"]
    .map((id) => vm({ id, role: Role.Entry, pool: "" }));
  const options = { count: 2, coldMs: 60_000, others };
  return withDaemons(options, async (entries) => {
    const starts = await startsIn(entries, 2000);
    expect([starts, starts >= 4 && starts <= RATE_PER_S + 1])
      .toEqual([starts, true]);
  });
});
