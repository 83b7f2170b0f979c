/**
 * Fair shares of a pool's slots.
 *
 * A tenant is entitled to a part of the slots by its weight among the tenants
 * that are present, which are those that run or wait anywhere in the pool.
 * Tenants below what they are entitled to go first, and among their requests
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
  type Elsewhere,
  type Presence,
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
const LEAD: Readonly<Record<Priority, number>> = {
  [Priority.Interactive]: 0.5,
  [Priority.Standard]: 0.2,
  [Priority.Training]: 0.05,
  [Priority.Batch]: 0,
};

/** Time over which a tenant's use of slots is remembered. */
const MEMORY_MS = 5000;

/** A tenant that asked within this time is expected to ask again. */
const RECENT_MS = 30_000;

/** Part of a tenant's entitlement that its less urgent classes always get. */
const GUARANTEED = 0.1;

/** Requests of one class and tenant that are looked at for one that fits. */
const SCAN_LIMIT = 8;

/** Soonest time at which a refused caller is asked to come back. */
const MIN_RETRY_AFTER_MS = 100;

/** Parts of the old value that running means keep at each new one. */
const MEAN_KEEP = 0.95;
const GAP_KEEP = 0.8;

/** One tenant's waiting requests of one class. */
class Lane {
  /** In the order in which they shall start. */
  #tickets: readonly Ticket[] = [];
  running = 0;
  /** Mean time between two grants while others wait. */
  #gapMs = 0;
  #since = 0;

  push(ticket: Ticket): void {
    if (this.size === 0) this.#since = ticket.queuedAt;
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
    const gapMs = now - this.#since;
    this.#gapMs = this.#gapMs * GAP_KEEP + gapMs * (1 - GAP_KEEP);
    this.#since = now;
  }

  /** Expected wait of one more request, from how the lane moves. */
  waitMs(now: number): number {
    if (this.size === 0) return 0;
    const gapMs = Math.max(this.#gapMs, now - this.#since);
    return this.size * gapMs;
  }
}

/** A tenant's lanes and slots. */
class Account {
  readonly lanes: ReadonlyMap<Priority, Lane> = new Map(
    CLASSES.map((priority) => [priority, new Lane()]),
  );
  weight = 1;
  running = 0;
  waiting = 0;
  askedAt = -Infinity;
  elsewhere: Presence | undefined;
  /** Recent mean of the slots in use. */
  #mean = 0;
  #followedAt = 0;

  get present(): boolean {
    const { running = 0, waiting = 0 } = this.elsewhere ?? {};
    return this.running + this.waiting + running + waiting > 0;
  }

  /** Slots in use over the whole pool. */
  get total(): number {
    return this.running + (this.elsewhere?.running ?? 0);
  }

  /** Brings the recent mean up to `now`, before slots in use change. */
  follow(now: number): void {
    if (now === this.#followedAt) return;
    const kept = Math.exp((this.#followedAt - now) / MEMORY_MS);
    this.#mean = this.#mean * kept + this.total * (1 - kept);
    this.#followedAt = now;
  }

  /** Slots in use, half of them as they were lately. */
  use(now: number): number {
    this.follow(now);
    return (this.#mean + this.total) / 2;
  }

  lane(priority: Priority): Lane {
    return this.lanes.get(priority) as Lane;
  }
}

/** A lane whose head could go next. */
interface Head {
  readonly account: Account;
  readonly lane: Lane;
  readonly urgency: Urgency;
  /** The least goes first; below 0 for a tenant that is due. */
  readonly rank: number;
}

/** Serves tenants by their share of the slots, and urgent requests first. */
export class FairQueue extends Queue {
  readonly #accounts = new Map<string, Account>();
  readonly #tickets = new Map<string, Ticket>();
  readonly #holds = new Map<Priority, number>();
  readonly #tenantLimit: number;
  readonly #limit: number;
  #slotsElsewhere = 0;
  /** Kept until a tenant's presence or weight may have changed. */
  #presentWeights: number | undefined;

  constructor(options: { tenantLimit?: number; limit?: number } = {}) {
    super();
    this.#tenantLimit = options.tenantLimit ?? 4096;
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
    const account = this.#account(demand.tenant, demand.weight);
    const refusal = this.#refusal(demand, account, capacity);
    if (refusal !== undefined) return Err(refusal);
    account.lane(demand.priority).push(ticket);
    account.waiting += 1;
    this.#presentWeights = undefined;
    account.askedAt = capacity.now;
    this.#tickets.set(ticket.id, ticket);
    return Ok(true);
  }

  take(
    capacity: Capacity,
    { open, fits }: StartConditions,
  ): Ticket | undefined {
    const heads = this.#heads(capacity).filter(({ urgency }) => open(urgency));
    while (heads.length > 0) {
      const { account, lane } = removeFirst(heads);
      let scanned = 0;
      for (const ticket of lane.waiting()) {
        if (++scanned > SCAN_LIMIT) break;
        if (!fits(ticket)) continue;
        this.#drop(ticket, account);
        lane.granted(capacity.now);
        return ticket;
      }
    }
    return undefined;
  }

  remove(id: string): Ticket | undefined {
    const ticket = this.#tickets.get(id);
    if (ticket === undefined) return undefined;
    const { tenant, weight } = ticket.demand;
    this.#drop(ticket, this.#account(tenant, weight));
    return ticket;
  }

  override urgency({ demand }: Ticket, capacity: Capacity): Urgency {
    const account = this.#account(demand.tenant, demand.weight);
    const due = account.use(capacity.now) < this.#entitled(account, capacity);
    return urgencyOf(demand.priority, due);
  }

  override claimable(capacity: Capacity): number {
    const recent = [...this.#accounts.values()].filter(({ askedAt }) =>
      capacity.now - askedAt < RECENT_MS
    );
    const weights = recent.reduce((sum, { weight }) => sum + weight, 0);
    const total = capacity.slots + this.#slotsElsewhere;
    const claims = recent.map((account) =>
      Math.max(0, account.weight / weights * total - account.use(capacity.now))
    );
    const claimed = claims.reduce((sum, claim) => sum + claim, 0);
    return claimed * capacity.slots / total;
  }

  override started({ tenant, weight, priority }: Demand, now: number): void {
    const account = this.#account(tenant, weight);
    account.follow(now);
    account.running += 1;
    this.#presentWeights = undefined;
    account.lane(priority).running += 1;
  }

  override holdMs(priority: Priority): number {
    return this.#holds.get(priority) ?? 0;
  }

  override ended({ tenant, weight, priority }: Demand, spent: SlotUsage): void {
    const account = this.#account(tenant, weight);
    account.follow(spent.now);
    account.running -= 1;
    this.#presentWeights = undefined;
    account.lane(priority).running -= 1;
    if (spent.tokens === 0) return;
    const known = this.#holds.get(priority) ?? 0;
    this.#holds.set(priority, mean(known, spent.heldMs));
  }

  override setElsewhere({ slots, tenants }: Elsewhere): void {
    this.#slotsElsewhere = slots;
    this.#presentWeights = undefined;
    for (const account of this.#accounts.values()) {
      account.elsewhere = undefined;
    }
    for (const [tenant, presence] of tenants) {
      this.#account(tenant, presence.weight).elsewhere = presence;
    }
  }

  override tenants(): ReadonlyMap<string, Presence> {
    const present = [...this.#accounts]
      .filter(([, { running, waiting }]) => running + waiting > 0);
    return new Map(
      present.map(([tenant, { weight, running, waiting }]) =>
        [tenant, { weight, running, waiting }] as const
      ),
    );
  }

  /** Lanes with waiting requests. */
  #heads(capacity: Capacity): Head[] {
    const heads: Head[] = [];
    for (const account of this.#accounts.values()) {
      if (account.waiting === 0) continue;
      const entitled = this.#entitled(account, capacity);
      const use = account.use(capacity.now) / entitled;
      for (const [index, priority] of CLASSES.entries()) {
        const lane = account.lane(priority);
        if (lane.size === 0) continue;
        const urgency = urgencyOf(priority, use < 1);
        const rank = use < 1
          ? dueRank(use, deprived(account, { priority, entitled }) ? -1 : index)
          : use - LEAD[priority];
        heads.push({ account, lane, urgency, rank });
      }
    }
    return heads;
  }

  /** Slots of the whole pool that a tenant is entitled to now. */
  #entitled(account: Account, { slots }: Capacity): number {
    const total = slots + this.#slotsElsewhere;
    return account.weight / Math.max(account.weight, this.#weights()) * total;
  }

  /** Weights of all tenants that run or wait anywhere in the pool. */
  #weights(): number {
    if (this.#presentWeights !== undefined) return this.#presentWeights;
    let weights = 0;
    for (const account of this.#accounts.values()) {
      if (account.present) weights += account.weight;
    }
    this.#presentWeights = weights;
    return weights;
  }

  /** Why a request is not taken in, if it is not. */
  #refusal(
    demand: Demand,
    account: Account,
    capacity: Capacity,
  ): Refusal | undefined {
    if (this.size >= this.#limit) {
      return refuse(Reason.QueueFull, "The pool's queue is full");
    }
    if (account.waiting >= this.#tenantLimit) {
      return refuse(Reason.TenantOverShare, "Too many requests are waiting");
    }
    if (capacity.freeSlots > 0 && account.waiting === 0) return undefined;
    const waitMs = this.#waitMs(demand, account, capacity);
    const lateMs = waitMs + this.holdMs(demand.priority) -
      demand.remainingMs;
    if (lateMs <= 0) return undefined;
    return account.waiting > 0
      ? refuse(Reason.TenantOverShare, "The tenant's share is in use", lateMs)
      : refuse(Reason.DeadlineTooShort, "The deadline can't be met", lateMs);
  }

  /** Expected wait of one more request, in milliseconds. */
  #waitMs(demand: Demand, account: Account, capacity: Capacity): number {
    const weights = this.#weights() + (account.present ? 0 : account.weight);
    const share = account.weight / weights * capacity.slots;
    let workMs = 0;
    let taken = 0;
    for (const priority of CLASSES) {
      const { size, running } = account.lane(priority);
      workMs += size * this.holdMs(priority);
      if (priority === demand.priority) break;
      taken += running;
    }
    // More urgent requests keep the slots that they have.
    const slots = Math.max(1, GUARANTEED * share, share - taken);
    const lane = account.lane(demand.priority);
    return Math.max(workMs / slots, lane.waitMs(capacity.now));
  }

  #account(tenant: string, weight: number): Account {
    const known = this.#accounts.get(tenant);
    if (known?.weight === weight) return known;
    const account = known ?? new Account();
    account.weight = weight;
    this.#accounts.set(tenant, account);
    this.#presentWeights = undefined;
    return account;
  }

  #drop(ticket: Ticket, account: Account): void {
    this.#tickets.delete(ticket.id);
    account.lane(ticket.demand.priority).remove(ticket);
    account.waiting -= 1;
    this.#presentWeights = undefined;
  }
}

/** When a request must start; the last of all where it isn't known. */
function startByOf({ queuedAt, demand }: Ticket): number {
  return demand.startInMs === undefined
    ? Infinity
    : queuedAt + demand.startInMs;
}

/** Rank of a tenant below its entitlement: by class, then by use. */
function dueRank(use: number, index: number): number {
  return index - CLASSES.length - 1 + use;
}

function urgencyOf(priority: Priority, due: boolean): Urgency {
  const interactive = priority === Priority.Interactive;
  if (due && interactive) return Urgency.Highest;
  return due || interactive ? Urgency.High : Urgency.Low;
}

/** Removes and returns the head of least rank; `heads` is not empty. */
function removeFirst(heads: Head[]): Head {
  let first = 0;
  for (let index = 1; index < heads.length; index++) {
    if (heads[index].rank < heads[first].rank) first = index;
  }
  return heads.splice(first, 1)[0];
}

/** Whether the tenant's less urgent classes lack their guaranteed slots. */
function deprived(account: Account, options: {
  priority: Priority;
  entitled: number;
}): boolean {
  const { priority, entitled } = options;
  if (priority !== Priority.Training && priority !== Priority.Batch) {
    return false;
  }
  const running = account.lane(Priority.Training).running +
    account.lane(Priority.Batch).running;
  return running < GUARANTEED * entitled;
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
  return old === 0 ? value : old * MEAN_KEEP + value * (1 - MEAN_KEEP);
}
