/**
 * Renews the ownership of a batch by reads of its head, at the owner.
 *
 * @module
 */

import { isNone } from "fp-ts/Option";
import { type Clock, logger } from "../kernel/mod.ts";
import type { BatchStore, HeadReading, VersionedHead } from "./batch_store.ts";
import type { Ownership } from "./ownership.ts";

const log = logger("batches");

/** Time allowed after the end of a batch if the settings give none. */
const DEFAULT_END_GRACE_MS = 3000;

/**
 * Share of that time for which a confirmation of ownership is valid. The rest
 * covers the way of a request to its upstream, and clocks of unequal rate.
 */
const OWNERSHIP_TTL_PER_GRACE = 2 / 3;

const RENEWALS_PER_TTL = 3;

/** Validity of a confirmation, by the time allowed after the end of a batch. */
export function ownershipTtlMs(endGraceMs = DEFAULT_END_GRACE_MS): number {
  return endGraceMs * OWNERSHIP_TTL_PER_GRACE;
}

/** Renews one ownership until the run ends. */
export class OwnershipRenewal {
  readonly #clock: Clock;
  readonly #store: BatchStore;
  readonly #ownership: Ownership;
  readonly #intervalMs: number;
  readonly #state: () => VersionedHead;
  readonly #onLost: (reason: string) => Promise<void>;
  readonly #signal: AbortSignal;

  constructor(options: {
    clock: Clock;
    store: BatchStore;
    ownership: Ownership;
    ttlMs: number;
    /** The head as this owner last wrote it. */
    state: () => VersionedHead;
    /** Called if the batch isn't this daemon's to run any more. */
    onLost: (reason: string) => Promise<void>;
    /** Aborts when the run ends. */
    signal: AbortSignal;
  }) {
    this.#clock = options.clock;
    this.#store = options.store;
    this.#ownership = options.ownership;
    this.#intervalMs = options.ttlMs / RENEWALS_PER_TTL;
    this.#state = options.state;
    this.#onLost = options.onLost;
    this.#signal = options.signal;
  }

  /** Each read is independent: an earlier one may still lack its answer. */
  async run(): Promise<void> {
    while (!this.#signal.aborted) {
      const dueInMs = this.#intervalMs - this.#ownership.ageMs;
      if (dueInMs <= 0) void this.#renew();
      const waitMs = dueInMs > 0 ? dueInMs : this.#intervalMs;
      await this.#clock.sleep(waitMs, this.#signal);
    }
  }

  /** Confirms ownership by a read; a failure is left to the next one. */
  async #renew(): Promise<void> {
    const { id } = this.#state().head;
    try {
      const read = await this.#store.readHead(id);
      // If reads keep failing, the ownership lapses, which is logged.
      if (read.ok) await this.#apply(read.val);
    } catch (error) {
      log("ownership not read", { id, reason: String(error) });
    }
  }

  async #apply({ state, sentAt }: HeadReading): Promise<void> {
    if (isNone(state)) return await this.#onLost("removed");
    const { head } = state.value;
    const { owner, run } = this.#state().head;
    if (head.ended) return await this.#onLost("ended");
    if (head.owner !== owner || head.run !== run) {
      return await this.#onLost("replaced");
    }
    this.#ownership.confirm(sentAt);
  }
}
