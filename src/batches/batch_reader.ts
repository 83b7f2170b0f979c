/**
 * Reads batches for callers: from the run on this daemon, from the owner, or from
 * the key-value service.
 *
 * Answers readers that poll for results, each of which read the head from the
 * key-value service, where every call has a price, whenever there were no more.
 *
 * @module
 */

import { isNone } from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import {
  type PeerHandler,
  Reason,
  type Refusal,
  Verdict,
} from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";
import { type BatchCache, type CachedBatch, pageOf } from "./batch_cache.ts";
import type { BatchHead, BatchStore, VersionedHead } from "./batch_store.ts";
import { Message, type ReadAnswer, readAnswer, readBody } from "./messages.ts";
import {
  type BatchRef,
  isAccessible,
  type ItemResult,
  type Page,
} from "./mod.ts";
import { refuse } from "./refusals.ts";

/** Time allowed for an owner's answer beyond the wait asked for. */
const READ_TIMEOUT_MARGIN_MS = 400;

/**
 * An owner whose proof of ownership is younger than this is believed that there
 * are no more results. With a grace of 3 s after the end of a batch, owners renew
 * it every 667 ms. One that was replaced hides the new owner's results from readers
 * for this time, and that of its answer's way.
 */
const MAX_PROOF_AGE_MS = 900;

/** A run as far as readers need it. */
export interface ReadableRun {
  readonly state: VersionedHead;
  readonly results: readonly ItemResult[];
  /** Age of its last proof of ownership; undefined once it has stopped. */
  readonly provenMsAgo: number | undefined;
  waitForMore(count: number, options: {
    waitMs: number;
    signal: AbortSignal;
  }): Promise<void>;
}

/** A batch, and whether its owner has proved that nothing is missing. */
interface OwnerReading {
  readonly batch: CachedBatch;
  readonly isProven: boolean;
}

/** Options of a read that may wait. */
interface WaitOptions {
  readonly after: number;
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

/** Finds batches and their results. */
export class BatchReader {
  readonly #store: BatchStore;
  readonly #cache: BatchCache;
  readonly #peers: Peers;
  readonly #runs: ReadonlyMap<string, ReadableRun>;
  readonly #runnerOf: (head: BatchHead) => string;
  readonly #signal: AbortSignal;

  constructor(options: {
    store: BatchStore;
    cache: BatchCache;
    peers: Peers;
    /** The runs on this daemon. */
    runs: ReadonlyMap<string, ReadableRun>;
    /** The VM of the daemon that runs a batch. */
    runnerOf: (head: BatchHead) => string;
    /** Aborts when the daemon stops. */
    signal: AbortSignal;
  }) {
    this.#store = options.store;
    this.#cache = options.cache;
    this.#peers = options.peers;
    this.#runs = options.runs;
    this.#runnerOf = options.runnerOf;
    this.#signal = options.signal;
  }

  /** Results from a position on; waits if there are none. */
  async read(
    batch: BatchRef,
    options: WaitOptions,
  ): Promise<Result<Page, Refusal>> {
    const found = await this.#find(batch, { withResults: false });
    if (found.err) return found;
    const cached = found.val;
    const { after } = options;
    const { total } = cached.head;
    const isKnown = cached.results.length > after ||
      cached.results.length >= total;
    if (isKnown) return Ok(pageOf(total, cached.results, after));
    if (cached.results.length < after) {
      const page = await this.#pageFromOwner(cached.head, options);
      if (page !== undefined) return Ok(page);
      const { results } = await this.#refresh(cached) ?? cached;
      return Ok(pageOf(total, results, after));
    }
    const { results } = await this.#waitForResults(cached, options);
    return Ok(pageOf(total, results, after));
  }

  /** A batch as known here, read from the store if it is unknown. */
  find(batch: BatchRef): Promise<Result<CachedBatch, Refusal>> {
    return this.#find(batch, { withResults: true });
  }

  async #find(
    batch: BatchRef,
    options: { withResults: boolean },
  ): Promise<Result<CachedBatch, Refusal>> {
    const { id } = batch;
    const run = this.#runs.get(id);
    const known = run === undefined ? this.#cache.get(id) : this.cacheRun(run);
    const found = known === undefined
      ? await this.#loadBatch(id, options)
      : Ok(known) as Result<CachedBatch, Refusal>;
    if (found.err) return found;
    if (isAccessible(found.val.head, batch)) return found;
    return Err(refuse(Verdict.NotRun, Reason.StepUnknown));
  }

  /** Caches what a run of this daemon has listed. */
  cacheRun({ state, results }: ReadableRun): CachedBatch {
    const { head } = state;
    return this.#cache.put({
      head,
      results: [...results],
      chunks: head.chunks,
    });
  }

  /** Answers a reader on another daemon. */
  readonly handleRead: PeerHandler = async (body): Promise<ReadAnswer> => {
    const { id, after, waitMs } = readBody.parse(body);
    const run = this.#runs.get(id);
    if (run === undefined) return this.#remembered(id, after);
    await run.waitForMore(after, { waitMs, signal: this.#signal });
    const { results } = pageOf(run.state.head.total, run.results, after);
    const { provenMsAgo } = run;
    return {
      run: true,
      results: [...results],
      ...provenMsAgo === undefined ? {} : { provenMsAgo },
    };
  };

  async #loadBatch(
    id: string,
    { withResults }: { withResults: boolean },
  ): Promise<Result<CachedBatch, Refusal>> {
    const found = await this.#store.head(id);
    if (found.err) return Err(refuse(Verdict.NotRun, Reason.PlatformDown));
    if (isNone(found.val)) {
      return Err(refuse(Verdict.NotRun, Reason.StepUnknown));
    }
    const { head } = found.val.value;
    const empty = { head, results: [], chunks: 0 };
    if (!withResults) return Ok(this.#cache.put(empty));
    const full = await this.#complete(empty, head);
    return full === undefined
      ? Err(refuse(Verdict.NotRun, Reason.PlatformDown))
      : Ok(full);
  }

  /**
   * A page from the owner for a reader whose earlier results are not cached here:
   * readers poll at any daemon, and all results of a batch are long. Undefined if
   * the owner has none and does not prove that there are none.
   */
  async #pageFromOwner(
    head: BatchHead,
    { after, ...options }: WaitOptions,
  ): Promise<Page | undefined> {
    const answer = await this.#askOwner(head, { after, ...options });
    if (answer === undefined) return undefined;
    const { results, provenMsAgo = Infinity } = answer;
    if (results.length === 0 && provenMsAgo >= MAX_PROOF_AGE_MS) {
      return undefined;
    }
    return { total: head.total, results, next: after + results.length };
  }

  /** Waits for new results, and gets them from the owner or the store. */
  async #waitForResults(
    cached: CachedBatch,
    options: WaitOptions,
  ): Promise<CachedBatch> {
    const reading = await this.#readFromOwner(cached, options);
    const batch = reading?.batch ?? cached;
    if (reading !== undefined) {
      const hasMore = batch.results.length > options.after;
      if (hasMore || reading.isProven) return batch;
    }
    // A replaced owner that doesn't know it yet may lack results.
    return await this.#refresh(batch) ?? batch;
  }

  /** Asks the owner for what follows the cached results. */
  async #readFromOwner(cached: CachedBatch, { waitMs, signal }: {
    waitMs: number;
    signal: AbortSignal;
  }): Promise<OwnerReading | undefined> {
    const after = cached.results.length;
    const answer = await this.#askOwner(cached.head, { after, waitMs, signal });
    if (answer === undefined) return undefined;
    const { results, provenMsAgo = Infinity } = answer;
    const batch = this.#cache.put({
      ...this.#cache.get(cached.head.id) ?? cached,
      results: [...cached.results, ...results],
    });
    return { batch, isProven: provenMsAgo < MAX_PROOF_AGE_MS };
  }

  /** Asks a batch's owner for results; undefined if it doesn't run the batch. */
  async #askOwner(
    head: BatchHead,
    { after, waitMs, signal }: WaitOptions,
  ): Promise<ReadAnswer | undefined> {
    const answer = await this.#peers.ask(
      this.#runnerOf(head),
      Message.Read,
      { id: head.id, after, waitMs },
      { timeoutMs: waitMs + READ_TIMEOUT_MARGIN_MS, signal },
    );
    if (answer.err) return undefined;
    const parsed = readAnswer.safeParse(answer.val);
    return parsed.success && parsed.data.run ? parsed.data : undefined;
  }

  /** Cached results of an ended run; without any, readers ask the store. */
  #remembered(id: string, after: number): ReadAnswer {
    const cached = this.#cache.get(id);
    if (cached === undefined) return { run: false, results: [] };
    const { results } = pageOf(cached.head.total, cached.results, after);
    return { run: results.length > 0, results: [...results] };
  }

  /** The batch as stored; undefined if it can't be read. */
  async #refresh(cached: CachedBatch): Promise<CachedBatch | undefined> {
    const found = await this.#store.head(cached.head.id);
    if (found.err || isNone(found.val)) return undefined;
    return await this.#complete(cached, found.val.value.head);
  }

  /**
   * Adds the listed results that are missing here: from the owner if possible,
   * which puts no load on the key-value service, or else from the store.
   */
  async #complete(
    cached: CachedBatch,
    head: BatchHead,
  ): Promise<CachedBatch | undefined> {
    if (head.listed <= cached.results.length) {
      return this.#cache.put({ ...cached, head });
    }
    const reading = await this.#readFromOwner({ ...cached, head }, {
      waitMs: 0,
      signal: this.#signal,
    });
    const fromOwner = reading?.batch;
    if (fromOwner !== undefined && fromOwner.results.length >= head.listed) {
      return this.#cache.put({ ...fromOwner, head });
    }
    const chunks = await this.#store.results(head.id, 0);
    if (chunks.err) return undefined;
    return this.#cache.put({
      head,
      results: chunks.val.flat(),
      chunks: chunks.val.length,
    });
  }
}
