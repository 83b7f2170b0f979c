/**
 * Checks all stored batches periodically, on a few daemons: removes those that
 * expired, and notifies the owners of those that are open.
 *
 * @module
 */

import { type Clock, logger } from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";
import type { BatchHead, BatchStore, VersionedHead } from "./batch_store.ts";

const log = logger("batches");

/** Interval at which the scanning daemons check all batches. */
const SCAN_INTERVAL_MS = 1000;

/** Time for the daemons to discover each other when all start at once. */
const FIRST_SCAN_DELAY_MS = 300;

/** Number of daemons that scan all batches: one may be dead or cut off. */
const SCANNING_DAEMONS = 2;

/** Batches are removed this long after the end of their retention. */
const REMOVAL_MARGIN_MS = 30_000;

/** Batches that are never ended are removed this long after submission. */
const MAX_OPEN_MS = 24 * 60 * 60 * 1000;

/** Scans the stored batches. */
export class BatchScanner {
  readonly #clock: Clock;
  readonly #peers: Peers;
  readonly #store: BatchStore;
  readonly #retentionMs: number;
  readonly #notifyOwner: (head: BatchHead) => Promise<void>;

  constructor(options: {
    clock: Clock;
    peers: Peers;
    store: BatchStore;
    /** Time after its submission for which a batch can be read. */
    retentionMs: number;
    notifyOwner: (head: BatchHead) => Promise<void>;
  }) {
    this.#clock = options.clock;
    this.#peers = options.peers;
    this.#store = options.store;
    this.#retentionMs = options.retentionMs;
    this.#notifyOwner = options.notifyOwner;
  }

  /** Scans until `signal` aborts. */
  async run(signal: AbortSignal): Promise<void> {
    // The first scan is soon: all daemons may have restarted.
    let waitMs = FIRST_SCAN_DELAY_MS;
    while (!signal.aborted) {
      await this.#clock.sleep(waitMs, signal);
      waitMs = SCAN_INTERVAL_MS;
      const ranked = this.#peers.rankedForDuty("batches").slice(
        0,
        SCANNING_DAEMONS,
      );
      const self = this.#peers.self.vm;
      if (signal.aborted || !ranked.some(({ vm }) => vm === self)) continue;
      const heads = await this.#store.heads();
      if (heads.err) continue;
      for (const state of heads.val) {
        await this.#checkBatch(state).catch((error) =>
          log("batch not checked", {
            id: state.head.id,
            reason: String(error),
          })
        );
      }
    }
  }

  async #checkBatch(state: VersionedHead): Promise<void> {
    const { head } = state;
    const ageMs = this.#clock.wall() - head.submittedAt;
    const keptMs = head.ended
      ? this.#retentionMs + REMOVAL_MARGIN_MS
      : MAX_OPEN_MS;
    if (ageMs > keptMs) {
      await this.#store.remove(state);
      log("batch removed", { id: head.id, ageMs: Math.round(ageMs) });
      return;
    }
    // An owner that missed the end learns of it when it confirms ownership.
    if (head.ended || head.listed >= head.total) return;
    void this.#notifyOwner(head);
  }
}
