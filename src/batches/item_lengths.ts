/**
 * How many events an item is likely to have left, learned from how far the
 * trainers' hints were off for completed items.
 *
 * Answers hints that are right at the median only: an item that has outlived its
 * hint is probably one of the long ones, and has more left than a fresh one.
 *
 * @module
 */

/** Completed items that are remembered. */
const MAX_SAMPLES = 256;

/** Completed items before an expectation is given. */
const MIN_SAMPLES = 20;

/** Events of completed items against their hints. */
export class ItemLengths {
  /** Events per expected token, of items with a hint. */
  readonly #hinted = new Samples();
  /** Events of items without a hint. */
  readonly #unhinted = new Samples();

  /** Records a completed item. */
  record(expectedTokens: number, events: number): void {
    if (expectedTokens > 0) this.#hinted.add(events / expectedTokens);
    else this.#unhinted.add(events);
  }

  /**
   * Expected number of further events of an item that has had `events`;
   * undefined with too few completed items.
   */
  eventsLeft(expectedTokens: number, events: number): number | undefined {
    return expectedTokens > 0
      ? this.#hinted.meanExcess(events, expectedTokens)
      : this.#unhinted.meanExcess(events, 1);
  }
}

/** The newest values of a distribution. */
class Samples {
  #values: readonly number[] = [];

  add(value: number): void {
    this.#values = [...this.#values.slice(1 - MAX_SAMPLES), value];
  }

  /** Mean of what values scaled by `unit` exceed `reached` by, if they do. */
  meanExcess(reached: number, unit: number): number | undefined {
    if (this.#values.length < MIN_SAMPLES) return undefined;
    const excesses = this.#values
      .map((value) => value * unit - reached)
      .filter((excess) => excess > 0);
    const sum = excesses.reduce((total, excess) => total + excess, 0);
    return excesses.length === 0 ? 0 : sum / excesses.length;
  }
}
