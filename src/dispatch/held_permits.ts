/**
 * The permits that this daemon holds. They are renewed at their leaders while
 * in use, and released in batches.
 *
 * @module
 */

import { type Clock, Reason } from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";
import type { Fleet } from "./fleet.ts";
import {
  Message,
  type PermitEnd,
  renewAnswer,
  type ReportedPermit,
} from "./messages.ts";
import { type Demand, Outcome, type Permit } from "./mod.ts";
import { type Quarantine, RunEnd } from "./quarantine.ts";
import type { StatedLoads } from "./stated_loads.ts";

/** Timeout of messages about permits in use. */
const NOTIFICATION_TIMEOUT_MS = 1000;

/** Attempts to release a permit at its leader; then its lease expires. */
const RELEASE_ATTEMPTS = 3;

/** Pause before a release is sent again. */
const RELEASE_RETRY_MS = 200;

/** A permit as it was granted to this daemon. */
export interface PermitGrant {
  readonly permit: string;
  readonly ticket: string;
  readonly shard: string;
  /** VM of the leader that granted it. */
  readonly leader: string;
  readonly upstream: string;
  readonly address: string;
  readonly demand: Demand;
  /** Whether the request runs alone on its upstream. */
  readonly isolated: boolean;
}

interface HeldPermit extends PermitGrant {
  readonly grantedAt: number;
  readonly leaving: AbortController;
}

/** The permits that this daemon holds. */
export class HeldPermits {
  readonly #clock: Clock;
  readonly #peers: Peers;
  readonly #quarantine: Quarantine;
  readonly #statedLoads: StatedLoads | undefined;
  readonly #permits = new Map<string, HeldPermit>();
  /** Releases that are still to be sent, by leader. */
  readonly #ends = new Map<string, PermitEnd[]>();
  #fleet: Fleet;

  constructor(options: {
    clock: Clock;
    peers: Peers;
    quarantine: Quarantine;
    fleet: Fleet;
    /** What upstreams stated to this daemon. */
    statedLoads?: StatedLoads;
  }) {
    this.#clock = options.clock;
    this.#peers = options.peers;
    this.#quarantine = options.quarantine;
    this.#statedLoads = options.statedLoads;
    this.#fleet = options.fleet;
  }

  /** Number of permits in use. */
  get size(): number {
    return this.#permits.size;
  }

  /** Replaces the view of the upstreams; signals users of leaving ones. */
  setFleet(fleet: Fleet): void {
    this.#fleet = fleet;
    for (const held of this.#permits.values()) {
      if (fleet.upstream(held.upstream)?.leaving) held.leaving.abort();
    }
  }

  /** Starts the use of a granted permit. */
  start(grant: PermitGrant): Permit {
    const leaving = new AbortController();
    this.#permits.set(grant.permit, {
      ...grant,
      leaving,
      grantedAt: this.#clock.now(),
    });
    if (this.#fleet.upstream(grant.upstream)?.leaving) leaving.abort();
    return {
      target: { id: grant.upstream, address: grant.address },
      leaving: leaving.signal,
      release: (outcome, tokens) =>
        this.#release(grant.permit, outcome, tokens),
    };
  }

  /** Permits in use on upstreams of a shard. */
  held(shard: string): readonly ReportedPermit[] {
    return [...this.#permits.values()]
      .filter((held) => this.#shardOf(held) === shard)
      .map((held) => this.#reportOf(held));
  }

  /** Renews all permits in use, with one message to each leader. */
  renew(): void {
    const byLeader = new Map<string, Record<string, string[]>>();
    for (const held of this.#permits.values()) {
      const shard = this.#shardOf(held);
      for (const leader of this.#leadersOf(held)) {
        const shards = byLeader.get(leader) ?? {};
        byLeader.set(leader, shards);
        (shards[shard] ??= []).push(held.permit);
      }
    }
    // Sent in parallel: a leader that doesn't answer must not delay the others.
    for (const [leader, shards] of byLeader) {
      void this.#renewAt(leader, shards);
    }
  }

  async #renewAt(
    leader: string,
    shards: Readonly<Record<string, readonly string[]>>,
  ): Promise<void> {
    const answer = await this.#peers.ask(leader, Message.Renew, { shards }, {
      timeoutMs: NOTIFICATION_TIMEOUT_MS,
    });
    // The next renewal includes the same permits.
    if (answer.err) return;
    const parsed = renewAnswer.safeParse(answer.val);
    if (!parsed.success) return;
    const byShard = new Map<string, ReportedPermit[]>();
    for (const permit of parsed.data.unknown) {
      const held = this.#permits.get(permit);
      if (held === undefined) continue;
      const shard = this.#shardOf(held);
      byShard.set(shard, [...byShard.get(shard) ?? [], this.#reportOf(held)]);
    }
    for (const [shard, holdings] of byShard) {
      await this.#peers.ask(leader, Message.Adopt, { shard, holdings }, {
        timeoutMs: NOTIFICATION_TIMEOUT_MS,
      });
    }
  }

  #release(permit: string, outcome: Outcome, tokens: number): void {
    const held = this.#permits.get(permit);
    if (held === undefined) return;
    this.#permits.delete(permit);
    this.#suspectRequest(held, outcome);
    const load = this.#statedLoads?.reported(held.upstream);
    const end = {
      shard: this.#shardOf(held),
      permit,
      outcome,
      tokens,
      ...load === undefined ? {} : { load },
    };
    for (const leader of this.#leadersOf(held)) this.#queueEnd(leader, end);
  }

  /** Suspects a request immediately, before it is sent to another leader. */
  #suspectRequest(held: HeldPermit, outcome: Outcome): void {
    if (outcome !== Outcome.Broken) return;
    const { permit, upstream, demand, isolated, grantedAt } = held;
    // Connections to an upstream that leaves may end without a crash.
    if (this.#fleet.upstream(upstream)?.leaving) return;
    this.#quarantine.record(demand.fingerprint, {
      permit,
      upstream,
      end: RunEnd.Broken,
      isolated,
      ranMs: this.#clock.now() - grantedAt,
    });
  }

  /** Queues a release; one message at a time carries all that are queued. */
  #queueEnd(leader: string, end: PermitEnd): void {
    const waiting = this.#ends.get(leader);
    if (waiting !== undefined) {
      waiting.push(end);
      return;
    }
    this.#ends.set(leader, [end]);
    queueMicrotask(() => void this.#sendEnds(leader));
  }

  async #sendEnds(leader: string): Promise<void> {
    for (let attempt = 0; attempt < RELEASE_ATTEMPTS;) {
      const ends = this.#ends.get(leader) ?? [];
      if (ends.length === 0) break;
      this.#ends.set(leader, []);
      const answer = await this.#peers.ask(leader, Message.Release, { ends }, {
        timeoutMs: NOTIFICATION_TIMEOUT_MS,
      });
      if (answer.ok) {
        attempt = 0;
        continue;
      }
      // A repeated release is harmless: the leader no longer knows the permit.
      this.#ends.set(leader, [...ends, ...this.#ends.get(leader) ?? []]);
      attempt += 1;
      if (answer.val.reason === Reason.Cancelled) break;
      await this.#clock.sleep(RELEASE_RETRY_MS);
    }
    this.#ends.delete(leader);
  }

  /** The shard's current leader, and the one that granted the permit. */
  #leadersOf(held: HeldPermit): ReadonlySet<string> {
    const owner = this.#peers.rankedForDuty(this.#shardOf(held))[0]?.vm;
    const granter = this.#peers.members()
      .some(({ vm }) => vm === held.leader);
    return new Set([
      ...(owner === undefined ? [] : [owner]),
      ...(granter ? [held.leader] : []),
    ]);
  }

  /** The shard that the permit's upstream belongs to now. */
  #shardOf(held: HeldPermit): string {
    return this.#fleet.shardOf(held.upstream)?.name ?? held.shard;
  }

  #reportOf(
    { permit, ticket, upstream, demand, grantedAt, isolated }: HeldPermit,
  ): ReportedPermit {
    return {
      permit,
      ticket,
      upstream,
      isolated,
      heldMs: this.#clock.now() - grantedAt,
      demand: {
        ...demand,
        prefixes: [],
        exclude: [],
        avoid: [],
      },
    };
  }
}
