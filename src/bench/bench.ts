/**
 * One run: all callers and trainers of a plan against running entries.
 *
 * @module
 */

import { readCounters, risen } from "./counters.ts";
import { Load } from "./load.ts";
import type { Plan } from "./plan.ts";
import {
  type BenchReport,
  byTenant,
  CallerTally,
  Timing,
  WINDOW_MS,
} from "./report.ts";
import { Training } from "./training.ts";

/** Runs a plan and resolves with what it measured. */
export async function runBench(
  plan: Plan,
  entries: readonly string[],
  options: {
    seed?: number;
    seconds?: number;
    /** The version that trainers name; their plans' by default. */
    version?: () => number;
  } = {},
): Promise<BenchReport> {
  const { seed = 1, seconds = 60, version } = options;
  const sendLag = new Timing();
  const tallies = plan.callers.map(({ name, tenant }) =>
    new CallerTally({ name, tenant, seconds })
  );
  const loads = plan.callers.map((caller, at) =>
    new Load({ entries, plan: caller, tally: tallies[at], sendLag })
  );
  const trainings = plan.trainers.map((trainer) =>
    new Training({ entries, plan: trainer, version })
  );
  const before = await readCounters(entries);
  await Promise.all(
    [...loads, ...trainings].map((part, at) =>
      part.run(seed * 1000 + at, { seconds })
    ),
  );
  const after = await readCounters(entries);
  return {
    seed,
    seconds,
    windowMs: WINDOW_MS,
    callers: tallies.map(({ report }) => report),
    tenants: byTenant(tallies.map(({ goodput }) => goodput)),
    trainers: trainings.map(({ report }) => report),
    sendLag: sendLag.times,
    counters: risen(before, after),
  };
}
