/**
 * Mean event intervals of upstreams over the last minute. An average that
 * weighs the newest intervals most follows a change within a second and then no
 * longer tells that there was one.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";

const BUCKET_MS = 5000;
const BUCKETS = 12;

/** Intervals that ended in one period of five seconds. */
interface Bucket {
  /** Number of the period. */
  readonly period: number;
  readonly sumMs: number;
  readonly intervals: number;
}

/** Sums of intervals by upstream and period, bounded to one minute. */
export class RecentIntervals {
  readonly #clock: Clock;
  readonly #buckets = new Map<string, readonly Bucket[]>();

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  /** Records an interval that ended now. */
  record(upstream: string, intervalMs: number): void {
    const period = this.#period;
    if (!this.#buckets.has(upstream)) this.#dropExpired();
    const known = this.#unexpired(upstream);
    const newest = known.at(-1);
    const isSame = newest?.period === period;
    const bucket = {
      period,
      sumMs: (isSame ? newest.sumMs : 0) + intervalMs,
      intervals: (isSame ? newest.intervals : 0) + 1,
    };
    const others = isSame ? known.slice(0, -1) : known;
    this.#buckets.set(upstream, [...others, bucket]);
  }

  /** Mean of the last minute; undefined if nothing was measured. */
  meanMs(upstream: string): number | undefined {
    let sumMs = 0;
    let intervals = 0;
    for (const bucket of this.#unexpired(upstream)) {
      sumMs += bucket.sumMs;
      intervals += bucket.intervals;
    }
    return intervals === 0 ? undefined : sumMs / intervals;
  }

  get #period(): number {
    return Math.floor(this.#clock.now() / BUCKET_MS);
  }

  #unexpired(upstream: string): readonly Bucket[] {
    const oldest = this.#period - BUCKETS + 1;
    return (this.#buckets.get(upstream) ?? [])
      .filter(({ period }) => period >= oldest);
  }

  /** Forgets upstreams that were removed, so that memory stays bounded. */
  #dropExpired(): void {
    for (const upstream of this.#buckets.keys()) {
      if (this.#unexpired(upstream).length === 0) {
        this.#buckets.delete(upstream);
      }
    }
  }
}
