import { expect } from "earl";
import { test } from "node:test";
import type { RequestCost } from "./request_costs.ts";
import { WorkLedger } from "./work_ledger.ts";

/** A request whose work is known exactly. */
function cost(expectedMs: number): RequestCost {
  return {
    expectedMs,
    residualMs: (doneMs) => Math.max(0, expectedMs - doneMs),
  };
}

function start(ledger: WorkLedger, permit: string, workMs: number) {
  const request = { upstream: "a", cost: cost(workMs) };
  ledger.started(permit, request, { now: 0, pace: 1 });
}

test("what was granted counts before any answer, and until its end", () => {
  const ledger = new WorkLedger();
  start(ledger, "p", 100);
  start(ledger, "q", 50);
  expect(ledger.leftMs("a", 0, 1)).toEqual(150);
  expect(ledger.ended("p")?.expectedMs).toEqual(100);
  expect(ledger.ended("p")).toEqual(undefined);
  expect([ledger.leftMs("a", 0, 1), ledger.running("a")]).toEqual([50, 1]);
});

test("a slow upstream gets less of its work done in the same time", () => {
  const ledger = new WorkLedger();
  start(ledger, "p", 100);
  expect(ledger.leftMs("a", 40, 2)).toEqual(80);
  expect(ledger.leftMs("a", 60, 1)).toEqual(60);
});

test("a permit of a former leader counts with the time that it ran", () => {
  const ledger = new WorkLedger();
  const request = { upstream: "a", cost: cost(100) };
  ledger.started("p", request, { now: 500, pace: 2, ranMs: 60 });
  expect(ledger.leftMs("a", 500, 2)).toEqual(70);
});

test("requests on an upstream that is gone are forgotten", () => {
  const ledger = new WorkLedger();
  start(ledger, "p", 100);
  ledger.forget("a");
  expect(ledger.ended("p")).toEqual(undefined);
  expect(ledger.leftMs("a", 0, 1)).toEqual(0);
});
