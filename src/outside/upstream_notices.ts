/**
 * What upstreams say of themselves in the heads of their answers, whatever the
 * answers are about. Clients publish it; the dispatch plug-in acts on it.
 *
 * @module
 */

import { logger } from "../kernel/mod.ts";

const log = logger("outside");

/** The load that an upstream stated in one answer. */
export interface StatedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes there at this moment; 100 as usual. */
  readonly pacePercent?: number;
}

/** What an upstream said of itself in one answer. */
export interface UpstreamNotice {
  /** Id of the instance that answered. */
  readonly upstream: string;
  /**
   * Requests a second that it takes from all daemons together; absent if it
   * names no limit.
   */
  readonly limitPerS?: number;
  /** Whether it is about to leave. */
  readonly leaving: boolean;
  /** Its load when it answered; absent if it states none. */
  readonly load?: StatedLoad;
  /** For how long it stays cold; absent if it says nothing of it. */
  readonly coldMs?: number;
  /** Time since the request was sent that it answered, in milliseconds. */
  readonly requestAgeMs: number;
}

/** Values of the header fields that a notice is read from. */
export interface NoticeFields {
  readonly limit: readonly string[];
  readonly leaving: readonly string[];
  /** Absent where the protocol has no such field. */
  readonly load?: readonly string[];
  readonly cold?: readonly string[];
}

/**
 * Header fields by which upstreams of the product's own interface say it: a
 * decimal number of requests a second, `1`, and a decimal number of milliseconds.
 */
export enum NoticeHeader {
  Limit = "upstream-limit",
  Leaving = "upstream-leaving",
  Cold = "upstream-cold-ms",
}

/** The only value by which an upstream says that it leaves. */
const LEAVING = "1";

/** A decimal number, also with an exponent. */
const DECIMAL = /^\d+(\.\d+)?(e[+-]?\d+)?$/i;

/** A figure of a stated load. */
const FIGURE = /^\d{1,9}(\.\d{1,9})?$/;

/** Larger figures are nonsense. */
const MAX_FIGURE = 1e6;

/** Upstreams whose last unreadable value is kept, to log it once. */
const MAX_UNREADABLE = 256;

const MAX_LOGGED_CHARS = 40;

/** Longer cold times are as invalid as negative ones. */
const MAX_COLD_MS = 86_400_000;

/** Passes notices from the clients of upstreams to those that act on them. */
export class NoticeFeed {
  readonly #listeners = new Set<(notice: UpstreamNotice) => void>();
  readonly #unreadable = new Map<string, string>();
  readonly #unreadableLoads = new Set<string>();

  /** Calls `listener` for each notice; returns a function that removes it. */
  onNotice(listener: (notice: UpstreamNotice) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /** Publishes what the fields of an answer say; unreadable values say nothing. */
  publish(
    upstream: string,
    { limit, leaving, load = [], cold = [] }: NoticeFields,
    { requestAgeMs }: { requestAgeMs: number },
  ): void {
    const leaves = leaving.includes(LEAVING);
    const limits = limit.map((value) => readDecimal(value.trim()));
    const statedLoad = load.length === 1 ? readLoad(load[0]) : undefined;
    const colds = cold.map((value) => readColdMs(value.trim()));
    const bad = [
      ...cold.filter((_, n) => colds[n] === undefined),
      ...limit.filter((_, n) => limits[n] === undefined),
      ...leaving.filter((value) => value !== LEAVING),
    ];
    if (bad.length > 0) this.#logUnreadable(upstream, bad.join(", "));
    if (load.length > 0 && statedLoad === undefined) {
      this.#logUnreadableLoad(upstream, load.join("; "));
    }
    // An upstream that names a limit nobody can read still has one.
    if (limits.includes(undefined) && !leaves) return;
    const named = limits.filter((value) => value !== undefined);
    const coldMs = Math.max(0, ...colds.map((value) => value ?? 0));
    this.#emit({
      upstream,
      leaving: leaves,
      requestAgeMs,
      ...named.length === 0 ? {} : { limitPerS: Math.min(...named) },
      ...statedLoad === undefined ? {} : { load: statedLoad },
      ...coldMs === 0 ? {} : { coldMs },
    });
  }

  #emit(notice: UpstreamNotice): void {
    for (const listener of this.#listeners) listener(notice);
  }

  /** Logs it once for each upstream: loads change with each answer. */
  #logUnreadableLoad(upstream: string, value: string): void {
    if (this.#unreadableLoads.has(upstream)) return;
    if (this.#unreadableLoads.size >= MAX_UNREADABLE) return;
    this.#unreadableLoads.add(upstream);
    log("upstream load ignored", {
      upstream,
      value: value.slice(0, MAX_LOGGED_CHARS),
    });
  }

  #logUnreadable(upstream: string, value: string): void {
    if (this.#unreadable.get(upstream) === value) return;
    if (this.#unreadable.size >= MAX_UNREADABLE) this.#unreadable.clear();
    this.#unreadable.set(upstream, value);
    log("upstream notice ignored", {
      upstream,
      value: value.slice(0, MAX_LOGGED_CHARS),
    });
  }
}

/** The fields of a notice in a response of the product's own interface. */
export function noticeFieldsOf(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
): NoticeFields {
  const valuesOf = (name: string) => [headers[name] ?? []].flat();
  return {
    limit: valuesOf(NoticeHeader.Limit),
    leaving: valuesOf(NoticeHeader.Leaving),
    cold: valuesOf(NoticeHeader.Cold),
  };
}

/**
 * A load from its figures, separated by commas: running, waiting, slots, and on
 * some services the pace. A fifth one is not used.
 */
export function readLoad(text: string): StatedLoad | undefined {
  const parts = text.split(",").map((part) => part.trim());
  if (parts.length < 3 || parts.length > 5) return undefined;
  if (!parts.every((part) => FIGURE.test(part))) return undefined;
  const figures = parts.map(Number);
  if (figures.some((figure) => figure > MAX_FIGURE)) return undefined;
  const [running, waiting, slots, pacePercent] = figures;
  // Work that takes no time is no pace.
  if (pacePercent === undefined || pacePercent === 0) {
    return { running, waiting, slots };
  }
  return { running, waiting, slots, pacePercent };
}

function readColdMs(text: string): number | undefined {
  const value = readDecimal(text);
  return value !== undefined && value <= MAX_COLD_MS ? value : undefined;
}

function readDecimal(text: string): number | undefined {
  if (!DECIMAL.test(text)) return undefined;
  const value = Number(text);
  return Number.isFinite(value) ? value : undefined;
}
