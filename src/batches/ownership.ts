/**
 * A daemon's right to send requests of a batch. A call that shows this daemon
 * as the owner of the open batch confirms it for a limited time, counted from
 * before the call was sent. A daemon that was replaced, or that missed the end
 * of the batch, thus stops sending although no message reaches it.
 *
 * @module
 */

import { setMaxListeners } from "node:events";
import { type Clock, logger, type Moment } from "../kernel/mod.ts";

const log = logger("batches");

/** A daemon's ownership of one batch. */
export class Ownership {
  readonly #clock: Clock;
  readonly #batch: string;
  readonly #ttlMs: number;
  readonly #outer: AbortSignal;
  readonly #waiters = new Set<() => void>();
  #confirmedAt: Moment;
  #abort: AbortController;
  #cancelTimer = () => {};

  constructor(options: {
    clock: Clock;
    batch: string;
    /** Validity of a confirmation. */
    ttlMs: number;
    /** When the call was sent by which ownership was confirmed last. */
    confirmedAt: Moment;
    /** Aborts when the run ends. */
    signal: AbortSignal;
  }) {
    this.#clock = options.clock;
    this.#batch = options.batch;
    this.#ttlMs = options.ttlMs;
    this.#confirmedAt = options.confirmedAt;
    this.#outer = options.signal;
    this.#abort = newController();
    this.#outer.addEventListener("abort", () => this.#end(), { once: true });
    if (this.#outer.aborted) this.#end();
    else this.#armTimer();
  }

  /** Time since the call was sent by which ownership was confirmed last. */
  get ageMs(): number {
    return this.#clock.elapsedMs(this.#confirmedAt);
  }

  /** Whether requests may be sent now. */
  get valid(): boolean {
    return !this.#outer.aborted && this.ageMs < this.#ttlMs;
  }

  /** Aborts when ownership lapses; after a confirmation there is a new one. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Records a confirmation by a call that was sent at `sentAt`. */
  confirm(sentAt: Moment): void {
    if (this.#outer.aborted) return;
    const lastAgeMs = this.ageMs;
    if (this.#clock.elapsedMs(sentAt) >= lastAgeMs) return;
    this.#confirmedAt = sentAt;
    if (!this.valid) return;
    if (this.signal.aborted) {
      log("ownership confirmed again", {
        id: this.#batch,
        afterMs: Math.round(lastAgeMs),
      });
      this.#abort = newController();
    }
    this.#armTimer();
    this.#wakeWaiters();
  }

  /** Waits until requests may be sent, or the run has ended. */
  async waitUntilValid(): Promise<void> {
    while (!this.valid && !this.#outer.aborted) {
      await new Promise<void>((resolve) => this.#waiters.add(resolve));
    }
  }

  #armTimer(): void {
    this.#cancelTimer();
    const leftMs = this.#ttlMs - this.ageMs;
    this.#cancelTimer = this.#clock.after(leftMs, () => this.#expire());
  }

  #expire(): void {
    if (this.valid) return this.#armTimer();
    const ageMs = Math.round(this.ageMs);
    log("ownership lapsed", { id: this.#batch, confirmedMsAgo: ageMs });
    this.#abort.abort();
  }

  #end(): void {
    this.#cancelTimer();
    this.#abort.abort();
    this.#wakeWaiters();
  }

  #wakeWaiters(): void {
    for (const wake of this.#waiters) wake();
    this.#waiters.clear();
  }
}

/** Every item that waits for a permit adds a listener. */
function newController(): AbortController {
  const abort = new AbortController();
  setMaxListeners(0, abort.signal);
  return abort;
}
