import { expect } from "earl";
import { test } from "node:test";
import { SwapEnd, Swaps, type Versioned } from "./swaps.ts";

/** Upstreams `u0`, `u1`, ... with these versions. */
function upstreams(...versions: readonly number[]): readonly Versioned[] {
  return versions.map((version, n) => ({ id: `u${n}`, version }));
}

/** Starts what is due; answers with it. */
function start(
  swaps: Swaps,
  all: readonly Versioned[],
  { latest, now }: { latest: number; now: number },
): readonly string[] {
  const due = swaps.due(all, { latest, now });
  for (const id of due) swaps.started(id, { version: latest, now });
  return due;
}

test("a part of a pool swaps at once, the furthest behind first", () => {
  const swaps = new Swaps();
  const all = upstreams(2, 1, 2, 2, 1, 2);
  expect(start(swaps, all, { latest: 3, now: 0 })).toEqual(["u1", "u4"]);
  expect(start(swaps, all, { latest: 3, now: 1 })).toEqual([]);
});

test("an upstream that has the version makes room for the next", () => {
  const swaps = new Swaps();
  const before = upstreams(1, 1, 1);
  expect(start(swaps, before, { latest: 2, now: 0 })).toEqual(["u0"]);
  const after = upstreams(2, 1, 1);
  expect(swaps.settle(after, 50)).toEqual([["u0", SwapEnd.Done]]);
  expect(start(swaps, after, { latest: 2, now: 50 })).toEqual(["u1"]);
});

test("the first swaps of a holder are overdue after ten seconds", () => {
  const swaps = new Swaps();
  const all = upstreams(1, 1, 1);
  start(swaps, all, { latest: 2, now: 0 });
  expect(swaps.settle(all, 10_000)).toEqual([]);
  expect(swaps.settle(all, 10_001)).toEqual([["u0", SwapEnd.Overdue]]);
});

test("an overdue swap makes room and is tried again after the others", () => {
  const swaps = new Swaps();
  const all = upstreams(1, 1, 1);
  start(swaps, all, { latest: 2, now: 0 });
  expect(swaps.settle(all, 30_001)).toEqual([["u0", SwapEnd.Overdue]]);
  expect(start(swaps, all, { latest: 2, now: 30_001 })).toEqual(["u1"]);
  const later = upstreams(1, 2, 1);
  swaps.settle(later, 31_000);
  expect(start(swaps, later, { latest: 2, now: 31_000 })).toEqual(["u2"]);
  const last = upstreams(1, 2, 2);
  swaps.settle(last, 31_500);
  expect(start(swaps, last, { latest: 2, now: 31_500 })).toEqual(["u0"]);
});

test("a swap is overdue after three times the longest recent one", () => {
  const swaps = new Swaps();
  start(swaps, upstreams(1, 1), { latest: 2, now: 0 });
  swaps.settle(upstreams(2, 1), 4000);
  start(swaps, upstreams(2, 1), { latest: 2, now: 4000 });
  expect(swaps.settle(upstreams(2, 1), 16_000)).toEqual([]);
  expect(swaps.settle(upstreams(2, 1), 16_001))
    .toEqual([["u1", SwapEnd.Overdue]]);
});

test("repeated failures are tried ever more seldom", () => {
  const swaps = new Swaps();
  const all = upstreams(1);
  const tries: number[] = [];
  for (let now = 0; now < 20_000; now += 100) {
    if (swaps.due(all, { latest: 2, now }).length === 0) continue;
    tries.push(now);
    swaps.failed("u0", now);
  }
  expect(tries).toEqual([0, 500, 1500, 3500, 7500, 15_500]);
});

test("an engine is asked when its swap may be done", () => {
  const swaps = new Swaps();
  start(swaps, upstreams(1, 1), { latest: 2, now: 0 });
  expect(swaps.awaited(0)).toEqual(["u0"]);
  swaps.settle(upstreams(2, 1), 1000);
  start(swaps, upstreams(2, 1), { latest: 2, now: 1000 });
  expect(swaps.awaited(1799)).toEqual([]);
  expect(swaps.awaited(1800)).toEqual(["u1"]);
});

test("an upstream that is gone ends its swap", () => {
  const swaps = new Swaps();
  start(swaps, upstreams(1, 1), { latest: 2, now: 0 });
  expect(swaps.settle([], 10)).toEqual([]);
  expect(swaps.pending).toEqual([]);
});

test("where the version before will do, half of a pool loads each one", () => {
  const swaps = new Swaps({ fraction: 1, lag: 1 });
  expect(start(swaps, upstreams(1, 1, 1, 1), { latest: 2, now: 0 }))
    .toEqual(["u0", "u1"]);
});

test("what is too old to serve loads first, and all of it", () => {
  const swaps = new Swaps({ fraction: 1, lag: 1 });
  expect(start(swaps, upstreams(2, 2, 1, 1), { latest: 3, now: 0 }))
    .toEqual(["u2", "u3"]);
  const few = new Swaps({ fraction: 1, lag: 1 });
  expect(start(few, upstreams(2, 2, 2, 1), { latest: 3, now: 0 }))
    .toEqual(["u3", "u0"]);
});
