import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { CONTACT_WINDOW_MS, Freshness } from "./freshness.ts";

const BOUND_MS = 1000;
const ALL = ["vm-a", "vm-b", "vm-c"];

function createFreshness(members = ALL, at = 100): Freshness {
  const freshness = new Freshness({ boundMs: BOUND_MS });
  freshness.updateMembers(members, 0);
  freshness.confirmCurrent(at);
  freshness.updateMembers(members, at);
  return freshness;
}

test("a view is current until it reaches the freshness bound", () => {
  const freshness = createFreshness();
  expect(freshness.current(100 + BOUND_MS)).toEqual(true);
  expect(freshness.current(101 + BOUND_MS)).toEqual(false);
});

test("the latest confirmation counts, whatever the order", () => {
  fc.assert(
    fc.property(fc.array(fc.integer()), (moments) => {
      const freshness = new Freshness({ boundMs: BOUND_MS });
      for (const at of moments) freshness.confirmCurrent(at);
      expect(freshness.freshAt).toEqual(Math.max(-Infinity, ...moments));
    }),
    { seed: 6 },
  );
});

test("an outage is shared if a majority was in contact recently", () => {
  const freshness = createFreshness();
  expect(freshness.isOutageShared("vm-a", ALL, 5000)).toEqual(false);
  freshness.recordContact("vm-b", 5000);
  expect(freshness.isOutageShared("vm-a", ALL, 5000)).toEqual(true);
  expect(freshness.isOutageShared("vm-a", ALL, 5001 + CONTACT_WINDOW_MS))
    .toEqual(false);
});

test("members removed while a daemon is partitioned still count", () => {
  const freshness = createFreshness();
  freshness.updateMembers(["vm-a"], 200);
  expect(freshness.isOutageShared("vm-a", ["vm-a"], 5000)).toEqual(false);
});

test("members removed before a later confirmation do not count", () => {
  const freshness = createFreshness();
  freshness.updateMembers(["vm-a"], 200);
  freshness.confirmCurrent(201);
  freshness.updateMembers(["vm-a"], 210);
  expect(freshness.isOutageShared("vm-a", ["vm-a"], 5000)).toEqual(true);
});

test("with many members, contact with most neighbours is enough", () => {
  const many = Array.from({ length: 100 }, (_, index) => `vm-${index}`);
  const freshness = createFreshness(many);
  for (const vm of many.slice(1, 3)) freshness.recordContact(vm, 5000);
  expect(freshness.isOutageShared("vm-0", many, 5000)).toEqual(false);
  freshness.recordContact("vm-3", 5000);
  expect(freshness.isOutageShared("vm-0", many, 5000)).toEqual(true);
  expect(freshness.isOutageShared("vm-0", many.slice(0, 50), 5000)).toEqual(
    false,
  );
});
