/**
 * Interface of the orders plug-in. One daemon, which holds a lease, orders how
 * many upstreams run in each availability zone and which weights they load.
 *
 * @module
 */

import { Plugin, PluginKey } from "../kernel/mod.ts";
import type { Option } from "fp-ts/Option";
import type { Pressure } from "../dispatch/mod.ts";
import type { Offer } from "../outside/mod.ts";
import type { Pool } from "../tables/mod.ts";

/** Input of a scaling policy for one pool. */
export interface ScalingInput {
  readonly pool: Pool;
  /** Whether the pool has an interactive or standard route. */
  readonly urgent: boolean;
  /** The platform's offers for the pool. */
  readonly offers: readonly Offer[];
  /** `None` while the shard leaders cannot report it. */
  readonly pressure: Option<Pressure>;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** The number of upstreams of a kind to run in an availability zone. */
export interface Placement {
  readonly availabilityZone: string;
  readonly reclaimable: boolean;
  readonly count: number;
}

/** Decides how many upstreams run in each zone and how many are reclaimable. */
export abstract class ScalingPolicy {
  /** Returns one placement for each of the pool's offers. */
  abstract wanted(input: ScalingInput): readonly Placement[];
}

/** Orders upstreams and weight updates while this daemon holds the lease. */
export abstract class Orders extends Plugin {
  /** Whether this daemon holds the lease now. */
  abstract readonly held: boolean;
}

/** The key of the orders plug-in. */
export const ordersKey = new PluginKey<Orders>("orders");
