import { expect } from "earl";
import { test } from "node:test";
import { StalenessEstimator } from "./staleness_estimator.ts";

function estimator(): StalenessEstimator {
  return new StalenessEstimator({ version: 1, now: 0 });
}

test("the estimate is infinite until a version and a run are known", () => {
  const unknown = estimator();
  expect(unknown.tokensUntilStale(1, 0)).toEqual(Infinity);
  unknown.recordVersion(2, 100);
  expect(unknown.tokensUntilStale(1, 100)).toEqual(Infinity);
});

test("a sample stays fresh for the bound and the rest of the interval", () => {
  const known = estimator();
  known.recordRun(50, 100);
  known.recordVersion(2, 1_000);
  expect(known.tokensUntilStale(1, 1_000)).toEqual(1_000);
  expect(known.tokensUntilStale(1, 1_600)).toEqual(700);
  expect(known.tokensUntilStale(0, 5_000)).toEqual(0);
});

test("versions skipped between two pulls share the interval", () => {
  const known = estimator();
  known.recordRun(1, 1);
  known.recordVersion(3, 1_000);
  known.recordVersion(2, 1_500);
  expect(known.tokensUntilStale(0, 1_000)).toEqual(500);
});
