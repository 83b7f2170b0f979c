import { expect } from "earl";
import { test } from "node:test";
import { Concurrency } from "./concurrency.ts";

const UPSTREAMS = 48;
/** Loads that the store serves without delay, and the time of such a load. */
const AT_ONCE = 8;
const LOAD_MS = 900;
/** How often the holder of the orders looks. */
const LOOK_MS = 250;

interface Loading {
  readonly startedAt: number;
  readonly leftMs: number;
}

/**
 * Plays loads of one version after the other on all upstreams; answers with
 * the mean time until an upstream had the version, and the time for which one
 * took no requests.
 */
function play(limit: (concurrency: Concurrency) => number) {
  const concurrency = new Concurrency();
  let now = 0;
  let hadMs = 0;
  let blockedMs = 0;
  const versions = 8;
  for (let version = 0; version < versions; version++) {
    const since = now;
    let waiting = UPSTREAMS;
    let loading: readonly Loading[] = [];
    while (waiting + loading.length > 0) {
      const room = Math.min(waiting, limit(concurrency) - loading.length);
      waiting -= Math.max(0, room);
      const started = Array.from({ length: Math.max(0, room) }, () => ({
        startedAt: now,
        leftMs: LOAD_MS,
      }));
      loading = [...loading, ...started];
      const speed = Math.min(1, AT_ONCE / loading.length);
      now += LOOK_MS;
      const after = loading.map((one) => ({
        ...one,
        leftMs: one.leftMs - LOOK_MS * speed,
      }));
      for (const { startedAt } of after.filter(({ leftMs }) => leftMs <= 0)) {
        const tookMs = now - startedAt;
        hadMs += now - since;
        blockedMs += tookMs;
        concurrency.ended({ startedAt, tookMs }, now);
      }
      loading = after.filter(({ leftMs }) => leftMs > 0);
    }
  }
  const loads = UPSTREAMS * versions;
  return { hadMs: hadMs / loads, blockedMs: blockedMs / loads, allMs: now };
}

test("loads that would hinder each other wait for each other", () => {
  const third = play(() => Math.floor(UPSTREAMS * 0.35));
  const ours = play((concurrency) => concurrency.limit(UPSTREAMS));
  expect(ours.blockedMs < 0.75 * third.blockedMs).toEqual(true);
  expect(ours.hadMs < 1.05 * third.hadMs).toEqual(true);
  expect(ours.allMs < 1.2 * third.allMs).toEqual(true);
});

test("loads that don't hinder each other become a third of the pool", () => {
  const concurrency = new Concurrency();
  const numbers = [0, 1, 2].map((wave) => {
    const loads = concurrency.limit(850);
    const startedAt = wave * 2500;
    for (let n = 0; n < loads; n++) {
      concurrency.ended({ startedAt, tookMs: 2000 + n }, startedAt + 2000 + n);
    }
    return loads;
  });
  expect(numbers).toEqual([136, 272, 297]);
});

test("after loads that were hindered they become more slowly", () => {
  const concurrency = new Concurrency();
  concurrency.limit(48);
  concurrency.ended({ startedAt: 0, tookMs: 900 }, 900);
  concurrency.ended({ startedAt: 0, tookMs: 2000 }, 2000);
  expect(concurrency.limit(48)).toEqual(6);
  for (let n = 0; n < 7; n++) {
    concurrency.ended({ startedAt: 3000, tookMs: 900 }, 3900);
  }
  expect(concurrency.limit(48)).toEqual(7);
});

test("a pool of few has two at once", () => {
  expect(new Concurrency().limit(8)).toEqual(2);
});
