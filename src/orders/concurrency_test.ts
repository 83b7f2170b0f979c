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
        concurrency.ended({ startedAt, tookMs }, {
          now,
          pending: loading.length,
        });
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

test("loads that don't hinder each other become more", () => {
  const concurrency = new Concurrency();
  const first = concurrency.limit(850);
  for (let n = 0; n < 3; n++) {
    const pending = concurrency.limit(850);
    for (let one = 0; one < pending; one++) {
      concurrency.ended({ startedAt: n * 2000, tookMs: 2000 }, {
        now: (n + 1) * 2000,
        pending: concurrency.limit(850),
      });
    }
  }
  expect(first).toEqual(68);
  expect(concurrency.limit(850) >= 297).toEqual(true);
});

test("a pool of few begins with two", () => {
  expect(new Concurrency().limit(8)).toEqual(2);
});
