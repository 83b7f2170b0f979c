import { expect } from "earl";
import { test } from "node:test";
import { WindowCounts } from "./window_counts.ts";

test("the sum of a window is over all runs", () => {
  const tally = new WindowCounts();
  tally.add({ run: "a", window: 1 }, "x");
  tally.add({ run: "a", window: 1 }, "x");
  tally.merge({ run: "b", window: 1, counts: { x: 3, y: 1 } });
  tally.merge({ run: "b", window: 2, counts: { x: 9 } });
  expect(tally.sum(1)).toEqual({ x: 5, y: 1 });
});

test("older counts of the same run change nothing", () => {
  const tally = new WindowCounts();
  tally.merge({ run: "b", window: 1, counts: { x: 3, y: 1 } });
  expect(tally.merge({ run: "b", window: 1, counts: { x: 2 } }))
    .toEqual(false);
  expect(tally.sum(1)).toEqual({ x: 3, y: 1 });
});

test("windows before the given one are dropped", () => {
  const tally = new WindowCounts();
  tally.add({ run: "a", window: 1 }, "x");
  tally.add({ run: "a", window: 2 }, "x");
  tally.dropBefore(2);
  expect([tally.sum(1), tally.sum(2)]).toEqual([{}, { x: 1 }]);
});
