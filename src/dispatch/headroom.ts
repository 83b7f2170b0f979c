/**
 * How many slots of a shard stay free for interactive requests, so that one
 * that comes in a flood of long generations needn't wait for their end. Slots
 * come free all the time; what must be kept is what arrives between two.
 *
 * @module
 */

/** Arrivals within this time need a free slot each. */
const BURST_WINDOW_MS = 100;

/** Time in which the remembered peak falls to a half. */
const PEAK_HALF_LIFE_MS = 30_000;

/** Largest part of a shard's slots that is kept free. */
const MAX_HEADROOM_SHARE = 0.1;

/** Follows the bursts in which urgent requests come. */
export class Headroom {
  #arrivals: readonly number[] = [];
  #peak = 0;
  #peakAt = 0;

  /** Takes note that an urgent request arrived at `now`. */
  arrived(now: number): void {
    const recent = this.#arrivals.filter((at) => now - at < BURST_WINDOW_MS);
    this.#arrivals = [...recent, now];
    this.#peak = Math.max(this.#decayed(now), this.#arrivals.length);
    this.#peakAt = now;
  }

  /** Slots to keep free. */
  size({ slots, now }: { slots: number; now: number }): number {
    const most = Math.ceil(slots * MAX_HEADROOM_SHARE);
    return Math.min(most, Math.round(this.#decayed(now)));
  }

  #decayed(now: number): number {
    return this.#peak * 0.5 ** ((now - this.#peakAt) / PEAK_HALF_LIFE_MS);
  }
}
