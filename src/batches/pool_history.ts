/**
 * What this daemon has measured on the items of each pool, shared by all of its
 * runs.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";
import { ItemLengths } from "./item_lengths.ts";
import { SlotWaits } from "./slot_waits.ts";
import { UpstreamSpeeds } from "./upstream_speeds.ts";

/** Measurements of one pool. */
export class PoolHistory {
  readonly speeds: UpstreamSpeeds;
  readonly waits: SlotWaits;
  readonly lengths = new ItemLengths();

  constructor(options: { clock: Clock }) {
    this.speeds = new UpstreamSpeeds(options);
    this.waits = new SlotWaits(options);
  }

  /** Records a completed item, with the time that it ran. */
  completed(expectedTokens: number, run: {
    events: number;
    ranMs: number;
  }): void {
    this.speeds.ended(expectedTokens, run.ranMs);
    this.lengths.record(expectedTokens, run.events);
  }

  /** Expected number of further events of an item. */
  eventsLeft(expectedTokens: number, events: number): number {
    const known = this.lengths.eventsLeft(expectedTokens, events);
    if (known !== undefined) return known;
    const intervalMs = this.speeds.medianIntervalMs();
    if (intervalMs === undefined || intervalMs <= 0) return 0;
    const expected = this.speeds.expectedRunMs(expectedTokens) / intervalMs;
    return Math.max(0, expected - events);
  }
}

/** The histories of all pools. */
export class PoolHistories {
  readonly #clock: Clock;
  readonly #pools = new Map<string, PoolHistory>();

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  /** The history of a pool. */
  of(pool: string): PoolHistory {
    const known = this.#pools.get(pool);
    if (known !== undefined) return known;
    const history = new PoolHistory({ clock: this.#clock });
    this.#pools.set(pool, history);
    return history;
  }
}
