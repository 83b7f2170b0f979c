/**
 * What fails when, drawn from a seed. Faults come in series and overlap.
 *
 * @module
 */

import { HashRandom } from "../stand_ins/hash_random.ts";

/** Kinds of faults that the soak injects from outside. */
export enum Kind {
  KillDaemon = "kill daemon",
  PauseDaemon = "pause daemon",
  RestartDaemon = "restart daemon",
  KillAll = "kill all daemons",
  CutStore = "cut one daemon from the store",
  SilentStore = "store silent for one daemon",
  StoreOneWay = "answers of the store lost for one daemon",
  SlowStore = "store slow for all",
  StoreRefuses = "store refuses all",
  StoreLosesAnswers = "store loses answers",
  ResetUpstream = "connections to an upstream reset",
  SilentUpstream = "connections to an upstream silent",
  SlowUpstream = "link to an upstream slow",
  BrokenAnswers = "an upstream spoils answers",
  UpstreamLeaves = "an upstream leaves",
  Reload = "settings reloaded",
  Manifest = "manifest changes",
}

/** One fault. */
export interface Injection {
  readonly kind: Kind;
  /** From the start of the run. */
  readonly atMs: number;
  readonly forMs: number;
  /** Picks the target among those there are; 0 up to 1. */
  readonly target: number;
}

const KINDS = Object.values(Kind);
const SHORTEST_MS = 200;
const LONGEST_MS = 3500;

/** Draws `count` faults for a run of `runMs`. */
export function drawPlan(options: {
  seed: number;
  count: number;
  runMs: number;
  kinds?: readonly Kind[];
}): readonly Injection[] {
  const random = new HashRandom({ seed: options.seed });
  const kinds = options.kinds ?? KINDS;
  const draw = () => ({
    kind: kinds[Math.floor(random.next() * kinds.length)],
    atMs: Math.round(options.runMs * (0.1 + 0.7 * random.next())),
    forMs: Math.round(SHORTEST_MS + LONGEST_MS * random.next() ** 2),
    target: random.next(),
  });
  return Array.from({ length: options.count }, draw)
    .sort((a, b) => a.atMs - b.atMs);
}
