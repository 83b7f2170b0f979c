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

/** A platform whose orders start engines, and daemons on it. */
class Bench {
  readonly history: HistoryEvent[] = [];
  readonly kernels: Kernel[] = [];
  readonly #engines: EngineStandIn[] = [];
  readonly #most: number;
  #platform?: PlatformStandIn;

  constructor(options: { upstreams: number }) {
    this.#most = options.upstreams;
  }

  get platform(): PlatformStandIn {
    if (this.#platform === undefined) throw new Error("Bench isn't started");
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

  /** Starts a daemon that keeps the bench's number of upstreams. */
  async daemon(name: string): Promise<Kernel> {
    const availabilityZones = ["a", "b"];
    const maxUpstreams = this.#most;
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
    if (performance.now() > end) throw new Error("It didn't come about");
    await sleep(10);
  }
}

test("upstreams are ordered over the availability zones", async () => {
  const bench = new Bench({ upstreams: 4 });
  await bench.start();
  await bench.daemon("one");
  await until(() => bench.platform.vms().length === 4);
  expect(bench.orders().map(({ count, term }) => [count, term]))
    .toEqual([[2, 1], [2, 1]]);
  await bench.stop();
});

test("a daemon that ends hands over; the next one's term is higher", async () => {
  const bench = new Bench({ upstreams: 2 });
  await bench.start();
  const one = await bench.daemon("one");
  await until(() => bench.holders().length === 1);
  await bench.daemon("two");
  await one.shutdown();
  const endedAt = performance.now();
  await until(() => bench.holders().includes("two"));
  expect(performance.now() - endedAt < LEASE_MS).toEqual(true);
  await bench.stop();
});

test("an order whose answer was lost is resent under its id", async () => {
  const bench = new Bench({ upstreams: 2 });
  await bench.start();
  const lost = { kind: FaultKind.Lost, operation: "order", count: 3 };
  bench.platform.inject([lost]);
  await bench.daemon("one");
  await until(() => bench.orders().length === 5);
  await until(() => bench.platform.vms().length === 2);
  const ids = bench.orders().map(({ id }) => id);
  expect(new Set(ids).size).toEqual(2);
  await bench.stop();
});

test("new weights reach all upstreams, a part of them at once", async () => {
  const bench = new Bench({ upstreams: 6 });
  await bench.start();
  await bench.daemon("one");
  await until(() => bench.platform.vms().length === 6);
  bench.platform.publish("model", 2);
  await until(() => bench.events("swapped").length === 6);
  expect(bench.events("loading").length).toEqual(6);
  let loading = 0;
  const levels = bench.history.map(({ kind }) => {
    if (kind === "loading") loading += 1;
    if (kind === "swapped") loading -= 1;
    return loading;
  });
  expect(Math.max(...levels)).toEqual(2);
  await bench.stop();
});
