/**
 * Estimates the contents of an upstream's prefix cache: from granted requests
 * immediately, and from the engine's cache events, which arrive later.
 *
 * @module
 */

import type { CacheEvent } from "../outside/mod.ts";

/** Most prefixes that are tracked for one upstream. */
const MAX_PREFIXES = 4096;

/** Factor on the confidence for each lost event. */
const LOST_EVENT_CONFIDENCE_FACTOR = 0.98;

/** Confidence regained with each event that is received. */
const CONFIDENCE_GAIN_PER_EVENT = 0.02;

/** Blocks below which `thinPrefixes` keeps one in 1, 2, 4 and 8. */
const THINNING_BLOCK_BOUNDS = [8, 16, 32, Infinity] as const;

/**
 * Reduces a prompt's prefixes for messages, later ones more than early ones.
 * Which are kept depends on their position only, so that prompts with a common
 * beginning keep the same ones.
 */
export function thinPrefixes(prefixes: readonly string[]): readonly string[] {
  return prefixes.filter((_, index) => {
    const step = 2 ** THINNING_BLOCK_BOUNDS.findIndex((end) => index < end);
    return (index + 1) % step === 0;
  });
}

/** A bounded model of one upstream's prefix cache. */
export class PrefixCacheModel {
  /** Prefixes, the least recently used first. */
  readonly #prefixes = new Map<string, true>();
  #seq = 0;
  #confidence = 1;

  /** How reliable the model is, from 0 to 1. */
  get confidence(): number {
    return this.#confidence;
  }

  /** Sequence number of the last applied event. */
  get seq(): number {
    return this.#seq;
  }

  /** Records that a prompt with these prefixes was sent to the upstream. */
  use(prefixes: readonly string[]): void {
    for (const prefix of prefixes) this.#insert(prefix);
  }

  /** Applies events; a gap in their sequence numbers lowers the confidence. */
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
      else this.#prefixes.delete(event.prefix);
    }
  }

  /** Part of a prompt that is cached, weighted by confidence, from 0 to 1. */
  overlap(prefixes: readonly string[]): number {
    if (prefixes.length === 0) return 0;
    let held = 0;
    while (held < prefixes.length && this.#prefixes.has(prefixes[held])) held++;
    return held / prefixes.length * this.#confidence;
  }

  #insert(prefix: string): void {
    this.#prefixes.delete(prefix);
    this.#prefixes.set(prefix, true);
    if (this.#prefixes.size <= MAX_PREFIXES) return;
    const [oldest] = this.#prefixes.keys();
    this.#prefixes.delete(oldest);
  }
}
