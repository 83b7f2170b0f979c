/**
 * Distributes upstreams evenly over the availability zones, with only as many
 * reclaimable ones as leave enough capacity when one zone's are reclaimed.
 *
 * @module
 */

import type { Offer } from "../outside/mod.ts";
import type { Placement } from "./mod.ts";

/** An offer and the maximum number of upstreams on it. */
export interface OfferCapacity {
  readonly offer: Offer;
  readonly maxCount: number;
}

/** Bounds on a placement. */
export interface PlacementBounds {
  /** Upstreams wanted in total. */
  readonly total: number;
  /** Upper limit, including upstreams beyond `total` for `minSurviving`. */
  readonly maxTotal: number;
  readonly maxReclaimable: number;
  readonly minNonReclaimable: number;
  /** Upstreams that must remain after the reclaim of any one zone. */
  readonly minSurviving: number;
}

/** Maximum number of reclaimable counts that are compared. */
const MAX_CANDIDATES = 32;

/** A possible placement with what it is compared by. */
interface CandidatePlacement {
  readonly placements: readonly Placement[];
  /** Upstreams left after the largest reclaim, capped at `minSurviving`. */
  readonly surviving: number;
  readonly total: number;
  readonly price: number;
}

/**
 * Chooses placements by upstreams that survive the reclaim of any zone, then by
 * the number wanted, then by price. Places fewer if the offers do not suffice.
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
): CandidatePlacement {
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

function isBetter(a: CandidatePlacement, b: CandidatePlacement): boolean {
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

/** Spreads `total` evenly; ties go to offers in use, then to cheaper ones. */
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
      isPreferred(other.offer, best.offer, placed) ? other : best
    );
    counts.set(offer, placed(offer) + 1);
  }
  return capacities.map(({ offer }) => ({
    availabilityZone: offer.availabilityZone,
    reclaimable: offer.reclaimable,
    count: placed(offer),
  }));
}

/** Whether the next upstream goes to offer `a` rather than to `b`. */
function isPreferred(
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

/** Number of upstreams over all placements. */
export function totalCount(placements: readonly Placement[]): number {
  return sum(placements.map(({ count }) => count));
}

export function sum(numbers: readonly number[]): number {
  return numbers.reduce((total, number) => total + number, 0);
}
