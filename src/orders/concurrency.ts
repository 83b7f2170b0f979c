/**
 * How many upstreams load weights at once. Beyond what the place that the
 * weights come from can serve, every load takes longer and none ends sooner,
 * while all of these upstreams take no new requests. What it can serve is not
 * told: it shows in how long the loads take.
 *
 * @module
 */

/** Part of a pool's upstreams that is tried first. */
const FIRST_SHARE = 0.08;

/** Fewest loads at once, also where they seem to hinder each other. */
const LEAST = 2;

/** A load this many times longer than the shortest one was hindered. */
const HINDERED = 1.4;

/** What is left of the number after hindered loads. */
const DECREASE = 0.75;

/** A load that ended. */
export interface Ended {
  readonly startedAt: number;
  readonly tookMs: number;
}

/** The loads at once of one pool, as far as they were tried. */
export class Concurrency {
  #limit = 0;
  #shortestMs = Infinity;
  #decreasedAt = -Infinity;

  /** Loads that may go on at once in a pool of so many upstreams. */
  limit(upstreams: number): number {
    const first = Math.max(LEAST, Math.ceil(upstreams * FIRST_SHARE));
    return Math.max(first, this.#limit);
  }

  /** Takes in a load that ended while so many went on. */
  ended({ startedAt, tookMs }: Ended, { now, pending }: {
    now: number;
    pending: number;
  }): void {
    this.#shortestMs = Math.min(this.#shortestMs, tookMs);
    if (tookMs <= this.#shortestMs * HINDERED) {
      if (pending >= this.#limit) this.#limit = Math.max(pending, LEAST) + 1;
      return;
    }
    // Loads of before the last decrease tell nothing of the number since.
    if (startedAt < this.#decreasedAt) return;
    this.#limit = Math.floor(Math.max(this.#limit, pending) * DECREASE);
    this.#decreasedAt = now;
  }
}
