/**
 * How much longer than nominal work takes on each upstream: a slow mean, as
 * hardware differs, and a momentary value. Both come from durations compared
 * with the expected work; figures that upstreams state sharpen the momentary
 * one as long as they predict durations.
 *
 * @module
 */

/** Bounds of a pace, whatever is stated or measured. */
export const MIN_PACE = 0.2;
export const MAX_PACE = 8;

/** Half-life of the momentary value, as the platform's machines change. */
const MOMENTARY_HALF_LIFE_MS = 600;

/**
 * Measurements that the momentary value covers at most if they are exact, and more
 * by their spread. Where they are frequent it follows faster than its half-life:
 * with figures 100 ms old the p99 under noise is 0.70 of slots in use, not 0.85.
 */
const RECENT_MEASUREMENTS = 4;

/** Half-life of the slow mean; an idle upstream is learned anew. */
const SLOW_HALF_LIFE_MS = 60_000;

/** Most measurements that the slow mean covers. */
const MAX_SLOW_WEIGHT = 400;

/** Measurements of an upstream before its pace is compared with others. */
export const MIN_MEASUREMENTS = 20;

/** Ratio of the largest to the least slow mean at which they differ. */
const DIFFERING_RATIO = 1.5;

/** Ratio below which they no longer differ. */
const EQUAL_RATIO = 1.3;

/**
 * Standard errors by which the extremes must differ. Work of 1:20 in requests
 * that look alike spreads means of 20 measurements by more than 1.5 by chance.
 */
const SIGNIFICANT_ERRORS = 4;

/** Least relative variance of a measurement: none is exact. */
const MIN_SPREAD = 0.01;

/** Time for which a stated figure keeps the stated paces in use. */
const STATED_VALID_MS = 10_000;

/** Assumed variance of paces, against that of a measurement. */
const SLOW_VARIANCE = 0.1;
const MOMENTARY_VARIANCE = 0.25;

/** Weight of the assumption that an upstream states its pace correctly. */
const STATED_PRIOR_WEIGHT = 5;

/** Predictions from stated figures before they can be found useless. */
const MIN_PREDICTIONS = 20;

/** Error of predictions with stated figures, to that without, at which they go. */
const MAX_ERROR_RATIO = 1.1;

/** Weight of the newest prediction's error. */
const NEWEST_ERROR_WEIGHT = 1 / 200;

/** Weight of the newest stated pace in their mean. */
const NEWEST_STATED_WEIGHT = 1 / 30;

/** Bounds of one measurement, so that no single one decides. */
const MIN_RATIO = 0.05;
const MAX_RATIO = 20;

/** How often the slow means are scaled to a mean of 1. */
const SCALE_INTERVAL_MS = 250;

/** What is expected of a request when it starts, kept until it ends. */
export interface PacePrediction {
  /** From durations alone. */
  readonly measured: number;
  /** With what the upstream stated; absent if it states nothing. */
  readonly withStated: number | undefined;
  /** The newest stated pace. */
  readonly stated: number | undefined;
}

/** Why paces are known to differ. */
export enum PaceDifference {
  None = "none",
  Measured = "measured",
  Stated = "stated",
}

/** The pace of one upstream for metrics and the status page. */
export interface PaceStatus {
  readonly pace: number;
  readonly slowPace: number;
  readonly measurements: number;
  readonly statedPace: number | undefined;
  /** Whether stated figures are used. */
  readonly statedUsed: boolean;
}

interface PaceState {
  /** Decayed count and sum of measurements for the slow mean. */
  weight: number;
  sum: number;
  at: number;
  /** The same for the momentary value. */
  recentWeight: number;
  recentSum: number;
  recentAt: number;
  slow: number;
  stated: number | undefined;
  /** Running mean of the stated paces. */
  statedMean: number;
  statedAt: number;
  /** Measured and stated paces of the same requests. */
  comparedMeasured: number;
  comparedStated: number;
  predictions: number;
  errorMeasured: number;
  errorStated: number;
}

/** Paces of the upstreams of one leader. */
export class UpstreamPaces {
  readonly #states = new Map<string, PaceState>();
  #difference = PaceDifference.None;
  #scale = 1;
  #scaledAt = -Infinity;
  /** Relative variance of one measurement. */
  #spread = 1;
  /** Decayed sums of measurements relative to their upstream's slow mean. */
  #spreadWeight = 0;
  #spreadSum = 0;
  #spreadSquares = 0;

  /** How much longer than nominal work takes on an upstream now. */
  pace(upstream: string, now: number): number {
    const state = this.#states.get(upstream);
    if (state === undefined) return 1;
    const { measured, withStated } = this.#predict(state, now);
    const pace = withStated !== undefined && this.#isTrusted(state)
      ? withStated
      : measured;
    return clampPace(pace);
  }

  /** How much longer than nominal work usually takes on an upstream. */
  slowPace(upstream: string): number {
    return clampPace(this.#states.get(upstream)?.slow ?? 1);
  }

  /** What is expected of a request that starts now. */
  predict(upstream: string, now: number): PacePrediction {
    return this.#predict(this.#state(upstream, now), now);
  }

  /** Records how long a request took, against its expected nominal work. */
  measured(upstream: string, options: {
    durationMs: number;
    expectedMs: number;
    prediction?: PacePrediction;
    now: number;
  }): void {
    const { durationMs, expectedMs, prediction, now } = options;
    if (!(expectedMs > 0) || !(durationMs >= 0)) return;
    const ratio = clamp(durationMs / expectedMs, MIN_RATIO, MAX_RATIO);
    const state = this.#state(upstream, now);
    if (prediction !== undefined) this.#judge(state, ratio, prediction);
    this.#recordSpread(ratio / (state.slow * this.#scale));
    const kept = decay(now - state.at, SLOW_HALF_LIFE_MS) *
      (1 - 1 / MAX_SLOW_WEIGHT);
    state.weight = state.weight * kept + 1;
    state.sum = state.sum * kept + ratio;
    state.at = now;
    const recent = Math.min(
      decay(now - state.recentAt, MOMENTARY_HALF_LIFE_MS),
      1 - 1 / (RECENT_MEASUREMENTS * (1 + this.#spread)),
    );
    state.recentWeight = state.recentWeight * recent + 1;
    state.recentSum = state.recentSum * recent + ratio;
    state.recentAt = now;
    this.#updateSlow(state);
  }

  /** Applies the pace that an upstream stated at a time; older ones don't count. */
  stated(upstream: string, pace: number, at: number): void {
    if (!(pace > 0)) return;
    const state = this.#state(upstream, at);
    if (at < state.statedAt) return;
    const clamped = clampPace(pace);
    const weight = state.stated === undefined ? 1 : NEWEST_STATED_WEIGHT;
    state.statedMean += weight * (clamped - state.statedMean);
    state.stated = clamped;
    state.statedAt = at;
  }

  /** Whether the paces are known to differ, and why. */
  difference(now: number): PaceDifference {
    this.#rescale(now);
    this.#difference = this.#currentDifference(now);
    return this.#difference;
  }

  /** The upstreams that something is known of. */
  upstreams(): readonly string[] {
    return [...this.#states.keys()];
  }

  /** Pace of an upstream for metrics and the status page. */
  status(upstream: string, now: number): PaceStatus {
    const state = this.#state(upstream, now);
    return {
      pace: this.pace(upstream, now),
      slowPace: this.slowPace(upstream),
      measurements: Math.round(this.#weightAt(state, now)),
      statedPace: now - state.statedAt < STATED_VALID_MS
        ? state.stated
        : undefined,
      statedUsed: state.stated !== undefined && this.#isTrusted(state),
    };
  }

  forget(upstream: string): void {
    this.#states.delete(upstream);
  }

  #currentDifference(now: number): PaceDifference {
    let least: PaceState | undefined;
    let largest: PaceState | undefined;
    for (const state of this.#states.values()) {
      if (now - state.statedAt < STATED_VALID_MS) return PaceDifference.Stated;
      if (this.#weightAt(state, now) < MIN_MEASUREMENTS) continue;
      if (least === undefined || state.slow < least.slow) least = state;
      if (largest === undefined || state.slow > largest.slow) largest = state;
    }
    if (least === undefined || largest === undefined) {
      return PaceDifference.None;
    }
    const ratio = largest.slow / least.slow;
    if (this.#difference === PaceDifference.Measured) {
      return ratio < EQUAL_RATIO
        ? PaceDifference.None
        : PaceDifference.Measured;
    }
    const error = Math.sqrt(
      this.#spread * (1 / least.weight + 1 / largest.weight),
    );
    return ratio >= DIFFERING_RATIO &&
        Math.log(ratio) > SIGNIFICANT_ERRORS * error
      ? PaceDifference.Measured
      : PaceDifference.None;
  }

  #recordSpread(relative: number): void {
    const kept = 1 - 1 / MAX_SLOW_WEIGHT;
    this.#spreadWeight = this.#spreadWeight * kept + 1;
    this.#spreadSum = this.#spreadSum * kept + relative;
    this.#spreadSquares = this.#spreadSquares * kept + relative ** 2;
    if (this.#spreadWeight < MIN_MEASUREMENTS) return;
    const mean = this.#spreadSum / this.#spreadWeight;
    this.#spread = Math.max(
      MIN_SPREAD,
      this.#spreadSquares / this.#spreadWeight / mean ** 2 - 1,
    );
  }

  #weightAt({ weight, at }: PaceState, now: number): number {
    return weight * decay(now - at, SLOW_HALF_LIFE_MS);
  }

  /**
   * Scales the means so that they average 1: expected work is learned from the
   * same durations, which say nothing about a factor common to all.
   */
  #rescale(now: number): void {
    if (now - this.#scaledAt < SCALE_INTERVAL_MS) return;
    this.#scaledAt = now;
    let logs = 0;
    let count = 0;
    for (const state of this.#states.values()) {
      if (this.#weightAt(state, now) < MIN_MEASUREMENTS) continue;
      logs += Math.log(state.sum / state.weight);
      count += 1;
    }
    this.#scale = count === 0 ? 1 : Math.exp(logs / count);
    for (const state of this.#states.values()) this.#updateSlow(state);
  }

  #updateSlow(state: PaceState): void {
    const prior = Math.max(1, this.#spread / SLOW_VARIANCE);
    // Without measurements, the mean of stated paces is the best guess.
    const guess = this.#isTrusted(state) ? state.statedMean : 1;
    state.slow = (state.sum / this.#scale + prior * guess) /
      (state.weight + prior);
  }

  #predict(state: PaceState, now: number): PacePrediction {
    const recent = decay(now - state.recentAt, MOMENTARY_HALF_LIFE_MS);
    const weight = state.recentWeight * recent;
    const prior = 1 + this.#spread / MOMENTARY_VARIANCE;
    const measured =
      (state.recentSum * recent / this.#scale + prior * state.slow) /
      (weight + prior);
    const { stated } = state;
    if (stated === undefined || now - state.statedAt >= STATED_VALID_MS) {
      return { measured, withStated: undefined, stated: undefined };
    }
    const fresh = decay(now - state.statedAt, MOMENTARY_HALF_LIFE_MS);
    const corrected = stated * this.#correction(state);
    const withStated = measured + Math.min(1, fresh) * (corrected - measured);
    return { measured, withStated, stated };
  }

  /** Factor from an upstream's stated paces to the measured ones. */
  #correction({ comparedMeasured, comparedStated }: PaceState): number {
    return (comparedMeasured + STATED_PRIOR_WEIGHT) /
      (comparedStated + STATED_PRIOR_WEIGHT);
  }

  #isTrusted({ predictions, errorMeasured, errorStated }: PaceState): boolean {
    return predictions < MIN_PREDICTIONS ||
      errorStated <= errorMeasured * MAX_ERROR_RATIO;
  }

  /** Compares what was predicted when a request started with what it took. */
  #judge(state: PaceState, raw: number, prediction: PacePrediction): void {
    const { measured, withStated, stated } = prediction;
    if (stated === undefined || withStated === undefined) return;
    const ratio = raw / this.#scale;
    const kept = 1 - 1 / MAX_SLOW_WEIGHT;
    state.comparedMeasured = state.comparedMeasured * kept + ratio;
    state.comparedStated = state.comparedStated * kept + stated;
    const error = (pace: number) => Math.log(ratio / clampPace(pace)) ** 2;
    state.predictions += 1;
    const weight = Math.max(NEWEST_ERROR_WEIGHT, 1 / state.predictions);
    state.errorMeasured += weight * (error(measured) - state.errorMeasured);
    state.errorStated += weight * (error(withStated) - state.errorStated);
  }

  #state(upstream: string, now: number): PaceState {
    const known = this.#states.get(upstream);
    if (known !== undefined) return known;
    const state: PaceState = {
      weight: 0,
      sum: 0,
      at: now,
      recentWeight: 0,
      recentSum: 0,
      recentAt: now,
      slow: 1,
      stated: undefined,
      statedMean: 1,
      statedAt: -Infinity,
      comparedMeasured: 0,
      comparedStated: 0,
      predictions: 0,
      errorMeasured: 0,
      errorStated: 0,
    };
    this.#states.set(upstream, state);
    return state;
  }
}

/** A pace within the bounds. */
export function clampPace(pace: number): number {
  return clamp(pace, MIN_PACE, MAX_PACE);
}

/** What is left of a weight after a time. */
function decay(ms: number, halfLifeMs: number): number {
  return Math.exp(-Math.LN2 * ms / halfLifeMs);
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
