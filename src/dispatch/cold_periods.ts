/**
 * Until when each upstream is cold: just after its start it takes few requests,
 * and more make it crash. Several sources tell; the latest end that they give
 * counts, as a start that is kept back costs less than a crash.
 *
 * @module
 */

import { type Clock, logger } from "../kernel/mod.ts";
import type { KnownNotices } from "./known_notices.ts";
import type { Upstream } from "./shards.ts";
import { type ColdPace, WARM_UP_MS } from "./start_budget.ts";

const log = logger("dispatch");

/** States of more upstreams than this are dropped, the oldest first. */
const MAX_UPSTREAMS = 4096;

/** What shows that an upstream is cold. */
export enum ColdReason {
  /** Its entry in the list says so. */
  Listed = "listed",
  /** It is new, and its entry doesn't say whether it is cold. */
  Started = "started",
  /** The evacuation of its zone has ended. */
  EvacuationEnded = "evacuation_ended",
  /** It could not be reached, broke or fell silent, so it may start anew. */
  Failed = "failed",
  /** One of its answers says so. */
  Answered = "answered",
}

/** A cold upstream as the status shows it. */
export interface ColdUpstream {
  readonly upstream: string;
  readonly reason: ColdReason;
  /** Absent until it answers again. */
  readonly leftMs?: number;
}

/** An upstream that is cold as its evacuation ended, as daemons exchange it. */
export interface RestoredUpstream {
  readonly upstream: string;
  readonly leftMs: number;
  /** When the instance was born, if the list says so. */
  readonly bornAt?: number;
}

/** What is known of one instance of an upstream; times are monotonic. */
interface ColdState {
  upstream: Upstream;
  readonly seenAt: number;
  /** Whether the list had no cold time when the instance was first seen. */
  readonly unstated: boolean;
  listedUntil: number;
  evacuationEndedAt: number;
  failed: boolean;
  recoveredAt: number;
  /** The reason that was logged, while it is cold. */
  logged: ColdReason | undefined;
}

/** Decides until when upstreams are cold. */
export class ColdPeriods {
  readonly #clock: Clock;
  readonly #notices: KnownNotices;
  readonly #states = new Map<string, ColdState>();

  constructor(options: { clock: Clock; notices: KnownNotices }) {
    this.#clock = options.clock;
    this.#notices = options.notices;
  }

  /**
   * Applies what the list says of an upstream. A newer instance replaces what was
   * known of the one before. States outlast an upstream's absence from the list,
   * so that one that is listed again as it was isn't cold once more.
   */
  observe(upstream: Upstream): void {
    const { id, bornAt, coldMs } = upstream;
    const now = this.#clock.now();
    const known = this.#states.get(id);
    if (known !== undefined && isLater(known.upstream.bornAt, bornAt)) return;
    const isNew = known === undefined ||
      isLater(bornAt, known.upstream.bornAt);
    const before = known?.upstream;
    const state = isNew ? newState(upstream, now, known?.logged) : known;
    // An upstream that was never cold has no second of doubled rate after it.
    const stated = coldMs !== undefined && coldMs > 0;
    if (stated && (isNew || coldMs !== before?.coldMs)) {
      state.listedUntil = Math.max(state.listedUntil, now + coldMs);
    }
    // Builds before this one pass entries on without the cold time.
    const listedMs = coldMs ?? (isNew ? undefined : before?.coldMs);
    state.upstream = { ...upstream, coldMs: listedMs };
    this.#states.delete(id);
    this.#states.set(id, state);
    this.#dropOldest();
    const ended = before?.evacuated === true && upstream.evacuated !== true;
    if (ended) this.evacuationEnded(id);
  }

  /** Records that the evacuation of an upstream's zone has ended. */
  evacuationEnded(id: string): void {
    const state = this.#states.get(id);
    if (state !== undefined) state.evacuationEndedAt = this.#clock.now();
  }

  /** The upstreams that are cold as their evacuation ended. */
  restored(): readonly RestoredUpstream[] {
    const now = this.#clock.now();
    return [...this.#states.values()].flatMap((state) => {
      const { id, bornAt, coldStart } = state.upstream;
      const durationMs = coldStart?.durationMs ?? 0;
      const leftMs = state.evacuationEndedAt + durationMs - now;
      return leftMs > 0 ? [{ upstream: id, leftMs, bornAt }] : [];
    });
  }

  /**
   * Applies the end of an evacuation that another daemon knows of. This one may
   * have started since, so that it hasn't seen the upstream evacuated.
   */
  mergeRestored({ upstream, leftMs, bornAt }: RestoredUpstream): void {
    const state = this.#states.get(upstream);
    if (state === undefined || isLater(state.upstream.bornAt, bornAt)) return;
    const durationMs = state.upstream.coldStart?.durationMs ?? 0;
    const sinceMs = Math.max(0, durationMs - leftMs);
    state.evacuationEndedAt = Math.max(
      state.evacuationEndedAt,
      this.#clock.now() - sinceMs,
    );
  }

  /** Records that requests can't reach an upstream, break there or get silence. */
  failed(id: string): void {
    const state = this.#states.get(id);
    if (state !== undefined) state.failed = true;
  }

  /** Records that an upstream works; its cold time begins if it had failed. */
  succeeded(id: string): void {
    const state = this.#states.get(id);
    if (state === undefined || !state.failed) return;
    state.failed = false;
    state.recoveredAt = this.#clock.now();
  }

  /**
   * What an upstream takes while it is cold and just after; undefined at other
   * times. Logs when the cold time begins and ends.
   */
  paceOf(id: string): ColdPace | undefined {
    const state = this.#states.get(id);
    const coldStart = state?.upstream.coldStart;
    if (state === undefined || coldStart === undefined) return undefined;
    const until = this.#until(state);
    const now = this.#clock.now();
    this.#logChange(state, until, now);
    if (now >= until + WARM_UP_MS) return undefined;
    return { ratePerS: coldStart.requestsPerS, until };
  }

  /** Whether an upstream is cold now. */
  isCold(id: string): boolean {
    const state = this.#states.get(id);
    return state !== undefined && this.#until(state) > this.#clock.now();
  }

  /** The upstreams that are cold now. */
  all(): readonly ColdUpstream[] {
    const now = this.#clock.now();
    return [...this.#states].flatMap(([upstream, state]) => {
      const until = this.#until(state);
      if (until <= now) return [];
      const leftMs = until === Infinity ? {} : { leftMs: until - now };
      return [{ upstream, reason: this.#reason(state), ...leftMs }];
    });
  }

  /** The latest end that a source gives; in the past if none does. */
  #until(state: ColdState): number {
    const { id, bornAt, coldStart } = state.upstream;
    if (coldStart === undefined) return -Infinity;
    if (state.failed) return Infinity;
    const { durationMs } = coldStart;
    return Math.max(
      state.listedUntil,
      this.#notices.coldUntil(id, bornAt),
      state.unstated ? state.seenAt + durationMs : -Infinity,
      state.evacuationEndedAt + durationMs,
      state.recoveredAt + durationMs,
    );
  }

  #reason(state: ColdState): ColdReason {
    const { id, bornAt, coldStart } = state.upstream;
    const durationMs = coldStart?.durationMs ?? 0;
    switch (this.#until(state)) {
      case Infinity:
      case state.recoveredAt + durationMs:
        return ColdReason.Failed;
      case state.evacuationEndedAt + durationMs:
        return ColdReason.EvacuationEnded;
      case state.listedUntil:
        return ColdReason.Listed;
      case this.#notices.coldUntil(id, bornAt):
        return ColdReason.Answered;
      default:
        return ColdReason.Started;
    }
  }

  #logChange(state: ColdState, until: number, now: number): void {
    if (until > now === (state.logged !== undefined)) return;
    const { id, pool } = state.upstream;
    const reason = state.logged ?? this.#reason(state);
    state.logged = until > now ? reason : undefined;
    if (until <= now) {
      return log("upstream no longer cold", { id, pool, reason });
    }
    const forMs = until === Infinity ? "unknown" : Math.round(until - now);
    log("upstream cold", { id, pool, reason, forMs });
  }

  #dropOldest(): void {
    if (this.#states.size <= MAX_UPSTREAMS) return;
    const [oldest] = this.#states.keys();
    this.#states.delete(oldest);
  }
}

function newState(
  upstream: Upstream,
  now: number,
  logged: ColdReason | undefined,
): ColdState {
  return {
    upstream,
    seenAt: now,
    unstated: upstream.coldMs === undefined,
    listedUntil: -Infinity,
    evacuationEndedAt: -Infinity,
    failed: false,
    recoveredAt: -Infinity,
    logged,
  };
}

function isLater(bornAt?: number, other?: number): boolean {
  return bornAt !== undefined && other !== undefined && bornAt > other;
}
