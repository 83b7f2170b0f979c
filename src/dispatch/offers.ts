/**
 * Remembers what was offered to each neighbour, so that gossip carries only
 * what changed.
 *
 * @module
 */

/** Versions offered so far, by peer and key. */
export class Offers {
  readonly #offered = new Map<string, Map<string, number>>();

  /** Of `items`, those that `peer` was not offered in this version. */
  news<T>(peer: string, items: readonly T[], options: {
    key: (item: T) => string;
    version: (item: T) => number;
  }): readonly T[] {
    const { key, version } = options;
    const known = this.#offered.get(peer) ?? new Map<string, number>();
    const news = items
      .filter((item) => (known.get(key(item)) ?? 0) < version(item));
    // Only what still exists is remembered.
    this.#offered.set(
      peer,
      new Map(items.map((item) => [key(item), version(item)])),
    );
    return news;
  }

  /** Forgets what was offered to peers that are gone. */
  retain(peers: ReadonlySet<string>): void {
    for (const peer of this.#offered.keys()) {
      if (!peers.has(peer)) this.#offered.delete(peer);
    }
  }
}
