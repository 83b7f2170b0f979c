/**
 * How many upstreams load weights at once. Beyond what the place that the
 * weights come from can serve, every load takes longer and none ends sooner,
 * while all of these upstreams take no new requests. What it can serve is not
 * told: it shows in how long the loads take.
 *
 * @module
 */

/** Part of a pool's upstreams that loads at once before any load has ended. */
const FIRST_SHARE = 0.16;

/** Most of a pool's upstreams that load at once: the others serve meanwhile. */
const MOST_SHARE = 0.35;

/** Fewest loads at once, also where they seem to hinder each other. */
const LEAST = 2;

/** A load this many times longer than the shortest one was hindered. */
const HINDERED = 1.5;

/** What is left of the number after hindered loads. */
const DECREASE = 0.75;

/** A load that ended. */
export interface Ended {
  readonly startedAt: number;
  readonly tookMs: number;
}

/** The loads at once of one pool, as far as they were tried. */
export class Concurrency {
  #limit: number | undefined;
  #shortestMs = Infinity;
  #decreasedAt = -Infinity;

  /** Loads that may go on at once in a pool of so many upstreams. */
  limit(upstreams: number): number {
    this.#limit ??= Math.ceil(upstreams * FIRST_SHARE);
    const most = Math.floor(upstreams * MOST_SHARE);
    return Math.max(LEAST, Math.min(most, Math.floor(this.#limit)));
  }

  /** Takes in a load that ended, after `limit` was asked. */
  ended({ startedAt, tookMs }: Ended, now: number): void {
    const limit = this.#limit ?? LEAST;
    this.#shortestMs = Math.min(this.#shortestMs, tookMs);
    if (tookMs <= this.#shortestMs * HINDERED) {
      // Twice as many with each wave at first, then one more with each.
      const searching = this.#decreasedAt === -Infinity;
      this.#limit = limit + (searching ? 1 : 1 / Math.max(1, limit));
      return;
    }
    // Loads of before the last decrease tell nothing of the number since.
    if (startedAt < this.#decreasedAt) return;
    this.#limit = Math.max(LEAST, limit * DECREASE);
    this.#decreasedAt = now;
  }
}
