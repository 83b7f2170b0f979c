/**
 * Which request runs on which upstream, and when.
 *
 * @module
 */

import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";
import type { Target } from "../outside/mod.ts";
import type { Priority } from "../tables/mod.ts";

/** What a request asks of a pool. */
export interface Demand {
  /** Unique to the request; the same over its attempts. */
  readonly id: string;
  readonly pool: string;
  readonly route: string;
  readonly tenant: string;
  readonly priority: Priority;
  /** The tenant's weight in the pool. */
  readonly weight: number;
  /** Estimated cost in tokens, prompt and output. */
  readonly tokens: number;
  /** Hashes of the prompt's leading blocks, the shortest prefix first. */
  readonly prefixes: readonly string[];
  /** Time left until the request's deadline, in milliseconds. */
  readonly remainingMs: number;
  /** Oldest weight version that will do; 0 for any. */
  readonly minVersion: number;
  /** The model whose version counts, where upstreams serve several. */
  readonly model?: string;
  /**
   * Time until it must start to be done when it is due, in milliseconds; may
   * be negative. Of equals, whatever must start first goes first.
   */
  readonly startInMs?: number;
  /** Upstreams that this request shall not go to. */
  readonly exclude: readonly string[];
  /** Upstreams that it shall go to only if no other is free. */
  readonly avoid?: readonly string[];
  /** Equal for resends of one request; used to quarantine what crashes. */
  readonly fingerprint: string;
  /** 0 for the first attempt. */
  readonly attempt: number;
}

/** How the use of a permit ended. */
export enum Outcome {
  Served = "served",
  /** The caller went away or the deadline passed. */
  Cancelled = "cancelled",
  /** The upstream refused it before running it. */
  Refused = "refused",
  /** No connection could be made. */
  Unreachable = "unreachable",
  /** The connection broke while it ran. */
  Broken = "broken",
  /** The upstream went silent while it ran. */
  Silent = "silent",
}

/** Leave to run one request on one upstream. */
export interface Permit {
  readonly target: Target;
  /** Aborts when the upstream leaves in a moment: move to another. */
  readonly leaving: AbortSignal;
  /** Gives the permit back; must be called exactly once. */
  release(outcome: Outcome, tokens: number): void;
}

/** An upstream as the status page shows it. */
export interface UpstreamStatus {
  readonly id: string;
  readonly pool: string;
  readonly availabilityZone: string;
  readonly keeper: string;
  readonly running: number;
  readonly queued: number;
  readonly weightVersion: number;
  readonly reclaimable: boolean;
  readonly leaving: boolean;
}

/** Grants permits. */
export abstract class Dispatch extends Plugin {
  /**
   * Waits for a permit; refuses at once what cannot be met. Nothing has run
   * on behalf of a refused demand.
   */
  abstract acquire(
    demand: Demand,
    signal: AbortSignal,
  ): Promise<Result<Permit, Refusal>>;

  /** The upstreams of a pool as this daemon knows them. */
  abstract upstreams(pool: string): readonly UpstreamStatus[];

  /** Demand and supply of a pool over all daemons, for ordering upstreams. */
  abstract pressure(pool: string): Promise<Pressure>;
}

/** How busy a pool is, over all its keepers. */
export interface Pressure {
  readonly running: number;
  readonly queued: number;
  /** Queued work that is interactive or standard. */
  readonly urgent: number;
  readonly slots: number;
  /** Requests that run or wait, by model. */
  readonly models?: Readonly<Record<string, number>>;
}

/** The key of the dispatch plug-in. */
export const dispatchKey = new PluginKey<Dispatch>("dispatch");
