/**
 * The run of one batch at its owner: a task for each item, which generates
 * its text over as many upstreams as it takes and has it scored, and one task
 * that lists what is finished.
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
  Outcome as Use,
  type Permit,
} from "../dispatch/mod.ts";
import { type Kernel, logger, Reason, type Refusal } from "../kernel/mod.ts";
import { Loss, type Lost, type Parcel } from "../outside/mod.ts";
import {
  drawPool,
  type ExchangeRoute,
  relayKey,
  type RequestRelay,
} from "../relay/mod.ts";
import { outcomeOfLoss } from "../relay/attempts.ts";
import { priorityOf } from "../tables/mod.ts";
import type { Archive, Versioned } from "./batch_store.ts";
import { draftName, type Drafts } from "./partial_outputs.ts";
import type { Generation } from "./item_output.ts";
import { ItemCourse } from "./item_progress.ts";
import { Listing } from "./result_log.ts";
import {
  type BatchSubmission,
  type Item,
  ItemOutcome,
  type ItemResult,
} from "./mod.ts";
import type { Paces } from "./upstream_speeds.ts";

const log = logger("batches");

/** First and longest wait before an item asks for a permit again. */
const RETRY_MS = 40;
const MAX_RETRY_MS = 400;

/** Time that a reward's request gets. */
const REWARD_MS = 3000;

/** Longest time that an upstream is told to work on an item. */
const ITEM_MS = 12_000;

/** Fewest tokens that an item counts for. */
const MIN_TOKENS = 1;

/** An item that waited so long takes an upstream that it avoids, or left. */
const PATIENCE_MS = 1500;

/** An item this late may still be in time: expectations are rough. */
const HOPE_MS = 2000;

/** How far back an item goes that can't be in time any more. */
const HOPELESS_MS = 30_000;

/** The submitter's clock and the owner's may differ by this. */
const CLOCK_MARGIN_MS = 6000;

/** How often texts that take long are kept. */
const DRAFTS_MS = 1500;

/** A text of fewer events is made again sooner than it is read. */
const MIN_DRAFT_EVENTS = 25;

/** Most bytes of a batch's drafts; one value of the service holds them. */
const MAX_DRAFT_BYTES = 500_000;

/** A batch that runs on this daemon. */
export class Run {
  readonly #kernel: Kernel;
  readonly #dispatch: Dispatch;
  readonly #relay: RequestRelay;
  readonly #archive: Archive;
  readonly #submission: BatchSubmission;
  readonly #route: ExchangeRoute;
  readonly #paces: (pool: string) => Paces;
  readonly #drafts: Drafts;
  readonly #courses = new Map<string, ItemCourse>();
  readonly #abort = new AbortController();
  readonly #listing: Listing;
  /** Expected tokens of the median item. */
  readonly #medianTokens: number;
  #done: Promise<unknown> = Promise.resolve();

  constructor(options: {
    kernel: Kernel;
    archive: Archive;
    state: Versioned;
    submission: BatchSubmission;
    route: ExchangeRoute;
    /** What was listed before. */
    results: readonly ItemResult[];
    /** The paces of each pool's upstreams, shared by all runs. */
    paces: (pool: string) => Paces;
    /** Texts that were begun before. */
    drafts: Drafts;
  }) {
    this.#kernel = options.kernel;
    this.#dispatch = options.kernel.get(dispatchKey);
    this.#relay = options.kernel.get(relayKey);
    this.#archive = options.archive;
    this.#submission = options.submission;
    this.#route = options.route;
    this.#paces = options.paces;
    this.#drafts = options.drafts;
    this.#medianTokens = medianOf(
      options.submission.items.map(({ expectedTokens }) => expectedTokens),
    );
    // Every item of the batch listens.
    setMaxListeners(0, this.#abort.signal);
    this.#listing = new Listing({
      ...options,
      clock: options.kernel.clock,
      signal: this.#abort.signal,
    });
  }

  /** The head as this owner knows it. */
  get state(): Versioned {
    return this.#listing.state;
  }

  /** What is listed so far, in order. */
  get results(): readonly ItemResult[] {
    return this.#listing.results;
  }

  /** Whether this daemon still runs it. */
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
    // The longest first: a group waits for its last item.
    const items = this.#submission.items
      .filter(({ id }) => !listed.has(id))
      .sort((a, b) => b.expectedTokens - a.expectedTokens);
    log("run", {
      id: this.#submission.id,
      route: this.#route.name,
      items: items.length,
      listed: listed.size,
      revision: this.state.revision,
    });
    this.#done = Promise.all([
      this.#listing.run().then((reason) => void this.stop(reason)),
      this.#keepDrafts(),
      ...items.map((item) => this.#item(item)),
    ]);
  }

  /** Ends all tasks; what isn't listed is dropped. */
  async stop(reason: string): Promise<void> {
    if (!this.running) return;
    log("run stopped", { id: this.#submission.id, reason });
    this.#abort.abort();
    await this.#done;
    for (const { item, generation } of this.#courses.values()) {
      this.#drafts.keep(this.#draftOf(item.id), generation);
    }
  }

  /** An item's name over all batches of its organisation. */
  #draftOf(item: string): string {
    return draftName(this.#submission, item);
  }

  /** Keeps the texts so far where a next owner finds them. */
  async keep(): Promise<void> {
    const drafts: Record<string, Generation> = {};
    let bytes = 0;
    for (const { item, generation } of this.#courses.values()) {
      if (generation.lines.length < MIN_DRAFT_EVENTS) continue;
      bytes += generation.text.length;
      if (bytes > MAX_DRAFT_BYTES) break;
      drafts[item.id] = generation;
    }
    if (bytes === 0) return;
    const kept = await this.#archive.draft(this.state, drafts);
    log("drafts kept", { id: this.#submission.id, bytes, kept });
  }

  async #keepDrafts(): Promise<void> {
    while (!this.#signal.aborted) {
      await this.#kernel.clock.sleep(DRAFTS_MS, this.#signal);
      if (!this.#signal.aborted) await this.keep();
    }
  }

  /** Waits until more than `count` results are listed, or the run ends. */
  more(count: number, options: {
    waitMs: number;
    signal: AbortSignal;
  }): Promise<void> {
    return this.#listing.more(count, options);
  }

  get #signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Unix milliseconds at which items may be given up. */
  get #givesUpAt(): number {
    const retentionMs = this.#route.exchange.batch?.retentionMs ?? Infinity;
    return this.state.head.submittedAt + retentionMs + CLOCK_MARGIN_MS;
  }

  async #item(item: Item): Promise<void> {
    const course = new ItemCourse(item, {
      pool: drawPool(this.#route.exchange, Math.random()),
      now: this.#kernel.clock.now(),
    });
    this.#courses.set(item.id, course);
    const draft = this.#drafts.fitting(this.#draftOf(item.id), this.#terms);
    course.generation = draft;
    let waitMs = RETRY_MS;
    let waitsSince = this.#kernel.clock.now();
    while (!this.#signal.aborted) {
      if (course.generation.whole) {
        await this.#score(course);
        return;
      }
      const leftMs = this.#givesUpAt - this.#kernel.clock.wall();
      if (leftMs <= 0) return this.#giveUp(course, "retention");
      const patienceMs = waitsSince + PATIENCE_MS - this.#kernel.clock.now();
      const permit = await this.#acquire(course, { leftMs, patienceMs });
      if (this.#signal.aborted) {
        if (permit.ok) permit.val.release(Use.Cancelled, 0);
        return;
      }
      if (permit.err) {
        if (permit.val.reason === Reason.NoUpstream) course.excluded = [];
        await this.#kernel.clock.sleep(waitMs, this.#signal);
        waitMs = Math.min(2 * waitMs, MAX_RETRY_MS);
        continue;
      }
      const lost = await this.#generate(course, permit.val);
      waitsSince = this.#kernel.clock.now();
      if (this.#signal.aborted) return;
      if (lost === undefined) {
        course.generation = course.generation.ended();
        continue;
      }
      if (lost.loss === Loss.Impossible) return this.#giveUp(course, lost.loss);
      const { maxAttempts } = this.#route.exchange;
      if (course.failures >= maxAttempts) return this.#giveUp(course, "failed");
      waitMs = RETRY_MS;
      if (lost.loss !== Loss.Cancelled) {
        await this.#kernel.clock.sleep(RETRY_MS, this.#signal);
      }
    }
  }

  /**
   * Waits for a permit. What a keeper is told to leave out stays left out while
   * the item waits there, also where nothing else has its version: so the wait
   * is ended with the item's patience, and the next one leaves nothing out.
   */
  async #acquire(course: ItemCourse, { leftMs, patienceMs }: {
    leftMs: number;
    patienceMs: number;
  }): Promise<Result<Permit, Refusal>> {
    const demand = this.#demand(course, leftMs);
    if (demand.exclude.length === 0) {
      return await this.#dispatch.acquire(demand, this.#signal);
    }
    if (patienceMs <= 0) {
      course.excluded = [];
      course.stay();
      const avoid = [...demand.avoid ?? [], ...demand.exclude];
      const all = { ...demand, exclude: [], avoid };
      return await this.#dispatch.acquire(all, this.#signal);
    }
    const over = new AbortController();
    const cancel = this.#kernel.clock.after(patienceMs, () => over.abort());
    const signal = AbortSignal.any([this.#signal, over.signal]);
    const permit = await this.#dispatch.acquire(demand, signal);
    cancel();
    return permit;
  }

  /** Streams from one upstream; nothing is returned once the text is whole. */
  async #generate(
    course: ItemCourse,
    permit: Permit,
  ): Promise<Lost | undefined> {
    const { carrier } = this.#kernel.platform;
    if (carrier === undefined) {
      throw new RangeError("This platform passes no requests on");
    }
    const { target, leaving, release } = permit;
    course.upstream = target.id;
    const signal = AbortSignal.any([this.#signal, leaving]);
    const parcel = this.#parcel(course);
    const { clock } = this.#kernel;
    const paces = this.#paces(course.pool);
    const begunAt = clock.now();
    let eventAt = 0;
    let events = 0;
    const flow = await carrier.stream(target, parcel, signal);
    let lost = flow.err ? flow.val : undefined;
    for await (const piece of flow.ok ? flow.val.pieces : []) {
      if (piece.err) {
        lost = piece.val;
        break;
      }
      lost = course.take(piece.val, this.#terms);
      if (lost !== undefined) break;
      const now = clock.now();
      if (events > 0) paces.seen(target.id, now - eventAt);
      eventAt = now;
      events += 1;
      if (course.mayMove && paces.slow(target.id)) {
        lost = { loss: Loss.Cancelled, message: "The upstream is slow" };
        break;
      }
    }
    course.ranMs += clock.now() - begunAt;
    const ended = leaving.aborted && lost !== undefined
      ? Use.Cancelled
      : lost === undefined
      ? Use.Served
      : outcomeOfLoss(lost.loss);
    release(ended, lost === undefined ? this.#tokens(course.item) : 0);
    if (lost === undefined) return undefined;
    course.lost(target.id, lost);
    log("item lost", {
      id: course.item.id,
      batch: this.#submission.id,
      upstream: target.id,
      loss: lost.loss,
      message: lost.message,
      leaving: leaving.aborted,
      events,
      last: course.generation.last,
      tookMs: Math.round(this.#kernel.clock.now() - begunAt),
    });
    return lost;
  }

  get #terms() {
    return {
      minVersion: this.#submission.minVersion,
      singleVersion: this.#route.exchange.batch?.singleVersion ?? false,
    };
  }

  /** Has a whole text scored, until that is done or can't be. */
  async #score(course: ItemCourse): Promise<void> {
    const { item, generation } = course;
    const { reward } = item;
    if (reward === undefined) {
      this.#finish({
        id: item.id,
        end: ItemOutcome.Completed,
        text: generation.text,
        versions: generation.versions,
      });
      return;
    }
    let failures = 0;
    while (!this.#signal.aborted) {
      const route = this.#relay.route(reward.host, reward.path);
      if (this.#givesUpAt <= this.#kernel.clock.wall()) {
        this.#giveUp(course, "retention");
        return;
      }
      if (isNone(route)) {
        await this.#kernel.clock.sleep(MAX_RETRY_MS, this.#signal);
        continue;
      }
      const served = await this.#relay.serve(route.value, {
        organisation: "",
      }, {
        id: reward.id,
        method: "POST",
        path: reward.path,
        host: reward.host,
        fields: [],
        body: Buffer.from(reward.body, "base64"),
        remainingMs: REWARD_MS,
      }, this.#signal);
      if (this.#signal.aborted) return;
      const { answer: scored } = served;
      const answer = scored.ok ? scored.val : undefined;
      if (answer?.seal !== undefined && answer.status < 300) {
        this.#told(course);
        this.#finish({
          id: item.id,
          end: ItemOutcome.Completed,
          text: generation.text,
          versions: generation.versions,
          score: answer.seal,
        });
        return;
      }
      failures += served.upstreamFailures;
      if (failures >= route.value.exchange.maxAttempts) {
        this.#giveUp(course, "reward failed");
        return;
      }
      await this.#kernel.clock.sleep(RETRY_MS, this.#signal);
    }
  }

  /** Logs what an item's text took. */
  #told(course: ItemCourse): void {
    const ageMs = this.#kernel.clock.now() - course.since;
    this.#paces(course.pool).ended(course.item.expectedTokens, course.ranMs);
    log("finished", {
      id: course.item.id,
      batch: this.#submission.id,
      group: course.item.group,
      upstream: course.upstream,
      sends: course.sends + 1,
      events: course.generation.lines.length,
      expected: course.item.expectedTokens,
      ranMs: Math.round(course.ranMs),
      ageMs: Math.round(ageMs),
    });
  }

  #giveUp({ item }: ItemCourse, reason: string): void {
    if (this.#signal.aborted) return;
    log("given up", { id: item.id, batch: this.#submission.id, reason });
    this.#finish({
      id: item.id,
      end: ItemOutcome.GivenUp,
      text: "",
      versions: [],
    });
  }

  #finish(result: ItemResult): void {
    this.#courses.delete(result.id);
    this.#drafts.drop(this.#draftOf(result.id));
    this.#listing.add(result);
  }

  /** Whether an item may decide when its batch is done. */
  #isLong({ expectedTokens }: Item): boolean {
    return expectedTokens >= this.#medianTokens;
  }

  #tokens({ tokens }: Item): number {
    return Math.max(MIN_TOKENS, tokens);
  }

  #demand(course: ItemCourse, leftMs: number): Demand {
    const { item } = course;
    const { organisation, rank, minVersion } = this.#submission;
    return {
      id: item.id,
      pool: course.pool,
      route: this.#route.name,
      tenant: organisation,
      priority: rank === undefined ? this.#route.priority : priorityOf(rank),
      weight: 1,
      tokens: this.#tokens(item),
      prefixes: item.prefixes,
      remainingMs: leftMs,
      startInMs: this.#startInMs(course),
      minVersion: Math.max(minVersion, course.generation.versions[0] ?? 0),
      model: item.model,
      exclude: [
        ...course.excluded,
        ...this.#paces(course.pool).slowest(),
      ],
      avoid: this.#isLong(item) ? this.#paces(course.pool).behind() : [],
      fingerprint: course.fingerprint(organisation),
      attempt: course.sends,
    };
  }

  /**
   * Time until the item must start to be listed when its step is due. What
   * can't be met any more goes behind all that can.
   */
  #startInMs({ item, generation, pool }: ItemCourse): number {
    const { head } = this.state;
    const targetMs = this.#route.exchange.batch?.resultTargetMs ?? Infinity;
    const dueInMs = head.submittedAt + targetMs - this.#kernel.clock.wall();
    const leftMs = this.#paces(pool).expectedMs(item.expectedTokens) -
      generation.lines.length * (this.#paces(pool).typical() ?? 0);
    const slackMs = dueInMs - Math.max(0, leftMs);
    return slackMs >= -HOPE_MS ? slackMs : slackMs + HOPELESS_MS;
  }

  #parcel({ item, generation }: ItemCourse): Parcel {
    return {
      id: item.id,
      method: "POST",
      path: item.path,
      host: this.#submission.host,
      fields: item.fields,
      body: Buffer.from(item.body, "base64"),
      organisation: this.#submission.organisation,
      remainingMs: Math.min(
        ITEM_MS,
        this.#givesUpAt - this.#kernel.clock.wall(),
      ),
      after: generation.last,
      silenceMs: this.#kernel.settings.timing.upstreamSilenceMs,
      urgency: Math.min(9, this.#route.exchange.rank + 2),
    };
  }
}

function medianOf(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? 0;
}
