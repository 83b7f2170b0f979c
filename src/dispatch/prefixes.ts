/**
 * What an upstream's prefix memory is thought to hold, learnt from granted
 * requests at once and from the engine's events later.
 *
 * @module
 */

import type { CacheEvent } from "../outside/mod.ts";

/** Prefixes remembered for one upstream. */
const MAX_PREFIXES = 4096;

/** Trust that remains after one lost event. */
const LOST_EVENT_CONFIDENCE_FACTOR = 0.98;

/** Trust won back with each event that follows its predecessor. */
const CONFIDENCE_GAIN_PER_EVENT = 0.02;

/** Blocks up to which one in 1, 2, 4 and 8 is kept by `thinned`. */
const THINNING_BLOCK_BOUNDS = [8, 16, 32, Infinity] as const;

/**
 * Fewer of a prompt's prefixes, the later the sparser, for messages. Which
 * ones are kept depends on their place only, so that prompts that begin alike
 * keep the same ones.
 */
export function thinPrefixes(prefixes: readonly string[]): readonly string[] {
  return prefixes.filter((_, index) => {
    const step = 2 ** THINNING_BLOCK_BOUNDS.findIndex((end) => index < end);
    return (index + 1) % step === 0;
  });
}

/** A bounded model of one upstream's prefix memory. */
export class PrefixCacheModel {
  /** Prefixes, the least recently used first. */
  readonly #held = new Map<string, true>();
  #seq = 0;
  #confidence = 1;

  /** How far the model is believed, from 0 to 1. */
  get confidence(): number {
    return this.#confidence;
  }

  /** Sequence number of the last event taken in. */
  get seq(): number {
    return this.#seq;
  }

  /** Notes that a prompt with these prefixes was sent to the upstream. */
  use(prefixes: readonly string[]): void {
    for (const prefix of prefixes) this.#insert(prefix);
  }

  /** Takes in events; a gap in their numbers costs trust. */
  applyEvents(events: readonly CacheEvent[]): void {
    for (const event of events) {
      if (event.seq <= this.#seq) continue;
      const lost = this.#seq === 0 ? 0 : event.seq - this.#seq - 1;
      this.#confidence = Math.min(
        1,
        this.#confidence * LOST_EVENT_CONFIDENCE_FACTOR ** lost +
          CONFIDENCE_GAIN_PER_EVENT,
      );
      this.#seq = event.seq;
      if (event.cached) this.#insert(event.prefix);
      else this.#held.delete(event.prefix);
    }
  }

  /** The believed part of a prompt that is held, from 0 to 1. */
  overlap(prefixes: readonly string[]): number {
    if (prefixes.length === 0) return 0;
    let held = 0;
    while (held < prefixes.length && this.#held.has(prefixes[held])) held++;
    return held / prefixes.length * this.#confidence;
  }

  #insert(prefix: string): void {
    this.#held.delete(prefix);
    this.#held.set(prefix, true);
    if (this.#held.size <= MAX_PREFIXES) return;
    const [oldest] = this.#held.keys();
    this.#held.delete(oldest);
  }
}
