/**
 * Remembers what was offered to each neighbour, so that gossip carries only
 * what changed. A link may lose an offer: all is offered again now and then,
 * and at once to a peer that has started again.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";

/** Time after which everything is offered again. */
const REPEAT_MS = 5000;

interface Offered {
  readonly incarnation: string;
  readonly until: number;
  readonly versions: Map<string, number>;
}

/** Versions offered lately, by peer and key. */
export class Offers {
  readonly #clock: Clock;
  readonly #peers: Peers;
  readonly #offered = new Map<string, Offered>();

  constructor(options: { clock: Clock; peers: Peers }) {
    this.#clock = options.clock;
    this.#peers = options.peers;
  }

  /** Of `items`, those that `peer` was not offered in this version lately. */
  news<T>(peer: string, items: readonly T[], options: {
    key: (item: T) => string;
    version: (item: T) => number;
  }): readonly T[] {
    const { key, version } = options;
    const { versions } = this.#to(peer);
    const news = items
      .filter((item) => (versions.get(key(item)) ?? 0) < version(item));
    for (const item of news) versions.set(key(item), version(item));
    return news;
  }

  #to(peer: string): Offered {
    const now = this.#clock.now();
    const known = this.#offered.get(peer);
    const incarnation = this.#peers.members()
      .find(({ vm }) => vm === peer)?.incarnation ?? "";
    const same = known?.incarnation === incarnation;
    if (known !== undefined && same && now < known.until) return known;
    const offered = {
      incarnation,
      until: now + REPEAT_MS,
      versions: new Map<string, number>(),
    };
    this.#offered.set(peer, offered);
    return offered;
  }
}
