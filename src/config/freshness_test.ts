import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { EVIDENCE_MS, Freshness } from "./freshness.ts";

const BOUND_MS = 1000;
const ALL = ["vm-a", "vm-b", "vm-c"];

function view(members = ALL, at = 100): Freshness {
  const it = new Freshness({ boundMs: BOUND_MS });
  it.observe(members, 0);
  it.prove(at);
  it.observe(members, at);
  return it;
}

test("a view is current until its bound", () => {
  const it = view();
  expect(it.current(100 + BOUND_MS)).toEqual(true);
  expect(it.current(101 + BOUND_MS)).toEqual(false);
});

test("proofs in any order leave the latest", () => {
  fc.assert(
    fc.property(fc.array(fc.integer()), (moments) => {
      const it = new Freshness({ boundMs: BOUND_MS });
      for (const at of moments) it.prove(at);
      expect(it.freshAt).toEqual(Math.max(-Infinity, ...moments));
    }),
    { seed: 6 },
  );
});

test("an outage is shared when a majority was lately heard", () => {
  const it = view();
  expect(it.outageShared("vm-a", ALL, 5000)).toEqual(false);
  it.heard("vm-b", 5000);
  expect(it.outageShared("vm-a", ALL, 5000)).toEqual(true);
  expect(it.outageShared("vm-a", ALL, 5001 + EVIDENCE_MS)).toEqual(false);
});

test("those that vanish from a daemon cut off still count", () => {
  const it = view();
  it.observe(["vm-a"], 200);
  expect(it.outageShared("vm-a", ["vm-a"], 5000)).toEqual(false);
});

test("those that vanish from a daemon with a later proof do not", () => {
  const it = view();
  it.observe(["vm-a"], 200);
  it.prove(201);
  it.observe(["vm-a"], 210);
  expect(it.outageShared("vm-a", ["vm-a"], 5000)).toEqual(true);
});

test("with many members, a majority of the neighbours is enough", () => {
  const many = Array.from({ length: 100 }, (_, index) => `vm-${index}`);
  const it = view(many);
  for (const vm of many.slice(1, 3)) it.heard(vm, 5000);
  expect(it.outageShared("vm-0", many, 5000)).toEqual(false);
  it.heard("vm-3", 5000);
  expect(it.outageShared("vm-0", many, 5000)).toEqual(true);
  expect(it.outageShared("vm-0", many.slice(0, 50), 5000)).toEqual(false);
});
