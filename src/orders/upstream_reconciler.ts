/**
 * Orders upstreams so that what runs comes to what the plan wants.
 *
 * @module
 */

import { isNone, none, type Option, some } from "fp-ts/Option";
import { type Clock, type Kernel, logger } from "../kernel/mod.ts";
import { type Config, configKey } from "../config/mod.ts";
import { type Dispatch, dispatchKey, type Pressure } from "../dispatch/mod.ts";
import {
  Fault,
  type Offer,
  type Order,
  Role,
  Standing,
  type Vm,
} from "../outside/mod.ts";
import { type Pool, Priority, type Tables } from "../tables/mod.ts";
import type { HeldLease } from "./duty_lease.ts";
import type { Placement, ScalingPolicy } from "./mod.ts";
import { ordered, sum } from "./placement.ts";

const log = logger("orders");

const SECONDS_PER_HOUR = 3600;

/** An order that had no effect is placed anew after this time. */
const REPEAT_MS = 10_000;

/** The last order on one offer. */
interface Placed {
  readonly order: Order;
  readonly at: number;
  /** Whether the platform answered; until then the same order is resent. */
  readonly settled: boolean;
  /** Whether the platform refused it. */
  readonly failed: boolean;
}

/** One offer and the number of upstreams wanted on it. */
export interface OfferTarget {
  readonly offer: Offer;
  readonly wanted: number;
}

/** Compares offers with the plan and places orders, within one tenure. */
export class Ordering {
  readonly #kernel: Kernel;
  readonly #clock: Clock;
  readonly #config: Config;
  readonly #dispatch: Dispatch;
  readonly #tenure: HeldLease;
  readonly #plan: ScalingPolicy;
  readonly #meters: OrderMeters;
  readonly #placed = new Map<string, Placed>();
  #count = 0;

  constructor(options: {
    kernel: Kernel;
    tenure: HeldLease;
    plan: ScalingPolicy;
    meters: OrderMeters;
  }) {
    this.#kernel = options.kernel;
    this.#clock = options.kernel.clock;
    this.#config = options.kernel.get(configKey);
    this.#dispatch = options.kernel.get(dispatchKey);
    this.#tenure = options.tenure;
    this.#plan = options.plan;
    this.#meters = options.meters;
  }

  /** Looks once at all pools; returns when the orders were answered. */
  async round(): Promise<void> {
    const configuration = this.#config.current();
    if (isNone(configuration) || !this.#config.fresh()) return;
    const { tables } = configuration.value;
    const offers = await this.#kernel.platform.orders.offers();
    if (offers.err) {
      this.#meters.orders.inc({ outcome: `offers_${offers.val.fault}` });
      return;
    }
    const all = [...offers.val, ...await this.#scaled(tables.pools)];
    this.#meters.observe(all);
    await Promise.all(
      tables.pools.map((pool) => this.#pool(pool, tables, all)),
    );
  }

  /** Offers of pools whose terms stand in their table. */
  async #scaled(pools: readonly Pool[]): Promise<readonly Offer[]> {
    if (pools.every(({ scaling }) => scaling === undefined)) return [];
    const vms = await this.#kernel.platform.directory.list();
    if (vms.err) return [];
    return pools.flatMap((pool) =>
      scaledOffers(pool, vms.val).map((offer) => ({
        ...offer,
        starting: this.#starting(offer, pool),
      }))
    );
  }

  /** Upstreams that were ordered and don't run yet. */
  #starting(offer: Offer, { scaling }: Pool): number {
    const last = this.#placed.get(keyOf(offer));
    const bootMs = (scaling?.bootMs ?? 0) + REPEAT_MS;
    if (last === undefined || last.failed) return 0;
    if (this.#clock.now() - last.at > bootMs) return 0;
    return Math.max(0, last.order.count - offer.running);
  }

  async #pool(
    pool: Pool,
    tables: Tables,
    all: readonly Offer[],
  ): Promise<void> {
    const offers = all.filter((offer) => offer.pool === pool.name);
    if (offers.length === 0) return;
    const running = sum(offers.map((offer) => offer.running));
    const wanted = this.#plan.wanted({
      pool,
      urgent: urgentRoutes(tables, pool),
      offers,
      pressure: known(await this.#dispatch.pressure(pool.name), running),
      now: this.#clock.now(),
    });
    const gaps = offers.map((offer) => targetFor(offer, wanted));
    for (const gap of this.#due(gaps)) await this.#order(gap);
  }

  #due(gaps: readonly OfferTarget[]): readonly OfferTarget[] {
    const unsettled = gaps.filter((gap) =>
      this.#placed.get(keyOf(gap.offer))?.settled === false
    );
    const due = dueTargets(gaps).filter((gap) => !unsettled.includes(gap));
    return [...unsettled, ...due];
  }

  async #order(gap: OfferTarget): Promise<void> {
    const key = keyOf(gap.offer);
    const last = this.#placed.get(key);
    const now = this.#clock.now();
    const same = last?.settled && last.order.count === gap.wanted;
    if (same && now - last.at < REPEAT_MS) return;
    const resent = last !== undefined && !last.settled;
    const order = resent ? last.order : this.#orderOf(gap);
    const answer = await this.#tenure.runWhileHeld((signal) =>
      this.#kernel.platform.orders.place(order, signal)
    );
    if (isNone(answer)) return;
    const { value } = answer;
    const fault = value.err ? value.val.fault : undefined;
    // An unknown outcome stays open: a newer order could be overtaken by it.
    const settled = fault !== Fault.Unknown;
    const failed = fault === Fault.Refused;
    this.#placed.set(key, { order, at: now, settled, failed });
    this.#meters.orders.inc({ outcome: fault ?? "placed" });
    if (fault === undefined) log("ordered", { ...order });
  }

  #orderOf({ offer, wanted }: OfferTarget): Order {
    const { term } = this.#tenure;
    this.#count += 1;
    return {
      id: `${term}/${this.#count}`,
      pool: offer.pool,
      availabilityZone: offer.availabilityZone,
      reclaimable: offer.reclaimable,
      count: wanted,
      term,
      holder: this.#kernel.settings.vm,
    };
  }
}

/**
 * What to order now. Upstreams are given up only when all that take their
 * place run: a starting one serves nobody.
 */
export function dueTargets(
  gaps: readonly OfferTarget[],
): readonly OfferTarget[] {
  const more = gaps.filter(({ offer, wanted }) => wanted > ordered(offer));
  const fewer = gaps.filter(({ offer, wanted }) => wanted < ordered(offer));
  const waiting = more.length > 0 ||
    gaps.some(({ offer }) => offer.starting > 0);
  if (waiting) return more;
  // Even numbers over the zones are not worth emptying an upstream for.
  const surplus = sum(gaps.map(({ offer, wanted }) => ordered(offer) - wanted));
  return surplus > 0 ? fewer : [];
}

/** What a pool's own terms offer in each availability zone. */
function scaledOffers(
  { name, scaling }: Pool,
  vms: readonly Vm[],
): readonly Offer[] {
  if (scaling === undefined) return [];
  return Object.entries(scaling.zonePrices).map(([zone, price]) => ({
    pool: name,
    availabilityZone: zone,
    reclaimable: false,
    pricePerHour: price * SECONDS_PER_HOUR,
    running: vms.filter((vm) =>
      vm.role === Role.Upstream && vm.pool === name &&
      vm.availabilityZone === zone && vm.standing === Standing.Live &&
      !vm.reclaimable
    ).length,
    starting: 0,
    available: scaling.maxPerZone,
  }));
}

/** Counters and gauges of orders. */
export class OrderMeters {
  readonly orders;
  readonly #upstreams;
  readonly #price;

  constructor(kernel: Kernel) {
    this.orders = kernel.counter(
      "toucanwind_orders_total",
      "Orders of upstreams by outcome; offers_* are failed looks at the offers",
      ["outcome"],
    );
    this.#upstreams = kernel.gauge(
      "toucanwind_orders_upstreams",
      "Upstreams as the platform counts them, at the holder of the charge",
      ["pool", "kind", "state"],
    );
    this.#price = kernel.gauge(
      "toucanwind_orders_price_per_hour",
      "Price of the running upstreams for an hour, at the holder",
      ["pool"],
    );
  }

  /** Shows what the platform runs. */
  observe(offers: readonly Offer[]): void {
    this.clear();
    for (const { pool, reclaimable, ...offer } of offers) {
      const kind = reclaimable ? "reclaimable" : "lasting";
      this.#upstreams.inc({ pool, kind, state: "running" }, offer.running);
      this.#upstreams.inc({ pool, kind, state: "starting" }, offer.starting);
      this.#price.inc({ pool }, offer.running * offer.pricePerHour);
    }
  }

  /** Shows nothing: another daemon holds the charge. */
  clear(): void {
    this.#upstreams.reset();
    this.#price.reset();
  }
}

/** How far an offer is from what the plan wants. */
export function targetFor(
  offer: Offer,
  wanted: readonly Placement[],
): OfferTarget {
  const placement = wanted.find((one) =>
    one.availabilityZone === offer.availabilityZone &&
    one.reclaimable === offer.reclaimable
  );
  return { offer, wanted: placement?.count ?? 0 };
}

/** A pool that runs upstreams but tells of no slots is not known. */
function known(pressure: Pressure, running: number): Option<Pressure> {
  return running > 0 && pressure.slots === 0 ? none : some(pressure);
}

function urgentRoutes({ routes }: Tables, pool: Pool): boolean {
  return routes.some((route) =>
    route.pool === pool.name &&
    (route.priority === Priority.Interactive ||
      route.priority === Priority.Standard)
  );
}

function keyOf(offer: Offer): string {
  const { pool, availabilityZone, reclaimable } = offer;
  return `${pool}/${availabilityZone}/${reclaimable}`;
}
