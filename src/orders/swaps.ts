/**
 * Which upstreams load new weights now: a bounded part of a pool at once, the
 * furthest behind first, failed ones again after a while and after the others.
 *
 * @module
 */

import type { Ended } from "./concurrency.ts";

/** Where older versions do for a while, this part has the newest. */
const NEWEST_SHARE = 0.5;
/** Part of a pool's upstreams that load weights at once. */
const FRACTION = 0.35;
/** Bounds on the time after which a swap counts as failed. */
const MIN_TIMEOUT_MS = 5000;
const FIRST_TIMEOUT_MS = 10_000;
const MAX_TIMEOUT_MS = 120_000;
/** A swap may take this many times the longest recent one. */
const TIMEOUT_FACTOR = 3;
/** An engine is asked after this part of the shortest recent swap. */
const AWAIT_FACTOR = 0.8;
const RECENT_SWAPS = 16;
const MIN_RETRY_MS = 500;
const MAX_RETRY_MS = 30_000;

/** An upstream and the weight version that it serves. */
export interface Versioned {
  readonly id: string;
  readonly version: number;
}

/** How a swap ended. */
export enum SwapEnd {
  Done = "done",
  /** The version didn't come in time. */
  Overdue = "overdue",
}

interface Pending {
  readonly version: number;
  readonly at: number;
}

interface Retry {
  readonly failures: number;
  readonly at: number;
}

/** The swaps of one pool. */
export class Swaps {
  readonly #fraction: number;
  readonly #lag: number;
  readonly #onDone: (ended: Ended) => void;
  #pending: ReadonlyMap<string, Pending> = new Map();
  #retries: ReadonlyMap<string, Retry> = new Map();
  #durations: readonly number[] = [];

  constructor(options: {
    fraction?: number;
    /** Versions that an upstream may be behind and still serve trainers. */
    lag?: number;
    /** Told of each swap that was done. */
    onDone?: (ended: Ended) => void;
  } = {}) {
    this.#fraction = options.fraction ?? FRACTION;
    this.#lag = options.lag ?? 0;
    this.#onDone = options.onDone ?? (() => {});
  }

  /** Upstreams whose swap hasn't ended. */
  get pending(): readonly string[] {
    return [...this.#pending.keys()];
  }

  /** Upstreams whose swap may be done by now, going by recent ones. */
  awaited(now: number): readonly string[] {
    const soonestMs = this.#durations.length === 0
      ? 0
      : Math.min(...this.#durations) * AWAIT_FACTOR;
    return [...this.#pending]
      .filter(([, { at }]) => now - at >= soonestMs)
      .map(([id]) => id);
  }

  /** Ends swaps that are done or overdue; answers with their ends. */
  settle(
    upstreams: readonly Versioned[],
    now: number,
  ): readonly (readonly [string, SwapEnd])[] {
    const versions = new Map(upstreams.map(({ id, version }) => [id, version]));
    const ended: [string, SwapEnd][] = [];
    for (const [id, { version, at }] of this.#pending) {
      const current = versions.get(id);
      if (current === undefined) this.#pending = without(this.#pending, id);
      else if (current >= version) {
        this.#onDone({ startedAt: at, tookMs: now - at });
        ended.push([id, this.#done(id, now - at)]);
      } else if (now - at > this.#timeoutMs()) {
        this.failed(id, now);
        ended.push([id, SwapEnd.Overdue]);
      }
    }
    return ended;
  }

  /** Upstreams behind `latest` that there is room to swap, in order. */
  due(
    upstreams: readonly Versioned[],
    { latest, now }: { latest: number; now: number },
  ): readonly string[] {
    const most = Math.max(1, Math.floor(upstreams.length * this.#fraction));
    return this.#behind(upstreams, latest)
      .filter(({ id }) =>
        !this.#pending.has(id) && (this.#retries.get(id)?.at ?? 0) <= now
      )
      .sort((a, b) =>
        this.#failures(a.id) - this.#failures(b.id) ||
        a.version - b.version || (a.id < b.id ? -1 : 1)
      )
      .slice(0, Math.max(0, most - this.#pending.size))
      .map(({ id }) => id);
  }

  /**
   * Upstreams that shall load `latest`: all that are too old to serve, and of
   * the others as many as bring a part of the pool up to it. So each version
   * is loaded by a part of the upstreams only, and at any time most serve.
   */
  #behind(
    upstreams: readonly Versioned[],
    latest: number,
  ): readonly Versioned[] {
    const older = upstreams.filter(({ version }) => version < latest);
    const stale = older.filter(({ version }) => version < latest - this.#lag);
    if (this.#lag === 0) return stale;
    const newest = upstreams.length - older.length + stale.length;
    const wanted = Math.ceil(upstreams.length * NEWEST_SHARE);
    const others = older.filter((one) => !stale.includes(one))
      .sort((a, b) => a.id < b.id ? -1 : 1);
    return [...stale, ...others.slice(0, Math.max(0, wanted - newest))];
  }

  /** Notes that `version` was ordered. */
  started(id: string, { version, now }: { version: number; now: number }) {
    this.#pending = new Map([...this.#pending, [id, { version, at: now }]]);
  }

  /** Notes that a swap wasn't needed, or wasn't ordered. */
  forget(id: string): void {
    this.#pending = without(this.#pending, id);
  }

  /** Notes that a swap failed, or couldn't be ordered. */
  failed(id: string, now: number): void {
    const failures = this.#failures(id) + 1;
    const waitMs = Math.min(MAX_RETRY_MS, MIN_RETRY_MS * 2 ** (failures - 1));
    this.#pending = without(this.#pending, id);
    this.#retries = new Map([
      ...this.#retries,
      [id, { failures, at: now + waitMs }],
    ]);
  }

  #failures(id: string): number {
    return this.#retries.get(id)?.failures ?? 0;
  }

  #done(id: string, tookMs: number): SwapEnd {
    this.#pending = without(this.#pending, id);
    this.#retries = without(this.#retries, id);
    this.#durations = [...this.#durations, tookMs].slice(-RECENT_SWAPS);
    return SwapEnd.Done;
  }

  #timeoutMs(): number {
    if (this.#durations.length === 0) return FIRST_TIMEOUT_MS;
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
