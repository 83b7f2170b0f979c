/**
 * The order in which a shard's waiting requests get permits: the contract,
 * and the first-come, first-served baseline.
 *
 * @module
 */

import { Ok, type Result } from "ts-results";
import type { Refusal } from "../kernel/mod.ts";
import type { Priority } from "../tables/mod.ts";
import type { Demand } from "./mod.ts";

/** A request that waits for a permit. */
export interface Ticket {
  /** Unique to one wait; a request that waits again has another. */
  readonly id: string;
  /** VM of the daemon that asks. */
  readonly entry: string;
  readonly availabilityZone: string;
  readonly demand: Demand;
  /** Time of arrival at the keeper, on the keeper's clock. */
  readonly queuedAt: number;
}

/** The shard's slots at a moment. */
export interface Capacity {
  readonly now: number;
  readonly slots: number;
  readonly freeSlots: number;
}

/** How urgently a request needs a slot; decides on slots kept free. */
export enum Urgency {
  /** It is not interactive, and would run on a lent slot. */
  Low = "low",
  /** It is interactive, or its tenant is below what it is entitled to. */
  High = "high",
  /** Both. */
  Highest = "highest",
}

/** What may start now. */
export interface StartConditions {
  /** Whether requests of this urgency get a slot now. */
  readonly open: (urgency: Urgency) => boolean;
  /** Whether this request has a place to go to. */
  readonly fits: (ticket: Ticket) => boolean;
}

/** How one permit was used. */
export interface SlotUsage {
  /** When it ended. */
  readonly now: number;
  readonly heldMs: number;
  readonly tokens: number;
}

/** A tenant's slots in use and requests waiting. */
export interface Presence {
  readonly weight: number;
  readonly running: number;
  readonly waiting: number;
}

/** The pool's other shards, as far as gossip tells. */
export interface Elsewhere {
  readonly slots: number;
  readonly tenants: ReadonlyMap<string, Presence>;
}

/** The waiting requests of a shard. */
export abstract class Queue {
  /** Number of waiting requests. */
  abstract readonly size: number;

  /** Every waiting request. */
  abstract waiting(): Iterable<Ticket>;

  /** Takes a request in, or refuses it at once. */
  abstract push(ticket: Ticket, capacity: Capacity): Result<true, Refusal>;

  /** Removes and returns the first request in order that may start. */
  abstract take(capacity: Capacity, start: StartConditions): Ticket | undefined;

  /** Removes a request that no longer waits. */
  abstract remove(id: string): Ticket | undefined;

  /** Expected time on a slot, in milliseconds; 0 where it isn't known. */
  holdMs(_priority: Priority): number {
    return 0;
  }

  /** How urgently the request needs a slot. */
  urgency(_ticket: Ticket, _capacity: Capacity): Urgency {
    return Urgency.Low;
  }

  /** Slots that tenants below what they are entitled to may soon ask for. */
  claimable(_capacity: Capacity): number {
    return 0;
  }

  /** Takes note that a request got a slot. */
  started(_demand: Demand, _now: number): void {}

  /** Takes note that a request gave its slot back. */
  ended(_demand: Demand, _spent: SlotUsage): void {}

  /** Takes in what the tenants have in the pool's other shards. */
  setElsewhere(_elsewhere: Elsewhere): void {}

  /** What each tenant has in this shard. */
  tenants(): ReadonlyMap<string, Presence> {
    return new Map();
  }
}

/** Serves requests in the order of their arrival. */
export class FifoQueue extends Queue {
  readonly #tickets = new Map<string, Ticket>();

  get size(): number {
    return this.#tickets.size;
  }

  waiting(): Iterable<Ticket> {
    return this.#tickets.values();
  }

  push(ticket: Ticket): Result<true, Refusal> {
    this.#tickets.set(ticket.id, ticket);
    return Ok(true);
  }

  take(_capacity: Capacity, { fits }: StartConditions): Ticket | undefined {
    for (const ticket of this.#tickets.values()) {
      if (!fits(ticket)) continue;
      this.#tickets.delete(ticket.id);
      return ticket;
    }
    return undefined;
  }

  remove(id: string): Ticket | undefined {
    const ticket = this.#tickets.get(id);
    this.#tickets.delete(id);
    return ticket;
  }
}
