/**
 * Whether an item moves off the upstream that generates it.
 *
 * Answers upstreams that become several times slower in operation, where the
 * rest of a long item ends sooner elsewhere. One that has always been slower
 * causes no moves: its work is needed, and where a third of the upstreams are,
 * moves off them aborted one run for each two results.
 *
 * @module
 */

import type { Item } from "./mod.ts";
import type { PoolHistory } from "./pool_history.ts";

/** An item moves only if its rest is expected to end earlier by this much. */
const MIN_GAIN_MS = 300;

/** Time to process a prompt again; engines take 2 to 5 ms for 1,000 tokens. */
const PREFILL_MS_PER_TOKEN = 0.005;

/** An item whose output is being generated. */
export interface RunningItem {
  readonly item: Pick<Item, "expectedTokens" | "tokens">;
  readonly upstream: string;
  /** Number of events so far. */
  readonly events: number;
}

/** Whether an item should move to another upstream of its pool now. */
export function shouldMove(
  { item, upstream, events }: RunningItem,
  history: PoolHistory,
): boolean {
  const { speeds, waits } = history;
  if (!speeds.isSlow(upstream)) return false;
  const hereMs = speeds.intervalMs(upstream);
  const elsewhereMs = speeds.medianIntervalMs();
  if (hereMs === undefined || elsewhereMs === undefined) return false;
  const gainMs = (hereMs - elsewhereMs) *
    history.eventsLeft(item.expectedTokens, events);
  const costMs = waits.expectedMs() + item.tokens * PREFILL_MS_PER_TOKEN;
  return gainMs - costMs >= MIN_GAIN_MS;
}
