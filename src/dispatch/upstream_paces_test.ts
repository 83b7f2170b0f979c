import { expect } from "earl";
import { test } from "node:test";
import { Random } from "../bench/random.ts";
import { MAX_PACE, PaceDifference, UpstreamPaces } from "./upstream_paces.ts";

interface World {
  /** The true pace of an upstream at a time. */
  readonly pace: (upstream: string, now: number) => number;
  /** What it states, if anything. */
  readonly states?: (upstream: string, now: number) => number | undefined;
  /** Work of a request, of which 1 is expected. */
  readonly work?: (random: Random) => number;
  readonly upstreams?: readonly string[];
  readonly rounds?: number;
}

/** Each upstream serves a request of 10 ms every 20 ms. */
function learn(world: World) {
  const { upstreams = ["a", "b", "c"], rounds = 500 } = world;
  const paces = new UpstreamPaces();
  const random = new Random({ seed: 1 });
  let now = 0;
  for (let round = 0; round < rounds; round++) {
    now = round * 20;
    for (const upstream of upstreams) {
      const prediction = paces.predict(upstream, now);
      const work = world.work?.(random) ?? 1;
      const durationMs = 10 * work * world.pace(upstream, now);
      paces.measured(upstream, {
        durationMs,
        expectedMs: 10,
        prediction,
        now: now + durationMs,
      });
      const stated = world.states?.(upstream, now);
      if (stated !== undefined) paces.stated(upstream, stated, now);
    }
    paces.difference(now);
  }
  return { paces, now };
}

function isNear(value: number, expected: number, share = 0.15): boolean {
  return Math.abs(value - expected) <= expected * share;
}

/** One of two kinds that differ by 1:20 and look alike; the mean is 1. */
function alike(random: Random): number {
  return random.next() < 0.2 ? 200 / 48 : 10 / 48;
}

test("paces of differing hardware are learned from durations", () => {
  const true_: Record<string, number> = { a: 0.7, b: 0.7, c: 1.7 };
  const { paces, now } = learn({ pace: (upstream) => true_[upstream] });
  expect(paces.difference(now)).toEqual(PaceDifference.Measured);
  const ratio = paces.slowPace("c") / paces.slowPace("a");
  expect(isNear(ratio, 1.7 / 0.7)).toEqual(true);
});

test("unequal requests that look alike don't make equal upstreams differ", () => {
  const upstreams = Array.from({ length: 16 }, (_, index) => `${index}`);
  for (const rounds of [25, 60, 200, 1000]) {
    const { paces, now } = learn({
      upstreams,
      rounds,
      pace: () => 1,
      work: alike,
    });
    expect(paces.difference(now)).toEqual(PaceDifference.None);
  }
});

test("fewer than 20 measurements show no difference", () => {
  const { paces, now } = learn({
    rounds: 19,
    pace: (upstream) => upstream === "a" ? 5 : 1,
  });
  expect(paces.difference(now)).toEqual(PaceDifference.None);
});

test("the difference ends below 1.3, not already below 1.5", () => {
  const { paces, now } = learn({
    pace: (upstream) => upstream === "c" ? 2 : 1,
  });
  const measure = (ratio: number, rounds: number, from: number) => {
    let at = from;
    for (let round = 0; round < rounds; round++) {
      at += 20;
      for (const upstream of ["a", "b", "c"]) {
        const durationMs = upstream === "c" ? 10 * ratio : 10;
        paces.measured(upstream, { durationMs, expectedMs: 10, now: at });
      }
      paces.difference(at);
    }
    return at;
  };
  const later = measure(1.4, 1500, now);
  expect(paces.difference(later)).toEqual(PaceDifference.Measured);
  const last = measure(1.1, 2500, later);
  expect(paces.difference(last)).toEqual(PaceDifference.None);
});

test("a stated pace counts at once and for ten seconds", () => {
  const paces = new UpstreamPaces();
  paces.stated("a", 2.5, 1000);
  expect(paces.difference(1000)).toEqual(PaceDifference.Stated);
  expect(isNear(paces.pace("a", 1000), 2.5, 0.01)).toEqual(true);
  expect(paces.difference(10_900)).toEqual(PaceDifference.Stated);
  expect(paces.difference(11_300)).toEqual(PaceDifference.None);
});

test("an older figure that arrives later doesn't replace a newer one", () => {
  const paces = new UpstreamPaces();
  paces.stated("a", 2.5, 1000);
  paces.stated("a", 0.5, 900);
  expect(paces.status("a", 1000).statedPace).toEqual(2.5);
});

test("a momentary change is followed, and fades without news", () => {
  const { paces, now } = learn({ pace: () => 1, states: () => 1 });
  paces.stated("a", 2.5, now);
  expect(isNear(paces.pace("a", now), 2.5)).toEqual(true);
  const later = paces.pace("a", now + 600);
  expect(later > 1.5 && later < 2).toEqual(true);
  expect(isNear(paces.pace("a", now + 6000), 1)).toEqual(true);
});

test("an upstream that always states a low figure is corrected", () => {
  const { paces, now } = learn({
    pace: () => 1,
    states: (upstream) => upstream === "a" ? 0.01 : 1,
  });
  // 0.2, the lower bound, would draw all requests to it.
  expect(paces.pace("a", now) > 0.8).toEqual(true);
});

test("an upstream that states noise is not believed", () => {
  const random = new Random({ seed: 7 });
  const { paces, now } = learn({
    pace: () => 1,
    states: (upstream) => upstream === "a" ? random.next() * 8 : 1,
  });
  expect(paces.status("a", now).statedUsed).toEqual(false);
  expect(paces.status("b", now).statedUsed).toEqual(true);
  paces.stated("a", 8, now);
  expect(isNear(paces.pace("a", now), 1)).toEqual(true);
});

test("odd figures and durations leave paces within their bounds", () => {
  const paces = new UpstreamPaces();
  for (const odd of [0, -1, NaN, Infinity, 1e9]) {
    paces.stated("a", odd, 0);
    for (const [durationMs, expectedMs] of [[odd, 10], [10, odd]]) {
      paces.measured("a", { durationMs, expectedMs, now: 0 });
    }
  }
  const pace = paces.pace("a", 0);
  expect(pace >= 0.2 && pace <= MAX_PACE).toEqual(true);
});
