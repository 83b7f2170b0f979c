/**
 * The requests that run on each upstream and the work that is left of them. The
 * leader enters its own grants, so that the next choice sees them at once.
 *
 * @module
 */

import type { RequestCost } from "./request_costs.ts";

/** A request that runs on an upstream. */
export interface RunningRequest {
  readonly upstream: string;
  readonly cost: RequestCost;
  /** Expected work when it started, in milliseconds at nominal speed. */
  readonly expectedMs: number;
}

interface Entry extends RunningRequest {
  /** Work done on the upstream's slots since its start, when this one began. */
  readonly startedAtWork: number;
}

/** Work that one slot of an upstream has done. */
interface Progress {
  workMs: number;
  at: number;
}

/** Work left, by upstream. */
export class WorkLedger {
  readonly #entries = new Map<string, Entry>();
  readonly #byUpstream = new Map<string, Map<string, Entry>>();
  readonly #progress = new Map<string, Progress>();

  /** Enters a request under its permit; `ranMs` is the time since its grant. */
  started(permit: string, { upstream, cost }: {
    upstream: string;
    cost: RequestCost;
  }, options: { now: number; pace: number; ranMs?: number }): void {
    const { now, pace, ranMs = 0 } = options;
    const done = this.#advance(upstream, now, pace);
    const entry = {
      upstream,
      cost,
      expectedMs: cost.expectedMs,
      startedAtWork: done - ranMs / pace,
    };
    this.#entries.set(permit, entry);
    const entries = this.#byUpstream.get(upstream) ?? new Map();
    this.#byUpstream.set(upstream, entries);
    entries.set(permit, entry);
  }

  /** Removes a request and returns it, if it was entered. */
  ended(permit: string): RunningRequest | undefined {
    const entry = this.#entries.get(permit);
    if (entry === undefined) return undefined;
    this.#entries.delete(permit);
    this.#byUpstream.get(entry.upstream)?.delete(permit);
    return entry;
  }

  /** Number of requests on an upstream. */
  running(upstream: string): number {
    return this.#byUpstream.get(upstream)?.size ?? 0;
  }

  /** Work left on an upstream, in milliseconds at nominal speed. */
  leftMs(upstream: string, now: number, pace: number): number {
    const done = this.#advance(upstream, now, pace);
    let left = 0;
    for (const entry of this.#byUpstream.get(upstream)?.values() ?? []) {
      left += entry.cost.residualMs(done - entry.startedAtWork);
    }
    return left;
  }

  /** Removes an upstream with its requests. */
  forget(upstream: string): void {
    for (const permit of this.#byUpstream.get(upstream)?.keys() ?? []) {
      this.#entries.delete(permit);
    }
    this.#byUpstream.delete(upstream);
    this.#progress.delete(upstream);
  }

  /** Accrues the work done since the last call at this pace. */
  #advance(upstream: string, now: number, pace: number): number {
    const progress = this.#progress.get(upstream);
    if (progress === undefined) {
      this.#progress.set(upstream, { workMs: 0, at: now });
      return 0;
    }
    progress.workMs += Math.max(0, now - progress.at) / pace;
    progress.at = now;
    return progress.workMs;
  }
}
