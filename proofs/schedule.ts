/**
 * Schedules of faults, drawn from a seed.
 *
 * @module
 */

import { HashRandom } from "../stand_ins/hash_random.ts";

/** What is made to fail. */
export enum Fault {
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
export interface Injection {
  readonly fault: Fault;
  /** From the start of the run. */
  readonly atMs: number;
  readonly forMs: number;
  /** Draws the target among those there are; 0 up to 1. */
  readonly target: number;
}

const FAULTS = Object.values(Fault);
const SHORTEST_MS = 300;

/** Draws `count` faults for a run; with `pairs`, they start two at a time. */
export function drawSchedule(options: {
  seed: number;
  count: number;
  runMs: number;
  pairs: boolean;
  faults?: readonly Fault[];
}): readonly Injection[] {
  const random = new HashRandom({ seed: options.seed });
  const faults = options.faults ?? FAULTS;
  const injections: Injection[] = [];
  for (let n = 0; n < options.count; n++) {
    const drawn = {
      fault: faults[Math.floor(random.next() * faults.length)],
      atMs: Math.round(options.runMs * (0.1 + 0.6 * random.next())),
      forMs: Math.round(SHORTEST_MS + 4000 * random.next() ** 2),
      target: random.next(),
    };
    const first = injections.at(-1);
    const second = options.pairs && n % 2 === 1 && first !== undefined;
    injections.push(second ? { ...drawn, atMs: first.atMs } : drawn);
  }
  return injections.sort((a, b) => a.atMs - b.atMs);
}
