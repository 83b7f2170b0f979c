/**
 * State of one request over all its attempts: time and attempts left, and
 * whether an upstream may have run it.
 *
 * @module
 */

import { type Kernel, Reason, Refusal, Verdict } from "../kernel/mod.ts";
import {
  isFinal,
  isNotExecuted,
  Loss,
  type LostRequest,
} from "../outside/mod.ts";
import type { RelayRequest } from "./mod.ts";
import type { ExchangeRoute } from "./routing.ts";

/** Timeout of an attempt that can be retried, in route latency goals. */
const ATTEMPT_TIMEOUT_PER_LATENCY_GOAL = 2.5;

/** Shortest timeout of an attempt that can be retried. */
const MIN_ATTEMPT_TIMEOUT_MS = 300;

/** Sends that no upstream executed, after which a request is refused. */
export const MAX_UNEXECUTED_SENDS = 8;

/** Retry delay suggested to the caller of a request that did not run. */
const RETRY_AFTER_MS = 200;

/** Reserved for returning the response within the caller's deadline. */
const RESPONSE_MARGIN_MS = 20;

/** Result of an attempt that exceeded its own timeout. */
export const ATTEMPT_TIMED_OUT: LostRequest = {
  loss: Loss.Silent,
  message: "No answer in time",
};

/** A request in flight, over all its attempts. */
export class RequestProgress {
  readonly route: ExchangeRoute;
  readonly request: RelayRequest;
  verdict = Verdict.NotRun;
  /** All sends, including those that no upstream executed. */
  sendCount = 0;
  /** Failed sends that an upstream may have executed. */
  attemptCount = 0;
  /** Sends that certainly no upstream executed. */
  unexecutedCount = 0;
  /** Whether the request has been counted for its organisation. */
  metered = false;
  /** Responses in which an upstream reported its own failure. */
  upstreamFailures = 0;
  excludedUpstreams: readonly string[] = [];
  /** Number of the last event of a stream that the caller has. */
  after: number | undefined;
  readonly #kernel: Kernel;
  readonly #deadlineAt: number;
  readonly #abort = new AbortController();
  readonly #callerSignal: AbortSignal;
  readonly #cancelTimer: () => void;
  readonly #abortRequest = () => this.#abort.abort();

  constructor(options: {
    kernel: Kernel;
    route: ExchangeRoute;
    request: RelayRequest;
    signal: AbortSignal;
  }) {
    const { kernel, route, request, signal } = options;
    this.route = route;
    this.request = request;
    this.after = request.after;
    this.#kernel = kernel;
    this.#callerSignal = signal;
    const timeoutMs = Math.min(
      route.deadlineMs,
      request.remainingMs - RESPONSE_MARGIN_MS,
    );
    this.#deadlineAt = kernel.clock.now() + timeoutMs;
    this.#cancelTimer = kernel.clock.after(timeoutMs, this.#abortRequest);
    if (signal.aborted) this.#abortRequest();
    signal.addEventListener("abort", this.#abortRequest, { once: true });
  }

  /** Aborts at the deadline or when the caller cancels. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  remainingMs(): number {
    return this.#deadlineAt - this.#kernel.clock.now();
  }

  /** Cancels the deadline timer and stops listening to the caller's signal. */
  end(): void {
    this.#cancelTimer();
    this.#callerSignal.removeEventListener("abort", this.#abortRequest);
  }

  /** Starts the timeout of the next attempt; the last one has none. */
  attempt(): AttemptTimeout {
    const { latencyGoalMs } = this.route.exchange;
    const last = !this.route.repeatable ||
      this.attemptCount + 1 >= this.route.exchange.maxAttempts;
    const timeoutMs = Math.max(
      MIN_ATTEMPT_TIMEOUT_MS,
      ATTEMPT_TIMEOUT_PER_LATENCY_GOAL * latencyGoalMs,
      this.remainingMs() / 3,
    );
    return new AttemptTimeout({
      kernel: this.#kernel,
      timeoutMs: last ? Infinity : timeoutMs,
      signal: this.signal,
    });
  }

  /** Whether the request may be sent again after this loss. */
  mayRetry(loss: Loss): boolean {
    if (this.signal.aborted || this.remainingMs() <= 0) return false;
    if (isFinal(loss)) return false;
    if (isNotExecuted(loss)) return this.unexecutedCount < MAX_UNEXECUTED_SENDS;
    if (!this.route.repeatable) return false;
    return this.attemptCount + 1 < this.route.exchange.maxAttempts;
  }

  /** Records a send that produced no response for the caller. */
  lost(upstream: string, loss: Loss): void {
    this.excludedUpstreams = [...this.excludedUpstreams, upstream];
    if (isNotExecuted(loss)) {
      this.unexecutedCount += 1;
      return;
    }
    if (loss === Loss.Failed) this.upstreamFailures += 1;
    this.attemptCount += 1;
    this.verdict = Verdict.MayHaveRun;
  }

  /** Makes excluded upstreams eligible again; counts as one unexecuted send. */
  retryExcluded(): void {
    this.unexecutedCount += 1;
    this.excludedUpstreams = [];
  }

  /** The refusal of a request for which no permit was granted. */
  refused(refusal: Refusal): Refusal {
    if (this.#callerSignal.aborted) return this.#end(Reason.Cancelled);
    if (this.signal.aborted) return this.#end(Reason.DeadlineExceeded);
    return refusal.withEarlierVerdict(this.verdict);
  }

  /** The refusal of a request whose last send produced no response. */
  failed({ loss, message }: LostRequest): Refusal {
    if (this.#callerSignal.aborted) return this.#end(Reason.Cancelled);
    if (this.signal.aborted) return this.#end(Reason.DeadlineExceeded);
    return this.#end(REASON_OF_LOSS[loss], message);
  }

  #end(
    reason: Reason,
    message = "The request got no answer in time",
  ): Refusal {
    return new Refusal({
      verdict: this.verdict,
      reason,
      message,
      retryAfterMs: this.verdict === Verdict.NotRun ? RETRY_AFTER_MS : 0,
    });
  }
}

/** A signal that aborts with the request or after the attempt's timeout. */
export class AttemptTimeout {
  timedOut = false;
  readonly #abort = new AbortController();
  readonly #requestSignal: AbortSignal;
  readonly #cancelTimer: () => void;
  readonly #abortAttempt = () => this.#abort.abort();

  constructor(options: {
    kernel: Kernel;
    timeoutMs: number;
    signal: AbortSignal;
  }) {
    this.#requestSignal = options.signal;
    this.#cancelTimer = options.timeoutMs === Infinity
      ? () => {}
      : options.kernel.clock.after(options.timeoutMs, () => {
        this.timedOut = true;
        this.#abort.abort();
      });
    if (this.#requestSignal.aborted) this.#abortAttempt();
    this.#requestSignal.addEventListener("abort", this.#abortAttempt, {
      once: true,
    });
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Cancels the timeout as a response has begun; the deadline still holds. */
  cancelTimeout(): void {
    this.#cancelTimer();
  }

  end(): void {
    this.#cancelTimer();
    this.#requestSignal.removeEventListener("abort", this.#abortAttempt);
  }
}

const REASON_OF_LOSS: Readonly<Record<Loss, Reason>> = {
  [Loss.Unreachable]: Reason.ConnectFailed,
  [Loss.NotRun]: Reason.UpstreamRefused,
  [Loss.Misdirected]: Reason.UpstreamRefused,
  [Loss.Failed]: Reason.UpstreamCrashed,
  [Loss.Impossible]: Reason.UpstreamCrashed,
  [Loss.Unsendable]: Reason.BadRequest,
  [Loss.Broken]: Reason.Truncated,
  [Loss.Excessive]: Reason.Truncated,
  [Loss.Silent]: Reason.UpstreamSilent,
  [Loss.Cancelled]: Reason.Cancelled,
};
