/**
 * Draws a plan of faults from a seed. Several faults may overlap.
 *
 * @module
 */

import { HashRandom } from "../stand_ins/hash_random.ts";

/** Kinds of faults that the soak test injects. */
export enum SoakFault {
  KillDaemon = "kill daemon",
  PauseDaemon = "pause daemon",
  RestartDaemon = "restart daemon",
  KillAll = "kill all daemons",
  /** The owner is the daemon that sent the last item of a long batch. */
  KillOwner = "kill the owner of batches",
  KillInTurn = "kill daemons one after the other",
  RestartAll = "restart all daemons",
  CutOffDaemon = "cut one daemon off from store and peers",
  CutOffOwner = "cut the owner of batches off from store and peers",
  CutStore = "cut one daemon from the store",
  SilentStore = "store silent for one daemon",
  StoreOneWay = "answers of the store lost for one daemon",
  SlowStore = "store slow for all",
  StoreRefuses = "store refuses all",
  StoreLosesAnswers = "store loses answers",
  ResetUpstream = "connections to an upstream reset",
  SilentUpstream = "connections to an upstream silent",
  SlowUpstream = "link to an upstream slow",
  CrashUpstream = "an upstream crashes",
  BrokenAnswers = "an upstream spoils answers",
  UpstreamLeaves = "an upstream leaves",
  UpstreamLimited = "an upstream names a limit",
  UpstreamSaysLeaving = "an upstream says that it leaves, though listed",
  Reload = "settings reloaded",
  Manifest = "manifest changes",
}

/** A fault with its time and its target. */
export interface PlannedFault {
  readonly kind: SoakFault;
  /** Since the start of the run. */
  readonly atMs: number;
  readonly durationMs: number;
  /** Selects one of the possible targets; in [0, 1). */
  readonly target: number;
}

/** Which daemons and upstreams a fault held up, and when. */
export interface Disturbance {
  readonly kind: SoakFault;
  readonly from: number;
  readonly to: number;
  /** Addresses of daemons that were not running or were cut off. */
  readonly daemons: readonly string[];
  /** Ids of upstreams whose connections were harmed. */
  readonly upstreams: readonly string[];
}

/** What an upstream said of itself in its answers, and when. */
export interface Announcement {
  readonly upstream: string;
  readonly from: number;
  readonly to: number;
  /** Requests a second that it named as its limit; absent if it said it leaves. */
  readonly limitPerS?: number;
}

/** Faults by which an upstream says something of itself. */
const ANNOUNCEMENTS = [
  SoakFault.UpstreamLimited,
  SoakFault.UpstreamSaysLeaving,
];
const OTHER_FAULTS = Object.values(SoakFault)
  .filter((kind) => !ANNOUNCEMENTS.includes(kind));
const MIN_FAULT_MS = 200;
const FAULT_SPREAD_MS = 3500;

/** Draws `count` faults for a run of `runMs`; of all kinds, and an announcement. */
export function drawFaultPlan(options: {
  seed: number;
  count: number;
  runMs: number;
  kinds?: readonly SoakFault[];
}): readonly PlannedFault[] {
  const random = new HashRandom({ seed: options.seed });
  const draw = (kinds: readonly SoakFault[]) => ({
    kind: kinds[Math.floor(random.next() * kinds.length)],
    atMs: Math.round(options.runMs * (0.1 + 0.7 * random.next())),
    durationMs: Math.round(MIN_FAULT_MS + FAULT_SPREAD_MS * random.next() ** 2),
    target: random.next(),
  });
  const faults = Array.from(
    { length: options.count },
    () => draw(options.kinds ?? OTHER_FAULTS),
  );
  const announced = options.kinds === undefined && options.count > 0
    ? [draw(ANNOUNCEMENTS)]
    : [];
  return [...faults, ...announced]
    .sort((a, b) => a.atMs - b.atMs);
}
