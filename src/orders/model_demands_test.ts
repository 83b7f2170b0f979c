import { expect } from "earl";
import { test } from "node:test";
import { ModelDemands } from "./model_demands.ts";

const SAMPLE_MS = 500;

/** Records samples of two models from 0 on; returns the time after the last. */
function record(
  demands: ModelDemands,
  samples: readonly (readonly [number, number])[],
): number {
  for (const [index, [m, n]] of samples.entries()) {
    demands.record({ m, n }, index * SAMPLE_MS);
  }
  return samples.length * SAMPLE_MS;
}

test("a trainer between two steps keeps its demand", () => {
  const demands = new ModelDemands();
  // m has a step of 64 requests each 8 s, and nothing for the last 5 s of it.
  const now = record(
    demands,
    Array.from(
      { length: 60 },
      (_, index) => [index % 16 < 6 ? 64 - index % 16 * 10 : 0, 40] as const,
    ),
  );
  expect(demands.peaks(now)).toEqual({ m: 64, n: 40 });
});

test("demand that ended is forgotten after a window", () => {
  const demands = new ModelDemands();
  const now = record(
    demands,
    Array.from(
      { length: 60 },
      (_, index) => [index < 20 ? 64 : 0, 40] as const,
    ),
  );
  expect(demands.peaks(now)).toEqual({ m: 0, n: 40 });
});

test("a new lease holder that has seen little tells no demand", () => {
  const demands = new ModelDemands();
  expect(demands.peaks(record(demands, [[64, 0], [60, 0]]))).toEqual({});
});
