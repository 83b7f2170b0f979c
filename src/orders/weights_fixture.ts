/**
 * Test fixture: model engines on a platform without a network that load weights
 * as the weight updater orders.
 *
 * @module
 */

import { Err, Ok } from "ts-results";
import { pool, tables } from "../../stand_ins/builders.ts";
import {
  Fault,
  type Load,
  type Platform,
  type Target,
} from "../outside/mod.ts";
import type { Pool } from "../tables/mod.ts";
import { engine, lease, metrics } from "./evacuation_fixture.ts";
import { kernel } from "./fixtures_test.ts";
import { FixedScalingPolicy } from "./scaling_policies.ts";
import type { WeightUpdateMetrics } from "./weight_update_metrics.ts";
import { WeightUpdater } from "./weight_updater.ts";

/** Time between two rounds of the updater. */
const ROUND_MS = 50;

/** A model engine that carries out one order at a time. */
export class EngineStandIn {
  readonly id: string;
  readonly versions: Record<string, number>;
  /** Whether orders get lost on their way. */
  losesOrders = false;
  /** Time that a load takes. */
  loadMs = 100;
  /** Time that the answer to a read takes. */
  answerMs = 0;
  /** Orders get no answer, and arrive after this time if it isn't 0. */
  acceptsAfterMs = 0;
  accepted = 0;
  refused = 0;
  #busy = false;

  constructor(id: string, versions: Record<string, number>) {
    this.id = id;
    this.versions = versions;
  }

  async read(): Promise<Load> {
    const load = {
      weightVersion: 0,
      weightVersions: { ...this.versions },
      orders: this.accepted,
      busy: this.#busy,
    };
    await delay(this.answerMs);
    return load as unknown as Load;
  }

  order(model: string, version: number) {
    const unanswered = Err({ fault: Fault.Unknown, message: "no answer" });
    if (this.losesOrders) return unanswered;
    if (this.acceptsAfterMs === 0) return this.#accept(model, version);
    void delay(this.acceptsAfterMs).then(() => this.#accept(model, version));
    return unanswered;
  }

  #accept(model: string, version: number) {
    if (this.#busy) {
      this.refused += 1;
      return Err({ fault: Fault.Refused, message: "busy" });
    }
    this.accepted += 1;
    this.#busy = true;
    void delay(this.loadMs).then(() => {
      this.versions[model] = version;
      this.#busy = false;
    });
    return Ok(true);
  }
}

/** Engines of one pool or several, and the updater. */
export class WeightSite {
  readonly latest = new Map<string, number>();
  readonly orders: { id: string; model: string; at: number }[] = [];
  /** Requests by model, in all pools. */
  demand: Record<string, number> = {};
  readonly #engines: readonly EngineStandIn[];
  readonly #tables;
  readonly #updater: WeightUpdater;

  constructor(options: {
    engines: readonly EngineStandIn[];
    pool: Partial<Pool>;
  }) {
    this.#engines = options.engines;
    this.#tables = { ...tables({ pools: [pool(options.pool)] }) };
    const platform = {
      directory: { list: () => Promise.resolve(Ok(this.#vms())) },
      weights: {
        latest: () => Promise.resolve(Ok(this.latest)),
        changed: () => new Promise(() => {}),
      },
      engine: {
        load: async (target: Target) => Ok(await this.#engine(target).read()),
        loadWeights: (
          target: Target,
          { model, version }: { model: string; version: number },
        ) => {
          this.orders.push({ id: target.id, model, at: performance.now() });
          return Promise.resolve(this.#engine(target).order(model, version));
        },
      },
    };
    const started = kernel({
      vm: "one",
      url: "http://127.0.0.1:9",
      tables: this.#tables,
      pressure: () => ({
        running: 0,
        queued: 0,
        urgent: 0,
        slots: 1,
        models: this.demand,
      }),
      policy: () => new FixedScalingPolicy(),
      leaseMs: 400,
      platform: platform as unknown as Platform,
    });
    this.#updater = new WeightUpdater({
      kernel: started,
      lease,
      metrics: metrics as unknown as WeightUpdateMetrics,
    });
  }

  /** Puts a changed pool into force. */
  changePool(fields: Partial<Pool>): void {
    Object.assign(this.#tables, { pools: [pool(fields)] });
  }

  /** Runs rounds until `done`; returns whether that was within the time. */
  async runUntil(done: () => boolean, timeoutMs: number): Promise<boolean> {
    void this.#updater.watchVersions();
    const endAt = performance.now() + timeoutMs;
    while (!done() && performance.now() < endAt) {
      await this.#updater.updateAll();
      await delay(ROUND_MS);
    }
    return done();
  }

  #vms() {
    return this.#engines.map(({ id, versions }) => ({
      ...engine(id, "a"),
      weightVersions: { ...versions },
    }));
  }

  #engine({ id }: Target): EngineStandIn {
    const found = this.#engines.find((one) => one.id === id);
    if (found === undefined) throw new Error(`No engine ${id}`);
    return found;
  }
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
