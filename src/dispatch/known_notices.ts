/**
 * What this daemon knows of the limits that upstreams named, of those that
 * leave, and of those that are cold, from their answers and from other daemons.
 *
 * @module
 */

import { type Clock, logger } from "../kernel/mod.ts";
import type { UpstreamNotice } from "../outside/mod.ts";

const log = logger("dispatch");

/** Notices of more upstreams than this are dropped, the oldest first. */
const MAX_NOTICES = 4096;

/**
 * An answer that puts the end of the cold time off by less than this changes
 * nothing: answers take more or less time to arrive, and each change is sent to
 * the other daemons.
 */
const MIN_COLD_GAIN_MS = 250;

/** A notice as daemons exchange it. */
export interface ReportedNotice {
  readonly upstream: string;
  /** Absent if the upstream's limit has ended. */
  readonly limitPerS?: number;
  readonly leaving: boolean;
  /** When the instance that leaves was born, if the list says so. */
  readonly bornAt?: number;
  /** Time since the answer that said so. */
  readonly ageMs: number;
  /** For how long it stays cold, if it said so; when that instance was born. */
  readonly cold?: { readonly leftMs: number; readonly bornAt?: number };
}

/** A notice with its version on this daemon, which grows with each change. */
export interface VersionedNotice extends ReportedNotice {
  readonly version: number;
}

/** Told of a change, and where it came from: a VM, or `HEARD_HERE`. */
export type NoticeListener = (notice: ReportedNotice, origin: string) => void;

/** Origin of what an answer to this daemon said. */
export const HEARD_HERE = "here";

/** Until when an instance said that it is cold, on this daemon's clock. */
interface ColdNotice {
  readonly until: number;
  readonly bornAt?: number;
}

interface KnownNotice extends Omit<ReportedNotice, "ageMs" | "cold"> {
  readonly cold?: ColdNotice;
  /** Arrival of the newest answer that said so. */
  readonly at: number;
  readonly version: number;
}

/** The latest notice of each upstream that named a limit or leaves. */
export class KnownNotices {
  readonly #clock: Clock;
  readonly #known = new Map<string, KnownNotice>();
  readonly #listeners: NoticeListener[] = [];

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  /** Requests a second that an upstream takes; infinite without a limit. */
  limitOf(upstream: string): number {
    return this.#known.get(upstream)?.limitPerS ?? Infinity;
  }

  /**
   * Until when the instance of an upstream that was born then, or an earlier one
   * whose birth is unknown, said that it is cold.
   */
  coldUntil(upstream: string, bornAt?: number): number {
    const cold = this.#known.get(upstream)?.cold;
    if (cold === undefined || isLater(bornAt, cold.bornAt)) return -Infinity;
    return cold.until;
  }

  /** Whether the instance of an upstream that was born then has said it leaves. */
  isLeaving(upstream: string, bornAt?: number): boolean {
    const known = this.#known.get(upstream);
    return known?.leaving === true && !isLater(bornAt, known.bornAt);
  }

  /** Applies an answer to this daemon from an instance that was born then. */
  heard(notice: UpstreamNotice, bornAt?: number): void {
    const { upstream, limitPerS, leaving, coldMs, requestAgeMs } = notice;
    const known = this.#known.get(upstream);
    const now = this.#clock.now();
    const cold = coldMs === undefined
      ? undefined
      : { until: now + coldMs, bornAt };
    if (known === undefined) {
      if (limitPerS === undefined && !leaving && cold === undefined) return;
    } else if (limitPerS === undefined && now - requestAgeMs < known.at) {
      // The answer may have been on its way when the limit was last named.
      if (!leaving || known.leaving) {
        return this.#apply({ ...known, cold }, HEARD_HERE);
      }
    }
    const heard = { upstream, limitPerS, leaving, bornAt, at: now, cold };
    this.#apply(heard, HEARD_HERE);
  }

  /** Applies what another daemon knows; `origin` is where it came from. */
  merge({ ageMs, ...notice }: ReportedNotice, origin = "a peer"): void {
    const now = this.#clock.now();
    const at = now - ageMs;
    const cold = notice.cold === undefined
      ? undefined
      : { until: now + notice.cold.leftMs, bornAt: notice.cold.bornAt };
    const known = this.#known.get(notice.upstream);
    const newer = known === undefined || at > known.at;
    const leaves = notice.leaving && known?.leaving !== true;
    if (newer || leaves) this.#apply({ ...notice, at, cold }, origin);
    else this.#apply({ ...known, cold }, origin);
  }

  /** All notices that daemons may lack, with their versions. */
  all(): readonly VersionedNotice[] {
    const now = this.#clock.now();
    return [...this.#known.values()].map(({ at, cold, ...notice }) => ({
      ...notice,
      ...reportedCold(cold, now),
      ageMs: now - at,
    }));
  }

  /** Calls `listener` after each change. */
  onChange(listener: NoticeListener): void {
    this.#listeners.push(listener);
  }

  #apply(notice: Omit<KnownNotice, "version">, origin: string): void {
    const { upstream } = notice;
    const known = this.#known.get(upstream);
    const cold = laterCold(notice.cold, known?.cold);
    const next = { ...withEarlier(notice, known), cold };
    const { limitPerS, leaving, bornAt, at } = next;
    const changed = limitPerS !== known?.limitPerS || cold !== known?.cold ||
      leaving !== (known?.leaving ?? false) ||
      leaving && bornAt !== known?.bornAt;
    const version = (known?.version ?? 0) + (changed ? 1 : 0);
    this.#known.delete(upstream);
    this.#known.set(upstream, { ...next, version });
    this.#dropOldest();
    if (!changed) return;
    const now = this.#clock.now();
    const ageMs = now - at;
    const reportedly = reportedCold(cold, now);
    log("upstream notice changed", {
      upstream,
      limitPerS: limitPerS ?? "none",
      before: known?.limitPerS ?? "none",
      leaving,
      coldMs: Math.round(reportedly.cold?.leftMs ?? 0),
      ageMs: Math.round(ageMs),
      origin,
    });
    const reported = {
      ...{ upstream, limitPerS, leaving, bornAt, ageMs },
      ...reportedly,
    };
    for (const listener of this.#listeners) listener(reported, origin);
  }

  #dropOldest(): void {
    if (this.#known.size <= MAX_NOTICES) return;
    const [oldest] = this.#known.keys();
    this.#known.delete(oldest);
  }
}

/** The cold time as daemons exchange it; nothing once it is over. */
function reportedCold(
  cold: ColdNotice | undefined,
  now: number,
): Pick<ReportedNotice, "cold"> {
  if (cold === undefined || cold.until <= now) return {};
  return { cold: { leftMs: cold.until - now, bornAt: cold.bornAt } };
}

/** The end of the newer instance counts; of the same one, the later end. */
function laterCold(next?: ColdNotice, known?: ColdNotice) {
  if (next === undefined || known === undefined) return next ?? known;
  if (isLater(next.bornAt, known.bornAt)) return next;
  if (isLater(known.bornAt, next.bornAt)) return known;
  return next.until - known.until >= MIN_COLD_GAIN_MS ? next : known;
}

/** The notice, but an instance that said that it leaves never stays. */
function withEarlier(
  notice: Omit<KnownNotice, "version">,
  known?: KnownNotice,
): Omit<KnownNotice, "version"> {
  const sameInstance = known?.leaving === true &&
    !isLater(notice.bornAt, known.bornAt);
  if (!sameInstance) return notice;
  const heardBornAt = notice.leaving ? notice.bornAt : undefined;
  return { ...notice, leaving: true, bornAt: known.bornAt ?? heardBornAt };
}

function isLater(bornAt?: number, other?: number): boolean {
  return bornAt !== undefined && other !== undefined && bornAt > other;
}
