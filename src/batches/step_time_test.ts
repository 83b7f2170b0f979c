import { expect } from "earl";
import { test } from "node:test";
import { Random } from "../bench/random.ts";
import { ticket, upstream } from "../dispatch/fixtures_test.ts";
import { ShardLeader, type WaitResult } from "../dispatch/shard_leader.ts";
import { Outcome } from "../dispatch/mod.ts";
import { ManualClock } from "../kernel/mod.ts";
import { UpstreamSpeeds } from "./upstream_speeds.ts";

const UPSTREAMS = 15;
const SLOTS_PER_UPSTREAM = 6;
const ITEMS_PER_STEP = 56;
/** Time per event; every third upstream takes 1.3 times as long. */
const EVENT_MS = 48;
const SLOW_UPSTREAM_FACTOR = 1.3;

function eventMs(upstream: string): number {
  return Number(upstream) % 3 === 2
    ? EVENT_MS * SLOW_UPSTREAM_FACTOR
    : EVENT_MS;
}

/** Simulates consecutive steps; returns the time that each took. */
function simulateSteps(
  options: { seed: number; steps: number; avoidLagging: boolean },
) {
  const clock = new ManualClock();
  const random = new Random({ seed: options.seed });
  const speeds = new UpstreamSpeeds({ clock });
  const leader = new ShardLeader({ clock });
  leader.setUpstreams(
    Array.from(
      { length: UPSTREAMS },
      (_, n) => upstream({ id: `${n}`, slots: SLOTS_PER_UPSTREAM }),
    ),
  );
  clock.advance(10_000);
  return Array.from({ length: options.steps }, () => {
    const lengths = Array.from(
      { length: ITEMS_PER_STEP },
      () => Math.ceil(Math.min(143, 15 * Math.exp(1.1 * normal(random)))),
    );
    // Length hints are exact only in the median.
    const items = lengths
      .map((events) => ({
        events,
        hint: events * Math.exp(normal(random) / 2),
      }))
      .sort((a, b) => b.hint - a.hint);
    const runs = items.map(({ events }, rank) => {
      const avoid = options.avoidLagging && rank < ITEMS_PER_STEP / 2
        ? speeds.laggingUpstreams()
        : [];
      let answer: WaitResult | undefined;
      leader.submit(ticket({ avoid }), (given) => answer = given);
      if (answer === undefined || !("permit" in answer)) {
        throw new Error("The upstreams have a slot for every item");
      }
      const { permit, upstream: { id } } = answer;
      return { permit, id, tookMs: events * eventMs(id), events };
    });
    for (const { permit, id, events } of runs) {
      for (let n = 0; n < events; n++) speeds.recordInterval(id, eventMs(id));
      leader.release(permit, Outcome.Served, 1);
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

test("steps complete sooner if long items avoid lagging upstreams", () => {
  for (const seed of [1, 2, 3]) {
    const baseline = simulateSteps({ seed, steps: 40, avoidLagging: false });
    const avoiding = simulateSteps({ seed, steps: 40, avoidLagging: true });
    expect(mean(avoiding.slice(1)) < 0.95 * mean(baseline.slice(1))).toEqual(
      true,
    );
  }
});
