/**
 * The events that actually happened at a stand-in, recorded as JSON lines.
 *
 * @module
 */

import { appendFileSync } from "node:fs";

/** One event at one stand-in. */
export interface HistoryEvent {
  /** Unix time in milliseconds, with fractions. */
  readonly t: number;
  /** Name of the stand-in that recorded the event. */
  readonly at: string;
  readonly kind: string;
  readonly [field: string]: unknown;
}

/** Appends events to a file, to a callback, or to both. */
export class HistoryWriter {
  readonly #at: string;
  readonly #file: string;
  readonly #sink: (event: HistoryEvent) => void;

  constructor(options: {
    at: string;
    file?: string;
    sink?: (event: HistoryEvent) => void;
  }) {
    this.#at = options.at;
    this.#file = options.file ?? "";
    this.#sink = options.sink ?? (() => {});
  }

  /** Records an event; it is in the file when this returns. */
  record(kind: string, fields: Readonly<Record<string, unknown>> = {}): void {
    const t = performance.timeOrigin + performance.now();
    const event = { t, at: this.#at, kind, ...fields };
    if (this.#file !== "") {
      appendFileSync(this.#file, `${JSON.stringify(event)}\n`);
    }
    this.#sink(event);
  }
}
