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
import { Admission, type Quarantine } from "./quarantine.ts";
import { type Move, type MoveReason, ShardSelector } from "./shard_selector.ts";
import { thinPrefixes } from "./prefixes.ts";
import type { ShardSummaries } from "./summaries.ts";
import type { HeldPermits } from "./held_permits.ts";
import { WaitReview } from "./wait_review.ts";

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

/** Refusals that concern one shard, while another may take the request. */
const SHARD_REFUSALS: ReadonlySet<Reason> = new Set([
  Reason.QueueFull,
  Reason.TenantOverShare,
  Reason.DeadlineTooShort,
  Reason.UpstreamLimited,
  Reason.NoUpstream,
]);

/** The shard and leader at which a permit is requested. */
interface AcquireTarget {
  readonly shard: Shard;
  readonly leader: string;
  /** Whether a former leader named it, so that it serves in any case. */
  readonly insist: boolean;
  /** Time that the request waited at other shards, if it was moved here. */
  readonly waitedMs?: number;
}

/** Obtains permits for the requests of this daemon. */
export class EntryClient {
  readonly #kernel: Kernel;
  readonly #clock: Clock;
  readonly #peers: Peers;
  readonly #quarantine: Quarantine;
  readonly #selector: ShardSelector;
  readonly #heldPermits: HeldPermits;
  readonly #random: () => number;
  readonly #onRetry: (reason: Reason) => void;
  readonly #onMove: (reason: MoveReason) => void;
  /** The waits for permits, with their pools. */
  readonly #waits = new Map<WaitReview, string>();
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
    onMove?: (reason: MoveReason) => void;
  }) {
    this.#kernel = options.kernel;
    this.#clock = options.kernel.clock;
    this.#peers = options.peers;
    this.#quarantine = options.quarantine;
    this.#heldPermits = options.heldPermits;
    this.#fleet = options.fleet;
    this.#random = options.random ?? Math.random;
    this.#selector = new ShardSelector({
      ...options,
      availabilityZone: options.peers.self.availabilityZone,
      random: this.#random,
    });
    this.#onRetry = options.onRetry ?? (() => {});
    this.#onMove = options.onMove ?? (() => {});
  }

  /** Replaces the view of the upstreams. */
  setFleet(fleet: Fleet): void {
    const restored = fleet.restoredPools(this.#fleet);
    this.#fleet = fleet;
    this.#selector.setFleet(fleet);
    if (restored.size === 0) return;
    // Their leaders were told to exclude the upstreams of these zones.
    for (const [wait, pool] of [...this.#waits]) {
      if (restored.has(pool)) wait.renew();
    }
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
    /** The shard that the wait left when it was moved. */
    let left: Shard | undefined;
    const refusedBy = new Set<string>();
    /** Upstreams that a leader granted and this daemon's list lacks. */
    const unlisted: string[] = [];
    for (;;) {
      const waitedMs = this.#clock.now() - startedAt;
      const remaining = {
        ...demand,
        remainingMs: endsAt - this.#clock.now(),
        startInMs: demand.startInMs === undefined
          ? undefined
          : demand.startInMs - waitedMs,
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
      const { asked, move, isRenewed } = await this.#waitAt(remaining, target, {
        signal,
        refusedBy,
      });
      if (isRenewed) {
        // Those without an upstream in use may have one now.
        refusedBy.clear();
        const keptMs = this.#clock.now() - startedAt;
        target = this.#targetOf(target.shard, keptMs);
        continue;
      }
      if (move !== undefined) {
        left = target.shard;
        const movedAfterMs = this.#clock.now() - startedAt;
        this.#moved(remaining, { shard: left, move, waitedMs: movedAfterMs });
        target = this.#targetOf(move.shard, movedAfterMs);
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
          if (left !== undefined && SHARD_REFUSALS.has(reason)) {
            // It was moved here, but might still be served where it waited.
            refusedBy.add(target.shard.name);
            target = this.#targetOf(left, this.#clock.now() - startedAt);
            left = undefined;
            continue;
          }
          if (concernsShard(reason, target.shard)) {
            // Another shard may have upstreams that are in use, or not cold.
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
   * Waits at a leader. A request with a model waits as long as no other shard
   * suits it better; `move` names that shard. A wait that is renewed is to be
   * asked for again at the same shard.
   */
  async #waitAt(
    demand: Demand,
    target: AcquireTarget,
    options: { signal: AbortSignal; refusedBy: ReadonlySet<string> },
  ): Promise<{
    asked: Result<AcquireAnswer, Refusal>;
    move?: Move;
    isRenewed: boolean;
  }> {
    const review = new WaitReview({
      ...options,
      clock: this.#clock,
      selector: this.#selector,
      demand,
      shard: target.shard,
    });
    this.#waits.set(review, demand.pool);
    try {
      const asked = await this.#acquireFrom(demand, target, review);
      // A permit that arrived as the wait was to be moved is used.
      const moves = asked.err && !options.signal.aborted;
      return {
        asked,
        move: moves ? review.move : undefined,
        isRenewed: moves && review.isRenewed,
      };
    } finally {
      this.#waits.delete(review);
      review.end();
    }
  }

  /** Records that a wait was moved. */
  #moved(
    { id, model, minVersion }: Demand,
    options: { shard: Shard; move: Move; waitedMs: number },
  ): void {
    const { shard, move, waitedMs } = options;
    this.#onMove(move.reason);
    log("wait moved", {
      id,
      model,
      minVersion,
      shard: shard.name,
      next: move.shard.name,
      reason: move.reason,
      waitedMs: Math.round(waitedMs),
    });
  }

  /** Waits at a leader, and cancels the wait there if it ends here. */
  async #acquireFrom(
    demand: Demand,
    { shard, leader, insist, waitedMs }: AcquireTarget,
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
      waitedMs,
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
    const shard = this.#selector.select(demand, { refusedBy });
    return shard && this.#targetOf(shard);
  }

  #targetOf(shard: Shard, waitedMs?: number): AcquireTarget | undefined {
    const leader = this.#peers.rankedForDuty(shard.name)[0]?.vm;
    if (leader === undefined) return undefined;
    return { shard, leader, insist: false, waitedMs };
  }
}

function parseAnswer(body: unknown): Result<AcquireAnswer, Refusal> {
  const parsed = acquireAnswer.safeParse(body);
  if (parsed.success) return Ok(parsed.data);
  return Err(notRun(Reason.Internal, "A keeper's answer was not understood"));
}

/** Whether other shards are asked as well before a request is refused. */
function concernsShard(reason: Reason, { upstreams }: Shard): boolean {
  return reason === Reason.NoUpstream ||
    reason === Reason.UpstreamLimited &&
      upstreams.some(({ coldStart }) => coldStart !== undefined);
}

function noUpstream(pool: string): Refusal {
  return notRun(
    Reason.NoUpstream,
    `Pool "${pool}" has no upstream for the request`,
    NO_UPSTREAM_RETRY_AFTER_MS,
  );
}
