import { expect } from "earl";
import { test } from "node:test";
import { ManualClock } from "../kernel/mod.ts";
import { Paces } from "./upstream_speeds.ts";

function paces(gaps: Readonly<Record<string, number>>) {
  const clock = new ManualClock();
  const known = new Paces({ clock });
  for (const [upstream, gapMs] of Object.entries(gaps)) {
    for (let n = 0; n < 8; n++) known.seen(upstream, gapMs);
  }
  return { clock, known };
}

test("an upstream far slower than the others is slow", () => {
  const { known } = paces({ a: 40, b: 40, c: 52, d: 140 });
  expect(known.slowest()).toEqual(["d"]);
});

test("one upstream alone is never slow", () => {
  expect(paces({ a: 400 }).known.slowest()).toEqual([]);
});

test("two gaps are no pace", () => {
  const { known } = paces({ a: 40, b: 40 });
  known.seen("c", 400);
  known.seen("c", 400);
  expect(known.slow("c")).toEqual(false);
});

test("a slow upstream is tried again after a while", () => {
  const { clock, known } = paces({ a: 40, b: 40, c: 400 });
  clock.advance(2900);
  known.seen("a", 40);
  known.seen("b", 40);
  clock.advance(200);
  expect(known.slow("c")).toEqual(false);
});

test("expected times follow what items took", () => {
  const { known } = paces({});
  for (let n = 0; n < 50; n++) known.ended(1000, 2000);
  expect(Math.round(known.expectedMs(500))).toEqual(1000);
});

test("an upstream that is a little slower is behind, and stays so for long", () => {
  const { clock, known } = paces({ a: 47, b: 48, c: 49, d: 61 });
  clock.advance(30_000);
  expect(known.behind()).toEqual(["d"]);
  expect(known.slowest()).toEqual([]);
});
