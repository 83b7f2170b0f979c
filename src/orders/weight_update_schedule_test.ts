import { expect } from "earl";
import { test } from "node:test";
import {
  UpdateOutcome,
  type VersionedVm,
  WeightUpdateSchedule,
} from "./weight_update_schedule.ts";

/** Upstreams `u0`, `u1`, ... with these versions. */
function upstreams(...versions: readonly number[]): readonly VersionedVm[] {
  return versions.map((version, n) => ({ id: `u${n}`, version }));
}

/** Starts the due updates; returns their upstreams. */
function startDue(
  schedule: WeightUpdateSchedule,
  all: readonly VersionedVm[],
  { latest, now }: { latest: number; now: number },
): readonly string[] {
  const due = schedule.due(all, { latest, now });
  for (const id of due) schedule.recordStart(id, { version: latest, now });
  return due;
}

test("part of a pool updates at once, the furthest behind first", () => {
  const schedule = new WeightUpdateSchedule();
  const all = upstreams(2, 1, 2, 2, 1, 2);
  expect(startDue(schedule, all, { latest: 3, now: 0 })).toEqual(["u1", "u4"]);
  expect(startDue(schedule, all, { latest: 3, now: 1 })).toEqual([]);
});

test("an upstream that has the version lets the next one start", () => {
  const schedule = new WeightUpdateSchedule();
  const before = upstreams(1, 1, 1);
  expect(startDue(schedule, before, { latest: 2, now: 0 })).toEqual(["u0"]);
  const after = upstreams(2, 1, 1);
  expect(schedule.settle(after, 50)).toEqual([["u0", UpdateOutcome.Done]]);
  expect(startDue(schedule, after, { latest: 2, now: 50 })).toEqual(["u1"]);
});

test("a new holder's first updates are overdue after ten seconds", () => {
  const schedule = new WeightUpdateSchedule();
  const all = upstreams(1, 1, 1);
  startDue(schedule, all, { latest: 2, now: 0 });
  expect(schedule.settle(all, 10_000)).toEqual([]);
  expect(schedule.settle(all, 10_001)).toEqual([["u0", UpdateOutcome.Overdue]]);
});

test("an overdue update lets others start and is retried after them", () => {
  const schedule = new WeightUpdateSchedule();
  const all = upstreams(1, 1, 1);
  startDue(schedule, all, { latest: 2, now: 0 });
  expect(schedule.settle(all, 30_001)).toEqual([["u0", UpdateOutcome.Overdue]]);
  expect(startDue(schedule, all, { latest: 2, now: 30_001 })).toEqual(["u1"]);
  const later = upstreams(1, 2, 1);
  schedule.settle(later, 31_000);
  expect(startDue(schedule, later, { latest: 2, now: 31_000 })).toEqual(["u2"]);
  const last = upstreams(1, 2, 2);
  schedule.settle(last, 31_500);
  expect(startDue(schedule, last, { latest: 2, now: 31_500 })).toEqual(["u0"]);
});

test("an update is overdue after three times the longest recent one", () => {
  const schedule = new WeightUpdateSchedule();
  startDue(schedule, upstreams(1, 1), { latest: 2, now: 0 });
  schedule.settle(upstreams(2, 1), 4000);
  startDue(schedule, upstreams(2, 1), { latest: 2, now: 4000 });
  expect(schedule.settle(upstreams(2, 1), 16_000)).toEqual([]);
  expect(schedule.settle(upstreams(2, 1), 16_001))
    .toEqual([["u1", UpdateOutcome.Overdue]]);
});

test("repeated failures are retried with exponential backoff", () => {
  const schedule = new WeightUpdateSchedule();
  const all = upstreams(1);
  const attempts: number[] = [];
  for (let now = 0; now < 20_000; now += 100) {
    if (schedule.due(all, { latest: 2, now }).length === 0) continue;
    attempts.push(now);
    schedule.failed("u0", now);
  }
  expect(attempts).toEqual([0, 500, 1500, 3500, 7500, 15_500]);
});

test("an engine is polled once its update may be done", () => {
  const schedule = new WeightUpdateSchedule();
  startDue(schedule, upstreams(1, 1), { latest: 2, now: 0 });
  expect(schedule.possiblyDone(0)).toEqual(["u0"]);
  schedule.settle(upstreams(2, 1), 1000);
  startDue(schedule, upstreams(2, 1), { latest: 2, now: 1000 });
  expect(schedule.possiblyDone(1799)).toEqual([]);
  expect(schedule.possiblyDone(1800)).toEqual(["u1"]);
});

test("the update of a removed upstream ends", () => {
  const schedule = new WeightUpdateSchedule();
  startDue(schedule, upstreams(1, 1), { latest: 2, now: 0 });
  expect(schedule.settle([], 10)).toEqual([]);
  expect(schedule.pending).toEqual([]);
});

test("with an allowed lag, half of a pool loads each version", () => {
  const schedule = new WeightUpdateSchedule({
    maxLoadingShare: 1,
    maxVersionLag: 1,
  });
  expect(startDue(schedule, upstreams(1, 1, 1, 1), { latest: 2, now: 0 }))
    .toEqual(["u0", "u1"]);
});

test("all upstreams too old to serve load, and load first", () => {
  const schedule = new WeightUpdateSchedule({
    maxLoadingShare: 1,
    maxVersionLag: 1,
  });
  expect(startDue(schedule, upstreams(2, 2, 1, 1), { latest: 3, now: 0 }))
    .toEqual(["u2", "u3"]);
  const few = new WeightUpdateSchedule({
    maxLoadingShare: 1,
    maxVersionLag: 1,
  });
  expect(startDue(few, upstreams(2, 2, 2, 1), { latest: 3, now: 0 }))
    .toEqual(["u3", "u0"]);
});
