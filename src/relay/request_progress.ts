/**
 * One request over all its sends: how much time and how many attempts are left,
 * and whether it may have run.
 *
 * @module
 */

import { type Kernel, Reason, Refusal, Verdict } from "../kernel/mod.ts";
import { isUnrun, Loss, type Lost } from "../outside/mod.ts";
import type { RelayRequest } from "./mod.ts";
import type { ExchangeRoute } from "./routing.ts";

/** An attempt at a repeatable request is given up after so many goals. */
const ATTEMPT_TIMEOUT_PER_LATENCY_GOAL = 2.5;

/** Least time that an attempt gets before another upstream is tried. */
const MIN_ATTEMPT_TIMEOUT_MS = 300;

/** Sends that no upstream ran, after which a request is refused. */
export const MAX_UNEXECUTED_SENDS = 8;

/** When to come back to a request that all upstreams refused. */
const RETRY_AFTER_MS = 200;

/** Time kept for the answer's way back to the caller. */
const RESPONSE_MARGIN_MS = 20;

/** How an attempt ends at its own bound. */
export const ATTEMPT_TIMED_OUT: Lost = {
  loss: Loss.Silent,
  message: "No answer in time",
};

/** One request on its way, over all its attempts. */
export class RequestProgress {
  readonly route: ExchangeRoute;
  readonly request: RelayRequest;
  verdict = Verdict.NotRun;
  /** Sends, whether or not an upstream ran them. */
  sendCount = 0;
  /** Sends that an upstream may have run. */
  attemptCount = 0;
  /** Sends that surely none ran. */
  unexecutedCount = 0;
  metered = false;
  /** Answers in which an upstream said that it failed. */
  upstreamFailures = 0;
  excludedUpstreams: readonly string[] = [];
  /** Number of the last event of a stream. */
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

  /** Aborts when the time is over or the caller has gone. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  remainingMs(): number {
    return this.#deadlineAt - this.#kernel.clock.now();
  }

  /** Releases the timer and the outer signal. */
  end(): void {
    this.#cancelTimer();
    this.#callerSignal.removeEventListener("abort", this.#abortRequest);
  }

  /** The bound of the next attempt. */
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

  /** Whether the request may be sent once more after this loss. */
  mayRetry(loss: Loss): boolean {
    if (this.signal.aborted || this.remainingMs() <= 0) return false;
    if (loss === Loss.Impossible) return false;
    if (isUnrun(loss)) return this.unexecutedCount < MAX_UNEXECUTED_SENDS;
    if (!this.route.repeatable) return false;
    return this.attemptCount + 1 < this.route.exchange.maxAttempts;
  }

  /** Takes note of a send that brought no answer for the caller. */
  lost(upstream: string, loss: Loss): void {
    this.excludedUpstreams = [...this.excludedUpstreams, upstream];
    if (isUnrun(loss)) {
      this.unexecutedCount += 1;
      return;
    }
    if (loss === Loss.Failed) this.upstreamFailures += 1;
    this.attemptCount += 1;
    this.verdict = Verdict.MayHaveRun;
  }

  /** Lets upstreams that refused the request be asked again. */
  retryExcluded(): void {
    this.unexecutedCount += 1;
    this.excludedUpstreams = [];
  }

  /** The end of a request that got no permit. */
  refused(refusal: Refusal): Refusal {
    if (this.#callerSignal.aborted) return this.#end(Reason.Cancelled);
    if (this.signal.aborted) return this.#end(Reason.DeadlineExceeded);
    return refusal.following(this.verdict);
  }

  /** The end of a request whose last send brought no answer. */
  failed({ loss, message }: Lost): Refusal {
    if (this.#callerSignal.aborted) return this.#end(Reason.Cancelled);
    if (this.signal.aborted) return this.#end(Reason.DeadlineExceeded);
    return this.#end(REASON_OF_LOSS[loss], message);
  }

  #end(reason: Reason, message = "The request got no answer in time"): Refusal {
    return new Refusal({
      verdict: this.verdict,
      reason,
      message,
      retryAfterMs: this.verdict === Verdict.NotRun ? RETRY_AFTER_MS : 0,
    });
  }
}

/** A signal that aborts with the course or after the attempt's own bound. */
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

  /** An answer has begun: only the course bounds it now. */
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
  [Loss.Broken]: Reason.Truncated,
  [Loss.Silent]: Reason.UpstreamSilent,
  [Loss.Cancelled]: Reason.Cancelled,
};
