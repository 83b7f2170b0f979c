/**
 * Compares plans for ordering upstreams on a small model of one pool: a load
 * that swings with the steps of a trainer and with the time of day, and
 * availability zones whose reclaimable upstreams go at five seconds' notice.
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

const SECONDS = 6 * 3600;
const ZONES = ["a", "b", "c", "d"];
const SLOTS = 10;
const START_S = 60;
const NOTICE_S = 5;
/** Mean time between two reclaims, and how long a zone then offers none. */
const RECLAIM_EVERY_S = 2400;
const ABSENT_S = 900;
const LASTING_PRICE = 4;
const CHEAP_PRICE = 1.2;

/** One offer of the model's platform. */
interface Lot {
  readonly availabilityZone: string;
  readonly reclaimable: boolean;
  running: number;
  /** When each ordered upstream is live. */
  starting: number[];
  goneUntil: number;
  reclaimAt: number;
}

interface Policy {
  readonly name: string;
  readonly pool: Pool;
  readonly plan: () => ScalingPolicy;
  readonly due: (gaps: readonly OfferTarget[]) => readonly OfferTarget[];
}

interface Figures {
  readonly cost: number;
  readonly cheapPart: number;
  /** Urgent requests that found no slot, in slot-seconds. */
  readonly urgentUnserved: number;
  /** Mean wait of training work, in seconds. */
  readonly trainingWaitS: number;
  readonly orders: number;
}

const POOL = poolOf({
  minUpstreams: 1,
  maxUpstreams: 16,
  reclaimableShare: 0.5,
  availabilityZones: ZONES,
  slots: SLOTS,
});

function anything(gaps: readonly OfferTarget[]): readonly OfferTarget[] {
  return gaps.filter(({ offer, wanted }) =>
    wanted !== offer.running + offer.starting
  );
}

/** Follows the load of the moment. */
function momentary(): ScalingPolicy {
  return new LoadScalingPolicy({
    scaleUpStabilizationMs: 0,
    scaleDownStabilizationMs: 0,
    reclaimCooldownMs: 0,
  });
}

const POLICIES: readonly Policy[] = [
  {
    name: "static",
    pool: POOL,
    plan: () => new FixedScalingPolicy(),
    due: anything,
  },
  { name: "momentary", pool: POOL, plan: momentary, due: anything },
  {
    name: "pressure, lasting only",
    pool: { ...POOL, reclaimableShare: 0 },
    plan: () => new LoadScalingPolicy(),
    due: dueTargets,
  },
  {
    name: "pressure",
    pool: POOL,
    plan: () => new LoadScalingPolicy(),
    due: dueTargets,
  },
];

/** Runs one policy on one seed. */
function run(policy: Policy, seed: number): Figures {
  const random = new HashRandom({ seed });
  const plan = policy.plan();
  const lots = ZONES.flatMap((zone) => [lot(zone, false), lot(zone, true)]);
  const sums = { cost: 0, cheap: 0, all: 0, urgent: 0, waiting: 0, work: 0 };
  let orders = 0;
  let backlog = 0;
  for (let second = 0; second < SECONDS; second++) {
    advance(lots, second, random);
    const capacity = total(lots.map(({ running }) => running)) * SLOTS;
    const urgent = urgentLoad(second, random);
    const training = trainingLoad(second);
    backlog += training;
    const urgentRan = Math.min(urgent, capacity);
    const trained = Math.min(backlog, capacity - urgentRan);
    backlog -= trained;
    sums.urgent += urgent - urgentRan;
    sums.waiting += backlog;
    sums.work += training;
    for (const { running, reclaimable } of lots) {
      sums.cost += running * (reclaimable ? CHEAP_PRICE : LASTING_PRICE) / 3600;
      sums.cheap += reclaimable ? running : 0;
      sums.all += running;
    }
    const offers = lots.map((one) => offerOf(one, second));
    const wanted = plan.wanted({
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
    orders += order(lots, { offers, wanted, second, due: policy.due });
  }
  return {
    cost: sums.cost,
    cheapPart: sums.cheap / sums.all,
    urgentUnserved: sums.urgent,
    trainingWaitS: sums.waiting / sums.work,
    orders,
  };
}

function lot(availabilityZone: string, reclaimable: boolean): Lot {
  return {
    availabilityZone,
    reclaimable,
    running: reclaimable ? 0 : 1,
    starting: [],
    goneUntil: 0,
    reclaimAt: Infinity,
  };
}

/** Lets time pass at the platform: starts end, zones are reclaimed. */
function advance(
  lots: readonly Lot[],
  second: number,
  random: HashRandom,
): void {
  for (const one of lots) {
    one.running += one.starting.filter((at) => at <= second).length;
    one.starting = one.starting.filter((at) => at > second);
    if (!one.reclaimable) continue;
    const hit = random.next() < 1 / RECLAIM_EVERY_S / ZONES.length;
    if (hit && second >= one.goneUntil && one.reclaimAt === Infinity) {
      one.reclaimAt = second + NOTICE_S;
    }
    if (second < one.reclaimAt) continue;
    one.running = 0;
    one.starting = [];
    one.reclaimAt = Infinity;
    one.goneUntil = second + ABSENT_S;
  }
}

/** Busy slots of callers: the time of day, and bursts. */
function urgentLoad(second: number, random: HashRandom): number {
  const day = 25 + 15 * Math.sin(2 * Math.PI * second / SECONDS);
  const burst = second % 900 < 45 ? 15 : 0;
  return Math.round(day + burst + 6 * (random.next() - 0.5));
}

/** Slot-seconds of a trainer's samples that come in each second. */
function trainingLoad(second: number): number {
  return second % 120 < 80 ? 60 : 0;
}

function offerOf(one: Lot, second: number): Offer {
  const announced = one.reclaimAt !== Infinity;
  const absent = announced || second < one.goneUntil;
  return {
    pool: POOL.name,
    availabilityZone: one.availabilityZone,
    reclaimable: one.reclaimable,
    pricePerHour: one.reclaimable ? CHEAP_PRICE : LASTING_PRICE,
    running: one.running,
    starting: one.starting.length,
    available: absent ? 0 : 16,
    ...announced ? { reclaimInMs: (one.reclaimAt - second) * 1000 } : {},
  };
}

/** Carries out what is due; answers with the number of orders. */
function order(lots: readonly Lot[], options: {
  offers: readonly Offer[];
  wanted: readonly Placement[];
  second: number;
  due: Policy["due"];
}): number {
  const { offers, wanted, second } = options;
  const due = options.due(offers.map((offer) => targetFor(offer, wanted)));
  for (const gap of due) {
    const one = lots[offers.indexOf(gap.offer)];
    const missing = gap.wanted - one.running - one.starting.length;
    const added = Array.from({ length: Math.max(0, missing) });
    one.starting = [...one.starting, ...added.map(() => second + START_S)];
    const surplus = Math.max(0, -missing);
    const stopped = Math.min(surplus, one.starting.length);
    one.starting = one.starting.slice(stopped);
    one.running -= surplus - stopped;
  }
  return due.length;
}

function total(numbers: readonly number[]): number {
  return numbers.reduce((sum, number) => sum + number, 0);
}

function main(): void {
  const seeds = Number(process.argv[2] ?? 5);
  for (const policy of POLICIES) {
    const all = Array.from({ length: seeds }, (_, n) => run(policy, n + 1));
    const column = (pick: (figures: Figures) => number) =>
      all.map((figures) => pick(figures).toFixed(2)).join(" ");
    console.log(policy.name);
    console.log(`  cost              ${column(({ cost }) => cost)}`);
    console.log(`  reclaimable part  ${column(({ cheapPart }) => cheapPart)}`);
    console.log(`  urgent unserved   ${column((f) => f.urgentUnserved)}`);
    console.log(`  training wait s   ${column((f) => f.trainingWaitS)}`);
    console.log(`  orders            ${column(({ orders }) => orders)}`);
  }
}

main();
