/**
 * Refusals of calls on batches.
 *
 * @module
 */

import { Reason, Refusal, type Verdict } from "../kernel/mod.ts";

/** Suggested retry delay of a refused call. */
const RETRY_AFTER_MS = 300;

const MESSAGES: Readonly<Partial<Record<Reason, string>>> = {
  [Reason.StepUnknown]: "There is no such batch or item",
  [Reason.IdempotencyConflict]: "Another batch has this id",
  [Reason.PlatformDown]: "Batches can't be looked up now",
  [Reason.PeerFailed]: "Whether the batch was changed is not known",
};

/** A refusal with the message for its reason. */
export function refuse(verdict: Verdict, reason: Reason): Refusal {
  return new Refusal({
    verdict,
    reason,
    message: MESSAGES[reason] ?? "The batch can't be served now",
    retryAfterMs: RETRY_AFTER_MS,
  });
}
