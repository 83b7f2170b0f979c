/**
 * Where a number of upstreams runs: even over the availability zones, the
 * reclaimable ones only as far as a zone's reclaim leaves enough.
 *
 * @module
 */

import type { Offer } from "../platform/mod.ts";
import type { Placement } from "./mod.ts";

/** An offer and how many upstreams may run on it. */
export interface Capacity {
  readonly offer: Offer;
  readonly most: number;
}

/** Bounds on a placement. */
export interface PlacementBounds {
  /** Upstreams wanted in all. */
  readonly total: number;
  /** Most reclaimable ones. */
  readonly mostReclaimable: number;
  /** Fewest others. */
  readonly fewestLasting: number;
  /** What must be left when any one zone's reclaimable ones go. */
  readonly mustSurvive: number;
}

/** Places upstreams within the bounds; fewer where the offers end. */
export function place(
  capacities: readonly Capacity[],
  bounds: PlacementBounds,
): readonly Placement[] {
  const lasting = capacities.filter(({ offer }) => !offer.reclaimable);
  const cheap = capacities.filter(({ offer }) => offer.reclaimable);
  const { total, fewestLasting, mostReclaimable } = bounds;
  const most = Math.min(
    mostReclaimable,
    total - fewestLasting,
    sum(cheap.map(({ most }) => most)),
  );
  for (let count = Math.max(0, most); count > 0; count--) {
    const placed = spread(cheap, count);
    const worst = Math.max(...placed.map(({ count }) => count));
    const others = spread(lasting, total - count);
    const all = sum([...placed, ...others].map(({ count }) => count));
    if (all - worst >= bounds.mustSurvive) return [...others, ...placed];
  }
  return [...spread(lasting, total), ...spread(cheap, 0)];
}

/** Spreads `total` evenly; ties go where upstreams run, then by price. */
function spread(
  capacities: readonly Capacity[],
  total: number,
): readonly Placement[] {
  const counts = new Map(capacities.map(({ offer }) => [offer, 0]));
  const countOf = (offer: Offer) => counts.get(offer) ?? 0;
  for (let left = total; left > 0; left--) {
    const open = capacities.filter(({ offer, most }) => countOf(offer) < most);
    if (open.length === 0) break;
    const { offer } = open.reduce((best, other) =>
      before(other.offer, best.offer, countOf) ? other : best
    );
    counts.set(offer, countOf(offer) + 1);
  }
  return capacities.map(({ offer }) => ({
    availabilityZone: offer.availabilityZone,
    reclaimable: offer.reclaimable,
    count: countOf(offer),
  }));
}

function before(
  a: Offer,
  b: Offer,
  countOf: (offer: Offer) => number,
): boolean {
  const ranks = [
    countOf(a) - countOf(b),
    ordered(b) - ordered(a),
    a.pricePerHour - b.pricePerHour,
    a.availabilityZone < b.availabilityZone ? -1 : 1,
  ];
  return (ranks.find((rank) => rank !== 0) ?? 0) < 0;
}

/** Upstreams that run or start on an offer. */
export function ordered(offer: Offer): number {
  return offer.running + offer.starting;
}

/** The sum of numbers. */
export function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
