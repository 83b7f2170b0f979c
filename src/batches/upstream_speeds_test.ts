import { expect } from "earl";
import { test } from "node:test";
import { ManualClock } from "../kernel/mod.ts";
import { UpstreamSpeeds } from "./upstream_speeds.ts";

const USUAL_MS = 40;

/** Upstreams that were equally fast for a while and now have these intervals. */
function createSpeeds(gaps: Readonly<Record<string, number>>) {
  const clock = new ManualClock();
  const speeds = new UpstreamSpeeds({ clock });
  const record = (upstream: string, gapMs: number, count: number) => {
    for (let n = 0; n < count; n++) speeds.recordInterval(upstream, gapMs);
  };
  for (const upstream of Object.keys(gaps)) record(upstream, USUAL_MS, 200);
  clock.advance(5000);
  for (const [upstream, gapMs] of Object.entries(gaps)) {
    record(upstream, gapMs, 20);
  }
  return { clock, speeds };
}

test("an upstream that came to be far above the median interval is slow", () => {
  const { speeds } = createSpeeds({ a: 40, b: 40, c: 52, d: 140 });
  expect(speeds.slowUpstreams()).toEqual(["d"]);
});

test("an upstream that has always been far above the median isn't slow", () => {
  const { clock, speeds } = createSpeeds({ a: 40, b: 40, c: 40, d: 140 });
  expect(speeds.isSlow("d")).toEqual(true);
  // What it was before is a minute ago.
  clock.advance(60_000);
  for (const [upstream, gapMs] of [["a", 40], ["b", 40], ["d", 140]] as const) {
    for (let n = 0; n < 20; n++) speeds.recordInterval(upstream, gapMs);
  }
  expect(speeds.slowUpstreams()).toEqual([]);
});

test("a single upstream is never slow", () => {
  expect(createSpeeds({ a: 400 }).speeds.slowUpstreams()).toEqual([]);
});

test("four intervals are too few for a mean", () => {
  const { clock, speeds } = createSpeeds({ a: 40, b: 40, c: 40 });
  clock.advance(3100);
  for (let n = 0; n < 5; n++) {
    speeds.recordInterval("a", 40);
    speeds.recordInterval("b", 40);
  }
  for (let n = 0; n < 4; n++) speeds.recordInterval("c", 400);
  expect(speeds.isSlow("c")).toEqual(false);
  speeds.recordInterval("c", 400);
  expect(speeds.isSlow("c")).toEqual(true);
});

test("a slow upstream is used again once its mean has expired", () => {
  const { clock, speeds } = createSpeeds({ a: 40, b: 40, c: 400 });
  expect(speeds.isSlow("c")).toEqual(true);
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
