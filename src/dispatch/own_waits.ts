/**
 * The requests of this daemon that wait for a permit. A leader's summary is up to
 * some seconds old, so they are counted here too.
 *
 * @module
 */

/** Counts the waits of this daemon by shard and model. */
export class OwnWaits {
  readonly #counts = new Map<string, number>();

  /** Counts a wait until the returned function is called. */
  add(shard: string, model: string): () => void {
    const key = keyOf(shard, model);
    this.#counts.set(key, (this.#counts.get(key) ?? 0) + 1);
    return () => {
      const left = (this.#counts.get(key) ?? 1) - 1;
      // Callers choose the names of models, so no entry stays without a wait.
      if (left > 0) this.#counts.set(key, left);
      else this.#counts.delete(key);
    };
  }

  /** The waits at a shard. */
  count(shard: string, model: string): number {
    return this.#counts.get(keyOf(shard, model)) ?? 0;
  }
}

function keyOf(shard: string, model: string): string {
  return `${shard} ${model}`;
}
