import { expect } from "earl";
import { test } from "node:test";
import { SlotPlay } from "./slot_play_test.ts";
import { reorderInMs, startInMs } from "./start_times.ts";

const TARGET_MS = 7500;
const TIMEOUT_MS = 12_000;
const RUN_MS = 1000;

/**
 * A batch whose last four items wait at an age of 9 s, and a newer one of the
 * same trainer every 4 s, each with more items than the slots can run in 4 s.
 * Returns the age of the old batch when its last item ended.
 */
function ageWhenServed({ timeoutMs }: { timeoutMs: number }): number {
  const play = new SlotPlay({ upstreams: 2, slots: 4 });
  const { clock } = play;
  const submittedAt = clock.now() - 9000;
  let left = 4;
  let lastEndedAt = Infinity;
  const queue = (since: number, count: number, ended = () => {}) => {
    const ageMs = clock.now() - since;
    const times = { ageMs, targetMs: TARGET_MS, timeoutMs };
    for (let n = 0; n < count; n++) {
      play.submit({
        startInMs: startInMs(times, RUN_MS),
        runMs: RUN_MS,
        ended,
      });
    }
  };
  for (let step = 0; step < 5; step++) {
    queue(clock.now(), 40);
    if (step === 0) {
      queue(submittedAt, left, () => {
        if (--left === 0) lastEndedAt = clock.now();
      });
    }
    clock.advance(4000);
  }
  return lastEndedAt - submittedAt;
}

test("newer batches of a trainer don't starve the last items of one past its target", () => {
  const ageMs = ageWhenServed({ timeoutMs: TIMEOUT_MS });
  expect(ageMs <= TIMEOUT_MS).toEqual(true);
  // As before, with late items put back at once.
  expect(ageWhenServed({ timeoutMs: 0 })).toEqual(Infinity);
});

test("items of a batch that its trainer has given up don't go before others", () => {
  const newer = { ageMs: 0, targetMs: TARGET_MS, timeoutMs: TIMEOUT_MS };
  const older = { ...newer, ageMs: TIMEOUT_MS };
  expect(startInMs(older, RUN_MS) < startInMs(newer, RUN_MS)).toEqual(true);
  const abandoned = { ...newer, ageMs: TIMEOUT_MS + 1 };
  expect(startInMs(abandoned, RUN_MS) > startInMs(newer, RUN_MS))
    .toEqual(true);
});

test("a waiting item is placed anew once, just after the timeout", () => {
  const at = (ageMs: number) =>
    reorderInMs({ ageMs, targetMs: TARGET_MS, timeoutMs: TIMEOUT_MS });
  expect([at(0), at(TIMEOUT_MS), at(TIMEOUT_MS + 1)])
    .toEqual([TIMEOUT_MS + 1, 1, Infinity]);
});
