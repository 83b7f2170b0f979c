/**
 * Where clients and stand-ins write what they saw, by one clock.
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

  /** Records an event of the client `at`, now. */
  record<K extends keyof KindFields>(
    kind: K,
    event: KindFields[K] & { at: string },
  ): void {
    const t = performance.timeOrigin + performance.now();
    this.#history.push({ ...event, t, kind });
  }
}
