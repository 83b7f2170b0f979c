/**
 * Which upstreams load new weights now: a bounded part of a pool at once, the
 * furthest behind first, failed ones again after a while and after the others.
 *
 * @module
 */

import type { FinishedLoad } from "./concurrency.ts";

/** Where older versions do for a while, this part has the newest. */
const MIN_NEWEST_SHARE = 0.5;
/** Part of a pool's upstreams that load weights at once. */
const MAX_LOADING_SHARE = 0.35;
/** Bounds on the time after which a swap counts as failed. */
const MIN_TIMEOUT_MS = 5000;
const INITIAL_TIMEOUT_MS = 10_000;
const MAX_TIMEOUT_MS = 120_000;
/** A swap may take this many times the longest recent one. */
const TIMEOUT_FACTOR = 3;
/** An engine is asked after this part of the shortest recent swap. */
const COMPLETION_CHECK_FACTOR = 0.8;
const RECENT_DURATION_COUNT = 16;
const MIN_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 30_000;

/** An upstream and the weight version that it serves. */
export interface VersionedVm {
  readonly id: string;
  readonly version: number;
}

/** How a swap ended. */
export enum UpdateOutcome {
  Done = "done",
  /** The version didn't come in time. */
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

/** The swaps of one pool. */
export class WeightUpdateSchedule {
  readonly #maxLoadingShare: number;
  readonly #maxVersionLag: number;
  readonly #onDone: (ended: FinishedLoad) => void;
  #pending: ReadonlyMap<string, PendingUpdate> = new Map();
  #retries: ReadonlyMap<string, Retry> = new Map();
  #durations: readonly number[] = [];

  constructor(options: {
    maxLoadingShare?: number;
    /** Versions that an upstream may be behind and still serve trainers. */
    maxVersionLag?: number;
    /** Told of each swap that was done. */
    onDone?: (ended: FinishedLoad) => void;
  } = {}) {
    this.#maxLoadingShare = options.maxLoadingShare ?? MAX_LOADING_SHARE;
    this.#maxVersionLag = options.maxVersionLag ?? 0;
    this.#onDone = options.onDone ?? (() => {});
  }

  /** Upstreams whose swap hasn't ended. */
  get pending(): readonly string[] {
    return [...this.#pending.keys()];
  }

  /** Upstreams whose swap may be done by now, going by recent ones. */
  possiblyDone(now: number): readonly string[] {
    const minDurationMs = this.#durations.length === 0
      ? 0
      : Math.min(...this.#durations) * COMPLETION_CHECK_FACTOR;
    return [...this.#pending]
      .filter(([, { at }]) => now - at >= minDurationMs)
      .map(([id]) => id);
  }

  /** Ends swaps that are done or overdue; answers with their ends. */
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

  /** Upstreams behind `latest` that there is room to swap, in order. */
  due(
    upstreams: readonly VersionedVm[],
    { latest, now }: { latest: number; now: number },
  ): readonly string[] {
    const maxPending = Math.max(
      1,
      Math.floor(upstreams.length * this.#maxLoadingShare),
    );
    return this.#upstreamsToUpdate(upstreams, latest)
      .filter(({ id }) =>
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
   * Upstreams that shall load `latest`: all that are too old to serve, and of
   * the others as many as bring a part of the pool up to it. So each version
   * is loaded by a part of the upstreams only, and at any time most serve.
   */
  #upstreamsToUpdate(
    upstreams: readonly VersionedVm[],
    latest: number,
  ): readonly VersionedVm[] {
    const older = upstreams.filter(({ version }) => version < latest);
    const stale = older.filter(({ version }) =>
      version < latest - this.#maxVersionLag
    );
    if (this.#maxVersionLag === 0) return stale;
    const newest = upstreams.length - older.length + stale.length;
    const wanted = Math.ceil(upstreams.length * MIN_NEWEST_SHARE);
    const others = older.filter((one) => !stale.includes(one))
      .sort((a, b) => a.id < b.id ? -1 : 1);
    return [...stale, ...others.slice(0, Math.max(0, wanted - newest))];
  }

  /** Notes that `version` was ordered. */
  recordStart(id: string, { version, now }: { version: number; now: number }) {
    this.#pending = new Map([...this.#pending, [id, { version, at: now }]]);
  }

  /** Notes that a swap wasn't needed, or wasn't ordered. */
  forget(id: string): void {
    this.#pending = without(this.#pending, id);
  }

  /** Notes that a swap failed, or couldn't be ordered. */
  failed(id: string, now: number): void {
    const failures = this.#failures(id) + 1;
    const waitMs = Math.min(
      MAX_BACKOFF_MS,
      MIN_BACKOFF_MS * 2 ** (failures - 1),
    );
    this.#pending = without(this.#pending, id);
    this.#retries = new Map([
      ...this.#retries,
      [id, { failures, at: now + waitMs }],
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
