/**
 * How fast weight versions follow each other and how fast tokens come, as a
 * step's owner sees it. Together they say how long a sample may be that is
 * begun now.
 *
 * @module
 */

/** Parts of the old token rate that each new one keeps. */
const RATE_KEEP = 0.9;

/** A step's own record of versions and token rate. */
export class Pace {
  #version: number;
  #since: number;
  #intervalMs = 0;
  #tokensPerMs = 0;

  constructor(options: { version: number; now: number }) {
    this.#version = options.version;
    this.#since = options.now;
  }

  /** The trainer named a version; older ones tell nothing. */
  named(version: number, now: number): void {
    if (version <= this.#version) return;
    const meanMs = (now - this.#since) / (version - this.#version);
    // The first interval was under way before the step began.
    this.#intervalMs = Math.max(this.#intervalMs, meanMs);
    this.#version = version;
    this.#since = now;
  }

  /** A run made `tokens` in `ms` from its first token on. */
  made(tokens: number, ms: number): void {
    if (ms <= 0) return;
    const rate = tokens / ms;
    this.#tokensPerMs = this.#tokensPerMs === 0
      ? rate
      : this.#tokensPerMs * RATE_KEEP + rate * (1 - RATE_KEEP);
  }

  /** Tokens of a sample begun now until it is stale; infinite if unknown. */
  lifeTokens(stalenessBound: number, now: number): number {
    if (this.#intervalMs === 0 || this.#tokensPerMs === 0) return Infinity;
    const leftMs = (stalenessBound + 1) * this.#intervalMs -
      (now - this.#since);
    return Math.max(0, leftMs * this.#tokensPerMs);
  }
}
