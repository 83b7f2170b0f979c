/**
 * One item of a batch over all its streams.
 *
 * @module
 */

import { isUnrun, Loss, type Lost, type Piece } from "../outside/mod.ts";
import { fingerprintOf } from "../relay/attempts.ts";
import { Generation } from "./item_output.ts";
import type { Item } from "./mod.ts";

/** Slow upstreams that one item leaves: all may be slow in turn. */
const MAX_MOVES = 3;

/** One item on its way to a whole text. */
export class ItemCourse {
  readonly item: Item;
  readonly pool: string;
  /** When the item was first asked for, on the monotonic clock. */
  readonly since: number;
  /** Time on upstreams, in milliseconds. */
  ranMs = 0;
  /** The last upstream. */
  upstream = "";
  generation = new Generation();
  excluded: readonly string[] = [];
  sends = 0;
  /** Runs that ended in a failure of the item's own. */
  failures = 0;
  /** Upstreams that it left by itself. */
  moves = 0;
  #fingerprint: string | undefined;

  constructor(item: Item, options: { pool: string; now: number }) {
    this.item = item;
    this.pool = options.pool;
    this.since = options.now;
  }

  /** Whether it may leave a slow upstream once more. */
  get mayMove(): boolean {
    return this.moves < MAX_MOVES;
  }

  /** Keeps it where it is from now on, however slow that is. */
  stay(): void {
    this.moves = MAX_MOVES;
  }

  /** Adds an event; an event that can't be used ends the stream. */
  take(
    piece: Piece,
    terms: { minVersion: number; singleVersion: boolean },
  ): Lost | undefined {
    if (!this.generation.follows(piece)) {
      const message = `Event ${piece.number} after ${this.generation.last}`;
      return { loss: Loss.Broken, message };
    }
    const next = this.generation.with(piece);
    if (next.fits(terms)) {
      this.generation = next;
      return undefined;
    }
    // What an unfit version made can't be part of the text.
    if (terms.singleVersion) this.generation = new Generation();
    return {
      loss: Loss.NotRun,
      message: `Weight version ${piece.weightVersion} does not fit`,
    };
  }

  /** Takes note of a stream that broke off. */
  lost(upstream: string, { loss }: Lost): void {
    this.sends += 1;
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
