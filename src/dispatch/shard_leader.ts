/**
 * The leader of one shard, with the shard's only queue, its permits and the
 * state of its upstreams. It sends no messages and has no timers:
 * `LocalLeaders` calls `tick` and passes on incoming messages.
 *
 * @module
 */

import type { Result } from "ts-results";
import { type Clock, logger, Reason, Refusal, Verdict } from "../kernel/mod.ts";
import type { CacheEvent, Load, StatedLoad } from "../outside/mod.ts";
import { Priority } from "../tables/mod.ts";
import type { SelectionStatus } from "./selection_status.ts";
import { SwitchingSelector } from "./switching_selector.ts";
import {
  type Candidate,
  slotsOf,
  type UpstreamSelector,
} from "./upstream_selector.ts";
import { CrashDetector, ProbeResult } from "./crash_detector.ts";
import { FairQueue } from "./fair_queue.ts";
import { Headroom } from "./headroom.ts";
import { Circuit, CircuitBreaker } from "./circuit_breaker.ts";
import { ColdPeriods } from "./cold_periods.ts";
import { KnownNotices } from "./known_notices.ts";
import { type Demand, Outcome, type Pressure } from "./mod.ts";
import {
  countByModel,
  FreeWeights,
  type ModelCapacities,
  modelCapacitiesOf,
  weightVersionsOf,
} from "./model_capacity.ts";
import {
  type ActivePermit,
  ActivePermits,
  RENEWAL_INTERVAL_MS,
} from "./permits.ts";
import { Admission, Quarantine, Suspicion } from "./quarantine.ts";
import {
  type Capacity,
  type OrganisationLoad,
  type OtherShards,
  type Queue,
  STARTS_TOO_LATE,
  type Ticket,
  Urgency,
} from "./queue.ts";
import { isInUse, type Upstream } from "./shards.ts";
import { StartBudget, StartForecast } from "./start_budget.ts";
import { SuspectIsolation } from "./suspect_isolation.ts";

const log = logger("dispatch");

/** Retry delay for callers when the shard has no usable upstream. */
const NO_UPSTREAM_RETRY_AFTER_MS = 1000;

/**
 * Requests with the same fingerprint start on one upstream until one of them
 * has run this long, so that one that crashes upstreams isn't sent to all.
 */
const TRIAL_RUN_MS = 300;

/** Time without further requests of a model after an upstream refused one. */
const MODEL_REFUSAL_BACKOFF_MS = 250;

/** Largest share of slots reserved for organisations that may return. */
const MAX_ANTICIPATED_SLOTS_FRACTION = 0.06;

const CRASHES_UPSTREAMS = "The request crashes upstreams";

const NO_RESERVED_SLOTS: Readonly<Record<Urgency, number>> = {
  [Urgency.Highest]: 0,
  [Urgency.High]: 0,
  [Urgency.Low]: 0,
};

/** Weight of the old value in the running mean of the time on a slot. */
const HOLD_TIME_DECAY = 0.95;

/** How a wait ended. */
export type WaitResult =
  | {
    readonly permit: string;
    readonly upstream: Upstream;
    /** Whether nothing else runs there. */
    readonly isolated: boolean;
  }
  | { readonly refusal: Refusal }
  /** The shard has another leader now. */
  | { readonly moved: true };

/** A permit that another leader granted. */
export interface AdoptedPermit extends Omit<ActivePermit, "isolatedUntil"> {
  /** Whether it was granted its upstream alone. */
  readonly isolated: boolean;
}

/** The mutable state of one upstream. */
interface UpstreamState {
  readonly upstream: Upstream;
  readonly breaker: CircuitBreaker;
  readonly firstSeenAt: number;
  readonly budget: StartBudget;
  load: Load | undefined;
  foreign: number;
  /** Time until which no requests of a model are sent there. */
  readonly refusedUntil: Map<string, number>;
  /** Most permits in use since the last report, and in the interval before. */
  peakInFlight: number;
  previousPeakInFlight: number;
}

/** Grants the slots of a shard's upstreams to requests. */
export class ShardLeader {
  readonly #clock: Clock;
  readonly #queue: Queue;
  readonly #selector: UpstreamSelector;
  readonly #quarantine: Quarantine;
  readonly #notices: KnownNotices;
  readonly #coldPeriods: ColdPeriods;
  readonly #crashes: CrashDetector;
  readonly #isolation: SuspectIsolation;
  readonly #headroom: Headroom | undefined;
  readonly #onSuspicion: (upstream: string) => void;
  readonly #onLimitedGrant: (waitedMs: number) => void;
  readonly #onColdGrant: (waitedMs: number) => void;
  readonly #prefix: string;
  readonly #permits = new ActivePermits();
  readonly #answers = new Map<string, (answer: WaitResult) => void>();
  #states: ReadonlyMap<string, UpstreamState> = new Map();
  #granting: boolean;
  #limitShare = 1;
  #tickedAt: number;
  /** Mean time that answered requests held their slots; 0 if unknown. */
  #meanHoldMs = 0;
  #count = 0;

  constructor(options: {
    clock: Clock;
    /** Prefix of the permits' ids, unique to this leader. */
    prefix?: string;
    queue?: Queue;
    selector?: UpstreamSelector;
    quarantine?: Quarantine;
    notices?: KnownNotices;
    coldPeriods?: ColdPeriods;
    headroom?: Headroom;
    /** Whether to grant at once; otherwise `startGranting` must be called. */
    granting?: boolean;
    /** Called when an upstream may have crashed and should be probed. */
    onSuspicion?: (upstream: string) => void;
    /** Called with the wait for each permit on an upstream with a limit. */
    onLimitedGrant?: (waitedMs: number) => void;
    /** Called with the wait for each permit on a cold upstream. */
    onColdGrant?: (waitedMs: number) => void;
  }) {
    this.#onLimitedGrant = options.onLimitedGrant ?? (() => {});
    this.#onColdGrant = options.onColdGrant ?? (() => {});
    this.#clock = options.clock;
    this.#prefix = options.prefix ?? "";
    this.#queue = options.queue ?? new FairQueue();
    this.#selector = options.selector ??
      new SwitchingSelector({ clock: options.clock });
    this.#quarantine = options.quarantine ??
      new Quarantine({ clock: options.clock });
    this.#notices = options.notices ?? new KnownNotices(options);
    this.#coldPeriods = options.coldPeriods ??
      new ColdPeriods({ clock: options.clock, notices: this.#notices });
    this.#crashes = new CrashDetector({ quarantine: this.#quarantine });
    this.#isolation = new SuspectIsolation({
      clock: options.clock,
      quarantine: this.#quarantine,
      crashes: this.#crashes,
      permits: this.#permits,
    });
    this.#headroom = options.headroom;
    this.#onSuspicion = options.onSuspicion ?? (() => {});
    this.#granting = options.granting ?? true;
    this.#tickedAt = options.clock.now();
  }

  /** The load of each organisation: slots in use and requests waiting. */
  get organisations(): ReadonlyMap<string, OrganisationLoad> {
    return this.#queue.organisations();
  }

  /** The shard's upstreams with their current state. */
  get candidates(): readonly Candidate[] {
    return [...this.#states.values()].map((state) => this.#candidate(state));
  }

  /** How upstreams are selected now. */
  get selection(): SelectionStatus | undefined {
    return this.#selector.status([...this.#states.keys()]);
  }

  /** Replaces the list of the shard's upstreams. */
  setUpstreams(upstreams: readonly Upstream[]): void {
    const now = this.#clock.now();
    const states = new Map<string, UpstreamState>();
    for (const upstream of upstreams) {
      const { id } = upstream;
      const known = this.#states.get(id);
      // Its load was not read while it was evacuated.
      const restored = known?.upstream.evacuated && !upstream.evacuated;
      this.#coldPeriods.observe(upstream);
      states.set(id, {
        breaker: new CircuitBreaker({
          onOpened: () => this.#coldPeriods.failed(id),
          onSuccess: () => this.#coldPeriods.succeeded(id),
        }),
        firstSeenAt: now,
        budget: new StartBudget(),
        load: undefined,
        foreign: 0,
        peakInFlight: 0,
        previousPeakInFlight: 0,
        refusedUntil: new Map(),
        ...known,
        ...restored ? { load: undefined, foreign: 0 } : {},
        upstream,
      });
    }
    for (const id of this.#states.keys()) {
      if (!states.has(id)) this.#selector.forget(id);
    }
    this.#states = states;
    this.#crashes.setUpstreams(upstreams);
    this.#isolation.setUpstreams(upstreams);
    this.#grantWaiting();
  }

  /** Uses this share of each rate, as another leader may use the rest. */
  set limitShare(share: number) {
    this.#limitShare = share;
  }

  /** Number of upstreams that have named a limit. */
  get limitedUpstreams(): number {
    return [...this.#states.values()]
      .filter((state) => this.#limitOf(state) !== Infinity).length;
  }

  /** Number of upstreams that are cold. */
  get coldUpstreams(): number {
    return [...this.#states.keys()]
      .filter((id) => this.#coldPeriods.isCold(id)).length;
  }

  /** Starts what limits that changed allow. */
  limitsChanged(): void {
    this.#grantWaiting();
  }

  /** Whether an upstream's load may be read: not of an evacuated, idle one. */
  mayProbe(id: string): boolean {
    return this.#states.get(id)?.upstream.evacuated !== true ||
      this.#permits.inFlight(id) > 0;
  }

  /** Whether a health check, which is a request too, may be sent; counts it. */
  takeStart(id: string): boolean {
    const state = this.#states.get(id);
    if (state === undefined || state.upstream.evacuated) return false;
    if (this.#startsLeft(state) < 1) return false;
    state.budget.take();
    return true;
  }

  /** Adds a request; `answer` is called exactly once, immediately or later. */
  submit(ticket: Ticket, answer: (answer: WaitResult) => void): void {
    const refusal = this.#refusal(ticket);
    if (refusal !== undefined) return answer({ refusal });
    const capacity = this.#capacity();
    const pushed: Result<true, Refusal> = this.#queue.push(ticket, capacity);
    if (pushed.err) return answer({ refusal: pushed.val });
    this.#answers.set(ticket.id, answer);
    this.#logIfQuarantined(ticket);
    if (this.#queue.urgency(ticket, capacity) === Urgency.Highest) {
      this.#headroom?.arrived(this.#clock.now());
    }
    this.#grantWaiting();
  }

  #logIfQuarantined({ demand: { id, route, fingerprint } }: Ticket): void {
    if (this.#quarantine.suspicion(fingerprint) !== Suspicion.Quarantined) {
      return;
    }
    const crashes = this.#quarantine.crashes(fingerprint);
    log("quarantined request queued", { id, route, fingerprint, crashes });
  }

  /** Ends a wait that its caller cancelled, also if it was granted since. */
  cancel(id: string): boolean {
    const ticket = this.#queue.remove(id);
    if (ticket !== undefined) {
      this.#isolation.dropReservations(ticket);
      const refusal = refusalOf(Reason.Cancelled, "The caller went away");
      this.#answer(id, { refusal });
      return true;
    }
    for (const { ticket, permit } of this.#permits.all()) {
      if (ticket !== id) continue;
      this.release(permit, Outcome.Cancelled, 0);
      return true;
    }
    return false;
  }

  /** Applies the load that the upstream of a permit stated some time ago. */
  stated(permit: string, load: StatedLoad, ageMs: number): void {
    const holding = this.#permits.get(permit);
    if (holding !== undefined) this.statedHere(holding.upstream, load, ageMs);
  }

  /** Applies the load that an upstream stated to this daemon. */
  statedHere(upstream: string, load: StatedLoad, ageMs = 0): void {
    if (!this.#states.has(upstream)) return;
    this.#selector.stated(upstream, load, this.#clock.now() - ageMs);
  }

  /** Ends the use of a permit. */
  release(permit: string, outcome: Outcome, tokens: number): void {
    const holding = this.#permits.remove(permit);
    if (holding === undefined) return;
    const now = this.#clock.now();
    const heldMs = now - holding.grantedAt;
    this.#selector.ended(holding, { outcome, now });
    if (outcome === Outcome.Served) {
      this.#meanHoldMs = this.#meanHoldMs === 0
        ? heldMs
        : this.#meanHoldMs * HOLD_TIME_DECAY + heldMs * (1 - HOLD_TIME_DECAY);
    }
    this.#queue.ended(holding.demand, {
      now,
      heldMs,
      tokens: outcome === Outcome.Served || outcome === Outcome.Failed
        ? tokens
        : 0,
    });
    this.#recordOutcome(holding, { outcome, now });
    this.#grantWaiting();
  }

  /** Renews permits; returns the unknown ones. */
  renew(permits: readonly string[]): readonly string[] {
    return this.#permits.renew(permits, this.#clock.now());
  }

  /** Takes over permits that another leader of the shard granted. */
  adopt(holdings: readonly AdoptedPermit[]): void {
    const now = this.#clock.now();
    for (const { isolated, ...holding } of holdings) {
      if (this.#permits.get(holding.permit) !== undefined) continue;
      if (!this.#states.has(holding.upstream)) continue;
      const isolatedUntil = isolated ? Infinity : -Infinity;
      const adopted = { ...holding, isolatedUntil };
      this.#permits.add(adopted, now);
      this.#selector.started(adopted, now);
      this.#queue.started(holding.demand, now);
      this.#updatePeak(holding.upstream);
    }
  }

  /** Starts granting permits, once those in use are known. */
  startGranting(): void {
    this.#granting = true;
    this.#grantWaiting();
  }

  /** Whether an upstream gets fewer requests, or none, after failures. */
  isTripped(id: string): boolean {
    const circuit = this.#states.get(id)?.breaker.circuit(this.#clock.now());
    return circuit !== undefined && circuit !== Circuit.Closed;
  }

  /** Whether nothing suggests that an upstream's next report will differ. */
  isSteady(id: string): boolean {
    const state = this.#states.get(id);
    if (state?.load === undefined || state.load.busy === true) return false;
    const now = this.#clock.now();
    const refuses = [...state.refusedUntil.values()]
      .some((until) => now < until);
    return !refuses && state.breaker.circuit(now) === Circuit.Closed;
  }

  /** Records the result of probing an upstream. */
  probed(id: string, result: ProbeResult, load?: Load): void {
    const state = this.#states.get(id);
    if (state === undefined || result === ProbeResult.NotAsked) return;
    const now = this.#clock.now();
    const reached = result === ProbeResult.Alive ||
      result === ProbeResult.Reachable;
    state.breaker.probed(reached, now);
    const running = this.#permits.on(id);
    this.#crashes.probed(state.upstream, { result, running, now });
    if (load !== undefined) this.#report(state, load);
    this.#grantWaiting();
  }

  /** Applies an upstream's cache events. */
  cached(id: string, events: readonly CacheEvent[]): void {
    this.#selector.cached(id, events);
  }

  /** Replaces the load of the pool's other shards. */
  setOtherShards(otherShards: OtherShards): void {
    this.#queue.setOtherShards(otherShards);
  }

  /** Ends expired permits and waits; must be called several times a second. */
  tick(): void {
    const now = this.#clock.now();
    const sinceTickMs = now - this.#tickedAt;
    this.#tickedAt = now;
    // After a pause of this daemon, renewals have arrived but were not read.
    if (sinceTickMs >= RENEWAL_INTERVAL_MS) {
      this.#permits.extendAll(sinceTickMs, now);
    }
    for (const { permit } of this.#permits.expired(now)) {
      this.release(permit, Outcome.Cancelled, 0);
    }
    for (const ticket of [...this.#queue.waiting()]) this.#expire(ticket, now);
    for (const ticket of [...this.#queue.waiting()]) this.#review(ticket);
    this.#grantWaiting();
    this.#refuseLate();
  }

  /**
   * Refuses a waiting request that can no longer complete before its deadline.
   * A slot granted to it would be wasted on a partial answer.
   */
  #expire(ticket: Ticket, now: number): void {
    const { priority, remainingMs } = ticket.demand;
    const leftMs = ticket.queuedAt + remainingMs - now;
    if (leftMs > 0 && leftMs >= this.#queue.expectedHoldMs(priority)) return;
    const [reason, message] = leftMs <= 0
      ? [Reason.DeadlineExceeded, "The deadline passed"] as const
      : [Reason.DeadlineTooShort, "The deadline is too near"] as const;
    const retryAfterMs = this.#forecast()?.msUntil(this.#queue.size) ?? 0;
    this.#refuse(ticket, reason, message, retryAfterMs);
  }

  /** Refuses what the upstreams' limits leave too little time for. */
  #refuseLate(): void {
    for (const { ticket, lateMs } of this.#queue.late(this.#capacity())) {
      this.#refuse(
        ticket,
        Reason.UpstreamLimited,
        STARTS_TOO_LATE,
        lateMs,
      );
    }
  }

  /** Applies what changed while the request waits. */
  #review(ticket: Ticket): void {
    if (!this.#hasUpstream(ticket)) {
      return this.#refuseWith(ticket, NO_UPSTREAM);
    }
    switch (this.#quarantine.admission(ticket.demand)) {
      case Admission.Refused:
        return this.#refuse(ticket, Reason.Quarantined, CRASHES_UPSTREAMS);
      case Admission.Shared:
      case Admission.Delayed:
        return this.#isolation.dropReservations(ticket);
      case Admission.Isolated:
    }
  }

  /** Ends all waits with `moved`, as the shard has another leader. */
  close(): void {
    this.#granting = false;
    for (const ticket of [...this.#queue.waiting()]) {
      this.#queue.remove(ticket.id);
      this.#isolation.dropReservations(ticket);
      this.#answer(ticket.id, { moved: true });
    }
  }

  /** Load and capacity of the shard. */
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
      models: Object.fromEntries(countByModel([
        ...waiting.map(({ demand }) => demand),
        ...[...this.#permits.all()].map(({ demand }) => demand),
      ])),
    };
  }

  /** What the shard offers for each model, as entries choose among shards. */
  modelCapacities(): ModelCapacities {
    const waiting = [...this.#queue.waiting()];
    const now = this.#clock.now();
    // An upstream that is tried again after failures takes one request only.
    const usable = this.#usable()
      .filter(({ breaker }) => breaker.circuit(now) === Circuit.Closed)
      .map((state) => this.#candidate(state));
    return modelCapacitiesOf(usable, {
      queued: countByModel(waiting.map(({ demand }) => demand)),
      refuses: (id, model) => this.#backsOffFrom(id, model),
    });
  }

  /** Grants permits while there are free slots and requests that fit them. */
  #grantWaiting(): void {
    if (!this.#granting) return;
    while (this.#queue.size > 0) {
      const free = this.#candidatesWithRoom();
      if (free.length === 0) return;
      const capacity = this.#capacity(free);
      const reserved = this.#reservedSlots(capacity);
      let picked: Candidate | undefined;
      const weights = new FreeWeights(free, {
        refuses: (id, model) => this.#backsOffFrom(id, model),
      });
      const ticket = this.#queue.take(capacity, {
        open: (urgency) => capacity.freeSlots > reserved[urgency],
        ready: (ticket) =>
          weights.suit(ticket.demand) && this.#isolation.isReady(ticket, free),
        fits: (ticket) => {
          picked = this.#selectUpstream(ticket, free);
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
    const isolated = this.#isolation.runsIsolated(demand);
    if (isolated) this.#logIsolated(ticket, { permit, upstream });
    this.#recordIfPaced(ticket, upstream);
    const holding = {
      permit,
      ticket: ticket.id,
      upstream: upstream.id,
      entry: ticket.entry,
      demand,
      grantedAt: now,
      isolatedUntil: this.#isolation.endOf(demand, now),
    };
    this.#permits.add(holding, now);
    this.#selector.started(holding, now);
    this.#queue.started(demand, now);
    this.#isolation.dropReservations(ticket);
    const state = this.#states.get(upstream.id);
    state?.breaker.granted(now);
    state?.budget.take();
    this.#selector.granted(ticket, upstream.id);
    this.#updatePeak(upstream.id);
    this.#answer(ticket.id, { permit, upstream, isolated });
  }

  #recordIfPaced(
    { entry, queuedAt, demand: { id, route } }: Ticket,
    upstream: Upstream,
  ): void {
    const limitPerS = this.#notices.limitOf(upstream.id);
    const cold = this.#coldPeriods.isCold(upstream.id);
    if (limitPerS === Infinity && !cold) return;
    const waitedMs = this.#clock.now() - queuedAt;
    if (limitPerS !== Infinity) this.#onLimitedGrant(waitedMs);
    if (cold) this.#onColdGrant(waitedMs);
    log(cold ? "cold upstream granted" : "limited upstream granted", {
      id,
      route,
      upstream: upstream.id,
      limitPerS: limitPerS === Infinity ? "none" : limitPerS,
      entry,
      waitedMs: Math.round(waitedMs),
    });
  }

  #logIsolated(
    { demand: { id, route, fingerprint } }: Ticket,
    { permit, upstream }: { permit: string; upstream: Upstream },
  ): void {
    const runs = this.#quarantine.finding(fingerprint)?.runs ?? [];
    log("suspect granted", {
      id,
      route,
      fingerprint,
      permit,
      upstream: upstream.id,
      crashes: this.#quarantine.crashes(fingerprint),
      ageMs: Math.round(Math.min(...runs.map(({ ageMs }) => ageMs))),
    });
  }

  /** The upstream that a request can run on now, if any. */
  #selectUpstream(
    ticket: Ticket,
    free: readonly Candidate[],
  ): Candidate | undefined {
    if (this.#isolation.runsIsolated(ticket.demand)) {
      const eligible = free.filter((candidate) =>
        isEligible(ticket.demand, candidate)
      );
      return this.#isolation.select(ticket, eligible);
    }
    const trialUpstream = this.#trialUpstream(ticket.demand);
    const fitting = free.filter((candidate) =>
      !this.#isolation.isReserved(candidate.upstream.id) &&
      !this.#backsOffFrom(candidate.upstream.id, ticket.demand.model) &&
      (trialUpstream === undefined ||
        trialUpstream === candidate.upstream.id) &&
      isEligible(ticket.demand, candidate)
    );
    if (fitting.length === 0) return undefined;
    return this.#selector.pick(ticket, fitting);
  }

  /** The only upstream for requests with this fingerprint now, if any. */
  #trialUpstream(demand: Demand): string | undefined {
    const equal = this.#permits.withFingerprint(demand.fingerprint);
    const since = this.#clock.now() - TRIAL_RUN_MS;
    if (equal.some(({ grantedAt }) => grantedAt <= since)) return undefined;
    const tried = equal.find((permit) => {
      const upstream = this.#states.get(permit.upstream)?.upstream;
      return upstream !== undefined && isInUse(upstream) &&
        !demand.exclude.includes(upstream.id);
    });
    return tried?.upstream;
  }

  /**
   * Whether an upstream refused a request of this model recently, as one does
   * while it loads the model's weights.
   */
  #backsOffFrom(id: string, model: string | undefined): boolean {
    const state = this.#states.get(id);
    if (state === undefined || model === undefined) return false;
    const until = state.refusedUntil.get(model);
    if (until === undefined) return false;
    if (this.#clock.now() < until || state.load?.busy === true) return true;
    state.refusedUntil.delete(model);
    return false;
  }

  /** Upstreams with a free slot. */
  #candidatesWithRoom(): readonly Candidate[] {
    const now = this.#clock.now();
    const free: Candidate[] = [];
    for (const state of this.#states.values()) {
      const { upstream, breaker } = state;
      if (!isInUse(upstream) || !breaker.allows(now)) continue;
      if (this.#isolation.isOccupied(upstream.id, now)) continue;
      const candidate = this.#candidate(state);
      if (freeSlotsOf(candidate) > 0) free.push(candidate);
    }
    return free;
  }

  #candidate(state: UpstreamState): Candidate {
    return {
      upstream: state.upstream,
      inFlight: this.#permits.inFlight(state.upstream.id),
      foreign: Math.round(state.foreign),
      load: state.load,
      readyForMs: this.#clock.now() - state.firstSeenAt,
      startsLeft: this.#startsLeft(state),
    };
  }

  /** Requests that may start on an upstream by its limit, or as it is cold. */
  #startsLeft(state: UpstreamState): number {
    const pace = this.#coldPeriods.paceOf(state.upstream.id);
    const cold = pace && {
      ...pace,
      ratePerS: pace.ratePerS * this.#limitShare,
    };
    state.budget.update(this.#limitOf(state), this.#clock.now(), cold);
    return state.budget.left;
  }

  #limitOf({ upstream }: UpstreamState): number {
    return this.#notices.limitOf(upstream.id) * this.#limitShare;
  }

  /** Why a request is refused before it waits, if it is. */
  #refusal(ticket: Ticket): Refusal | undefined {
    const { remainingMs } = ticket.demand;
    if (this.#quarantine.admission(ticket.demand) === Admission.Refused) {
      return refusalOf(Reason.Quarantined, CRASHES_UPSTREAMS);
    }
    if (remainingMs <= 0) {
      return refusalOf(Reason.DeadlineExceeded, "The deadline passed");
    }
    return this.#hasUpstream(ticket) ? undefined : NO_UPSTREAM;
  }

  /** Whether an upstream stays that the request may be sent to. */
  #hasUpstream({ demand: { exclude } }: Ticket): boolean {
    return [...this.#states.values()].some(({ upstream }) =>
      isInUse(upstream) && !exclude.includes(upstream.id)
    );
  }

  #refuse(
    ticket: Ticket,
    reason: Reason,
    message: string,
    retryAfterMs = 0,
  ): void {
    this.#refuseWith(ticket, refusalOf(reason, message, retryAfterMs));
  }

  #refuseWith(ticket: Ticket, refusal: Refusal): void {
    this.#queue.remove(ticket.id);
    this.#isolation.dropReservations(ticket);
    this.#answer(ticket.id, { refusal });
  }

  #answer(id: string, answer: WaitResult): void {
    const settle = this.#answers.get(id);
    this.#answers.delete(id);
    settle?.(answer);
  }

  #recordOutcome(
    holding: ActivePermit,
    options: { outcome: Outcome; now: number },
  ): void {
    const { outcome, now } = options;
    const state = this.#states.get(holding.upstream);
    if (state === undefined) return;
    state.breaker.ended(outcome, now);
    const answered = outcome === Outcome.Served ||
      outcome === Outcome.Failed || outcome === Outcome.Refused;
    if (answered) {
      this.#selector.freed(holding.entry, holding.upstream);
    }
    const { model } = holding.demand;
    if (outcome === Outcome.Refused && model !== undefined) {
      state.refusedUntil.set(model, now + MODEL_REFUSAL_BACKOFF_MS);
    }
    const suspicious = this.#crashes.ended(holding, {
      outcome,
      now,
      upstream: state.upstream,
      running: this.#permits.on(holding.upstream),
    });
    if (suspicious) this.#onSuspicion(holding.upstream);
  }

  /**
   * Estimates the requests beyond this leader's permits. As the report lags, it
   * is compared with the recent peak of permits in use.
   */
  #report(state: UpstreamState, load: Load): void {
    const own = Math.max(state.peakInFlight, state.previousPeakInFlight);
    const foreign = Math.max(0, load.running + load.queued - own);
    state.foreign = (state.foreign + foreign) / 2;
    state.load = load;
    state.previousPeakInFlight = state.peakInFlight;
    state.peakInFlight = this.#permits.inFlight(state.upstream.id);
  }

  #updatePeak(upstream: string): void {
    const state = this.#states.get(upstream);
    if (state === undefined) return;
    state.peakInFlight = Math.max(
      state.peakInFlight,
      this.#permits.inFlight(upstream),
    );
  }

  #capacity(free = this.#candidatesWithRoom()): Capacity {
    return {
      now: this.#clock.now(),
      slots: this.#slots(),
      freeSlots: free.reduce((sum, one) => sum + freeSlotsOf(one), 0),
      forecast: this.#forecast(),
    };
  }

  /** When requests may start, if all usable upstreams have limits. */
  #forecast(): StartForecast | undefined {
    const usable = this.#usable();
    const limited = usable.length > 0 &&
      usable.every((state) => this.#startsLeft(state) !== Infinity);
    if (!limited) return undefined;
    return new StartForecast({ budgets: usable.map(({ budget }) => budget) });
  }

  /** Slots that can be in use; a limit on starts keeps the others empty. */
  #slots(): number {
    return this.#usable().reduce((sum, state) => {
      const { slots } = state.upstream;
      if (this.#startsLeft(state) === Infinity || this.#meanHoldMs === 0) {
        return sum + slots;
      }
      const inUse = state.budget.ratePerS * this.#meanHoldMs / 1000;
      return sum + Math.min(slots, inUse);
    }, 0);
  }

  #usable(): readonly UpstreamState[] {
    const now = this.#clock.now();
    return [...this.#states.values()].filter(({ upstream, breaker }) =>
      isInUse(upstream) && breaker.allows(now)
    );
  }

  /** Free slots that requests of each urgency must leave unused. */
  #reservedSlots(capacity: Capacity): Readonly<Record<Urgency, number>> {
    if (this.#headroom === undefined) return NO_RESERVED_SLOTS;
    // Where starts are limited, free slots serve nobody.
    if (capacity.forecast !== undefined) return NO_RESERVED_SLOTS;
    const headroom = this.#headroom.size(capacity);
    const claims = Math.min(
      this.#queue.anticipatedSlots(capacity),
      capacity.slots * MAX_ANTICIPATED_SLOTS_FRACTION,
    );
    return {
      [Urgency.Highest]: 0,
      [Urgency.High]: Math.ceil(headroom / 2),
      [Urgency.Low]: headroom + Math.round(claims),
    };
  }
}

const NO_UPSTREAM = refusalOf(
  Reason.NoUpstream,
  "No upstream of the pool can take the request",
  NO_UPSTREAM_RETRY_AFTER_MS,
);

/** Requests that may start on an upstream now. */
function freeSlotsOf(candidate: Candidate): number {
  const { inFlight, foreign, startsLeft } = candidate;
  const free = slotsOf(candidate) - inFlight - foreign;
  return Math.max(0, Math.min(startsLeft, free));
}

/** Whether an upstream is suitable for a request. */
function isEligible(demand: Demand, candidate: Candidate): boolean {
  if (demand.exclude.includes(candidate.upstream.id)) return false;
  if (demand.model === undefined) {
    return demand.minVersion <= (candidate.load?.weightVersion ?? 0);
  }
  const version = weightVersionsOf(candidate)[demand.model] ?? 0;
  return demand.minVersion <= version;
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
