/**
 * Seeded pseudo-random numbers for the stand-ins, the same on every machine.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** A number in [0, 1) that depends on `parts` only. */
export function uniform(...parts: readonly (string | number)[]): number {
  const digest = createHash("sha256").update(JSON.stringify(parts)).digest();
  return digest.readUInt32BE(0) / 2 ** 32;
}

/** A pseudo-random sequence from one seed. */
export class HashRandom {
  readonly #seed: number;
  #drawn = 0;

  constructor(options: { seed: number }) {
    this.#seed = options.seed;
  }

  /** The next number in [0, 1). */
  next(): number {
    return uniform(this.#seed, this.#drawn++);
  }
}
