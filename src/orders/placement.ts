/**
 * Where a number of upstreams runs: even over the availability zones, the
 * reclaimable ones only as far as a zone's reclaim leaves enough.
 *
 * @module
 */

import type { Offer } from "../outside/mod.ts";
import type { Placement } from "./mod.ts";

/** An offer and how many upstreams may run on it. */
export interface OfferCapacity {
  readonly offer: Offer;
  readonly maxCount: number;
}

/** Bounds on a placement. */
export interface PlacementBounds {
  /** Upstreams wanted in all. */
  readonly total: number;
  /** Most upstreams, with those beyond `total` that `mustSurvive` asks for. */
  readonly maxTotal: number;
  /** Most reclaimable ones. */
  readonly maxReclaimable: number;
  /** Fewest others. */
  readonly minNonReclaimable: number;
  /** What must be left when any one zone's reclaimable ones go. */
  readonly minSurviving: number;
}

/** Numbers of reclaimable upstreams that are weighed against each other. */
const MAX_CANDIDATES = 32;

interface Candidate {
  readonly placements: readonly Placement[];
  /** What is left after the worst reclaim, as far as it must be. */
  readonly surviving: number;
  readonly total: number;
  readonly price: number;
}

/**
 * Places upstreams: first what survives any zone's reclaim, then the number
 * wanted, then the price. Fewer where the offers end.
 */
export function choosePlacements(
  capacities: readonly OfferCapacity[],
  bounds: PlacementBounds,
): readonly Placement[] {
  const reclaimableOffers = capacities.filter(({ offer }) => offer.reclaimable);
  const maxReclaimable = Math.max(
    0,
    Math.min(
      bounds.maxReclaimable,
      bounds.total - bounds.minNonReclaimable,
      sum(reclaimableOffers.map(({ maxCount }) => maxCount)),
    ),
  );
  const step = Math.ceil((maxReclaimable + 1) / MAX_CANDIDATES);
  let best = candidate(capacities, { bounds, count: 0 });
  for (let count = maxReclaimable; count > 0; count -= step) {
    const other = candidate(capacities, { bounds, count });
    if (isBetter(other, best)) best = other;
  }
  return best.placements;
}

/** The placement with `count` reclaimable upstreams. */
function candidate(
  capacities: readonly OfferCapacity[],
  { bounds, count }: { bounds: PlacementBounds; count: number },
): Candidate {
  const { total, maxTotal, minSurviving } = bounds;
  const reclaimableOffers = capacities.filter(({ offer }) => offer.reclaimable);
  const nonReclaimableOffers = capacities.filter(({ offer }) =>
    !offer.reclaimable
  );
  const reclaimable = spreadEvenly(reclaimableOffers, count);
  const largestReclaim = Math.max(0, ...reclaimable.map(({ count }) => count));
  const wanted = Math.min(
    maxTotal,
    Math.max(total, minSurviving + largestReclaim),
  );
  const placements = [
    ...spreadEvenly(nonReclaimableOffers, wanted - count),
    ...reclaimable,
  ];
  const all = totalCount(placements);
  return {
    placements,
    surviving: Math.min(minSurviving, all - largestReclaim),
    total: Math.min(total, all),
    price: priceOf(capacities, placements),
  };
}

function isBetter(a: Candidate, b: Candidate): boolean {
  const ranks = [
    a.surviving - b.surviving,
    a.total - b.total,
    b.price - a.price,
  ];
  return (ranks.find((rank) => rank !== 0) ?? 0) > 0;
}

function priceOf(
  capacities: readonly OfferCapacity[],
  placements: readonly Placement[],
): number {
  return sum(placements.map(({ availabilityZone, reclaimable, count }) => {
    const capacity = capacities.find(({ offer }) =>
      offer.availabilityZone === availabilityZone &&
      offer.reclaimable === reclaimable
    );
    return count * (capacity?.offer.pricePerHour ?? 0);
  }));
}

/** Spreads `total` evenly; ties go where upstreams run, then by price. */
function spreadEvenly(
  capacities: readonly OfferCapacity[],
  total: number,
): readonly Placement[] {
  const counts = new Map(capacities.map(({ offer }) => [offer, 0]));
  const placed = (offer: Offer) => counts.get(offer) ?? 0;
  for (let left = total; left > 0; left--) {
    const open = capacities.filter(({ offer, maxCount }) =>
      placed(offer) < maxCount
    );
    if (open.length === 0) break;
    const { offer } = open.reduce((best, other) =>
      before(other.offer, best.offer, placed) ? other : best
    );
    counts.set(offer, placed(offer) + 1);
  }
  return capacities.map(({ offer }) => ({
    availabilityZone: offer.availabilityZone,
    reclaimable: offer.reclaimable,
    count: placed(offer),
  }));
}

function before(
  a: Offer,
  b: Offer,
  placed: (offer: Offer) => number,
): boolean {
  const ranks = [
    placed(a) - placed(b),
    orderedCount(b) - orderedCount(a),
    a.pricePerHour - b.pricePerHour,
    a.availabilityZone < b.availabilityZone ? -1 : 1,
  ];
  return (ranks.find((rank) => rank !== 0) ?? 0) < 0;
}

/** Upstreams that run or start on an offer. */
export function orderedCount(offer: Offer): number {
  return offer.running + offer.starting;
}

/** The number of upstreams in all placements. */
export function totalCount(placements: readonly Placement[]): number {
  return sum(placements.map(({ count }) => count));
}

/** The sum of numbers. */
export function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
