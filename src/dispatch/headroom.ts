/**
 * How many slots of a shard stay free for interactive requests, so that one
 * that comes in a flood of long generations needn't wait for their end.
 *
 * @module
 */

/** Time in which the remembered peak falls to a half. */
const HALF_LIFE_MS = 30_000;

/** Largest part of a shard's slots that is kept free. */
const MAX_SHARE = 0.25;

/** Follows how many urgent requests run at once. */
export class Headroom {
  #peak = 0;
  #at = 0;

  /** Takes note that `running` urgent requests run or wait at `now`. */
  observe(running: number, now: number): void {
    this.#peak = Math.max(this.#decayed(now), running);
    this.#at = now;
  }

  /** Slots to keep free while `running` urgent requests run. */
  size(running: number, options: { slots: number; now: number }): number {
    const peak = Math.ceil(this.#decayed(options.now));
    const most = Math.floor(options.slots * MAX_SHARE);
    return Math.max(0, Math.min(most, peak - running));
  }

  #decayed(now: number): number {
    const peak = this.#peak * 0.5 ** ((now - this.#at) / HALF_LIFE_MS);
    return peak < 0.1 ? 0 : peak;
  }
}
