import { expect } from "earl";
import { test } from "node:test";
import { Pace } from "./staleness_estimator.ts";

function pace(): Pace {
  return new Pace({ version: 1, now: 0 });
}

test("nothing is said before a version and a run were seen", () => {
  const unknown = pace();
  expect(unknown.lifeTokens(1, 0)).toEqual(Infinity);
  unknown.named(2, 100);
  expect(unknown.lifeTokens(1, 100)).toEqual(Infinity);
});

test("a sample lives through its bound and the rest of the interval", () => {
  const known = pace();
  known.made(50, 100);
  known.named(2, 1_000);
  expect(known.lifeTokens(1, 1_000)).toEqual(1_000);
  expect(known.lifeTokens(1, 1_600)).toEqual(700);
  expect(known.lifeTokens(0, 5_000)).toEqual(0);
});

test("versions skipped between two pulls share the time", () => {
  const known = pace();
  known.made(1, 1);
  known.named(3, 1_000);
  known.named(2, 1_500);
  expect(known.lifeTokens(0, 1_000)).toEqual(500);
});
