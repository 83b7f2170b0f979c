/**
 * Selects an upstream by the load that the leader knows, the part of the prompt
 * in the upstream's prefix cache, the entry's idle connections to it, and
 * whether it is in the entry's availability zone.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";
import type { CacheEvent } from "../outside/mod.ts";
import { type Candidate, UpstreamSelector } from "./upstream_selector.ts";
import { IdleConnections } from "./idle_connections.ts";
import { PrefixCacheModel } from "./prefixes.ts";
import type { Ticket } from "./queue.ts";

/** Weights of the terms of an upstream's score; 1 is a full upstream. */
export interface ScoreWeights {
  /** Gain if the whole prompt is in the prefix cache. */
  readonly prefix: number;
  /** Cost of another availability zone. */
  readonly crossZone: number;
  /** Gain of an open connection. */
  readonly openConnection: number;
  /** Cost of an upstream that the request avoids. */
  readonly avoided: number;
  /** Time over which a new upstream is ramped up to full use. */
  readonly slowStartMs: number;
}

/** Balances load against prefix, connection and zone affinity. */
export class AffinitySelector extends UpstreamSelector {
  readonly #weights: ScoreWeights;
  readonly #prefixes = new Map<string, PrefixCacheModel>();
  readonly #connections: IdleConnections;

  constructor(options: Partial<ScoreWeights> & { clock: Clock }) {
    super();
    this.#connections = new IdleConnections(options);
    this.#weights = {
      prefix: options.prefix ?? 0.3,
      crossZone: options.crossZone ?? 0.02,
      openConnection: options.openConnection ?? 0.5,
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
    this.#prefixCacheOf(upstream).use(ticket.demand.prefixes);
    this.#connections.taken(ticket.entry, upstream);
  }

  override freed(entry: string, upstream: string): void {
    this.#connections.freed(entry, upstream);
  }

  override cached(upstream: string, events: readonly CacheEvent[]): void {
    this.#prefixCacheOf(upstream).applyEvents(events);
  }

  override forget(upstream: string): void {
    this.#prefixes.delete(upstream);
    this.#connections.forget(upstream);
  }

  /** Part of a prompt that an upstream holds, from 0 to 1. */
  overlap(upstream: string, prefixes: readonly string[]): number {
    return this.#prefixCacheOf(upstream).overlap(prefixes);
  }

  /** Whether an entry has an idle connection to an upstream. */
  isConnected(entry: string, upstream: string): boolean {
    return this.#connections.has(entry, upstream);
  }

  /** The score of a candidate; the lowest one is selected. */
  #score(ticket: Ticket, candidate: Candidate): number {
    const { upstream, inFlight, foreign, readyForMs } = candidate;
    const overlap = this.overlap(upstream.id, ticket.demand.prefixes);
    const load = (inFlight + foreign) / upstream.slots;
    const far = upstream.availabilityZone !== ticket.availabilityZone;
    const open = this.isConnected(ticket.entry, upstream.id);
    const avoided = ticket.demand.avoid?.includes(upstream.id) === true;
    const fresh = Math.max(0, 1 - readyForMs / this.#weights.slowStartMs);
    return load +
      load * fresh +
      (far ? this.#weights.crossZone : 0) +
      (avoided ? this.#weights.avoided : 0) -
      (open ? this.#weights.openConnection : 0) -
      overlap * this.#weights.prefix;
  }

  #prefixCacheOf(upstream: string): PrefixCacheModel {
    const known = this.#prefixes.get(upstream);
    if (known !== undefined) return known;
    const prefixes = new PrefixCacheModel();
    this.#prefixes.set(upstream, prefixes);
    return prefixes;
  }
}
