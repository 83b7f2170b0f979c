/**
 * How long items of a pool wait for a slot, measured on this daemon's items.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";

/** Weight of the newest wait in the mean. */
const NEWEST_WEIGHT = 0.25;

/** A mean without a new wait for longer than this is dropped. */
const EXPIRY_MS = 5000;

/** Waits that ended with a slot, and waits under way. */
export class SlotWaits {
  readonly #clock: Clock;
  /** Start of each wait under way. */
  readonly #started = new Map<symbol, number>();
  #meanMs = 0;
  #updatedAt = -Infinity;

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  /** Starts a wait; the returned function ends it. */
  start(): (granted: boolean) => void {
    const wait = Symbol("wait");
    const startedAt = this.#clock.now();
    this.#started.set(wait, startedAt);
    return (granted) => {
      this.#started.delete(wait);
      if (granted) this.#record(this.#clock.now() - startedAt);
    };
  }

  /**
   * Expected wait of one more item: the mean of recent waits, or that of waits
   * under way if it is longer, as nothing ends in a pool without free slots.
   */
  expectedMs(): number {
    const now = this.#clock.now();
    const recentMs = now - this.#updatedAt <= EXPIRY_MS ? this.#meanMs : 0;
    const count = this.#started.size;
    if (count === 0) return recentMs;
    const waited = [...this.#started.values()]
      .reduce((sum, startedAt) => sum + now - startedAt, 0);
    return Math.max(recentMs, waited / count);
  }

  #record(waitedMs: number): void {
    const now = this.#clock.now();
    const expired = now - this.#updatedAt > EXPIRY_MS;
    this.#meanMs = expired
      ? waitedMs
      : this.#meanMs + (waitedMs - this.#meanMs) * NEWEST_WEIGHT;
    this.#updatedAt = now;
  }
}
