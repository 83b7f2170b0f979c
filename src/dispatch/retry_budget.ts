/**
 * Limits retries to a fraction of new requests, so that a failure does not
 * multiply the load that caused it.
 *
 * @module
 */

/** Retries allowed for each new request. */
const RETRIES_PER_REQUEST = 0.1;

/** Most retries that a route may accumulate. */
const MAX_SAVED_RETRIES = 20;

/** A token bucket for each route, filled by new requests. */
export class RetryBudget {
  readonly #ratio: number;
  readonly #limit: number;
  readonly #saved = new Map<string, number>();

  constructor(options: { ratio?: number; limit?: number } = {}) {
    this.#ratio = options.ratio ?? RETRIES_PER_REQUEST;
    this.#limit = options.limit ?? MAX_SAVED_RETRIES;
  }

  /** Records a new request on `route`. */
  fresh(route: string): void {
    const saved = this.#saved.get(route) ?? 1;
    this.#saved.set(route, Math.min(this.#limit, saved + this.#ratio));
  }

  /** Spends one retry of `route`; `false` when there is none left. */
  spend(route: string): boolean {
    const saved = this.#saved.get(route) ?? 1;
    // Ten additions of 0.1 give slightly less than one.
    if (saved < 1 - 1e-9) return false;
    this.#saved.set(route, saved - 1);
    return true;
  }
}
