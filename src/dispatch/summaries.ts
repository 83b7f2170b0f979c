/**
 * What this daemon knows of all shards' load and service, from its own
 * keepers and from its neighbours.
 *
 * @module
 */

import type { Clock, GossipSection } from "../kernel/mod.ts";
import { summariesBody, type Summary } from "./messages.ts";

/** A summary that didn't change for longer is of a keeper that is gone. */
const FORGET_MS = 15_000;

interface Kept {
  readonly summary: Summary;
  readonly at: number;
}

/** Tokens that a tenant was served by another shard of a pool. */
export interface Service {
  readonly pool: string;
  readonly shard: string;
  readonly tenant: string;
  readonly tokens: number;
}

/** The newest summary of each shard's keeper. */
export class Summaries implements GossipSection {
  readonly #clock: Clock;
  readonly #kept = new Map<string, Kept>();
  readonly #offered = new Map<string, Map<string, number>>();
  readonly #onService: (service: Service) => void;

  constructor(options: {
    clock: Clock;
    onService?: (service: Service) => void;
  }) {
    this.#clock = options.clock;
    this.#onService = options.onService ?? (() => {});
  }

  /** Replaces what a keeper of this daemon tells. */
  publish(summary: Summary): void {
    this.#kept.set(summary.keeper, { summary, at: this.#clock.now() });
  }

  /** The newest summary of a shard. */
  of(shard: string): Summary | undefined {
    let newest: Kept | undefined;
    for (const kept of this.#kept.values()) {
      if (kept.summary.shard !== shard) continue;
      if (newest === undefined || kept.at > newest.at) newest = kept;
    }
    return newest?.summary;
  }

  offer(peer: string): unknown {
    this.#forget();
    const offered = this.#offered.get(peer) ?? new Map<string, number>();
    this.#offered.set(peer, offered);
    const news = [...this.#kept.values()]
      .map(({ summary }) => summary)
      .filter(({ keeper, seq }) => (offered.get(keeper) ?? 0) < seq);
    for (const { keeper, seq } of news) offered.set(keeper, seq);
    return news.length === 0 ? undefined : { summaries: news };
  }

  accept(body: unknown): void {
    for (const summary of summariesBody.parse(body).summaries) {
      const known = this.#kept.get(summary.keeper)?.summary;
      if (known !== undefined && known.seq >= summary.seq) continue;
      this.#kept.set(summary.keeper, { summary, at: this.#clock.now() });
      // A keeper's first summary tells what it served before we knew it.
      if (known !== undefined) this.#serve(known, summary);
    }
  }

  /** Forgets what was offered to peers that are gone. */
  retain(peers: ReadonlySet<string>): void {
    for (const peer of this.#offered.keys()) {
      if (!peers.has(peer)) this.#offered.delete(peer);
    }
  }

  #serve(known: Summary, summary: Summary): void {
    const { pool, shard } = summary;
    for (const [tenant, total] of Object.entries(summary.served)) {
      const tokens = total - (known.served[tenant] ?? 0);
      if (tokens > 0) this.#onService({ pool, shard, tenant, tokens });
    }
  }

  #forget(): void {
    const now = this.#clock.now();
    for (const [keeper, { at }] of this.#kept) {
      if (now - at > FORGET_MS) this.#kept.delete(keeper);
    }
  }
}
