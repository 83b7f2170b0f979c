/**
 * How many upstreams load weights at once. Beyond what the place that the
 * weights come from can serve, every load takes longer and none ends sooner,
 * while all of these upstreams take no new requests. What it can serve is not
 * told: it shows in how long the loads take.
 *
 * @module
 */

/** Part of a pool's upstreams that loads at once before any load has ended. */
const INITIAL_SHARE = 0.16;

/** Most of a pool's upstreams that load at once: the others serve meanwhile. */
const MAX_SHARE = 0.35;

/** Fewest loads at once, also where they seem to hinder each other. */
const MIN_CONCURRENT_LOADS = 2;

/** A load this many times longer than the shortest one was hindered. */
const CONTENTION_FACTOR = 1.5;

/** What is left of the number after hindered loads. */
const DECREASE_FACTOR = 0.75;

/** A load that ended. */
export interface FinishedLoad {
  readonly startedAt: number;
  readonly durationMs: number;
}

/** The loads at once of one pool, as far as they were tried. */
export class WeightLoadLimiter {
  #limit: number | undefined;
  #minDurationMs = Infinity;
  #decreasedAt = -Infinity;

  /** Loads that may go on at once in a pool of so many upstreams. */
  limit(upstreams: number): number {
    this.#limit ??= Math.ceil(upstreams * INITIAL_SHARE);
    const maxLoads = Math.floor(upstreams * MAX_SHARE);
    return Math.max(
      MIN_CONCURRENT_LOADS,
      Math.min(maxLoads, Math.floor(this.#limit)),
    );
  }

  /** Takes in a load that ended, after `limit` was asked. */
  ended({ startedAt, durationMs }: FinishedLoad, now: number): void {
    const limit = this.#limit ?? MIN_CONCURRENT_LOADS;
    this.#minDurationMs = Math.min(this.#minDurationMs, durationMs);
    if (durationMs <= this.#minDurationMs * CONTENTION_FACTOR) {
      // Twice as many with each wave at first, then one more with each.
      const searching = this.#decreasedAt === -Infinity;
      this.#limit = limit + (searching ? 1 : 1 / Math.max(1, limit));
      return;
    }
    // Loads of before the last decrease tell nothing of the number since.
    if (startedAt < this.#decreasedAt) return;
    this.#limit = Math.max(MIN_CONCURRENT_LOADS, limit * DECREASE_FACTOR);
    this.#decreasedAt = now;
  }
}
