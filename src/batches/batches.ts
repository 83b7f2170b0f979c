/**
 * The batches plug-in. Any daemon accepts a batch and serves its results. One
 * daemon, the owner, runs it: the first ranked for the batch's route, so that
 * connections to the route's upstreams are reused.
 *
 * @module
 */

import { isNone, type Option } from "fp-ts/Option";
import { setMaxListeners } from "node:events";
import { Err, Ok, type Result } from "ts-results";
import { activeConfigurationKey } from "../config/mod.ts";
import { peerFallbackKey } from "../detour/mod.ts";
import { dispatchKey } from "../dispatch/mod.ts";
import {
  type Kernel,
  logger,
  type Moment,
  type PeerHandler,
  type Props,
  Reason,
  type Refusal,
  register,
  Verdict,
} from "../kernel/mod.ts";
import type { TransactionalKeyValue } from "../outside/mod.ts";
import { type Peers, peersKey } from "../peers/mod.ts";
import { relayKey } from "../relay/mod.ts";
import { BatchCache } from "./batch_cache.ts";
import { BatchReader } from "./batch_reader.ts";
import { BatchScanner } from "./batch_scanner.ts";
import { BatchRun } from "./batch_run.ts";
import {
  type BatchHead,
  BatchStore,
  ChangeStatus,
  type VersionedHead,
} from "./batch_store.ts";
import { Message, ownBody } from "./messages.ts";
import {
  Batches,
  batchesKey,
  type BatchRef,
  type BatchSubmission,
  isAccessible,
  type Page,
} from "./mod.ts";
import { partialOutputKey, PartialOutputs } from "./partial_outputs.ts";
import { refuse } from "./refusals.ts";
import { RepeatedGroups } from "./repeated_groups.ts";
import { PoolHistories } from "./pool_history.ts";

const log = logger("batches");

/** Retention of batches if the settings give none. */
const DEFAULT_RETENTION_MS = 120_000;

/** Time to determine the outcome of a submission. */
const SUBMIT_TIMEOUT_MS = 1500;

const NOTIFY_OWNER_TIMEOUT_MS = 1000;

/** Attempts to end a batch whose head is changed concurrently. */
const MAX_END_ATTEMPTS = 20;

/** A batch that this daemon owned when a call was sent. */
interface OwnedBatch {
  readonly state: VersionedHead;
  readonly confirmedAt: Moment;
}

/** Batches stored in the platform's key-value service. */
export class StoredBatches extends Batches {
  override readonly props: Props;
  readonly #kernel: Kernel;
  readonly #peers: Peers;
  readonly #store: BatchStore;
  readonly #cache = new BatchCache();
  readonly #reader: BatchReader;
  readonly #scanner: BatchScanner;
  readonly #runs = new Map<string, BatchRun>();
  /** Starts under way; aborted if the batch ends meanwhile. */
  readonly #starts = new Map<string, AbortController>();
  readonly #histories: PoolHistories;
  readonly #partialOutputs = new PartialOutputs();
  readonly #repeatedGroups = new RepeatedGroups();
  readonly #stop = new AbortController();
  /** Counts calls by kind and outcome. */
  readonly #callsTotal;
  /** Counts groups by route and outcome. */
  readonly #groupsTotal;
  #leaving = false;

  constructor(options: {
    kernel: Kernel;
    records: TransactionalKeyValue;
    /** Time after its submission for which a batch can be read. */
    retentionMs?: number;
  }) {
    super();
    const { kernel, records } = options;
    this.#kernel = kernel;
    this.#peers = kernel.get(peersKey);
    this.#histories = new PoolHistories({ clock: kernel.clock });
    // Every reader that waits for a result adds a listener.
    setMaxListeners(0, this.#stop.signal);
    this.#store = new BatchStore({ records, clock: kernel.clock });
    this.#reader = new BatchReader({
      store: this.#store,
      cache: this.#cache,
      peers: this.#peers,
      runs: this.#runs,
      runnerOf: (head) => this.#runnerOf(head),
      signal: this.#stop.signal,
    });
    this.#scanner = new BatchScanner({
      clock: kernel.clock,
      peers: this.#peers,
      store: this.#store,
      retentionMs: options.retentionMs ??
        kernel.settings.timing.batchRetentionMs ?? DEFAULT_RETENTION_MS,
      notifyOwner: (head) => this.#notifyOwner(head),
    });
    this.#callsTotal = kernel.counter(
      "toucanwind_batches_calls_total",
      "Calls on batches by kind and outcome",
      ["call", "outcome"],
    );
    this.#groupsTotal = kernel.counter(
      "toucanwind_batches_groups_total",
      "Groups of batches by route and outcome",
      ["route", "outcome"],
    );
    this.props = {
      peerHandlers: {
        [Message.Own]: this.#handleOwn,
        [Message.Read]: this.#reader.handleRead,
      },
      status: () =>
        [...this.#runs.values()].map(({ state, results }) => ({
          id: state.head.id,
          route: state.head.route,
          listed: results.length,
          total: state.head.total,
        })),
    };
  }

  override start(): Promise<void> {
    void this.#scanner.run(this.#stop.signal);
    return Promise.resolve();
  }

  /** Stops all runs and hands them over to other daemons. */
  override async leave(): Promise<void> {
    this.#leaving = true;
    // The runs stay known until they stop, so that an end still reaches them.
    const runs = [...this.#runs.values()];
    await Promise.all(runs.map((run) => run.savePartialOutputs()));
    await Promise.all(runs.map((run) => run.stop("leaving")));
    await Promise.all(runs.map(({ state }) => this.#handOver(state.head)));
  }

  override async stop(): Promise<void> {
    this.#stop.abort();
    for (const start of this.#starts.values()) start.abort();
    const runs = [...this.#runs.values()];
    await Promise.all(runs.map((run) => run.stop("stopping")));
  }

  async submit(submission: BatchSubmission): Promise<Result<true, Refusal>> {
    const owner = this.#ownerOf(submission.route);
    const outcome = await this.#store.create(submission, {
      owner: owner.vm,
      run: owner.incarnation,
      timeoutMs: SUBMIT_TIMEOUT_MS,
    });
    const { id, organisation } = submission;
    log("batch submitted", {
      id,
      route: submission.route,
      organisation,
      items: submission.items.length,
      groups: submission.wantedGroups,
      minVersion: submission.minVersion,
      owner: owner.vm,
      outcome: outcome.changed,
      message: outcome.message,
    });
    this.#callsTotal.inc({ call: "submit", outcome: outcome.changed });
    switch (outcome.changed) {
      case ChangeStatus.Applied:
        if (!isNone(outcome.now)) this.#accepted(submission, outcome.now.value);
        return Ok(true);
      case ChangeStatus.Conflict:
        return this.#compareRepeated(submission, outcome.now);
      case ChangeStatus.Refused:
        return Err(refuse(Verdict.NotRun, Reason.PlatformDown));
      case ChangeStatus.Unknown:
        return Err(refuse(Verdict.MayHaveRun, Reason.PeerFailed));
    }
  }

  async isAccepted(
    { id, organisation, items }: BatchSubmission,
  ): Promise<Result<boolean, Refusal>> {
    const found = await this.#store.head(id);
    if (found.err) return Err(refuse(Verdict.NotRun, Reason.PlatformDown));
    if (isNone(found.val)) return Ok(false);
    const { head } = found.val.value;
    return Ok(isSameBatch(head, { organisation, items }));
  }

  read(batch: BatchRef, options: {
    after: number;
    waitMs: number;
    signal: AbortSignal;
  }): Promise<Result<Page, Refusal>> {
    return this.#reader.read(batch, options);
  }

  async body(batch: BatchRef, item: string): Promise<Result<string, Refusal>> {
    const found = await this.#reader.find(batch);
    if (found.err) return found;
    const { head } = found.val;
    const submission = found.val.submission ?? await this.#items(head);
    if (submission === undefined) {
      return Err(refuse(Verdict.NotRun, Reason.PlatformDown));
    }
    const wanted = submission.items.find(({ id }) => id === item);
    const listed = found.val.results.some(({ id }) => id === item);
    if (wanted !== undefined && !listed && !head.ended) {
      return Ok(wanted.body);
    }
    return Err(refuse(Verdict.NotRun, Reason.StepUnknown));
  }

  async end(batch: BatchRef): Promise<Result<true, Refusal>> {
    for (let attempt = 0; attempt < MAX_END_ATTEMPTS; attempt++) {
      const found = await this.#store.head(batch.id);
      if (found.err) break;
      if (isNone(found.val)) {
        return Err(refuse(Verdict.NotRun, Reason.StepUnknown));
      }
      const state = found.val.value;
      if (!isAccessible(state.head, batch)) {
        return Err(refuse(Verdict.NotRun, Reason.StepUnknown));
      }
      if (state.head.ended) return this.#completeEnd(state.head, "repeated");
      const outcome = await this.#store.end(state);
      if (outcome.changed === ChangeStatus.Applied) {
        return this.#completeEnd({ ...state.head, ended: true }, "ended");
      }
      if (outcome.changed !== ChangeStatus.Conflict) break;
    }
    log("batch end failed", { id: batch.id });
    return Err(refuse(Verdict.MayHaveRun, Reason.PeerFailed));
  }

  #completeEnd(head: BatchHead, outcome: string): Result<true, Refusal> {
    log("batch ended", { id: head.id, outcome, listed: head.listed });
    this.#callsTotal.inc({ call: "end", outcome });
    const cached = this.#cache.get(head.id);
    if (cached !== undefined) this.#cache.put({ ...cached, head });
    void this.#notifyOwner(head);
    return Ok(true);
  }

  // Accepting

  #accepted(submission: BatchSubmission, state: VersionedHead): void {
    const { head } = state;
    this.#cache.put({ head, results: [], chunks: 0, submission });
    void this.#notifyOwner(head);
  }

  #compareRepeated(
    submission: BatchSubmission,
    stored: Option<VersionedHead>,
  ): Result<true, Refusal> {
    const same = !isNone(stored) && isSameBatch(stored.value.head, submission);
    if (same) return Ok(true);
    return Err(refuse(Verdict.NotRun, Reason.IdempotencyConflict));
  }

  /** The daemon that should run the batches of a route. */
  #ownerOf(route: string): { vm: string; incarnation: string } {
    return this.#peers.rankedForDuty(`batches/${route}`)[0] ?? this.#peers.self;
  }

  /** The owner if it is alive and not leaving, or else its successor. */
  #runnerOf(head: BatchHead): string {
    const owner = this.#peers.members().find(({ vm, incarnation }) =>
      vm === head.owner && incarnation === head.run
    );
    if (owner !== undefined && !owner.leaving) return owner.vm;
    return this.#ownerOf(head.route).vm;
  }

  async #notifyOwner(head: BatchHead): Promise<void> {
    await this.#notify(this.#runnerOf(head), head);
  }

  /** Not retried: scans repeat it, and owners confirm their ownership. */
  async #notify(vm: string, { id, ended }: BatchHead): Promise<void> {
    const sent = await this.#peers.ask(vm, Message.Own, { id, ended }, {
      timeoutMs: NOTIFY_OWNER_TIMEOUT_MS,
    });
    if (sent.err) log("owner not notified", { id, vm, ended, ...sent.val });
  }

  /** Asks the next daemon in rank to take the batch over. */
  async #handOver(head: BatchHead): Promise<void> {
    const next = this.#peers.rankedForDuty(`batches/${head.route}`)
      .find(({ vm }) => vm !== this.#peers.self.vm);
    if (next === undefined || head.ended) return;
    await this.#notify(next.vm, head);
  }

  // Running

  readonly #handleOwn: PeerHandler = (body, from) => {
    const { id, ended } = ownBody.parse(body);
    const run = this.#runs.get(id);
    const running = run?.running ?? false;
    // Notices that change nothing come every second and are not logged.
    if (ended || !running) {
      const starting = this.#starts.has(id);
      log("notified of batch", { id, from, ended, running, starting });
    }
    if (ended) {
      this.#starts.get(id)?.abort();
      this.#runs.delete(id);
      void run?.stop("ended");
    } else if (!running) {
      void this.#run(id);
    }
    return Promise.resolve(true);
  };

  /** Starts a run unless one of the batch is being started. */
  async #run(id: string): Promise<void> {
    if (this.#leaving || this.#stop.signal.aborted) return;
    if (this.#starts.has(id)) return;
    const start = new AbortController();
    this.#starts.set(id, start);
    try {
      await this.#startRun(id, start.signal);
    } catch (error) {
      log("run failed to start", { id, reason: String(error) });
    } finally {
      this.#starts.delete(id);
    }
  }

  async #startRun(id: string, signal: AbortSignal): Promise<void> {
    const notStarted = (reason: string) =>
      log("run not started", { id, reason });
    // Without a configuration a removed route looks like one not known yet.
    if (isNone(this.#kernel.get(activeConfigurationKey).current())) {
      return notStarted("no configuration yet");
    }
    const found = await this.#store.readHead(id);
    if (found.err) return notStarted(found.val.message);
    if (isNone(found.val.state)) return notStarted("no such batch");
    const state = found.val.state.value;
    if (state.head.ended) return notStarted("ended");
    if (state.head.listed >= state.head.total) return notStarted("complete");
    const taken = await this.#takeOwnership(state, found.val.sentAt);
    if (taken === undefined) return notStarted("ownership not taken");
    const { head } = taken.state;
    const results = await this.#store.results(id, 0);
    if (state.head.listed > 0 || state.head.run !== head.run) {
      const outputs = await this.#store.partialOutputs(id);
      for (const [item, output] of outputs) {
        this.#partialOutputs.put(partialOutputKey(head, item), output);
      }
    }
    const submission = this.#cache.get(id)?.submission ??
      await this.#items(head);
    if (results.err) return notStarted(results.val.message);
    if (submission === undefined) return notStarted("items not read");
    if (this.#leaving || signal.aborted) return notStarted("leaving or ended");
    const run = new BatchRun({
      kernel: this.#kernel,
      store: this.#store,
      ...taken,
      submission,
      repeatedGroups: this.#repeatedGroups.record(submission),
      results: results.val.flat(),
      countGroups: (outcome, count) =>
        this.#groupsTotal.inc({ route: head.route, outcome }, count),
      histories: this.#histories,
      partialOutputs: this.#partialOutputs,
    });
    this.#runs.set(id, run);
    run.start();
    void run.ended.then(() => this.#retire(id, run));
  }

  /** Caches the results of a run that has ended, and drops the run. */
  #retire(id: string, run: BatchRun): void {
    this.#reader.cacheRun(run);
    if (this.#runs.get(id) === run) this.#runs.delete(id);
  }

  /** Makes this incarnation of the daemon the owner unless it already is. */
  async #takeOwnership(
    state: VersionedHead,
    readAt: Moment,
  ): Promise<OwnedBatch | undefined> {
    const { vm, incarnation } = this.#peers.self;
    const { head } = state;
    if (head.owner === vm && head.run === incarnation) {
      return { state, confirmedAt: readAt };
    }
    const outcome = await this.#store.takeOwnership(state, {
      owner: vm,
      run: incarnation,
    });
    log("batch taken over", {
      id: head.id,
      from: head.owner,
      outcome: outcome.changed,
      listed: head.listed,
    });
    const { changed, now, sentAt } = outcome;
    if (changed !== ChangeStatus.Applied || isNone(now)) return undefined;
    return { state: now.value, confirmedAt: sentAt };
  }

  /** Loads the submission with its items, and caches it. */
  async #items(head: BatchHead): Promise<BatchSubmission | undefined> {
    const found = await this.#store.submission(head);
    if (found.err) {
      log("items not read", { id: head.id, reason: found.val.message });
      return undefined;
    }
    const cached = this.#cache.get(head.id);
    this.#cache.put({
      ...cached ?? { head, results: [], chunks: 0 },
      submission: found.val,
    });
    return found.val;
  }
}

/** Whether a submission repeats the one that was stored under its id. */
function isSameBatch(
  head: BatchHead,
  { organisation, items }: Pick<BatchSubmission, "organisation" | "items">,
): boolean {
  return head.organisation === organisation && head.total === items.length;
}

register({
  key: batchesKey,
  requires: [
    peersKey,
    activeConfigurationKey,
    peerFallbackKey,
    dispatchKey,
    relayKey,
  ],
  create: (kernel) =>
    new StoredBatches({ kernel, records: kernel.get(peerFallbackKey).records }),
});
