/**
 * Limits how many upstreams of a pool load weights at once. Beyond the capacity
 * of the weight store each load takes longer and none ends sooner, while all of
 * these upstreams take no new requests. The store does not report its capacity,
 * so the limit is adapted to the duration of the loads.
 *
 * @module
 */

/** Share of a pool's upstreams that load at once before any load has ended. */
const INITIAL_SHARE = 0.16;

/** Maximum share of upstreams that load at once; the others keep serving. */
const MAX_SHARE = 0.35;

/**
 * Lower bounds of the limit, also when loads seem to slow each other down. Slow
 * engines and late reports look like contention; a limit that is too high costs
 * engines some time, one that is too low keeps most of them on old weights.
 */
const MIN_CONCURRENT_LOADS = 2;
const MIN_SHARE = 0.12;

/** A load this many times longer than the shortest one met contention. */
const CONTENTION_FACTOR = 1.5;

/** The limit is multiplied by this after loads that met contention. */
const DECREASE_FACTOR = 0.75;

/** A load of weights that has ended. */
export interface FinishedLoad {
  readonly startedAt: number;
  readonly durationMs: number;
}

/** Adapts one pool's limit by additive increase, multiplicative decrease. */
export class WeightLoadLimiter {
  #limit: number | undefined;
  #minLimit = MIN_CONCURRENT_LOADS;
  #minDurationMs = Infinity;
  #decreasedAt = -Infinity;

  /** Maximum number of concurrent loads in a pool of so many upstreams. */
  limit(upstreams: number): number {
    this.#limit ??= Math.ceil(upstreams * INITIAL_SHARE);
    this.#minLimit = Math.max(
      MIN_CONCURRENT_LOADS,
      Math.ceil(upstreams * MIN_SHARE),
    );
    const maxLoads = Math.floor(upstreams * MAX_SHARE);
    return Math.max(
      this.#minLimit,
      Math.min(maxLoads, Math.floor(this.#limit)),
    );
  }

  /** Adapts the limit to a load that ended; `limit` must be called before. */
  ended({ startedAt, durationMs }: FinishedLoad, now: number): void {
    const limit = this.#limit ?? this.#minLimit;
    this.#minDurationMs = Math.min(this.#minDurationMs, durationMs);
    if (durationMs <= this.#minDurationMs * CONTENTION_FACTOR) {
      // Doubles with each wave until the first decrease, then adds one.
      const searching = this.#decreasedAt === -Infinity;
      this.#limit = limit + (searching ? 1 : 1 / Math.max(1, limit));
      return;
    }
    // Loads started before the last decrease ran under the earlier limit.
    if (startedAt < this.#decreasedAt) return;
    this.#limit = Math.max(this.#minLimit, limit * DECREASE_FACTOR);
    this.#decreasedAt = now;
  }
}
