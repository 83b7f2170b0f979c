import { expect } from "earl";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { pool, tables } from "../../stand_ins/builders.ts";
import { type EngineStandIn, startEngine } from "../../stand_ins/engine.ts";
import { FaultKind } from "../../stand_ins/faults.ts";
import type { HistoryEvent } from "../../stand_ins/history.ts";
import {
  type PlatformStandIn,
  startPlatform,
  vm,
} from "../../stand_ins/platform.ts";
import type { Kernel } from "../kernel/mod.ts";
import type { HttpPlatform } from "../outside/http_platform.ts";
import type { Order } from "../outside/mod.ts";
import { kernel } from "./fixtures_test.ts";
import { ordersKey, type ScalingPolicy } from "./mod.ts";
import { FixedScalingPolicy } from "./scaling_policies.ts";

const LEASE_MS = 400;

/** A platform that starts engines on orders, and daemons that use it. */
class OrdersHarness {
  readonly history: HistoryEvent[] = [];
  readonly kernels: Kernel[] = [];
  readonly #engines: EngineStandIn[] = [];
  readonly #maxUpstreams: number;
  #platform?: PlatformStandIn;

  constructor(options: { upstreams: number }) {
    this.#maxUpstreams = options.upstreams;
  }

  get platform(): PlatformStandIn {
    if (this.#platform === undefined) throw new Error("Harness is not started");
    return this.#platform;
  }

  async start(): Promise<void> {
    const sink = (event: HistoryEvent) => this.history.push(event);
    const zones = ["a", "b"];
    this.#platform = await startPlatform({
      sink,
      offers: zones.map((availabilityZone) => ({
        pool: "lm",
        availabilityZone,
        reclaimable: false,
        pricePerHour: 1,
        available: 10,
      })),
      launch: async (wanted) => {
        const name = `u${this.#engines.length}`;
        const engine = await startEngine({ name, sink, loadMs: 60 });
        this.#engines.push(engine);
        return vm({ ...wanted, id: name, address: new URL(engine.url).host });
      },
    });
  }

  /** Starts a daemon that maintains `maxUpstreams` upstreams. */
  async daemon(name: string): Promise<Kernel> {
    const availabilityZones = ["a", "b"];
    const maxUpstreams = this.#maxUpstreams;
    const started = kernel({
      vm: name,
      url: this.platform.url,
      tables: tables({ pools: [pool({ availabilityZones, maxUpstreams })] }),
      pressure: () => ({ running: 0, queued: 0, urgent: 0, slots: 1 }),
      policy: (): ScalingPolicy => new FixedScalingPolicy(),
      leaseMs: LEASE_MS,
    });
    this.kernels.push(started);
    await started.start();
    return started;
  }

  async stop(): Promise<void> {
    this.platform.inject([]);
    for (const kernel of this.kernels) {
      await kernel.shutdown();
      await (kernel.platform as HttpPlatform).close();
    }
    await Promise.all(this.#engines.map((engine) => engine.close()));
    await this.platform.close();
  }

  events(kind: string): readonly HistoryEvent[] {
    return this.history.filter((event) => event.kind === kind);
  }

  orders(): readonly Order[] {
    return this.events("ordered").map(({ order }) => order as Order);
  }

  holders(): readonly string[] {
    return this.kernels
      .filter((kernel) => kernel.get(ordersKey).held)
      .map(({ settings }) => settings.vm);
  }
}

async function until(done: () => boolean, timeoutMs = 8000): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (!done()) {
    if (performance.now() > end) throw new Error("Condition not met in time");
    await sleep(10);
  }
}

test("orders spread upstreams over the availability zones", async () => {
  const harness = new OrdersHarness({ upstreams: 4 });
  await harness.start();
  await harness.daemon("one");
  await until(() => harness.platform.vms().length === 4);
  expect(harness.orders().map(({ count, term }) => [count, term]))
    .toEqual([[2, 1], [2, 1]]);
  await harness.stop();
});

test("a daemon that ends hands over to one with a higher term", async () => {
  const harness = new OrdersHarness({ upstreams: 2 });
  await harness.start();
  const one = await harness.daemon("one");
  await until(() => harness.holders().length === 1);
  await harness.daemon("two");
  await one.shutdown();
  const endedAt = performance.now();
  await until(() => harness.holders().includes("two"));
  expect(performance.now() - endedAt < LEASE_MS).toEqual(true);
  await harness.stop();
});

test("an order whose answer was lost is resent with the same id", async () => {
  const harness = new OrdersHarness({ upstreams: 2 });
  await harness.start();
  const lost = { kind: FaultKind.Lost, operation: "order", count: 3 };
  harness.platform.inject([lost]);
  await harness.daemon("one");
  await until(() => harness.orders().length === 5);
  await until(() => harness.platform.vms().length === 2);
  const ids = harness.orders().map(({ id }) => id);
  expect(new Set(ids).size).toEqual(2);
  await harness.stop();
});

test("new weights reach all upstreams, a limited number at a time", async () => {
  const harness = new OrdersHarness({ upstreams: 6 });
  await harness.start();
  await harness.daemon("one");
  await until(() => harness.platform.vms().length === 6);
  harness.platform.publish("model", 2);
  await until(() => harness.events("swapped").length === 6);
  expect(harness.events("loading").length).toEqual(6);
  let loading = 0;
  const levels = harness.history.map(({ kind }) => {
    if (kind === "loading") loading += 1;
    if (kind === "swapped") loading -= 1;
    return loading;
  });
  expect(Math.max(...levels)).toEqual(2);
  await harness.stop();
});
