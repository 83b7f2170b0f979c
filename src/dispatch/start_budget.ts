/**
 * Paces the requests that start on one upstream to the rate that it takes: a
 * token bucket that is empty when a limit or a cold time begins, so that what
 * other daemons let start shortly before does not count twice.
 *
 * @module
 */

/** Unused starts are kept for this long, as callers' requests come in bursts. */
const BURST_MS = 1000;

/**
 * Most unused starts that are kept for a cold upstream, and the share of a
 * second's starts. It may get 1.5 times its rate and 5 in a second, from two
 * leaders of which one uses half of the rate: at 12 a second 14 and 7.5.
 */
const MAX_COLD_BURST = 2;
const COLD_BURST_S = 0.25;

/**
 * For this long after the cold time the rate is doubled instead of unlimited, as
 * its end is known less exactly than that.
 */
export const WARM_UP_MS = 1000;

/** Rate after the cold time, relative to that before. */
const WARM_UP_FACTOR = 2;

/**
 * Rate at which a lower limit is still tried: only an answer shows that the
 * limit has ended.
 */
const MIN_RATE_PER_S = 0.25;

/** Tokens that rounding may lack to a whole one. */
const ROUNDING = 1e-9;

/** What a cold upstream takes. */
export interface ColdPace {
  readonly ratePerS: number;
  /** End of the cold time; infinite if it isn't known yet. */
  readonly until: number;
}

/** The starts that an upstream's limit or its cold time leave. */
export class StartBudget {
  #limitPerS = Infinity;
  #cold: ColdPace | undefined;
  #ratePerS = Infinity;
  #tokens = 0;
  #at = -Infinity;

  /** Requests a second that may start now; infinite without a limit. */
  get ratePerS(): number {
    return this.#ratePerS;
  }

  /**
   * Accrues starts up to `now`, then applies this limit, which may be infinite,
   * and the pace of a cold upstream. The lower rate counts.
   */
  update(limitPerS: number, now: number, cold?: ColdPace): void {
    if (this.#ratePerS !== Infinity) {
      this.#tokens = Math.min(
        this.#burst,
        this.#tokens + (now - this.#at) / 1000 * this.#ratePerS,
      );
    }
    if (cold !== undefined && this.#cold === undefined) this.#tokens = 0;
    this.#at = now;
    this.#limitPerS = limitPerS;
    this.#cold = cold;
    this.#ratePerS = this.#rateAt(now);
    if (this.#ratePerS === Infinity) this.#tokens = 0;
    else this.#tokens = Math.min(this.#tokens, this.#burst);
  }

  /** Requests that may start now; infinite without a limit. */
  get left(): number {
    return this.leftAfter(0);
  }

  /** Requests that may have started this long after the last update. */
  leftAfter(ms: number): number {
    if (this.#ratePerS === Infinity) return Infinity;
    const end = this.#at + ms;
    const coldEnd = this.#cold?.until ?? Infinity;
    let tokens = this.#tokens;
    for (let from = this.#at; from < end;) {
      const change = [coldEnd, coldEnd + WARM_UP_MS].find((at) => at > from);
      const to = Math.min(end, change ?? end);
      tokens += (to - from) / 1000 * this.#rateAt(from);
      from = to;
    }
    return Math.floor(tokens + ROUNDING);
  }

  /** Uses one start. */
  take(): void {
    if (this.#ratePerS !== Infinity) this.#tokens -= 1;
  }

  #rateAt(at: number): number {
    const perS = Math.min(this.#limitPerS, coldRateAt(this.#cold, at));
    return Math.max(perS, MIN_RATE_PER_S);
  }

  get #burst(): number {
    const burst = this.#cold === undefined
      ? this.#ratePerS * BURST_MS / 1000
      : Math.min(MAX_COLD_BURST, this.#ratePerS * COLD_BURST_S);
    return Math.max(1, burst);
  }
}

function coldRateAt(cold: ColdPace | undefined, at: number): number {
  if (cold === undefined || at >= cold.until + WARM_UP_MS) return Infinity;
  return at < cold.until ? cold.ratePerS : cold.ratePerS * WARM_UP_FACTOR;
}

/** When requests may start on upstreams that all are paced. */
export class StartForecast {
  readonly #budgets: readonly StartBudget[];

  constructor({ budgets }: { budgets: readonly StartBudget[] }) {
    this.#budgets = budgets;
  }

  /** Time until `count` requests may have started, in milliseconds. */
  msUntil(count: number): number {
    if (this.#startsWithin(0) >= count) return 0;
    let longMs = 1;
    while (this.#startsWithin(longMs) < count) longMs *= 2;
    let shortMs = 0;
    while (longMs - shortMs > 1) {
      const middleMs = (shortMs + longMs) / 2;
      if (this.#startsWithin(middleMs) < count) shortMs = middleMs;
      else longMs = middleMs;
    }
    return longMs;
  }

  #startsWithin(ms: number): number {
    return this.#budgets
      .reduce((sum, budget) => sum + budget.leftAfter(ms), 0);
  }
}
