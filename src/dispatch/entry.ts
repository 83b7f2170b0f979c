/**
 * The asking side: finds the keeper to ask, waits there for a permit, and
 * asks the successor when the keeper is lost.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import {
  type Clock,
  type Kernel,
  Reason,
  type Refusal,
} from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";
import type { Fleet, Shard } from "./fleet.ts";
import {
  type AcquireAnswer,
  acquireAnswer,
  Ending,
  Message,
  notRun,
} from "./messages.ts";
import { type Demand, Outcome, type Permit } from "./mod.ts";
import { type Quarantine, Suspicion } from "./quarantine.ts";
import { selectShard } from "./shard_selection.ts";
import { thinned } from "./prefixes.ts";
import type { Summaries } from "./summaries.ts";
import type { Uses } from "./uses.ts";

/** How much longer than the deadline a keeper's answer is waited for. */
const ANSWER_MARGIN_MS = 500;

/** First and longest pause before a keeper is asked again. */
const RETRY_MS = 20;
const MAX_RETRY_MS = 500;

/** Time-out of the message that ends a wait. */
const CANCEL_TIMEOUT_MS = 2000;

/** When to come back to a pool that has no usable upstream. */
const NO_UPSTREAM_RETRY_MS = 1000;

/** Cost of a shard without upstreams in this zone, in parts of a full one. */
const DISTANCE = 0.05;

/** Where a request is asked for. */
interface Place {
  readonly shard: Shard;
  readonly keeper: string;
  /** Whether it was named by another daemon that isn't the keeper any more. */
  readonly insist: boolean;
}

/** The waits of this daemon's own requests. */
export class Entry {
  readonly #kernel: Kernel;
  readonly #clock: Clock;
  readonly #peers: Peers;
  readonly #quarantine: Quarantine;
  readonly #summaries: Summaries;
  readonly #uses: Uses;
  readonly #random: () => number;
  readonly #onRetry: (reason: Reason) => void;
  #fleet: Fleet;
  #count = 0;

  constructor(options: {
    kernel: Kernel;
    peers: Peers;
    quarantine: Quarantine;
    summaries: Summaries;
    uses: Uses;
    fleet: Fleet;
    random?: () => number;
    onRetry?: (reason: Reason) => void;
  }) {
    this.#kernel = options.kernel;
    this.#clock = options.kernel.clock;
    this.#peers = options.peers;
    this.#quarantine = options.quarantine;
    this.#summaries = options.summaries;
    this.#uses = options.uses;
    this.#fleet = options.fleet;
    this.#random = options.random ?? Math.random;
    this.#onRetry = options.onRetry ?? (() => {});
  }

  /** Takes in a new view of the upstreams. */
  setFleet(fleet: Fleet): void {
    this.#fleet = fleet;
  }

  /** Waits for a permit; nothing has run on behalf of a refused demand. */
  async acquire(
    demand: Demand,
    signal: AbortSignal,
  ): Promise<Result<Permit, Refusal>> {
    const endsAt = this.#clock.now() + demand.remainingMs;
    let retryMs = RETRY_MS;
    let place: Place | undefined;
    for (;;) {
      const rest = { ...demand, remainingMs: endsAt - this.#clock.now() };
      const refusal = this.#refusal(rest, signal);
      if (refusal !== undefined) return Err(refusal);
      place ??= this.#place(rest);
      if (place === undefined) return Err(noUpstream(demand.pool));
      const asked = await this.#ask(rest, place, { signal });
      if (asked.ok) {
        const answer = asked.val;
        if (answer.ending === Ending.Granted) {
          return Ok(this.#start(answer, rest, { place, signal }));
        }
        if (answer.ending === Ending.Refused) {
          const { reason, message, retryAfterMs } = answer;
          return Err(notRun(reason, message, retryAfterMs));
        }
        this.#onRetry(Reason.Draining);
        if (!place.insist) {
          // The named keeper may not know yet: it serves all the same.
          place = { ...place, keeper: answer.keeper, insist: true };
          continue;
        }
      } else this.#onRetry(asked.val.reason);
      place = undefined;
      await this.#clock.sleep(retryMs * (0.5 + this.#random()), signal);
      retryMs = Math.min(retryMs * 2, MAX_RETRY_MS);
    }
  }

  /** Why a request is refused without asking a keeper, if it is. */
  #refusal(demand: Demand, signal: AbortSignal): Refusal | undefined {
    const suspicion = this.#quarantine.suspicion(demand.fingerprint);
    if (suspicion === Suspicion.Quarantined) {
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

  /** Waits at a keeper, and ends the wait there if it ends here. */
  async #ask(
    demand: Demand,
    { shard, keeper, insist }: Place,
    { signal }: { signal: AbortSignal },
  ): Promise<Result<AcquireAnswer, Refusal>> {
    this.#count += 1;
    const ticket = `${this.#kernel.incarnation}/${this.#count}`;
    const finding = this.#quarantine.finding(demand.fingerprint);
    const answer = await this.#peers.ask(keeper, Message.Acquire, {
      shard: shard.name,
      ticket,
      availabilityZone: this.#peers.self.availabilityZone,
      demand: { ...demand, prefixes: thinned(demand.prefixes) },
      findings: finding === undefined ? [] : [finding],
      insist,
    }, { timeoutMs: demand.remainingMs + ANSWER_MARGIN_MS, signal });
    const parsed = answer.andThen(parse);
    // A permit granted meanwhile comes back with the wait.
    if (parsed.err) this.#cancel(keeper, shard, ticket);
    return parsed;
  }

  #cancel(keeper: string, shard: Shard, ticket: string): void {
    const body = { shard: shard.name, ticket };
    const options = { timeoutMs: CANCEL_TIMEOUT_MS };
    // If this is lost as well, the permit's lease ends it.
    void this.#peers.ask(keeper, Message.Cancel, body, options);
  }

  #start(
    answer: AcquireAnswer & { ending: Ending.Granted },
    demand: Demand,
    { place, signal }: { place: Place; signal: AbortSignal },
  ): Permit {
    const permit = this.#uses.start({
      permit: answer.permit,
      ticket: answer.ticket,
      shard: place.shard.name,
      keeper: place.keeper,
      upstream: answer.upstream,
      address: answer.address,
      demand,
    });
    if (signal.aborted) permit.release(Outcome.Cancelled, 0);
    return permit;
  }

  #place(demand: Demand): Place | undefined {
    const shard = this.#pick(demand);
    if (shard === undefined) return undefined;
    const keeper = this.#peers.ranked(shard.name)[0]?.vm;
    if (keeper === undefined) return undefined;
    return { shard, keeper, insist: false };
  }

  /** The shard to ask, of those with an upstream that the request may use. */
  #pick(demand: Demand): Shard | undefined {
    const shards = this.#fleet.of(demand.pool).filter((shard) =>
      shard.upstreams.some(({ id, leaving }) =>
        !leaving && !demand.exclude.includes(id)
      )
    );
    return selectShard(shards, {
      key: demand.prefixes.at(-1) ?? demand.fingerprint,
      load: (shard) => this.#load(shard),
      random: this.#random,
    });
  }

  /** How full a shard is as far as gossip tells; 1 has every slot in use. */
  #load(shard: Shard): number {
    const zone = this.#peers.self.availabilityZone;
    const far = shard.upstreams
      .every(({ availabilityZone }) => availabilityZone !== zone);
    const summary = this.#summaries.of(shard.name);
    if (summary === undefined) return far ? DISTANCE : 0;
    const { running, queued, slots } = summary;
    return (running + queued) / Math.max(1, slots) + (far ? DISTANCE : 0);
  }
}

function parse(body: unknown): Result<AcquireAnswer, Refusal> {
  const parsed = acquireAnswer.safeParse(body);
  if (parsed.success) return Ok(parsed.data);
  return Err(notRun(Reason.Internal, "A keeper's answer was not understood"));
}

function noUpstream(pool: string): Refusal {
  return notRun(
    Reason.NoUpstream,
    `Pool "${pool}" has no upstream for the request`,
    NO_UPSTREAM_RETRY_MS,
  );
}
