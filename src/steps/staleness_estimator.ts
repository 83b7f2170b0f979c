/**
 * Estimates how many tokens a sample that starts now can have before it is
 * stale, from the interval between weight versions and the token rate that the
 * step's owner observes.
 *
 * @module
 */

/** Weight of the previous value in the moving average of the token rate. */
const PREVIOUS_RATE_WEIGHT = 0.9;

/** Estimates the tokens until a sample of one step is stale. */
export class StalenessEstimator {
  #version: number;
  #versionSeenAt: number;
  #intervalMs = 0;
  #tokensPerMs = 0;

  constructor(options: { version: number; now: number }) {
    this.#version = options.version;
    this.#versionSeenAt = options.now;
  }

  /** Records the trainer's version; ignores versions already seen. */
  recordVersion(version: number, now: number): void {
    if (version <= this.#version) return;
    const meanMs = (now - this.#versionSeenAt) / (version - this.#version);
    // The first interval began before the step, so it is measured too short.
    this.#intervalMs = Math.max(this.#intervalMs, meanMs);
    this.#version = version;
    this.#versionSeenAt = now;
  }

  /** Records a run that generated `tokens` in `ms` after its first token. */
  recordRun(tokens: number, ms: number): void {
    if (ms <= 0) return;
    const rate = tokens / ms;
    this.#tokensPerMs = this.#tokensPerMs === 0
      ? rate
      : this.#tokensPerMs * PREVIOUS_RATE_WEIGHT +
        rate * (1 - PREVIOUS_RATE_WEIGHT);
  }

  /** Tokens until a sample that starts now is stale; infinite if unknown. */
  tokensUntilStale(stalenessBound: number, now: number): number {
    if (this.#intervalMs === 0 || this.#tokensPerMs === 0) return Infinity;
    const leftMs = (stalenessBound + 1) * this.#intervalMs -
      (now - this.#versionSeenAt);
    return Math.max(0, leftMs * this.#tokensPerMs);
  }
}
