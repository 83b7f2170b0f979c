/**
 * Fair sharing of a pool's slots between organisations.
 *
 * An organisation is entitled to a share of the slots by its weight among the
 * active organisations, which are those with requests that run or wait anywhere
 * in the pool. Organisations below their entitlement are served first, and of
 * their requests the most urgent class; remaining slots go to the others, least
 * served first. The slots of an idle organisation are thus lent to others, and
 * return to it as they are released. Counting slots in use needs no estimate of
 * a request's length, and a long request is charged for as long as it runs.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import { Reason, Refusal, Verdict } from "../kernel/mod.ts";
import { Priority } from "../tables/mod.ts";
import { FitScan } from "./fit_scan.ts";
import type { Demand } from "./mod.ts";
import {
  type Capacity,
  type LateTicket,
  type OrganisationLoad,
  type OtherShards,
  Queue,
  type SlotUsage,
  type StartConditions,
  STARTS_TOO_LATE,
  type Ticket,
  Urgency,
} from "./queue.ts";

/** Classes from the most to the least urgent. */
const CLASSES = [
  Priority.Interactive,
  Priority.Standard,
  Priority.Training,
  Priority.Batch,
] as const;

/** Advantage of a class for lent slots, as a share of the entitlement. */
const CLASS_LEAD_SHARE: Readonly<Record<Priority, number>> = {
  [Priority.Interactive]: 0.5,
  [Priority.Standard]: 0.2,
  [Priority.Training]: 0.05,
  [Priority.Batch]: 0,
};

/** Time constant of the mean of an organisation's slots in use. */
const SLOT_USE_TIME_CONSTANT_MS = 5000;

/** An organisation with a request in this time is expected to send more. */
const RECENT_REQUEST_MS = 30_000;

/** Part of an organisation's entitlement reserved for training and batch. */
const GUARANTEED_SHARE = 0.1;

/** Shortest retry delay for a refused caller. */
const MIN_RETRY_AFTER_MS = 100;

/** Longest delay of a start that a limit allows, as leaders act by ticks. */
const START_DELAY_MS = 100;

/** By which an expected wait for a start must fit: starts may be lost. */
const WAIT_MARGIN = 1.25;

/** Weights of the old value when a running mean is updated. */
const HOLD_TIME_DECAY = 0.95;
const GRANT_INTERVAL_DECAY = 0.8;

/** One organisation's waiting requests of one class. */
class ClassQueue {
  /** In the order in which they start. */
  #tickets: readonly Ticket[] = [];
  running = 0;
  /** Mean time between two grants while others wait. */
  #grantIntervalMs = 0;
  #lastGrantAt = 0;

  push(ticket: Ticket): void {
    if (this.size === 0) this.#lastGrantAt = ticket.queuedAt;
    const later = this.#tickets.findIndex((other) =>
      startsBefore(ticket, other)
    );
    const at = later < 0 ? this.size : later;
    this.#tickets = this.#tickets.toSpliced(at, 0, ticket);
  }

  get size(): number {
    return this.#tickets.length;
  }

  /** The waiting requests, the next one first. */
  waiting(): Iterable<Ticket> {
    return this.#tickets;
  }

  remove({ id }: Ticket): void {
    this.#tickets = this.#tickets.filter((other) => other.id !== id);
  }

  /** Records that a request of this queue was granted a slot. */
  granted(now: number): void {
    const intervalMs = now - this.#lastGrantAt;
    this.#grantIntervalMs = this.#grantIntervalMs * GRANT_INTERVAL_DECAY +
      intervalMs * (1 - GRANT_INTERVAL_DECAY);
    this.#lastGrantAt = now;
  }

  /** Expected wait of one more request, from the rate of grants. */
  waitMs(now: number): number {
    if (this.size === 0) return 0;
    const intervalMs = Math.max(this.#grantIntervalMs, now - this.#lastGrantAt);
    return this.size * intervalMs;
  }
}

/** An organisation's queues and slots in use. */
class OrganisationState {
  readonly queues: ReadonlyMap<Priority, ClassQueue> = new Map(
    CLASSES.map((priority) => [priority, new ClassQueue()]),
  );
  weight = 1;
  running = 0;
  waiting = 0;
  lastRequestAt = -Infinity;
  otherShards: OrganisationLoad | undefined;
  /** Recent mean of the slots in use. */
  #mean = 0;
  #meanAt = 0;

  get isActive(): boolean {
    const { running = 0, waiting = 0 } = this.otherShards ?? {};
    return this.running + this.waiting + running + waiting > 0;
  }

  /** Slots in use over the whole pool. */
  get total(): number {
    return this.running + (this.otherShards?.running ?? 0);
  }

  /** Updates the recent mean to `now`, before slots in use change. */
  updateMean(now: number): void {
    if (now === this.#meanAt) return;
    const kept = Math.exp((this.#meanAt - now) / SLOT_USE_TIME_CONSTANT_MS);
    this.#mean = this.#mean * kept + this.total * (1 - kept);
    this.#meanAt = now;
  }

  /** Mean of the slots in use now and their recent mean. */
  use(now: number): number {
    this.updateMean(now);
    return (this.#mean + this.total) / 2;
  }

  queue(priority: Priority): ClassQueue {
    return this.queues.get(priority) as ClassQueue;
  }
}

/** A queue whose first request may start next. */
interface QueueHead {
  readonly organisation: OrganisationState;
  readonly queue: ClassQueue;
  readonly urgency: Urgency;
  /** The lowest goes first; negative if below the entitlement. */
  readonly rank: number;
}

/** Serves organisations by their share, and urgent requests first. */
export class FairQueue extends Queue {
  readonly #states = new Map<string, OrganisationState>();
  readonly #tickets = new Map<string, Ticket>();
  readonly #meanHoldMs = new Map<Priority, number>();
  readonly #organisationLimit: number;
  readonly #limit: number;
  #otherShardsSlots = 0;
  /** Cached until an organisation's activity or weight may have changed. */
  #activeWeights: number | undefined;

  constructor(options: { organisationLimit?: number; limit?: number } = {}) {
    super();
    this.#organisationLimit = options.organisationLimit ?? 4096;
    this.#limit = options.limit ?? 16384;
  }

  get size(): number {
    return this.#tickets.size;
  }

  waiting(): Iterable<Ticket> {
    return this.#tickets.values();
  }

  push(ticket: Ticket, capacity: Capacity): Result<true, Refusal> {
    const { demand } = ticket;
    const organisation = this.#stateOf(demand.tenant, demand.weight);
    const refusal = this.#refusal(demand, organisation, capacity);
    if (refusal !== undefined) return Err(refusal);
    organisation.queue(demand.priority).push(ticket);
    organisation.waiting += 1;
    this.#activeWeights = undefined;
    organisation.lastRequestAt = capacity.now;
    this.#tickets.set(ticket.id, ticket);
    return Ok(true);
  }

  take(
    capacity: Capacity,
    { open, ready, fits }: StartConditions,
  ): Ticket | undefined {
    const heads = this.#heads(capacity).filter(({ urgency }) => open(urgency));
    while (heads.length > 0) {
      const { organisation, queue } = removeFirst(heads);
      const scan = new FitScan();
      for (const ticket of queue.waiting()) {
        if (!ready(ticket)) continue;
        if (scan.isOver) break;
        if (!scan.admits(ticket.demand) || !fits(ticket)) continue;
        this.#dequeue(ticket, organisation);
        queue.granted(capacity.now);
        return ticket;
      }
    }
    return undefined;
  }

  remove(id: string): Ticket | undefined {
    const ticket = this.#tickets.get(id);
    if (ticket === undefined) return undefined;
    const { tenant, weight } = ticket.demand;
    this.#dequeue(ticket, this.#stateOf(tenant, weight));
    return ticket;
  }

  override urgency({ demand }: Ticket, capacity: Capacity): Urgency {
    const organisation = this.#stateOf(demand.tenant, demand.weight);
    const underserved = organisation.use(capacity.now) <
      this.#entitlement(organisation, capacity);
    return urgencyOf(demand.priority, underserved);
  }

  override anticipatedSlots(capacity: Capacity): number {
    const recent = [...this.#states.values()].filter(({ lastRequestAt }) =>
      capacity.now - lastRequestAt < RECENT_REQUEST_MS
    );
    const weights = recent.reduce((sum, { weight }) => sum + weight, 0);
    const total = capacity.slots + this.#otherShardsSlots;
    const claims = recent.map((organisation) =>
      Math.max(
        0,
        organisation.weight / weights * total - organisation.use(capacity.now),
      )
    );
    const claimed = claims.reduce((sum, claim) => sum + claim, 0);
    return claimed * capacity.slots / total;
  }

  override started({ tenant, weight, priority }: Demand, now: number): void {
    const organisation = this.#stateOf(tenant, weight);
    organisation.updateMean(now);
    organisation.running += 1;
    this.#activeWeights = undefined;
    organisation.queue(priority).running += 1;
  }

  override expectedHoldMs(priority: Priority): number {
    return this.#meanHoldMs.get(priority) ?? 0;
  }

  override ended(
    { tenant, weight, priority }: Demand,
    slotUsage: SlotUsage,
  ): void {
    const organisation = this.#stateOf(tenant, weight);
    organisation.updateMean(slotUsage.now);
    organisation.running -= 1;
    this.#activeWeights = undefined;
    organisation.queue(priority).running -= 1;
    if (slotUsage.tokens === 0) return;
    const previousMs = this.#meanHoldMs.get(priority) ?? 0;
    this.#meanHoldMs.set(priority, mean(previousMs, slotUsage.heldMs));
  }

  override setOtherShards({ slots, organisations }: OtherShards): void {
    this.#otherShardsSlots = slots;
    this.#activeWeights = undefined;
    for (const organisation of this.#states.values()) {
      organisation.otherShards = undefined;
    }
    for (const [organisationId, load] of organisations) {
      this.#stateOf(organisationId, load.weight).otherShards = load;
    }
  }

  override organisations(): ReadonlyMap<string, OrganisationLoad> {
    const present = [...this.#states]
      .filter(([, { running, waiting }]) => running + waiting > 0);
    return new Map(
      present.map(([organisationId, { weight, running, waiting }]) =>
        [organisationId, { weight, running, waiting }] as const
      ),
    );
  }

  /** Queues with waiting requests. */
  #heads(capacity: Capacity): QueueHead[] {
    const heads: QueueHead[] = [];
    for (const organisation of this.#states.values()) {
      if (organisation.waiting === 0) continue;
      const entitlement = this.#entitlement(organisation, capacity);
      const use = organisation.use(capacity.now) / entitlement;
      for (const [index, priority] of CLASSES.entries()) {
        const queue = organisation.queue(priority);
        if (queue.size === 0) continue;
        const urgency = urgencyOf(priority, use < 1);
        const rank = use < 1
          ? entitledRank(
            use,
            isBelowGuarantee(organisation, { priority, entitlement })
              ? -1
              : index,
          )
          : use - CLASS_LEAD_SHARE[priority];
        heads.push({ organisation, queue, urgency, rank });
      }
    }
    return heads;
  }

  /** Slots of the whole pool that an organisation is entitled to now. */
  #entitlement(organisation: OrganisationState, { slots }: Capacity): number {
    const total = slots + this.#otherShardsSlots;
    return organisation.weight /
      Math.max(organisation.weight, this.#weights()) * total;
  }

  /** Sum of the weights of all active organisations. */
  #weights(): number {
    if (this.#activeWeights !== undefined) return this.#activeWeights;
    let weights = 0;
    for (const organisation of this.#states.values()) {
      if (organisation.isActive) weights += organisation.weight;
    }
    this.#activeWeights = weights;
    return weights;
  }

  /** Why a request is not queued, if it is not. */
  #refusal(
    demand: Demand,
    organisation: OrganisationState,
    capacity: Capacity,
  ): Refusal | undefined {
    if (this.size >= this.#limit) {
      return refuse(Reason.QueueFull, "The pool's queue is full");
    }
    if (organisation.waiting >= this.#organisationLimit) {
      return refuse(Reason.TenantOverShare, "Too many requests are waiting");
    }
    if (capacity.freeSlots > 0 && organisation.waiting === 0) return undefined;
    const slotWaitMs = this.#slotWaitMs(demand, organisation, capacity);
    const startWaitMs = this.#startWaitMs(organisation, {
      priority: demand.priority,
      ahead: waitingBefore(organisation, demand.priority),
      capacity,
    });
    const waitMs = startWaitMs > 0
      ? Math.max(slotWaitMs, startWaitMs * WAIT_MARGIN + START_DELAY_MS)
      : Math.max(
        slotWaitMs,
        organisation.queue(demand.priority).waitMs(capacity.now),
      );
    const lateMs = waitMs + this.expectedHoldMs(demand.priority) -
      demand.remainingMs;
    if (lateMs <= 0) return undefined;
    if (startWaitMs > slotWaitMs) {
      return refuse(Reason.UpstreamLimited, STARTS_TOO_LATE, lateMs);
    }
    return organisation.waiting > 0
      ? refuse(
        Reason.TenantOverShare,
        "The tenant's share is in use",
        lateMs,
      )
      : refuse(Reason.DeadlineTooShort, "The deadline can't be met", lateMs);
  }

  override late(capacity: Capacity): readonly LateTicket[] {
    if (capacity.forecast === undefined) return [];
    return [...this.#states.values()]
      .filter(({ waiting }) => waiting > 0)
      .flatMap((organisation) => this.#lateOf(organisation, capacity));
  }

  #lateOf(
    organisation: OrganisationState,
    capacity: Capacity,
  ): readonly LateTicket[] {
    const late: LateTicket[] = [];
    let ahead = 0;
    for (const priority of CLASSES) {
      const holdMs = this.expectedHoldMs(priority);
      for (const ticket of organisation.queue(priority).waiting()) {
        const waitMs = this.#startWaitMs(organisation, {
          priority,
          ahead,
          capacity,
        });
        const { queuedAt, demand } = ticket;
        const leftMs = queuedAt + demand.remainingMs - capacity.now;
        const lateMs = waitMs + holdMs - leftMs;
        if (lateMs > 0) late.push({ ticket, lateMs });
        else ahead += 1;
      }
    }
    return late;
  }

  /**
   * Expected wait until the upstreams' limits let a request start that has
   * `ahead` others of its organisation before it. Organisations take turns by
   * weight, so of each other one no more go first than wait there.
   */
  #startWaitMs(
    organisation: OrganisationState,
    { priority, ahead, capacity }: {
      priority: Priority;
      ahead: number;
      capacity: Capacity;
    },
  ): number {
    const { forecast } = capacity;
    if (forecast === undefined) return 0;
    let before = ahead;
    for (const other of this.#states.values()) {
      if (other === organisation || other.waiting === 0) continue;
      const turns = (ahead + 1) * other.weight / organisation.weight;
      before += Math.min(turns, waitingBefore(other, priority));
    }
    return forecast.msUntil(before + 1);
  }

  /** Expected wait of one more request for a slot, in milliseconds. */
  #slotWaitMs(
    demand: Demand,
    organisation: OrganisationState,
    capacity: Capacity,
  ): number {
    const weights = this.#weights() +
      (organisation.isActive ? 0 : organisation.weight);
    const share = organisation.weight / weights * capacity.slots;
    let workMs = 0;
    let taken = 0;
    for (const priority of CLASSES) {
      const { size, running } = organisation.queue(priority);
      workMs += size * this.expectedHoldMs(priority);
      if (priority === demand.priority) break;
      taken += running;
    }
    // Slots in use by more urgent classes are not available.
    const slots = Math.max(1, GUARANTEED_SHARE * share, share - taken);
    return workMs / slots;
  }

  #stateOf(organisationId: string, weight: number): OrganisationState {
    const known = this.#states.get(organisationId);
    if (known?.weight === weight) return known;
    const organisation = known ?? new OrganisationState();
    organisation.weight = weight;
    this.#states.set(organisationId, organisation);
    this.#activeWeights = undefined;
    return organisation;
  }

  #dequeue(ticket: Ticket, organisation: OrganisationState): void {
    this.#tickets.delete(ticket.id);
    organisation.queue(ticket.demand.priority).remove(ticket);
    organisation.waiting -= 1;
    this.#activeWeights = undefined;
  }
}

/** Requests of an organisation that wait in this class or a more urgent one. */
function waitingBefore(
  organisation: OrganisationState,
  priority: Priority,
): number {
  const classes = CLASSES.slice(0, CLASSES.indexOf(priority) + 1);
  return classes.reduce((sum, one) => sum + organisation.queue(one).size, 0);
}

/** When a request must start; infinity, and so last, if unknown. */
function startByOf({ queuedAt, demand }: Ticket): number {
  return demand.startInMs === undefined
    ? Infinity
    : queuedAt + demand.startInMs;
}

/** Whether one request goes before another one of its queue. */
function startsBefore(one: Ticket, other: Ticket): boolean {
  const startBy = startByOf(one);
  const otherStartBy = startByOf(other);
  if (startBy !== otherStartBy) return startBy < otherStartBy;
  return waitingSince(one) < waitingSince(other);
}

function waitingSince({ queuedAt, waitedMs = 0 }: Ticket): number {
  return queuedAt - waitedMs;
}

/** Rank of an organisation below its entitlement: by class, then by use. */
function entitledRank(use: number, index: number): number {
  return index - CLASSES.length - 1 + use;
}

function urgencyOf(priority: Priority, underserved: boolean): Urgency {
  const interactive = priority === Priority.Interactive;
  if (underserved && interactive) return Urgency.Highest;
  return underserved || interactive ? Urgency.High : Urgency.Low;
}

/** Removes and returns the head of lowest rank; `heads` is not empty. */
function removeFirst(heads: QueueHead[]): QueueHead {
  let first = 0;
  for (let index = 1; index < heads.length; index++) {
    if (heads[index].rank < heads[first].rank) first = index;
  }
  return heads.splice(first, 1)[0];
}

/** Whether training and batch have fewer slots than guaranteed. */
function isBelowGuarantee(organisation: OrganisationState, options: {
  priority: Priority;
  entitlement: number;
}): boolean {
  const { priority, entitlement } = options;
  if (priority !== Priority.Training && priority !== Priority.Batch) {
    return false;
  }
  const running = organisation.queue(Priority.Training).running +
    organisation.queue(Priority.Batch).running;
  return running < GUARANTEED_SHARE * entitlement;
}

function refuse(reason: Reason, message: string, lateMs = 0): Refusal {
  return new Refusal({
    verdict: Verdict.NotRun,
    reason,
    message,
    retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, Math.round(lateMs)),
  });
}

function mean(old: number, value: number): number {
  return old === 0
    ? value
    : old * HOLD_TIME_DECAY + value * (1 - HOLD_TIME_DECAY);
}
