/**
 * An earlier version of the production queue, kept for comparison: weighted
 * fair queueing by estimated tokens, with priority as a bounded lead.
 *
 * Each organisation has a virtual time: the tokens served to it, divided by its
 * weight. The organisation with the lowest virtual time is served next. A more
 * urgent request precedes a less urgent one as long as the virtual time of its
 * organisation is not ahead by more than the lead of its priority, so urgency
 * never costs another organisation more than that lead. An organisation that
 * was idle gets no credit for the idle time.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import { Reason, Refusal, Verdict } from "../src/kernel/mod.ts";
import { Priority } from "../src/tables/mod.ts";
import type { Demand } from "../src/dispatch/mod.ts";
import {
  type Capacity,
  Queue,
  type SlotUsage,
  type StartConditions,
  type Ticket,
  Urgency,
} from "../src/dispatch/queue.ts";

/** Priorities from the most to the least urgent. */
const PRIORITIES = [
  Priority.Interactive,
  Priority.Standard,
  Priority.Training,
  Priority.Batch,
] as const;

/** Lead of each priority, in seconds of service by the whole shard. */
const LEAD_S: Readonly<Record<Priority, number>> = {
  [Priority.Interactive]: 4,
  [Priority.Standard]: 2,
  [Priority.Training]: 0.5,
  [Priority.Batch]: 0,
};

/** Maximum lead over the lowest virtual time at which headroom may be used. */
const URGENT_LEAD_S = 0.5;

/** Service rate assumed until one is measured. */
const INITIAL_TOKENS_PER_SECOND = 1000;

/** Requests of one lane that are examined for one that fits. */
const MAX_SCANNED_REQUESTS = 8;

/** Waiting requests and service of an organisation. */
interface OrganisationAccount {
  weight: number;
  virtualTime: number;
  /** Estimated tokens of all waiting requests. */
  waitingTokens: number;
  readonly lanes: Readonly<Record<Priority, Map<string, Ticket>>>;
}

/** Serves organisations by weight, and urgent requests first within bounds. */
export class TokenQueue extends Queue {
  readonly #accounts = new Map<string, OrganisationAccount>();
  readonly #tickets = new Map<string, Ticket>();
  readonly #organisationLimit: number;
  readonly #limit: number;
  #virtualTime = 0;
  #tokensPerMs = 0;
  #meanHoldMs = 0;
  #tokensPerSecond = INITIAL_TOKENS_PER_SECOND;

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
    if (this.#tokensPerMs > 0) {
      this.#tokensPerSecond = this.#tokensPerMs * capacity.slots * 1000;
    }
    const account = this.#account(ticket.demand);
    const refusal = this.#refusal(ticket, account, capacity);
    if (refusal !== undefined) return Err(refusal);
    if (account.waitingTokens === 0) {
      account.virtualTime = Math.max(account.virtualTime, this.#virtualTime);
    }
    account.lanes[ticket.demand.priority].set(ticket.id, ticket);
    account.waitingTokens += ticket.demand.tokens;
    this.#tickets.set(ticket.id, ticket);
    return Ok(true);
  }

  take(_capacity: Capacity, { fits }: StartConditions): Ticket | undefined {
    for (const { account, lane } of this.#orderedLanes()) {
      let scanned = 0;
      for (const ticket of lane.values()) {
        if (++scanned > MAX_SCANNED_REQUESTS) break;
        if (!fits(ticket)) continue;
        this.#drop(ticket, account);
        this.#virtualTime = Math.max(
          this.#virtualTime,
          this.#minWaitingVirtualTime(),
        );
        account.virtualTime += ticket.demand.tokens / account.weight;
        return ticket;
      }
    }
    return undefined;
  }

  remove(id: string): Ticket | undefined {
    const ticket = this.#tickets.get(id);
    if (ticket !== undefined) this.#drop(ticket, this.#account(ticket.demand));
    return ticket;
  }

  override urgency(ticket: Ticket): Urgency {
    if (ticket.demand.priority !== Priority.Interactive) return Urgency.Low;
    const ahead = this.#account(ticket.demand).virtualTime -
      this.#minWaitingVirtualTime();
    return ahead <= this.#virtualTimeOf(URGENT_LEAD_S)
      ? Urgency.Highest
      : Urgency.High;
  }

  override ended(demand: Demand, { tokens, heldMs }: SlotUsage): void {
    const account = this.#accounts.get(demand.tenant);
    if (account === undefined) return;
    account.virtualTime += (tokens - demand.tokens) / account.weight;
    if (tokens === 0) return;
    this.#tokensPerMs = mean(this.#tokensPerMs, tokens / heldMs);
    this.#meanHoldMs = mean(this.#meanHoldMs, heldMs);
  }

  /** Returns the non-empty lanes in the order of service. */
  #orderedLanes() {
    const heads = [];
    for (const account of this.#accounts.values()) {
      if (account.waitingTokens === 0) continue;
      for (const priority of PRIORITIES) {
        const lane = account.lanes[priority];
        if (lane.size === 0) continue;
        const rank = account.virtualTime -
          this.#virtualTimeOf(LEAD_S[priority]);
        heads.push({ account, lane, rank });
      }
    }
    return heads.sort((a, b) => a.rank - b.rank);
  }

  /** Returns the refusal of a request that is not admitted. */
  #refusal(
    ticket: Ticket,
    account: OrganisationAccount,
    capacity: Capacity,
  ): Refusal | undefined {
    const waitMs = this.#waitMs(ticket.demand, account);
    const refuse = (reason: Reason, message: string) =>
      new Refusal({
        verdict: Verdict.NotRun,
        reason,
        message,
        retryAfterMs: Math.max(
          MIN_RETRY_AFTER_MS,
          Math.round(waitMs - ticket.demand.remainingMs / 2),
        ),
      });
    if (this.size >= this.#limit) {
      return refuse(Reason.QueueFull, "The queue of the pool is full");
    }
    const waiting = PRIORITIES
      .reduce((sum, priority) => sum + account.lanes[priority].size, 0);
    if (waiting >= this.#organisationLimit) {
      return refuse(Reason.TenantOverShare, "Too many requests are waiting");
    }
    if (capacity.freeSlots > 0 && account.waitingTokens === 0) return undefined;
    if (waitMs + this.#meanHoldMs <= ticket.demand.remainingMs) {
      return undefined;
    }
    return account.waitingTokens > 0
      ? refuse(
        Reason.TenantOverShare,
        "The tenant asks for more than its share",
      )
      : refuse(Reason.DeadlineTooShort, "The deadline cannot be met");
  }

  /** Estimates the waiting time of a new request, in milliseconds. */
  #waitMs(demand: Demand, account: OrganisationAccount): number {
    if (this.#tokensPerMs === 0) return 0;
    const rate = this.#tokensPerSecond * this.#share(demand, account);
    return this.#tokensAhead(demand, account) / rate * 1000;
  }

  /** Returns the tokens of the organisation's requests ahead of this one. */
  #tokensAhead(demand: Demand, account: OrganisationAccount): number {
    let tokens = 0;
    for (const priority of PRIORITIES) {
      for (const ticket of account.lanes[priority].values()) {
        tokens += ticket.demand.tokens;
      }
      if (priority === demand.priority) break;
    }
    return tokens;
  }

  /** Returns the organisation's share among the organisations that wait. */
  #share(demand: Demand, account: OrganisationAccount): number {
    let weights = account.waitingTokens > 0 ? 0 : demand.weight;
    for (const other of this.#accounts.values()) {
      if (other.waitingTokens > 0) weights += other.weight;
    }
    return demand.weight / weights;
  }

  /** Returns the lowest virtual time of the waiting organisations. */
  #minWaitingVirtualTime(): number {
    let least = Infinity;
    for (const account of this.#accounts.values()) {
      if (account.waitingTokens === 0) continue;
      least = Math.min(least, account.virtualTime);
    }
    return least === Infinity ? this.#virtualTime : least;
  }

  /** Converts seconds of service by the whole shard to virtual time. */
  #virtualTimeOf(seconds: number): number {
    let weights = 0;
    for (const account of this.#accounts.values()) {
      if (account.waitingTokens > 0) weights += account.weight;
    }
    return seconds * this.#tokensPerSecond / Math.max(weights, 1);
  }

  #account(demand: Demand): OrganisationAccount {
    const known = this.#accounts.get(demand.tenant);
    if (known !== undefined) {
      known.weight = demand.weight;
      return known;
    }
    const account: OrganisationAccount = {
      weight: demand.weight,
      virtualTime: this.#virtualTime,
      waitingTokens: 0,
      lanes: {
        [Priority.Interactive]: new Map(),
        [Priority.Standard]: new Map(),
        [Priority.Training]: new Map(),
        [Priority.Batch]: new Map(),
      },
    };
    this.#accounts.set(demand.tenant, account);
    return account;
  }

  #drop(ticket: Ticket, account: OrganisationAccount): void {
    this.#tickets.delete(ticket.id);
    account.lanes[ticket.demand.priority].delete(ticket.id);
    account.waitingTokens -= ticket.demand.tokens;
  }
}

/** Minimum `retryAfterMs` of a refusal. */
const MIN_RETRY_AFTER_MS = 100;

function mean(old: number, value: number): number {
  return old === 0 ? value : old * 0.95 + value * 0.05;
}
