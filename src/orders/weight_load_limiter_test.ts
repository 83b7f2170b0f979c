import { expect } from "earl";
import { test } from "node:test";
import { WeightLoadLimiter } from "./weight_load_limiter.ts";

const UPSTREAMS = 48;
/** Concurrent loads that the store serves at full speed, and their duration. */
const UNCONTENDED_LOADS = 8;
const LOAD_MS = 900;
/** Interval of the lease holder's rounds. */
const ROUND_MS = 250;

interface Loading {
  readonly startedAt: number;
  readonly leftMs: number;
}

/**
 * Simulates loads of several versions, one after another, on all upstreams.
 * Returns the mean time until an upstream has a version, the mean time for
 * which it takes no requests, and the total time.
 */
function simulate(limit: (limiter: WeightLoadLimiter) => number) {
  const limiter = new WeightLoadLimiter();
  let now = 0;
  let completionMs = 0;
  let blockedMs = 0;
  const versions = 8;
  for (let version = 0; version < versions; version++) {
    const publishedAt = now;
    let waiting = UPSTREAMS;
    let loading: readonly Loading[] = [];
    while (waiting + loading.length > 0) {
      const room = Math.min(waiting, limit(limiter) - loading.length);
      waiting -= Math.max(0, room);
      const started = Array.from({ length: Math.max(0, room) }, () => ({
        startedAt: now,
        leftMs: LOAD_MS,
      }));
      loading = [...loading, ...started];
      const speed = Math.min(1, UNCONTENDED_LOADS / loading.length);
      now += ROUND_MS;
      const after = loading.map((one) => ({
        ...one,
        leftMs: one.leftMs - ROUND_MS * speed,
      }));
      for (const { startedAt } of after.filter(({ leftMs }) => leftMs <= 0)) {
        const durationMs = now - startedAt;
        completionMs += now - publishedAt;
        blockedMs += durationMs;
        limiter.ended({ startedAt, durationMs }, now);
      }
      loading = after.filter(({ leftMs }) => leftMs > 0);
    }
  }
  const loads = UPSTREAMS * versions;
  return {
    completionMs: completionMs / loads,
    blockedMs: blockedMs / loads,
    allMs: now,
  };
}

test("contention limits concurrent loads at little cost in latency", () => {
  const fixedShare = simulate(() => Math.floor(UPSTREAMS * 0.35));
  const adaptive = simulate((limiter) => limiter.limit(UPSTREAMS));
  expect(adaptive.blockedMs < 0.75 * fixedShare.blockedMs).toEqual(true);
  expect(adaptive.completionMs < 1.05 * fixedShare.completionMs).toEqual(true);
  expect(adaptive.allMs < 1.2 * fixedShare.allMs).toEqual(true);
});

test("without contention the limit grows to a third of the pool", () => {
  const limiter = new WeightLoadLimiter();
  const numbers = [0, 1, 2].map((wave) => {
    const loads = limiter.limit(850);
    const startedAt = wave * 2500;
    for (let n = 0; n < loads; n++) {
      limiter.ended({ startedAt, durationMs: 2000 + n }, startedAt + 2000 + n);
    }
    return loads;
  });
  expect(numbers).toEqual([136, 272, 297]);
});

test("after contention the limit grows more slowly", () => {
  const limiter = new WeightLoadLimiter();
  limiter.limit(48);
  limiter.ended({ startedAt: 0, durationMs: 900 }, 900);
  limiter.ended({ startedAt: 0, durationMs: 2000 }, 2000);
  expect(limiter.limit(48)).toEqual(6);
  for (let n = 0; n < 7; n++) {
    limiter.ended({ startedAt: 3000, durationMs: 900 }, 3900);
  }
  expect(limiter.limit(48)).toEqual(7);
});

test("a small pool allows two concurrent loads", () => {
  expect(new WeightLoadLimiter().limit(8)).toEqual(2);
});

test("loads that take long for another reason leave most of a pool's rate", () => {
  const limiter = new WeightLoadLimiter();
  limiter.limit(50);
  limiter.ended({ startedAt: 0, durationMs: 900 }, 900);
  for (let n = 1; n <= 20; n++) {
    const startedAt = n * 10_000;
    limiter.ended({ startedAt, durationMs: 4000 }, startedAt + 4000);
  }
  expect(limiter.limit(50)).toEqual(6);
});
