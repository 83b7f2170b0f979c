/**
 * When the items of a batch must start, by which a shard's leader orders them
 * among all requests of an organisation.
 *
 * Answers trainers that wait for a batch past its target while they submit the
 * next one: late items were put behind those of each newer batch and starved.
 *
 * @module
 */

/** An item this late may still meet the target: run times are estimates. */
const LATE_TOLERANCE_MS = 2000;

/** Added to the start time of an item for which no trainer waits any more. */
const ABANDONED_PENALTY_MS = 30_000;

/** A batch's age and its limits, in milliseconds since its submission. */
export interface BatchTimes {
  readonly ageMs: number;
  /** Age at which results are due. */
  readonly targetMs: number;
  /** Age after which the trainer has given the batch up. */
  readonly timeoutMs: number;
}

/**
 * Time until an item must start in order to meet the target if it starts
 * `leadMs` before it. Negative for a late item, which thus goes before newer
 * batches until the trainer has given its own up.
 */
export function startInMs(
  { ageMs, targetMs, timeoutMs }: BatchTimes,
  leadMs: number,
): number {
  const slackMs = targetMs - ageMs - Math.max(0, leadMs);
  const abandoned = slackMs < -LATE_TOLERANCE_MS && ageMs > timeoutMs;
  return abandoned ? slackMs + ABANDONED_PENALTY_MS : slackMs;
}

/**
 * Time until waiting items must be placed anew, as the batch's timeout passes;
 * infinite if it has passed.
 */
export function reorderInMs({ ageMs, timeoutMs }: BatchTimes): number {
  return ageMs > timeoutMs ? Infinity : timeoutMs - ageMs + 1;
}
