/**
 * How fast upstreams generate events, measured on this daemon's own streams,
 * which show a change long before load reports do.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";
import { RecentIntervals } from "./recent_intervals.ts";

/** Intervals measured before a mean is used. */
const MIN_INTERVALS = 5;

/** A slow upstream's interval exceeds the median this much. */
const SLOW_FACTOR = 1.8;

/** A slow upstream's interval exceeds its own mean of a minute this much. */
const SLOWER_THAN_BEFORE_FACTOR = 1.5;

/** Long items avoid an upstream whose interval exceeds the median this much. */
const LAGGING_FACTOR = 1.15;

/**
 * Weight of the newest interval in the mean that tells slow upstreams. With 0.25,
 * a few long intervals among irregular ones made equal upstreams look slow.
 */
const NEWEST_INTERVAL_WEIGHT = 0.1;

/** Upstreams with a known mean before any is compared with the median. */
const MIN_KNOWN_UPSTREAMS = 2;

interface MeanInterval {
  readonly meanMs: number;
  readonly intervals: number;
  readonly updatedAt: number;
}

/** Run time per expected token before any item has completed. */
const DEFAULT_TOKEN_MS = 0.5;

/** Weight of the newest item in the average run time per expected token. */
const NEWEST_ITEM_WEIGHT = 0.03;

/** Event intervals of a pool's upstreams and run times of its items. */
export class UpstreamSpeeds {
  readonly #shortTerm: IntervalAverages;
  readonly #longTerm: IntervalAverages;
  readonly #lastMinute: RecentIntervals;
  /** Weighted sums over completed items, used only as a ratio. */
  #expected = 0;
  #weightedRunMs = 0;

  constructor(options: { clock: Clock }) {
    this.#shortTerm = new IntervalAverages({
      ...options,
      newestWeight: NEWEST_INTERVAL_WEIGHT,
      expiryMs: 3000,
    });
    this.#longTerm = new IntervalAverages({
      ...options,
      newestWeight: 0.05,
      expiryMs: 60_000,
    });
    this.#lastMinute = new RecentIntervals(options);
  }

  /** Records the time between two events of one stream. */
  recordInterval(upstream: string, intervalMs: number): void {
    this.#shortTerm.record(upstream, intervalMs);
    this.#longTerm.record(upstream, intervalMs);
    this.#lastMinute.record(upstream, intervalMs);
  }

  /** Mean time between two events; undefined with too few measurements. */
  intervalMs(upstream: string): number | undefined {
    return this.#shortTerm.intervalMs(upstream);
  }

  /** Records the run time of a completed item. */
  ended(expectedTokens: number, ranMs: number): void {
    if (expectedTokens <= 0) return;
    const kept = 1 - NEWEST_ITEM_WEIGHT;
    this.#expected = this.#expected * kept +
      expectedTokens * NEWEST_ITEM_WEIGHT;
    this.#weightedRunMs = this.#weightedRunMs * kept +
      ranMs * NEWEST_ITEM_WEIGHT;
  }

  /** Expected run time of an item. */
  expectedRunMs(expectedTokens: number): number {
    const tokenMs = this.#expected > 0
      ? this.#weightedRunMs / this.#expected
      : DEFAULT_TOKEN_MS;
    return expectedTokens * tokenMs;
  }

  /** Median of the upstreams' mean intervals, the lower one of two. */
  medianIntervalMs(): number | undefined {
    return this.#shortTerm.medianIntervalMs();
  }

  /** Whether an upstream is slow now and became slower than it used to be. */
  isSlow(upstream: string): boolean {
    const intervalMs = this.intervalMs(upstream);
    const beforeMs = this.#lastMinute.meanMs(upstream);
    if (intervalMs === undefined || beforeMs === undefined) return false;
    return intervalMs > SLOWER_THAN_BEFORE_FACTOR * beforeMs &&
      this.#shortTerm.exceedsMedian(upstream, SLOW_FACTOR);
  }

  /** All slow upstreams, which items are not sent to. */
  slowUpstreams(): readonly string[] {
    return this.#shortTerm.upstreams.filter((upstream) =>
      this.isSlow(upstream)
    );
  }

  /** Upstreams that have been somewhat slow over the last minute. */
  laggingUpstreams(): readonly string[] {
    return this.#longTerm.upstreams
      .filter((upstream) =>
        this.#longTerm.exceedsMedian(upstream, LAGGING_FACTOR)
      );
  }
}

/** Exponential moving averages of intervals by upstream, with expiry. */
class IntervalAverages {
  readonly #clock: Clock;
  readonly #newestWeight: number;
  readonly #expiryMs: number;
  readonly #means = new Map<string, MeanInterval>();

  constructor(options: {
    clock: Clock;
    /** Weight of the newest interval. */
    newestWeight: number;
    /** A mean without a new interval for longer than this is dropped. */
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
    const intervals = (known?.intervals ?? 0) + 1;
    // The first intervals have equal weights.
    const weight = Math.max(this.#newestWeight, 1 / intervals);
    this.#means.set(upstream, {
      meanMs: before + (intervalMs - before) * weight,
      intervals,
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
