/**
 * Appends the results of a batch to its stored list, complete groups in one
 * write where the delay is short, and lets readers wait for them. A result is
 * listed once it has been stored.
 *
 * @module
 */

import { isNone } from "fp-ts/Option";
import { type Clock, logger } from "../kernel/mod.ts";
import {
  type BatchStore,
  ChangeStatus,
  type VersionedHead,
} from "./batch_store.ts";
import type { BatchSubmission, ItemResult } from "./mod.ts";
import type { Ownership } from "./ownership.ts";

const log = logger("batches");

/** Longest wait of a result for the rest of its group. */
const MAX_GROUP_WAIT_MS = 250;

/** Longest sleep before the state of the run is checked again. */
const MAX_WAKE_INTERVAL_MS = 1000;

/** The results of a batch, at its owner. */
export class ResultLog {
  readonly #clock: Clock;
  readonly #store: BatchStore;
  readonly #ownership: Ownership;
  readonly #signal: AbortSignal;
  readonly #groups: ReadonlyMap<string, string>;
  /** Number of unlisted items by group. */
  readonly #open = new Map<string, number>();
  readonly #results: ItemResult[];
  readonly #onListed: (results: readonly ItemResult[]) => void;
  readonly #listeners = new Set<() => void>();
  #pending: readonly ItemResult[] = [];
  #state: VersionedHead;
  #pendingSince = 0;
  #wake: () => void = () => {};

  constructor(options: {
    clock: Clock;
    store: BatchStore;
    /** Confirmed by each write. */
    ownership: Ownership;
    state: VersionedHead;
    submission: BatchSubmission;
    /** Results listed before this run. */
    results: readonly ItemResult[];
    /** Called when results have been listed. */
    onListed?: (results: readonly ItemResult[]) => void;
    /** Aborts when the run ends. */
    signal: AbortSignal;
  }) {
    const { submission, results, signal } = options;
    this.#clock = options.clock;
    this.#store = options.store;
    this.#ownership = options.ownership;
    this.#state = options.state;
    this.#signal = signal;
    this.#onListed = options.onListed ?? (() => {});
    this.#results = [...results];
    this.#groups = new Map(
      submission.items.map(({ id, group }) => [id, group]),
    );
    const listed = new Set(results.map(({ id }) => id));
    for (const { id } of submission.items) {
      if (!listed.has(id)) this.#count(id, 1);
    }
    signal.addEventListener("abort", () => this.#notify(), { once: true });
  }

  /** The batch's head as this owner last wrote it. */
  get state(): VersionedHead {
    return this.#state;
  }

  /** Results listed so far, in order. */
  get results(): readonly ItemResult[] {
    return this.#results;
  }

  /** Queues a result to be listed. */
  add(result: ItemResult): void {
    if (this.#pending.length === 0) this.#pendingSince = this.#clock.now();
    this.#pending = [...this.#pending, result];
    this.#wake();
  }

  /** Lists results as they are due; returns why no more can be listed. */
  async run(): Promise<string> {
    while (!this.#signal.aborted) {
      const waitMs = this.#dueInMs();
      if (waitMs > 0) {
        await this.#waitForWake(waitMs);
        continue;
      }
      const results = this.#pending;
      this.#pending = [];
      const outcome = await this.#store
        .append(this.#state, results, this.#signal);
      if (outcome.changed !== ChangeStatus.Applied || isNone(outcome.now)) {
        const isEnded = !isNone(outcome.now) && outcome.now.value.head.ended;
        return isEnded ? "ended" : outcome.changed;
      }
      this.#ownership.confirm(outcome.sentAt);
      this.#listed(results, outcome.now.value);
      if (this.#results.length >= this.#state.head.total) return "complete";
    }
    return "ended";
  }

  /** Waits until more than `count` results are listed or the run ends. */
  async waitForMore(count: number, options: {
    waitMs: number;
    signal: AbortSignal;
  }): Promise<void> {
    const isDone = () => this.#results.length > count || this.#signal.aborted;
    if (isDone()) return;
    const done = new AbortController();
    const end = () => done.abort();
    const listener = () => {
      if (isDone()) end();
    };
    this.#listeners.add(listener);
    options.signal.addEventListener("abort", end, { once: true });
    await this.#clock.sleep(options.waitMs, done.signal);
    this.#listeners.delete(listener);
    options.signal.removeEventListener("abort", end);
  }

  #listed(results: readonly ItemResult[], state: VersionedHead): void {
    this.#state = state;
    this.#results.push(...results);
    for (const { id } of results) this.#count(id, -1);
    this.#onListed(results);
    log("results listed", {
      id: state.head.id,
      results: results.length,
      listed: this.#results.length,
      total: state.head.total,
    });
    this.#notify();
  }

  #count(item: string, by: number): void {
    const group = this.#groups.get(item) ?? "";
    this.#open.set(group, (this.#open.get(group) ?? 0) + by);
  }

  /** Time until the queued results are due to be listed. */
  #dueInMs(): number {
    if (this.#pending.length === 0) return Infinity;
    const counts = new Map<string, number>();
    for (const { id } of this.#pending) {
      const group = this.#groups.get(id) ?? "";
      counts.set(group, (counts.get(group) ?? 0) + 1);
    }
    for (const [group, count] of counts) {
      if (count >= (this.#open.get(group) ?? 0)) return 0;
    }
    return this.#pendingSince + MAX_GROUP_WAIT_MS - this.#clock.now();
  }

  /** Sleeps until a result is added or the time is up. */
  async #waitForWake(waitMs: number): Promise<void> {
    const done = new AbortController();
    this.#wake = () => done.abort();
    if (this.#signal.aborted) return;
    await this.#clock.sleep(
      Math.min(waitMs, MAX_WAKE_INTERVAL_MS),
      done.signal,
    );
  }

  #notify(): void {
    this.#wake();
    for (const listener of this.#listeners) listener();
  }
}
