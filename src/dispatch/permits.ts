/**
 * The permits in use of one shard. Each is leased to the daemon that holds
 * it: one that is not renewed comes back by itself.
 *
 * @module
 */

import type { Demand } from "./mod.ts";

/** How long a permit lasts after its last renewal. */
export const PERMIT_LEASE_MS = 5000;

/** How often a daemon renews the permits that it holds. */
export const RENEWAL_MS = 1000;

/** A permit in use. */
export interface Holding {
  readonly permit: string;
  /** The wait that it ended. */
  readonly ticket: string;
  readonly upstream: string;
  /** VM of the daemon that holds it. */
  readonly entry: string;
  readonly demand: Demand;
  readonly grantedAt: number;
  /** Nothing else runs on the upstream before this time. */
  readonly aloneUntil: number;
}

/** Permits in use by id and by upstream. */
export class Permits {
  readonly #holdings = new Map<string, Holding>();
  readonly #renewedAt = new Map<string, number>();
  readonly #byUpstream = new Map<string, Map<string, Holding>>();

  /** Number of permits in use. */
  get size(): number {
    return this.#holdings.size;
  }

  add(holding: Holding, now: number): void {
    this.#holdings.set(holding.permit, holding);
    this.#renewedAt.set(holding.permit, now);
    const siblings = this.#byUpstream.get(holding.upstream) ?? new Map();
    siblings.set(holding.permit, holding);
    this.#byUpstream.set(holding.upstream, siblings);
  }

  get(permit: string): Holding | undefined {
    return this.#holdings.get(permit);
  }

  remove(permit: string): Holding | undefined {
    const holding = this.#holdings.get(permit);
    if (holding === undefined) return undefined;
    this.#holdings.delete(permit);
    this.#renewedAt.delete(permit);
    const siblings = this.#byUpstream.get(holding.upstream);
    siblings?.delete(permit);
    if (siblings?.size === 0) this.#byUpstream.delete(holding.upstream);
    return holding;
  }

  /** Permits in use on one upstream. */
  on(upstream: string): readonly Holding[] {
    return [...this.#byUpstream.get(upstream)?.values() ?? []];
  }

  /** Number of permits in use on one upstream. */
  inFlight(upstream: string): number {
    return this.#byUpstream.get(upstream)?.size ?? 0;
  }

  /** All permits in use. */
  all(): Iterable<Holding> {
    return this.#holdings.values();
  }

  /** Renews permits; returns those that are not known. */
  renew(permits: readonly string[], now: number): readonly string[] {
    return permits.filter((permit) => {
      if (!this.#holdings.has(permit)) return true;
      this.#renewedAt.set(permit, now);
      return false;
    });
  }

  /** Permits whose lease has ended by `now`. */
  lapsed(now: number): readonly Holding[] {
    return [...this.#holdings.values()].filter(({ permit }) =>
      (this.#renewedAt.get(permit) ?? 0) + PERMIT_LEASE_MS <= now
    );
  }
}
