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

test("an upstream far slower than the others is slow", () => {
  const { speeds } = createSpeeds({ a: 40, b: 40, c: 52, d: 140 });
  expect(speeds.slowUpstreams()).toEqual(["d"]);
});

test("one upstream alone is never slow", () => {
  expect(createSpeeds({ a: 400 }).speeds.slowUpstreams()).toEqual([]);
});

test("two gaps are no pace", () => {
  const { speeds } = createSpeeds({ a: 40, b: 40 });
  speeds.recordInterval("c", 400);
  speeds.recordInterval("c", 400);
  expect(speeds.isSlow("c")).toEqual(false);
});

test("a slow upstream is tried again after a while", () => {
  const { clock, speeds } = createSpeeds({ a: 40, b: 40, c: 400 });
  clock.advance(2900);
  speeds.recordInterval("a", 40);
  speeds.recordInterval("b", 40);
  clock.advance(200);
  expect(speeds.isSlow("c")).toEqual(false);
});

test("expected times follow what items took", () => {
  const { speeds } = createSpeeds({});
  for (let n = 0; n < 50; n++) speeds.ended(1000, 2000);
  expect(Math.round(speeds.expectedRunMs(500))).toEqual(1000);
});

test("an upstream that is a little slower is behind, and stays so for long", () => {
  const { clock, speeds } = createSpeeds({ a: 47, b: 48, c: 49, d: 61 });
  clock.advance(30_000);
  expect(speeds.laggingUpstreams()).toEqual(["d"]);
  expect(speeds.slowUpstreams()).toEqual([]);
});
