import { expect } from "earl";
import { test } from "node:test";
import { ManualClock } from "../kernel/mod.ts";
import { ownership } from "./fixture_test.ts";

test("ownership lapses when it isn't confirmed in time", () => {
  const clock = new ManualClock();
  const owned = ownership({ clock, ttlMs: 2000 });
  clock.advance(1999);
  expect([owned.valid, owned.signal.aborted]).toEqual([true, false]);
  clock.advance(1);
  expect([owned.valid, owned.signal.aborted]).toEqual([false, true]);
});

test("a confirmation counts from when its call was sent", () => {
  const clock = new ManualClock();
  const owned = ownership({ clock, ttlMs: 2000 });
  clock.advance(500);
  const sentAt = clock.moment();
  clock.advance(1400);
  owned.confirm(sentAt);
  clock.advance(599);
  expect(owned.valid).toEqual(true);
  clock.advance(1);
  expect(owned.valid).toEqual(false);
});

test("a late answer to an earlier read doesn't shorten ownership", () => {
  const clock = new ManualClock();
  const owned = ownership({ clock, ttlMs: 2000 });
  const early = clock.moment();
  clock.advance(1000);
  owned.confirm(clock.moment());
  owned.confirm(early);
  clock.advance(1500);
  expect(owned.valid).toEqual(true);
});

test("a wait for ownership ends with a confirmation", async () => {
  const clock = new ManualClock();
  const owned = ownership({ clock, ttlMs: 2000 });
  clock.advance(5000);
  const wait = owned.waitUntilValid();
  owned.confirm(clock.moment());
  await wait;
  expect([owned.valid, owned.signal.aborted]).toEqual([true, false]);
});

test("a wait for ownership ends with the run", async () => {
  const clock = new ManualClock();
  const run = new AbortController();
  const owned = ownership({ clock, ttlMs: 2000, signal: run.signal });
  clock.advance(5000);
  const wait = owned.waitUntilValid();
  run.abort();
  await wait;
  owned.confirm(clock.moment());
  expect([owned.valid, owned.signal.aborted]).toEqual([false, true]);
});
