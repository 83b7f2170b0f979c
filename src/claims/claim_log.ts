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
const PAGE = 500;
/**
 * Slots of a ring. The same in all daemons, whatever their settings and
 * version: it says where a segment is.
 */
const SLOTS = 32_768;
/** Lets that many daemons write to one shard before a lap gets too short. */
const LAP_RETENTIONS = 2;
const WRITE_INTERVAL_MS = 100;
const WAIT_MS = 1_000;
/** How long outcomes wait for a claim to share a write with. */
const LINGER_MS = 500;
const MAX_BATCH_RECORDS = 1_000;
const MAX_BATCH_CHARS = 256 * 1024;
const MAX_QUEUE = 20_000;
const RETRY_MS = 20;
const MAX_RETRY_MS = 1_000;
/** Claims that come while writes have failed for longer are not tried. */
const DOWN_AFTER_MS = 300;
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
interface Waiting {
  readonly record: ClaimRecord;
  readonly size: number;
  /** Tells a claim's fate; other records have nobody to tell. */
  readonly resolve?: (claimed: ClaimResult) => void;
  /** Whether the claimant was refused and will never run the request. */
  abandoned: boolean;
}

/** A write that was sent, or is about to be. */
interface Flight {
  readonly segment: Segment;
  readonly value: string;
  /** The revision of the slot before the write. */
  readonly expected: number;
  readonly waiting: readonly Waiting[];
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
  readonly #holders = new ClaimIndex();
  /** Revisions of the slots as last seen; absent for a free slot. */
  readonly #revisions = new Map<number, number>();
  readonly #stop = new AbortController();
  /** Releases and outcomes that aren't in the log yet, by attempt. */
  readonly #ends = new Map<string, ClaimRecord>();
  #queue: Waiting[] = [];
  #flight: Flight | undefined;
  #loaded = false;
  #loading: Promise<boolean> | undefined;
  /** The number that the next segment gets. */
  #next = 1;
  #seq = 0;
  #pumping = false;
  #lastWriteAt = -Infinity;
  #failingSince = Infinity;
  #flushing = false;
  /** Ends the wait of outcomes for a claim. */
  #wake = new AbortController();

  constructor(options: ClaimLogOptions) {
    this.#keyValue = options.keyValue;
    this.#clock = options.clock;
    this.#shard = options.shard;
    this.#author = options.author;
    this.#retentionMs = options.retentionMs;
    this.#slots = options.slots ?? SLOTS;
    const lapMs = LAP_RETENTIONS * options.retentionMs;
    this.#writeIntervalMs = Math.max(
      WRITE_INTERVAL_MS,
      lapMs / this.#slots,
    );
    this.#waitMs = options.waitMs ??
      Math.max(WAIT_MS, 2 * this.#writeIntervalMs);
    this.#onWrite = options.onWrite ?? (() => {});
  }

  /** Number of ids that this daemon remembers. */
  get size(): number {
    return this.#holders.size;
  }

  /** Whether nothing waits to be written. */
  get idle(): boolean {
    return !this.#pumping;
  }

  /**
   * Claims; resolves once the claim is in the log, or refused. A refused
   * attempt may not be asked for again: it is released should it land later.
   */
  claim(claim: Claim): Promise<Result<ClaimResult, Refusal>> {
    const known = this.#standing(claim);
    if (known !== undefined) return Promise.resolve(Ok(known));
    const failingMs = this.#clock.now() - this.#failingSince;
    const full = this.#queue.length >= MAX_QUEUE;
    if (full || failingMs > DOWN_AFTER_MS || this.#stop.signal.aborted) {
      return Promise.resolve(Err(PLATFORM_DOWN));
    }
    return new Promise((resolve) => {
      const cancel = this.#clock.after(this.#waitMs, () => {
        this.#abandon(waiting);
        resolve(Err(PLATFORM_DOWN));
      });
      const record = { kind: RecordKind.Claimed, claim } as const;
      const waiting = this.#add(record, (claimed) => {
        cancel();
        resolve(Ok(claimed));
      });
    });
  }

  /** Appends a record without waiting for it. */
  append(record: ClaimRecord): void {
    if (this.#queue.length >= MAX_QUEUE) return;
    this.#ends.set(record.claim.attempt, record);
    this.#add(record);
  }

  /** Reads the log ahead of the first claim. */
  async prepare(): Promise<void> {
    if (this.#loaded) return;
    // What fails here is tried again, and told, by the first claim.
    await this.#load().catch(() => false);
  }

  /** What is known of an id, other daemons' writes included. */
  async find(id: string): Promise<Result<O.Option<FoundClaim>, Refusal>> {
    if (!await this.#read()) return Err(PLATFORM_DOWN);
    const holder = this.#holders.get(id);
    return Ok(O.map((holder: IndexedClaim) => this.#found(holder))(holder));
  }

  #found({ claim, outcome }: IndexedClaim): FoundClaim {
    const end = this.#ends.get(claim.attempt);
    const settled = end?.kind === RecordKind.Settled;
    return { outcome: settled ? O.some(end.outcome) : outcome };
  }

  /** Resolves when nothing waits any more, or `signal` aborts. */
  async flush(signal: AbortSignal): Promise<void> {
    this.#flushing = true;
    this.#wake.abort();
    while (this.#pumping && !signal.aborted) {
      await this.#clock.sleep(FLUSH_POLL_MS, signal);
    }
    this.#flushing = false;
  }

  /** Ends the log's task. */
  stop(): void {
    this.#stop.abort();
    this.#wake.abort();
  }

  #add(
    record: ClaimRecord,
    resolve?: (claimed: ClaimResult) => void,
  ): Waiting {
    const size = JSON.stringify(record).length;
    const waiting = { record, size, resolve, abandoned: false };
    this.#queue.push(waiting);
    if (isClaim(waiting)) this.#wake.abort();
    if (!this.#pumping) void this.#pump();
    return waiting;
  }

  /** Gives up on a claim; one already sent is released when it lands. */
  #abandon(waiting: Waiting) {
    waiting.abandoned = true;
    this.#queue = this.#queue.filter((other) => other !== waiting);
  }

  /** The log's one task: writes until nothing waits. */
  async #pump(): Promise<void> {
    let delayMs = RETRY_MS;
    this.#pumping = true;
    while (this.#busy()) {
      if (await this.#turn()) {
        this.#failingSince = Infinity;
        delayMs = RETRY_MS;
        continue;
      }
      this.#failingSince = Math.min(this.#failingSince, this.#clock.now());
      await this.#clock.sleep(delayMs, this.#stop.signal);
      delayMs = Math.min(MAX_RETRY_MS, 2 * delayMs);
    }
    // The next claim is tried at once: it finds out whether calls still fail.
    this.#failingSince = Infinity;
    this.#pumping = false;
  }

  #busy(): boolean {
    if (this.#stop.signal.aborted) return false;
    return this.#queue.length > 0 || this.#flight !== undefined;
  }

  /** One step forward; `false` when the platform failed. */
  async #turn(): Promise<boolean> {
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
    if (this.#flight === undefined) {
      await this.#linger();
      await this.#pace();
      this.#flight = this.#batch();
    }
    if (this.#flight === undefined) return true;
    return await this.#write(this.#flight);
  }

  /** Outcomes alone are not urgent: they share the next claim's write. */
  #linger(): Promise<void> {
    if (this.#flushing || this.#queue.some(isClaim)) return Promise.resolve();
    this.#wake = new AbortController();
    return this.#clock.sleep(LINGER_MS, this.#wake.signal);
  }

  #pace(): Promise<void> {
    const waitMs = this.#lastWriteAt + this.#writeIntervalMs -
      this.#clock.now();
    if (waitMs <= 0) return Promise.resolve();
    return this.#clock.sleep(waitMs, this.#stop.signal);
  }

  /** The next write, of what waits and isn't answered by the log already. */
  #batch(): Flight | undefined {
    const waiting: Waiting[] = [];
    let chars = 0;
    let taken = 0;
    for (const next of this.#queue) {
      if (waiting.length >= MAX_BATCH_RECORDS || chars > MAX_BATCH_CHARS) break;
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
  #answered({ record, resolve }: Waiting): boolean {
    if (record.kind !== RecordKind.Claimed) return false;
    const standing = this.#standing(record.claim);
    if (standing === undefined) return false;
    resolve?.(standing);
    return true;
  }

  async #write(flight: Flight): Promise<boolean> {
    this.#lastWriteAt = this.#clock.now();
    this.#onWrite(flight.waiting.length);
    const { value, expected } = flight;
    const swap = await this.#keyValue
      .swap(this.#key(flight.segment.number), { value, expected });
    if (swap.err) return this.#failed(flight, swap.val.fault);
    if (swap.val.applied) return this.#landed(flight, swap.val.revision);
    return await this.#conflicted(flight, swap.val.current);
  }

  /** Without effect, the write is made anew; else it is sent again as it is. */
  #failed(flight: Flight, fault: Fault): boolean {
    if (fault === Fault.Unknown) flight.uncertain = true;
    if (!flight.uncertain) this.#requeue(flight);
    return false;
  }

  /** The slot has changed, so no try of this write can take effect later. */
  #conflicted(
    flight: Flight,
    current: O.Option<KeyValueEntry>,
  ): Promise<boolean> | boolean {
    const { number, attempt } = flight.segment;
    const slot = this.#slot(number);
    if (O.isNone(current)) {
      this.#revisions.delete(slot);
      this.#requeue(flight);
      return true;
    }
    const { revision, value } = current.value;
    const segment = decodeSegment(value);
    if (segment.attempt === attempt) return this.#landed(flight, revision);
    this.#requeue(flight);
    if (segment.number > number) return this.#load();
    if (segment.number === number) this.#take(segment, revision);
    else this.#revisions.set(slot, revision);
    return true;
  }

  #requeue(flight: Flight) {
    this.#flight = undefined;
    const waiting = flight.waiting.filter(({ abandoned }) => !abandoned);
    this.#queue = [...waiting, ...this.#queue];
  }

  #landed(flight: Flight, revision: number): boolean {
    this.#flight = undefined;
    this.#take(flight.segment, revision);
    for (const { record } of flight.waiting) {
      const { attempt } = record.claim;
      if (this.#ends.get(attempt) === record) this.#ends.delete(attempt);
    }
    for (const waiting of flight.waiting) this.#tell(waiting);
    this.#holders.prune(this.#clock.now() - this.#retentionMs);
    return true;
  }

  #tell({ record, resolve, abandoned }: Waiting) {
    if (record.kind !== RecordKind.Claimed) return;
    const standing = this.#standing(record.claim);
    if (standing === undefined) return;
    if (!abandoned) return resolve?.(standing);
    if (standing.standing !== ClaimState.Granted) return;
    this.append({ kind: RecordKind.Released, claim: record.claim });
  }

  /** Takes in the next segment, unless it was read and taken in before. */
  #take(segment: Segment, revision: number) {
    if (segment.number !== this.#next) return;
    const now = this.#clock.now();
    this.#revisions.set(this.#slot(segment.number), revision);
    for (const record of segment.records) this.#holders.apply(record, now);
    this.#next = segment.number + 1;
  }

  /** Takes in what was written since; `false` if that failed. */
  async #read(): Promise<boolean> {
    if (!this.#loaded) return await this.#load();
    for (;;) {
      const number = this.#next;
      const entry = await this.#keyValue.get(this.#key(number));
      if (entry.err) return false;
      if (O.isNone(entry.val)) return true;
      const segment = decodeSegment(entry.val.value.value);
      if (segment.number > number) return await this.#load();
      if (segment.number < number) return true;
      this.#take(segment, entry.val.value.revision);
    }
  }

  /** Reads the whole ring; whoever asks meanwhile shares the reading. */
  #load(): Promise<boolean> {
    this.#loading ??= this.#readRing().finally(() => this.#loading = undefined);
    return this.#loading;
  }

  async #readRing(): Promise<boolean> {
    const found = new Map<number, { segment: Segment; revision: number }>();
    let after = "";
    for (;;) {
      const range = await this.#keyValue
        .range(this.#prefix(), { after, limit: PAGE });
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
      if (entry) this.#take(entry.segment, entry.revision);
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
    const holder = this.#holders.get(claim.id);
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

function isClaim({ record }: Waiting): boolean {
  return record.kind === RecordKind.Claimed;
}

/** The refusal of claims that can't be kept now. */
export const PLATFORM_DOWN = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.PlatformDown,
  message: "The claim can't be kept: the platform's service does not answer",
  retryAfterMs: 2000,
});
