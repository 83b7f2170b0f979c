/**
 * What all tasks of one run of a batch share.
 *
 * @module
 */

import type { Kernel } from "../kernel/mod.ts";
import type { BatchRoute } from "./batch_route.ts";
import type { BatchSubmission } from "./mod.ts";
import type { Ownership } from "./ownership.ts";
import type { PoolHistories } from "./pool_history.ts";
import type { BatchTimes } from "./start_times.ts";

/** A run as its tasks see it. */
export interface RunContext {
  readonly kernel: Kernel;
  readonly submission: BatchSubmission;
  readonly ownership: Ownership;
  readonly histories: PoolHistories;
  /** Aborts when the run ends. */
  readonly signal: AbortSignal;
  readonly route: BatchRoute;
  readonly times: BatchTimes;
  /** Time until unfinished items are given up. */
  readonly leftMs: number;
}

/** Age of the last proof of ownership, for the log. */
export function confirmedMsAgo({ ownership }: RunContext): number {
  return Math.round(ownership.ageMs);
}

/** Weight versions that a result of the batch may contain. */
export function versionTerms({ submission, route }: RunContext) {
  return {
    minVersion: submission.minVersion,
    singleVersion: route.latest?.exchange.batch?.singleVersion ?? false,
  };
}
