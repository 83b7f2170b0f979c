/**
 * Scaling policies: a fixed number of upstreams as the baseline, and one that
 * follows the pool's load.
 *
 * @module
 */

import { isNone } from "fp-ts/Option";
import type { Offer } from "../outside/mod.ts";
import type { Pool } from "../tables/mod.ts";
import { type Placement, type ScalingInput, ScalingPolicy } from "./mod.ts";
import {
  choosePlacements,
  type OfferCapacity,
  orderedCount,
  sum,
  totalCount,
} from "./placement.ts";

/** Target share of busy slots. */
const TARGET_UTILIZATION = 0.8;
/** Demand that lasts less than this starts no upstreams. */
const SCALE_UP_STABILIZATION_MS = 2000;
/** Upstreams are removed after demand was lower for this long. */
const SCALE_DOWN_STABILIZATION_MS = 120_000;
/** No new upstreams are placed on an offer for this long after a reclaim. */
const RECLAIM_COOLDOWN_MS = 300_000;

/** Always runs the pool's maximum of upstreams, none of them reclaimable. */
export class FixedScalingPolicy extends ScalingPolicy {
  wanted({ pool, offers }: ScalingInput): readonly Placement[] {
    const capacities = offers.map((offer) => ({
      offer,
      maxCount: serves(pool, offer) ? offer.available : 0,
    }));
    return choosePlacements(capacities, {
      total: pool.maxUpstreams,
      maxTotal: pool.maxUpstreams,
      maxReclaimable: 0,
      minNonReclaimable: pool.maxUpstreams,
      minSurviving: 0,
    });
  }
}

/**
 * Follows the load: scales up when demand lasts or urgent requests are queued,
 * down when demand was lower for long. Uses reclaimable upstreams up to the
 * pool's share, as far as urgent work can go on after a zone's reclaim.
 */
export class LoadScalingPolicy extends ScalingPolicy {
  readonly #utilization: number;
  readonly #scaleUpStabilizationMs: number;
  readonly #scaleDownStabilizationMs: number;
  readonly #reclaimCooldownMs: number;
  readonly #pools = new Map<string, PoolHistory>();

  constructor(options: {
    utilization?: number;
    scaleUpStabilizationMs?: number;
    scaleDownStabilizationMs?: number;
    reclaimCooldownMs?: number;
  } = {}) {
    super();
    this.#utilization = options.utilization ?? TARGET_UTILIZATION;
    this.#scaleUpStabilizationMs = options.scaleUpStabilizationMs ??
      SCALE_UP_STABILIZATION_MS;
    this.#scaleDownStabilizationMs = options.scaleDownStabilizationMs ??
      SCALE_DOWN_STABILIZATION_MS;
    this.#reclaimCooldownMs = options.reclaimCooldownMs ?? RECLAIM_COOLDOWN_MS;
  }

  wanted(input: ScalingInput): readonly Placement[] {
    const { pool, urgent, now } = input;
    const history = this.#historyOf(input);
    this.#recordDemand(history, input);
    const total = Math.min(history.total.maximum(now), pool.maxUpstreams);
    const capacities = input.offers.map((offer) =>
      this.#capacityOf(history, { offer, input })
    );
    const bounds = {
      total,
      maxTotal: pool.maxUpstreams,
      maxReclaimable: Math.floor(pool.maxUpstreams * pool.reclaimableShare),
      minNonReclaimable: urgent ? 1 : 0,
      minSurviving: urgent ? history.urgent.maximum(now) : 0,
    };
    // Reclaimable upstreams decrease at once, but increase only after the
    // bound has been higher for the stabilization period.
    history.reclaimable.push(
      now,
      reclaimableOf(choosePlacements(capacities, bounds)),
    );
    const maxReclaimable = history.reclaimable.minimum(now);
    return choosePlacements(capacities, { ...bounds, maxReclaimable });
  }

  #historyOf({ pool, now }: ScalingInput): PoolHistory {
    const known = this.#pools.get(pool.name);
    if (known !== undefined) return known;
    const history: PoolHistory = {
      firstSeenAt: now,
      total: new SlidingWindow(this.#scaleDownStabilizationMs),
      urgent: new SlidingWindow(this.#scaleDownStabilizationMs),
      recentTotal: new SlidingWindow(this.#scaleUpStabilizationMs),
      recentUrgent: new SlidingWindow(this.#scaleUpStabilizationMs),
      reclaimable: new SlidingWindow(this.#scaleDownStabilizationMs),
      reclaimedAt: new Map(),
      lastOrderedCounts: new Map(),
    };
    this.#pools.set(pool.name, history);
    return history;
  }

  #recordDemand(
    history: PoolHistory,
    { pool, pressure, offers, now }: ScalingInput,
  ): void {
    for (const offer of offers) this.#recordReclaim(history, { offer, now });
    // Running upstreams are kept until demand was observed for long enough. The
    // first list may be incomplete.
    if (now - history.firstSeenAt < this.#scaleDownStabilizationMs) {
      history.total.push(now, sum(offers.map(orderedCount)));
    }
    if (isNone(pressure)) {
      history.total.push(now, history.total.maximum(now));
      history.urgent.push(now, history.urgent.maximum(now));
      return;
    }
    const { running, queued, urgent } = pressure.value;
    const upstreamsFor = (requests: number) =>
      Math.ceil(requests / Math.max(1, pool.slots));
    // The minimum is not ordered at first either: upstreams that already run
    // may not be listed yet.
    const fresh = now - history.firstSeenAt < this.#scaleUpStabilizationMs;
    const need = clamp(upstreamsFor((running + queued) / this.#utilization), {
      min: fresh ? 0 : Math.max(1, pool.minUpstreams),
      max: pool.maxUpstreams,
    });
    const urgentNeed = upstreamsFor(running + urgent);
    history.recentTotal.push(now, need);
    history.recentUrgent.push(now, urgentNeed);
    const urgentQueued = urgent > 0;
    history.total.push(
      now,
      urgentQueued ? need : history.recentTotal.minimum(now),
    );
    history.urgent.push(
      now,
      urgentQueued ? urgentNeed : history.recentUrgent.minimum(now),
    );
  }

  /** Records announced reclaims and upstreams that disappeared unrequested. */
  #recordReclaim(
    history: PoolHistory,
    { offer, now }: { offer: Offer; now: number },
  ): void {
    const key = keyOf(offer);
    const before = history.lastOrderedCounts.get(key) ?? 0;
    const gone = offer.available < before;
    if (offer.reclaimable && (offer.reclaimInMs !== undefined || gone)) {
      history.reclaimedAt.set(key, now);
    }
    history.lastOrderedCounts.set(key, orderedCount(offer));
  }

  #capacityOf(
    history: PoolHistory,
    { offer, input }: { offer: Offer; input: ScalingInput },
  ): OfferCapacity {
    const open = serves(input.pool, offer) && offer.reclaimInMs === undefined;
    if (!open) return { offer, maxCount: 0 };
    const reclaimedAt = history.reclaimedAt.get(keyOf(offer)) ?? -Infinity;
    const inCooldown = input.now - reclaimedAt < this.#reclaimCooldownMs;
    const maxCount = inCooldown
      ? Math.min(orderedCount(offer), offer.available)
      : Infinity;
    return { offer, maxCount: Math.min(maxCount, offer.available) };
  }
}

/** History of a pool that the policy keeps. */
interface PoolHistory {
  readonly firstSeenAt: number;
  /** Upstreams needed. */
  readonly total: SlidingWindow;
  /** Upper bound of the upstreams that urgent work alone needs. */
  readonly urgent: SlidingWindow;
  readonly recentTotal: SlidingWindow;
  readonly recentUrgent: SlidingWindow;
  /** Reclaimable upstreams allowed by the bounds. */
  readonly reclaimable: SlidingWindow;
  readonly reclaimedAt: Map<string, number>;
  /** Upstreams on each offer in the previous round. */
  readonly lastOrderedCounts: Map<string, number>;
}

/** The values of the last `spanMs`; each applies until the next. */
class SlidingWindow {
  readonly #spanMs: number;
  #values: readonly { readonly at: number; readonly value: number }[] = [];

  constructor(spanMs: number) {
    this.#spanMs = spanMs;
  }

  push(now: number, value: number): void {
    this.#values = [...this.#within(now), { at: now, value }];
  }

  maximum(now: number): number {
    return Math.max(0, ...this.#within(now).map(({ value }) => value));
  }

  minimum(now: number): number {
    return Math.min(...this.#within(now).map(({ value }) => value));
  }

  #within(now: number) {
    return this.#values.filter((_value, n) => {
      const end = this.#values[n + 1]?.at ?? now;
      return now - end <= this.#spanMs;
    });
  }
}

function serves(pool: Pool, offer: Offer): boolean {
  return pool.availabilityZones.includes(offer.availabilityZone);
}

function reclaimableOf(placements: readonly Placement[]): number {
  return totalCount(placements.filter(({ reclaimable }) => reclaimable));
}

function keyOf(offer: Offer): string {
  return `${offer.availabilityZone}/${offer.reclaimable}`;
}

function clamp(
  value: number,
  { min, max }: { min: number; max: number },
): number {
  return Math.min(max, Math.max(min, value));
}
