/**
 * Compares scaling policies in a simulation of one pool: a load that varies
 * with the steps of a trainer and with the time of day, and availability zones
 * whose reclaimable upstreams are reclaimed at five seconds' notice.
 *
 *     node dist/experiments/plans.js [SEEDS]
 *
 * @module
 */

import { some } from "fp-ts/Option";
import { pool as poolOf } from "../stand_ins/builders.ts";
import { HashRandom } from "../stand_ins/hash_random.ts";
import type { Placement, ScalingPolicy } from "../src/orders/mod.ts";
import {
  dueTargets,
  type OfferTarget,
  targetFor,
} from "../src/orders/upstream_reconciler.ts";
import {
  FixedScalingPolicy,
  LoadScalingPolicy,
} from "../src/orders/scaling_policies.ts";
import type { Offer } from "../src/outside/mod.ts";
import type { Pool } from "../src/tables/mod.ts";

const SIMULATED_SECONDS = 6 * 3600;
const ZONES = ["a", "b", "c", "d"];
const SLOTS_PER_UPSTREAM = 10;
const STARTUP_S = 60;
const RECLAIM_NOTICE_S = 5;
/** Mean time between two reclaims, and how long the zone then has no offer. */
const MEAN_RECLAIM_INTERVAL_S = 2400;
const RECLAIM_OUTAGE_S = 900;
const ON_DEMAND_PRICE_PER_HOUR = 4;
const RECLAIMABLE_PRICE_PER_HOUR = 1.2;

/** State of one offer of the simulated platform. */
interface OfferState {
  readonly availabilityZone: string;
  readonly reclaimable: boolean;
  running: number;
  /** Time at which each ordered upstream becomes available. */
  starting: number[];
  unavailableUntil: number;
  reclaimAt: number;
}

interface PolicyCase {
  readonly name: string;
  readonly pool: Pool;
  readonly createPolicy: () => ScalingPolicy;
  readonly due: (targets: readonly OfferTarget[]) => readonly OfferTarget[];
}

interface PolicyFigures {
  readonly cost: number;
  readonly reclaimableFraction: number;
  /** Urgent load that found no slot, in slot-seconds. */
  readonly urgentUnserved: number;
  /** Mean waiting time of training work, in seconds. */
  readonly trainingWaitS: number;
  readonly orders: number;
}

const POOL = poolOf({
  minUpstreams: 1,
  maxUpstreams: 16,
  reclaimableShare: 0.5,
  availabilityZones: ZONES,
  slots: SLOTS_PER_UPSTREAM,
});

function allChangedTargets(
  targets: readonly OfferTarget[],
): readonly OfferTarget[] {
  return targets.filter(({ offer, wanted }) =>
    wanted !== offer.running + offer.starting
  );
}

/** Scales with the current load, without stabilization or cooldown. */
function immediatePolicy(): ScalingPolicy {
  return new LoadScalingPolicy({
    scaleUpStabilizationMs: 0,
    scaleDownStabilizationMs: 0,
    reclaimCooldownMs: 0,
  });
}

const POLICY_CASES: readonly PolicyCase[] = [
  {
    name: "static",
    pool: POOL,
    createPolicy: () => new FixedScalingPolicy(),
    due: allChangedTargets,
  },
  {
    name: "momentary",
    pool: POOL,
    createPolicy: immediatePolicy,
    due: allChangedTargets,
  },
  {
    name: "pressure, lasting only",
    pool: { ...POOL, reclaimableShare: 0 },
    createPolicy: () => new LoadScalingPolicy(),
    due: dueTargets,
  },
  {
    name: "pressure",
    pool: POOL,
    createPolicy: () => new LoadScalingPolicy(),
    due: dueTargets,
  },
];

/** Simulates one policy with one seed. */
function run(policy: PolicyCase, seed: number): PolicyFigures {
  const random = new HashRandom({ seed });
  const scalingPolicy = policy.createPolicy();
  const states = ZONES.flatMap((
    zone,
  ) => [createOfferState(zone, false), createOfferState(zone, true)]);
  const sums = {
    cost: 0,
    reclaimable: 0,
    all: 0,
    urgent: 0,
    waiting: 0,
    work: 0,
  };
  let orders = 0;
  let backlog = 0;
  for (let second = 0; second < SIMULATED_SECONDS; second++) {
    advancePlatform(states, second, random);
    const capacity = total(states.map(({ running }) => running)) *
      SLOTS_PER_UPSTREAM;
    const urgent = urgentLoad(second, random);
    const training = trainingLoad(second);
    backlog += training;
    const urgentRan = Math.min(urgent, capacity);
    const trained = Math.min(backlog, capacity - urgentRan);
    backlog -= trained;
    sums.urgent += urgent - urgentRan;
    sums.waiting += backlog;
    sums.work += training;
    for (const { running, reclaimable } of states) {
      sums.cost += running *
        (reclaimable ? RECLAIMABLE_PRICE_PER_HOUR : ON_DEMAND_PRICE_PER_HOUR) /
        3600;
      sums.reclaimable += reclaimable ? running : 0;
      sums.all += running;
    }
    const offers = states.map((state) => offerOf(state, second));
    const wanted = scalingPolicy.wanted({
      pool: policy.pool,
      urgent: true,
      offers,
      pressure: some({
        running: Math.round(urgentRan + trained),
        queued: Math.round(urgent - urgentRan + backlog),
        urgent: Math.round(urgent - urgentRan),
        slots: capacity,
      }),
      now: second * 1000,
    });
    orders += placeOrders(states, { offers, wanted, second, due: policy.due });
  }
  return {
    cost: sums.cost,
    reclaimableFraction: sums.reclaimable / sums.all,
    urgentUnserved: sums.urgent,
    trainingWaitS: sums.waiting / sums.work,
    orders,
  };
}

function createOfferState(
  availabilityZone: string,
  reclaimable: boolean,
): OfferState {
  return {
    availabilityZone,
    reclaimable,
    running: reclaimable ? 0 : 1,
    starting: [],
    unavailableUntil: 0,
    reclaimAt: Infinity,
  };
}

/** Advances the platform to `second`: completes starts, reclaims upstreams. */
function advancePlatform(
  states: readonly OfferState[],
  second: number,
  random: HashRandom,
): void {
  for (const state of states) {
    state.running += state.starting.filter((at) => at <= second).length;
    state.starting = state.starting.filter((at) => at > second);
    if (!state.reclaimable) continue;
    const isReclaimed =
      random.next() < 1 / MEAN_RECLAIM_INTERVAL_S / ZONES.length;
    if (
      isReclaimed && second >= state.unavailableUntil &&
      state.reclaimAt === Infinity
    ) {
      state.reclaimAt = second + RECLAIM_NOTICE_S;
    }
    if (second < state.reclaimAt) continue;
    state.running = 0;
    state.starting = [];
    state.reclaimAt = Infinity;
    state.unavailableUntil = second + RECLAIM_OUTAGE_S;
  }
}

/** Returns the slots needed by callers: a daily cycle with bursts. */
function urgentLoad(second: number, random: HashRandom): number {
  const base = 25 + 15 * Math.sin(2 * Math.PI * second / SIMULATED_SECONDS);
  const burst = second % 900 < 45 ? 15 : 0;
  return Math.round(base + burst + 6 * (random.next() - 0.5));
}

/** Returns the slot-seconds of training samples that arrive in a second. */
function trainingLoad(second: number): number {
  return second % 120 < 80 ? 60 : 0;
}

function offerOf(state: OfferState, second: number): Offer {
  const isReclaimAnnounced = state.reclaimAt !== Infinity;
  const isUnavailable = isReclaimAnnounced || second < state.unavailableUntil;
  return {
    pool: POOL.name,
    availabilityZone: state.availabilityZone,
    reclaimable: state.reclaimable,
    pricePerHour: state.reclaimable
      ? RECLAIMABLE_PRICE_PER_HOUR
      : ON_DEMAND_PRICE_PER_HOUR,
    running: state.running,
    starting: state.starting.length,
    available: isUnavailable ? 0 : 16,
    ...isReclaimAnnounced
      ? { reclaimInMs: (state.reclaimAt - second) * 1000 }
      : {},
  };
}

/** Places the orders that are due and returns their number. */
function placeOrders(states: readonly OfferState[], options: {
  offers: readonly Offer[];
  wanted: readonly Placement[];
  second: number;
  due: PolicyCase["due"];
}): number {
  const { offers, wanted, second } = options;
  const due = options.due(offers.map((offer) => targetFor(offer, wanted)));
  for (const target of due) {
    const state = states[offers.indexOf(target.offer)];
    const missing = target.wanted - state.running - state.starting.length;
    const added = Array.from({ length: Math.max(0, missing) });
    state.starting = [
      ...state.starting,
      ...added.map(() => second + STARTUP_S),
    ];
    const surplus = Math.max(0, -missing);
    const stopped = Math.min(surplus, state.starting.length);
    state.starting = state.starting.slice(stopped);
    state.running -= surplus - stopped;
  }
  return due.length;
}

function total(numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0);
}

function main(): void {
  const seeds = Number(process.argv[2] ?? 5);
  for (const policy of POLICY_CASES) {
    const all = Array.from({ length: seeds }, (_, n) => run(policy, n + 1));
    const column = (pick: (figures: PolicyFigures) => number) =>
      all.map((figures) => pick(figures).toFixed(2)).join(" ");
    console.log(policy.name);
    console.log(`  cost              ${column(({ cost }) => cost)}`);
    console.log(
      `  reclaimable part  ${
        column(({ reclaimableFraction }) => reclaimableFraction)
      }`,
    );
    console.log(`  urgent unserved   ${column((f) => f.urgentUnserved)}`);
    console.log(`  training wait s   ${column((f) => f.trainingWaitS)}`);
    console.log(`  orders            ${column(({ orders }) => orders)}`);
  }
}

main();
