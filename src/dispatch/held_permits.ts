/**
 * The permits that this daemon holds: renewed at their keepers while they are
 * in use, and given back in groups.
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
import { type Quarantine, Suspicion } from "./quarantine.ts";

/** Time-out of messages about permits in use. */
const NOTIFICATION_TIMEOUT_MS = 1000;

/** Attempts to tell a keeper of a permit's end; then its lease ends it. */
const RELEASE_ATTEMPTS = 3;

/** Pause before a permit's end is told again. */
const RELEASE_RETRY_MS = 200;

/** A permit in use. */
export interface PermitGrant {
  readonly permit: string;
  readonly ticket: string;
  readonly shard: string;
  /** VM of the daemon that granted it. */
  readonly leader: string;
  readonly upstream: string;
  readonly address: string;
  readonly demand: Demand;
}

interface HeldPermit extends PermitGrant {
  readonly grantedAt: number;
  /** Whether it was a suspect when it got the permit, so that it ran alone. */
  readonly isolated: boolean;
  readonly leaving: AbortController;
}

/** The permits that this daemon holds. */
export class HeldPermits {
  readonly #clock: Clock;
  readonly #peers: Peers;
  readonly #quarantine: Quarantine;
  readonly #kept = new Map<string, HeldPermit>();
  /** Ends that each keeper is yet to be told of. */
  readonly #ends = new Map<string, PermitEnd[]>();
  #fleet: Fleet;

  constructor(options: {
    clock: Clock;
    peers: Peers;
    quarantine: Quarantine;
    fleet: Fleet;
  }) {
    this.#clock = options.clock;
    this.#peers = options.peers;
    this.#quarantine = options.quarantine;
    this.#fleet = options.fleet;
  }

  /** Number of permits in use. */
  get size(): number {
    return this.#kept.size;
  }

  /** Takes in a new view of the upstreams; warns users of leaving ones. */
  setFleet(fleet: Fleet): void {
    this.#fleet = fleet;
    for (const kept of this.#kept.values()) {
      if (fleet.upstream(kept.upstream)?.leaving) kept.leaving.abort();
    }
  }

  /** Starts the use of a granted permit. */
  start(use: PermitGrant): Permit {
    const leaving = new AbortController();
    this.#kept.set(use.permit, {
      ...use,
      leaving,
      isolated: this.#suspected(use.demand),
      grantedAt: this.#clock.now(),
    });
    if (this.#fleet.upstream(use.upstream)?.leaving) leaving.abort();
    return {
      target: { id: use.upstream, address: use.address },
      leaving: leaving.signal,
      release: (outcome, tokens) => this.#release(use.permit, outcome, tokens),
    };
  }

  /** Permits in use on upstreams of a shard. */
  held(shard: string): readonly ReportedPermit[] {
    return [...this.#kept.values()]
      .filter((kept) => this.#shardOf(kept) === shard)
      .map((kept) => this.#reportOf(kept));
  }

  /** Renews all permits in use, with one message to each keeper. */
  renew(): void {
    const byLeader = new Map<string, Record<string, string[]>>();
    for (const kept of this.#kept.values()) {
      const shard = this.#shardOf(kept);
      for (const leader of this.#leadersOf(kept)) {
        const shards = byLeader.get(leader) ?? {};
        byLeader.set(leader, shards);
        (shards[shard] ??= []).push(kept.permit);
      }
    }
    // A keeper that doesn't answer holds up no renewal at another.
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
    // The next renewal repeats what this one could not tell.
    if (answer.err) return;
    const parsed = renewAnswer.safeParse(answer.val);
    if (!parsed.success) return;
    const byShard = new Map<string, ReportedPermit[]>();
    for (const permit of parsed.data.unknown) {
      const kept = this.#kept.get(permit);
      if (kept === undefined) continue;
      const shard = this.#shardOf(kept);
      byShard.set(shard, [...byShard.get(shard) ?? [], this.#reportOf(kept)]);
    }
    for (const [shard, holdings] of byShard) {
      await this.#peers.ask(leader, Message.Adopt, { shard, holdings }, {
        timeoutMs: NOTIFICATION_TIMEOUT_MS,
      });
    }
  }

  #release(permit: string, outcome: Outcome, tokens: number): void {
    const kept = this.#kept.get(permit);
    if (kept === undefined) return;
    this.#kept.delete(permit);
    this.#suspectRequest(kept, outcome);
    const end = { shard: this.#shardOf(kept), permit, outcome, tokens };
    for (const leader of this.#leadersOf(kept)) this.#queueEnd(leader, end);
  }

  /** Blames a request at once, before it may go to another keeper. */
  #suspectRequest(kept: HeldPermit, outcome: Outcome): void {
    if (outcome !== Outcome.Broken) return;
    const { upstream, demand, isolated, grantedAt } = kept;
    if (this.#fleet.upstream(upstream)?.leaving) return;
    if (isolated && this.#suspected(demand)) {
      this.#quarantine.quarantine(demand.fingerprint, upstream);
      return;
    }
    this.#quarantine.suspect(demand.fingerprint, {
      upstream,
      ranMs: this.#clock.now() - grantedAt,
    });
  }

  #suspected({ fingerprint }: Demand): boolean {
    return this.#quarantine.suspicion(fingerprint) === Suspicion.Suspect;
  }

  /** Queues an end for a keeper; one message at a time carries them all. */
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
      // Telling an end twice is harmless: the keeper knows the permit once.
      this.#ends.set(leader, [...ends, ...this.#ends.get(leader) ?? []]);
      attempt += 1;
      if (answer.val.reason === Reason.Cancelled) break;
      await this.#clock.sleep(RELEASE_RETRY_MS);
    }
    this.#ends.delete(leader);
  }

  /** The shard's keeper now, and the one that granted the permit. */
  #leadersOf(kept: HeldPermit): ReadonlySet<string> {
    const owner = this.#peers.ranked(this.#shardOf(kept))[0]?.vm;
    const granter = this.#peers.members()
      .some(({ vm }) => vm === kept.leader);
    return new Set([
      ...(owner === undefined ? [] : [owner]),
      ...(granter ? [kept.leader] : []),
    ]);
  }

  /** The shard that the permit's upstream is in now. */
  #shardOf(kept: HeldPermit): string {
    return this.#fleet.shardOf(kept.upstream)?.name ?? kept.shard;
  }

  #reportOf(
    { permit, ticket, upstream, demand, grantedAt }: HeldPermit,
  ): ReportedPermit {
    return {
      permit,
      ticket,
      upstream,
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
