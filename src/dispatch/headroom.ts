/**
 * Computes how many slots of a shard are reserved for urgent requests, so that
 * they need not wait while many long generations run. As slots are released
 * continually, the reserve has to cover only what arrives between two releases.
 *
 * @module
 */

/** Requests that arrive within this time need a free slot each. */
const BURST_WINDOW_MS = 100;

/** Time in which the recorded peak decays to half. */
const PEAK_HALF_LIFE_MS = 30_000;

/** Largest fraction of a shard's slots that is reserved. */
const MAX_HEADROOM_SHARE = 0.1;

/** Tracks the size of bursts of urgent requests. */
export class Headroom {
  #arrivals: readonly number[] = [];
  #peak = 0;
  #peakAt = 0;

  /** Records that an urgent request arrived at `now`. */
  arrived(now: number): void {
    const recent = this.#arrivals.filter((at) => now - at < BURST_WINDOW_MS);
    this.#arrivals = [...recent, now];
    this.#peak = Math.max(this.#decayed(now), this.#arrivals.length);
    this.#peakAt = now;
  }

  /** Slots to reserve. */
  size({ slots, now }: { slots: number; now: number }): number {
    const maxSlots = Math.ceil(slots * MAX_HEADROOM_SHARE);
    return Math.min(maxSlots, Math.round(this.#decayed(now)));
  }

  #decayed(now: number): number {
    return this.#peak * 0.5 ** ((now - this.#peakAt) / PEAK_HALF_LIFE_MS);
  }
}
