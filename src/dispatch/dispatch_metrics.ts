/**
 * Metrics of the dispatch plug-in.
 *
 * @module
 */

import type { Counter, Gauge, Histogram } from "prom-client";
import type { Kernel, Reason } from "../kernel/mod.ts";
import type { Priority } from "../tables/mod.ts";
import type { Fleet } from "./fleet.ts";
import { SelectionMetrics } from "./selection_status.ts";
import type { ShardLeader } from "./shard_leader.ts";
import type { MoveReason } from "./shard_selector.ts";

/** Buckets of waiting time, in seconds. */
const WAIT_BUCKETS_S = [0.001, 0.005, 0.02, 0.1, 0.5, 2, 10, 60, 600];

/** Counts what entries and leaders on this daemon do. */
export class DispatchMetrics {
  readonly #refusals: Counter<"reason">;
  readonly #retries: Counter<"reason">;
  readonly #waitMoves: Counter<"reason">;
  readonly #grants: Counter<"priority">;
  readonly #waits: Histogram<"priority">;
  readonly #load: Gauge<"pool" | "state">;
  readonly #limits: Gauge<"pool">;
  readonly #evacuated: Gauge<"pool">;
  readonly #limitedWaits: Histogram;
  readonly #cold: Gauge<"pool">;
  readonly #coldWaits: Histogram;
  readonly #selection: SelectionMetrics;

  constructor(kernel: Kernel) {
    this.#selection = new SelectionMetrics(kernel);
    this.#limitedWaits = kernel.histogram(
      "toucanwind_dispatch_limited_wait_seconds",
      "Waits that ended with a permit on an upstream with a limit",
      WAIT_BUCKETS_S,
    );
    this.#coldWaits = kernel.histogram(
      "toucanwind_dispatch_cold_wait_seconds",
      "Waits that ended with a permit on a cold upstream",
      WAIT_BUCKETS_S,
    );
    this.#retries = kernel.counter(
      "toucanwind_dispatch_retries_total",
      "Keepers asked again, by reason",
      ["reason"],
    );
    this.#waitMoves = kernel.counter(
      "toucanwind_dispatch_wait_moves_total",
      "Waits that were moved to another shard, by reason",
      ["reason"],
    );
    this.#refusals = kernel.counter(
      "toucanwind_dispatch_refusals_total",
      "Requests that got no permit, by reason",
      ["reason"],
    );
    this.#grants = kernel.counter(
      "toucanwind_dispatch_grants_total",
      "Permits granted to this daemon, by priority",
      ["priority"],
    );
    this.#waits = kernel.histogram(
      "toucanwind_dispatch_wait_seconds",
      "Time from a request's demand to its permit",
      WAIT_BUCKETS_S,
      ["priority"],
    );
    this.#load = kernel.gauge(
      "toucanwind_dispatch_requests",
      "Requests at the shards kept here, by pool and state",
      ["pool", "state"],
    );
    this.#limits = kernel.gauge(
      "toucanwind_dispatch_limits",
      "Upstreams with a limit at the shards kept here, by pool",
      ["pool"],
    );
    this.#evacuated = kernel.gauge(
      "toucanwind_dispatch_evacuated_upstreams",
      "Upstreams in evacuated zones as this daemon knows them, by pool",
      ["pool"],
    );
    this.#cold = kernel.gauge(
      "toucanwind_dispatch_cold_upstreams",
      "Cold upstreams at the shards kept here, by pool",
      ["pool"],
    );
  }

  /** Counts a request that got no permit. */
  refused(reason: Reason): void {
    this.#refusals.inc({ reason });
  }

  /** Counts a leader that was asked again. */
  retried(reason: Reason): void {
    this.#retries.inc({ reason });
  }

  /** Counts a wait that was moved to another shard. */
  moved(reason: MoveReason): void {
    this.#waitMoves.inc({ reason });
  }

  /** Counts a permit with the time that it was waited for. */
  granted(priority: Priority, waitedMs: number): void {
    this.#grants.inc({ priority });
    this.#waits.observe({ priority }, waitedMs / 1000);
  }

  /** Counts a permit on an upstream with a limit. */
  grantedLimited(waitedMs: number): void {
    this.#limitedWaits.observe(waitedMs / 1000);
  }

  /** Counts a permit on a cold upstream. */
  grantedCold(waitedMs: number): void {
    this.#coldWaits.observe(waitedMs / 1000);
  }

  /** Replaces the numbers of evacuated upstreams. */
  setFleet(fleet: Fleet): void {
    this.#evacuated.reset();
    for (const [pool, count] of fleet.evacuatedByPool()) {
      this.#evacuated.set({ pool }, count);
    }
  }

  /** Replaces the figures of the shards that are led here. */
  publish(
    leaders: readonly { readonly pool: string; readonly leader: ShardLeader }[],
  ): void {
    this.#load.reset();
    this.#limits.reset();
    this.#cold.reset();
    this.#selection.publish(
      leaders.map(({ pool, leader }) => ({ pool, status: leader.selection })),
    );
    for (const { pool, leader } of leaders) {
      this.#limits.inc({ pool }, leader.limitedUpstreams);
      this.#cold.inc({ pool }, leader.coldUpstreams);
      const { running, queued } = leader.pressure();
      this.#load.inc({ pool, state: "running" }, running);
      this.#load.inc({ pool, state: "queued" }, queued);
    }
  }
}
