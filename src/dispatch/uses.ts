/**
 * The permits that this daemon holds: renewed at their keepers while they are
 * in use, and given back in groups.
 *
 * @module
 */

import { type Clock, Reason } from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";
import type { Fleet } from "./fleet.ts";
import { type End, type Held, Message, renewAnswer } from "./messages.ts";
import { type Demand, Outcome, type Permit } from "./mod.ts";
import { type Quarantine, Suspicion } from "./quarantine.ts";

/** Time-out of messages about permits in use. */
const NOTICE_TIMEOUT_MS = 1000;

/** Attempts to tell a keeper of a permit's end; then its lease ends it. */
const RELEASE_ATTEMPTS = 3;

/** Pause before a permit's end is told again. */
const RELEASE_RETRY_MS = 200;

/** A permit in use. */
export interface Use {
  readonly permit: string;
  readonly ticket: string;
  readonly shard: string;
  /** VM of the daemon that granted it. */
  readonly keeper: string;
  readonly upstream: string;
  readonly address: string;
  readonly demand: Demand;
}

interface Kept extends Use {
  readonly grantedAt: number;
  /** Whether it was a suspect when it got the permit, so that it ran alone. */
  readonly alone: boolean;
  readonly leaving: AbortController;
}

/** The permits that this daemon holds. */
export class Uses {
  readonly #clock: Clock;
  readonly #peers: Peers;
  readonly #quarantine: Quarantine;
  readonly #kept = new Map<string, Kept>();
  /** Ends that each keeper is yet to be told of. */
  readonly #ends = new Map<string, End[]>();
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
  start(use: Use): Permit {
    const leaving = new AbortController();
    this.#kept.set(use.permit, {
      ...use,
      leaving,
      alone: this.#suspected(use.demand),
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
  held(shard: string): readonly Held[] {
    return [...this.#kept.values()]
      .filter((kept) => this.#shardOf(kept) === shard)
      .map((kept) => this.#told(kept));
  }

  /** Renews all permits in use, with one message to each keeper. */
  renew(): void {
    const byKeeper = new Map<string, Record<string, string[]>>();
    for (const kept of this.#kept.values()) {
      const shard = this.#shardOf(kept);
      for (const keeper of this.#keepers(kept)) {
        const shards = byKeeper.get(keeper) ?? {};
        byKeeper.set(keeper, shards);
        (shards[shard] ??= []).push(kept.permit);
      }
    }
    // A keeper that doesn't answer holds up no renewal at another.
    for (const [keeper, shards] of byKeeper) {
      void this.#renewAt(keeper, shards);
    }
  }

  async #renewAt(
    keeper: string,
    shards: Readonly<Record<string, readonly string[]>>,
  ): Promise<void> {
    const answer = await this.#peers.ask(keeper, Message.Renew, { shards }, {
      timeoutMs: NOTICE_TIMEOUT_MS,
    });
    // The next renewal repeats what this one could not tell.
    if (answer.err) return;
    const parsed = renewAnswer.safeParse(answer.val);
    if (!parsed.success) return;
    const byShard = new Map<string, Held[]>();
    for (const permit of parsed.data.unknown) {
      const kept = this.#kept.get(permit);
      if (kept === undefined) continue;
      const shard = this.#shardOf(kept);
      byShard.set(shard, [...byShard.get(shard) ?? [], this.#told(kept)]);
    }
    for (const [shard, holdings] of byShard) {
      await this.#peers.ask(keeper, Message.Adopt, { shard, holdings }, {
        timeoutMs: NOTICE_TIMEOUT_MS,
      });
    }
  }

  #release(permit: string, outcome: Outcome, tokens: number): void {
    const kept = this.#kept.get(permit);
    if (kept === undefined) return;
    this.#kept.delete(permit);
    this.#blame(kept, outcome);
    const end = { shard: this.#shardOf(kept), permit, outcome, tokens };
    for (const keeper of this.#keepers(kept)) this.#tell(keeper, end);
  }

  /** Blames a request at once, before it may go to another keeper. */
  #blame(kept: Kept, outcome: Outcome): void {
    if (outcome !== Outcome.Broken) return;
    const { upstream, demand, alone, grantedAt } = kept;
    if (this.#fleet.upstream(upstream)?.leaving) return;
    if (alone && this.#suspected(demand)) {
      this.#quarantine.convict(demand.fingerprint, upstream);
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
  #tell(keeper: string, end: End): void {
    const waiting = this.#ends.get(keeper);
    if (waiting !== undefined) {
      waiting.push(end);
      return;
    }
    this.#ends.set(keeper, [end]);
    queueMicrotask(() => void this.#send(keeper));
  }

  async #send(keeper: string): Promise<void> {
    for (let attempt = 0; attempt < RELEASE_ATTEMPTS;) {
      const ends = this.#ends.get(keeper) ?? [];
      if (ends.length === 0) break;
      this.#ends.set(keeper, []);
      const answer = await this.#peers.ask(keeper, Message.Release, { ends }, {
        timeoutMs: NOTICE_TIMEOUT_MS,
      });
      if (answer.ok) {
        attempt = 0;
        continue;
      }
      // Telling an end twice is harmless: the keeper knows the permit once.
      this.#ends.set(keeper, [...ends, ...this.#ends.get(keeper) ?? []]);
      attempt += 1;
      if (answer.val.reason === Reason.Cancelled) break;
      await this.#clock.sleep(RELEASE_RETRY_MS);
    }
    this.#ends.delete(keeper);
  }

  /** The shard's keeper now, and the one that granted the permit. */
  #keepers(kept: Kept): ReadonlySet<string> {
    const owner = this.#peers.ranked(this.#shardOf(kept))[0]?.vm;
    const granter = this.#peers.members()
      .some(({ vm }) => vm === kept.keeper);
    return new Set([
      ...(owner === undefined ? [] : [owner]),
      ...(granter ? [kept.keeper] : []),
    ]);
  }

  /** The shard that the permit's upstream is in now. */
  #shardOf(kept: Kept): string {
    return this.#fleet.shardOf(kept.upstream)?.name ?? kept.shard;
  }

  #told({ permit, ticket, upstream, demand, grantedAt }: Kept): Held {
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
