import { expect } from "earl";
import { test } from "node:test";
import { demand } from "./fixtures_test.ts";
import { RequestCosts, WorkDistribution } from "./request_costs.ts";

function near(value: number, expected: number, share = 0.15): void {
  expect(Math.abs(value - expected) <= expected * share).toEqual(true);
}

function distribution(works: readonly number[], rounds = 100) {
  const distribution = new WorkDistribution();
  for (let round = 0; round < rounds; round++) {
    for (const work of works) distribution.record(work);
  }
  return distribution;
}

test("a request that outlived the short ones is expected to be a long one", () => {
  const work = distribution([10, 10, 10, 10, 200]);
  near(work.mean, 48, 0.01);
  near(work.residual(1), 47);
  // Not 48 - 20, and not nothing, as for a request past its mean.
  near(work.residual(20), 180);
  near(work.residual(100), 100);
});

test("a request that outlived all others is never expected to end at once", () => {
  const work = distribution([10, 200]);
  near(work.residual(1000), 500);
  expect(work.residual(4000) > work.residual(1000)).toEqual(true);
  expect(new WorkDistribution().residual(50) >= 0).toEqual(true);
});

test("work that changed is known again after some hundred requests", () => {
  const work = distribution([10], 5000);
  for (let count = 0; count < 2000; count++) work.record(100);
  expect(work.mean > 70).toEqual(true);
  expect(work.weight <= 1024).toEqual(true);
});

test("odd durations neither throw nor break the mean", () => {
  const work = distribution([10]);
  for (const odd of [NaN, Infinity, -1]) work.record(odd);
  near(work.mean, 10, 0.01);
  work.record(0);
  work.record(1e15);
  expect(Number.isFinite(work.mean)).toEqual(true);
  expect(Number.isFinite(work.residual(1e15))).toEqual(true);
});

test("plain requests cost by route, items by the tokens that they expect", () => {
  const costs = new RequestCosts();
  const lookup = demand({ route: "lookup", tokens: 1 });
  const items = (tokens: number) =>
    demand({ route: "train", model: "m", tokens });
  for (let count = 0; count < 20; count++) {
    costs.record(lookup, 10);
    costs.record(items(20), 1000);
  }
  near(costs.costOf(lookup).expectedMs, 10, 0.01);
  near(costs.costOf(items(40)).expectedMs, 2000, 0.01);
  near(costs.costOf(items(40)).residualMs(1000), 1000);
});

test("a kind that was not measured costs as much as requests on average", () => {
  const costs = new RequestCosts();
  const unknown = costs.costOf(demand({ route: "new" }));
  expect(unknown.expectedMs > 0).toEqual(true);
  for (let count = 0; count < 20; count++) {
    costs.record(demand({ route: "known" }), 300);
  }
  near(unknown.expectedMs, 300, 0.01);
  // A request that runs sees what is learned of its kind meanwhile.
  for (let count = 0; count < 20; count++) {
    costs.record(demand({ route: "new" }), 30);
  }
  near(unknown.expectedMs, 30, 0.01);
});

test("ten thousand routes don't grow the memory without bound", () => {
  const costs = new RequestCosts();
  for (let count = 0; count < 20; count++) {
    costs.record(demand({ route: "first" }), 7);
  }
  for (let route = 0; route < 600; route++) {
    costs.record(demand({ route: `r-${route}` }), 100);
  }
  // The first one was forgotten, so it costs what requests do on average.
  expect(costs.costOf(demand({ route: "first" })).expectedMs > 50)
    .toEqual(true);
});
