/**
 * How fast upstreams make events, as their own streams show it, long before
 * any report does. A slow upstream is left: what it made so far goes on
 * elsewhere at the price of one prompt read again.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";

/** Weight of the newest gap in an upstream's pace. */
const NEWEST = 0.25;

/** A pace that nobody saw confirmed for so long says nothing any more. */
const FORGET_MS = 3000;

/** Gaps that make a pace worth believing. */
const MIN_GAPS = 5;

/** An upstream this many times slower than the typical one is left. */
const SLOW = 1.8;

/** Upstreams whose pace must be known before one is called slow. */
const MIN_KNOWN = 2;

interface Pace {
  readonly gapMs: number;
  readonly gaps: number;
  readonly seenAt: number;
}

/** Time for an expected token before any item has ended. */
const FIRST_TOKEN_MS = 0.5;

/** Weight of the newest item in the time for a token. */
const NEWEST_ITEM = 0.03;

/** The paces of a pool's upstreams. */
export class Paces {
  readonly #clock: Clock;
  #expected = 0;
  #ran = 0;
  readonly #paces = new Map<string, Pace>();

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  /** Takes in the time between two events of one stream. */
  seen(upstream: string, gapMs: number): void {
    const known = this.#known(upstream);
    this.#paces.set(upstream, {
      gapMs: known === undefined
        ? gapMs
        : known.gapMs * (1 - NEWEST) + gapMs * NEWEST,
      gaps: (known?.gaps ?? 0) + 1,
      seenAt: this.#clock.now(),
    });
  }

  /** Time between two events; nothing where too little is known. */
  of(upstream: string): number | undefined {
    const pace = this.#known(upstream);
    return pace === undefined || pace.gaps < MIN_GAPS ? undefined : pace.gapMs;
  }

  /** Takes in how long an item ran of which so many tokens were expected. */
  ended(expectedTokens: number, ranMs: number): void {
    if (expectedTokens <= 0) return;
    const kept = 1 - NEWEST_ITEM;
    this.#expected = this.#expected * kept + expectedTokens * NEWEST_ITEM;
    this.#ran = this.#ran * kept + ranMs * NEWEST_ITEM;
  }

  /** Time that an item of so many expected tokens may run. */
  expectedMs(expectedTokens: number): number {
    const tokenMs = this.#expected > 0
      ? this.#ran / this.#expected
      : FIRST_TOKEN_MS;
    return expectedTokens * tokenMs;
  }

  /** The faster half's slowest pace. */
  typical(): number | undefined {
    const gaps = [...this.#paces.keys()]
      .flatMap((upstream) => this.of(upstream) ?? [])
      .sort((a, b) => a - b);
    if (gaps.length < MIN_KNOWN) return undefined;
    return gaps[Math.floor((gaps.length - 1) / 2)];
  }

  /** Whether an upstream is far slower than the others. */
  slow(upstream: string): boolean {
    const own = this.of(upstream);
    const typical = this.typical();
    return own !== undefined && typical !== undefined && own > SLOW * typical;
  }

  /** All upstreams that are far slower than the others. */
  slowest(): readonly string[] {
    return [...this.#paces.keys()].filter((upstream) => this.slow(upstream));
  }

  #known(upstream: string): Pace | undefined {
    const pace = this.#paces.get(upstream);
    if (pace === undefined) return undefined;
    if (this.#clock.now() - pace.seenAt <= FORGET_MS) return pace;
    this.#paces.delete(upstream);
    return undefined;
  }
}
