import { expect } from "earl";
import { test } from "node:test";
import { WindowCounts } from "./window_counts.ts";

test("the sum of a window is over all runs", () => {
  const windowCounts = new WindowCounts();
  windowCounts.add({ run: "a", window: 1 }, "x");
  windowCounts.add({ run: "a", window: 1 }, "x");
  windowCounts.merge({ run: "b", window: 1, counts: { x: 3, y: 1 } });
  windowCounts.merge({ run: "b", window: 2, counts: { x: 9 } });
  expect(windowCounts.sum(1)).toEqual({ x: 5, y: 1 });
});

test("older counts of the same run change nothing", () => {
  const windowCounts = new WindowCounts();
  windowCounts.merge({ run: "b", window: 1, counts: { x: 3, y: 1 } });
  expect(windowCounts.merge({ run: "b", window: 1, counts: { x: 2 } }))
    .toEqual(false);
  expect(windowCounts.sum(1)).toEqual({ x: 3, y: 1 });
});

test("windows before the given one are dropped", () => {
  const windowCounts = new WindowCounts();
  windowCounts.add({ run: "a", window: 1 }, "x");
  windowCounts.add({ run: "a", window: 2 }, "x");
  windowCounts.dropBefore(2);
  expect([windowCounts.sum(1), windowCounts.sum(2)]).toEqual([{}, { x: 1 }]);
});
