/**
 * Runs all callers and trainers of a plan against running entries.
 *
 * @module
 */

import type { BenchPlan } from "./bench_plan.ts";
import { CallerLoad } from "./caller_load.ts";
import { counterIncreases, readCounters } from "./counters.ts";
import {
  type BenchReport,
  CallerTally,
  GOODPUT_WINDOW_MS,
  goodputByOrganisation,
  TimeHistogram,
} from "./report.ts";
import { TrainerLoad } from "./training.ts";

/** Runs a plan and resolves with its report. */
export async function runBench(
  plan: BenchPlan,
  entries: readonly string[],
  options: {
    seed?: number;
    seconds?: number;
    /** Weight version that trainers request; by default that of their plan. */
    version?: () => number;
  } = {},
): Promise<BenchReport> {
  const { seed = 1, seconds = 60, version } = options;
  const sendLag = new TimeHistogram();
  const tallies = plan.callers.map(({ name, organisation }) =>
    new CallerTally({ name, organisation, seconds })
  );
  const loads = plan.callers.map((caller, at) =>
    new CallerLoad({ entries, plan: caller, tally: tallies[at], sendLag })
  );
  const trainers = plan.trainers.map((trainer) =>
    new TrainerLoad({ entries, plan: trainer, version })
  );
  const before = await readCounters(entries);
  await Promise.all(
    [...loads, ...trainers].map((load, at) =>
      load.run(seed * 1000 + at, { seconds })
    ),
  );
  const after = await readCounters(entries);
  return {
    seed,
    seconds,
    windowMs: GOODPUT_WINDOW_MS,
    callers: tallies.map(({ report }) => report),
    tenants: goodputByOrganisation(tallies.map(({ goodput }) => goodput)),
    trainers: trainers.map(({ report }) => report),
    sendLag: sendLag.distribution,
    counters: counterIncreases(before, after),
  };
}
