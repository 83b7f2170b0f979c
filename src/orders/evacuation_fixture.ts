/**
 * Test fixture: a platform without a network for orders of upstreams and
 * weights, whose zones can be evacuated.
 *
 * @module
 */

import { some } from "fp-ts/Option";
import { Ok } from "ts-results";
import { pool, tables } from "../../stand_ins/builders.ts";
import { SystemClock } from "../kernel/mod.ts";
import {
  Evacuations,
  type Load,
  type Offer,
  type Order,
  type Platform,
  Role,
  type Target,
  type Vm,
  VmState,
} from "../outside/mod.ts";
import type { Pool } from "../tables/mod.ts";
import type { HeldLease } from "./duty_lease.ts";
import { kernel } from "./fixtures_test.ts";
import { FixedScalingPolicy } from "./scaling_policies.ts";
import type { WeightUpdateMetrics } from "./weight_update_metrics.ts";
import { WeightUpdater } from "./weight_updater.ts";

/** A lease that is held throughout. */
export const lease = {
  term: 1,
  held: true,
  signal: new AbortController().signal,
  runWhileHeld: async (run: (signal: AbortSignal) => Promise<unknown>) =>
    some(await run(new AbortController().signal)),
} as unknown as HeldLease;

const counter = { inc: () => {} };
/** Metrics that count nothing. */
export const metrics = {
  orders: counter,
  updates: counter,
  store: counter,
  observe: () => {},
};

/** An engine on the platform's list. */
export function engine(id: string, availabilityZone: string): Vm {
  return {
    id,
    role: Role.Upstream,
    standing: VmState.Live,
    availabilityZone,
    address: `${id}:1`,
    http: "",
    pool: "lm",
    reclaimable: false,
    weightVersions: { model: 1 },
  };
}

/** An offer of a zone. */
export function offer(availabilityZone: string, running: number): Offer {
  return {
    pool: "lm",
    availabilityZone,
    reclaimable: false,
    pricePerHour: 1,
    running,
    starting: 0,
    available: 10,
  };
}

/** A platform without a network that records what it was asked for. */
export class Site {
  readonly evacuations = new Evacuations({ clock: new SystemClock() });
  readonly placed: Order[] = [];
  readonly loaded: string[] = [];
  readonly read: string[] = [];
  offers: readonly Offer[] = [];
  vms: readonly Vm[] = [];
  /** Called when an engine's load is read. */
  onRead = () => {};

  evacuate(...zones: readonly string[]): void {
    const revision = (this.evacuations.newest?.revision ?? 0) + 1;
    this.evacuations.merge({ revision, zones, ageMs: 0 });
  }

  kernel(fields: Partial<Pool>) {
    const platform = {
      evacuations: this.evacuations,
      directory: { list: () => Promise.resolve(Ok(this.vms)) },
      orders: {
        offers: () => Promise.resolve(Ok(this.offers)),
        place: (order: Order) => {
          this.placed.push(order);
          return Promise.resolve(Ok(true));
        },
      },
      weights: {
        latest: () => Promise.resolve(Ok(new Map([["model", 2]]))),
        changed: () => new Promise(() => {}),
      },
      engine: {
        load: ({ id }: Target) => {
          this.read.push(id);
          this.onRead();
          return Promise.resolve(Ok({ weightVersion: 1 } as Load));
        },
        loadWeights: ({ id }: Target) => {
          this.loaded.push(id);
          return Promise.resolve(Ok(true));
        },
      },
    };
    return kernel({
      vm: "one",
      url: "http://127.0.0.1:9",
      tables: tables({ pools: [pool(fields)] }),
      pressure: () => ({ running: 0, queued: 0, urgent: 0, slots: 1 }),
      policy: () => new FixedScalingPolicy(),
      leaseMs: 400,
      platform: platform as unknown as Platform,
    });
  }

  /** Runs rounds of weight updates until no further order is placed. */
  async updateWeights(): Promise<void> {
    const started = this.kernel({});
    const updater = new WeightUpdater({
      kernel: started,
      lease,
      metrics: metrics as unknown as WeightUpdateMetrics,
    });
    void updater.watchVersions();
    await new Promise((resolve) => setTimeout(resolve, 5));
    for (let n = 0; n < 5; n++) {
      await updater.updateAll();
      await updater.end();
    }
  }
}
