/**
 * How fast upstreams make events, as their own streams show it, long before
 * any report does. A slow upstream is left: what it made so far goes on
 * elsewhere at the price of one prompt read again.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";

/** Gaps that make a pace worth believing. */
const MIN_GAPS = 5;

/** An upstream this many times slower than the typical one is left. */
const SLOW = 1.8;

/** One this many times slower gets what takes long only if no other can. */
const BEHIND = 1.15;

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
  readonly #recent: Memory;
  readonly #lasting: Memory;
  #expected = 0;
  #ran = 0;

  constructor(options: { clock: Clock }) {
    this.#recent = new Memory({ ...options, newest: 0.25, forgetMs: 3000 });
    this.#lasting = new Memory({ ...options, newest: 0.05, forgetMs: 60_000 });
  }

  /** Takes in the time between two events of one stream. */
  seen(upstream: string, gapMs: number): void {
    this.#recent.seen(upstream, gapMs);
    this.#lasting.seen(upstream, gapMs);
  }

  /** Time between two events; nothing where too little is known. */
  of(upstream: string): number | undefined {
    return this.#recent.of(upstream);
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
    return this.#recent.typical();
  }

  /** Whether an upstream is far slower than the others. */
  slow(upstream: string): boolean {
    return this.#recent.exceeds(upstream, SLOW);
  }

  /** All upstreams that are far slower than the others. */
  slowest(): readonly string[] {
    return this.#recent.upstreams.filter((upstream) => this.slow(upstream));
  }

  /** Upstreams that have been slower than the others for a while. */
  behind(): readonly string[] {
    return this.#lasting.upstreams
      .filter((upstream) => this.#lasting.exceeds(upstream, BEHIND));
  }
}

/** Moving means of the gaps that were seen, each kept for a while. */
class Memory {
  readonly #clock: Clock;
  readonly #newest: number;
  readonly #forgetMs: number;
  readonly #paces = new Map<string, Pace>();

  constructor(options: {
    clock: Clock;
    /** Weight of the newest gap. */
    newest: number;
    /** A pace that nobody saw confirmed for so long says nothing any more. */
    forgetMs: number;
  }) {
    this.#clock = options.clock;
    this.#newest = options.newest;
    this.#forgetMs = options.forgetMs;
  }

  get upstreams(): readonly string[] {
    return [...this.#paces.keys()];
  }

  seen(upstream: string, gapMs: number): void {
    const known = this.#known(upstream);
    const before = known?.gapMs ?? gapMs;
    this.#paces.set(upstream, {
      gapMs: before + (gapMs - before) * this.#newest,
      gaps: (known?.gaps ?? 0) + 1,
      seenAt: this.#clock.now(),
    });
  }

  of(upstream: string): number | undefined {
    const pace = this.#known(upstream);
    return pace === undefined || pace.gaps < MIN_GAPS ? undefined : pace.gapMs;
  }

  typical(): number | undefined {
    const gaps = this.upstreams
      .flatMap((upstream) => this.of(upstream) ?? [])
      .sort((a, b) => a - b);
    if (gaps.length < MIN_KNOWN) return undefined;
    return gaps[Math.floor((gaps.length - 1) / 2)];
  }

  exceeds(upstream: string, times: number): boolean {
    const own = this.of(upstream);
    const typical = this.typical();
    return own !== undefined && typical !== undefined && own > times * typical;
  }

  #known(upstream: string): Pace | undefined {
    const pace = this.#paces.get(upstream);
    if (pace === undefined) return undefined;
    if (this.#clock.now() - pace.seenAt <= this.#forgetMs) return pace;
    this.#paces.delete(upstream);
    return undefined;
  }
}
