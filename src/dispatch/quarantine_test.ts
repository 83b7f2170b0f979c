import { expect } from "earl";
import { test } from "node:test";
import { ManualClock } from "../kernel/mod.ts";
import { NO_CRASH_LIMIT } from "./mod.ts";
import { Admission, Quarantine, RunEnd, Suspicion } from "./quarantine.ts";

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
      quarantine.record("bad", {
        permit: `run-${crashes}`,
        upstream: `up-${crashes % 2}`,
        end: RunEnd.Broken,
        ranMs: 10,
        isolated,
      });
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
  const crashes = () => quarantine.crashes("bad");
  crash(false);
  crash();
  delayMs();
  clock.advance(300);
  const run = {
    permit: "run-3",
    upstream: "up-0",
    end: RunEnd.Broken,
    ranMs: 300,
    isolated: true,
  };
  quarantine.record("bad", run);
  clock.advance(20);
  quarantine.record("bad", { ...run, end: RunEnd.Crashed, ranMs: 320 });
  expect(crashes()).toEqual(3);
  delayMs();
  clock.advance(300);
  quarantine.record("bad", { ...run, permit: "run-4" });
  expect(crashes()).toEqual(4);
});

test("equal requests that one crash ended count as one", () => {
  const { clock, quarantine } = fixture();
  const run = {
    upstream: "up-0",
    end: RunEnd.Crashed,
    ranMs: 100,
    isolated: false,
  };
  for (const permit of ["run-1", "run-2", "run-3"]) {
    clock.advance(5);
    quarantine.record("bad", { ...run, permit });
  }
  expect(quarantine.crashes("bad")).toEqual(1);
  clock.advance(500);
  quarantine.record("bad", { ...run, permit: "run-4" });
  expect(quarantine.crashes("bad")).toEqual(2);
});

test("a daemon that excuses one run doesn't remove what others saw", () => {
  const { clock, quarantine: here } = fixture();
  const there = new Quarantine({ clock });
  const run = {
    upstream: "up-0",
    end: RunEnd.Broken,
    ranMs: 10,
    isolated: false,
  };
  here.record("bad", { ...run, permit: "run-1" });
  there.merge(here.finding("bad")!);
  here.excuse("bad", { reason: "it was served", covers: () => true });
  there.record("bad", {
    ...run,
    permit: "run-2",
    upstream: "up-1",
    isolated: true,
  });
  here.merge(there.finding("bad")!);
  there.merge(here.finding("bad")!);
  for (const quarantine of [here, there]) {
    expect(quarantine.crashes("bad")).toEqual(1);
    expect(quarantine.suspicion("bad")).toEqual(Suspicion.Suspect);
  }
});

test("findings that daemons make at the same time add up", () => {
  const { clock, quarantine: here } = fixture();
  const there = new Quarantine({ clock });
  for (const [number, quarantine] of [here, there].entries()) {
    quarantine.record("bad", {
      permit: `run-${number}`,
      upstream: `up-${number}`,
      end: RunEnd.Crashed,
      ranMs: 10,
      isolated: true,
    });
  }
  here.merge(there.finding("bad")!);
  expect(here.suspicion("bad")).toEqual(Suspicion.Quarantined);
});

test("four isolated runs without an answer quarantine a request", () => {
  const { clock, quarantine } = fixture();
  const suspicions = ["run-1", "run-2", "run-3", "run-4"].map((permit) => {
    clock.advance(1000);
    const end = RunEnd.Unanswered;
    const run = { permit, upstream: permit, end, ranMs: 800, isolated: true };
    quarantine.record("bad", run);
    return quarantine.suspicion("bad");
  });
  expect(suspicions).toEqual([
    Suspicion.Suspect,
    Suspicion.Suspect,
    Suspicion.Suspect,
    Suspicion.Quarantined,
  ]);
});

test("memory of findings is bounded, and the quarantined ones stay", () => {
  const { quarantine, crash } = fixture();
  crash(false);
  crash();
  for (let number = 0; number < 5000; number++) {
    quarantine.record(`innocent-${number}`, {
      permit: `p-${number}`,
      upstream: "up-9",
      end: RunEnd.Crashed,
      ranMs: 10,
      isolated: false,
    });
  }
  expect(quarantine.findings().length).toBeLessThanOrEqual(4096);
  expect(quarantine.findings().length).toBeGreaterThanOrEqual(3584);
  expect(quarantine.suspicion("bad")).toEqual(Suspicion.Quarantined);
});
