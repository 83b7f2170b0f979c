import { expect } from "earl";
import { test } from "node:test";
import { ManualClock } from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";
import { demand, vm } from "./fixtures_test.ts";
import { Fleet, type Shard } from "./fleet.ts";
import type { ShardSummary } from "./messages.ts";
import type { Demand } from "./mod.ts";
import type { VersionSlots } from "./model_capacity.ts";
import { Quarantine } from "./quarantine.ts";
import { type Move, MoveReason, ShardSelector } from "./shard_selector.ts";
import { ShardSummaries } from "./summaries.ts";

const MODEL = "m";

/** What the leader of a shard publishes, for one model unless stated. */
interface Published {
  readonly versions?: readonly VersionSlots[];
  readonly queued?: number;
  /** Load without regard to models. */
  readonly running?: number;
}

/** A selector that knows three shards of 10 upstreams each. */
function selector(options: { random?: () => number } = {}) {
  const clock = new ManualClock();
  const ids = Array.from({ length: 30 }, (_, n) => `up-${n}`);
  const fleet = new Fleet({ vms: ids.map((id) => vm({ id })) });
  const summaries = new ShardSummaries({ clock, peers: {} as Peers });
  const shards = new ShardSelector({
    availabilityZone: "zone-1",
    quarantine: new Quarantine({ clock }),
    summaries,
    fleet,
    random: options.random ?? (() => 0),
  });
  let seq = 0;
  const publish = (index: number, part: Published = {}) => {
    const { versions, queued = 0, running = 0 } = part;
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
      models,
    });
  };
  const ask = (part: Partial<Demand> = {}) => demand({ model: MODEL, ...part });
  const better = (at: number, wanted: Demand) =>
    shards.betterThan(fleet.shards[at], wanted);
  return { shards, fleet, publish, ask, better };
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
});
