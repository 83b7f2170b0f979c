/**
 * Interface of the queue that orders a shard's waiting requests, and a
 * first-in, first-out queue as the baseline.
 *
 * @module
 */

import { Ok, type Result } from "ts-results";
import type { Refusal } from "../kernel/mod.ts";
import type { Priority } from "../tables/mod.ts";
import type { Demand } from "./mod.ts";
import type { StartForecast } from "./start_budget.ts";

/** A request that waits for a permit. */
export interface Ticket {
  /** Unique to one wait; a request that waits again has a new one. */
  readonly id: string;
  /** VM of the daemon that asks for the permit. */
  readonly entry: string;
  readonly availabilityZone: string;
  readonly demand: Demand;
  /** Time of arrival at the leader, on the leader's clock. */
  readonly queuedAt: number;
  /** Time that it waited at other shards before; it keeps its place by that. */
  readonly waitedMs?: number;
}

/** The shard's slots at the time `now`. */
export interface Capacity {
  readonly now: number;
  readonly slots: number;
  readonly freeSlots: number;
  /** When requests may start; absent if an upstream has no limit on them. */
  readonly forecast?: StartForecast;
}

/** Message of a refusal for which the pace of the upstreams is the reason. */
export const STARTS_TOO_LATE =
  "The upstreams' limits or cold times leave no start in time";

/** A waiting request that can't meet its deadline, and by how much. */
export interface LateTicket {
  readonly ticket: Ticket;
  readonly lateMs: number;
}

/** How urgently a request needs a slot; decides on use of reserved slots. */
export enum Urgency {
  /** Not interactive, of an organisation that has its entitled slots. */
  Low = "low",
  /** Interactive, or of an organisation below its entitlement. */
  High = "high",
  /** Interactive, and of an organisation below its entitlement. */
  Highest = "highest",
}

/** Which requests may start now. */
export interface StartConditions {
  /** Whether requests of this urgency get a slot now. */
  readonly open: (urgency: Urgency) => boolean;
  /** Whether the request waits for an upstream only; must be cheap. */
  readonly ready: (ticket: Ticket) => boolean;
  /** Whether an upstream can take this request. */
  readonly fits: (ticket: Ticket) => boolean;
}

/** How a request used its slot. */
export interface SlotUsage {
  /** When the request ended. */
  readonly now: number;
  readonly heldMs: number;
  readonly tokens: number;
}

/** An organisation's slots in use and requests waiting. */
export interface OrganisationLoad {
  readonly weight: number;
  readonly running: number;
  readonly waiting: number;
}

/** The pool's other shards, as known by gossip. */
export interface OtherShards {
  readonly slots: number;
  readonly organisations: ReadonlyMap<string, OrganisationLoad>;
}

/** The waiting requests of a shard. */
export abstract class Queue {
  /** Number of waiting requests. */
  abstract readonly size: number;

  /** Every waiting request. */
  abstract waiting(): Iterable<Ticket>;

  /** Adds a request, or refuses it immediately. */
  abstract push(ticket: Ticket, capacity: Capacity): Result<true, Refusal>;

  /** Removes and returns the first request in order that may start now. */
  abstract take(capacity: Capacity, start: StartConditions): Ticket | undefined;

  /** Removes a request that no longer waits. */
  abstract remove(id: string): Ticket | undefined;

  /** Expected time on a slot, in milliseconds; 0 if unknown. */
  expectedHoldMs(_priority: Priority): number {
    return 0;
  }

  /** Waiting requests that limits on starts leave too little time for. */
  late(_capacity: Capacity): readonly LateTicket[] {
    return [];
  }

  /** How urgently the request needs a slot. */
  urgency(_ticket: Ticket, _capacity: Capacity): Urgency {
    return Urgency.Low;
  }

  /** Slots that organisations below their entitlement may soon ask for. */
  anticipatedSlots(_capacity: Capacity): number {
    return 0;
  }

  /** Records that a request got a slot. */
  started(_demand: Demand, _now: number): void {}

  /** Records that a request released its slot. */
  ended(_demand: Demand, _slotUsage: SlotUsage): void {}

  /** Replaces the load of the pool's other shards. */
  setOtherShards(_otherShards: OtherShards): void {}

  /** The load of each organisation in this shard. */
  organisations(): ReadonlyMap<string, OrganisationLoad> {
    return new Map();
  }
}

/** Serves requests in order of arrival. */
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

  take(
    _capacity: Capacity,
    { ready, fits }: StartConditions,
  ): Ticket | undefined {
    for (const ticket of this.#tickets.values()) {
      if (!ready(ticket) || !fits(ticket)) continue;
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
