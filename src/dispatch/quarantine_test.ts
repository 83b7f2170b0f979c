import { expect } from "earl";
import { test } from "node:test";
import { ManualClock } from "../kernel/mod.ts";
import { NO_CRASH_LIMIT } from "./mod.ts";
import { Admission, Quarantine } from "./quarantine.ts";

const demand = { fingerprint: "bad", crashLimit: NO_CRASH_LIMIT };

function fixture() {
  const clock = new ManualClock();
  const quarantine = new Quarantine({ clock });
  let crashes = 0;
  return {
    clock,
    quarantine,
    /** Records that the request crashed another upstream after 10 ms. */
    crash(isolated = true): void {
      crashes += 1;
      clock.advance(10);
      const run = { upstream: `up-${crashes % 2}`, ranMs: 10, isolated };
      if (isolated) quarantine.quarantine("bad", run);
      else quarantine.suspect("bad", run);
    },
    /** Milliseconds until a request that waits may run, in steps of 100. */
    delayMs(): number {
      let delayMs = 0;
      while (quarantine.admission(demand) === Admission.Delayed) {
        clock.advance(100);
        delayMs += 100;
      }
      return delayMs;
    },
  };
}

test("a quarantined request runs isolated, after longer and longer delays", () => {
  const { quarantine, crash, delayMs } = fixture();
  expect(quarantine.admission(demand)).toEqual(Admission.Shared);
  crash(false);
  expect(quarantine.admission(demand)).toEqual(Admission.Isolated);
  const delays = Array.from({ length: 6 }, () => {
    crash();
    return delayMs();
  });
  expect(delays).toEqual([500, 1000, 2000, 3000, 3000, 3000]);
  expect(quarantine.admission(demand)).toEqual(Admission.Isolated);
});

test("a quarantined request is refused once it reaches its crash limit", () => {
  const { quarantine, crash } = fixture();
  crash(false);
  crash();
  const admission = (crashLimit?: number) =>
    quarantine.admission({ fingerprint: "bad", crashLimit });
  expect(admission()).toEqual(Admission.Refused);
  expect(admission(2)).toEqual(Admission.Refused);
  expect(admission(3)).toEqual(Admission.Delayed);
  crash();
  expect(admission(3)).toEqual(Admission.Refused);
});

test("a crash that its entry and its leader report counts once", () => {
  const { clock, quarantine, crash, delayMs } = fixture();
  const crashes = () => quarantine.finding("bad")?.crashes;
  crash(false);
  crash();
  delayMs();
  clock.advance(300);
  const run = { upstream: "up-0", ranMs: 300, isolated: true };
  quarantine.suspect("bad", run);
  clock.advance(20);
  quarantine.quarantine("bad", { ...run, ranMs: 320 });
  expect(crashes()).toEqual(3);
  delayMs();
  clock.advance(300);
  quarantine.quarantine("bad", run);
  expect(crashes()).toEqual(4);
});
