/**
 * Obtains permits for the items of one run: chooses an item's pool, says when it
 * must start, and which upstreams it must not be sent to.
 *
 * @module
 */

import type { Result } from "ts-results";
import {
  type Demand,
  type Dispatch,
  dispatchKey,
  NO_CRASH_LIMIT,
  type Permit,
} from "../dispatch/mod.ts";
import type { Refusal } from "../kernel/mod.ts";
import { drawPool, type ExchangeRoute } from "../relay/mod.ts";
import { priorityOf } from "../tables/mod.ts";
import type { GroupOrder } from "./group_order.ts";
import type { ItemTask } from "./item_task.ts";
import type { Item } from "./mod.ts";
import type { RunContext } from "./run_context.ts";
import { reorderInMs, startInMs } from "./start_times.ts";

/** Lowest cost of an item in tokens. */
const MIN_ITEM_TOKENS = 1;

/** Cost of an item in tokens. */
export function costOf({ tokens }: Item): number {
  return Math.max(MIN_ITEM_TOKENS, tokens);
}

/** Asks for the permits of one run's items. */
export class ItemPermits {
  readonly #context: RunContext;
  readonly #dispatch: Dispatch;
  readonly #order: GroupOrder;
  /** Median of the items' expected tokens. */
  readonly #medianTokens: number;

  constructor(options: { context: RunContext; order: GroupOrder }) {
    this.#context = options.context;
    this.#dispatch = options.context.kernel.get(dispatchKey);
    this.#order = options.order;
    this.#medianTokens = medianOf(
      options.order.items.map(({ expectedTokens }) => expectedTokens),
    );
  }

  /**
   * Draws an item's pool by the weights in force, from those in which an
   * upstream may be found. Empty if the route was removed.
   */
  drawPool({ emptyPools }: Pick<ItemTask, "emptyPools">): string {
    const { current } = this.#context.route;
    if (current === undefined) return "";
    const { exchange } = current;
    const pools = exchange.pools
      .filter(({ pool }) => !emptyPools.includes(pool));
    const drawn = pools.length === 0 ? exchange : { ...exchange, pools };
    return drawPool(drawn, Math.random());
  }

  /** Turns to another pool of the route if not all upstreams were tried. */
  leavePool(task: ItemTask): void {
    if (task.excluded.length === 0) {
      const empty = [...task.emptyPools, task.pool];
      const pools = this.#context.route.current?.exchange.pools ?? [];
      const isLast = pools.every(({ pool }) => empty.includes(pool));
      task.emptyPools = isLast ? [] : empty;
      task.pool = this.drawPool(task);
    }
    task.excluded = [];
  }

  /** Whether the item's route left its pool or was removed. */
  isMoved({ pool }: ItemTask): boolean {
    return !this.#context.route.allows(pool);
  }

  /**
   * Waits for a permit. The shard's leader applies a demand's exclusions for as
   * long as the demand is queued, even if no other upstream has the version. So
   * the wait is cut off after `exclusionMs`, and the next demand excludes
   * nothing and merely avoids these upstreams. A wait is cut off as well when
   * the item has to be placed anew, or its route left the pool.
   */
  async acquire(task: ItemTask, { route, leftMs, exclusionMs }: {
    route: ExchangeRoute;
    leftMs: number;
    exclusionMs: number;
  }): Promise<Result<Permit, Refusal>> {
    const { ownership, histories, kernel, times } = this.#context;
    let demand = this.#demand(task, { route, leftMs });
    let limitMs = reorderInMs(times);
    if (demand.exclude.length > 0 && exclusionMs > 0) {
      limitMs = Math.min(limitMs, exclusionMs);
    } else if (demand.exclude.length > 0) {
      task.excluded = [];
      task.disableMoves();
      const avoid = [...demand.avoid ?? [], ...demand.exclude];
      demand = { ...demand, exclude: [], avoid };
    }
    const expiry = new AbortController();
    const cancel = limitMs === Infinity
      ? () => {}
      : kernel.clock.after(limitMs, () => expiry.abort());
    const stopFollowing = this.#context.route.onChange(() => {
      if (this.isMoved(task)) expiry.abort();
    });
    const signal = AbortSignal.any([ownership.signal, expiry.signal]);
    // Items that may start later tell nothing of the wait of one that moves.
    const mayWait = this.#order.place(task.item.id).delayMs > 0;
    const endWait = mayWait ? () => {} : histories.of(task.pool).waits.start();
    const permit = await this.#dispatch.acquire(demand, signal);
    endWait(permit.ok);
    cancel();
    stopFollowing();
    return permit;
  }

  #demand(task: ItemTask, { route, leftMs }: {
    route: ExchangeRoute;
    leftMs: number;
  }): Demand {
    const { item } = task;
    const { submission, histories } = this.#context;
    const { organisation, rank, minVersion } = submission;
    const { speeds } = histories.of(task.pool);
    return {
      id: item.id,
      pool: task.pool,
      route: route.name,
      tenant: organisation,
      priority: rank === undefined ? route.priority : priorityOf(rank),
      weight: 1,
      tokens: costOf(item),
      prefixes: item.prefixes,
      remainingMs: leftMs,
      startInMs: this.#startInMs(task),
      minVersion: Math.max(minVersion, task.output.versions[0] ?? 0),
      model: item.model,
      exclude: [...task.excluded, ...speeds.slowUpstreams()],
      avoid: this.#isLong(item) ? speeds.laggingUpstreams() : [],
      allowedRegions: route.exchange.allowedRegions,
      fingerprint: task.fingerprint(organisation),
      crashLimit: NO_CRASH_LIMIT,
      attempt: task.lostAttempts,
    };
  }

  /** An item that continues elsewhere keeps its place in the order. */
  #startInMs({ item, pool }: ItemTask): number {
    const { histories, times } = this.#context;
    const { leadTokens, delayMs } = this.#order.place(item.id);
    const leadMs = histories.of(pool).speeds.expectedRunMs(leadTokens);
    return startInMs(times, leadMs) + delayMs;
  }

  /** Whether the item is likely to determine when the batch is complete. */
  #isLong({ expectedTokens }: Item): boolean {
    return expectedTokens >= this.#medianTokens;
  }
}

function medianOf(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}
