/**
 * Figures of one run.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import { Reason } from "../src/kernel/mod.ts";
import { Priority } from "../src/tables/mod.ts";
import type { EngineModel } from "./engine_model.ts";
import { BATCH_SLOPE, TOKEN_MS } from "./engine_model.ts";
import type { System, Trip } from "./systems.ts";
import { FLOODER, type Plan, WEIGHTS } from "./workload.ts";

/** Length of a window of fairness. */
export const WINDOW_MS = 10_000;

/** Percentiles that a distribution is told by. */
const PERCENTILES = [0, 1, 5, 25, 50, 75, 90, 95, 99, 99.9, 100] as const;

/** A distribution by percentile. */
export type Distribution = Readonly<Record<string, number>>;

/** Figures of one run. */
export interface Figures {
  readonly requests: number;
  readonly served: number;
  readonly refused: Readonly<Record<string, number>>;
  /** Refused, of others than the flooder. */
  readonly refusedOthers: number;
  readonly late: number;
  readonly retried: number;
  /** Tokens a second of requests served within their deadline. */
  readonly goodput: number;
  /** Milliseconds from a refused request's arrival to its refusal. */
  readonly refusalMs: Distribution;
  /** Milliseconds from arrival to first token, others than the flooder. */
  readonly firstMs: Readonly<Record<string, Distribution>>;
  /** Milliseconds from arrival to last token, others than the flooder. */
  readonly totalMs: Readonly<Record<string, Distribution>>;
  /** Received of min(entitled, asked) of the worst-served tenant by window. */
  readonly worstServed: Distribution;
  /** Part of prompt blocks found in the engines' memory. */
  readonly prefixHits: number;
  /** Busiest engine's use against the mean. */
  readonly imbalance: number;
  readonly messagesPerRequest: number;
  readonly readsPerSecond: number;
}

/** Tokens by tenant and window. */
export class Ledger {
  readonly #tokens = new Map<string, number[]>();

  /** Adds tokens made for a tenant at `now`. */
  add(tenant: string, tokens: number, now: number): void {
    const windows = this.#tokens.get(tenant) ?? [];
    this.#tokens.set(tenant, windows);
    const index = Math.floor(now / WINDOW_MS);
    while (windows.length <= index) windows.push(0);
    windows[index] += tokens;
  }

  /** A tenant's tokens in one window. */
  of(tenant: string, index: number): number {
    return this.#tokens.get(tenant)?.[index] ?? 0;
  }

  /** All tenants' tokens in one window. */
  total(index: number): number {
    return Object.keys(WEIGHTS)
      .reduce((sum, tenant) => sum + this.of(tenant, index), 0);
  }
}

/** Figures of a finished run. */
export function figures(options: {
  plan: Plan;
  trips: readonly Trip[];
  received: Ledger;
  engines: readonly EngineModel[];
  system: System;
}): Figures {
  const { plan, trips, engines, system } = options;
  const served = trips.filter(({ doneAt }) => !Number.isNaN(doneAt));
  const inTime = served.filter(({ doneAt, request }) =>
    doneAt <= request.at + request.deadlineMs && doneAt <= plan.durationMs
  );
  const refused = trips.filter((trip) => trip.refused !== undefined);
  const tokens = inTime.reduce((sum, trip) => sum + trip.tokens, 0);
  const others = served.filter(({ request }) => request.tenant !== FLOODER);
  const busy = engines.map(({ busyMs }) => busyMs);
  const blocks = sum(engines.map(({ prompts }) => prompts.blocks));
  const hits = sum(engines.map(({ prompts }) => prompts.hits));
  return {
    requests: trips.length,
    served: served.length,
    refused: count(refused.map((trip) => `${trip.refused}`)),
    refusedOthers: refused
      .filter(({ request }) => request.tenant !== FLOODER).length,
    late: served.length - inTime.length,
    retried: sum(trips.map(({ attempts }) => Math.max(0, attempts - 1))),
    goodput: tokens / plan.durationMs * 1000,
    refusalMs: distribution(
      refused.map((trip) => trip.refusedAt - trip.request.at),
    ),
    firstMs: byClass(others, ({ firstAt, request }) => firstAt - request.at),
    totalMs: byClass(others, ({ doneAt, request }) => doneAt - request.at),
    worstServed: worstServed(options),
    prefixHits: hits / Math.max(1, blocks),
    imbalance: Math.max(...busy) / (sum(busy) / busy.length),
    messagesPerRequest: system.messages / Math.max(1, trips.length),
    readsPerSecond: system.reads / plan.durationMs * 1000,
  };
}

function byClass(
  trips: readonly Trip[],
  value: (trip: Trip) => number,
): Readonly<Record<string, Distribution>> {
  return Object.fromEntries(
    Object.values(Priority).map((priority) => [
      priority,
      distribution(
        trips.filter(({ request }) => request.priority === priority)
          .map(value),
      ),
    ]),
  );
}

/** A distribution of whole numbers, such as milliseconds. */
export function distribution(values: readonly number[]): Distribution {
  const histogram: Histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const value of values) histogram.recordValue(Math.round(value));
  if (values.length === 0) return {};
  return Object.fromEntries(
    PERCENTILES.map((
      percentile,
    ) => [`p${percentile}`, histogram.getValueAtPercentile(percentile)]),
  );
}

/**
 * In each window, for each tenant but the flooder: tokens received against
 * the lesser of its share of what all received and what it asked for. Asked
 * is what it received, and what its waiting requests would have received in
 * slots of their own, and what was refused. The worst tenant's figure counts,
 * in percent.
 */
function worstServed(options: {
  plan: Plan;
  trips: readonly Trip[];
  received: Ledger;
}): Distribution {
  const { plan, trips, received } = options;
  const missed = missedOf(trips);
  const weights = sum(Object.values(WEIGHTS));
  const windows = Math.floor(plan.durationMs / WINDOW_MS);
  const worst: number[] = [];
  // The first window fills the engines.
  for (let index = 1; index < windows; index++) {
    const total = received.total(index);
    const parts = Object.entries(WEIGHTS)
      .filter(([tenant]) => tenant !== FLOODER)
      .map(([tenant, weight]) => {
        const got = received.of(tenant, index);
        const entitled = total * weight / weights;
        const due = Math.min(entitled, got + missed.of(tenant, index));
        return due <= 0 ? 100 : got / due * 100;
      });
    worst.push(Math.min(100, ...parts));
  }
  return distribution(worst);
}

const FULL_BATCH = 16;

/** Tokens that tenants went without while their requests waited. */
function missedOf(trips: readonly Trip[]): Ledger {
  const missed = new Ledger();
  const tokenMs = TOKEN_MS * (1 + BATCH_SLOPE * (FULL_BATCH - 1));
  for (const { request, startedAt, refused, refusedAt } of trips) {
    const { tenant, outputTokens } = request;
    const end = Number.isNaN(startedAt) ? refusedAt : startedAt;
    if (refused !== undefined && refused !== Reason.DeadlineExceeded) {
      missed.add(tenant, outputTokens, refusedAt);
    }
    for (let at = request.at; at < end;) {
      const next = Math.min(end, (Math.floor(at / WINDOW_MS) + 1) * WINDOW_MS);
      // No request misses more than it would have got in all.
      const waited = Math.min(outputTokens, (next - at) / tokenMs);
      missed.add(tenant, waited, at);
      at = next;
    }
  }
  return missed;
}

function count(names: readonly string[]): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const name of names) counts[name] = (counts[name] ?? 0) + 1;
  return counts;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
