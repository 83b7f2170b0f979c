/**
 * Orders upstreams so that the running ones match the scaling policy.
 *
 * @module
 */

import { isNone, none, type Option, some } from "fp-ts/Option";
import { type Clock, type Kernel, logger } from "../kernel/mod.ts";
import {
  type ActiveConfiguration,
  activeConfigurationKey,
} from "../config/mod.ts";
import { type Dispatch, dispatchKey, type Pressure } from "../dispatch/mod.ts";
import {
  Fault,
  type Offer,
  type Order,
  Role,
  type Vm,
  VmState,
} from "../outside/mod.ts";
import { type Pool, Priority, type Tables } from "../tables/mod.ts";
import type { HeldLease } from "./duty_lease.ts";
import type { Placement, ScalingPolicy } from "./mod.ts";
import { orderedCount, sum } from "./placement.ts";

const log = logger("orders");

const SECONDS_PER_HOUR = 3600;

/** An order without effect is placed again after this time. */
const REORDER_DELAY_MS = 10_000;

/** The last order placed on an offer. */
interface PlacedOrder {
  readonly order: Order;
  readonly at: number;
  /** Whether the platform answered; until it has, the same order is resent. */
  readonly settled: boolean;
  /** Whether the platform refused it. */
  readonly failed: boolean;
}

/** An offer and the number of upstreams to run on it. */
export interface OfferTarget {
  readonly offer: Offer;
  readonly wanted: number;
}

/** Brings offers in line with the policy by orders while the lease is held. */
export class UpstreamReconciler {
  readonly #kernel: Kernel;
  readonly #clock: Clock;
  readonly #config: ActiveConfiguration;
  readonly #dispatch: Dispatch;
  readonly #lease: HeldLease;
  readonly #policy: ScalingPolicy;
  readonly #metrics: OrderMetrics;
  readonly #placedOrders = new Map<string, PlacedOrder>();
  #count = 0;

  constructor(options: {
    kernel: Kernel;
    lease: HeldLease;
    policy: ScalingPolicy;
    metrics: OrderMetrics;
  }) {
    this.#kernel = options.kernel;
    this.#clock = options.kernel.clock;
    this.#config = options.kernel.get(activeConfigurationKey);
    this.#dispatch = options.kernel.get(dispatchKey);
    this.#lease = options.lease;
    this.#policy = options.policy;
    this.#metrics = options.metrics;
  }

  /** Reconciles all pools once; returns when all orders were answered. */
  async reconcile(): Promise<void> {
    const configuration = this.#config.current();
    if (isNone(configuration) || !this.#config.fresh()) return;
    const { tables } = configuration.value;
    const offers = await this.#kernel.platform.orders.offers();
    if (offers.err) {
      this.#metrics.orders.inc({ outcome: `offers_${offers.val.fault}` });
      return;
    }
    const all = [...offers.val, ...await this.#configuredOffers(tables.pools)];
    this.#metrics.observe(all);
    await Promise.all(
      tables.pools.map((pool) => this.#pool(pool, tables, all)),
    );
  }

  /** Offers of pools with their own scaling section in the configuration. */
  async #configuredOffers(pools: readonly Pool[]): Promise<readonly Offer[]> {
    if (pools.every(({ scaling }) => scaling === undefined)) return [];
    const vms = await this.#kernel.platform.directory.list();
    if (vms.err) return [];
    return pools.flatMap((pool) =>
      configuredOffersOf(pool, vms.val).map((offer) => ({
        ...offer,
        starting: this.#starting(offer, pool),
      }))
    );
  }

  /** Upstreams that were ordered but do not run yet. */
  #starting(offer: Offer, { scaling }: Pool): number {
    const last = this.#placedOrders.get(keyOf(offer));
    const bootMs = (scaling?.bootMs ?? 0) + REORDER_DELAY_MS;
    if (last === undefined || last.failed) return 0;
    if (this.#clock.now() - last.at > bootMs) return 0;
    return Math.max(0, last.order.count - offer.running);
  }

  async #pool(
    pool: Pool,
    tables: Tables,
    all: readonly Offer[],
  ): Promise<void> {
    // What is wanted runs in other zones, and the evacuated ones stay as they are.
    const offers = all.filter((offer) =>
      offer.pool === pool.name && !this.#isEvacuated(offer)
    );
    if (offers.length === 0) return;
    const running = sum(offers.map((offer) => offer.running));
    const wanted = this.#policy.wanted({
      pool,
      urgent: hasUrgentRoutes(tables, pool),
      offers,
      pressure: usablePressure(
        await this.#dispatch.pressure(pool.name),
        running,
      ),
      now: this.#clock.now(),
    });
    const targets = offers.map((offer) => targetFor(offer, wanted));
    for (const target of this.#due(targets)) await this.#placeOrder(target);
  }

  #due(targets: readonly OfferTarget[]): readonly OfferTarget[] {
    const unsettled = targets.filter((target) =>
      this.#placedOrders.get(keyOf(target.offer))?.settled === false
    );
    const due = dueTargets(targets).filter((target) =>
      !unsettled.includes(target)
    );
    return [...unsettled, ...due];
  }

  #isEvacuated({ availabilityZone }: Offer): boolean {
    const { evacuations } = this.#kernel.platform;
    return evacuations?.has(availabilityZone) === true;
  }

  async #placeOrder(target: OfferTarget): Promise<void> {
    // Orders before this one may have taken long.
    if (this.#isEvacuated(target.offer)) return;
    const key = keyOf(target.offer);
    const last = this.#placedOrders.get(key);
    const now = this.#clock.now();
    const same = last?.settled && last.order.count === target.wanted;
    if (same && now - last.at < REORDER_DELAY_MS) return;
    const resent = last !== undefined && !last.settled;
    const order = resent ? last.order : this.#newOrder(target);
    const answer = await this.#lease.runWhileHeld((signal) =>
      this.#kernel.platform.orders.place(order, signal)
    );
    if (isNone(answer)) return;
    const { value } = answer;
    const fault = value.err ? value.val.fault : undefined;
    // An order of unknown outcome is resent: it could arrive after a newer one.
    const settled = fault !== Fault.Unknown;
    const failed = fault === Fault.Refused;
    this.#placedOrders.set(key, { order, at: now, settled, failed });
    this.#metrics.orders.inc({ outcome: fault ?? "placed" });
    if (fault === undefined) log("upstreams ordered", { ...order });
  }

  #newOrder({ offer, wanted }: OfferTarget): Order {
    const { term } = this.#lease;
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
 * The targets to order now. Upstreams are removed only once all their
 * replacements run: a starting upstream serves no requests.
 */
export function dueTargets(
  targets: readonly OfferTarget[],
): readonly OfferTarget[] {
  const increases = targets.filter(({ offer, wanted }) =>
    wanted > orderedCount(offer)
  );
  const decreases = targets.filter(({ offer, wanted }) =>
    wanted < orderedCount(offer)
  );
  const waiting = increases.length > 0 ||
    targets.some(({ offer }) => offer.starting > 0);
  if (waiting) return increases;
  // Draining an upstream only to balance the zones is not worth it.
  const surplus = sum(
    targets.map(({ offer, wanted }) => orderedCount(offer) - wanted),
  );
  return surplus > 0 ? decreases : [];
}

/** The offer in each availability zone by the pool's scaling section. */
function configuredOffersOf(
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
      vm.availabilityZone === zone && vm.standing === VmState.Live &&
      !vm.reclaimable
    ).length,
    starting: 0,
    available: scaling.maxPerZone,
  }));
}

/** Counters and gauges of orders. */
export class OrderMetrics {
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

  /** Sets the gauges to the upstreams that the platform runs. */
  observe(offers: readonly Offer[]): void {
    this.clear();
    for (const { pool, reclaimable, ...offer } of offers) {
      const kind = reclaimable ? "reclaimable" : "lasting";
      this.#upstreams.inc({ pool, kind, state: "running" }, offer.running);
      this.#upstreams.inc({ pool, kind, state: "starting" }, offer.starting);
      this.#price.inc({ pool }, offer.running * offer.pricePerHour);
    }
  }

  /** Clears the gauges, as another daemon now holds the lease. */
  clear(): void {
    this.#upstreams.reset();
    this.#price.reset();
  }
}

/** An offer with the number of upstreams that the policy wants on it. */
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

/** Load without slots is unknown, not zero, while the pool runs upstreams. */
function usablePressure(pressure: Pressure, running: number): Option<Pressure> {
  return running > 0 && pressure.slots === 0 ? none : some(pressure);
}

function hasUrgentRoutes({ routes }: Tables, pool: Pool): boolean {
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
