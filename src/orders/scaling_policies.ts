/**
 * Plans: a fixed number of upstreams as the baseline, and one that follows the
 * pool's load.
 *
 * @module
 */

import { isNone } from "fp-ts/Option";
import type { Offer } from "../outside/mod.ts";
import type { Pool } from "../tables/mod.ts";
import { type Placement, type ScalingInput, ScalingPolicy } from "./mod.ts";
import { type Capacity, countOf, ordered, place, sum } from "./placement.ts";

/** Part of the slots that shall be busy. */
const UTILIZATION = 0.8;
/** A need that lasts shorter than this doesn't start upstreams. */
const UP_HOLD_MS = 2000;
/** A need is provided for until it was lower for this long. */
const DOWN_HOLD_MS = 120_000;
/** An offer that was reclaimed gets nothing new for this long. */
const RECLAIM_HOLD_MS = 300_000;

/** Runs the pool's most upstreams at any time, none of them reclaimable. */
export class FixedScalingPolicy extends ScalingPolicy {
  wanted({ pool, offers }: ScalingInput): readonly Placement[] {
    const capacities = offers.map((offer) => ({
      offer,
      most: serves(pool, offer) ? offer.available : 0,
    }));
    return place(capacities, {
      total: pool.maxUpstreams,
      most: pool.maxUpstreams,
      mostReclaimable: 0,
      fewestLasting: pool.maxUpstreams,
      mustSurvive: 0,
    });
  }
}

/**
 * Follows the load: up when a need lasts or urgent work waits, down when it
 * was lower for long. Reclaimable upstreams take the pool's share of the work,
 * as far as urgent work goes on when a zone of them is reclaimed.
 */
export class LoadScalingPolicy extends ScalingPolicy {
  readonly #utilization: number;
  readonly #upHoldMs: number;
  readonly #downHoldMs: number;
  readonly #reclaimHoldMs: number;
  readonly #pools = new Map<string, Course>();

  constructor(options: {
    utilization?: number;
    scaleUpStabilizationMs?: number;
    scaleDownStabilizationMs?: number;
    reclaimCooldownMs?: number;
  } = {}) {
    super();
    this.#utilization = options.utilization ?? UTILIZATION;
    this.#upHoldMs = options.scaleUpStabilizationMs ?? UP_HOLD_MS;
    this.#downHoldMs = options.scaleDownStabilizationMs ?? DOWN_HOLD_MS;
    this.#reclaimHoldMs = options.reclaimCooldownMs ?? RECLAIM_HOLD_MS;
  }

  wanted(outlook: ScalingInput): readonly Placement[] {
    const { pool, urgent, now } = outlook;
    const course = this.#course(outlook);
    this.#follow(course, outlook);
    const total = Math.min(course.total.peak(now), pool.maxUpstreams);
    const capacities = outlook.offers.map((offer) =>
      this.#capacity(course, { offer, outlook })
    );
    const bounds = {
      total,
      most: pool.maxUpstreams,
      mostReclaimable: Math.floor(pool.maxUpstreams * pool.reclaimableShare),
      fewestLasting: urgent ? 1 : 0,
      mustSurvive: urgent ? course.urgent.peak(now) : 0,
    };
    // Fewer reclaimable ones at once, more only once it holds for long.
    course.reclaimable.push(now, reclaimableOf(place(capacities, bounds)));
    const mostReclaimable = course.reclaimable.trough(now);
    return place(capacities, { ...bounds, mostReclaimable });
  }

  #course({ pool, now }: ScalingInput): Course {
    const known = this.#pools.get(pool.name);
    if (known !== undefined) return known;
    const course: Course = {
      since: now,
      total: new Window(this.#downHoldMs),
      urgent: new Window(this.#downHoldMs),
      recent: new Window(this.#upHoldMs),
      recentUrgent: new Window(this.#upHoldMs),
      reclaimable: new Window(this.#downHoldMs),
      reclaimedAt: new Map(),
      seen: new Map(),
    };
    this.#pools.set(pool.name, course);
    return course;
  }

  #follow(course: Course, { pool, pressure, offers, now }: ScalingInput): void {
    for (const offer of offers) this.#watch(course, { offer, now });
    // What runs is kept until the need is known for long enough. At the first
    // look the list may not hold all of it.
    if (now - course.since < this.#downHoldMs) {
      course.total.push(now, sum(offers.map(ordered)));
    }
    if (isNone(pressure)) {
      course.total.push(now, course.total.peak(now));
      course.urgent.push(now, course.urgent.peak(now));
      return;
    }
    const { running, queued, urgent } = pressure.value;
    const upstreamsFor = (requests: number) =>
      Math.ceil(requests / Math.max(1, pool.slots));
    // Nor is the least ordered then: what there is may not be listed yet.
    const fresh = now - course.since < this.#upHoldMs;
    const need = clamp(upstreamsFor((running + queued) / this.#utilization), {
      least: fresh ? 0 : Math.max(1, pool.minUpstreams),
      most: pool.maxUpstreams,
    });
    const urgentNeed = upstreamsFor(running + urgent);
    course.recent.push(now, need);
    course.recentUrgent.push(now, urgentNeed);
    const waits = urgent > 0;
    course.total.push(now, waits ? need : course.recent.trough(now));
    course.urgent.push(
      now,
      waits ? urgentNeed : course.recentUrgent.trough(now),
    );
  }

  /** Notes reclaims: announced ones, and upstreams that went unasked. */
  #watch(
    course: Course,
    { offer, now }: { offer: Offer; now: number },
  ): void {
    const key = keyOf(offer);
    const before = course.seen.get(key) ?? 0;
    const gone = offer.available < before;
    if (offer.reclaimable && (offer.reclaimInMs !== undefined || gone)) {
      course.reclaimedAt.set(key, now);
    }
    course.seen.set(key, ordered(offer));
  }

  #capacity(
    course: Course,
    { offer, outlook }: { offer: Offer; outlook: ScalingInput },
  ): Capacity {
    const open = serves(outlook.pool, offer) && offer.reclaimInMs === undefined;
    if (!open) return { offer, most: 0 };
    const reclaimedAt = course.reclaimedAt.get(keyOf(offer)) ?? -Infinity;
    const held = outlook.now - reclaimedAt < this.#reclaimHoldMs;
    const most = held ? Math.min(ordered(offer), offer.available) : Infinity;
    return { offer, most: Math.min(most, offer.available) };
  }
}

/** What a plan remembers of a pool. */
interface Course {
  /** When the pool was first looked at. */
  readonly since: number;
  /** Upstreams needed. */
  readonly total: Window;
  /** Upstreams that urgent work alone may need. */
  readonly urgent: Window;
  readonly recent: Window;
  readonly recentUrgent: Window;
  /** Reclaimable upstreams that the bounds allow. */
  readonly reclaimable: Window;
  readonly reclaimedAt: Map<string, number>;
  /** Upstreams on each offer at the last look. */
  readonly seen: Map<string, number>;
}

/** The values of the last `spanMs`; each holds until the next. */
class Window {
  readonly #spanMs: number;
  #values: readonly { readonly at: number; readonly value: number }[] = [];

  constructor(spanMs: number) {
    this.#spanMs = spanMs;
  }

  push(now: number, value: number): void {
    this.#values = [...this.#within(now), { at: now, value }];
  }

  peak(now: number): number {
    return Math.max(0, ...this.#within(now).map(({ value }) => value));
  }

  trough(now: number): number {
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
  return countOf(placements.filter(({ reclaimable }) => reclaimable));
}

function keyOf(offer: Offer): string {
  return `${offer.availabilityZone}/${offer.reclaimable}`;
}

function clamp(
  value: number,
  { least, most }: { least: number; most: number },
): number {
  return Math.min(most, Math.max(least, value));
}
