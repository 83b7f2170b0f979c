/**
 * The latest load of all shards: from the leaders on this daemon, and by gossip
 * from its neighbours.
 *
 * @module
 */

import type { Clock, GossipSection } from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";
import { type ShardSummary, summariesBody } from "./messages.ts";
import { GossipOffers } from "./offers.ts";
import type { OrganisationLoad, OtherShards } from "./queue.ts";

/** Time without a new summary after which a leader is considered gone. */
const SUMMARY_TTL_MS = 15_000;

interface ReceivedSummary {
  readonly summary: ShardSummary;
  readonly at: number;
}

/** The latest summary of each shard leader. */
export class ShardSummaries implements GossipSection {
  readonly #clock: Clock;
  readonly #received = new Map<string, ReceivedSummary>();
  readonly #offers: GossipOffers;

  constructor(options: { clock: Clock; peers: Peers }) {
    this.#clock = options.clock;
    this.#offers = new GossipOffers(options);
  }

  /** Replaces the summary of a leader on this daemon. */
  publish(summary: ShardSummary): void {
    this.#received.set(summary.keeper, { summary, at: this.#clock.now() });
  }

  /** The latest summary of a shard. */
  latest(shard: string): ShardSummary | undefined {
    let newest: ReceivedSummary | undefined;
    for (const received of this.#received.values()) {
      if (received.summary.shard !== shard) continue;
      if (newest === undefined || received.at > newest.at) newest = received;
    }
    return newest?.summary;
  }

  offer(peer: string): unknown {
    this.#dropExpired();
    const all = [...this.#received.values()].map(({ summary }) => summary);
    const summaries = this.#offers.takeUnsent(peer, all, {
      key: ({ keeper }) => keeper,
      version: ({ seq }) => seq,
    });
    return summaries.length === 0 ? undefined : { summaries };
  }

  accept(body: unknown, peer: string): void {
    for (const summary of summariesBody.parse(body).summaries) {
      this.#offers.received(peer, summary.keeper, summary.seq);
      const known = this.#received.get(summary.keeper)?.summary;
      if (known !== undefined && known.seq >= summary.seq) continue;
      this.#received.set(summary.keeper, { summary, at: this.#clock.now() });
    }
  }

  forget(peer: string): void {
    this.#offers.forget(peer);
  }

  #dropExpired(): void {
    const now = this.#clock.now();
    for (const [leader, { at }] of this.#received) {
      if (now - at > SUMMARY_TTL_MS) this.#received.delete(leader);
    }
  }
}

/** Slots, and the load of each organisation, summed over these shards. */
export function loadOfOtherShards(
  shards: readonly Pick<ShardSummary, "slots" | "tenants">[],
): OtherShards {
  const organisations = new Map<string, OrganisationLoad>();
  for (const shard of shards) {
    for (const [organisationId, load] of Object.entries(shard.tenants)) {
      const known = organisations.get(organisationId);
      organisations.set(organisationId, {
        weight: load.weight,
        running: load.running + (known?.running ?? 0),
        waiting: load.waiting + (known?.waiting ?? 0),
      });
    }
  }
  const slots = shards.reduce((sum, shard) => sum + shard.slots, 0);
  return { slots, organisations };
}
