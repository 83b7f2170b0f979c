/**
 * How a request that did not succeed ended. A verdict has no default: code that
 * refuses or fails a request must state whether the request may have run, and
 * of two verdicts "may have run" takes precedence.
 *
 * @module
 */

/** Whether a request without a complete answer may have run at an upstream. */
export enum Verdict {
  NotRun = "not run",
  MayHaveRun = "may have run",
}

/** Why a request was refused, retried or failed. Used as a metric label. */
export enum Reason {
  BadRequest = "bad_request",
  TooLarge = "too_large",
  NoKey = "no_key",
  UnknownKey = "unknown_key",
  KeyWithdrawn = "key_withdrawn",
  KeyNotForRoute = "key_not_for_route",
  StaleConfiguration = "stale_configuration",
  NoRoute = "no_route",
  NoUpstream = "no_upstream",
  /** Its route or organisation allows no region of the deployment. */
  RegionNotAllowed = "region_not_allowed",
  TenantOverShare = "tenant_over_share",
  QueueFull = "queue_full",
  DeadlineTooShort = "deadline_too_short",
  DeadlineExceeded = "deadline_exceeded",
  /** The upstreams take too few requests a second. */
  UpstreamLimited = "upstream_limited",
  RetryBudgetSpent = "retry_budget_spent",
  Quarantined = "quarantined",
  Draining = "draining",
  PlatformDown = "platform_down",
  PeerUnreachable = "peer_unreachable",
  PeerFailed = "peer_failed",
  ConnectFailed = "connect_failed",
  UpstreamRefused = "upstream_refused",
  UpstreamCrashed = "upstream_crashed",
  UpstreamSilent = "upstream_silent",
  UpstreamLeaving = "upstream_leaving",
  Truncated = "truncated",
  IdempotencyConflict = "idempotency_conflict",
  StepUnknown = "step_unknown",
  StepCancelled = "step_cancelled",
  StaleSample = "stale_sample",
  Cancelled = "cancelled",
  Internal = "internal",
}

/** Describes why a request did not succeed. */
export class Refusal {
  /** Whether the request may have run at any upstream. */
  readonly verdict: Verdict;
  readonly reason: Reason;
  /** One sentence for the caller, without keys or addresses. */
  readonly message: string;
  /** Delay before a retry, in milliseconds; 0 allows one at once. */
  readonly retryAfterMs: number;

  constructor(options: {
    verdict: Verdict;
    reason: Reason;
    message: string;
    retryAfterMs?: number;
  }) {
    this.verdict = options.verdict;
    this.reason = options.reason;
    this.message = options.message;
    this.retryAfterMs = options.retryAfterMs ?? 0;
  }

  /** This refusal with the worse of its verdict and `earlier`. */
  withEarlierVerdict(earlier: Verdict): Refusal {
    return new Refusal({
      ...this,
      verdict: worseVerdict(this.verdict, earlier),
    });
  }
}

/** The combined verdict of two attempts of one request. */
export function worseVerdict(a: Verdict, b: Verdict): Verdict {
  return a === Verdict.MayHaveRun ? a : b;
}
