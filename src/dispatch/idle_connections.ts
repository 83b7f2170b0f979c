/**
 * Estimates which entries have idle connections to which upstreams. The leader
 * infers this from the requests that ended normally on each upstream.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";

/** Upstreams as deployed close a connection after 10 s without use. */
const ASSUMED_IDLE_MS = 9000;

/** Connections left open by requests and not reused since. */
export class IdleConnections {
  readonly #clock: Clock;
  /** When connections became idle, oldest first, by upstream and entry. */
  readonly #idle = new Map<string, Map<string, readonly number[]>>();

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  /** Whether an entry's next request to an upstream can reuse a connection. */
  has(entry: string, upstream: string): boolean {
    return this.#unexpired(entry, upstream).length > 0;
  }

  /** Records that a request took an idle connection, or opened a new one. */
  taken(entry: string, upstream: string): void {
    this.#store(entry, upstream, this.#unexpired(entry, upstream).slice(0, -1));
  }

  /** Records that a request left its connection open. */
  freed(entry: string, upstream: string): void {
    const kept = this.#unexpired(entry, upstream);
    this.#store(entry, upstream, [...kept, this.#clock.now()]);
  }

  forget(upstream: string): void {
    this.#idle.delete(upstream);
  }

  #unexpired(entry: string, upstream: string): readonly number[] {
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
