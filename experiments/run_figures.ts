/**
 * Computes the figures of one simulation run.
 *
 * @module
 */

import { build, type Histogram } from "hdr-histogram-js";
import { Reason } from "../src/kernel/mod.ts";
import { Priority } from "../src/tables/mod.ts";
import type { EngineModel } from "./engine_model.ts";
import { BATCH_SLOWDOWN_PER_REQUEST, TOKEN_MS } from "./engine_model.ts";
import type { DispatchSystem, RequestRecord } from "./dispatch_systems.ts";
import {
  FLOODING_ORGANISATION,
  ORGANISATION_WEIGHTS,
  type WorkloadPlan,
} from "./workload.ts";

/** Length of the windows in which fairness is measured. */
export const FAIRNESS_WINDOW_MS = 10_000;

/** Percentiles reported for a distribution. */
const PERCENTILES = [0, 1, 5, 25, 50, 75, 90, 95, 99, 99.9, 100] as const;

/** Values of a distribution by percentile. */
export type Distribution = Readonly<Record<string, number>>;

/** Figures of one run. */
export interface Figures {
  readonly requests: number;
  readonly served: number;
  readonly refused: Readonly<Record<string, number>>;
  /** Refused requests of organisations other than the flooding one. */
  readonly refusedOthers: number;
  readonly late: number;
  readonly retried: number;
  /** Tokens per second of requests served within their deadline. */
  readonly goodput: number;
  /** Milliseconds from a refused request's arrival to its refusal. */
  readonly refusalMs: Distribution;
  /** Milliseconds from arrival to first token, excluding the flood. */
  readonly firstMs: Readonly<Record<string, Distribution>>;
  /** Milliseconds from arrival to last token, excluding the flood. */
  readonly totalMs: Readonly<Record<string, Distribution>>;
  /** Worst organisation's percentage of min(entitled, requested), by window. */
  readonly worstServed: Distribution;
  /** Fraction of prompt blocks found in the engines' prefix caches. */
  readonly prefixHits: number;
  /** Slot time of the busiest engine relative to the mean. */
  readonly imbalance: number;
  readonly messagesPerRequest: number;
  readonly readsPerSecond: number;
}

/** Counts tokens by organisation and window. */
export class TokenTally {
  readonly #tokens = new Map<string, number[]>();

  /** Adds tokens generated for an organisation at `now`. */
  add(organisation: string, tokens: number, now: number): void {
    const windows = this.#tokens.get(organisation) ?? [];
    this.#tokens.set(organisation, windows);
    const index = Math.floor(now / FAIRNESS_WINDOW_MS);
    while (windows.length <= index) windows.push(0);
    windows[index] += tokens;
  }

  /** Returns the tokens of an organisation in one window. */
  tokensIn(organisation: string, index: number): number {
    return this.#tokens.get(organisation)?.[index] ?? 0;
  }

  /** Returns the tokens of all organisations in one window. */
  total(index: number): number {
    return Object.keys(ORGANISATION_WEIGHTS)
      .reduce(
        (sum, organisation) => sum + this.tokensIn(organisation, index),
        0,
      );
  }
}

/** Computes the figures of a finished run. */
export function computeFigures(options: {
  plan: WorkloadPlan;
  records: readonly RequestRecord[];
  received: TokenTally;
  engines: readonly EngineModel[];
  system: DispatchSystem;
}): Figures {
  const { plan, records, engines, system } = options;
  const served = records.filter(({ doneAt }) => !Number.isNaN(doneAt));
  const inTime = served.filter(({ doneAt, request }) =>
    doneAt <= request.at + request.deadlineMs && doneAt <= plan.durationMs
  );
  const refused = records.filter((record) => record.refused !== undefined);
  const tokens = inTime.reduce((sum, record) => sum + record.tokens, 0);
  const others = served.filter(({ request }) =>
    request.organisation !== FLOODING_ORGANISATION
  );
  const busy = engines.map(({ busyMs }) => busyMs);
  const blocks = sum(engines.map(({ prefixCache }) => prefixCache.blocks));
  const hits = sum(engines.map(({ prefixCache }) => prefixCache.hits));
  return {
    requests: records.length,
    served: served.length,
    refused: count(refused.map((record) => `${record.refused}`)),
    refusedOthers: refused
      .filter(({ request }) => request.organisation !== FLOODING_ORGANISATION)
      .length,
    late: served.length - inTime.length,
    retried: sum(records.map(({ attempts }) => Math.max(0, attempts - 1))),
    goodput: tokens / plan.durationMs * 1000,
    refusalMs: distribution(
      refused.map((record) => record.refusedAt - record.request.at),
    ),
    firstMs: byPriority(others, ({ firstAt, request }) => firstAt - request.at),
    totalMs: byPriority(others, ({ doneAt, request }) => doneAt - request.at),
    worstServed: worstServed(options),
    prefixHits: hits / Math.max(1, blocks),
    imbalance: Math.max(...busy) / (sum(busy) / busy.length),
    messagesPerRequest: system.messages / Math.max(1, records.length),
    readsPerSecond: system.reads / plan.durationMs * 1000,
  };
}

function byPriority(
  records: readonly RequestRecord[],
  value: (record: RequestRecord) => number,
): Readonly<Record<string, Distribution>> {
  return Object.fromEntries(
    Object.values(Priority).map((priority) => [
      priority,
      distribution(
        records.filter(({ request }) => request.priority === priority)
          .map(value),
      ),
    ]),
  );
}

/** Returns the distribution of values, rounded to whole numbers. */
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
 * For each window, the lowest percentage over all organisations except the
 * flooding one of tokens received against the lesser of entitled and requested
 * tokens. Entitled is the weighted share of all tokens of the window. Requested
 * are the tokens received, those that waiting requests would have received in
 * slots of their own, and those of refused requests.
 */
function worstServed(options: {
  plan: WorkloadPlan;
  records: readonly RequestRecord[];
  received: TokenTally;
}): Distribution {
  const { plan, records, received } = options;
  const missed = missedTokens(records);
  const weights = sum(Object.values(ORGANISATION_WEIGHTS));
  const windows = Math.floor(plan.durationMs / FAIRNESS_WINDOW_MS);
  const worst: number[] = [];
  // Skips the first window, in which the engines are not yet fully loaded.
  for (let index = 1; index < windows; index++) {
    const total = received.total(index);
    const percentages = Object.entries(ORGANISATION_WEIGHTS)
      .filter(([organisation]) => organisation !== FLOODING_ORGANISATION)
      .map(([organisation, weight]) => {
        const receivedTokens = received.tokensIn(organisation, index);
        const entitled = total * weight / weights;
        const due = Math.min(
          entitled,
          receivedTokens + missed.tokensIn(organisation, index),
        );
        return due <= 0 ? 100 : receivedTokens / due * 100;
      });
    worst.push(Math.min(100, ...percentages));
  }
  return distribution(worst);
}

const FULL_BATCH_SIZE = 16;

/** Returns the tokens that organisations missed while requests waited. */
function missedTokens(records: readonly RequestRecord[]): TokenTally {
  const missed = new TokenTally();
  const tokenMs = TOKEN_MS *
    (1 + BATCH_SLOWDOWN_PER_REQUEST * (FULL_BATCH_SIZE - 1));
  for (const { request, startedAt, refused, refusedAt } of records) {
    const { organisation, outputTokens } = request;
    const end = Number.isNaN(startedAt) ? refusedAt : startedAt;
    if (refused !== undefined && refused !== Reason.DeadlineExceeded) {
      missed.add(organisation, outputTokens, refusedAt);
    }
    for (let at = request.at; at < end;) {
      const next = Math.min(
        end,
        (Math.floor(at / FAIRNESS_WINDOW_MS) + 1) * FAIRNESS_WINDOW_MS,
      );
      // A request cannot miss more tokens than its whole output.
      const waited = Math.min(outputTokens, (next - at) / tokenMs);
      missed.add(organisation, waited, at);
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
