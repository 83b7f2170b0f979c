/**
 * Remembers what each neighbour has, because it was offered or because it told
 * of it, so that gossip carries only what is news there. A lost link may have
 * lost an offer: with a new one, and now and then, all is offered again.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";

/** Time after which everything is offered again. */
const FULL_RESEND_INTERVAL_MS = 60_000;

interface PeerVersions {
  readonly incarnation: string;
  readonly until: number;
  readonly versions: Map<string, number>;
}

/** Versions that peers have, by peer and key. */
export class GossipOffers {
  readonly #clock: Clock;
  readonly #peers: Peers;
  readonly #byPeer = new Map<string, PeerVersions>();

  constructor(options: { clock: Clock; peers: Peers }) {
    this.#clock = options.clock;
    this.#peers = options.peers;
  }

  /** Of `items`, those that `peer` was not offered in this version lately. */
  takeUnsent<T>(peer: string, items: readonly T[], options: {
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

  /** Notes that `peer` told of this version itself. */
  received(peer: string, key: string, version: number): void {
    const { versions } = this.#to(peer);
    versions.set(key, Math.max(versions.get(key) ?? 0, version));
  }

  /** Forgets what `peer` has: its link is a new one. */
  forget(peer: string): void {
    this.#byPeer.delete(peer);
  }

  #to(peer: string): PeerVersions {
    const now = this.#clock.now();
    const known = this.#byPeer.get(peer);
    const incarnation = this.#peers.members()
      .find(({ vm }) => vm === peer)?.incarnation ?? "";
    const same = known?.incarnation === incarnation;
    if (known !== undefined && same && now < known.until) return known;
    const offered = {
      incarnation,
      until: now + FULL_RESEND_INTERVAL_MS,
      versions: new Map<string, number>(),
    };
    this.#byPeer.set(peer, offered);
    return offered;
  }
}
