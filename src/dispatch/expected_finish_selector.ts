/**
 * Selects the upstream on which a request is expected to finish first, from the
 * work left there, the work of the request itself and the upstream's pace.
 *
 * @module
 */

import type { AffinitySelector } from "./affinity_selector.ts";
import type { Ticket } from "./queue.ts";
import type { RequestCosts } from "./request_costs.ts";
import type { UpstreamPaces } from "./upstream_paces.ts";
import { type Candidate, UpstreamSelector } from "./upstream_selector.ts";
import type { WorkLedger } from "./work_ledger.ts";

/** Costs of a selection beside the work, in milliseconds. */
export interface FinishCosts {
  /** Prefill of one block of a prompt that the upstream doesn't hold. */
  readonly prefillBlockMs: number;
  /** Round trip of a new connection. */
  readonly connectionMs: number;
  /** What a new connection costs beside it, in mean works of a request. */
  readonly connectionShare: number;
  readonly crossZoneMs: number;
  /** Time over which a new upstream is ramped up to full use. */
  readonly slowStartMs: number;
}

const DEFAULT_COSTS: FinishCosts = {
  // 1,000 tokens take 2 to 5 ms; a block has about 64.
  prefillBlockMs: 0.25,
  connectionMs: 2,
  // 40 entries open 112 to 127 connections to 5 upstreams, with the round trip alone
  // 258 to 271, by slots in use 115 to 128.
  connectionShare: 0.4,
  crossZoneMs: 1,
  slowStartMs: 5000,
};

/**
 * Candidates within this share of the least are equal: the estimates are not
 * better, and leaders that see the same figures must not choose the same one.
 */
const TIE_SHARE = 0.05;

/** Selects the least expected finish. */
export class ExpectedFinishSelector extends UpstreamSelector {
  readonly #costs: RequestCosts;
  readonly #paces: UpstreamPaces;
  readonly #ledger: WorkLedger;
  readonly #affinities: Pick<AffinitySelector, "overlap" | "isConnected">;
  readonly #now: () => number;
  readonly #random: () => number;
  readonly #finishCosts: FinishCosts;

  constructor(options: {
    costs: RequestCosts;
    paces: UpstreamPaces;
    ledger: WorkLedger;
    /** What is known of prompts and connections. */
    affinities: Pick<AffinitySelector, "overlap" | "isConnected">;
    now: () => number;
    random?: () => number;
    finishCosts?: Partial<FinishCosts>;
  }) {
    super();
    this.#costs = options.costs;
    this.#paces = options.paces;
    this.#ledger = options.ledger;
    this.#affinities = options.affinities;
    this.#now = options.now;
    this.#random = options.random ?? Math.random;
    this.#finishCosts = { ...DEFAULT_COSTS, ...options.finishCosts };
  }

  pick(ticket: Ticket, candidates: readonly Candidate[]): Candidate {
    const { avoid = [] } = ticket.demand;
    const wanted = avoid.length === 0
      ? candidates
      : candidates.filter(({ upstream }) => !avoid.includes(upstream.id));
    return this.#least(ticket, wanted.length > 0 ? wanted : candidates);
  }

  #least(ticket: Ticket, candidates: readonly Candidate[]): Candidate {
    const now = this.#now();
    const ownMs = this.#costs.costOf(ticket.demand).expectedMs;
    const finishes = candidates.map((candidate) =>
      this.#finishMs(ticket, candidate, { now, ownMs })
    );
    const limit = Math.min(...finishes) * (1 + TIE_SHARE);
    const equal = candidates.filter((_, index) => finishes[index] <= limit);
    return equal[Math.floor(this.#random() * equal.length)] ?? candidates[0];
  }

  #finishMs(
    { entry, availabilityZone, demand }: Ticket,
    { upstream, foreign, readyForMs }: Candidate,
    { now, ownMs }: { now: number; ownMs: number },
  ): number {
    const { id } = upstream;
    const costs = this.#finishCosts;
    const connectionMs = costs.connectionMs +
      costs.connectionShare * this.#costs.meanMs;
    const pace = this.#paces.pace(id, now);
    const foreignMs = foreign > 0 ? foreign * this.#costs.meanMs : 0;
    const leftMs = this.#ledger.leftMs(id, now, pace) + foreignMs;
    const loadMs = leftMs / Math.max(1, upstream.slots) * pace;
    const fresh = Math.max(0, 1 - readyForMs / costs.slowStartMs);
    const { prefixes } = demand;
    const missing = prefixes.length === 0
      ? 0
      : prefixes.length * (1 - this.#affinities.overlap(id, prefixes));
    return loadMs * (1 + fresh) + ownMs * pace +
      missing * costs.prefillBlockMs * pace +
      (this.#affinities.isConnected(entry, id) ? 0 : connectionMs) +
      (upstream.availabilityZone === availabilityZone ? 0 : costs.crossZoneMs);
  }
}
