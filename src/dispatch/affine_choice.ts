/**
 * Picks by the load that the keeper knows, the prompt's part that an upstream
 * already holds, and the distance to the entry.
 *
 * @module
 */

import type { CacheEvent } from "../outside/mod.ts";
import { type Candidate, Choice } from "./choice.ts";
import { Prefixes } from "./prefixes.ts";
import type { Ticket } from "./queue.ts";

/** Weights of the parts of an upstream's score. */
export interface Weights {
  /** Worth of a prompt that is held whole, in parts of a full upstream. */
  readonly prefix: number;
  /** Cost of another availability zone, in parts of a full upstream. */
  readonly distance: number;
  /** Time over which a fresh upstream comes up to full use. */
  readonly slowStartMs: number;
}

/** Balances load against prefix locality and distance. */
export class AffineChoice extends Choice {
  readonly #weights: Weights;
  readonly #prefixes = new Map<string, Prefixes>();

  constructor(options: Partial<Weights> = {}) {
    super();
    this.#weights = {
      prefix: options.prefix ?? 0.3,
      distance: options.distance ?? 0.02,
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
  }

  override cached(upstream: string, events: readonly CacheEvent[]): void {
    this.#of(upstream).take(events);
  }

  override forget(upstream: string): void {
    this.#prefixes.delete(upstream);
  }

  /** The lower, the better. */
  #score(ticket: Ticket, candidate: Candidate): number {
    const { upstream, inFlight, foreign, readyForMs } = candidate;
    const overlap = this.#of(upstream.id).overlap(ticket.demand.prefixes);
    const load = (inFlight + foreign) / upstream.slots;
    const far = upstream.availabilityZone !== ticket.availabilityZone;
    const fresh = Math.max(0, 1 - readyForMs / this.#weights.slowStartMs);
    return load +
      load * fresh +
      (far ? this.#weights.distance : 0) -
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
