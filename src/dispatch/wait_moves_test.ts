import { expect } from "earl";
import { setMaxListeners } from "node:events";
import { test } from "node:test";
import { demand, DispatchCluster, vm } from "./fixtures_test.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { Fleet, type Shard } from "./fleet.ts";
import { type Demand, Outcome, type Permit } from "./mod.ts";

const idle = new AbortController().signal;
setMaxListeners(0, idle);

/** Time after which the daemons know all shards' figures. */
const PUBLISHED_MS = 800;

/** Time within which all that can run must have been granted. */
const GRANTED_MS = 8000;

/**
 * Four daemons and a pool of two models on three shards of 12, 5 and 13 engines
 * with two slots each.
 */
async function cluster(
  run: (options: {
    sim: DispatchCluster;
    entries: ReadonlyMap<string, Dispatcher>;
    shards: readonly Shard[];
    /** Sets the version of model `a` on a shard's engines. */
    update: (shard: Shard, version: number, count?: number) => void;
  }) => Promise<void>,
): Promise<void> {
  const vms = Array.from({ length: 30 }, (_, n) => vm({ id: `up-${n}` }));
  const sim = new DispatchCluster({ vms, gossipMs: 50 });
  const { shards } = new Fleet({ vms });
  const update = (shard: Shard, version: number, count = Infinity) => {
    for (const { id } of shard.upstreams.slice(0, count)) {
      sim.loads.set(id, { weightVersions: { a: version, b: 5 } });
    }
  };
  for (const shard of shards) update(shard, 1);
  const names = ["e1", "e2", "e3", "e4"];
  const entries = new Map(names.map((id) => [id, sim.add(id)]));
  try {
    await sim.start();
    await run({ sim, entries, shards, update });
  } finally {
    await sim.stop();
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Requests of one batch, which need version 2 of model `a`. */
function submit(
  entries: Iterable<Dispatcher>,
  options: { each: number; part?: Partial<Demand> },
): Promise<readonly (Permit & { waitedMs: number })[]> {
  const startedAt = performance.now();
  const waits = [...entries].flatMap((entry) =>
    Array.from({ length: options.each }, async () => {
      const wanted = demand({
        model: "a",
        minVersion: 2,
        remainingMs: GRANTED_MS,
        ...options.part,
      });
      const permit = (await entry.acquire(wanted, idle)).unwrap();
      return { ...permit, waitedMs: performance.now() - startedAt };
    })
  );
  return Promise.all(waits);
}

function isOf(shard: Shard, { target }: Permit): boolean {
  return shard.upstreams.some(({ id }) => id === target.id);
}

/** Waits until no more permits are in use than are held here. */
async function settled(entry: Dispatcher, held: number): Promise<void> {
  const endsAt = performance.now() + 2000;
  while (performance.now() < endsAt) {
    const { running, queued } = await entry.pressure("lm");
    if (running === held && queued === 0) return;
    await pause(20);
  }
  const { running, queued } = await entry.pressure("lm");
  expect({ running, queued }).toEqual({ running: held, queued: 0 });
}

test("all requests are granted at once where the only fresh weights are", () =>
  cluster(async ({ entries, shards, update }) => {
    update(shards[1], 2);
    await pause(PUBLISHED_MS);
    const permits = await submit(entries.values(), { each: 2 });
    expect(permits.every((permit) => isOf(shards[1], permit))).toEqual(true);
    expect(Math.max(...permits.map(({ waitedMs }) => waitedMs)) < 1000)
      .toEqual(true);
  }));

test("requests that wait follow their weights to another shard, none twice", () =>
  cluster(async ({ entries, shards, update }) => {
    const [first, , last] = shards;
    update(first, 2, 1);
    await pause(PUBLISHED_MS);
    const [one] = entries.values();
    const held = await submit([one], { each: 2 });
    expect(held.every((permit) => isOf(first, permit))).toEqual(true);
    const waiting = submit(entries.values(), { each: 3 });
    await pause(PUBLISHED_MS);
    update(first, 0);
    update(last, 2);
    const permits = await waiting;
    expect(permits.every((permit) => isOf(last, permit))).toEqual(true);
    await settled(one, held.length + permits.length);
  }));

test("requests whose leader dies are granted where the weights went meanwhile", () =>
  cluster(async ({ sim, entries, shards, update }) => {
    const [first, , last] = shards;
    const lost = sim.leaderOf(first.name);
    const others = [...entries].filter(([id]) => id !== lost)
      .map(([, entry]) => entry);
    update(first, 2, 1);
    await pause(PUBLISHED_MS);
    const held = await submit(others.slice(0, 1), { each: 2 });
    const waiting = submit(others, { each: 4 });
    await pause(PUBLISHED_MS);
    sim.failDaemon(lost);
    update(first, 0);
    update(last, 2);
    const permits = await waiting;
    expect(permits.every((permit) => isOf(last, permit))).toEqual(true);
    for (const permit of held) permit.release(Outcome.Served, 1);
    await settled(others[0], permits.length);
  }));

test("requests whose next leader dies as they are moved there are granted by its successor", () =>
  cluster(async ({ sim, entries, shards, update }) => {
    const [first, , last] = shards;
    const lost = sim.leaderOf(last.name);
    const others = [...entries].filter(([id]) => id !== lost)
      .map(([, entry]) => entry);
    await pause(PUBLISHED_MS);
    update(first, 2, 1);
    await pause(PUBLISHED_MS);
    const held = await submit(others.slice(0, 1), { each: 2 });
    const waiting = submit(others, { each: 4 });
    update(first, 0);
    update(last, 2);
    await pause(PUBLISHED_MS);
    sim.failDaemon(lost);
    const permits = await waiting;
    expect(permits.every((permit) => isOf(last, permit))).toEqual(true);
    await settled(others[0], held.length + permits.length);
  }));
