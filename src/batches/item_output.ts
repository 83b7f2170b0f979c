/**
 * What was generated of one item so far. A generation is immutable; each event
 * makes a new one, and an event that doesn't follow the last is refused.
 *
 * @module
 */

import type { Piece } from "../outside/mod.ts";

/** The events of one item's text, as far as they came. */
export class ItemOutput {
  /** Data of the events in order. */
  readonly lines: readonly string[];
  /** Number of the last event; none before the first. */
  readonly last: number | undefined;
  /** Versions that made an event, the oldest first. */
  readonly versions: readonly number[];
  /** Whether the stream ended after its last event. */
  readonly whole: boolean;

  constructor(options: {
    lines?: readonly string[];
    last?: number;
    versions?: readonly number[];
    whole?: boolean;
  } = {}) {
    this.lines = options.lines ?? [];
    this.last = options.last;
    this.versions = options.versions ?? [];
    this.whole = options.whole ?? false;
  }

  /** The generation, known to have no more events. */
  ended(): ItemOutput {
    return new ItemOutput({ ...this, whole: true });
  }

  /** Data of all events, one a line. */
  get text(): string {
    return this.lines.join("\n");
  }

  /** Whether an event goes on where the last one ended. */
  follows({ number }: Piece): boolean {
    return this.last === undefined || number === this.last + 1;
  }

  /** The generation with one event more. */
  with({ number, text, weightVersion }: Piece): ItemOutput {
    const known = this.versions.includes(weightVersion);
    return new ItemOutput({
      lines: [...this.lines, text],
      last: number,
      versions: known
        ? this.versions
        : [...this.versions, weightVersion].sort((a, b) => a - b),
    });
  }

  /** Whether every version that made it may make a part of a result. */
  satisfies(terms: { minVersion: number; singleVersion: boolean }): boolean {
    if (terms.singleVersion && this.versions.length > 1) return false;
    return this.versions.every((version) => version >= terms.minVersion);
  }
}
