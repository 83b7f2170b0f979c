/**
 * Bounds retries to a part of fresh work, so that a failure does not multiply
 * the load that caused it.
 *
 * @module
 */

/** Retries allowed for each fresh request. */
const RETRY_RATIO = 0.1;

/** Retries that a route may save up. */
const MAX_SAVED = 20;

/** A token bucket for each route, filled by fresh requests. */
export class RetryBudget {
  readonly #ratio: number;
  readonly #limit: number;
  readonly #saved = new Map<string, number>();

  constructor(options: { ratio?: number; limit?: number } = {}) {
    this.#ratio = options.ratio ?? RETRY_RATIO;
    this.#limit = options.limit ?? MAX_SAVED;
  }

  /** Takes note of a fresh request on `route`. */
  fresh(route: string): void {
    const saved = this.#saved.get(route) ?? 1;
    this.#saved.set(route, Math.min(this.#limit, saved + this.#ratio));
  }

  /** Spends one retry of `route`; `false` when there is none left. */
  spend(route: string): boolean {
    const saved = this.#saved.get(route) ?? 1;
    // Ten additions of 0.1 make slightly less than one.
    if (saved < 1 - 1e-9) return false;
    this.#saved.set(route, saved - 1);
    return true;
  }
}
