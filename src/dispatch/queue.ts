/**
 * The order in which a shard's waiting requests get permits: the contract,
 * and the first-come, first-served baseline.
 *
 * @module
 */

import { Ok, type Result } from "ts-results";
import type { Refusal } from "../kernel/mod.ts";
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

/** What a shard can do, as far as it is known. */
export interface Capacity {
  /** Tokens a second over all slots; 0 until measured. */
  readonly tokensPerSecond: number;
  readonly freeSlots: number;
  readonly slots: number;
  /** Milliseconds that one request holds a slot; 0 until measured. */
  readonly holdMs: number;
}

/** The waiting requests of a shard. */
export abstract class Queue {
  /** Number of waiting requests. */
  abstract readonly size: number;

  /** Every waiting request. */
  abstract waiting(): Iterable<Ticket>;

  /** Takes a request in, or refuses it at once. */
  abstract push(ticket: Ticket, capacity: Capacity): Result<true, Refusal>;

  /** Removes and returns the first request in order that `fits`. */
  abstract take(fits: (ticket: Ticket) => boolean): Ticket | undefined;

  /** Removes a request that no longer waits. */
  abstract remove(id: string): Ticket | undefined;

  /** Whether the request may use the slots kept free for urgent work. */
  abstract urgent(ticket: Ticket): boolean;

  /** Replaces the cost charged for a request by what it used. */
  abstract settle(demand: Demand, tokens: number): void;

  /** Charges a tenant for what it was served by the pool's other shards. */
  abstract charge(tenant: string, tokens: number): void;
}

/** Serves requests in the order of their arrival. */
export class FirstCome extends Queue {
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

  take(fits: (ticket: Ticket) => boolean): Ticket | undefined {
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

  urgent(): boolean {
    return true;
  }

  settle(): void {}

  charge(): void {}
}
