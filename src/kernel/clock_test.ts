import { expect } from "earl";
import { test } from "node:test";
import { ManualClock } from "./mod.ts";

test("a manual clock runs due timers in chronological order", () => {
  const clock = new ManualClock();
  const ran: string[] = [];
  clock.after(20, () => ran.push("late"));
  clock.after(10, () => ran.push("early"));
  clock.advance(20);
  expect(ran).toEqual(["early", "late"]);
});

test("a cancelled timer does not run", () => {
  const clock = new ManualClock();
  let ran = false;
  const cancel = clock.after(10, () => ran = true);
  cancel();
  clock.advance(10);
  expect(ran).toEqual(false);
});

test("sleep resolves at once when its signal aborts", async () => {
  const clock = new ManualClock();
  const abort = new AbortController();
  const sleep = clock.sleep(1000, abort.signal);
  abort.abort();
  await sleep;
  expect(clock.now()).toEqual(0);
});

/** A manual clock whose wall time is `shiftMs` ahead of the monotonic time. */
class ShiftedClock extends ManualClock {
  shiftMs = 0;

  override wall(): number {
    return super.wall() + this.shiftMs;
  }
}

test("time for which the VM was suspended counts as elapsed", () => {
  const clock = new ShiftedClock();
  const start = clock.moment();
  clock.advance(10);
  clock.shiftMs = 4000;
  expect(clock.elapsedMs(start)).toEqual(4010);
});

test("wall time that is set back doesn't hide elapsed time", () => {
  const clock = new ShiftedClock();
  const start = clock.moment();
  clock.advance(2500);
  clock.shiftMs = -5000;
  expect(clock.elapsedMs(start)).toEqual(2500);
});
