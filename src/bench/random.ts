/**
 * Seeded draws for load and for the load model.
 *
 * @module
 */

import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Draws that are thrown away after seeding. */
const WARM_UP_DRAWS = 32;

/** A sequence of draws from one seed. */
export class Random {
  readonly #generator;

  constructor(options: { seed: number }) {
    this.#generator = xoroshiro128plus(options.seed);
    // The first draws of neighbouring seeds are alike.
    for (let draw = 0; draw < WARM_UP_DRAWS; draw++) this.next();
  }

  /** From 0 up to 1. */
  next(): number {
    return uniformFloat64(this.#generator);
  }

  /** Exponentially distributed, with this mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.next());
  }

  /** A whole number from 0 up to `end`. */
  integerBelow(end: number): number {
    return Math.floor(this.next() * end);
  }

  /** Log-normally distributed, with this median. */
  lognormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.next()));
    const normal = radius * Math.cos(2 * Math.PI * this.next());
    return median * Math.exp(sigma * normal);
  }

  /** An index up to `weights.length`, drawn by weight. */
  index(weights: readonly number[]): number {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let remaining = this.next() * total;
    const found = weights.findIndex((weight) => (remaining -= weight) < 0);
    return found < 0 ? weights.length - 1 : found;
  }
}
