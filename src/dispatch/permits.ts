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
  readonly #byFingerprint = new Map<string, Map<string, Holding>>();

  /** Number of permits in use. */
  get size(): number {
    return this.#holdings.size;
  }

  add(holding: Holding, now: number): void {
    this.#holdings.set(holding.permit, holding);
    this.#renewedAt.set(holding.permit, now);
    insert(this.#byUpstream, holding.upstream, holding);
    insert(this.#byFingerprint, holding.demand.fingerprint, holding);
  }

  get(permit: string): Holding | undefined {
    return this.#holdings.get(permit);
  }

  remove(permit: string): Holding | undefined {
    const holding = this.#holdings.get(permit);
    if (holding === undefined) return undefined;
    this.#holdings.delete(permit);
    this.#renewedAt.delete(permit);
    erase(this.#byUpstream, holding.upstream, permit);
    erase(this.#byFingerprint, holding.demand.fingerprint, permit);
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

  /** Permits in use by requests with this fingerprint. */
  equal(fingerprint: string): readonly Holding[] {
    return [...this.#byFingerprint.get(fingerprint)?.values() ?? []];
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

type Index = Map<string, Map<string, Holding>>;

function insert(index: Index, key: string, holding: Holding): void {
  const siblings = index.get(key) ?? new Map<string, Holding>();
  siblings.set(holding.permit, holding);
  index.set(key, siblings);
}

function erase(index: Index, key: string, permit: string): void {
  const siblings = index.get(key);
  siblings?.delete(permit);
  if (siblings?.size === 0) index.delete(key);
}
