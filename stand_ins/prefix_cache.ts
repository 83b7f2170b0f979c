/**
 * The engine stand-in's prefix cache: bounded, with least-recently-used
 * eviction. Its events are delivered late, and some are lost.
 *
 * @module
 */

import type { CacheEvent } from "../src/outside/mod.ts";
import { HashRandom } from "./hash_random.ts";

/** Events retained for readers that lag behind. */
const MAX_RETAINED_EVENTS = 4096;

/** Cached prefix blocks and the events about them. */
export class PrefixCache {
  readonly #blocks: number;
  readonly #loss: number;
  readonly #random: HashRandom;
  readonly #cached = new Set<string>();
  #seq = 0;
  #events: readonly { at: number; event: CacheEvent }[] = [];

  constructor(options: { blocks: number; loss: number; seed: number }) {
    this.#blocks = options.blocks;
    this.#loss = options.loss;
    this.#random = new HashRandom({ seed: options.seed });
  }

  /** Adds a prompt's prefixes; returns how many were not cached. */
  use(prefixes: readonly string[]): number {
    const missed = prefixes.filter((prefix) => !this.#cached.has(prefix));
    for (const prefix of prefixes) {
      this.#cached.delete(prefix);
      this.#cached.add(prefix);
    }
    for (const prefix of missed) this.#emit(prefix, true);
    const surplus = Math.max(0, this.#cached.size - this.#blocks);
    for (const prefix of [...this.#cached].slice(0, surplus)) {
      this.#cached.delete(prefix);
      this.#emit(prefix, false);
    }
    return missed.length;
  }

  /** Events after `seq` that are at least `lagMs` old. */
  events(seq: number, lagMs: number): readonly CacheEvent[] {
    const visibleBefore = performance.now() - lagMs;
    return this.#events
      .filter(({ at, event }) => at <= visibleBefore && event.seq > seq)
      .map(({ event }) => event);
  }

  #emit(prefix: string, cached: boolean): void {
    const seq = ++this.#seq;
    if (this.#random.next() < this.#loss) return;
    const event = { seq, prefix, cached };
    this.#events = [
      ...this.#events.slice(1 - MAX_RETAINED_EVENTS),
      { at: performance.now(), event },
    ];
  }
}
