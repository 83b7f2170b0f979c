/**
 * Orders to the platform and to upstreams, by one daemon for all: how many
 * upstreams run where, and which weights they load.
 *
 * @module
 */

import { Plugin, PluginKey } from "../kernel/mod.ts";
import type { Option } from "fp-ts/Option";
import type { Pressure } from "../dispatch/mod.ts";
import type { Offer } from "../outside/mod.ts";
import type { Pool } from "../tables/mod.ts";

/** What a plan knows of a pool. */
export interface ScalingInput {
  readonly pool: Pool;
  /** Whether a route of the pool is interactive or standard. */
  readonly urgent: boolean;
  /** What the platform offers for the pool. */
  readonly offers: readonly Offer[];
  /** `None` while the keepers can't be asked. */
  readonly pressure: Option<Pressure>;
  /** Monotonic time in milliseconds. */
  readonly now: number;
}

/** How many upstreams of a kind shall run in an availability zone. */
export interface Placement {
  readonly availabilityZone: string;
  readonly reclaimable: boolean;
  readonly count: number;
}

/** Decides how many upstreams run, where, and which may be reclaimable. */
export abstract class ScalingPolicy {
  /** One placement for each of the pool's offers. */
  abstract wanted(input: ScalingInput): readonly Placement[];
}

/** Orders upstreams and weights while this daemon holds the charge. */
export abstract class Orders extends Plugin {
  /** Whether this daemon holds the charge now. */
  abstract readonly held: boolean;
}

/** The key of the orders plug-in. */
export const ordersKey = new PluginKey<Orders>("orders");
