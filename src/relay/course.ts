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
const PATIENCE = 2.5;

/** Least time that an attempt gets before another upstream is tried. */
const MIN_ATTEMPT_MS = 300;

/** Sends that no upstream ran, after which a request is refused. */
export const MAX_UNRUN = 8;

/** When to come back to a request that all upstreams refused. */
const RETRY_AFTER_MS = 200;

/** Time kept for the answer's way back to the caller. */
const RETURN_MS = 20;

/** How an attempt ends at its own bound. */
export const SILENT: Lost = {
  loss: Loss.Silent,
  message: "No answer in time",
};

/** One request on its way, over all its attempts. */
export class Course {
  readonly route: ExchangeRoute;
  readonly request: RelayRequest;
  verdict = Verdict.NotRun;
  /** Sends, whether or not an upstream ran them. */
  sends = 0;
  /** Sends that an upstream may have run. */
  attempts = 0;
  /** Sends that surely none ran. */
  unrun = 0;
  counted = false;
  /** Answers in which an upstream said that it failed. */
  failures = 0;
  excluded: readonly string[] = [];
  /** Number of the last event of a stream. */
  after: number | undefined;
  readonly #kernel: Kernel;
  readonly #endsAt: number;
  readonly #abort = new AbortController();
  readonly #outer: AbortSignal;
  readonly #cancel: () => void;
  readonly #follow = () => this.#abort.abort();

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
    this.#outer = signal;
    const boundMs = Math.min(route.deadlineMs, request.remainingMs - RETURN_MS);
    this.#endsAt = kernel.clock.now() + boundMs;
    this.#cancel = kernel.clock.after(boundMs, this.#follow);
    if (signal.aborted) this.#follow();
    signal.addEventListener("abort", this.#follow, { once: true });
  }

  /** Aborts when the time is over or the caller has gone. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  leftMs(): number {
    return this.#endsAt - this.#kernel.clock.now();
  }

  /** Releases the timer and the outer signal. */
  end(): void {
    this.#cancel();
    this.#outer.removeEventListener("abort", this.#follow);
  }

  /** The bound of the next attempt. */
  attempt(): Attempt {
    const { latencyGoalMs } = this.route.exchange;
    const last = !this.route.repeatable ||
      this.attempts + 1 >= this.route.exchange.maxAttempts;
    const patienceMs = Math.max(
      MIN_ATTEMPT_MS,
      PATIENCE * latencyGoalMs,
      this.leftMs() / 3,
    );
    return new Attempt({
      kernel: this.#kernel,
      boundMs: last ? Infinity : patienceMs,
      signal: this.signal,
    });
  }

  /** Whether the request may be sent once more after this loss. */
  mayRetry(loss: Loss): boolean {
    if (this.signal.aborted || this.leftMs() <= 0) return false;
    if (loss === Loss.Impossible) return false;
    if (isUnrun(loss)) return this.unrun < MAX_UNRUN;
    if (!this.route.repeatable) return false;
    return this.attempts + 1 < this.route.exchange.maxAttempts;
  }

  /** Takes note of a send that brought no answer for the caller. */
  lost(upstream: string, loss: Loss): void {
    this.excluded = [...this.excluded, upstream];
    if (isUnrun(loss)) {
      this.unrun += 1;
      return;
    }
    if (loss === Loss.Failed) this.failures += 1;
    this.attempts += 1;
    this.verdict = Verdict.MayHaveRun;
  }

  /** Lets upstreams that refused the request be asked again. */
  forgive(): void {
    this.unrun += 1;
    this.excluded = [];
  }

  /** The end of a request that got no permit. */
  refused(refusal: Refusal): Refusal {
    if (this.#outer.aborted) return this.#end(Reason.Cancelled);
    if (this.signal.aborted) return this.#end(Reason.DeadlineExceeded);
    return refusal.following(this.verdict);
  }

  /** The end of a request whose last send brought no answer. */
  failed({ loss, message }: Lost): Refusal {
    if (this.#outer.aborted) return this.#end(Reason.Cancelled);
    if (this.signal.aborted) return this.#end(Reason.DeadlineExceeded);
    return this.#end(REASONS[loss], message);
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
export class Attempt {
  timedOut = false;
  readonly #abort = new AbortController();
  readonly #outer: AbortSignal;
  readonly #cancel: () => void;
  readonly #follow = () => this.#abort.abort();

  constructor(options: {
    kernel: Kernel;
    boundMs: number;
    signal: AbortSignal;
  }) {
    this.#outer = options.signal;
    this.#cancel = options.boundMs === Infinity
      ? () => {}
      : options.kernel.clock.after(options.boundMs, () => {
        this.timedOut = true;
        this.#abort.abort();
      });
    if (this.#outer.aborted) this.#follow();
    this.#outer.addEventListener("abort", this.#follow, { once: true });
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** An answer has begun: only the course bounds it now. */
  begun(): void {
    this.#cancel();
  }

  end(): void {
    this.#cancel();
    this.#outer.removeEventListener("abort", this.#follow);
  }
}

const REASONS: Readonly<Record<Loss, Reason>> = {
  [Loss.Unreachable]: Reason.ConnectFailed,
  [Loss.NotRun]: Reason.UpstreamRefused,
  [Loss.Misdirected]: Reason.UpstreamRefused,
  [Loss.Failed]: Reason.UpstreamCrashed,
  [Loss.Impossible]: Reason.UpstreamCrashed,
  [Loss.Broken]: Reason.Truncated,
  [Loss.Silent]: Reason.UpstreamSilent,
  [Loss.Cancelled]: Reason.Cancelled,
};
