/**
 * The output of one item so far: the data of its events and the weight versions
 * that generated them. Outputs are immutable; appending an event returns a new
 * one.
 *
 * @module
 */

import type { StreamEvent } from "../outside/mod.ts";

/** The events of one item received so far. */
export class ItemOutput {
  /** Data of the events in order. */
  readonly lines: readonly string[];
  /** Number of the last event; undefined before the first. */
  readonly last: number | undefined;
  /** Weight versions that generated an event, oldest first. */
  readonly versions: readonly number[];
  /** Whether the stream ended after the last event. */
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

  /** A copy that is marked as complete. */
  ended(): ItemOutput {
    return new ItemOutput({ ...this, whole: true });
  }

  /** Data of all events, one event per line. */
  get text(): string {
    return this.lines.join("\n");
  }

  /** Whether an event directly follows the last; any event may be the first. */
  follows({ number }: StreamEvent): boolean {
    return this.last === undefined || number === this.last + 1;
  }

  /** A copy with one more event. */
  with({ number, text, weightVersion }: StreamEvent): ItemOutput {
    const known = this.versions.includes(weightVersion);
    return new ItemOutput({
      lines: [...this.lines, text],
      last: number,
      versions: known
        ? this.versions
        : [...this.versions, weightVersion].sort((a, b) => a - b),
    });
  }

  /** Whether a result may contain text of all these weight versions. */
  satisfies(terms: { minVersion: number; singleVersion: boolean }): boolean {
    if (terms.singleVersion && this.versions.length > 1) return false;
    return this.versions.every((version) => version >= terms.minVersion);
  }
}
