/**
 * Headline figures of a simulation run, by name.
 *
 * @module
 */

import type { Figures } from "./run_figures.ts";

/** Headline figures by their printed names. */
export const HEADLINE_FIGURES: Readonly<
  Record<string, (figures: Figures) => number>
> = {
  "goodput tok/s": ({ goodput }) => goodput,
  "interactive first p50 ms": ({ firstMs }) => firstMs.interactive.p50,
  "interactive first p99 ms": ({ firstMs }) => firstMs.interactive.p99,
  "interactive total p99 ms": ({ totalMs }) => totalMs.interactive.p99,
  "standard total p99 ms": ({ totalMs }) => totalMs.standard.p99,
  "training total p99 ms": ({ totalMs }) => totalMs.training.p99,
  "worst-served least %": ({ worstServed }) => worstServed.p0,
  "worst-served median %": ({ worstServed }) => worstServed.p50,
  "prefix hits %": ({ prefixHits }) => prefixHits * 100,
  "busiest of mean %": ({ imbalance }) => imbalance * 100,
  "refused": ({ refused }) => total(refused),
  "refused of others": ({ refusedOthers }) => refusedOthers,
  "refusal p99 ms": ({ refusalMs }) => refusalMs.p99 ?? 0,
  "late": ({ late }) => late,
  "retried": ({ retried }) => retried,
  "messages a request": ({ messagesPerRequest }) => messagesPerRequest,
  "reads a second": ({ readsPerSecond }) => readsPerSecond,
};

function total(counts: Readonly<Record<string, number>>): number {
  return Object.values(counts).reduce((sum, one) => sum + one, 0);
}

/** Returns the median, the upper one of an even number of values. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}
