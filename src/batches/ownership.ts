/**
 * How recently the key-value service confirmed that this daemon owns a batch
 * and that the batch has not ended.
 *
 * @module
 */

import type { Clock, Instant } from "../kernel/mod.ts";

/** A daemon's ownership of one batch. */
export class Ownership {
  readonly #clock: Clock;
  #confirmedAt: Instant;

  constructor(options: {
    clock: Clock;
    /** When the call was sent by which ownership was confirmed last. */
    confirmedAt: Instant;
  }) {
    this.#clock = options.clock;
    this.#confirmedAt = options.confirmedAt;
  }

  /** Time since the call was sent by which ownership was confirmed last. */
  get ageMs(): number {
    return this.#clock.elapsedMs(this.#confirmedAt);
  }

  /** Records a confirmation by a call that was sent at `sentAt`. */
  confirm(sentAt: Instant): void {
    if (this.#clock.elapsedMs(sentAt) < this.ageMs) this.#confirmedAt = sentAt;
  }
}
