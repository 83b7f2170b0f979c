/**
 * What operators see of the selection of upstreams at one leader.
 *
 * @module
 */

import type { Gauge } from "prom-client";
import type { Kernel } from "../kernel/mod.ts";
import type { PaceDifference, PaceStatus } from "./upstream_paces.ts";

/** Pace and work of one upstream. */
export interface UpstreamWork extends PaceStatus {
  readonly id: string;
  readonly running: number;
  /** Expected work left, in milliseconds at nominal speed. */
  readonly workLeftMs: number;
}

/** How a leader selects upstreams. */
export interface SelectionStatus {
  /** Whether upstreams are selected by expected finish, not slots in use. */
  readonly expectedFinish: boolean;
  readonly reason: PaceDifference;
  /** Mean work of the requests, in milliseconds at nominal speed. */
  readonly meanWorkMs: number;
  readonly upstreams: readonly UpstreamWork[];
}

/** Gauges of the selection at the leaders on this daemon. */
export class SelectionMetrics {
  readonly #shards: Gauge<"pool" | "reason">;
  readonly #paces: Gauge<"pool" | "upstream">;
  readonly #workLeft: Gauge<"pool" | "upstream">;

  constructor(kernel: Kernel) {
    this.#shards = kernel.gauge(
      "toucanwind_dispatch_expected_finish_shards",
      "Shards kept here, by why their selection is by expected finish, or none",
      ["pool", "reason"],
    );
    this.#paces = kernel.gauge(
      "toucanwind_dispatch_upstream_pace",
      "How much longer than nominal work takes on an upstream now",
      ["pool", "upstream"],
    );
    this.#workLeft = kernel.gauge(
      "toucanwind_dispatch_upstream_work_left_seconds",
      "Expected work left on an upstream at nominal speed",
      ["pool", "upstream"],
    );
  }

  /** Replaces what is published. */
  publish(
    shards: Iterable<{
      readonly pool: string;
      readonly status: SelectionStatus | undefined;
    }>,
  ): void {
    this.#shards.reset();
    this.#paces.reset();
    this.#workLeft.reset();
    for (const { pool, status } of shards) {
      if (status === undefined) continue;
      this.#shards.inc({ pool, reason: status.reason }, 1);
      for (const { id, pace, workLeftMs } of status.upstreams) {
        this.#paces.set({ pool, upstream: id }, pace);
        this.#workLeft.set({ pool, upstream: id }, workLeftMs / 1000);
      }
    }
  }
}
