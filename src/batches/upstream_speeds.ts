/**
 * How fast upstreams make events, as their own streams show it, long before
 * any report does. A slow upstream is left: what it made so far goes on
 * elsewhere at the price of one prompt read again.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";

/** Gaps that make a pace worth believing. */
const MIN_INTERVALS = 5;

/** An upstream this many times slower than the typical one is left. */
const SLOW_FACTOR = 1.8;

/** One this many times slower gets what takes long only if no other can. */
const LAGGING_FACTOR = 1.15;

/** Upstreams whose pace must be known before one is called slow. */
const MIN_KNOWN_UPSTREAMS = 2;

interface MeanInterval {
  readonly meanMs: number;
  readonly intervals: number;
  readonly updatedAt: number;
}

/** Time for an expected token before any item has ended. */
const DEFAULT_TOKEN_MS = 0.5;

/** Weight of the newest item in the time for a token. */
const NEWEST_ITEM_WEIGHT = 0.03;

/** The paces of a pool's upstreams. */
export class UpstreamSpeeds {
  readonly #shortTerm: IntervalAverages;
  readonly #longTerm: IntervalAverages;
  #expected = 0;
  #weightedRunMs = 0;

  constructor(options: { clock: Clock }) {
    this.#shortTerm = new IntervalAverages({
      ...options,
      newestWeight: 0.25,
      expiryMs: 3000,
    });
    this.#longTerm = new IntervalAverages({
      ...options,
      newestWeight: 0.05,
      expiryMs: 60_000,
    });
  }

  /** Takes in the time between two events of one stream. */
  recordInterval(upstream: string, intervalMs: number): void {
    this.#shortTerm.record(upstream, intervalMs);
    this.#longTerm.record(upstream, intervalMs);
  }

  /** Time between two events; nothing where too little is known. */
  intervalMs(upstream: string): number | undefined {
    return this.#shortTerm.intervalMs(upstream);
  }

  /** Takes in how long an item ran of which so many tokens were expected. */
  ended(expectedTokens: number, ranMs: number): void {
    if (expectedTokens <= 0) return;
    const kept = 1 - NEWEST_ITEM_WEIGHT;
    this.#expected = this.#expected * kept +
      expectedTokens * NEWEST_ITEM_WEIGHT;
    this.#weightedRunMs = this.#weightedRunMs * kept +
      ranMs * NEWEST_ITEM_WEIGHT;
  }

  /** Time that an item of so many expected tokens may run. */
  expectedRunMs(expectedTokens: number): number {
    const tokenMs = this.#expected > 0
      ? this.#weightedRunMs / this.#expected
      : DEFAULT_TOKEN_MS;
    return expectedTokens * tokenMs;
  }

  /** The faster half's slowest pace. */
  medianIntervalMs(): number | undefined {
    return this.#shortTerm.medianIntervalMs();
  }

  /** Whether an upstream is far slower than the others. */
  isSlow(upstream: string): boolean {
    return this.#shortTerm.exceedsMedian(upstream, SLOW_FACTOR);
  }

  /** All upstreams that are far slower than the others. */
  slowUpstreams(): readonly string[] {
    return this.#shortTerm.upstreams.filter((upstream) =>
      this.isSlow(upstream)
    );
  }

  /** Upstreams that have been slower than the others for a while. */
  laggingUpstreams(): readonly string[] {
    return this.#longTerm.upstreams
      .filter((upstream) =>
        this.#longTerm.exceedsMedian(upstream, LAGGING_FACTOR)
      );
  }
}

/** Moving means of the gaps that were seen, each kept for a while. */
class IntervalAverages {
  readonly #clock: Clock;
  readonly #newestWeight: number;
  readonly #expiryMs: number;
  readonly #means = new Map<string, MeanInterval>();

  constructor(options: {
    clock: Clock;
    /** Weight of the newest gap. */
    newestWeight: number;
    /** A pace that nobody saw confirmed for so long says nothing any more. */
    expiryMs: number;
  }) {
    this.#clock = options.clock;
    this.#newestWeight = options.newestWeight;
    this.#expiryMs = options.expiryMs;
  }

  get upstreams(): readonly string[] {
    return [...this.#means.keys()];
  }

  record(upstream: string, intervalMs: number): void {
    const known = this.#unexpired(upstream);
    const before = known?.meanMs ?? intervalMs;
    this.#means.set(upstream, {
      meanMs: before + (intervalMs - before) * this.#newestWeight,
      intervals: (known?.intervals ?? 0) + 1,
      updatedAt: this.#clock.now(),
    });
  }

  intervalMs(upstream: string): number | undefined {
    const mean = this.#unexpired(upstream);
    return mean === undefined || mean.intervals < MIN_INTERVALS
      ? undefined
      : mean.meanMs;
  }

  medianIntervalMs(): number | undefined {
    const intervals = this.upstreams
      .flatMap((upstream) => this.intervalMs(upstream) ?? [])
      .sort((a, b) => a - b);
    if (intervals.length < MIN_KNOWN_UPSTREAMS) return undefined;
    return intervals[Math.floor((intervals.length - 1) / 2)];
  }

  exceedsMedian(upstream: string, factor: number): boolean {
    const own = this.intervalMs(upstream);
    const median = this.medianIntervalMs();
    return own !== undefined && median !== undefined && own > factor * median;
  }

  #unexpired(upstream: string): MeanInterval | undefined {
    const mean = this.#means.get(upstream);
    if (mean === undefined) return undefined;
    if (this.#clock.now() - mean.updatedAt <= this.#expiryMs) return mean;
    this.#means.delete(upstream);
    return undefined;
  }
}
