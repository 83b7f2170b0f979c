/**
 * A circuit breaker for one upstream. One broken connection does not open it;
 * consecutive failures to connect do, and so do consecutive requests that broke
 * or got no response, with none served in between.
 *
 * @module
 */

import { Outcome } from "./mod.ts";

/** Whether an upstream receives requests. */
export enum Circuit {
  Closed = "closed",
  /** One request at a time probes whether it works again. */
  HalfOpen = "half_open",
  Open = "open",
}

/** Consecutive failures that open the circuit. */
const FAILURE_LIMIT = 3;

/** First and longest time for which the circuit stays open. */
const FIRST_OPEN_MS = 500;
const MAX_OPEN_MS = 15_000;

/** Decides from recent failures whether an upstream receives requests. */
export class CircuitBreaker {
  #failures = 0;
  #probeFailures = 0;
  #openings = 0;
  #openUntil = -Infinity;
  #probeInFlight = false;
  /** Whether requests that ran opened it; a load report can't close it then. */
  #openedByRequests = false;
  readonly #onOpened: () => void;
  readonly #onSuccess: () => void;

  constructor(options: {
    /** Called each time that it opens. */
    onOpened?: () => void;
    /** Called when the upstream works, also while it is closed. */
    onSuccess?: () => void;
  } = {}) {
    this.#onOpened = options.onOpened ?? (() => {});
    this.#onSuccess = options.onSuccess ?? (() => {});
  }

  /** The state at `now`. */
  circuit(now: number): Circuit {
    if (this.#openings === 0) return Circuit.Closed;
    return now < this.#openUntil ? Circuit.Open : Circuit.HalfOpen;
  }

  /** Whether another request may be sent at `now`. */
  allows(now: number): boolean {
    const circuit = this.circuit(now);
    if (circuit === Circuit.HalfOpen) return !this.#probeInFlight;
    return circuit === Circuit.Closed;
  }

  /** Records that a request was granted. */
  granted(now: number): void {
    if (this.circuit(now) === Circuit.HalfOpen) this.#probeInFlight = true;
  }

  /** Records how a request ended. */
  ended(outcome: Outcome, now: number): void {
    if (outcome === Outcome.Served || outcome === Outcome.Failed) {
      this.#onSuccess();
      return this.#close();
    }
    this.#probeInFlight = false;
    if (outcome === Outcome.Cancelled || outcome === Outcome.Refused) return;
    this.#failures += 1;
    if (this.#failures < FAILURE_LIMIT) return;
    this.#openedByRequests = outcome !== Outcome.Unreachable;
    this.#open(now);
  }

  /** Records whether an upstream that was probed could be reached. */
  probed(ok: boolean, now: number): void {
    this.#probeFailures = ok ? 0 : this.#probeFailures + 1;
    if (this.#probeFailures >= FAILURE_LIMIT) this.#open(now);
    if (!ok) return;
    if (!this.#openedByRequests) this.#onSuccess();
    if (this.#openings === 0) return;
    // A report that can be read ends the open state, but a probe is still due.
    this.#openUntil = Math.min(this.#openUntil, now);
    if (!this.#openedByRequests) this.#close();
  }

  #close(): void {
    this.#failures = 0;
    this.#openings = 0;
    this.#probeInFlight = false;
    this.#openedByRequests = false;
  }

  #open(now: number): void {
    if (now < this.#openUntil) return;
    const openMs = Math.min(FIRST_OPEN_MS * 2 ** this.#openings, MAX_OPEN_MS);
    this.#openings += 1;
    this.#openUntil = now + openMs;
    this.#probeInFlight = false;
    this.#onOpened();
  }
}
