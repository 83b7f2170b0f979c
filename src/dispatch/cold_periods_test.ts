import { expect } from "earl";
import { test } from "node:test";
import { ManualClock } from "../kernel/mod.ts";
import { ColdPeriods, ColdReason } from "./cold_periods.ts";
import { upstream } from "./fixtures_test.ts";
import { KnownNotices } from "./known_notices.ts";
import type { Upstream } from "./shards.ts";

const coldStart = { durationMs: 6000, requestsPerS: 12 };

/** The cold periods of one daemon. */
function daemon() {
  const clock = new ManualClock();
  const notices = new KnownNotices({ clock });
  const periods = new ColdPeriods({ clock, notices });
  const list = (part: Partial<Upstream> = {}) =>
    periods.observe(upstream({ coldStart, coldMs: 0, bornAt: 1, ...part }));
  const answer = (coldMs?: number, bornAt = 1) =>
    notices.heard(
      { upstream: "up-1", leaving: false, requestAgeMs: 0, coldMs },
      bornAt,
    );
  const leftMs = () => periods.all()[0]?.leftMs ?? 0;
  return { clock, periods, list, answer, leftMs };
}

test("the list's cold time counts from when its value was first seen", () => {
  const { clock, list, leftMs } = daemon();
  list({ coldMs: 4000 });
  clock.advance(1000);
  list({ coldMs: 4000 });
  expect(leftMs()).toEqual(3000);
  list({ coldMs: 2500 });
  expect(leftMs()).toEqual(3000);
  list({ coldMs: 5000 });
  expect(leftMs()).toEqual(5000);
});

test("a new upstream without a stated time is cold for the pool's, and once only", () => {
  const { clock, list, leftMs } = daemon();
  list({ coldMs: undefined });
  clock.advance(5000);
  list({ coldMs: undefined });
  expect(leftMs()).toEqual(1000);
  clock.advance(1000);
  expect(leftMs()).toEqual(0);
  list({ coldMs: undefined, bornAt: 2 });
  expect(leftMs()).toEqual(6000);
});

test("a pool that is never cold isn't, whatever its upstreams say", () => {
  const { list, answer, periods } = daemon();
  list({ coldStart: undefined, coldMs: 5000 });
  answer(5000);
  periods.failed("up-1");
  expect([periods.all(), periods.paceOf("up-1")]).toEqual([[], undefined]);
});

test("a cold start that is configured later applies to what was seen before", () => {
  const { clock, list, leftMs } = daemon();
  list({ coldStart: undefined, coldMs: undefined });
  clock.advance(2000);
  list({ coldMs: undefined });
  expect(leftMs()).toEqual(4000);
});

test("the end of an evacuation makes an upstream cold, whatever the list says", () => {
  const { clock, list, leftMs } = daemon();
  list({ evacuated: true });
  clock.advance(60_000);
  list({ evacuated: false });
  expect(leftMs()).toEqual(6000);
  list({ evacuated: true });
  list({ evacuated: false, bornAt: 2 });
  expect(leftMs()).toEqual(6000);
});

test("a failed upstream is cold from its first success on", () => {
  const { clock, list, periods, leftMs } = daemon();
  list();
  periods.succeeded("up-1");
  expect(leftMs()).toEqual(0);
  periods.failed("up-1");
  clock.advance(60_000);
  expect(periods.all()).toEqual([
    { upstream: "up-1", reason: ColdReason.Failed },
  ]);
  periods.succeeded("up-1");
  clock.advance(1000);
  periods.succeeded("up-1");
  expect(leftMs()).toEqual(5000);
});

test("a newer instance replaces what failures, answers and the list said before", () => {
  const { list, answer, periods, leftMs } = daemon();
  list({ coldMs: 80_000 });
  answer(90_000);
  periods.failed("up-1");
  list({ coldMs: 3000, bornAt: 2 });
  expect(leftMs()).toEqual(3000);
  // A list that is late doesn't bring the earlier instance back.
  list({ coldMs: 80_000 });
  expect(leftMs()).toEqual(3000);
});

test("answers prolong a cold time, and zero ends none", () => {
  const { clock, list, answer, leftMs } = daemon();
  list({ coldMs: 2000 });
  answer(3000);
  expect(leftMs()).toEqual(3000);
  answer(0);
  answer(undefined);
  clock.advance(500);
  expect(leftMs()).toEqual(2500);
});

test("an upstream that is listed again as it was isn't cold once more", () => {
  const { clock, list, leftMs } = daemon();
  list({ coldMs: 3000 });
  clock.advance(10_000);
  list({ coldMs: 3000 });
  expect(leftMs()).toEqual(0);
});

test("an entry that an earlier build passed on takes no cold time away", () => {
  const { clock, list, leftMs } = daemon();
  list({ coldMs: 4000 });
  clock.advance(1000);
  list({ coldMs: undefined });
  list({ coldMs: 4000 });
  expect(leftMs()).toEqual(3000);
});

test("the end of an evacuation that another daemon knows counts for that instance only", () => {
  const { clock, list, periods, leftMs } = daemon();
  list({ bornAt: 2 });
  periods.mergeRestored({ upstream: "up-1", leftMs: 4000, bornAt: 1 });
  expect(leftMs()).toEqual(0);
  periods.mergeRestored({ upstream: "up-1", leftMs: 4000, bornAt: 2 });
  clock.advance(1000);
  periods.mergeRestored({ upstream: "up-1", leftMs: 1000, bornAt: 2 });
  expect(periods.restored())
    .toEqual([{ upstream: "up-1", leftMs: 3000, bornAt: 2 }]);
  periods.mergeRestored({ upstream: "up-1", leftMs: 1e12, bornAt: 2 });
  expect(leftMs()).toEqual(6000);
});

test("a newer instance's cold time counts if it equals its predecessor's and is listed late", () => {
  const { list, leftMs } = daemon();
  list({ coldMs: 9000 });
  list({ coldMs: undefined, bornAt: 2 });
  expect(leftMs()).toEqual(6000);
  list({ coldMs: 9000, bornAt: 2 });
  expect(leftMs()).toEqual(9000);
});

test("the pace outlasts the cold time by the second in which it is doubled", () => {
  const { clock, list, periods } = daemon();
  list({ coldMs: 1000 });
  expect(periods.paceOf("up-1")).toEqual({ ratePerS: 12, until: 1000 });
  clock.advance(1999);
  expect(periods.paceOf("up-1")).toEqual({ ratePerS: 12, until: 1000 });
  clock.advance(1);
  expect(periods.paceOf("up-1")).toEqual(undefined);
});

// Guards against a pace for upstreams that a daemon sees for the first time.
test("an upstream that states no cold time of its own isn't paced", () => {
  const { list, periods } = daemon();
  list({ coldMs: 0 });
  expect(periods.paceOf("up-1")).toEqual(undefined);
});

test("memory of upstreams is bounded", () => {
  const { list, periods } = daemon();
  for (let n = 0; n < 5000; n++) list({ id: `up-${n}`, coldMs: 1000 });
  expect(periods.all().length).toEqual(4096);
  expect(periods.isCold("up-4999")).toEqual(true);
});
