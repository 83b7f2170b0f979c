/**
 * What limits retries: a budget that fresh work fills.
 *
 * @module
 */

const RETRIES_PER_REQUEST = 0.1;
const MAX_SAVED = 20;

/** Retries in proportion to the fresh work of each route. */
export class Budget {
  readonly #saved = new Map<string, number>();

  /** Takes note of a fresh request on `route`. */
  fresh(route: string): void {
    const saved = this.#saved.get(route) ?? 1;
    this.#saved.set(route, Math.min(MAX_SAVED, saved + RETRIES_PER_REQUEST));
  }

  /** Spends one retry of `route`; `false` when there is none left. */
  spend(route: string): boolean {
    const saved = this.#saved.get(route) ?? 1;
    if (saved < 1) return false;
    this.#saved.set(route, saved - 1);
    return true;
  }
}
