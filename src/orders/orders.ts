/**
 * The orders plug-in: tries for the charge, and while it holds it, orders
 * upstreams and weights.
 *
 * @module
 */

import { configKey } from "../config/mod.ts";
import { dispatchKey } from "../dispatch/mod.ts";
import { type Kernel, logger, type Props, register } from "../kernel/mod.ts";
import { peersKey } from "../peers/mod.ts";
import { DutyLease, type HeldLease, isCandidate } from "./duty_lease.ts";
import { Orders, ordersKey, type ScalingPolicy } from "./mod.ts";
import { Ordering, OrderMeters } from "./upstream_reconciler.ts";
import { LoadScalingPolicy } from "./scaling_policies.ts";
import { SwapMeters, Swapping } from "./swapping.ts";

const log = logger("orders");

const CHARGE = "orders";
/** The margin is the lease divided by this. */
const MARGIN_PER_LEASE = 3;
const ORDER_MS = 1000;
const SWAP_MS = 250;

/** Orders for all while this daemon holds the charge. */
export class ChargedOrders extends Orders {
  override readonly props: Props = { status: () => ({ charge: this.held }) };
  readonly #kernel: Kernel;
  readonly #plan: () => ScalingPolicy;
  readonly #charge: DutyLease;
  readonly #orderMeters: OrderMeters;
  readonly #swapMeters: SwapMeters;
  readonly #held;
  readonly #failures;
  readonly #stop = new AbortController();
  #tenure: HeldLease | undefined;
  #ended: Promise<unknown> = Promise.resolve();

  constructor(options: { kernel: Kernel; policy?: () => ScalingPolicy }) {
    super();
    const { kernel } = options;
    const { platform, clock, settings } = kernel;
    this.#kernel = kernel;
    this.#plan = options.policy ?? (() => new LoadScalingPolicy());
    this.#orderMeters = new OrderMeters(kernel);
    this.#swapMeters = new SwapMeters(kernel);
    this.#held = kernel.gauge(
      "toucanwind_orders_charge",
      "1 while this daemon orders for all",
    );
    this.#failures = kernel.counter(
      "toucanwind_orders_failed_rounds_total",
      "Rounds of ordering that ended in an internal error",
    );
    this.#charge = new DutyLease({
      keyValue: platform.keyValue,
      clock,
      name: CHARGE,
      holder: `${settings.vm}/${kernel.incarnation}`,
      leaseMs: settings.timing.leaseMs,
      marginMs: settings.timing.leaseMs / MARGIN_PER_LEASE,
      candidate: () => isCandidate(kernel.get(peersKey), CHARGE),
    });
  }

  get held(): boolean {
    return this.#tenure?.held ?? false;
  }

  override start(): Promise<void> {
    this.#ended = this.#run(this.#stop.signal);
    return Promise.resolve();
  }

  /** Gives the charge up, so that a successor need not wait. */
  override async drain(): Promise<void> {
    this.#stop.abort();
    await this.#ended;
  }

  override stop(): Promise<void> {
    return this.drain();
  }

  async #run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.#charge.hold(signal, (tenure) => this.#serve(tenure));
    }
  }

  async #serve(tenure: HeldLease): Promise<void> {
    const kernel = this.#kernel;
    this.#tenure = tenure;
    this.#held.set(1);
    // A plan starts anew with each tenure: what it remembers may be old.
    const ordering = new Ordering({
      kernel,
      tenure,
      plan: this.#plan(),
      meters: this.#orderMeters,
    });
    const swapping = new Swapping({
      kernel,
      tenure,
      meters: this.#swapMeters,
    });
    await Promise.all([
      this.#repeat(tenure, { everyMs: ORDER_MS, run: () => ordering.round() }),
      this.#repeat(tenure, { everyMs: SWAP_MS, run: () => swapping.round() }),
      this.#repeat(tenure, { everyMs: SWAP_MS, run: () => swapping.follow() }),
    ]);
    await swapping.end();
    this.#tenure = undefined;
    this.#held.set(0);
    this.#orderMeters.clear();
  }

  // A fault in one round must not end the daemon: its successor would meet
  // the same. Whatever the round ordered stands; the next one looks anew.
  #fail(error: unknown): void {
    this.#failures.inc();
    log("round failed", { error: String(error) });
  }

  async #repeat(
    tenure: HeldLease,
    { everyMs, run }: { everyMs: number; run: () => Promise<void> },
  ): Promise<void> {
    while (!tenure.signal.aborted) {
      await run().catch((error) => this.#fail(error));
      await this.#kernel.clock.sleep(everyMs, tenure.signal);
    }
  }
}

register({
  key: ordersKey,
  requires: [peersKey, configKey, dispatchKey],
  create: (kernel) => new ChargedOrders({ kernel }),
});
