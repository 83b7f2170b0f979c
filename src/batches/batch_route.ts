/**
 * The route of an accepted batch: the batch route that the host and path of its
 * submission select in the configuration in force, whatever its name. Operators
 * may move, rename, remove and bring back routes while the batch is open.
 *
 * @module
 */

import { isNone } from "fp-ts/Option";
import type { Clock } from "../kernel/mod.ts";
import type { ExchangeRoute, RequestRelay } from "../relay/mod.ts";
import { RouteKind } from "../tables/mod.ts";
import type { BatchSubmission } from "./mod.ts";

/** Time for a removed route to come back, as in two revisions in a row. */
const ROUTE_RETURN_MS = 3000;

/** What a submission tells of its route. */
type Address = Pick<BatchSubmission, "host" | "path" | "items">;

/** Follows the route of one batch until its run ends. */
export class BatchRoute {
  readonly #relay: RequestRelay;
  readonly #clock: Clock;
  readonly #host: string;
  readonly #path: string;
  readonly #listeners = new Set<() => void>();
  #current: ExchangeRoute | undefined;
  #latest: ExchangeRoute | undefined;
  #removedAt: number;

  constructor(options: {
    relay: RequestRelay;
    clock: Clock;
    submission: Address;
    /** Aborts when the run ends. */
    signal: AbortSignal;
  }) {
    const { relay, clock, signal, submission: { host, path, items } } = options;
    this.#relay = relay;
    this.#clock = clock;
    this.#host = host;
    // Batches that earlier builds stored have no path; items share its prefix.
    this.#path = path ?? items[0]?.path ?? "";
    this.#removedAt = clock.now();
    this.#update();
    const unsubscribe = relay.onChange(() => this.#update());
    signal.addEventListener("abort", unsubscribe, { once: true });
  }

  /** The route in force; undefined while there is none. */
  get current(): ExchangeRoute | undefined {
    return this.#current;
  }

  /** The route in force or, if it was removed, the last one seen here. */
  get latest(): ExchangeRoute | undefined {
    return this.#latest;
  }

  /** Whether requests of the batch may be sent to this pool now. */
  allows(pool: string): boolean {
    return this.#current?.exchange.pools.some((one) => one.pool === pool) ??
      false;
  }

  /** Calls `listener` after the route changed; returns a function to stop. */
  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  /**
   * Waits for a route, which may come back after it was removed; undefined if it
   * didn't in time or `signal` aborted.
   */
  async wait(signal: AbortSignal): Promise<ExchangeRoute | undefined> {
    while (this.#current === undefined && !signal.aborted) {
      const leftMs = this.#removedAt + ROUTE_RETURN_MS - this.#clock.now();
      if (leftMs <= 0) return undefined;
      await this.#changeWithin(leftMs, signal);
    }
    return this.#current;
  }

  async #changeWithin(ms: number, signal: AbortSignal): Promise<void> {
    const changed = new AbortController();
    const stop = this.onChange(() => changed.abort());
    await this.#clock.sleep(ms, AbortSignal.any([signal, changed.signal]));
    stop();
  }

  #update(): void {
    const before = this.#current;
    const found = this.#relay.route(this.#host, this.#path);
    const route = isNone(found) ? undefined : found.value;
    this.#current = route?.kind === RouteKind.Batch ? route : undefined;
    this.#latest = this.#current ?? this.#latest;
    if (before !== undefined && this.#current === undefined) {
      this.#removedAt = this.#clock.now();
    }
    for (const listener of this.#listeners) listener();
  }
}
