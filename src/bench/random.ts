/**
 * Seeded random numbers for load generation and simulations.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Draws discarded after seeding. */
const WARM_UP_DRAWS = 32;

/** Pseudo-random number generator with a fixed seed. */
export class Random {
  readonly #generator;

  constructor(options: { seed: number }) {
    this.#generator = xoroshiro128plus(options.seed);
    // The first draws of adjacent seeds are correlated.
    for (let draw = 0; draw < WARM_UP_DRAWS; draw++) this.next();
  }

  /** Returns a uniform number in [0, 1). */
  next(): number {
    return uniformFloat64(this.#generator);
  }

  /** Returns an exponentially distributed number with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }

  /** Returns a uniform integer in [0, end). */
  integerBelow(end: number): number {
    return Math.floor(this.next() * end);
  }

  /** Returns a log-normally distributed number with the given median. */
  lognormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.next()));
    const normal = radius * Math.cos(2 * Math.PI * this.next());
    return median * Math.exp(sigma * normal);
  }

  /** Returns an index into `weights`, drawn in proportion to the weights. */
  index(weights: readonly number[]): number {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let remaining = this.next() * total;
    const found = weights.findIndex((weight) => (remaining -= weight) < 0);
    return found < 0 ? weights.length - 1 : found;
  }
}
