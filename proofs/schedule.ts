/**
 * Draws schedules of faults from a seed.
 *
 * @module
 */

import { HashRandom } from "../stand_ins/hash_random.ts";

/** Kinds of faults that a scenario injects. */
export enum ScenarioFault {
  KillEntry = "kill entry",
  PauseEntry = "pause entry",
  RestartEntry = "restart entry",
  PlatformOutage = "platform outage",
  PlatformSlow = "platform slow",
  PlatformLostAnswers = "platform lost answers",
  EngineCrash = "engine crash",
  EngineSilent = "engine silent",
  EngineBreaks = "engine breaks",
  EngineTruncates = "engine truncates",
  EngineCrosses = "engine crosses answers",
  SwapsFail = "swaps fail",
  ZoneReclaimed = "zone reclaimed",
  UpstreamLeaves = "upstream leaves",
  Poison = "poison request",
  LinksCut = "links cut",
  LinksSilent = "links silent",
  OperatorRace = "operator race",
}

/** A fault with its time and its target. */
export interface ScheduledFault {
  readonly fault: ScenarioFault;
  /** Since the start of the run. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Selects one of the possible targets; in [0, 1). */
  readonly target: number;
}

const ALL_FAULTS = Object.values(ScenarioFault);
const MIN_FAULT_MS = 300;

/** Draws `count` faults for a run; with `pairs`, two start at a time. */
export function drawSchedule(options: {
  seed: number;
  count: number;
  runMs: number;
  pairs: boolean;
  faults?: readonly ScenarioFault[];
}): readonly ScheduledFault[] {
  const random = new HashRandom({ seed: options.seed });
  const faults = options.faults ?? ALL_FAULTS;
  const scheduledFaults: ScheduledFault[] = [];
  for (let n = 0; n < options.count; n++) {
    const drawn = {
      fault: faults[Math.floor(random.next() * faults.length)],
      atMs: Math.round(options.runMs * (0.1 + 0.6 * random.next())),
      durationMs: Math.round(MIN_FAULT_MS + 4000 * random.next() ** 2),
      target: random.next(),
    };
    const first = scheduledFaults.at(-1);
    const second = options.pairs && n % 2 === 1 && first !== undefined;
    scheduledFaults.push(second ? { ...drawn, atMs: first.atMs } : drawn);
  }
  return scheduledFaults.sort((a, b) => a.atMs - b.atMs);
}
