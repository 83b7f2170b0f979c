/**
 * The state of one item of a batch over all its attempts.
 *
 * @module
 */

import {
  isNotExecuted,
  Loss,
  type LostRequest,
  type StreamEvent,
} from "../outside/mod.ts";
import { fingerprintOf } from "../relay/attempts.ts";
import { ItemOutput } from "./item_output.ts";
import type { Item } from "./mod.ts";

/** Limits moves off slow upstreams: all upstreams may be slow in turn. */
const MAX_MOVES_PER_ITEM = 3;

/** An item whose output is being generated or scored. */
export class ItemTask {
  readonly item: Item;
  /** The pool on which it runs next. */
  pool: string;
  /** Pools in which no upstream was found since the last attempt. */
  emptyPools: readonly string[] = [];
  /** Start of the task on the monotonic clock. */
  readonly startedAt: number;
  /** Time spent on upstreams. */
  ranMs = 0;
  /** Id of the last upstream used. */
  upstream = "";
  output = new ItemOutput();
  /** Upstreams that this item must not be sent to, the latest three. */
  excluded: readonly string[] = [];
  /** Attempts that ended before the output was complete. */
  lostAttempts = 0;
  /** Attempts that ran on an upstream and failed there. */
  failures = 0;
  /** Attempts that were cancelled, among them moves off slow upstreams. */
  moves = 0;
  #fingerprint: string | undefined;

  constructor(item: Item, options: { pool: string; now: number }) {
    this.item = item;
    this.pool = options.pool;
    this.startedAt = options.now;
  }

  /** Whether the item may move off a slow upstream once more. */
  get canMove(): boolean {
    return this.moves < MAX_MOVES_PER_ITEM;
  }

  /** Prevents further moves, however slow the upstream is. */
  disableMoves(): void {
    this.moves = MAX_MOVES_PER_ITEM;
  }

  /** Appends an event; returns a loss if the stream must end instead. */
  accept(
    event: StreamEvent,
    terms: { minVersion: number; singleVersion: boolean },
  ): LostRequest | undefined {
    if (!this.output.follows(event)) {
      const message =
        `Unexpected event ${event.number} after ${this.output.last}`;
      return { loss: Loss.Broken, message };
    }
    const next = this.output.with(event);
    if (next.satisfies(terms)) {
      this.output = next;
      return undefined;
    }
    // A single-version output must be generated anew by one version.
    if (terms.singleVersion) this.output = new ItemOutput();
    return {
      loss: Loss.NotRun,
      message: `Weight version ${event.weightVersion} does not fit`,
    };
  }

  /** Records an attempt that ended before the output was complete. */
  lost(upstream: string, { loss }: LostRequest): void {
    this.lostAttempts += 1;
    if (loss === Loss.Cancelled) this.moves += 1;
    if (loss === Loss.Failed) this.failures += 1;
    const avoid = isNotExecuted(loss) || loss === Loss.Broken ||
      loss === Loss.Silent || loss === Loss.Excessive;
    if (avoid) this.excluded = [...this.excluded.slice(-2), upstream];
  }

  fingerprint(organisation: string): string {
    this.#fingerprint ??= fingerprintOf(organisation, {
      method: "POST",
      path: this.item.path,
      body: Buffer.from(this.item.body, "base64"),
    });
    return this.#fingerprint;
  }
}
