/**
 * Connections between entries and upstreams that nobody uses, as far as the
 * keeper can tell: it knows which entry's request ended well on which upstream.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";

/** Upstreams of the deployments keep an idle connection for 10 s. */
const ASSUMED_IDLE_MS = 9000;

/** Connections that requests left open and no other request took since. */
export class IdleConnections {
  readonly #clock: Clock;
  /** Times at which they came free, the oldest first, by upstream and entry. */
  readonly #idle = new Map<string, Map<string, readonly number[]>>();

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  /** Whether an entry's next request to an upstream needs no new one. */
  has(entry: string, upstream: string): boolean {
    return this.#kept(entry, upstream).length > 0;
  }

  /** A request took a connection, or opened one. */
  taken(entry: string, upstream: string): void {
    this.#store(entry, upstream, this.#kept(entry, upstream).slice(0, -1));
  }

  /** A request left its connection open. */
  freed(entry: string, upstream: string): void {
    const kept = this.#kept(entry, upstream);
    this.#store(entry, upstream, [...kept, this.#clock.now()]);
  }

  forget(upstream: string): void {
    this.#idle.delete(upstream);
  }

  #kept(entry: string, upstream: string): readonly number[] {
    const since = this.#clock.now() - ASSUMED_IDLE_MS;
    const all = this.#idle.get(upstream)?.get(entry) ?? [];
    return all.filter((freedAt) => freedAt > since);
  }

  #store(entry: string, upstream: string, idle: readonly number[]): void {
    const entries = this.#idle.get(upstream) ?? new Map();
    this.#idle.set(upstream, entries);
    if (idle.length > 0) entries.set(entry, idle);
    else entries.delete(entry);
  }
}
