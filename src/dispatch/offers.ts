/**
 * Tracks which version of each item a gossip neighbour has, because it was sent
 * there or received from there, so that gossip carries only changes. A message
 * may be lost with its link, so everything is sent again over a new link, and
 * at a fixed interval.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";

/** Time after which everything is sent again. */
const FULL_RESEND_INTERVAL_MS = 60_000;

interface PeerVersions {
  readonly incarnation: string;
  readonly until: number;
  readonly versions: Map<string, number>;
}

/** The versions that peers have, by peer and key. */
export class GossipOffers {
  readonly #clock: Clock;
  readonly #peers: Peers;
  readonly #byPeer = new Map<string, PeerVersions>();

  constructor(options: { clock: Clock; peers: Peers }) {
    this.#clock = options.clock;
    this.#peers = options.peers;
  }

  /** Those of `items` that `peer` lacks in this version; notes them as sent. */
  takeUnsent<T>(peer: string, items: readonly T[], options: {
    key: (item: T) => string;
    version: (item: T) => number;
  }): readonly T[] {
    const { key, version } = options;
    const { versions } = this.#to(peer);
    const unsent = items
      .filter((item) => (versions.get(key(item)) ?? 0) < version(item));
    for (const item of unsent) versions.set(key(item), version(item));
    return unsent;
  }

  /** Notes that this version was received from `peer`. */
  received(peer: string, key: string, version: number): void {
    const { versions } = this.#to(peer);
    versions.set(key, Math.max(versions.get(key) ?? 0, version));
  }

  /** Discards the versions noted for `peer`, as its link is a new one. */
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
