/**
 * Runs one batch at its owner: a task for each item generates its output, on
 * several upstreams in turn if needed, and has it scored; one more task lists
 * the results.
 *
 * @module
 */

import { setMaxListeners } from "node:events";
import { Outcome as PermitOutcome } from "../dispatch/mod.ts";
import { type Kernel, logger, type Moment, Reason } from "../kernel/mod.ts";
import { isFinal, Loss } from "../outside/mod.ts";
import { relayKey } from "../relay/mod.ts";
import { BatchRoute } from "./batch_route.ts";
import type { BatchStore, VersionedHead } from "./batch_store.ts";
import { GroupOrder } from "./group_order.ts";
import { GroupOutcome, GroupOutcomes } from "./group_outcomes.ts";
import type { ItemOutput } from "./item_output.ts";
import { ItemPermits } from "./item_permits.ts";
import { ItemSender } from "./item_sender.ts";
import { ItemTask } from "./item_task.ts";
import {
  type BatchSubmission,
  type Item,
  ItemOutcome,
  type ItemResult,
} from "./mod.ts";
import { Ownership } from "./ownership.ts";
import { OwnershipRenewal, ownershipTtlMs } from "./ownership_renewal.ts";
import { partialOutputKey, type PartialOutputs } from "./partial_outputs.ts";
import type { PoolHistories } from "./pool_history.ts";
import { ResultLog } from "./result_log.ts";
import { RewardScorer } from "./reward_scorer.ts";
import { type RunContext, versionTerms } from "./run_context.ts";
import type { BatchTimes } from "./start_times.ts";

const log = logger("batches");

/** First and longest delay before an item asks for a permit again. */
const RETRY_DELAY_MS = 40;
const MAX_RETRY_DELAY_MS = 400;

/** Misdirections in a row from which on an item waits longer after each. */
const MAX_PROMPT_RETRIES = 8;

/** Longest delay before an item that was misdirected is sent again. */
const MAX_MISDIRECTED_DELAY_MS = 1000;

/** After waiting this long, an item accepts the upstreams it excluded. */
const MAX_EXCLUSION_MS = 1500;

/** Largest difference between the submitting daemon's clock and the owner's. */
const CLOCK_SKEW_MARGIN_MS = 6000;

/** Interval at which partial outputs are stored. */
const OUTPUT_SAVE_INTERVAL_MS = 1500;

/** Shorter outputs are generated again faster than they are resumed. */
const MIN_SAVED_EVENTS = 25;

/** Limit on a batch's stored partial outputs, which share one value. */
const MAX_SAVED_BYTES = 500_000;

/**
 * Expected wait for a slot from which on groups are completed one by one. With
 * shorter waits that makes steps longer, and saves no group.
 */
const SCARCE_SLOTS_WAIT_MS = 3000;

/** Reason for giving up items whose route didn't come back. */
const ROUTE_REMOVED = "route removed";

/** Reasons for the end of a run after which no other run of the batch starts. */
const BATCH_OVER: readonly string[] = ["complete", "ended", "removed"];

/** A batch that runs on this daemon. */
export class BatchRun {
  readonly #kernel: Kernel;
  readonly #store: BatchStore;
  readonly #ownership: Ownership;
  readonly #submission: BatchSubmission;
  readonly #route: BatchRoute;
  readonly #context: RunContext;
  readonly #permits: ItemPermits;
  readonly #sender: ItemSender;
  readonly #scorer: RewardScorer;
  readonly #partialOutputs: PartialOutputs;
  readonly #itemTasks = new Map<string, ItemTask>();
  readonly #abort = new AbortController();
  readonly #resultLog: ResultLog;
  readonly #order: GroupOrder;
  readonly #groupOutcomes: GroupOutcomes;
  readonly #countGroups: (outcome: GroupOutcome, count: number) => void;
  readonly #renewal: OwnershipRenewal;
  /** Settles when all tasks have ended. */
  #done: Promise<unknown> = Promise.resolve();

  constructor(options: {
    kernel: Kernel;
    store: BatchStore;
    state: VersionedHead;
    /** When the call was sent that showed this daemon as the owner. */
    confirmedAt: Moment;
    submission: BatchSubmission;
    /** Number of groups at the front that came again from earlier batches. */
    repeatedGroups: number;
    /** Results listed before this run. */
    results: readonly ItemResult[];
    /** Counts groups by outcome when the run ends. */
    countGroups?: (outcome: GroupOutcome, count: number) => void;
    /** Measurements of the pools, shared by all runs. */
    histories: PoolHistories;
    /** Partial outputs of earlier runs and batches. */
    partialOutputs: PartialOutputs;
  }) {
    this.#kernel = options.kernel;
    this.#store = options.store;
    this.#submission = options.submission;
    this.#route = new BatchRoute({
      relay: options.kernel.get(relayKey),
      clock: options.kernel.clock,
      submission: options.submission,
      signal: this.#abort.signal,
    });
    this.#partialOutputs = options.partialOutputs;
    this.#order = new GroupOrder({
      ...options,
      scarceSlots: this.#areSlotsScarce(options.histories),
    });
    this.#groupOutcomes = new GroupOutcomes({
      ...options,
      wanted: this.#order.neededGroups.length,
    });
    this.#countGroups = options.countGroups ?? (() => {});
    // Every item of the batch adds listeners.
    setMaxListeners(0, this.#abort.signal);
    const { clock, settings } = options.kernel;
    const ttlMs = ownershipTtlMs(settings.timing.batchEndGraceMs);
    this.#ownership = new Ownership({
      clock,
      batch: options.submission.id,
      ttlMs,
      confirmedAt: options.confirmedAt,
      signal: this.#abort.signal,
    });
    this.#renewal = new OwnershipRenewal({
      clock,
      store: options.store,
      ownership: this.#ownership,
      ttlMs,
      state: () => this.state,
      onLost: (reason) => this.stop(reason),
      signal: this.#abort.signal,
    });
    this.#context = this.#createContext(options.histories);
    this.#permits = new ItemPermits({
      context: this.#context,
      order: this.#order,
    });
    this.#sender = new ItemSender(this.#context);
    this.#scorer = new RewardScorer(this.#context);
    this.#resultLog = new ResultLog({
      ...options,
      clock,
      ownership: this.#ownership,
      onListed: (results) => this.#groupOutcomes.listed(results, this.#times),
      signal: this.#abort.signal,
    });
  }

  #areSlotsScarce(histories: PoolHistories): boolean {
    const pool = this.#route.current?.exchange.pools[0].pool;
    if (pool === undefined) return false;
    return histories.of(pool).waits.expectedMs() >= SCARCE_SLOTS_WAIT_MS;
  }

  /** The run as its tasks see it. */
  #createContext(histories: PoolHistories): RunContext {
    const times = () => this.#times;
    const leftMs = () => this.#leftMs;
    return {
      kernel: this.#kernel,
      submission: this.#submission,
      ownership: this.#ownership,
      histories,
      signal: this.#signal,
      route: this.#route,
      get times() {
        return times();
      },
      get leftMs() {
        return leftMs();
      },
    };
  }

  /** The batch's head as this owner last wrote it. */
  get state(): VersionedHead {
    return this.#resultLog.state;
  }

  /** Results listed so far, in order. */
  get results(): readonly ItemResult[] {
    return this.#resultLog.results;
  }

  /** Whether this daemon still runs the batch. */
  get running(): boolean {
    return !this.#abort.signal.aborted;
  }

  /** Age of the last proof of ownership; undefined once the run has ended. */
  get provenMsAgo(): number | undefined {
    return this.running ? this.#ownership.ageMs : undefined;
  }

  /** Resolves when all tasks have ended. */
  get ended(): Promise<unknown> {
    return this.#done;
  }

  /** Starts the tasks. */
  start(): void {
    const listed = new Set(this.results.map(({ id }) => id));
    const items = this.#order.items.filter(({ id }) => !listed.has(id));
    log("run started", {
      id: this.#submission.id,
      route: this.#route.current?.name,
      items: items.length,
      wantedGroups: this.#order.neededGroups.length,
      repeatedGroups: this.#order.repeatedGroups,
      listed: listed.size,
      revision: this.state.revision,
      confirmedMsAgo: this.#confirmedMsAgo,
    });
    this.#done = Promise.all([
      this.#resultLog.run().then((reason) => void this.stop(reason)),
      this.#savePeriodically(),
      this.#renewal.run(),
      ...items.map((item) => this.#runItem(item)),
    ]);
  }

  /** Ends all tasks; keeps partial outputs and drops unlisted results. */
  async stop(reason: string): Promise<void> {
    if (!this.running) return;
    log("run stopped", {
      id: this.#submission.id,
      reason,
      revision: this.state.revision,
      confirmedMsAgo: this.#confirmedMsAgo,
    });
    this.#abort.abort();
    await this.#done;
    for (const { item, output } of this.#itemTasks.values()) {
      this.#partialOutputs.put(this.#outputKey(item.id), output);
    }
    this.#reportGroups(reason);
  }

  /** Groups that another owner goes on with are not unfinished yet. */
  #reportGroups(reason: string): void {
    const { id, route } = this.#submission;
    const { counts } = this.#groupOutcomes;
    log("run groups", { id, route, reason, ...counts });
    this.#countGroups(GroupOutcome.InTime, counts.inTime);
    this.#countGroups(GroupOutcome.Late, counts.late);
    if (BATCH_OVER.includes(reason)) {
      this.#countGroups(GroupOutcome.Unfinished, counts.unfinished);
    }
  }

  /** The key of an item's partial output. */
  #outputKey(item: string): string {
    return partialOutputKey(this.#submission, item);
  }

  /** Stores the partial outputs for a later owner. */
  async savePartialOutputs(): Promise<void> {
    const outputs: Record<string, ItemOutput> = {};
    let bytes = 0;
    for (const { item, output } of this.#itemTasks.values()) {
      if (output.lines.length < MIN_SAVED_EVENTS) continue;
      bytes += output.text.length;
      if (bytes > MAX_SAVED_BYTES) break;
      outputs[item.id] = output;
    }
    if (bytes === 0) return;
    const kept = await this.#store.savePartialOutputs(this.state, outputs);
    log("partial outputs saved", { id: this.#submission.id, bytes, kept });
  }

  async #savePeriodically(): Promise<void> {
    while (!this.#signal.aborted) {
      await this.#kernel.clock.sleep(OUTPUT_SAVE_INTERVAL_MS, this.#signal);
      if (!this.#signal.aborted) await this.savePartialOutputs();
    }
  }

  /** Waits until more than `count` results are listed or the run ends. */
  waitForMore(count: number, options: {
    waitMs: number;
    signal: AbortSignal;
  }): Promise<void> {
    return this.#resultLog.waitForMore(count, options);
  }

  get #signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Age of the last proof of ownership, for the log. */
  get #confirmedMsAgo(): number {
    return Math.round(this.#ownership.ageMs);
  }

  /** Time until unfinished items are given up. */
  get #leftMs(): number {
    const { latest } = this.#route;
    const retentionMs = latest?.exchange.batch?.retentionMs ?? Infinity;
    return retentionMs + CLOCK_SKEW_MARGIN_MS - this.#times.ageMs;
  }

  async #runItem(item: Item): Promise<void> {
    // Neither pool nor versions of the item are known without a route.
    if (await this.#route.wait(this.#signal) === undefined) {
      return this.#giveUp({ item }, ROUTE_REMOVED);
    }
    const task = new ItemTask(item, {
      pool: this.#permits.drawPool({ emptyPools: [] }),
      now: this.#kernel.clock.now(),
    });
    this.#itemTasks.set(item.id, task);
    const partialOutput = this.#partialOutputs.outputToResume(
      this.#outputKey(item.id),
      versionTerms(this.#context),
    );
    task.output = partialOutput;
    let waitMs = RETRY_DELAY_MS;
    let misdirections = 0;
    let waitingSince = this.#kernel.clock.now();
    while (!this.#signal.aborted) {
      if (task.output.whole) {
        await this.#score(task);
        return;
      }
      const leftMs = this.#leftMs;
      if (leftMs <= 0) return this.#giveUp(task, "retention");
      if (!this.#ownership.valid) {
        await this.#ownership.waitUntilValid();
        continue;
      }
      const route = await this.#route.wait(this.#signal);
      if (route === undefined) return this.#giveUp(task, ROUTE_REMOVED);
      if (this.#permits.isMoved(task)) task.pool = this.#permits.drawPool(task);
      const exclusionMs = waitingSince + MAX_EXCLUSION_MS -
        this.#kernel.clock.now();
      const permit = await this.#permits.acquire(task, {
        route,
        leftMs,
        exclusionMs,
      });
      if (!this.#ownership.valid || this.#permits.isMoved(task)) {
        if (permit.ok) permit.val.release(PermitOutcome.Cancelled, 0);
        continue;
      }
      if (permit.err) {
        if (permit.val.reason === Reason.NoUpstream) {
          this.#permits.leavePool(task);
        }
        await this.#kernel.clock.sleep(waitMs, this.#signal);
        waitMs = Math.min(2 * waitMs, MAX_RETRY_DELAY_MS);
        continue;
      }
      task.emptyPools = [];
      const lost = await this.#sender.send(task, permit.val);
      waitingSince = this.#kernel.clock.now();
      if (this.#signal.aborted) return;
      if (lost === undefined) {
        task.output = task.output.ended();
        continue;
      }
      if (isFinal(lost.loss)) return this.#giveUp(task, lost.loss);
      const { maxAttempts } = route.exchange;
      if (task.failures >= maxAttempts) return this.#giveUp(task, "failed");
      waitMs = RETRY_DELAY_MS;
      misdirections = lost.loss === Loss.Misdirected ? misdirections + 1 : 0;
      if (lost.loss !== Loss.Cancelled) {
        await this.#kernel.clock
          .sleep(delayAfterMisdirections(misdirections), this.#signal);
      }
    }
  }

  /** Has a complete output scored, with retries, or gives the item up. */
  async #score(task: ItemTask): Promise<void> {
    const { item, output } = task;
    const { reward } = item;
    const scored = reward === undefined
      ? undefined
      : await this.#scorer.score(item, reward);
    if (this.#signal.aborted) return;
    if (scored?.err) return this.#giveUp(task, scored.val);
    this.#recordCompletion(task);
    this.#finish({
      id: item.id,
      end: ItemOutcome.Completed,
      text: output.text,
      versions: output.versions,
      ...scored === undefined ? {} : { score: scored.val },
    });
  }

  /** Records the run time of an item and logs its completion. */
  #recordCompletion(task: ItemTask): void {
    const ageMs = this.#kernel.clock.now() - task.startedAt;
    this.#context.histories.of(task.pool).completed(task.item.expectedTokens, {
      events: task.output.lines.length,
      ranMs: task.ranMs,
    });
    log("item finished", {
      id: task.item.id,
      batch: this.#submission.id,
      group: task.item.group,
      upstream: task.upstream,
      sends: task.lostAttempts + 1,
      events: task.output.lines.length,
      expected: task.item.expectedTokens,
      ranMs: Math.round(task.ranMs),
      ageMs: Math.round(ageMs),
    });
  }

  #giveUp({ item }: Pick<ItemTask, "item">, reason: string): void {
    if (this.#signal.aborted) return;
    log("item given up", { id: item.id, batch: this.#submission.id, reason });
    this.#finish({
      id: item.id,
      end: ItemOutcome.GivenUp,
      text: "",
      versions: [],
    });
  }

  #finish(result: ItemResult): void {
    this.#itemTasks.delete(result.id);
    this.#partialOutputs.delete(this.#outputKey(result.id));
    this.#resultLog.add(result);
  }

  get #times(): BatchTimes {
    const { latest } = this.#route;
    return {
      ageMs: this.#kernel.clock.wall() - this.state.head.submittedAt,
      targetMs: latest?.exchange.batch?.resultTargetMs ?? Infinity,
      timeoutMs: latest?.deadlineMs ?? Infinity,
    };
  }
}

/** Time until an item that was misdirected this often in a row is sent again. */
function delayAfterMisdirections(misdirections: number): number {
  const doublings = Math.max(0, misdirections - MAX_PROMPT_RETRIES);
  return Math.min(MAX_MISDIRECTED_DELAY_MS, RETRY_DELAY_MS * 2 ** doublings);
}
