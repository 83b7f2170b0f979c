/**
 * The client side: selects a shard leader, waits there for a permit, and asks
 * the successor if the leader is lost.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import {
  type Clock,
  type Kernel,
  logger,
  Reason,
  type Refusal,
} from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";
import type { Fleet, Shard } from "./fleet.ts";
import {
  type AcquireAnswer,
  acquireAnswer,
  AcquireEnding,
  Message,
  notRun,
} from "./messages.ts";
import { type Demand, Outcome, type Permit } from "./mod.ts";
import { loadForModel } from "./model_capacity.ts";
import { Admission, type Quarantine } from "./quarantine.ts";
import {
  isBetterElsewhere,
  leastLoadedShard,
  preferredShard,
  selectShard,
} from "./shard_selection.ts";
import { thinPrefixes } from "./prefixes.ts";
import { isInUse } from "./shards.ts";
import type { ShardSummaries } from "./summaries.ts";
import type { HeldPermits } from "./held_permits.ts";

const log = logger("dispatch");

/** Wait for a leader's answer beyond the request's deadline. */
const ANSWER_MARGIN_MS = 500;

/** First and longest pause before a leader is asked again. */
const FIRST_RETRY_MS = 20;
const MAX_RETRY_MS = 500;

/** Timeout of the message that ends a wait. */
const CANCEL_TIMEOUT_MS = 2000;

/** Retry delay for callers when the pool has no usable upstream. */
const NO_UPSTREAM_RETRY_AFTER_MS = 1000;

/** How often a request that waits for a model looks at the other shards. */
const WAIT_REVIEW_INTERVAL_MS = 500;

/** Load added to a shard that has no upstream in this availability zone. */
const CROSS_ZONE_COST = 0.05;

/** The shard and leader at which a permit is requested. */
interface AcquireTarget {
  readonly shard: Shard;
  readonly leader: string;
  /** Whether a former leader named it, so that it serves in any case. */
  readonly insist: boolean;
}

/** Obtains permits for the requests of this daemon. */
export class EntryClient {
  readonly #kernel: Kernel;
  readonly #clock: Clock;
  readonly #peers: Peers;
  readonly #quarantine: Quarantine;
  readonly #summaries: ShardSummaries;
  readonly #heldPermits: HeldPermits;
  readonly #random: () => number;
  readonly #onRetry: (reason: Reason) => void;
  readonly #onMove: () => void;
  /** Requests that wait for a permit, by shard and model. */
  readonly #asked = new Map<string, number>();
  #fleet: Fleet;
  #count = 0;

  constructor(options: {
    kernel: Kernel;
    peers: Peers;
    quarantine: Quarantine;
    summaries: ShardSummaries;
    heldPermits: HeldPermits;
    fleet: Fleet;
    random?: () => number;
    onRetry?: (reason: Reason) => void;
    /** Called when a wait is moved to another shard. */
    onMove?: () => void;
  }) {
    this.#kernel = options.kernel;
    this.#clock = options.kernel.clock;
    this.#peers = options.peers;
    this.#quarantine = options.quarantine;
    this.#summaries = options.summaries;
    this.#heldPermits = options.heldPermits;
    this.#fleet = options.fleet;
    this.#random = options.random ?? Math.random;
    this.#onRetry = options.onRetry ?? (() => {});
    this.#onMove = options.onMove ?? (() => {});
  }

  /** Replaces the view of the upstreams. */
  setFleet(fleet: Fleet): void {
    this.#fleet = fleet;
  }

  /** Waits for a permit; nothing has run for a refused demand. */
  async acquire(
    demand: Demand,
    signal: AbortSignal,
  ): Promise<Result<Permit, Refusal>> {
    const startedAt = this.#clock.now();
    const endsAt = startedAt + demand.remainingMs;
    let retryMs = FIRST_RETRY_MS;
    let target: AcquireTarget | undefined;
    const refusedBy = new Set<string>();
    /** Upstreams that a leader granted and this daemon's list lacks. */
    const unlisted: string[] = [];
    for (;;) {
      const remaining = {
        ...demand,
        remainingMs: endsAt - this.#clock.now(),
        startInMs: demand.startInMs === undefined
          ? undefined
          : demand.startInMs - (this.#clock.now() - startedAt),
        // The leader may not know yet which upstreams leave or are evacuated,
        // and knows of no regions.
        exclude: [
          ...demand.exclude,
          ...this.#fleet.barred(demand),
          ...unlisted,
        ],
      };
      const refusal = this.#refusal(remaining, signal);
      if (refusal !== undefined) return Err(refusal);
      target ??= this.#selectTarget(remaining, refusedBy);
      if (target === undefined) return Err(noUpstream(demand.pool));
      const move = new AbortController();
      const asked = await this.#acquireWhileBest(remaining, target, {
        signal,
        move,
      });
      if (asked.err && move.signal.aborted) {
        target = undefined;
        continue;
      }
      if (asked.ok) {
        const answer = asked.val;
        if (answer.ending === AcquireEnding.Granted) {
          const permit = this.#start(answer, remaining, { target, signal });
          const mayStart = this.#fleet.mayStart(answer.upstream, demand);
          if (!permit.leaving.aborted && mayStart) return Ok(permit);
          // It was granted before its leader knew that the upstream leaves or
          // is evacuated, or on one listed since, outside of the regions.
          permit.release(Outcome.Cancelled, 0);
          if (!mayStart) target = undefined;
          if (this.#fleet.upstream(answer.upstream) === undefined) {
            unlisted.push(answer.upstream);
          }
          continue;
        }
        if (answer.ending === AcquireEnding.Refused) {
          const { reason, message, retryAfterMs } = answer;
          if (reason === Reason.NoUpstream) {
            // Another shard may have upstreams that are not evacuated.
            refusedBy.add(target.shard.name);
            target = this.#selectTarget(remaining, refusedBy);
            if (target !== undefined) continue;
          }
          return Err(notRun(reason, message, retryAfterMs));
        }
        this.#onRetry(Reason.Draining);
        if (!target.insist) {
          // The named leader may not know yet that it is one: insist.
          target = { ...target, leader: answer.keeper, insist: true };
          continue;
        }
      } else this.#onRetry(asked.val.reason);
      target = undefined;
      await this.#clock.sleep(retryMs * (0.5 + this.#random()), signal);
      retryMs = Math.min(retryMs * 2, MAX_RETRY_MS);
    }
  }

  /** Why a request is refused without asking a leader, if it is. */
  #refusal(demand: Demand, signal: AbortSignal): Refusal | undefined {
    if (this.#quarantine.admission(demand) === Admission.Refused) {
      return notRun(Reason.Quarantined, "The request crashes upstreams");
    }
    if (signal.aborted) {
      return notRun(Reason.Cancelled, "The caller went away");
    }
    if (demand.remainingMs <= 0) {
      return notRun(Reason.DeadlineExceeded, "The deadline passed");
    }
    return undefined;
  }

  /**
   * Waits at a leader as long as no other shard suits the request better. The
   * engines with fresh weights of its model change while it waits.
   */
  async #acquireWhileBest(
    demand: Demand,
    target: AcquireTarget,
    { signal, move }: { signal: AbortSignal; move: AbortController },
  ): Promise<Result<AcquireAnswer, Refusal>> {
    if (demand.model === undefined) {
      return await this.#acquireFrom(demand, target, { signal });
    }
    const key = askedKey(target.shard, demand.model);
    const cancelReview = this.#reviewPeriodically(demand, target.shard, move);
    this.#asked.set(key, (this.#asked.get(key) ?? 0) + 1);
    try {
      const either = AbortSignal.any([signal, move.signal]);
      return await this.#acquireFrom(demand, target, { signal: either });
    } finally {
      cancelReview();
      const left = (this.#asked.get(key) ?? 1) - 1;
      if (left > 0) this.#asked.set(key, left);
      else this.#asked.delete(key);
    }
  }

  /** Aborts `move` once the wait should go on at another shard. */
  #reviewPeriodically(
    demand: Demand,
    shard: Shard,
    move: AbortController,
  ): () => void {
    const startedAt = this.#clock.now();
    let cancel = () => {};
    const review = () => {
      const better = this.#betterShard(demand, shard);
      if (better === undefined) {
        cancel = this.#clock.after(WAIT_REVIEW_INTERVAL_MS, review);
        return;
      }
      log("wait moved", {
        id: demand.id,
        model: demand.model,
        minVersion: demand.minVersion,
        shard: shard.name,
        next: better.name,
        waitedMs: Math.round(this.#clock.now() - startedAt),
      });
      this.#onMove();
      move.abort();
    };
    cancel = this.#clock.after(WAIT_REVIEW_INTERVAL_MS, review);
    return () => cancel();
  }

  /** The shard at which a request should wait instead, if there is one. */
  #betterShard(demand: Demand, shard: Shard): Shard | undefined {
    if (this.#quarantine.admission(demand) !== Admission.Shared) {
      return undefined;
    }
    const load = (one: Shard) => this.#modelLoad(one, demand);
    const others = this.#usableShards(demand)
      .filter(({ name }) => name !== shard.name);
    const best = leastLoadedShard(others, { load, random: this.#random });
    if (best === undefined) return undefined;
    // The request itself counts where it waits.
    const better = isBetterElsewhere({
      here: load(shard),
      there: load(best),
      random: this.#random,
    });
    return better ? best : undefined;
  }

  /** Waits at a leader, and cancels the wait there if it ends here. */
  async #acquireFrom(
    demand: Demand,
    { shard, leader, insist }: AcquireTarget,
    { signal }: { signal: AbortSignal },
  ): Promise<Result<AcquireAnswer, Refusal>> {
    this.#count += 1;
    const ticket = `${this.#kernel.incarnation}/${this.#count}`;
    const finding = this.#quarantine.finding(demand.fingerprint);
    const answer = await this.#peers.ask(leader, Message.Acquire, {
      shard: shard.name,
      ticket,
      availabilityZone: this.#peers.self.availabilityZone,
      demand: { ...demand, prefixes: thinPrefixes(demand.prefixes) },
      findings: finding === undefined ? [] : [finding],
      insist,
    }, { timeoutMs: demand.remainingMs + ANSWER_MARGIN_MS, signal });
    const parsed = answer.andThen(parseAnswer);
    // Cancelling also releases a permit that was granted meanwhile.
    if (parsed.err) this.#cancel(leader, shard, ticket);
    return parsed;
  }

  #cancel(leader: string, shard: Shard, ticket: string): void {
    const body = { shard: shard.name, ticket };
    const options = { timeoutMs: CANCEL_TIMEOUT_MS };
    // If this message is lost as well, the permit's lease expires.
    void this.#peers.ask(leader, Message.Cancel, body, options);
  }

  #start(
    answer: AcquireAnswer & { ending: AcquireEnding.Granted },
    demand: Demand,
    { target, signal }: { target: AcquireTarget; signal: AbortSignal },
  ): Permit {
    const permit = this.#heldPermits.start({
      permit: answer.permit,
      ticket: answer.ticket,
      shard: target.shard.name,
      leader: target.leader,
      upstream: answer.upstream,
      address: answer.address,
      isolated: answer.isolated,
      demand,
    });
    if (signal.aborted) permit.release(Outcome.Cancelled, 0);
    return permit;
  }

  #selectTarget(
    demand: Demand,
    refusedBy: ReadonlySet<string>,
  ): AcquireTarget | undefined {
    const shard = this.#selectShard(
      this.#usableShards(demand).filter(({ name }) => !refusedBy.has(name)),
      demand,
    );
    if (shard === undefined) return undefined;
    const leader = this.#peers.rankedForDuty(shard.name)[0]?.vm;
    if (leader === undefined) return undefined;
    return { shard, leader, insist: false };
  }

  /** Selects one of the shards with an upstream that the request may use. */
  #selectShard(shards: readonly Shard[], demand: Demand): Shard | undefined {
    // Equal suspects meet at one leader, which runs them one at a time.
    const { fingerprint } = demand;
    if (this.#quarantine.admission(demand) !== Admission.Shared) {
      return preferredShard(fingerprint, shards);
    }
    if (demand.model !== undefined) {
      const suitable = leastLoadedShard(shards, {
        load: (shard) => this.#modelLoad(shard, demand),
        random: this.#random,
      });
      if (suitable !== undefined) return suitable;
    }
    return selectShard(shards, {
      key: demand.prefixes.at(-1) ?? fingerprint,
      load: (shard) => this.#load(shard),
      random: this.#random,
    });
  }

  /** The shards of a pool with an upstream that a request may use. */
  #usableShards(demand: Demand): readonly Shard[] {
    return this.#fleet.shardsOfPool(demand.pool).filter((shard) =>
      shard.upstreams.some((upstream) =>
        isInUse(upstream) && !demand.exclude.includes(upstream.id)
      )
    );
  }

  /** Load of a shard for the demand's model; infinite if it can't serve it. */
  #modelLoad(shard: Shard, demand: Demand): number {
    const { model = "" } = demand;
    const capacity = this.#summaries.latest(shard.name)?.models?.[model];
    const asked = this.#asked.get(askedKey(shard, model)) ?? 0;
    return loadForModel(capacity, demand, asked);
  }

  /** Load of a shard as known by gossip; 1 if all slots are in use. */
  #load(shard: Shard): number {
    const zone = this.#peers.self.availabilityZone;
    const far = shard.upstreams
      .every(({ availabilityZone }) => availabilityZone !== zone);
    const summary = this.#summaries.latest(shard.name);
    if (summary === undefined) return far ? CROSS_ZONE_COST : 0;
    const { running, queued, slots } = summary;
    return (running + queued) / Math.max(1, slots) +
      (far ? CROSS_ZONE_COST : 0);
  }
}

function askedKey(shard: Shard, model: string): string {
  return `${shard.name} ${model}`;
}

function parseAnswer(body: unknown): Result<AcquireAnswer, Refusal> {
  const parsed = acquireAnswer.safeParse(body);
  if (parsed.success) return Ok(parsed.data);
  return Err(notRun(Reason.Internal, "A keeper's answer was not understood"));
}

function noUpstream(pool: string): Refusal {
  return notRun(
    Reason.NoUpstream,
    `Pool "${pool}" has no upstream for the request`,
    NO_UPSTREAM_RETRY_AFTER_MS,
  );
}
