/**
 * What this daemon knows of all shards, from its own keepers and from its
 * neighbours.
 *
 * @module
 */

import type { Clock, GossipSection } from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";
import { type ShardSummary, summariesBody } from "./messages.ts";
import { Offers } from "./offers.ts";
import type { Elsewhere, Presence } from "./queue.ts";

/** A summary that didn't change for longer is of a keeper that is gone. */
const FORGET_MS = 15_000;

interface Kept {
  readonly summary: ShardSummary;
  readonly at: number;
}

/** The newest summary of each shard's keeper. */
export class Summaries implements GossipSection {
  readonly #clock: Clock;
  readonly #kept = new Map<string, Kept>();
  readonly #offers: Offers;

  constructor(options: { clock: Clock; peers: Peers }) {
    this.#clock = options.clock;
    this.#offers = new Offers(options);
  }

  /** Replaces what a keeper of this daemon tells. */
  publish(summary: ShardSummary): void {
    this.#kept.set(summary.keeper, { summary, at: this.#clock.now() });
  }

  /** The newest summary of a shard. */
  of(shard: string): ShardSummary | undefined {
    let newest: Kept | undefined;
    for (const kept of this.#kept.values()) {
      if (kept.summary.shard !== shard) continue;
      if (newest === undefined || kept.at > newest.at) newest = kept;
    }
    return newest?.summary;
  }

  offer(peer: string): unknown {
    this.#forget();
    const all = [...this.#kept.values()].map(({ summary }) => summary);
    const summaries = this.#offers.news(peer, all, {
      key: ({ keeper }) => keeper,
      version: ({ seq }) => seq,
    });
    return summaries.length === 0 ? undefined : { summaries };
  }

  accept(body: unknown, peer: string): void {
    for (const summary of summariesBody.parse(body).summaries) {
      this.#offers.heard(peer, summary.keeper, summary.seq);
      const known = this.#kept.get(summary.keeper)?.summary;
      if (known !== undefined && known.seq >= summary.seq) continue;
      this.#kept.set(summary.keeper, { summary, at: this.#clock.now() });
    }
  }

  forget(peer: string): void {
    this.#offers.forget(peer);
  }

  #forget(): void {
    const now = this.#clock.now();
    for (const [keeper, { at }] of this.#kept) {
      if (now - at > FORGET_MS) this.#kept.delete(keeper);
    }
  }
}

/** What the tenants have in all of these shards together. */
export function loadOfOtherShards(
  shards: readonly Pick<ShardSummary, "slots" | "tenants">[],
): Elsewhere {
  const tenants = new Map<string, Presence>();
  for (const shard of shards) {
    for (const [tenant, presence] of Object.entries(shard.tenants)) {
      const known = tenants.get(tenant);
      tenants.set(tenant, {
        weight: presence.weight,
        running: presence.running + (known?.running ?? 0),
        waiting: presence.waiting + (known?.waiting ?? 0),
      });
    }
  }
  const slots = shards.reduce((sum, shard) => sum + shard.slots, 0);
  return { slots, tenants };
}
