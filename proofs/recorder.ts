/**
 * Records events of a run's clients, on the same clock as the stand-ins.
 *
 * @module
 */

import type { HistoryEvent } from "../stand_ins/history.ts";
import type { KindFields } from "./events.ts";

/** Appends events to a history. */
export class Recorder {
  readonly #history: HistoryEvent[];

  constructor(options: { history: HistoryEvent[] }) {
    this.#history = options.history;
  }

  /** Records an event at the client `at` with the current time. */
  record<K extends keyof KindFields>(
    kind: K,
    event: KindFields[K] & { at: string },
  ): void {
    const t = performance.timeOrigin + performance.now();
    this.#history.push({ ...event, t, kind });
  }
}
