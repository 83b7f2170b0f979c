/**
 * The keeper of one shard: its one queue, its permits and what it knows of
 * its upstreams. It sends nothing and has no timers of its own; whoever
 * hosts it calls `tick` and passes on what arrives.
 *
 * @module
 */

import type { Result } from "ts-results";
import { type Clock, Reason, Refusal, Verdict } from "../kernel/mod.ts";
import type { CacheEvent, Load } from "../outside/mod.ts";
import { Priority } from "../tables/mod.ts";
import { AffinitySelector } from "./affinity_selector.ts";
import type { Candidate, UpstreamSelector } from "./upstream_selector.ts";
import { Crashes, ProbeResult } from "./crash_detector.ts";
import { FairQueue } from "./fair_queue.ts";
import { Headroom } from "./headroom.ts";
import { Health } from "./health.ts";
import { type Demand, Outcome, type Pressure } from "./mod.ts";
import { type Holding, Permits } from "./permits.ts";
import { Quarantine, Suspicion } from "./quarantine.ts";
import {
  type Capacity,
  type Elsewhere,
  type Presence,
  type Queue,
  type Ticket,
  Urgency,
} from "./queue.ts";
import type { Upstream } from "./shards.ts";

/** When to come back to a shard that has no usable upstream. */
const NO_UPSTREAM_RETRY_MS = 1000;

/**
 * Equal requests start on one upstream until one of them has run this long,
 * so that a request that crashes what runs it doesn't start everywhere.
 */
const TRIAL_MS = 300;

/** An upstream that refused a model's request gets none for so long. */
const REFUSAL_MS = 250;

/** Most slots kept free for tenants that may come back, in parts of all. */
const MAX_CLAIMS = 0.06;

const NOTHING_RESERVED: Readonly<Record<Urgency, number>> = {
  [Urgency.Highest]: 0,
  [Urgency.High]: 0,
  [Urgency.Low]: 0,
};

/** Extra time that a suspect runs alone beyond what it ran before. */
const ALONE_MARGIN_MS = 500;

/** Least part of a shard's upstreams that suspects may reserve: 1 in 3. */
const RESERVED_PARTS = 3;

/** A wait's end. */
export type WaitResult =
  | { readonly permit: string; readonly upstream: Upstream }
  | { readonly refusal: Refusal }
  /** The shard has another keeper now. */
  | { readonly moved: true };

/** One upstream's changing state. */
interface State {
  readonly upstream: Upstream;
  readonly health: Health;
  readonly seenAt: number;
  load: Load | undefined;
  foreign: number;
  /** Until when requests of a model are not sent there again. */
  readonly refusedUntil: Map<string, number>;
  /** Most permits in use since the last report, and since the one before. */
  peak: number;
  lastPeak: number;
}

/** Decides who gets which slot of a shard's upstreams, and when. */
export class ShardLeader {
  readonly #clock: Clock;
  readonly #queue: Queue;
  readonly #choice: UpstreamSelector;
  readonly #quarantine: Quarantine;
  readonly #crashes: Crashes;
  readonly #headroom: Headroom | undefined;
  readonly #onBreak: (upstream: string) => void;
  readonly #prefix: string;
  readonly #permits = new Permits();
  readonly #answers = new Map<string, (answer: WaitResult) => void>();
  readonly #reserved = new Map<string, string>();
  #states: ReadonlyMap<string, State> = new Map();
  #warm: boolean;
  #count = 0;

  constructor(options: {
    clock: Clock;
    /** Prefix of the permits' ids, unique to this keeper. */
    prefix?: string;
    queue?: Queue;
    selector?: UpstreamSelector;
    quarantine?: Quarantine;
    headroom?: Headroom;
    /** Whether permits may be granted at once; else `warmed` must be called. */
    warm?: boolean;
    /** Called when a connection to an upstream broke. */
    onBreak?: (upstream: string) => void;
  }) {
    this.#clock = options.clock;
    this.#prefix = options.prefix ?? "";
    this.#queue = options.queue ?? new FairQueue();
    this.#choice = options.selector ??
      new AffinitySelector({ clock: options.clock });
    this.#quarantine = options.quarantine ??
      new Quarantine({ clock: options.clock });
    this.#crashes = new Crashes({ quarantine: this.#quarantine });
    this.#headroom = options.headroom;
    this.#onBreak = options.onBreak ?? (() => {});
    this.#warm = options.warm ?? true;
  }

  /** What each tenant has here: slots in use and requests waiting. */
  get organisations(): ReadonlyMap<string, Presence> {
    return this.#queue.tenants();
  }

  /** The shard's upstreams with what is known of them. */
  get candidates(): readonly Candidate[] {
    return [...this.#states.values()].map((state) => this.#candidate(state));
  }

  /** Replaces the list of the shard's upstreams. */
  setUpstreams(upstreams: readonly Upstream[]): void {
    const now = this.#clock.now();
    const states = new Map<string, State>();
    for (const upstream of upstreams) {
      const known = this.#states.get(upstream.id);
      states.set(upstream.id, {
        health: new Health(),
        seenAt: now,
        load: undefined,
        foreign: 0,
        peak: 0,
        lastPeak: 0,
        refusedUntil: new Map(),
        ...known,
        upstream,
      });
    }
    for (const id of this.#states.keys()) {
      if (!states.has(id)) this.#choice.forget(id);
    }
    this.#states = states;
    this.#crashes.setUpstreams(upstreams);
    this.#pump();
  }

  /** Takes a request in; `answer` is called once, at once or later. */
  submit(ticket: Ticket, answer: (answer: WaitResult) => void): void {
    const refusal = this.#refusal(ticket);
    if (refusal !== undefined) return answer({ refusal });
    const capacity = this.#capacity();
    const pushed: Result<true, Refusal> = this.#queue.push(ticket, capacity);
    if (pushed.err) return answer({ refusal: pushed.val });
    this.#answers.set(ticket.id, answer);
    if (this.#queue.urgency(ticket, capacity) === Urgency.Highest) {
      this.#headroom?.arrived(this.#clock.now());
    }
    this.#pump();
  }

  /** Ends a wait whose caller went away, also if it was granted meanwhile. */
  cancel(id: string): boolean {
    const ticket = this.#queue.remove(id);
    if (ticket !== undefined) {
      this.#forget(ticket);
      this.#answers.delete(id);
      return true;
    }
    for (const { ticket, permit } of this.#permits.all()) {
      if (ticket !== id) continue;
      this.release(permit, Outcome.Cancelled, 0);
      return true;
    }
    return false;
  }

  /** Takes a permit back. */
  release(permit: string, outcome: Outcome, tokens: number): void {
    const holding = this.#permits.remove(permit);
    if (holding === undefined) return;
    const now = this.#clock.now();
    this.#queue.ended(holding.demand, {
      now,
      heldMs: now - holding.grantedAt,
      tokens: outcome === Outcome.Served ? tokens : 0,
    });
    this.#judge(holding, { outcome, now });
    this.#pump();
  }

  /** Renews permits; returns those that are not known. */
  renew(permits: readonly string[]): readonly string[] {
    return this.#permits.renew(permits, this.#clock.now());
  }

  /** Takes over permits that another keeper of the shard granted. */
  adopt(holdings: readonly Omit<Holding, "aloneUntil">[]): void {
    const now = this.#clock.now();
    for (const holding of holdings) {
      if (this.#permits.get(holding.permit) !== undefined) continue;
      if (!this.#states.has(holding.upstream)) continue;
      const suspect = this.#suspected(holding.demand);
      const aloneUntil = suspect ? Infinity : -Infinity;
      this.#permits.add({ ...holding, aloneUntil }, now);
      this.#queue.started(holding.demand, now);
      this.#notePeak(holding.upstream);
    }
  }

  /** Starts granting, once the permits in use are known. */
  warmed(): void {
    this.#warm = true;
    this.#pump();
  }

  /** Takes in what a read of an upstream's load showed. */
  probed(id: string, reach: ProbeResult, load?: Load): void {
    const state = this.#states.get(id);
    if (state === undefined) return;
    const now = this.#clock.now();
    state.health.probed(reach === ProbeResult.Alive, now);
    const running = this.#permits.on(id);
    this.#crashes.probed(state.upstream, { reach, running, now });
    if (load !== undefined) this.#report(state, load);
    this.#pump();
  }

  /** Takes in an upstream's cache events. */
  cached(id: string, events: readonly CacheEvent[]): void {
    this.#choice.cached(id, events);
  }

  /** Takes in what the tenants have in the pool's other shards. */
  setOtherShards(elsewhere: Elsewhere): void {
    this.#queue.setElsewhere(elsewhere);
  }

  /** Ends leases and waits that are over; to be called several times a second. */
  tick(): void {
    const now = this.#clock.now();
    for (const { permit } of this.#permits.lapsed(now)) {
      this.release(permit, Outcome.Cancelled, 0);
    }
    for (const { demand, aloneUntil } of this.#permits.all()) {
      if (aloneUntil > now || aloneUntil === -Infinity) continue;
      const finding = this.#quarantine.finding(demand.fingerprint);
      if (finding?.crashes === 1) this.#quarantine.ease(demand.fingerprint);
    }
    for (const ticket of [...this.#queue.waiting()]) this.#expire(ticket, now);
    this.#pump();
  }

  /**
   * Refuses a wait that can't end in a whole answer any more. A slot given to
   * it would make part of one, and be lost to a request that can be met.
   */
  #expire(ticket: Ticket, now: number): void {
    const { priority, remainingMs } = ticket.demand;
    const leftMs = ticket.queuedAt + remainingMs - now;
    if (leftMs <= 0) {
      this.#refuse(ticket, Reason.DeadlineExceeded, "The deadline passed");
    } else if (leftMs < this.#queue.holdMs(priority)) {
      this.#refuse(ticket, Reason.DeadlineTooShort, "The deadline is too near");
    }
  }

  /** Answers all waits with `moved`: the shard has another keeper. */
  close(): void {
    this.#warm = false;
    for (const ticket of [...this.#queue.waiting()]) {
      this.#queue.remove(ticket.id);
      this.#forget(ticket);
      this.#answer(ticket.id, { moved: true });
    }
  }

  /** How busy the shard is. */
  pressure(): Pressure {
    const waiting = [...this.#queue.waiting()];
    const urgent = waiting.filter(({ demand }) =>
      demand.priority === Priority.Interactive ||
      demand.priority === Priority.Standard
    );
    return {
      running: this.#permits.size,
      queued: waiting.length,
      urgent: urgent.length,
      slots: this.#slots(),
      models: countsOf([
        ...waiting.map(({ demand }) => demand),
        ...[...this.#permits.all()].map(({ demand }) => demand),
      ]),
    };
  }

  /** Grants while there are free slots and requests that fit them. */
  #pump(): void {
    if (!this.#warm) return;
    while (this.#queue.size > 0) {
      const free = this.#free();
      if (free.length === 0) return;
      const capacity = this.#capacity(free);
      const reserved = this.#reservedSlots(capacity);
      let picked: Candidate | undefined;
      const ticket = this.#queue.take(capacity, {
        open: (urgency) => capacity.freeSlots > reserved[urgency],
        fits: (ticket) => {
          picked = this.#place(ticket, free);
          return picked !== undefined;
        },
      });
      if (ticket === undefined || picked === undefined) return;
      this.#grant(ticket, picked.upstream);
    }
  }

  #grant(ticket: Ticket, upstream: Upstream): void {
    const now = this.#clock.now();
    this.#count += 1;
    const permit = `${this.#prefix}${this.#count.toString(36)}`;
    const { demand } = ticket;
    this.#permits.add({
      permit,
      ticket: ticket.id,
      upstream: upstream.id,
      entry: ticket.entry,
      demand,
      grantedAt: now,
      aloneUntil: this.#aloneUntil(demand, now),
    }, now);
    this.#queue.started(demand, now);
    this.#forget(ticket);
    const state = this.#states.get(upstream.id);
    state?.health.granted(now);
    this.#choice.granted(ticket, upstream.id);
    this.#notePeak(upstream.id);
    this.#answer(ticket.id, { permit, upstream });
  }

  /** Where a request can go now, if anywhere. */
  #place(
    ticket: Ticket,
    free: readonly Candidate[],
  ): Candidate | undefined {
    if (this.#suspected(ticket.demand)) return this.#placeAlone(ticket, free);
    const trial = this.#trial(ticket.demand);
    const fitting = free.filter((candidate) =>
      !this.#reserved.has(candidate.upstream.id) &&
      !this.#refuses(candidate.upstream.id, ticket.demand) &&
      (trial === undefined || trial === candidate.upstream.id) &&
      suits(ticket.demand, candidate)
    );
    if (fitting.length === 0) return undefined;
    return this.#choice.pick(ticket, fitting);
  }

  /** The upstream that equal requests just started on, if none ran longer. */
  #trial(demand: Demand): string | undefined {
    const equal = this.#permits.equal(demand.fingerprint);
    const since = this.#clock.now() - TRIAL_MS;
    if (equal.some(({ grantedAt }) => grantedAt <= since)) return undefined;
    const tried = equal.find(({ upstream }) =>
      this.#states.get(upstream)?.upstream.leaving === false &&
      !demand.exclude.includes(upstream)
    );
    return tried?.upstream;
  }

  /**
   * Whether an upstream turned a request of this model away just now, as one
   * does that loads the model's weights.
   */
  #refuses(id: string, { model }: Demand): boolean {
    const state = this.#states.get(id);
    if (state === undefined || model === undefined) return false;
    const until = state.refusedUntil.get(model);
    if (until === undefined) return false;
    if (this.#clock.now() < until || state.load?.busy === true) return true;
    state.refusedUntil.delete(model);
    return false;
  }

  /** An empty upstream for a suspect; reserves one if none is empty. */
  #placeAlone(
    ticket: Ticket,
    free: readonly Candidate[],
  ): Candidate | undefined {
    const fitting = free.filter((candidate) =>
      suits(ticket.demand, candidate) &&
      (this.#reserved.get(candidate.upstream.id) ?? ticket.id) === ticket.id
    );
    const empty = fitting.find(({ inFlight }) => inFlight === 0);
    if (empty !== undefined) return empty;
    const most = Math.max(1, Math.floor(this.#states.size / RESERVED_PARTS));
    const reserved = [...this.#reserved.values()].includes(ticket.id);
    if (fitting.length === 0 || reserved || this.#reserved.size >= most) {
      return undefined;
    }
    const least = fitting
      .reduce((a, b) => b.inFlight < a.inFlight ? b : a);
    this.#reserved.set(least.upstream.id, ticket.id);
    return undefined;
  }

  #aloneUntil(demand: Demand, now: number): number {
    if (!this.#suspected(demand)) return -Infinity;
    const finding = this.#quarantine.finding(demand.fingerprint);
    if (finding === undefined || finding.crashes > 1) return Infinity;
    return now + finding.ranMs * 1.5 + ALONE_MARGIN_MS;
  }

  #suspected(demand: Demand): boolean {
    return this.#quarantine.suspicion(demand.fingerprint) ===
      Suspicion.Suspect;
  }

  /** Upstreams with a free slot. */
  #free(): readonly Candidate[] {
    const now = this.#clock.now();
    const free: Candidate[] = [];
    for (const state of this.#states.values()) {
      const { upstream, health } = state;
      if (upstream.leaving || !health.allows(now)) continue;
      if (this.#heldAlone(upstream.id, now)) continue;
      const candidate = this.#candidate(state);
      if (room(candidate) > 0) free.push(candidate);
    }
    return free;
  }

  #heldAlone(upstream: string, now: number): boolean {
    if (this.#permits.inFlight(upstream) !== 1) return false;
    return this.#permits.on(upstream)[0].aloneUntil > now;
  }

  #candidate(state: State): Candidate {
    return {
      upstream: state.upstream,
      inFlight: this.#permits.inFlight(state.upstream.id),
      foreign: Math.round(state.foreign),
      load: state.load,
      readyForMs: this.#clock.now() - state.seenAt,
    };
  }

  /** Why a request is refused before it waits, if it is. */
  #refusal(ticket: Ticket): Refusal | undefined {
    const { fingerprint, exclude, remainingMs } = ticket.demand;
    if (
      this.#quarantine.suspicion(fingerprint) === Suspicion.Quarantined
    ) {
      return refusalOf(Reason.Quarantined, "The request crashes upstreams");
    }
    if (remainingMs <= 0) {
      return refusalOf(Reason.DeadlineExceeded, "The deadline passed");
    }
    const usable = [...this.#states.values()].some(({ upstream }) =>
      !upstream.leaving && !exclude.includes(upstream.id)
    );
    if (usable) return undefined;
    return refusalOf(
      Reason.NoUpstream,
      "No upstream of the pool can take the request",
      NO_UPSTREAM_RETRY_MS,
    );
  }

  #refuse(ticket: Ticket, reason: Reason, message: string): void {
    this.#queue.remove(ticket.id);
    this.#forget(ticket);
    this.#answer(ticket.id, { refusal: refusalOf(reason, message) });
  }

  #answer(id: string, answer: WaitResult): void {
    const settle = this.#answers.get(id);
    this.#answers.delete(id);
    settle?.(answer);
  }

  /** Drops what a ticket that no longer waits held. */
  #forget(ticket: Ticket): void {
    for (const [upstream, id] of this.#reserved) {
      if (id === ticket.id) this.#reserved.delete(upstream);
    }
  }

  #judge(holding: Holding, options: { outcome: Outcome; now: number }): void {
    const { outcome, now } = options;
    const state = this.#states.get(holding.upstream);
    if (state === undefined) return;
    state.health.ended(outcome, now);
    if (outcome === Outcome.Served || outcome === Outcome.Refused) {
      this.#choice.freed(holding.entry, holding.upstream);
    }
    const { model } = holding.demand;
    if (outcome === Outcome.Refused && model !== undefined) {
      state.refusedUntil.set(model, now + REFUSAL_MS);
    }
    this.#crashes.ended(holding, {
      outcome,
      now,
      upstream: state.upstream,
      running: this.#permits.on(holding.upstream),
    });
    if (outcome === Outcome.Served && this.#suspected(holding.demand)) {
      this.#quarantine.clear(holding.demand.fingerprint);
    }
    if (outcome === Outcome.Broken || outcome === Outcome.Unreachable) {
      this.#onBreak(holding.upstream);
    }
  }

  /** What runs beyond our own permits, as far as the lagging report tells. */
  #report(state: State, load: Load): void {
    const own = Math.max(state.peak, state.lastPeak);
    const foreign = Math.max(0, load.running + load.queued - own);
    state.foreign = (state.foreign + foreign) / 2;
    state.load = load;
    state.lastPeak = state.peak;
    state.peak = this.#permits.inFlight(state.upstream.id);
  }

  #notePeak(upstream: string): void {
    const state = this.#states.get(upstream);
    if (state === undefined) return;
    state.peak = Math.max(state.peak, this.#permits.inFlight(upstream));
  }

  #capacity(free = this.#free()): Capacity {
    return {
      now: this.#clock.now(),
      slots: this.#slots(),
      freeSlots: free.reduce((sum, one) => sum + room(one), 0),
    };
  }

  #slots(): number {
    const now = this.#clock.now();
    let slots = 0;
    for (const { upstream, health } of this.#states.values()) {
      if (!upstream.leaving && health.allows(now)) slots += upstream.slots;
    }
    return slots;
  }

  /** Free slots that requests of each urgency leave. */
  #reservedSlots(capacity: Capacity): Readonly<Record<Urgency, number>> {
    if (this.#headroom === undefined) return NOTHING_RESERVED;
    const headroom = this.#headroom.size(capacity);
    const claims = Math.min(
      this.#queue.claimable(capacity),
      capacity.slots * MAX_CLAIMS,
    );
    return {
      [Urgency.Highest]: 0,
      [Urgency.High]: Math.ceil(headroom / 2),
      [Urgency.Low]: headroom + Math.round(claims),
    };
  }
}

/** Requests by model; those that name none are left out. */
function countsOf(
  demands: readonly Demand[],
): Readonly<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (const { model } of demands) {
    if (model !== undefined) counts[model] = (counts[model] ?? 0) + 1;
  }
  return counts;
}

/** Free slots of an upstream. */
function room({ upstream, inFlight, foreign, load }: Candidate): number {
  const slots = load === undefined || load.slots === 0
    ? upstream.slots
    : Math.min(upstream.slots, load.slots);
  return Math.max(0, slots - inFlight - foreign);
}

/** Whether a request may go to an upstream at all. */
function suits(demand: Demand, { upstream, load }: Candidate): boolean {
  if (demand.exclude.includes(upstream.id)) return false;
  if (demand.model === undefined) {
    return demand.minVersion <= (load?.weightVersion ?? 0);
  }
  // Before the first report the list's word counts.
  const versions = load?.weightVersions ?? upstream.weightVersions ?? {};
  return demand.minVersion <= (versions[demand.model] ?? 0);
}

function refusalOf(
  reason: Reason,
  message: string,
  retryAfterMs = 0,
): Refusal {
  return new Refusal({
    verdict: Verdict.NotRun,
    reason,
    message,
    retryAfterMs,
  });
}
