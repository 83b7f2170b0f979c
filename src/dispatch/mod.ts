/**
 * Interface of the dispatch plug-in, which decides on which upstream each
 * request runs, and when.
 *
 * @module
 */

import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";
import type { Target } from "../outside/mod.ts";
import type { Priority } from "../tables/mod.ts";

/** What a request needs from a pool. */
export interface Demand {
  /** Unique to the request; the same over its attempts. */
  readonly id: string;
  readonly pool: string;
  readonly route: string;
  readonly tenant: string;
  readonly priority: Priority;
  /** The organisation's weight in the pool. */
  readonly weight: number;
  /** Estimated cost in tokens, prompt and output. */
  readonly tokens: number;
  /** Hashes of the prompt's leading blocks, the shortest prefix first. */
  readonly prefixes: readonly string[];
  /** Time left until the request's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Oldest acceptable weight version; 0 for any. */
  readonly minVersion: number;
  /** The model that `minVersion` refers to, where upstreams serve several. */
  readonly model?: string;
  /**
   * Time until the request must start in order to be done when it is due, in
   * milliseconds; negative if that time has passed. Among otherwise equal
   * requests the one that must start first is served first.
   */
  readonly startInMs?: number;
  /** Upstreams that the request must not be sent to. */
  readonly exclude: readonly string[];
  /** Regions of the upstreams that it may be sent to; absent for all. */
  readonly allowedRegions?: readonly string[];
  /** Upstreams that it is sent to only if no other is free. */
  readonly avoid?: readonly string[];
  /** Equal for all resends of a request; identifies what crashes upstreams. */
  readonly fingerprint: string;
  /**
   * Crashes after which a quarantined request is refused. Until then it runs
   * isolated, after a back-off that grows with its crashes. Without it, a
   * quarantined request is refused immediately.
   */
  readonly crashLimit?: number;
  /** 0 for the first attempt. */
  readonly attempt: number;
}

/** The `crashLimit` of work that is owed however often upstreams crash. */
export const NO_CRASH_LIMIT = Number.MAX_SAFE_INTEGER;

/** How a request that held a permit ended. */
export enum Outcome {
  Served = "served",
  /** The upstream answered that it failed. */
  Failed = "failed",
  /** The caller cancelled it or its deadline passed. */
  Cancelled = "cancelled",
  /** The upstream refused it before running it. */
  Refused = "refused",
  /** No connection could be made. */
  Unreachable = "unreachable",
  /** The connection broke while it ran. */
  Broken = "broken",
  /** The upstream stopped responding while it ran. */
  Silent = "silent",
}

/** Permission to run one request on one upstream. */
export interface Permit {
  readonly target: Target;
  /** Aborts when the upstream is about to leave: move to another one. */
  readonly leaving: AbortSignal;
  /** Returns the permit; must be called exactly once. */
  release(outcome: Outcome, tokens: number): void;
}

/** An upstream as the status page shows it. */
export interface UpstreamStatus {
  readonly id: string;
  readonly pool: string;
  readonly availabilityZone: string;
  /** VM of the daemon that leads its shard. */
  readonly keeper: string;
  readonly running: number;
  readonly queued: number;
  readonly weightVersion: number;
  readonly reclaimable: boolean;
  readonly leaving: boolean;
  /** Whether its zone is evacuated. */
  readonly evacuated?: boolean;
  /** Requests a second that it takes from all daemons, if it named a limit. */
  readonly limitPerS?: number;
}

/** Grants permits. */
export abstract class Dispatch extends Plugin {
  /**
   * Waits for a permit. A demand that cannot be met is refused immediately;
   * nothing has run for a refused demand.
   */
  abstract acquire(
    demand: Demand,
    signal: AbortSignal,
  ): Promise<Result<Permit, Refusal>>;

  /** The upstreams of a pool as this daemon knows them. */
  abstract upstreams(pool: string): readonly UpstreamStatus[];

  /** Load and capacity of a pool, by which its upstreams are ordered. */
  abstract pressure(pool: string): Promise<Pressure>;
}

/** Load and capacity of a pool, summed over the leaders of its shards. */
export interface Pressure {
  readonly running: number;
  readonly queued: number;
  /** Queued requests of interactive or standard priority. */
  readonly urgent: number;
  readonly slots: number;
  /** Running and queued requests by model. */
  readonly models?: Readonly<Record<string, number>>;
}

/** The key of the dispatch plug-in. */
export const dispatchKey = new PluginKey<Dispatch>("dispatch");
