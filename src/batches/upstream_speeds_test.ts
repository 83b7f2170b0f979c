import { expect } from "earl";
import { test } from "node:test";
import { ManualClock } from "../kernel/mod.ts";
import { UpstreamSpeeds } from "./upstream_speeds.ts";

function createSpeeds(gaps: Readonly<Record<string, number>>) {
  const clock = new ManualClock();
  const speeds = new UpstreamSpeeds({ clock });
  for (const [upstream, gapMs] of Object.entries(gaps)) {
    for (let n = 0; n < 8; n++) speeds.recordInterval(upstream, gapMs);
  }
  return { clock, speeds };
}

test("an upstream far above the median interval is slow", () => {
  const { speeds } = createSpeeds({ a: 40, b: 40, c: 52, d: 140 });
  expect(speeds.slowUpstreams()).toEqual(["d"]);
});

test("a single upstream is never slow", () => {
  expect(createSpeeds({ a: 400 }).speeds.slowUpstreams()).toEqual([]);
});

test("two intervals are too few for a mean", () => {
  const { speeds } = createSpeeds({ a: 40, b: 40 });
  speeds.recordInterval("c", 400);
  speeds.recordInterval("c", 400);
  expect(speeds.isSlow("c")).toEqual(false);
});

test("a slow upstream is used again once its mean has expired", () => {
  const { clock, speeds } = createSpeeds({ a: 40, b: 40, c: 400 });
  clock.advance(2900);
  speeds.recordInterval("a", 40);
  speeds.recordInterval("b", 40);
  clock.advance(200);
  expect(speeds.isSlow("c")).toEqual(false);
});

test("expected run times follow those of completed items", () => {
  const { speeds } = createSpeeds({});
  for (let n = 0; n < 50; n++) speeds.ended(1000, 2000);
  expect(Math.round(speeds.expectedRunMs(500))).toEqual(1000);
});

test("an upstream somewhat above the median lags, and still does after 30 s", () => {
  const { clock, speeds } = createSpeeds({ a: 47, b: 48, c: 49, d: 61 });
  clock.advance(30_000);
  expect(speeds.laggingUpstreams()).toEqual(["d"]);
  expect(speeds.slowUpstreams()).toEqual([]);
});
