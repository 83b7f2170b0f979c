/**
 * The requests of this daemon that wait for a permit. A leader's summary is up to
 * some seconds old, so they are counted here too, and subtracted from the
 * summary's figure as far as that includes them.
 *
 * @module
 */

/** This daemon's waits for one model at one shard. */
export interface WaitCount {
  readonly waiting: number;
  /** Those that the latest summary of the shard includes. */
  readonly included: number;
}

interface Entry {
  waiting: number;
  included: number;
  summary: string;
}

const NO_WAITS: WaitCount = { waiting: 0, included: 0 };

/** Counts the waits of this daemon by shard and model. */
export class OwnWaits {
  readonly #entries = new Map<string, Entry>();

  /**
   * Counts a wait until the returned function is called. `summary` identifies
   * the shard's latest summary, which doesn't include the wait.
   */
  add(shard: string, model: string, summary: string): () => void {
    const key = keyOf(shard, model);
    this.count(shard, model, summary);
    const entry = this.#entries.get(key) ??
      { waiting: 0, included: 0, summary };
    this.#entries.set(key, entry);
    entry.waiting += 1;
    return () => {
      entry.waiting -= 1;
      // Callers choose the names of models, so no entry stays without a wait.
      if (entry.waiting === 0) this.#entries.delete(key);
    };
  }

  /**
   * The waits at a shard. `summary` identifies its latest summary; those that
   * wait when it is first seen here count as included in it.
   */
  count(shard: string, model: string, summary: string): WaitCount {
    const entry = this.#entries.get(keyOf(shard, model));
    if (entry === undefined) return NO_WAITS;
    if (entry.summary !== summary) {
      entry.summary = summary;
      entry.included = entry.waiting;
    }
    return entry;
  }
}

function keyOf(shard: string, model: string): string {
  return `${shard} ${model}`;
}
