import { expect } from "earl";
import { test } from "node:test";
import { ManualClock } from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";
import { demand, vm } from "./fixtures_test.ts";
import { Fleet, type Shard } from "./fleet.ts";
import type { ShardSummary } from "./messages.ts";
import { type Demand, NO_CRASH_LIMIT } from "./mod.ts";
import type { VersionSlots } from "./model_capacity.ts";
import { Quarantine, RunEnd } from "./quarantine.ts";
import { preferredShard } from "./shard_selection.ts";
import { type Move, MoveReason, ShardSelector } from "./shard_selector.ts";
import { ShardSummaries } from "./summaries.ts";

const MODEL = "m";

/** What the leader of a shard publishes, for one model unless stated. */
interface Published {
  readonly versions?: readonly VersionSlots[];
  readonly queued?: number;
  /** Load without regard to models. */
  readonly running?: number;
  /** Whether the leader is of a build that publishes nothing by model. */
  readonly old?: boolean;
}

/** A selector that knows three shards of 10 upstreams each. */
function selector(options: { random?: () => number } = {}) {
  const clock = new ManualClock();
  const ids = Array.from({ length: 30 }, (_, n) => `up-${n}`);
  const fleet = new Fleet({ vms: ids.map((id) => vm({ id })) });
  const quarantine = new Quarantine({ clock });
  const summaries = new ShardSummaries({ clock, peers: {} as Peers });
  const shards = new ShardSelector({
    availabilityZone: "zone-1",
    quarantine,
    summaries,
    fleet,
    random: options.random ?? (() => 0),
  });
  let seq = 0;
  const publish = (index: number, part: Published = {}) => {
    const { versions, queued = 0, running = 0, old = false } = part;
    const models: ShardSummary["models"] = versions === undefined
      ? {}
      : { [MODEL]: { versions, queued } };
    summaries.publish({
      shard: fleet.shards[index].name,
      pool: "lm",
      keeper: `leader-${index}`,
      seq: ++seq,
      running,
      queued,
      slots: 10,
      tenants: {},
      upstreams: [],
      ...old ? {} : { models },
    });
  };
  const ask = (part: Partial<Demand> = {}) => demand({ model: MODEL, ...part });
  const better = (at: number, wanted: Demand, refusedBy: string[] = []) =>
    shards.betterThan(fleet.shards[at], wanted, {
      refusedBy: new Set(refusedBy),
    });
  return { shards, fleet, quarantine, publish, ask, better };
}

function move(shard: Shard, reason: MoveReason): Move {
  return { shard, reason };
}

test("a request waits only where an upstream has its version", () => {
  const { shards, fleet, publish, ask } = selector();
  publish(0, { versions: [[4, 10, 0]] });
  publish(1, { versions: [[5, 2, 2]], queued: 8 });
  publish(2, { versions: [[3, 10, 0]] });
  for (let n = 0; n < 20; n++) {
    expect(shards.select(ask({ minVersion: 5 }))).toEqual(fleet.shards[1]);
  }
});

test("requests of one prompt meet at one leader while that has free slots", () => {
  const { shards, fleet, publish, ask } = selector();
  const key = "prompt";
  const preferred = preferredShard(key, fleet.shards) as Shard;
  const at = fleet.shards.indexOf(preferred);
  for (const index of [0, 1, 2]) publish(index, { versions: [[1, 10, 0]] });
  publish(at, { versions: [[1, 10, 2]] });
  const selected = () => shards.select(ask({ prefixes: ["x", key] }));
  expect(selected()).toEqual(preferred);
  publish(at, { versions: [[1, 10, 5]] });
  expect(selected() === preferred).toEqual(false);
  for (const index of [0, 1, 2]) publish(index, { versions: [[1, 10, 9]] });
  publish(at, { versions: [[1, 10, 10]] });
  expect(selected() === preferred).toEqual(false);
});

test("a pool whose leaders list no models is served as without them", () => {
  const { shards, publish, ask, better } = selector();
  for (const index of [0, 1, 2]) publish(index, { running: 9 * index });
  for (let n = 0; n < 20; n++) {
    const wanted = ask();
    const { model: _, ...plain } = wanted;
    const selected = shards.select(wanted);
    expect(selected).toEqual(shards.select(plain));
    expect(better(2, wanted)).toEqual(undefined);
  }
});

test("shards of leaders of earlier builds are neither avoided nor left", () => {
  const { shards, fleet, publish, ask, better } = selector();
  publish(0, { old: true, running: 2 });
  publish(1, { versions: [[1, 10, 9]] });
  publish(2, { versions: [[0, 10, 0]] });
  const wanted = ask({ minVersion: 1 });
  expect(shards.select(wanted)).toEqual(fleet.shards[0]);
  expect(better(0, wanted)).toEqual(undefined);
});

test("a request doesn't wait where all that suits it is excluded", () => {
  const { shards, fleet, publish, ask, better } = selector();
  publish(0, { versions: [[1, 1, 0], [0, 9, 0]] });
  publish(1, { versions: [[1, 1, 1]], queued: 3 });
  const excluded = fleet.shards[0].upstreams[0].id;
  const wanted = ask({ minVersion: 1, exclude: [excluded] });
  expect(shards.select(wanted)).toEqual(fleet.shards[1]);
  expect(better(0, wanted))
    .toEqual(move(fleet.shards[1], MoveReason.NoSlots));
});

test("a wait leaves a shard without slots for the one that has some", () => {
  const { fleet, publish, ask, better } = selector({ random: () => 0.99 });
  publish(0, { versions: [[1, 10, 0]] });
  publish(1, { versions: [[2, 2, 2]], queued: 9 });
  publish(2, { versions: [] });
  const wanted = ask({ minVersion: 2 });
  const expected = move(fleet.shards[1], MoveReason.NoSlots);
  expect(better(0, wanted)).toEqual(expected);
  expect(better(2, wanted)).toEqual(expected);
  expect(better(1, wanted)).toEqual(undefined);
  expect(better(0, wanted, [fleet.shards[1].name])).toEqual(undefined);
});

test("a lone wait doesn't go back and forth between equal shards", () => {
  const { shards, fleet, publish, ask, better } = selector();
  for (const index of [0, 1, 2]) publish(index, { versions: [[1, 1, 1]] });
  shards.addWait(fleet.shards[0], MODEL);
  expect(better(0, ask())).toEqual(undefined);
  publish(0, { versions: [[1, 1, 1]], queued: 1 });
  expect(better(0, ask())).toEqual(undefined);
});

test("a daemon's own waits count once, whether its leader knows of them or not", () => {
  const { shards, fleet, publish, ask, better } = selector();
  publish(0, { versions: [[1, 10, 10]] });
  publish(1, { versions: [[1, 10, 10]], queued: 5 });
  publish(2, { versions: [[1, 10, 10]], queued: 5 });
  const waits = Array.from(
    { length: 8 },
    () => shards.addWait(fleet.shards[0], MODEL),
  );
  expect(better(0, ask())).toEqual(undefined);
  publish(0, { versions: [[1, 10, 10]], queued: 8 });
  expect(better(0, ask())).toEqual(undefined);
  // Those that have left are not taken for others that still wait.
  for (const end of waits.slice(1)) end();
  expect(shards.select(ask())).toEqual(fleet.shards[0]);
});

test("waits of one daemon that leave a full shard stop when it is no worse", () => {
  const { shards, fleet, publish, ask, better } = selector();
  const ends = Array.from(
    { length: 20 },
    () => shards.addWait(fleet.shards[0], MODEL),
  );
  publish(0, { versions: [[1, 10, 10]], queued: 20 });
  publish(1, { versions: [[1, 10, 10]] });
  let moved = 0;
  for (const end of ends) {
    if (better(0, ask()) === undefined) continue;
    end();
    shards.addWait(fleet.shards[1], MODEL);
    moved += 1;
  }
  expect(moved).toEqual(7);
});

test("equal suspects meet at one leader that can run them, and stay there", () => {
  const { shards, fleet, quarantine, publish, ask, better } = selector();
  const wanted = ask({ minVersion: 1, crashLimit: NO_CRASH_LIMIT });
  const { fingerprint } = wanted;
  const preferred = preferredShard(fingerprint, fleet.shards) as Shard;
  const at = fleet.shards.indexOf(preferred);
  const others = fleet.shards.filter((one) => one !== preferred);
  quarantine.record(fingerprint, {
    permit: "p",
    upstream: "up-0",
    ranMs: 10,
    isolated: false,
    end: RunEnd.Crashed,
  });
  for (const index of [0, 1, 2]) publish(index, { versions: [[1, 10, 0]] });
  publish(at, { versions: [[1, 10, 10]], queued: 50 });
  expect(shards.select(wanted)).toEqual(preferred);
  expect(better(at, wanted)).toEqual(undefined);
  publish(at, { versions: [[0, 10, 0]] });
  const next = preferredShard(fingerprint, others) as Shard;
  expect(shards.select(wanted)).toEqual(next);
  expect(better(at, wanted)).toEqual(move(next, MoveReason.NoSlots));
});
