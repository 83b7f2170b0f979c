import { expect } from "earl";
import { test } from "node:test";
import { Random } from "../bench/random.ts";
import { ticket, upstream } from "../dispatch/fixtures_test.ts";
import { ShardLeader, type WaitResult } from "../dispatch/shard_leader.ts";
import { Outcome } from "../dispatch/mod.ts";
import { ManualClock } from "../kernel/mod.ts";
import { Paces } from "./upstream_speeds.ts";

const UPSTREAMS = 15;
const SLOTS = 6;
const ITEMS = 56;
/** Time for an event; each third upstream needs 1.3 times as long. */
const EVENT_MS = 48;
const SLOWER = 1.3;

function eventMs(upstream: string): number {
  return Number(upstream) % 3 === 2 ? EVENT_MS * SLOWER : EVENT_MS;
}

/** Runs steps one after the other; answers with the time that each took. */
function play(options: { seed: number; steps: number; avoids: boolean }) {
  const clock = new ManualClock();
  const random = new Random({ seed: options.seed });
  const paces = new Paces({ clock });
  const keeper = new ShardLeader({ clock });
  keeper.setUpstreams(
    Array.from(
      { length: UPSTREAMS },
      (_, n) => upstream({ id: `${n}`, slots: SLOTS }),
    ),
  );
  clock.advance(10_000);
  return Array.from({ length: options.steps }, () => {
    const lengths = Array.from(
      { length: ITEMS },
      () => Math.ceil(Math.min(143, 15 * Math.exp(1.1 * normal(random)))),
    );
    // Hints are right only at the median.
    const items = lengths
      .map((events) => ({
        events,
        hint: events * Math.exp(normal(random) / 2),
      }))
      .sort((a, b) => b.hint - a.hint);
    const runs = items.map(({ events }, rank) => {
      const avoid = options.avoids && rank < ITEMS / 2 ? paces.behind() : [];
      let answer: WaitResult | undefined;
      keeper.submit(ticket({ avoid }), (given) => answer = given);
      if (answer === undefined || !("permit" in answer)) {
        throw new Error("There is room for all");
      }
      const { permit, upstream: { id } } = answer;
      return { permit, id, tookMs: events * eventMs(id), events };
    });
    for (const { permit, id, events } of runs) {
      for (let n = 0; n < events; n++) paces.seen(id, eventMs(id));
      keeper.release(permit, Outcome.Served, 1);
    }
    const stepMs = Math.max(...runs.map(({ tookMs }) => tookMs));
    clock.advance(stepMs);
    return stepMs;
  });
}

function normal(random: Random): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.next()));
  return radius * Math.cos(2 * Math.PI * random.next());
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

test("a step is done sooner when what takes long avoids slower upstreams", () => {
  for (const seed of [1, 2, 3]) {
    const blind = play({ seed, steps: 40, avoids: false });
    const ours = play({ seed, steps: 40, avoids: true });
    expect(mean(ours.slice(1)) < 0.95 * mean(blind.slice(1))).toEqual(true);
  }
});
