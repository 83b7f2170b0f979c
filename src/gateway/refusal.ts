/**
 * HTTP status and JSON body of refusals.
 *
 * @module
 */

import { Reason, type Refusal, type Verdict } from "../kernel/mod.ts";

const HTTP_STATUS: Readonly<Record<Reason, number>> = {
  [Reason.BadRequest]: 400,
  [Reason.TooLarge]: 413,
  [Reason.NoKey]: 401,
  [Reason.UnknownKey]: 401,
  [Reason.KeyWithdrawn]: 401,
  [Reason.KeyNotForRoute]: 403,
  [Reason.StaleConfiguration]: 503,
  [Reason.NoRoute]: 404,
  [Reason.NoUpstream]: 503,
  [Reason.RegionNotAllowed]: 403,
  [Reason.TenantOverShare]: 429,
  [Reason.QueueFull]: 503,
  [Reason.DeadlineTooShort]: 503,
  [Reason.UpstreamLimited]: 503,
  [Reason.DeadlineExceeded]: 504,
  [Reason.RetryBudgetSpent]: 503,
  [Reason.Quarantined]: 422,
  [Reason.Draining]: 503,
  [Reason.PlatformDown]: 503,
  [Reason.PeerUnreachable]: 503,
  [Reason.PeerFailed]: 502,
  [Reason.ConnectFailed]: 503,
  [Reason.UpstreamRefused]: 503,
  [Reason.UpstreamCrashed]: 502,
  [Reason.UpstreamSilent]: 504,
  [Reason.UpstreamLeaving]: 503,
  [Reason.Truncated]: 502,
  [Reason.IdempotencyConflict]: 409,
  [Reason.StepUnknown]: 404,
  [Reason.StepCancelled]: 410,
  [Reason.StaleSample]: 409,
  [Reason.Cancelled]: 499,
  [Reason.Internal]: 500,
};

/** The JSON body of a refusal. */
export interface RefusalBody {
  readonly error: {
    readonly verdict: Verdict;
    readonly reason: Reason;
    readonly message: string;
    readonly retry_after_ms: number;
  };
}

/** The HTTP status for a refusal's reason. */
export function httpStatusOf(refusal: Refusal): number {
  return HTTP_STATUS[refusal.reason];
}

/** The JSON body that callers receive for a refusal. */
export function refusalBody(refusal: Refusal): RefusalBody {
  return {
    error: {
      verdict: refusal.verdict,
      reason: refusal.reason,
      message: refusal.message,
      retry_after_ms: Math.round(refusal.retryAfterMs),
    },
  };
}
