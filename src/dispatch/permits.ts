/**
 * The permits of one shard that are in use. Each is leased to the daemon that
 * holds it, and expires unless it is renewed.
 *
 * @module
 */

import type { Demand } from "./mod.ts";

/** How long a permit is valid after its last renewal. */
export const PERMIT_LEASE_MS = 5000;

/** How often a daemon renews the permits that it holds. */
export const RENEWAL_INTERVAL_MS = 1000;

/** A permit in use. */
export interface ActivePermit {
  readonly permit: string;
  /** Id of the wait that ended with this permit. */
  readonly ticket: string;
  readonly upstream: string;
  /** VM of the daemon that holds it. */
  readonly entry: string;
  readonly demand: Demand;
  readonly grantedAt: number;
  /** No other request runs on the upstream before this time. */
  readonly isolatedUntil: number;
}

/** Permits in use, indexed by id, upstream and request fingerprint. */
export class ActivePermits {
  readonly #holdings = new Map<string, ActivePermit>();
  readonly #renewedAt = new Map<string, number>();
  readonly #byUpstream = new Map<string, Map<string, ActivePermit>>();
  readonly #byFingerprint = new Map<string, Map<string, ActivePermit>>();

  /** Number of permits in use. */
  get size(): number {
    return this.#holdings.size;
  }

  add(holding: ActivePermit, now: number): void {
    this.#holdings.set(holding.permit, holding);
    this.#renewedAt.set(holding.permit, now);
    addToIndex(this.#byUpstream, holding.upstream, holding);
    addToIndex(this.#byFingerprint, holding.demand.fingerprint, holding);
  }

  get(permit: string): ActivePermit | undefined {
    return this.#holdings.get(permit);
  }

  remove(permit: string): ActivePermit | undefined {
    const holding = this.#holdings.get(permit);
    if (holding === undefined) return undefined;
    this.#holdings.delete(permit);
    this.#renewedAt.delete(permit);
    removeFromIndex(this.#byUpstream, holding.upstream, permit);
    removeFromIndex(this.#byFingerprint, holding.demand.fingerprint, permit);
    return holding;
  }

  /** Permits in use on one upstream. */
  on(upstream: string): readonly ActivePermit[] {
    return [...this.#byUpstream.get(upstream)?.values() ?? []];
  }

  /** Number of permits in use on one upstream. */
  inFlight(upstream: string): number {
    return this.#byUpstream.get(upstream)?.size ?? 0;
  }

  /** Permits in use by requests with this fingerprint. */
  withFingerprint(fingerprint: string): readonly ActivePermit[] {
    return [...this.#byFingerprint.get(fingerprint)?.values() ?? []];
  }

  /** All permits in use. */
  all(): Iterable<ActivePermit> {
    return this.#holdings.values();
  }

  /** Renews permits; returns the unknown ones. */
  renew(permits: readonly string[], now: number): readonly string[] {
    return permits.filter((permit) => {
      if (!this.#holdings.has(permit)) return true;
      this.#renewedAt.set(permit, now);
      return false;
    });
  }

  /** Extends all leases by the time up to `now` in which no renewal arrived. */
  extendAll(byMs: number, now: number): void {
    for (const [permit, renewedAt] of this.#renewedAt) {
      this.#renewedAt.set(permit, Math.min(now, renewedAt + byMs));
    }
  }

  /** Permits whose lease has expired by `now`. */
  expired(now: number): readonly ActivePermit[] {
    return [...this.#holdings.values()].filter(({ permit }) =>
      (this.#renewedAt.get(permit) ?? 0) + PERMIT_LEASE_MS <= now
    );
  }
}

type Index = Map<string, Map<string, ActivePermit>>;

function addToIndex(index: Index, key: string, holding: ActivePermit): void {
  const siblings = index.get(key) ?? new Map<string, ActivePermit>();
  siblings.set(holding.permit, holding);
  index.set(key, siblings);
}

function removeFromIndex(index: Index, key: string, permit: string): void {
  const siblings = index.get(key);
  siblings?.delete(permit);
  if (siblings?.size === 0) index.delete(key);
}
