import { expect } from "earl";
import { test } from "node:test";
import { limitShareOf } from "./limit_share.ts";

const names = ["a", "b", "c", "d", "e"];

function shareOf(connected: number, listed: number, isLeader = true): number {
  return limitShareOf({
    isLeader,
    members: names.slice(0, connected),
    listed: names.slice(0, listed),
  });
}

// Guards against two sides of a partition that both use the whole rate.
test("only a leader that is connected to most listed daemons uses the whole", () => {
  expect([5, 4, 3, 2, 1].map((connected) => shareOf(connected, 5)))
    .toEqual([1, 1, 1, 0.5, 0.5]);
  expect([2, 1].map((connected) => shareOf(connected, 2))).toEqual([1, 0.5]);
});

// Guards against half of the rate where no daemons are listed.
test("a daemon alone on the list, or without one, uses the whole", () => {
  expect([shareOf(1, 1), shareOf(1, 0)]).toEqual([1, 1]);
});

test("both reasons for half of the rate give half", () => {
  expect([shareOf(1, 5, false), shareOf(5, 5, false)]).toEqual([0.5, 0.5]);
});

// Guards against daemons that aren't listed yet, but count as connected.
test("connected daemons that aren't listed don't count", () => {
  expect(limitShareOf({
    isLeader: true,
    members: ["a", "x", "y", "z"],
    listed: names,
  })).toEqual(0.5);
});
