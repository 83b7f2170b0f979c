/**
 * Runs one batch at its owner: a task for each item generates its output, on
 * several upstreams in turn if needed, and has it scored; one more task lists
 * the results.
 *
 * @module
 */

import { isNone } from "fp-ts/Option";
import { setMaxListeners } from "node:events";
import type { Result } from "ts-results";
import {
  type Demand,
  type Dispatch,
  dispatchKey,
  NO_CRASH_LIMIT,
  Outcome as PermitOutcome,
  type Permit,
} from "../dispatch/mod.ts";
import {
  type Kernel,
  logger,
  type Moment,
  Reason,
  type Refusal,
} from "../kernel/mod.ts";
import {
  isFinal,
  Loss,
  type LostRequest,
  type UpstreamRequest,
} from "../outside/mod.ts";
import {
  drawPool,
  type ExchangeRoute,
  relayKey,
  type RequestRelay,
} from "../relay/mod.ts";
import { outcomeOfLoss } from "../relay/attempts.ts";
import { priorityOf } from "../tables/mod.ts";
import type { BatchStore, HeadReading, VersionedHead } from "./batch_store.ts";
import type { ItemOutput } from "./item_output.ts";
import { ItemTask } from "./item_task.ts";
import {
  type BatchSubmission,
  type Item,
  ItemOutcome,
  type ItemResult,
} from "./mod.ts";
import { Ownership } from "./ownership.ts";
import { partialOutputKey, type PartialOutputs } from "./partial_outputs.ts";
import { ResultLog } from "./result_log.ts";
import type { UpstreamSpeeds } from "./upstream_speeds.ts";

const log = logger("batches");

/** First and longest delay before an item asks for a permit again. */
const RETRY_DELAY_MS = 40;
const MAX_RETRY_DELAY_MS = 400;

/** Misdirections in a row from which on an item waits longer after each. */
const MAX_PROMPT_RETRIES = 8;

/** Longest delay before an item that was misdirected is sent again. */
const MAX_MISDIRECTED_DELAY_MS = 1000;

/** Timeout of a reward request. */
const REWARD_TIMEOUT_MS = 3000;

/** Longest delay before a reward request that was refused is made again. */
const MAX_REWARD_DELAY_MS = 1000;

/** Longest time that an upstream is given for an item. */
const ITEM_TIMEOUT_MS = 12_000;

/** Lowest cost of an item in tokens. */
const MIN_ITEM_TOKENS = 1;

/** After waiting this long, an item accepts the upstreams it excluded. */
const MAX_EXCLUSION_MS = 1500;

/** An item this late may still meet the target: run times are estimates. */
const LATE_TOLERANCE_MS = 2000;

/** Added to the start time of an item that can't meet the target any more. */
const MISSED_TARGET_PENALTY_MS = 30_000;

/** Largest difference between the submitting daemon's clock and the owner's. */
const CLOCK_SKEW_MARGIN_MS = 6000;

/** Interval at which partial outputs are stored. */
const OUTPUT_SAVE_INTERVAL_MS = 1500;

/** Shorter outputs are generated again faster than they are resumed. */
const MIN_SAVED_EVENTS = 25;

/** Limit on a batch's stored partial outputs, which share one value. */
const MAX_SAVED_BYTES = 500_000;

/** Time allowed after the end of a batch if the settings give none. */
const DEFAULT_END_GRACE_MS = 3000;

/**
 * Share of that time for which a confirmation of ownership is valid. The rest
 * covers the way of a request to its upstream, and clocks of unequal rate.
 */
const OWNERSHIP_TTL_PER_GRACE = 2 / 3;

const RENEWALS_PER_TTL = 3;

/** A batch that runs on this daemon. */
export class BatchRun {
  readonly #kernel: Kernel;
  readonly #dispatch: Dispatch;
  readonly #relay: RequestRelay;
  readonly #store: BatchStore;
  readonly #ownership: Ownership;
  readonly #submission: BatchSubmission;
  /** The route as it was at the start of the run. */
  readonly #firstRoute: ExchangeRoute;
  readonly #speeds: (pool: string) => UpstreamSpeeds;
  readonly #partialOutputs: PartialOutputs;
  readonly #itemTasks = new Map<string, ItemTask>();
  readonly #abort = new AbortController();
  readonly #resultLog: ResultLog;
  /** Median of the items' expected tokens. */
  readonly #medianTokens: number;
  readonly #renewalIntervalMs: number;
  /** Settles when all tasks have ended. */
  #done: Promise<unknown> = Promise.resolve();

  constructor(options: {
    kernel: Kernel;
    store: BatchStore;
    state: VersionedHead;
    /** When the call was sent that showed this daemon as the owner. */
    confirmedAt: Moment;
    submission: BatchSubmission;
    route: ExchangeRoute;
    /** Results listed before this run. */
    results: readonly ItemResult[];
    /** Speeds of a pool's upstreams, shared by all runs. */
    speeds: (pool: string) => UpstreamSpeeds;
    /** Partial outputs of earlier runs and batches. */
    partialOutputs: PartialOutputs;
  }) {
    this.#kernel = options.kernel;
    this.#dispatch = options.kernel.get(dispatchKey);
    this.#relay = options.kernel.get(relayKey);
    this.#store = options.store;
    this.#submission = options.submission;
    this.#firstRoute = options.route;
    this.#speeds = options.speeds;
    this.#partialOutputs = options.partialOutputs;
    this.#medianTokens = medianOf(
      options.submission.items.map(({ expectedTokens }) => expectedTokens),
    );
    // Every item of the batch adds listeners.
    setMaxListeners(0, this.#abort.signal);
    const { clock, settings } = options.kernel;
    const graceMs = settings.timing.batchEndGraceMs ?? DEFAULT_END_GRACE_MS;
    const ttlMs = graceMs * OWNERSHIP_TTL_PER_GRACE;
    this.#renewalIntervalMs = ttlMs / RENEWALS_PER_TTL;
    this.#ownership = new Ownership({
      clock,
      batch: options.submission.id,
      ttlMs,
      confirmedAt: options.confirmedAt,
      signal: this.#abort.signal,
    });
    this.#resultLog = new ResultLog({
      ...options,
      clock,
      ownership: this.#ownership,
      signal: this.#abort.signal,
    });
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

  /** Resolves when all tasks have ended. */
  get ended(): Promise<unknown> {
    return this.#done;
  }

  /** Starts the tasks. */
  start(): void {
    const listed = new Set(this.results.map(({ id }) => id));
    // The longest first: a group is complete only when its last item is.
    const items = this.#submission.items
      .filter(({ id }) => !listed.has(id))
      .sort((a, b) => b.expectedTokens - a.expectedTokens);
    log("run started", {
      id: this.#submission.id,
      route: this.#route.name,
      items: items.length,
      listed: listed.size,
      revision: this.state.revision,
      confirmedMsAgo: this.#confirmedMsAgo,
    });
    this.#done = Promise.all([
      this.#resultLog.run().then((reason) => void this.stop(reason)),
      this.#savePeriodically(),
      this.#renewPeriodically(),
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
  }

  /** The route in force; the first one if it was removed since. */
  get #route(): ExchangeRoute {
    const { name } = this.#firstRoute;
    return this.#relay.routes(this.#submission.host)
      .find((route) => route.name === name) ?? this.#firstRoute;
  }

  /**
   * Draws an item's pool by the weights in force, from those in which an
   * upstream may be found.
   */
  #drawPool({ emptyPools }: Pick<ItemTask, "emptyPools">): string {
    const { exchange } = this.#route;
    const pools = exchange.pools
      .filter(({ pool }) => !emptyPools.includes(pool));
    const drawn = pools.length === 0 ? exchange : { ...exchange, pools };
    return drawPool(drawn, Math.random());
  }

  /** Turns to another pool of the route if not all upstreams were tried. */
  #leavePool(task: ItemTask): void {
    if (task.excluded.length === 0) {
      const empty = [...task.emptyPools, task.pool];
      const { pools } = this.#route.exchange;
      const isLast = pools.every(({ pool }) => empty.includes(pool));
      task.emptyPools = isLast ? [] : empty;
      task.pool = this.#drawPool(task);
    }
    task.excluded = [];
  }

  /** Whether a manifest moved the item's route off its pool. */
  #isMoved({ pool }: ItemTask): boolean {
    return !this.#route.exchange.pools.some((one) => one.pool === pool);
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

  /** Each read is independent: an earlier one may still lack its answer. */
  async #renewPeriodically(): Promise<void> {
    while (!this.#signal.aborted) {
      const dueInMs = this.#renewalIntervalMs - this.#ownership.ageMs;
      if (dueInMs <= 0) void this.#renew();
      const waitMs = dueInMs > 0 ? dueInMs : this.#renewalIntervalMs;
      await this.#kernel.clock.sleep(waitMs, this.#signal);
    }
  }

  /** Confirms ownership by a read; a failure is left to the next one. */
  async #renew(): Promise<void> {
    const { id } = this.#submission;
    try {
      const read = await this.#store.readHead(id);
      // If reads keep failing, the ownership lapses, which is logged.
      if (read.ok) await this.#applyReading(read.val);
    } catch (error) {
      log("ownership not read", { id, reason: String(error) });
    }
  }

  /** Stops if the batch isn't this daemon's to run, or confirms ownership. */
  async #applyReading({ state, sentAt }: HeadReading): Promise<void> {
    if (isNone(state)) return await this.stop("removed");
    const { head } = state.value;
    const { owner, run } = this.state.head;
    if (head.ended) return await this.stop("ended");
    if (head.owner !== owner || head.run !== run) {
      return await this.stop("replaced");
    }
    this.#ownership.confirm(sentAt);
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

  /** Unix milliseconds after which unfinished items are given up. */
  get #giveUpAt(): number {
    const retentionMs = this.#route.exchange.batch?.retentionMs ?? Infinity;
    return this.state.head.submittedAt + retentionMs + CLOCK_SKEW_MARGIN_MS;
  }

  async #runItem(item: Item): Promise<void> {
    const task = new ItemTask(item, {
      pool: this.#drawPool({ emptyPools: [] }),
      now: this.#kernel.clock.now(),
    });
    this.#itemTasks.set(item.id, task);
    const partialOutput = this.#partialOutputs.outputToResume(
      this.#outputKey(item.id),
      this.#terms,
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
      const leftMs = this.#giveUpAt - this.#kernel.clock.wall();
      if (leftMs <= 0) return this.#giveUp(task, "retention");
      if (!this.#ownership.valid) {
        await this.#ownership.waitUntilValid();
        continue;
      }
      if (this.#isMoved(task)) task.pool = this.#drawPool(task);
      const exclusionMs = waitingSince + MAX_EXCLUSION_MS -
        this.#kernel.clock.now();
      const permit = await this.#acquire(task, { leftMs, exclusionMs });
      if (!this.#ownership.valid || this.#isMoved(task)) {
        if (permit.ok) permit.val.release(PermitOutcome.Cancelled, 0);
        continue;
      }
      if (permit.err) {
        if (permit.val.reason === Reason.NoUpstream) this.#leavePool(task);
        await this.#kernel.clock.sleep(waitMs, this.#signal);
        waitMs = Math.min(2 * waitMs, MAX_RETRY_DELAY_MS);
        continue;
      }
      task.emptyPools = [];
      const lost = await this.#generate(task, permit.val);
      waitingSince = this.#kernel.clock.now();
      if (this.#signal.aborted) return;
      if (lost === undefined) {
        task.output = task.output.ended();
        continue;
      }
      if (isFinal(lost.loss)) return this.#giveUp(task, lost.loss);
      const { maxAttempts } = this.#route.exchange;
      if (task.failures >= maxAttempts) return this.#giveUp(task, "failed");
      waitMs = RETRY_DELAY_MS;
      misdirections = lost.loss === Loss.Misdirected ? misdirections + 1 : 0;
      if (lost.loss !== Loss.Cancelled) {
        await this.#kernel.clock
          .sleep(delayAfterMisdirections(misdirections), this.#signal);
      }
    }
  }

  /**
   * Waits for a permit. The shard's leader applies a demand's exclusions for as
   * long as the demand is queued, even if no other upstream has the version. So
   * the wait is cut off after `exclusionMs`, and the next demand excludes
   * nothing and merely avoids these upstreams.
   */
  async #acquire(task: ItemTask, { leftMs, exclusionMs }: {
    leftMs: number;
    exclusionMs: number;
  }): Promise<Result<Permit, Refusal>> {
    const demand = this.#demand(task, leftMs);
    const { signal: owned } = this.#ownership;
    if (demand.exclude.length === 0) {
      return await this.#dispatch.acquire(demand, owned);
    }
    if (exclusionMs <= 0) {
      task.excluded = [];
      task.disableMoves();
      const avoid = [...demand.avoid ?? [], ...demand.exclude];
      const all = { ...demand, exclude: [], avoid };
      return await this.#dispatch.acquire(all, owned);
    }
    const expiry = new AbortController();
    const cancel = this.#kernel.clock.after(exclusionMs, () => expiry.abort());
    const signal = AbortSignal.any([owned, expiry.signal]);
    const permit = await this.#dispatch.acquire(demand, signal);
    cancel();
    return permit;
  }

  /** Streams from one upstream; returns a loss if the output is incomplete. */
  async #generate(
    task: ItemTask,
    permit: Permit,
  ): Promise<LostRequest | undefined> {
    const { upstreamTransport } = this.#kernel.platform;
    if (upstreamTransport === undefined) {
      throw new RangeError(
        "The platform has no transport to forward requests",
      );
    }
    const { target, leaving, release } = permit;
    task.upstream = target.id;
    const request = this.#request(task);
    const terms = this.#terms;
    const { clock } = this.#kernel;
    const speeds = this.#speeds(task.pool);
    const startedAt = clock.now();
    let lastEventAt = 0;
    let lastVersion: number | undefined;
    let events = 0;
    log("item sent", {
      id: task.item.id,
      batch: this.#submission.id,
      upstream: target.id,
      after: request.after,
      confirmedMsAgo: this.#confirmedMsAgo,
    });
    // Until the answer begins, the request may still be on its way.
    const opening = new AbortController();
    const abortOpening = () => opening.abort();
    const { signal: owned } = this.#ownership;
    owned.addEventListener("abort", abortOpening, { once: true });
    const signal = AbortSignal.any([this.#signal, leaving, opening.signal]);
    const flow = await upstreamTransport.stream(target, request, signal);
    owned.removeEventListener("abort", abortOpening);
    let lost = flow.err ? flow.val : undefined;
    for await (const event of flow.ok ? flow.val.events : []) {
      if (event.err) {
        lost = event.val;
        break;
      }
      lost = task.accept(event.val, terms);
      if (lost !== undefined) break;
      const now = clock.now();
      const { weightVersion } = event.val;
      // Loading weights pauses an engine once and says nothing about its speed.
      if (weightVersion === lastVersion) {
        speeds.recordInterval(target.id, now - lastEventAt);
      }
      lastEventAt = now;
      lastVersion = weightVersion;
      events += 1;
      const move = task.canMove && this.#ownership.valid;
      if (move && speeds.isSlow(target.id)) {
        lost = { loss: Loss.Cancelled, message: "The upstream is slow" };
        break;
      }
    }
    task.ranMs += clock.now() - startedAt;
    const ended = leaving.aborted && lost !== undefined
      ? PermitOutcome.Cancelled
      : lost === undefined
      ? PermitOutcome.Served
      : outcomeOfLoss(lost.loss);
    release(ended, lost === undefined ? this.#tokens(task.item) : 0);
    if (lost === undefined) return undefined;
    task.lost(target.id, lost);
    log("item attempt lost", {
      id: task.item.id,
      batch: this.#submission.id,
      upstream: target.id,
      loss: lost.loss,
      message: lost.message,
      leaving: leaving.aborted,
      events,
      last: task.output.last,
      tookMs: Math.round(this.#kernel.clock.now() - startedAt),
    });
    return lost;
  }

  get #terms() {
    return {
      minVersion: this.#submission.minVersion,
      singleVersion: this.#route.exchange.batch?.singleVersion ?? false,
    };
  }

  /** Has a complete output scored, with retries, or gives the item up. */
  async #score(task: ItemTask): Promise<void> {
    const { item, output } = task;
    const { reward } = item;
    if (reward === undefined) {
      this.#finish({
        id: item.id,
        end: ItemOutcome.Completed,
        text: output.text,
        versions: output.versions,
      });
      return;
    }
    let failures = 0;
    while (!this.#signal.aborted) {
      if (!this.#ownership.valid) {
        await this.#ownership.waitUntilValid();
        continue;
      }
      const route = this.#relay.route(reward.host, reward.path);
      if (this.#giveUpAt <= this.#kernel.clock.wall()) {
        this.#giveUp(task, "retention");
        return;
      }
      if (isNone(route)) {
        await this.#kernel.clock.sleep(MAX_RETRY_DELAY_MS, this.#signal);
        continue;
      }
      log("reward requested", {
        id: reward.id,
        item: item.id,
        batch: this.#submission.id,
        confirmedMsAgo: this.#confirmedMsAgo,
      });
      const served = await this.#relay.serve(route.value, {
        organisation: "",
      }, {
        id: reward.id,
        method: "POST",
        path: reward.path,
        host: reward.host,
        fields: [],
        body: Buffer.from(reward.body, "base64"),
        remainingMs: REWARD_TIMEOUT_MS,
        crashLimit: NO_CRASH_LIMIT,
        mayStart: this.#mayStart,
      }, this.#ownership.signal);
      if (this.#signal.aborted) return;
      const { answer: rewardResult } = served;
      const answer = rewardResult.ok ? rewardResult.val : undefined;
      if (answer?.seal !== undefined && answer.status < 300) {
        this.#recordCompletion(task);
        this.#finish({
          id: item.id,
          end: ItemOutcome.Completed,
          text: output.text,
          versions: output.versions,
          score: answer.seal,
        });
        return;
      }
      if (rewardResult.err && rewardResult.val.reason === Reason.BadRequest) {
        this.#giveUp(task, "reward request can't be sent");
        return;
      }
      failures += served.upstreamFailures;
      if (failures >= route.value.exchange.maxAttempts) {
        this.#giveUp(task, "reward failed");
        return;
      }
      const retryAfterMs = rewardResult.err ? rewardResult.val.retryAfterMs : 0;
      await this.#kernel.clock.sleep(
        Math.min(MAX_REWARD_DELAY_MS, Math.max(RETRY_DELAY_MS, retryAfterMs)),
        this.#signal,
      );
    }
  }

  /** Records the run time of an item and logs its completion. */
  #recordCompletion(task: ItemTask): void {
    const ageMs = this.#kernel.clock.now() - task.startedAt;
    this.#speeds(task.pool).ended(task.item.expectedTokens, task.ranMs);
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

  #giveUp({ item }: ItemTask, reason: string): void {
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

  /** Whether the item is likely to determine when the batch is complete. */
  #isLong({ expectedTokens }: Item): boolean {
    return expectedTokens >= this.#medianTokens;
  }

  #tokens({ tokens }: Item): number {
    return Math.max(MIN_ITEM_TOKENS, tokens);
  }

  #demand(task: ItemTask, leftMs: number): Demand {
    const { item } = task;
    const { organisation, rank, minVersion } = this.#submission;
    return {
      id: item.id,
      pool: task.pool,
      route: this.#route.name,
      tenant: organisation,
      priority: rank === undefined ? this.#route.priority : priorityOf(rank),
      weight: 1,
      tokens: this.#tokens(item),
      prefixes: item.prefixes,
      remainingMs: leftMs,
      startInMs: this.#startInMs(task),
      minVersion: Math.max(minVersion, task.output.versions[0] ?? 0),
      model: item.model,
      exclude: [
        ...task.excluded,
        ...this.#speeds(task.pool).slowUpstreams(),
      ],
      avoid: this.#isLong(item)
        ? this.#speeds(task.pool).laggingUpstreams()
        : [],
      allowedRegions: this.#route.exchange.allowedRegions,
      fingerprint: task.fingerprint(organisation),
      crashLimit: NO_CRASH_LIMIT,
      attempt: task.lostAttempts,
    };
  }

  /**
   * Time until the item must start in order to meet the batch's target. Items
   * that can't meet it any more are placed behind those that can.
   */
  #startInMs({ item, output, pool }: ItemTask): number {
    const { head } = this.state;
    const targetMs = this.#route.exchange.batch?.resultTargetMs ?? Infinity;
    const dueInMs = head.submittedAt + targetMs - this.#kernel.clock.wall();
    const leftMs = this.#speeds(pool).expectedRunMs(item.expectedTokens) -
      output.lines.length * (this.#speeds(pool).medianIntervalMs() ?? 0);
    const slackMs = dueInMs - Math.max(0, leftMs);
    return slackMs >= -LATE_TOLERANCE_MS
      ? slackMs
      : slackMs + MISSED_TARGET_PENALTY_MS;
  }

  #request({ item, output }: ItemTask): UpstreamRequest {
    return {
      id: item.id,
      method: "POST",
      path: item.path,
      host: this.#submission.host,
      fields: item.fields,
      body: Buffer.from(item.body, "base64"),
      organisation: this.#submission.organisation,
      remainingMs: Math.min(
        ITEM_TIMEOUT_MS,
        this.#giveUpAt - this.#kernel.clock.wall(),
      ),
      after: output.last,
      silenceMs: this.#kernel.settings.timing.upstreamSilenceMs,
      urgency: Math.min(9, this.#route.exchange.rank + 2),
      mayStart: this.#mayStart,
    };
  }

  readonly #mayStart = () => this.#ownership.valid;
}

/** Time until an item that was misdirected this often in a row is sent again. */
function delayAfterMisdirections(misdirections: number): number {
  const doublings = Math.max(0, misdirections - MAX_PROMPT_RETRIES);
  return Math.min(MAX_MISDIRECTED_DELAY_MS, RETRY_DELAY_MS * 2 ** doublings);
}

function medianOf(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}
