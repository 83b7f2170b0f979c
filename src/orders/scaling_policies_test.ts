import { expect } from "earl";
import fc from "fast-check";
import { none, some } from "fp-ts/Option";
import { test } from "node:test";
import { pool as poolOf } from "../../stand_ins/builders.ts";
import type { Offer } from "../outside/mod.ts";
import type { Placement, ScalingInput, ScalingPolicy } from "./mod.ts";
import { choosePlacements, totalCount } from "./placement.ts";
import { FixedScalingPolicy, LoadScalingPolicy } from "./scaling_policies.ts";

const ZONES = ["a", "b", "c", "d"];
const POOL = poolOf({
  maxUpstreams: 12,
  reclaimableShare: 0.5,
  availabilityZones: ZONES,
  slots: 10,
});

function offer(fields: Partial<Offer> = {}): Offer {
  return {
    pool: "lm",
    availabilityZone: "a",
    reclaimable: false,
    pricePerHour: 4,
    running: 0,
    starting: 0,
    available: 100,
    ...fields,
  };
}

/** Reclaimable and other offers in each zone. */
function offers(): readonly Offer[] {
  return ZONES.flatMap((availabilityZone) => [
    offer({ availabilityZone }),
    offer({ availabilityZone, reclaimable: true, pricePerHour: 1 }),
  ]);
}

function input(
  fields: Partial<ScalingInput> & { busy?: number },
): ScalingInput {
  const { busy = 0, ...rest } = fields;
  const pressure = { running: busy, queued: 0, urgent: 0, slots: 100 };
  return {
    pool: POOL,
    urgent: true,
    offers: offers(),
    pressure: some(pressure),
    now: 0,
    ...rest,
  };
}

function reclaimable(placements: readonly Placement[]): number {
  return totalCount(placements.filter(({ reclaimable }) => reclaimable));
}

/** Upstreams left after the reclaim of the zone with the most of them. */
function survivingCount(placements: readonly Placement[]): number {
  const reclaimablePlacements = placements.filter(({ reclaimable }) =>
    reclaimable
  );
  return totalCount(placements) -
    Math.max(0, ...reclaimablePlacements.map(({ count }) => count));
}

/** The offers after all placements have started. */
function running(
  all: readonly Offer[],
  placements: readonly Placement[],
): readonly Offer[] {
  return all.map((one) => {
    const placed = placements.find((other) =>
      other.availabilityZone === one.availabilityZone &&
      other.reclaimable === one.reclaimable
    );
    return { ...one, running: placed?.count ?? 0 };
  });
}

/** Placements that a policy wants each second for `load` busy slots. */
function simulate(policy: ScalingPolicy, options: {
  seconds: number;
  load: (second: number) => number;
  offersAt?: (second: number, before: readonly Offer[]) => readonly Offer[];
}): readonly (readonly Placement[])[] {
  let all = offers();
  const wanted: (readonly Placement[])[] = [];
  for (let second = 0; second < options.seconds; second++) {
    all = options.offersAt?.(second, all) ?? all;
    const placements = policy.wanted(input({
      busy: options.load(second),
      offers: all,
      now: second * 1000,
    }));
    wanted.push(placements);
    all = running(all, placements);
  }
  return wanted;
}

function changes(wanted: readonly (readonly Placement[])[]): number {
  return wanted.filter((placements, n) =>
    n > 0 && JSON.stringify(placements) !== JSON.stringify(wanted[n - 1])
  ).length;
}

test("the fixed policy runs the maximum, none of it reclaimable", () => {
  const wanted = new FixedScalingPolicy().wanted(input({}));
  expect(totalCount(wanted)).toEqual(12);
  expect(reclaimable(wanted)).toEqual(0);
  const nonReclaimable = wanted.filter(({ reclaimable }) => !reclaimable);
  expect(nonReclaimable.map(({ count }) => count)).toEqual([3, 3, 3, 3]);
});

test("placements keep their bounds and survive a zone's reclaim", () => {
  const kind = fc.record({
    availabilityZone: fc.constantFrom(...ZONES),
    reclaimable: fc.boolean(),
    running: fc.nat({ max: 4 }),
    available: fc.nat({ max: 6 }),
    pricePerHour: fc.integer({ min: 1, max: 4 }),
  });
  const bounds = fc.record({
    total: fc.nat({ max: 20 }),
    maxTotal: fc.integer({ min: 20, max: 24 }),
    maxReclaimable: fc.nat({ max: 12 }),
    minNonReclaimable: fc.nat({ max: 1 }),
    minSurviving: fc.nat({ max: 20 }),
  });
  const kinds = fc.uniqueArray(kind, {
    selector: (one) => `${one.availabilityZone}/${one.reclaimable}`,
  });
  fc.assert(
    fc.property(kinds, bounds, (drawn, bounds) => {
      const capacities = drawn.map((one) => ({
        offer: offer(one),
        maxCount: one.available,
      }));
      const placed = choosePlacements(capacities, bounds);
      const nonReclaimable = choosePlacements(capacities, {
        ...bounds,
        maxReclaimable: 0,
      });
      const within = running(capacities.map(({ offer }) => offer), placed)
        .every(({ running, available }) => running <= available);
      return within && totalCount(placed) <= bounds.maxTotal &&
        reclaimable(placed) <= bounds.maxReclaimable &&
        Math.min(survivingCount(placed), bounds.minSurviving) >=
          Math.min(survivingCount(nonReclaimable), bounds.minSurviving);
    }),
    { seed: 1, numRuns: 500 },
  );
});

test("reclaimable upstreams fill the pool's share, spread over zones", () => {
  const [wanted] = simulate(new LoadScalingPolicy(), {
    seconds: 1,
    load: () => 60,
  });
  expect(totalCount(wanted)).toEqual(8);
  expect(reclaimable(wanted)).toEqual(6);
  const perZone = ZONES.map((zone) =>
    totalCount(
      wanted.filter(({ availabilityZone }) => availabilityZone === zone),
    )
  );
  expect(Math.max(...perZone) <= 3).toEqual(true);
});

test("urgent work fits the upstreams left after any zone's reclaim", () => {
  const [wanted] = simulate(new LoadScalingPolicy({ utilization: 1 }), {
    seconds: 1,
    load: () => 120,
  });
  expect(totalCount(wanted)).toEqual(12);
  expect(reclaimable(wanted)).toEqual(0);
});

test("an oscillating load does not make the placements oscillate", () => {
  const wanted = simulate(new LoadScalingPolicy(), {
    seconds: 600,
    load: (second) => second % 20 < 10 ? 70 : 20,
  });
  expect(changes(wanted.slice(60))).toEqual(0);
});

test("a short spike starts nothing unless urgent requests are queued", () => {
  const spike = (second: number) => second === 300 ? 100 : 10;
  const wanted = simulate(new LoadScalingPolicy(), {
    seconds: 400,
    load: spike,
  });
  expect(Math.max(...wanted.slice(200).map(totalCount))).toEqual(2);
  const urgent = { running: 20, queued: 60, urgent: 60, slots: 20 };
  const policy = new LoadScalingPolicy();
  policy.wanted(input({ busy: 10 }));
  const now = policy.wanted(input({ pressure: some(urgent), now: 1000 }));
  expect(totalCount(now)).toEqual(10);
});

test("upstreams are removed after demand was low for long", () => {
  const wanted = simulate(new LoadScalingPolicy(), {
    seconds: 400,
    load: (second) => second < 60 ? 80 : 8,
  });
  expect(totalCount(wanted[100])).toEqual(10);
  expect(totalCount(wanted[399])).toEqual(1);
  expect(changes(wanted.slice(60)) <= 2).toEqual(true);
});

test("upstreams that are listed one after another are all kept", () => {
  const policy = new LoadScalingPolicy();
  const listed = (count: number) =>
    ZONES.map((availabilityZone, n) =>
      offer({ availabilityZone, running: n < count ? 1 : 0 })
    );
  const wanted = [0, 1, 2, 3, 4, 4].map((count, second) =>
    totalCount(policy.wanted(input({
      offers: listed(count),
      now: second * 1000,
    })))
  );
  expect(wanted).toEqual([0, 1, 2, 3, 4, 4]);
});

test("the minimum is ordered after nothing was listed for a while", () => {
  const wanted = simulate(new LoadScalingPolicy(), {
    seconds: 8,
    load: () => 0,
  });
  expect([wanted[0], wanted[7]].map(totalCount)).toEqual([0, 1]);
});

test("unknown load changes nothing", () => {
  const policy = new LoadScalingPolicy();
  const before = policy.wanted(input({ busy: 80 }));
  const later = policy.wanted(input({
    pressure: none,
    offers: running(offers(), before),
    now: 1_000_000,
  }));
  expect(totalCount(later)).toEqual(totalCount(before));
});

test("a reclaimed zone is replaced at once and avoided for a while", () => {
  const wanted = simulate(new LoadScalingPolicy(), {
    seconds: 280,
    load: () => 60,
    offersAt: (second, before) =>
      before.map((one) => {
        const hit = one.reclaimable && one.availabilityZone === "a";
        if (!hit) return one;
        if (second < 100) return one;
        if (second < 105) return { ...one, available: 0, reclaimInMs: 5000 };
        return { ...one, running: second === 105 ? 0 : one.running };
      }),
  });
  const inA = (placements: readonly Placement[]) =>
    reclaimable(placements.filter((one) => one.availabilityZone === "a"));
  expect(inA(wanted[99]) > 0).toEqual(true);
  expect(wanted.slice(100).map(inA).every((count) => count === 0))
    .toEqual(true);
  expect(wanted.map(totalCount).every((count) => count === 8)).toEqual(true);
  expect(changes(wanted.slice(10))).toEqual(1);
});
