/**
 * The claim log of one shard: numbered segments in a ring of slots in the
 * key-value service. A segment is written by a compare-and-swap of its slot
 * against the revision that the writer last saw there: none, or that of the
 * segment one lap earlier. Of several daemons that believe they own the shard,
 * only one can therefore write a given segment number; the others apply that
 * segment before they write the next. This relies on no clocks or leases.
 *
 * A lap takes at least `MIN_LAP_RETENTIONS` retention periods, because the
 * interval between writes is derived from the retention. Segments are thus not
 * overwritten before their retention ends.
 *
 * @module
 */

import * as O from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import { type Clock, logger, Reason, Refusal, Verdict } from "../kernel/mod.ts";
import { Fault, type KeyValue, type KeyValueEntry } from "../outside/mod.ts";
import {
  type Claim,
  type ClaimResult,
  ClaimState,
  type FoundClaim,
} from "./mod.ts";
import {
  ClaimIndex,
  type ClaimRecord,
  decodeSegment,
  encodeSegment,
  type IndexedClaim,
  RecordKind,
  type Segment,
} from "./record.ts";

const log = logger("claims");

const KEY_PREFIX = "toucanwind/claims/";
const SLOT_DIGITS = 6;
const READ_PAGE_ENTRIES = 500;
/**
 * Slots of a ring. Must be the same in all daemons, whatever their settings and
 * version, because the slot of a segment is computed from it.
 */
const SLOT_COUNT = 32_768;
/**
 * Number of daemons that can write to one shard at the same time without
 * overwriting segments within the retention.
 */
const MIN_LAP_RETENTIONS = 2;
const MIN_WRITE_INTERVAL_MS = 100;
const MIN_CLAIM_TIMEOUT_MS = 1_000;
/** Longest time that outcomes wait to share a write with a claim. */
const LINGER_MS = 500;
const MAX_WRITE_RECORDS = 1_000;
const MAX_WRITE_CHARS = 256 * 1024;
const MAX_QUEUED_RECORDS = 20_000;
const MIN_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;
/** New claims are refused at once after writes have failed for this long. */
const FAIL_FAST_AFTER_MS = 300;
const FLUSH_POLL_MS = 10;

/** Options of a claim log. */
export interface ClaimLogOptions {
  readonly keyValue: KeyValue;
  readonly clock: Clock;
  readonly shard: number;
  /** Prefix that makes the names of writes unique across daemons. */
  readonly author: string;
  readonly retentionMs: number;
  /** Slots of the ring; overridden only in tests. */
  readonly slots?: number;
  /** Timeout of a claim. */
  readonly waitMs?: number;
  /** Called when a write is sent, with its number of records. */
  readonly onWrite?: (records: number) => void;
}

/** A record in the write queue. */
interface QueuedRecord {
  readonly record: ClaimRecord;
  readonly size: number;
  /** Reports the result of a claim; absent for other records. */
  readonly resolve?: (claimed: ClaimResult) => void;
  /** Whether the claim timed out, so that the request will not be run. */
  abandoned: boolean;
}

/** A write that is in flight or about to be sent. */
interface PendingWrite {
  readonly segment: Segment;
  readonly value: string;
  /** The revision of the slot before the write. */
  readonly expected: number;
  readonly waiting: readonly QueuedRecord[];
  /** Whether an earlier attempt of this write may still take effect. */
  uncertain: boolean;
}

/** Reads and writes the log of one shard. */
export class ClaimLog {
  readonly #keyValue: KeyValue;
  readonly #clock: Clock;
  readonly #shard: number;
  readonly #author: string;
  readonly #retentionMs: number;
  readonly #writeIntervalMs: number;
  readonly #waitMs: number;
  readonly #slots: number;
  readonly #onWrite: (records: number) => void;
  readonly #index = new ClaimIndex();
  /** Last known revision of each slot; absent for an empty slot. */
  readonly #revisions = new Map<number, number>();
  readonly #stop = new AbortController();
  /** Releases and outcomes not yet written to the log, by attempt. */
  readonly #ends = new Map<string, ClaimRecord>();
  #queue: QueuedRecord[] = [];
  #inFlight: PendingWrite | undefined;
  #loaded = false;
  #loadInProgress: Promise<boolean> | undefined;
  /** Number of the next segment. */
  #next = 1;
  #seq = 0;
  #writing = false;
  #lastWriteAt = -Infinity;
  #failingSince = Infinity;
  #flushing = false;
  /** Ends the linger time of queued outcomes. */
  #lingerAbort = new AbortController();

  constructor(options: ClaimLogOptions) {
    this.#keyValue = options.keyValue;
    this.#clock = options.clock;
    this.#shard = options.shard;
    this.#author = options.author;
    this.#retentionMs = options.retentionMs;
    this.#slots = options.slots ?? SLOT_COUNT;
    const lapMs = MIN_LAP_RETENTIONS * options.retentionMs;
    this.#writeIntervalMs = Math.max(
      MIN_WRITE_INTERVAL_MS,
      lapMs / this.#slots,
    );
    this.#waitMs = options.waitMs ??
      Math.max(MIN_CLAIM_TIMEOUT_MS, 2 * this.#writeIntervalMs);
    this.#onWrite = options.onWrite ?? (() => {});
  }

  /** Number of ids in the index. */
  get size(): number {
    return this.#index.size;
  }

  /** Whether the write queue is empty and no write is in flight. */
  get idle(): boolean {
    return !this.#writing;
  }

  /**
   * Claims an id; resolves once the claim is in the log or refused. The caller
   * must not claim again with a refused attempt: if its record is written after
   * all, it is released.
   */
  claim(claim: Claim): Promise<Result<ClaimResult, Refusal>> {
    const state = this.#standing(claim);
    if (state !== undefined) return Promise.resolve(Ok(state));
    const failingMs = this.#clock.now() - this.#failingSince;
    const queueFull = this.#queue.length >= MAX_QUEUED_RECORDS;
    if (
      queueFull || failingMs > FAIL_FAST_AFTER_MS || this.#stop.signal.aborted
    ) {
      return Promise.resolve(Err(PLATFORM_DOWN));
    }
    return new Promise((resolve) => {
      const cancel = this.#clock.after(this.#waitMs, () => {
        this.#abandon(waiting);
        resolve(Err(PLATFORM_DOWN));
      });
      const record = { kind: RecordKind.Claimed, claim } as const;
      const waiting = this.#enqueue(record, (claimed) => {
        cancel();
        resolve(Ok(claimed));
      });
    });
  }

  /** Queues a record without waiting until it is written. */
  append(record: ClaimRecord): void {
    if (this.#queue.length >= MAX_QUEUED_RECORDS) return;
    this.#ends.set(record.claim.attempt, record);
    this.#enqueue(record);
  }

  /** Reads the log ahead of the first claim. */
  async preload(): Promise<void> {
    if (this.#loaded) return;
    // The first claim retries a failed load and reports the failure.
    await this.#load().catch(() => false);
  }

  /** Looks up an id after reading what other daemons have written. */
  async find(id: string): Promise<Result<O.Option<FoundClaim>, Refusal>> {
    if (!await this.#catchUp()) return Err(PLATFORM_DOWN);
    const holder = this.#index.get(id);
    return Ok(
      O.map((holder: IndexedClaim) => this.#foundClaim(holder))(holder),
    );
  }

  #foundClaim({ claim, outcome }: IndexedClaim): FoundClaim {
    const end = this.#ends.get(claim.attempt);
    const settled = end?.kind === RecordKind.Settled;
    return { outcome: settled ? O.some(end.outcome) : outcome };
  }

  /** Resolves when the write queue is empty or `signal` aborts. */
  async flush(signal: AbortSignal): Promise<void> {
    this.#flushing = true;
    this.#lingerAbort.abort();
    while (this.#writing && !signal.aborted) {
      await this.#clock.sleep(FLUSH_POLL_MS, signal);
    }
    this.#flushing = false;
  }

  /** Stops the write loop. */
  stop(): void {
    this.#stop.abort();
    this.#lingerAbort.abort();
  }

  #enqueue(
    record: ClaimRecord,
    resolve?: (claimed: ClaimResult) => void,
  ): QueuedRecord {
    const size = JSON.stringify(record).length;
    const waiting = { record, size, resolve, abandoned: false };
    this.#queue.push(waiting);
    if (isClaim(waiting)) this.#lingerAbort.abort();
    if (!this.#writing) void this.#writeLoop();
    return waiting;
  }

  /** Drops a claim; one already sent is released once it is written. */
  #abandon(waiting: QueuedRecord) {
    waiting.abandoned = true;
    this.#queue = this.#queue.filter((other) => other !== waiting);
  }

  /** Writes until the queue is empty; at most one loop runs at a time. */
  async #writeLoop(): Promise<void> {
    let delayMs = MIN_BACKOFF_MS;
    this.#writing = true;
    while (this.#busy()) {
      if (await this.#tryStep()) {
        this.#failingSince = Infinity;
        delayMs = MIN_BACKOFF_MS;
        continue;
      }
      this.#failingSince = Math.min(this.#failingSince, this.#clock.now());
      await this.#clock.sleep(delayMs, this.#stop.signal);
      delayMs = Math.min(MAX_BACKOFF_MS, 2 * delayMs);
    }
    // The next claim is tried at once, to probe whether the platform answers.
    this.#failingSince = Infinity;
    this.#writing = false;
  }

  #busy(): boolean {
    if (this.#stop.signal.aborted) return false;
    return this.#queue.length > 0 || this.#inFlight !== undefined;
  }

  /** Loads the log or makes one write; `false` if that failed. */
  async #tryStep(): Promise<boolean> {
    try {
      return await this.#step();
    } catch (error) {
      // Without a segment's records no claim of the shard may be granted.
      log("claim log unreadable; granting no claims", {
        shard: this.#shard,
        error: String(error),
      });
      return false;
    }
  }

  async #step(): Promise<boolean> {
    if (!this.#loaded && !await this.#load()) return false;
    if (this.#inFlight === undefined) {
      await this.#linger();
      await this.#awaitWriteInterval();
      this.#inFlight = this.#batch();
    }
    if (this.#inFlight === undefined) return true;
    return await this.#write(this.#inFlight);
  }

  /** Delays outcomes, so that they share a write with the next claim. */
  #linger(): Promise<void> {
    if (this.#flushing || this.#queue.some(isClaim)) return Promise.resolve();
    this.#lingerAbort = new AbortController();
    return this.#clock.sleep(LINGER_MS, this.#lingerAbort.signal);
  }

  #awaitWriteInterval(): Promise<void> {
    const waitMs = this.#lastWriteAt + this.#writeIntervalMs -
      this.#clock.now();
    if (waitMs <= 0) return Promise.resolve();
    return this.#clock.sleep(waitMs, this.#stop.signal);
  }

  /** Builds a write of the queued records, except claims decided already. */
  #batch(): PendingWrite | undefined {
    const waiting: QueuedRecord[] = [];
    let chars = 0;
    let taken = 0;
    for (const next of this.#queue) {
      if (waiting.length >= MAX_WRITE_RECORDS || chars > MAX_WRITE_CHARS) break;
      taken++;
      if (this.#answered(next)) continue;
      waiting.push(next);
      chars += next.size;
    }
    this.#queue = this.#queue.slice(taken);
    if (waiting.length === 0) return undefined;
    const segment = {
      number: this.#next,
      attempt: `${this.#author}/${++this.#seq}`,
      records: waiting.map(({ record }) => record),
    };
    return {
      segment,
      value: encodeSegment(segment),
      expected: this.#revisions.get(this.#slot(segment.number)) ?? 0,
      waiting,
      uncertain: false,
    };
  }

  /** Resolves a claim that the log decides already, without a write. */
  #answered({ record, resolve }: QueuedRecord): boolean {
    if (record.kind !== RecordKind.Claimed) return false;
    const standing = this.#standing(record.claim);
    if (standing === undefined) return false;
    resolve?.(standing);
    return true;
  }

  async #write(write: PendingWrite): Promise<boolean> {
    this.#lastWriteAt = this.#clock.now();
    this.#onWrite(write.waiting.length);
    const { value, expected } = write;
    const swap = await this.#keyValue
      .swap(this.#key(write.segment.number), { value, expected });
    if (swap.err) return this.#failed(write, swap.val.fault);
    if (swap.val.applied) return this.#onWritten(write, swap.val.revision);
    return await this.#onConflict(write, swap.val.current);
  }

  /**
   * Rebuilds a write that certainly had no effect. One that may have had an
   * effect is sent again unchanged.
   */
  #failed(write: PendingWrite, fault: Fault): boolean {
    if (fault === Fault.Unknown) write.uncertain = true;
    if (!write.uncertain) this.#requeue(write);
    return false;
  }

  /** As the slot has changed, earlier attempts cannot take effect any more. */
  #onConflict(
    write: PendingWrite,
    current: O.Option<KeyValueEntry>,
  ): Promise<boolean> | boolean {
    const { number, attempt } = write.segment;
    const slot = this.#slot(number);
    if (O.isNone(current)) {
      this.#revisions.delete(slot);
      this.#requeue(write);
      return true;
    }
    const { revision, value } = current.value;
    const segment = decodeSegment(value);
    if (segment.attempt === attempt) return this.#onWritten(write, revision);
    this.#requeue(write);
    if (segment.number > number) return this.#load();
    if (segment.number === number) this.#apply(segment, revision);
    else this.#revisions.set(slot, revision);
    return true;
  }

  #requeue(write: PendingWrite) {
    this.#inFlight = undefined;
    const waiting = write.waiting.filter(({ abandoned }) => !abandoned);
    this.#queue = [...waiting, ...this.#queue];
  }

  #onWritten(write: PendingWrite, revision: number): boolean {
    this.#inFlight = undefined;
    this.#apply(write.segment, revision);
    for (const { record } of write.waiting) {
      const { attempt } = record.claim;
      if (this.#ends.get(attempt) === record) this.#ends.delete(attempt);
    }
    for (const waiting of write.waiting) this.#notifyClaimant(waiting);
    this.#index.prune(this.#clock.now() - this.#retentionMs);
    return true;
  }

  #notifyClaimant({ record, resolve, abandoned }: QueuedRecord) {
    if (record.kind !== RecordKind.Claimed) return;
    const standing = this.#standing(record.claim);
    if (standing === undefined) return;
    if (!abandoned) return resolve?.(standing);
    if (standing.standing !== ClaimState.Granted) return;
    this.append({ kind: RecordKind.Released, claim: record.claim });
  }

  /** Applies the next segment; ignores one that was applied before. */
  #apply(segment: Segment, revision: number) {
    if (segment.number !== this.#next) return;
    const now = this.#clock.now();
    this.#revisions.set(this.#slot(segment.number), revision);
    for (const record of segment.records) this.#index.apply(record, now);
    this.#next = segment.number + 1;
  }

  /** Reads the segments written since; `false` if that failed. */
  async #catchUp(): Promise<boolean> {
    if (!this.#loaded) return await this.#load();
    for (;;) {
      const number = this.#next;
      const entry = await this.#keyValue.get(this.#key(number));
      if (entry.err) return false;
      if (O.isNone(entry.val)) return true;
      const segment = decodeSegment(entry.val.value.value);
      if (segment.number > number) return await this.#load();
      if (segment.number < number) return true;
      this.#apply(segment, entry.val.value.revision);
    }
  }

  /** Reads the whole ring; concurrent callers share one read. */
  #load(): Promise<boolean> {
    this.#loadInProgress ??= this.#loadRing().finally(() =>
      this.#loadInProgress = undefined
    );
    return this.#loadInProgress;
  }

  async #loadRing(): Promise<boolean> {
    const found = new Map<number, { segment: Segment; revision: number }>();
    let after = "";
    for (;;) {
      const range = await this.#keyValue
        .range(this.#prefix(), { after, limit: READ_PAGE_ENTRIES });
      if (range.err) return false;
      if (range.val.length === 0) break;
      for (const { key, value, revision } of range.val) {
        const segment = decodeSegment(value);
        found.set(segment.number, { segment, revision });
        after = key;
      }
    }
    let last = 0;
    for (const number of found.keys()) last = Math.max(last, number);
    const first = Math.max(1, last - this.#slots + 1);
    // The pages are not one snapshot: a segment written after its page was read
    // is missing, although a later page may have its successor.
    for (let number = first; number <= last; number++) {
      if (found.has(number)) continue;
      const entry = await this.#keyValue.get(this.#key(number));
      if (entry.err) return false;
      if (O.isNone(entry.val)) continue;
      const segment = decodeSegment(entry.val.value.value);
      const { revision } = entry.val.value;
      if (segment.number === number) found.set(number, { segment, revision });
    }
    for (let number = first; number <= last; number++) {
      if (number < this.#next) continue;
      this.#next = number;
      const entry = found.get(number);
      if (entry) this.#apply(entry.segment, entry.revision);
    }
    this.#next = Math.max(this.#next, last + 1);
    this.#loaded = true;
    return true;
  }

  /**
   * State of an attempt by the log and by the releases and outcomes that this
   * daemon has queued; `undefined` if the id is free or its release is queued.
   */
  #standing(claim: Claim): ClaimResult | undefined {
    const holder = this.#index.get(claim.id);
    if (O.isNone(holder)) return undefined;
    const { claim: held, outcome } = holder.value;
    const end = this.#ends.get(held.attempt);
    // The release precedes this claim in the queue, and therefore in the log.
    if (end?.kind === RecordKind.Released) return undefined;
    if (held.fingerprint !== claim.fingerprint) {
      return { standing: ClaimState.Mismatch };
    }
    if (O.isSome(outcome)) {
      return { standing: ClaimState.Ended, outcome: outcome.value };
    }
    if (end?.kind === RecordKind.Settled) {
      return { standing: ClaimState.Ended, outcome: end.outcome };
    }
    return held.attempt === claim.attempt
      ? { standing: ClaimState.Granted, claim }
      : { standing: ClaimState.Held };
  }

  #slot(number: number): number {
    return number % this.#slots;
  }

  #prefix(): string {
    return `${KEY_PREFIX}${String(this.#shard).padStart(2, "0")}/`;
  }

  #key(number: number): string {
    const slot = String(this.#slot(number)).padStart(SLOT_DIGITS, "0");
    return this.#prefix() + slot;
  }
}

function isClaim({ record }: QueuedRecord): boolean {
  return record.kind === RecordKind.Claimed;
}

/** The refusal of claims that cannot be written to the log. */
export const PLATFORM_DOWN = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.PlatformDown,
  message: "The claim can't be kept: the platform's service does not answer",
  retryAfterMs: 2000,
});
