/**
 * Interface of the policies that select an upstream for a request, and the
 * baseline policies.
 *
 * @module
 */

import type { CacheEvent, Load, StatedLoad } from "../outside/mod.ts";
import type { Outcome } from "./mod.ts";
import type { ActivePermit } from "./permits.ts";
import type { SelectionStatus } from "./selection_status.ts";
import type { Upstream } from "./shards.ts";
import type { Ticket } from "./queue.ts";

/** An upstream that may take a request now, as its leader sees it. */
export interface Candidate {
  readonly upstream: Upstream;
  /** Permits in use; exact, whereas the reported load lags. */
  readonly inFlight: number;
  /** Other requests that the upstream runs, estimated from load reports. */
  readonly foreign: number;
  /** The last reported load, if any. */
  readonly load: Load | undefined;
  /** Milliseconds since the upstream was first seen ready. */
  readonly readyForMs: number;
  /** Requests that its limit lets start now; infinite without a limit. */
  readonly startsLeft: number;
}

/** Requests that an upstream runs at once, by its own report if that is less. */
export function slotsOf(
  { upstream, load }: Pick<Candidate, "upstream" | "load">,
): number {
  return load === undefined || load.slots === 0
    ? upstream.slots
    : Math.min(upstream.slots, load.slots);
}

/** Selects upstreams. */
export abstract class UpstreamSelector {
  /** Selects the upstream for a request; `candidates` is not empty. */
  abstract pick(ticket: Ticket, candidates: readonly Candidate[]): Candidate;

  /** Records that a request was granted an upstream. */
  granted(_ticket: Ticket, _upstream: string): void {}

  /** Records that an entry's request left its connection open. */
  freed(_entry: string, _upstream: string): void {}

  /** Applies an upstream's cache events. */
  cached(_upstream: string, _events: readonly CacheEvent[]): void {}

  /** Records a permit in use, granted here or by another leader. */
  started(_permit: ActivePermit, _now: number): void {}

  /** Records that the use of a permit ended. */
  ended(
    _permit: ActivePermit,
    _end: { readonly outcome: Outcome; readonly now: number },
  ): void {}

  /** Applies the load that an upstream stated at a time on this clock. */
  stated(_upstream: string, _load: StatedLoad, _at: number): void {}

  /** Discards the state of an upstream. */
  forget(_upstream: string): void {}

  /** How upstreams are selected now, if that depends on what was learned. */
  status(_upstreams: readonly string[]): SelectionStatus | undefined {
    return undefined;
  }
}

/** Selects the upstreams in turn. */
export class RoundRobin extends UpstreamSelector {
  #turn = 0;

  pick(_ticket: Ticket, candidates: readonly Candidate[]): Candidate {
    return candidates[this.#turn++ % candidates.length];
  }
}

/** Selects the upstream with the lowest reported load. */
export class LeastLoaded extends UpstreamSelector {
  pick(_ticket: Ticket, candidates: readonly Candidate[]): Candidate {
    return candidates.reduce((best, candidate) =>
      reported(candidate) < reported(best) ? candidate : best
    );
  }
}

/** Draws two upstreams and selects the one with the lower reported load. */
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
