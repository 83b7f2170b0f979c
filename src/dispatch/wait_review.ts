/**
 * The periodic review of one wait for a permit. The engines with fresh weights
 * of a model change within seconds, so a request that waits looks again whether
 * another shard suits it better. A wait is also renewed once upstreams that it
 * excludes may be used again.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";
import type { Shard } from "./fleet.ts";
import type { Demand } from "./mod.ts";
import type { Move, ShardSelector } from "./shard_selector.ts";

/** How often a request that waits for a model looks at the other shards. */
const WAIT_REVIEW_INTERVAL_MS = 500;

/** Reviews a wait at a shard until `end` is called. */
export class WaitReview {
  readonly #clock: Clock;
  readonly #review: () => Move | undefined;
  readonly #caller: AbortSignal;
  readonly #abort = new AbortController();
  readonly #removeWait: () => void;
  #cancelTimer = () => {};
  #move: Move | undefined;
  #isRenewed = false;

  constructor(options: {
    clock: Clock;
    selector: ShardSelector;
    demand: Demand;
    shard: Shard;
    /** Names of shards that refused the request; it is not moved there. */
    refusedBy: ReadonlySet<string>;
    /** Ends the wait. */
    signal: AbortSignal;
  }) {
    const { selector, demand, shard } = options;
    this.#clock = options.clock;
    this.#caller = options.signal;
    this.#review = () => selector.betterThan(shard, demand, options);
    this.#removeWait = demand.model === undefined
      ? () => {}
      : selector.addWait(shard, demand.model);
    // Not `AbortSignal.any`, as the caller's signal may outlive many waits.
    this.#caller.addEventListener("abort", this.#endWait, { once: true });
    if (this.#caller.aborted) this.#endWait();
    if (demand.model !== undefined) this.#schedule();
  }

  /** Aborts when the wait should end, by its caller or for a move. */
  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Where the wait should go on, if it ended for a move. */
  get move(): Move | undefined {
    return this.#move;
  }

  /** Whether the wait ended to be asked for again where it is. */
  get isRenewed(): boolean {
    return this.#isRenewed;
  }

  /** Ends the wait, as what it excludes is out of date. */
  renew(): void {
    this.#isRenewed = true;
    this.#endWait();
  }

  /** Ends the review; must be called when the wait has ended. */
  end(): void {
    this.#cancelTimer();
    this.#caller.removeEventListener("abort", this.#endWait);
    this.#removeWait();
  }

  readonly #endWait = () => this.#abort.abort();

  #schedule(): void {
    this.#cancelTimer = this.#clock.after(WAIT_REVIEW_INTERVAL_MS, () => {
      this.#move = this.#review();
      if (this.#move === undefined) this.#schedule();
      else this.#endWait();
    });
  }
}
