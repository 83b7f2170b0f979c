/**
 * One item of a batch over all its streams.
 *
 * @module
 */

import { isUnrun, Loss, type Lost, type Piece } from "../outside/mod.ts";
import { fingerprintOf } from "../relay/attempts.ts";
import { ItemOutput } from "./item_output.ts";
import type { Item } from "./mod.ts";

/** Slow upstreams that one item leaves: all may be slow in turn. */
const MAX_MOVES_PER_ITEM = 3;

/** One item on its way to a whole text. */
export class ItemTask {
  readonly item: Item;
  readonly pool: string;
  /** When the item was first asked for, on the monotonic clock. */
  readonly startedAt: number;
  /** Time on upstreams, in milliseconds. */
  ranMs = 0;
  /** The last upstream. */
  upstream = "";
  output = new ItemOutput();
  excluded: readonly string[] = [];
  lostAttempts = 0;
  /** Runs that ended in a failure of the item's own. */
  failures = 0;
  /** Upstreams that it left by itself. */
  moves = 0;
  #fingerprint: string | undefined;

  constructor(item: Item, options: { pool: string; now: number }) {
    this.item = item;
    this.pool = options.pool;
    this.startedAt = options.now;
  }

  /** Whether it may leave a slow upstream once more. */
  get canMove(): boolean {
    return this.moves < MAX_MOVES_PER_ITEM;
  }

  /** Keeps it where it is from now on, however slow that is. */
  disableMoves(): void {
    this.moves = MAX_MOVES_PER_ITEM;
  }

  /** Adds an event; an event that can't be used ends the stream. */
  accept(
    event: Piece,
    terms: { minVersion: number; singleVersion: boolean },
  ): Lost | undefined {
    if (!this.output.follows(event)) {
      const message = `Event ${event.number} after ${this.output.last}`;
      return { loss: Loss.Broken, message };
    }
    const next = this.output.with(event);
    if (next.satisfies(terms)) {
      this.output = next;
      return undefined;
    }
    // What an unfit version made can't be part of the text.
    if (terms.singleVersion) this.output = new ItemOutput();
    return {
      loss: Loss.NotRun,
      message: `Weight version ${event.weightVersion} does not fit`,
    };
  }

  /** Takes note of a stream that broke off. */
  lost(upstream: string, { loss }: Lost): void {
    this.lostAttempts += 1;
    if (loss === Loss.Cancelled) this.moves += 1;
    if (loss === Loss.Failed) this.failures += 1;
    const avoid = isUnrun(loss) || loss === Loss.Broken || loss === Loss.Silent;
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
