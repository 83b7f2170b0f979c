/**
 * One shard's claim log: numbered segments in a ring of slots of the key-value
 * service. A segment is written by a compare-and-swap of its slot against what
 * the writer last saw there: nothing, or the segment one lap before. So two
 * daemons that both believe they own a shard can only write one after the
 * other, and whoever loses a number takes in the winner's segment first. No
 * clock or lease is part of that argument.
 *
 * A lap takes at least `LAP_RETENTIONS` times the retention, because writes
 * are paced by the retention; that keeps each segment long enough.
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
 * Slots of a ring. The same in all daemons, whatever their settings and
 * version: it says where a segment is.
 */
const SLOT_COUNT = 32_768;
/** Lets that many daemons write to one shard before a lap gets too short. */
const MIN_LAP_RETENTIONS = 2;
const MIN_WRITE_INTERVAL_MS = 100;
const MIN_CLAIM_TIMEOUT_MS = 1_000;
/** How long outcomes wait for a claim to share a write with. */
const LINGER_MS = 500;
const MAX_WRITE_RECORDS = 1_000;
const MAX_WRITE_CHARS = 256 * 1024;
const MAX_QUEUED_RECORDS = 20_000;
const MIN_BACKOFF_MS = 20;
const MAX_BACKOFF_MS = 1_000;
/** Claims that come while writes have failed for longer are not tried. */
const FAIL_FAST_AFTER_MS = 300;
const FLUSH_POLL_MS = 10;

/** How a claim log writes. */
export interface ClaimLogOptions {
  readonly keyValue: KeyValue;
  readonly clock: Clock;
  readonly shard: number;
  /** Makes the names of writes unique over all daemons. */
  readonly author: string;
  readonly retentionMs: number;
  /** Slots of the ring; differs from the default only in tests. */
  readonly slots?: number;
  /** Longest time that a claim waits for the platform. */
  readonly waitMs?: number;
  /** Told of each write as it is sent, with its number of records. */
  readonly onWrite?: (records: number) => void;
}

/** A record that waits to be written. */
interface QueuedRecord {
  readonly record: ClaimRecord;
  readonly size: number;
  /** Tells a claim's fate; other records have nobody to tell. */
  readonly resolve?: (claimed: ClaimResult) => void;
  /** Whether the claimant was refused and will never run the request. */
  abandoned: boolean;
}

/** A write that was sent, or is about to be. */
interface PendingWrite {
  readonly segment: Segment;
  readonly value: string;
  /** The revision of the slot before the write. */
  readonly expected: number;
  readonly waiting: readonly QueuedRecord[];
  /** Whether an earlier try of this write may still take effect. */
  uncertain: boolean;
}

/** A daemon's end of one shard's log. */
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
  /** Revisions of the slots as last seen; absent for a free slot. */
  readonly #revisions = new Map<number, number>();
  readonly #stop = new AbortController();
  /** Releases and outcomes that aren't in the log yet, by attempt. */
  readonly #ends = new Map<string, ClaimRecord>();
  #queue: QueuedRecord[] = [];
  #inFlight: PendingWrite | undefined;
  #loaded = false;
  #loadInProgress: Promise<boolean> | undefined;
  /** The number that the next segment gets. */
  #next = 1;
  #seq = 0;
  #writing = false;
  #lastWriteAt = -Infinity;
  #failingSince = Infinity;
  #flushing = false;
  /** Ends the wait of outcomes for a claim. */
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

  /** Number of ids that this daemon remembers. */
  get size(): number {
    return this.#index.size;
  }

  /** Whether nothing waits to be written. */
  get idle(): boolean {
    return !this.#writing;
  }

  /**
   * Claims; resolves once the claim is in the log, or refused. A refused
   * attempt may not be asked for again: it is released should it land later.
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

  /** Appends a record without waiting for it. */
  append(record: ClaimRecord): void {
    if (this.#queue.length >= MAX_QUEUED_RECORDS) return;
    this.#ends.set(record.claim.attempt, record);
    this.#enqueue(record);
  }

  /** Reads the log ahead of the first claim. */
  async preload(): Promise<void> {
    if (this.#loaded) return;
    // What fails here is tried again, and told, by the first claim.
    await this.#load().catch(() => false);
  }

  /** What is known of an id, other daemons' writes included. */
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

  /** Resolves when nothing waits any more, or `signal` aborts. */
  async flush(signal: AbortSignal): Promise<void> {
    this.#flushing = true;
    this.#lingerAbort.abort();
    while (this.#writing && !signal.aborted) {
      await this.#clock.sleep(FLUSH_POLL_MS, signal);
    }
    this.#flushing = false;
  }

  /** Ends the log's task. */
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

  /** Gives up on a claim; one already sent is released when it lands. */
  #abandon(waiting: QueuedRecord) {
    waiting.abandoned = true;
    this.#queue = this.#queue.filter((other) => other !== waiting);
  }

  /** The log's one task: writes until nothing waits. */
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
    // The next claim is tried at once: it finds out whether calls still fail.
    this.#failingSince = Infinity;
    this.#writing = false;
  }

  #busy(): boolean {
    if (this.#stop.signal.aborted) return false;
    return this.#queue.length > 0 || this.#inFlight !== undefined;
  }

  /** One step forward; `false` when the platform failed. */
  async #tryStep(): Promise<boolean> {
    try {
      return await this.#step();
    } catch (error) {
      // A segment that can't be read stops its shard: nothing is granted.
      log("unreadable", { shard: this.#shard, error: String(error) });
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

  /** Outcomes alone are not urgent: they share the next claim's write. */
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

  /** The next write, of what waits and isn't answered by the log already. */
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

  /** Whether a waiting claim needs no write, as the log has its answer. */
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

  /** Without effect, the write is made anew; else it is sent again as it is. */
  #failed(write: PendingWrite, fault: Fault): boolean {
    if (fault === Fault.Unknown) write.uncertain = true;
    if (!write.uncertain) this.#requeue(write);
    return false;
  }

  /** The slot has changed, so no try of this write can take effect later. */
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

  /** Takes in the next segment, unless it was read and taken in before. */
  #apply(segment: Segment, revision: number) {
    if (segment.number !== this.#next) return;
    const now = this.#clock.now();
    this.#revisions.set(this.#slot(segment.number), revision);
    for (const record of segment.records) this.#index.apply(record, now);
    this.#next = segment.number + 1;
  }

  /** Takes in what was written since; `false` if that failed. */
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

  /** Reads the whole ring; whoever asks meanwhile shares the reading. */
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
    // A page read before a segment was written lacks it, although a later
    // page has its successor.
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
   * Where an attempt stands by the log, and by the ends that this daemon is
   * about to write; `undefined` if the id is free or about to be freed.
   */
  #standing(claim: Claim): ClaimResult | undefined {
    const holder = this.#index.get(claim.id);
    if (O.isNone(holder)) return undefined;
    const { claim: held, outcome } = holder.value;
    const end = this.#ends.get(held.attempt);
    // The release is ahead of this claim in the queue, and so in the log.
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

/** The refusal of claims that can't be kept now. */
export const PLATFORM_DOWN = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.PlatformDown,
  message: "The claim can't be kept: the platform's service does not answer",
  retryAfterMs: 2000,
});
