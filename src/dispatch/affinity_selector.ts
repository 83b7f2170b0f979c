/**
 * Picks by the load that the keeper knows, the prompt's part that an upstream
 * already holds, the entry's open connections, and the distance to the entry.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";
import type { CacheEvent } from "../outside/mod.ts";
import { type Candidate, UpstreamSelector } from "./upstream_selector.ts";
import { Connections } from "./connections.ts";
import { Prefixes } from "./prefixes.ts";
import type { Ticket } from "./queue.ts";

/** Weights of the parts of an upstream's score. */
export interface Weights {
  /** Worth of a prompt that is held whole, in parts of a full upstream. */
  readonly prefix: number;
  /** Cost of another availability zone, in parts of a full upstream. */
  readonly distance: number;
  /** Worth of an open connection, in parts of a full upstream. */
  readonly connection: number;
  /** Cost of an upstream that the request avoids, likewise. */
  readonly avoided: number;
  /** Time over which a fresh upstream comes up to full use. */
  readonly slowStartMs: number;
}

/** Balances load against prefix locality and distance. */
export class AffinitySelector extends UpstreamSelector {
  readonly #weights: Weights;
  readonly #prefixes = new Map<string, Prefixes>();
  readonly #connections: Connections;

  constructor(options: Partial<Weights> & { clock: Clock }) {
    super();
    this.#connections = new Connections(options);
    this.#weights = {
      prefix: options.prefix ?? 0.3,
      distance: options.distance ?? 0.02,
      connection: options.connection ?? 0.5,
      avoided: options.avoided ?? 1.5,
      slowStartMs: options.slowStartMs ?? 5000,
    };
  }

  pick(ticket: Ticket, candidates: readonly Candidate[]): Candidate {
    let best = candidates[0];
    let least = Infinity;
    for (const candidate of candidates) {
      const score = this.#score(ticket, candidate);
      if (score >= least) continue;
      best = candidate;
      least = score;
    }
    return best;
  }

  override granted(ticket: Ticket, upstream: string): void {
    this.#of(upstream).use(ticket.demand.prefixes);
    this.#connections.taken(ticket.entry, upstream);
  }

  override freed(entry: string, upstream: string): void {
    this.#connections.freed(entry, upstream);
  }

  override cached(upstream: string, events: readonly CacheEvent[]): void {
    this.#of(upstream).take(events);
  }

  override forget(upstream: string): void {
    this.#prefixes.delete(upstream);
    this.#connections.forget(upstream);
  }

  /** The lower, the better. */
  #score(ticket: Ticket, candidate: Candidate): number {
    const { upstream, inFlight, foreign, readyForMs } = candidate;
    const overlap = this.#of(upstream.id).overlap(ticket.demand.prefixes);
    const load = (inFlight + foreign) / upstream.slots;
    const far = upstream.availabilityZone !== ticket.availabilityZone;
    const open = this.#connections.has(ticket.entry, upstream.id);
    const avoided = ticket.demand.avoid?.includes(upstream.id) === true;
    const fresh = Math.max(0, 1 - readyForMs / this.#weights.slowStartMs);
    return load +
      load * fresh +
      (far ? this.#weights.distance : 0) +
      (avoided ? this.#weights.avoided : 0) -
      (open ? this.#weights.connection : 0) -
      overlap * this.#weights.prefix;
  }

  #of(upstream: string): Prefixes {
    const known = this.#prefixes.get(upstream);
    if (known !== undefined) return known;
    const prefixes = new Prefixes();
    this.#prefixes.set(upstream, prefixes);
    return prefixes;
  }
}
