/**
 * Which upstream a request goes to: the contract and two baselines.
 *
 * @module
 */

import type { CacheEvent, Load } from "../outside/mod.ts";
import type { Upstream } from "./shards.ts";
import type { Ticket } from "./queue.ts";

/** An upstream that may take a request now, as its keeper sees it. */
export interface Candidate {
  readonly upstream: Upstream;
  /** Permits in use; exact, unlike the reported load. */
  readonly inFlight: number;
  /** Requests that the upstream runs besides, as far as reports tell. */
  readonly foreign: number;
  /** The last reported load, if any. */
  readonly load: Load | undefined;
  /** Milliseconds since the upstream was first seen ready. */
  readonly readyForMs: number;
}

/** Picks upstreams. */
export abstract class UpstreamSelector {
  /** The upstream for a request; `candidates` is not empty. */
  abstract pick(ticket: Ticket, candidates: readonly Candidate[]): Candidate;

  /** Takes note that a request went to an upstream. */
  granted(_ticket: Ticket, _upstream: string): void {}

  /** Takes note that an entry's request left its connection open. */
  freed(_entry: string, _upstream: string): void {}

  /** Takes in an upstream's cache events. */
  cached(_upstream: string, _events: readonly CacheEvent[]): void {}

  /** Forgets an upstream. */
  forget(_upstream: string): void {}
}

/** Takes the upstreams in turn. */
export class RoundRobin extends UpstreamSelector {
  #turn = 0;

  pick(_ticket: Ticket, candidates: readonly Candidate[]): Candidate {
    return candidates[this.#turn++ % candidates.length];
  }
}

/** Takes the upstream whose last report tells the least load. */
export class LeastLoaded extends UpstreamSelector {
  pick(_ticket: Ticket, candidates: readonly Candidate[]): Candidate {
    return candidates.reduce((best, candidate) =>
      reported(candidate) < reported(best) ? candidate : best
    );
  }
}

/** Draws two upstreams and takes the one whose last report tells less load. */
export class PowerOfTwoChoices extends UpstreamSelector {
  readonly #random: () => number;

  constructor(options: { random?: () => number } = {}) {
    super();
    this.#random = options.random ?? Math.random;
  }

  pick(_ticket: Ticket, candidates: readonly Candidate[]): Candidate {
    const draw = () =>
      candidates[Math.floor(this.#random() * candidates.length)];
    const [one, other] = [draw(), draw()];
    return reported(one) <= reported(other) ? one : other;
  }
}

function reported({ load }: Candidate): number {
  return load === undefined ? 0 : load.running + load.queued;
}
