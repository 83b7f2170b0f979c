/**
 * Fair shares of a pool's slots.
 *
 * A tenant is entitlement to a part of the slots by its weight among the tenants
 * that are present, which are those that run or wait anywhere in the pool.
 * Tenants below what they are entitlement to go first, and among their requests
 * the most urgent class; what they leave goes to the others, least served
 * first. So an idle tenant's slots are lent, and go back to it with the next
 * ones that come free. Slots in use need no estimate of a request's length,
 * and a request that runs long is charged for as long as it runs.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import { Reason, Refusal, Verdict } from "../kernel/mod.ts";
import { Priority } from "../tables/mod.ts";
import type { Demand } from "./mod.ts";
import {
  type Capacity,
  type OrganisationLoad,
  type OtherShards,
  Queue,
  type SlotUsage,
  type StartConditions,
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

/** Lead of a class among lent slots, in parts of the tenant's entitlement. */
const CLASS_LEAD_SHARE: Readonly<Record<Priority, number>> = {
  [Priority.Interactive]: 0.5,
  [Priority.Standard]: 0.2,
  [Priority.Training]: 0.05,
  [Priority.Batch]: 0,
};

/** Time over which a tenant's use of slots is remembered. */
const SLOT_USE_TIME_CONSTANT_MS = 5000;

/** A tenant that asked within this time is expected to ask again. */
const RECENT_REQUEST_MS = 30_000;

/** Part of a tenant's entitlement that its less urgent classes always get. */
const GUARANTEED_SHARE = 0.1;

/** Requests of one class and tenant that are looked at for one that fits. */
const MAX_SCANNED_REQUESTS = 8;

/** Soonest time at which a refused caller is asked to come back. */
const MIN_RETRY_AFTER_MS = 100;

/** Parts of the old value that running means keep at each new one. */
const HOLD_TIME_DECAY = 0.95;
const GRANT_INTERVAL_DECAY = 0.8;

/** One tenant's waiting requests of one class. */
class ClassQueue {
  /** In the order in which they shall start. */
  #tickets: readonly Ticket[] = [];
  running = 0;
  /** Mean time between two grants while others wait. */
  #grantIntervalMs = 0;
  #lastGrantAt = 0;

  push(ticket: Ticket): void {
    if (this.size === 0) this.#lastGrantAt = ticket.queuedAt;
    const startBy = startByOf(ticket);
    const later = this.#tickets.findIndex((other) =>
      startByOf(other) > startBy
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

  /** Takes note of a grant to a request of this lane. */
  granted(now: number): void {
    const intervalMs = now - this.#lastGrantAt;
    this.#grantIntervalMs = this.#grantIntervalMs * GRANT_INTERVAL_DECAY +
      intervalMs * (1 - GRANT_INTERVAL_DECAY);
    this.#lastGrantAt = now;
  }

  /** Expected wait of one more request, from how the lane moves. */
  waitMs(now: number): number {
    if (this.size === 0) return 0;
    const intervalMs = Math.max(this.#grantIntervalMs, now - this.#lastGrantAt);
    return this.size * intervalMs;
  }
}

/** A tenant's lanes and slots. */
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

  /** Brings the recent mean up to `now`, before slots in use change. */
  updateMean(now: number): void {
    if (now === this.#meanAt) return;
    const kept = Math.exp((this.#meanAt - now) / SLOT_USE_TIME_CONSTANT_MS);
    this.#mean = this.#mean * kept + this.total * (1 - kept);
    this.#meanAt = now;
  }

  /** Slots in use, half of them as they were lately. */
  use(now: number): number {
    this.updateMean(now);
    return (this.#mean + this.total) / 2;
  }

  queue(priority: Priority): ClassQueue {
    return this.queues.get(priority) as ClassQueue;
  }
}

/** A lane whose head could go next. */
interface QueueHead {
  readonly organisation: OrganisationState;
  readonly queue: ClassQueue;
  readonly urgency: Urgency;
  /** The least goes first; below 0 for a tenant that is due. */
  readonly rank: number;
}

/** Serves tenants by their share of the slots, and urgent requests first. */
export class FairQueue extends Queue {
  readonly #organisationStates = new Map<string, OrganisationState>();
  readonly #tickets = new Map<string, Ticket>();
  readonly #meanHoldMs = new Map<Priority, number>();
  readonly #organisationLimit: number;
  readonly #limit: number;
  #otherShardsSlots = 0;
  /** Kept until a tenant's presence or weight may have changed. */
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
    { open, fits }: StartConditions,
  ): Ticket | undefined {
    const heads = this.#heads(capacity).filter(({ urgency }) => open(urgency));
    while (heads.length > 0) {
      const { organisation, queue } = removeFirst(heads);
      let scanned = 0;
      for (const ticket of queue.waiting()) {
        if (++scanned > MAX_SCANNED_REQUESTS) break;
        if (!fits(ticket)) continue;
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
    const recent = [...this.#organisationStates.values()].filter((
      { lastRequestAt },
    ) => capacity.now - lastRequestAt < RECENT_REQUEST_MS);
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

  override started(
    { tenant, weight, priority }: Demand,
    now: number,
  ): void {
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
    spent: SlotUsage,
  ): void {
    const organisation = this.#stateOf(tenant, weight);
    organisation.updateMean(spent.now);
    organisation.running -= 1;
    this.#activeWeights = undefined;
    organisation.queue(priority).running -= 1;
    if (spent.tokens === 0) return;
    const previousMs = this.#meanHoldMs.get(priority) ?? 0;
    this.#meanHoldMs.set(priority, mean(previousMs, spent.heldMs));
  }

  override setOtherShards(
    { slots, organisations }: OtherShards,
  ): void {
    this.#otherShardsSlots = slots;
    this.#activeWeights = undefined;
    for (const organisation of this.#organisationStates.values()) {
      organisation.otherShards = undefined;
    }
    for (const [organisationId, presence] of organisations) {
      this.#stateOf(organisationId, presence.weight).otherShards = presence;
    }
  }

  override organisations(): ReadonlyMap<string, OrganisationLoad> {
    const present = [...this.#organisationStates]
      .filter(([, { running, waiting }]) => running + waiting > 0);
    return new Map(
      present.map(([organisationId, { weight, running, waiting }]) =>
        [organisationId, { weight, running, waiting }] as const
      ),
    );
  }

  /** Lanes with waiting requests. */
  #heads(capacity: Capacity): QueueHead[] {
    const heads: QueueHead[] = [];
    for (const organisation of this.#organisationStates.values()) {
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

  /** Slots of the whole pool that a tenant is entitlement to now. */
  #entitlement(organisation: OrganisationState, { slots }: Capacity): number {
    const total = slots + this.#otherShardsSlots;
    return organisation.weight /
      Math.max(organisation.weight, this.#weights()) * total;
  }

  /** Weights of all tenants that run or wait anywhere in the pool. */
  #weights(): number {
    if (this.#activeWeights !== undefined) return this.#activeWeights;
    let weights = 0;
    for (const organisation of this.#organisationStates.values()) {
      if (organisation.isActive) weights += organisation.weight;
    }
    this.#activeWeights = weights;
    return weights;
  }

  /** Why a request is not taken in, if it is not. */
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
    const waitMs = this.#waitMs(demand, organisation, capacity);
    const lateMs = waitMs + this.expectedHoldMs(demand.priority) -
      demand.remainingMs;
    if (lateMs <= 0) return undefined;
    return organisation.waiting > 0
      ? refuse(Reason.TenantOverShare, "The tenant's share is in use", lateMs)
      : refuse(Reason.DeadlineTooShort, "The deadline can't be met", lateMs);
  }

  /** Expected wait of one more request, in milliseconds. */
  #waitMs(
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
    // More urgent requests keep the slots that they have.
    const slots = Math.max(1, GUARANTEED_SHARE * share, share - taken);
    const queue = organisation.queue(demand.priority);
    return Math.max(workMs / slots, queue.waitMs(capacity.now));
  }

  #stateOf(organisationId: string, weight: number): OrganisationState {
    const known = this.#organisationStates.get(organisationId);
    if (known?.weight === weight) return known;
    const organisation = known ?? new OrganisationState();
    organisation.weight = weight;
    this.#organisationStates.set(organisationId, organisation);
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

/** When a request must start; the last of all where it isn't known. */
function startByOf({ queuedAt, demand }: Ticket): number {
  return demand.startInMs === undefined
    ? Infinity
    : queuedAt + demand.startInMs;
}

/** Rank of a tenant below its entitlement: by class, then by use. */
function entitledRank(use: number, index: number): number {
  return index - CLASSES.length - 1 + use;
}

function urgencyOf(priority: Priority, underserved: boolean): Urgency {
  const interactive = priority === Priority.Interactive;
  if (underserved && interactive) return Urgency.Highest;
  return underserved || interactive ? Urgency.High : Urgency.Low;
}

/** Removes and returns the head of least rank; `heads` is not empty. */
function removeFirst(heads: QueueHead[]): QueueHead {
  let first = 0;
  for (let index = 1; index < heads.length; index++) {
    if (heads[index].rank < heads[first].rank) first = index;
  }
  return heads.splice(first, 1)[0];
}

/** Whether the tenant's less urgent classes lack their guaranteed slots. */
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
