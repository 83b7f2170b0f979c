/**
 * The orders plug-in: competes for the lease and, while it holds it, orders
 * upstreams and weight updates.
 *
 * @module
 */

import { activeConfigurationKey } from "../config/mod.ts";
import { dispatchKey } from "../dispatch/mod.ts";
import { type Kernel, logger, type Props, register } from "../kernel/mod.ts";
import { peersKey } from "../peers/mod.ts";
import { DutyLease, type HeldLease, isCandidate } from "./duty_lease.ts";
import { Orders, ordersKey, type ScalingPolicy } from "./mod.ts";
import { OrderMetrics, UpstreamReconciler } from "./upstream_reconciler.ts";
import { RetirementResponder } from "./retirements.ts";
import { LoadScalingPolicy } from "./scaling_policies.ts";
import { WeightUpdateMetrics } from "./weight_update_metrics.ts";
import { WeightUpdater } from "./weight_updater.ts";

const log = logger("orders");

const DUTY = "orders";
/** The margin of the lease is its duration divided by this. */
const LEASE_MARGIN_DIVISOR = 3;
const ORDER_INTERVAL_MS = 1000;
const WEIGHT_UPDATE_INTERVAL_MS = 250;
const RETIREMENT_INTERVAL_MS = 1000;

/** Orders on behalf of all daemons while this one holds the lease. */
export class LeasedOrders extends Orders {
  override readonly props: Props = { status: () => ({ charge: this.held }) };
  readonly #kernel: Kernel;
  readonly #policy: () => ScalingPolicy;
  readonly #dutyLease: DutyLease;
  readonly #orderMetrics: OrderMetrics;
  readonly #weightUpdateMetrics: WeightUpdateMetrics;
  readonly #held;
  readonly #failures;
  readonly #stop = new AbortController();
  #lease: HeldLease | undefined;
  #ended: Promise<unknown> = Promise.resolve();

  constructor(options: { kernel: Kernel; policy?: () => ScalingPolicy }) {
    super();
    const { kernel } = options;
    const { platform, clock, settings } = kernel;
    this.#kernel = kernel;
    this.#policy = options.policy ?? (() => new LoadScalingPolicy());
    this.#orderMetrics = new OrderMetrics(kernel);
    this.#weightUpdateMetrics = new WeightUpdateMetrics(kernel);
    this.#held = kernel.gauge(
      "toucanwind_orders_charge",
      "1 while this daemon orders for all",
    );
    this.#failures = kernel.counter(
      "toucanwind_orders_failed_rounds_total",
      "Rounds of ordering that ended in an internal error",
    );
    this.#dutyLease = new DutyLease({
      keyValue: platform.keyValue,
      clock,
      name: DUTY,
      holder: `${settings.vm}/${kernel.incarnation}`,
      leaseMs: settings.timing.leaseMs,
      marginMs: settings.timing.leaseMs / LEASE_MARGIN_DIVISOR,
      candidate: () => isCandidate(kernel.get(peersKey), DUTY),
    });
  }

  get held(): boolean {
    return this.#lease?.held ?? false;
  }

  override start(): Promise<void> {
    this.#ended = this.#run(this.#stop.signal);
    return Promise.resolve();
  }

  /** Releases the lease so that a successor need not wait for its expiry. */
  override async drain(): Promise<void> {
    this.#stop.abort();
    await this.#ended;
  }

  override stop(): Promise<void> {
    return this.drain();
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#dutyLease.hold(signal, (lease) => this.#serve(lease));
    }
  }

  async #serve(lease: HeldLease): Promise<void> {
    const kernel = this.#kernel;
    this.#lease = lease;
    this.#held.set(1);
    // Each lease gets a new policy: an earlier one's history may be stale.
    const reconciler = new UpstreamReconciler({
      kernel,
      lease,
      policy: this.#policy(),
      metrics: this.#orderMetrics,
    });
    const weightUpdater = new WeightUpdater({
      kernel,
      lease,
      metrics: this.#weightUpdateMetrics,
    });
    const retirementResponder = new RetirementResponder({ kernel, lease });
    await Promise.all([
      this.#repeatWhileHeld(lease, {
        everyMs: RETIREMENT_INTERVAL_MS,
        run: () => retirementResponder.respond(),
      }),
      this.#repeatWhileHeld(lease, {
        everyMs: ORDER_INTERVAL_MS,
        run: () => reconciler.reconcile(),
      }),
      this.#repeatWhileHeld(lease, {
        everyMs: WEIGHT_UPDATE_INTERVAL_MS,
        run: () => weightUpdater.updateAll(),
      }),
      this.#repeatWhileHeld(lease, {
        everyMs: WEIGHT_UPDATE_INTERVAL_MS,
        run: () => weightUpdater.watchVersions(),
      }),
    ]);
    await weightUpdater.end();
    this.#lease = undefined;
    this.#held.set(0);
    this.#orderMetrics.clear();
  }

  // An error in one round must not end the daemon: its successor would fail
  // likewise. Orders already placed stand; the next round starts afresh.
  #fail(error: unknown): void {
    this.#failures.inc();
    log("order round failed", { error: String(error) });
  }

  async #repeatWhileHeld(
    lease: HeldLease,
    { everyMs, run }: { everyMs: number; run: () => Promise<void> },
  ): Promise<void> {
    while (!lease.signal.aborted) {
      await run().catch((error) => this.#fail(error));
      await this.#kernel.clock.sleep(everyMs, lease.signal);
    }
  }
}

register({
  key: ordersKey,
  requires: [peersKey, activeConfigurationKey, dispatchKey],
  create: (kernel) => new LeasedOrders({ kernel }),
});
