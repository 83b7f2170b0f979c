/**
 * Schedules weight updates: a limited share of a pool's upstreams loads at
 * once, the furthest behind first. Failed updates are retried with backoff and
 * after the others.
 *
 * @module
 */

import type { FinishedLoad } from "./weight_load_limiter.ts";

/** Share of upstreams on the newest version if a version lag is allowed. */
const MIN_NEWEST_SHARE = 0.5;
/** Share of a pool's upstreams that load weights at once. */
const MAX_LOADING_SHARE = 0.35;
/** Bounds of the timeout after which an update counts as failed. */
const MIN_TIMEOUT_MS = 5000;
const INITIAL_TIMEOUT_MS = 10_000;
const MAX_TIMEOUT_MS = 120_000;
/** The timeout is the longest recent duration times this. */
const TIMEOUT_FACTOR = 3;
/** An engine is polled after this part of the shortest recent duration. */
const COMPLETION_CHECK_FACTOR = 0.8;
const RECENT_DURATION_COUNT = 16;
const MIN_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 30_000;

/** An upstream and the weight version that it serves. */
export interface VersionedVm {
  readonly id: string;
  readonly version: number;
}

/** Outcome of an update. */
export enum UpdateOutcome {
  Done = "done",
  /** The engine did not have the version within the timeout. */
  Overdue = "overdue",
}

interface PendingUpdate {
  readonly version: number;
  readonly at: number;
}

interface Retry {
  readonly failures: number;
  readonly at: number;
}

/** The updates of one model in a pool. */
export class WeightUpdateSchedule {
  readonly #maxLoadingShare: number;
  /** Versions by which an upstream may lag and still serve trainers. */
  maxVersionLag: number;
  readonly #onDone: (ended: FinishedLoad) => void;
  #pending: ReadonlyMap<string, PendingUpdate> = new Map();
  #retries: ReadonlyMap<string, Retry> = new Map();
  #durations: readonly number[] = [];

  constructor(options: {
    maxLoadingShare?: number;
    maxVersionLag?: number;
    /** Called after each completed update. */
    onDone?: (ended: FinishedLoad) => void;
  } = {}) {
    this.#maxLoadingShare = options.maxLoadingShare ?? MAX_LOADING_SHARE;
    this.maxVersionLag = options.maxVersionLag ?? 0;
    this.#onDone = options.onDone ?? (() => {});
  }

  /** Upstreams with an update in progress. */
  get pending(): readonly string[] {
    return [...this.#pending.keys()];
  }

  /** Upstreams whose update may be done, judging by recent durations. */
  possiblyDone(now: number): readonly string[] {
    const minDurationMs = this.#durations.length === 0
      ? 0
      : Math.min(...this.#durations) * COMPLETION_CHECK_FACTOR;
    return [...this.#pending]
      .filter(([, { at }]) => now - at >= minDurationMs)
      .map(([id]) => id);
  }

  /** Ends updates that are done or overdue; returns their outcomes. */
  settle(
    upstreams: readonly VersionedVm[],
    now: number,
  ): readonly (readonly [string, UpdateOutcome])[] {
    const versions = new Map(upstreams.map(({ id, version }) => [id, version]));
    const ended: [string, UpdateOutcome][] = [];
    for (const [id, { version, at }] of this.#pending) {
      const current = versions.get(id);
      if (current === undefined) this.#pending = without(this.#pending, id);
      else if (current >= version) {
        this.#onDone({ startedAt: at, durationMs: now - at });
        ended.push([id, this.#done(id, now - at)]);
      } else if (now - at > this.#timeoutMs()) {
        this.failed(id, now);
        ended.push([id, UpdateOutcome.Overdue]);
      }
    }
    return ended;
  }

  /**
   * Upstreams behind `latest` to update now, in order, within the limit; with
   * `staleOnly` only those that are too old to serve.
   */
  due(
    upstreams: readonly VersionedVm[],
    { latest, now, staleOnly = false }: {
      latest: number;
      now: number;
      staleOnly?: boolean;
    },
  ): readonly string[] {
    const maxPending = Math.max(
      1,
      Math.floor(upstreams.length * this.#maxLoadingShare),
    );
    const oldest = latest - this.maxVersionLag;
    return this.#upstreamsToUpdate(upstreams, latest)
      .filter(({ id, version }) =>
        (!staleOnly || version < oldest) &&
        !this.#pending.has(id) && (this.#retries.get(id)?.at ?? 0) <= now
      )
      .sort((a, b) =>
        this.#failures(a.id) - this.#failures(b.id) ||
        a.version - b.version || (a.id < b.id ? -1 : 1)
      )
      .slice(0, Math.max(0, maxPending - this.#pending.size))
      .map(({ id }) => id);
  }

  /**
   * Upstreams that need to load `latest`: all that are too old to serve, and
   * as many others as are needed for `MIN_NEWEST_SHARE` of the pool. Only some
   * upstreams load each version, so that most serve at any time.
   */
  #upstreamsToUpdate(
    upstreams: readonly VersionedVm[],
    latest: number,
  ): readonly VersionedVm[] {
    const older = upstreams.filter(({ version }) => version < latest);
    const stale = older.filter(({ version }) =>
      version < latest - this.maxVersionLag
    );
    if (this.maxVersionLag === 0) return stale;
    const newest = upstreams.length - older.length + stale.length;
    const wanted = Math.ceil(upstreams.length * MIN_NEWEST_SHARE);
    const others = older.filter((one) => !stale.includes(one))
      .sort((a, b) => a.id < b.id ? -1 : 1);
    return [...stale, ...others.slice(0, Math.max(0, wanted - newest))];
  }

  /** Records that `version` was ordered. */
  recordStart(id: string, { version, now }: { version: number; now: number }) {
    this.#pending = new Map([...this.#pending, [id, { version, at: now }]]);
  }

  /** Removes an update that was not needed or not ordered. */
  forget(id: string): void {
    this.#pending = without(this.#pending, id);
  }

  /** Records that an update failed or could not be ordered. */
  failed(id: string, now: number): void {
    const doublings = this.#failures(id);
    const waitMs = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** doublings);
    this.#recordFailure(id, now + waitMs);
  }

  /**
   * Records that an engine has not accepted an order. After a first failure it is
   * placed again at once, but like other retries after updates that have not
   * failed: an engine that never accepts one must not hold up the others.
   */
  missed(id: string, now: number): void {
    if (this.#failures(id) > 0) this.failed(id, now);
    else this.#recordFailure(id, now);
  }

  #recordFailure(id: string, retryAt: number): void {
    const failures = this.#failures(id) + 1;
    this.#pending = without(this.#pending, id);
    this.#retries = new Map([
      ...this.#retries,
      [id, { failures, at: retryAt }],
    ]);
  }

  #failures(id: string): number {
    return this.#retries.get(id)?.failures ?? 0;
  }

  #done(id: string, durationMs: number): UpdateOutcome {
    this.#pending = without(this.#pending, id);
    this.#retries = without(this.#retries, id);
    this.#durations = [...this.#durations, durationMs].slice(
      -RECENT_DURATION_COUNT,
    );
    return UpdateOutcome.Done;
  }

  #timeoutMs(): number {
    if (this.#durations.length === 0) return INITIAL_TIMEOUT_MS;
    const timeoutMs = Math.max(...this.#durations) * TIMEOUT_FACTOR;
    return Math.min(MAX_TIMEOUT_MS, Math.max(MIN_TIMEOUT_MS, timeoutMs));
  }
}

function without<T>(
  map: ReadonlyMap<string, T>,
  key: string,
): ReadonlyMap<string, T> {
  return new Map([...map].filter(([other]) => other !== key));
}
