/**
 * Stores batches in the platform's key-value service, which loses no write that
 * it acknowledged. A batch consists of a head, its items, and its results in
 * chunks, in the order in which they were listed. Every change is conditional
 * on the head's revision, so that only the current owner can list results.
 *
 * @module
 */

import { isNone, none, type Option, some } from "fp-ts/Option";
import { randomUUID } from "node:crypto";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import {
  type Clock,
  logger,
  MAX_ENTRY_CHARS,
  type Moment,
  parseJson,
} from "../kernel/mod.ts";
import {
  type Failure,
  Fault,
  type KeyValueEntry,
  type Transaction,
  type TransactionalKeyValue,
  type TransactionResult,
} from "../outside/mod.ts";
import { ItemOutput } from "./item_output.ts";
import { type BatchSubmission, ItemOutcome, type ItemResult } from "./mod.ts";
import { partialOutputsSchema } from "./partial_outputs.ts";

const log = logger("batches");

const HEADS_PREFIX = "toucanwind/batches/heads/";
const ITEMS_PREFIX = "toucanwind/batches/items/";
const RESULTS_PREFIX = "toucanwind/batches/results/";
const PARTIAL_OUTPUTS_PREFIX = "toucanwind/batches/drafts/";

/** Limit on one value; the service accepts one megabyte. */
const MAX_VALUE_BYTES = 700_000;

/** Limit on the keys of one change; the service accepts 32 entries. */
const MAX_KEYS_PER_CHANGE = 24;

/** Delay before a failed change is sent again; up to twice this, at random. */
const RETRY_DELAY_MS = 150;

/** Digits of a chunk's number in its key, so that keys sort by number. */
const CHUNK_DIGITS = 6;
const MAX_CHUNKS = 10 ** CHUNK_DIGITS;

/** The shared state of a batch. */
export interface BatchHead {
  readonly id: string;
  readonly route: string;
  readonly organisation: string;
  readonly total: number;
  /** VM and incarnation of the owner, the daemon that runs the batch. */
  readonly owner: string;
  readonly run: string;
  /** Unique id of the last change, by which its author recognizes it. */
  readonly attempt: string;
  /** Number of listed results. */
  readonly listed: number;
  /** Number of values that hold the listed results. */
  readonly chunks: number;
  /** Number of values that hold the submission. */
  readonly parts: number;
  readonly ended: boolean;
  /** Unix milliseconds of the first submission. */
  readonly submittedAt: number;
}

/** A head with its revision, on which the next change is conditional. */
export interface VersionedHead {
  readonly head: BatchHead;
  readonly revision: number;
}

/** A head that was read, and when the read was sent: it was current then. */
export interface HeadReading {
  readonly state: Option<VersionedHead>;
  readonly sentAt: Moment;
}

const count = z.number().int().nonnegative();

const headSchema: z.ZodType<BatchHead> = z.object({
  id: z.string(),
  route: z.string(),
  organisation: z.string(),
  total: count,
  owner: z.string(),
  run: z.string(),
  attempt: z.string(),
  listed: count,
  chunks: count.max(MAX_CHUNKS),
  parts: count.max(MAX_KEYS_PER_CHANGE),
  ended: z.boolean(),
  submittedAt: z.number(),
});

const resultSchema: z.ZodType<ItemResult> = z.object({
  id: z.string(),
  end: z.enum(ItemOutcome),
  text: z.string(),
  versions: z.array(z.number()),
  score: z.string().optional(),
});

/** Results as stored and as sent between daemons. */
export const resultsSchema = z.array(resultSchema);

/** How a change ended. */
export enum ChangeStatus {
  Applied = "applied",
  /** Another change came first; the current head is returned. */
  Conflict = "overtaken",
  /** The change was not applied and will not be. */
  Refused = "refused",
  /** The change may have been applied, or may yet be. */
  Unknown = "unknown",
}

/** The outcome of a change. */
export interface ChangeOutcome {
  readonly changed: ChangeStatus;
  /** The head after the change, as far as it is known. */
  readonly now: Option<VersionedHead>;
  readonly message: string;
  /** When the call was sent that gave this outcome. */
  readonly sentAt: Moment;
}

/** Batches in the key-value service. */
export class BatchStore {
  readonly #records: TransactionalKeyValue;
  readonly #clock: Clock;

  constructor(options: { records: TransactionalKeyValue; clock: Clock }) {
    this.#records = options.records;
    this.#clock = options.clock;
  }

  /** Stores a new batch; `Conflict` if a batch with this id exists. */
  async create(submission: BatchSubmission, options: {
    owner: string;
    run: string;
    /** Time after which an unknown outcome is returned as such. */
    timeoutMs: number;
  }): Promise<ChangeOutcome> {
    const parts = splitSubmission(submission);
    const head: BatchHead = {
      id: submission.id,
      route: submission.route,
      organisation: submission.organisation,
      total: submission.items.length,
      owner: options.owner,
      run: options.run,
      attempt: randomUUID(),
      listed: 0,
      chunks: 0,
      parts: parts.length,
      ended: false,
      submittedAt: this.#clock.wall(),
    };
    if (parts.length > MAX_KEYS_PER_CHANGE) {
      return {
        changed: ChangeStatus.Refused,
        now: none,
        message: "The batch is larger than the service holds",
        sentAt: this.#clock.moment(),
      };
    }
    return await this.#change(
      {
        expected: [{ key: HEADS_PREFIX + head.id, revision: 0 }],
        writes: [
          { key: HEADS_PREFIX + head.id, value: JSON.stringify(head) },
          ...parts.map((value, index) => ({
            key: `${ITEMS_PREFIX}${head.id}/${index}`,
            value,
          })),
        ],
      },
      head,
      { timeoutMs: options.timeoutMs },
    );
  }

  /** A batch's head; `None` if there is no such batch or it is unreadable. */
  async head(id: string): Promise<Result<Option<VersionedHead>, Failure>> {
    return (await this.readHead(id)).map(({ state }) => state);
  }

  /** Like `head`, with the time of the read. */
  async readHead(id: string): Promise<Result<HeadReading, Failure>> {
    const sentAt = this.#clock.moment();
    const found = await this.#records.get(HEADS_PREFIX + id);
    return found.map((entry) => ({
      state: isNone(entry) ? none : parseHead(entry.value),
      sentAt,
    }));
  }

  /** The heads of all stored batches. */
  async heads(): Promise<Result<readonly VersionedHead[], Failure>> {
    const found = await this.#records.range(HEADS_PREFIX);
    return found.map((entries) =>
      entries.flatMap((entry) => {
        const head = parseHead(entry);
        return isNone(head) ? [] : [head.value];
      })
    );
  }

  /** The batch as it was submitted. */
  async submission(head: BatchHead): Promise<Result<BatchSubmission, Failure>> {
    const parts: string[] = [];
    for (let index = 0; index < head.parts; index++) {
      const found = await this.#records.get(
        `${ITEMS_PREFIX}${head.id}/${index}`,
      );
      if (found.err) return found;
      if (isNone(found.val)) {
        return Err({
          fault: Fault.Unknown,
          message: "Items are missing",
        });
      }
      parts.push(found.val.value.value);
    }
    return Ok(joinSubmission(parts));
  }

  /** The results by chunk, from chunk number `from` on. */
  async results(
    id: string,
    from: number,
  ): Promise<Result<readonly (readonly ItemResult[])[], Failure>> {
    const prefix = `${RESULTS_PREFIX}${id}/`;
    const after = from === 0 ? undefined : prefix + chunkNumber(from - 1);
    const found = await this.#records.range(prefix, { after });
    return found.map((entries) =>
      entries.map(({ value }) => resultsSchema.parse(JSON.parse(value)))
    );
  }

  /** Makes this daemon the owner. */
  async takeOwnership(
    { head, revision }: VersionedHead,
    owner: { owner: string; run: string },
  ): Promise<ChangeOutcome> {
    const next = { ...head, ...owner, attempt: randomUUID() };
    return await this.#change({
      expected: [{ key: HEADS_PREFIX + head.id, revision }],
      writes: [{ key: HEADS_PREFIX + head.id, value: JSON.stringify(next) }],
    }, next);
  }

  /** Appends results to the list. */
  async append(
    { head, revision }: VersionedHead,
    results: readonly ItemResult[],
    signal: AbortSignal,
  ): Promise<ChangeOutcome> {
    const next = {
      ...head,
      attempt: randomUUID(),
      listed: head.listed + results.length,
      chunks: head.chunks + 1,
    };
    return await this.#change(
      {
        expected: [{ key: HEADS_PREFIX + head.id, revision }],
        writes: [
          { key: HEADS_PREFIX + head.id, value: JSON.stringify(next) },
          {
            key: `${RESULTS_PREFIX}${head.id}/${chunkNumber(head.chunks)}`,
            value: JSON.stringify(results),
          },
        ],
      },
      next,
      { signal },
    );
  }

  /** Stores partial outputs; only the current owner can. */
  async savePartialOutputs(
    { head, revision }: VersionedHead,
    outputs: Readonly<Record<string, ItemOutput>>,
  ): Promise<boolean> {
    const done = await this.#records.commit({
      expected: [{ key: HEADS_PREFIX + head.id, revision }],
      writes: [{
        key: PARTIAL_OUTPUTS_PREFIX + head.id,
        value: JSON.stringify(outputs),
      }],
    });
    return done.ok && done.val.applied;
  }

  /** The partial outputs that an earlier owner stored. */
  async partialOutputs(id: string): Promise<ReadonlyMap<string, ItemOutput>> {
    const found = await this.#records.get(PARTIAL_OUTPUTS_PREFIX + id);
    if (found.err || isNone(found.val)) return new Map();
    const parsed = partialOutputsSchema.safeParse(
      JSON.parse(found.val.value.value),
    );
    if (!parsed.success) {
      log("partial outputs unreadable", { id, reason: parsed.error.message });
      return new Map();
    }
    return new Map(
      Object.entries(parsed.data)
        .map(([item, output]) => [item, new ItemOutput(output)]),
    );
  }

  /** Marks a batch as ended; this is final. */
  async end({ head, revision }: VersionedHead): Promise<ChangeOutcome> {
    const next = { ...head, ended: true, attempt: randomUUID() };
    return await this.#change({
      expected: [{ key: HEADS_PREFIX + head.id, revision }],
      writes: [{ key: HEADS_PREFIX + head.id, value: JSON.stringify(next) }],
    }, next);
  }

  /** Removes everything stored of a batch. */
  async remove({ head, revision }: VersionedHead): Promise<void> {
    const keys = [
      HEADS_PREFIX + head.id,
      PARTIAL_OUTPUTS_PREFIX + head.id,
      ...Array.from(
        { length: head.parts },
        (_, index) => `${ITEMS_PREFIX}${head.id}/${index}`,
      ),
      ...Array.from(
        { length: head.chunks },
        (_, index) => `${RESULTS_PREFIX}${head.id}/${chunkNumber(index)}`,
      ),
    ];
    // The head goes last: as long as it exists, the other keys can be found.
    for (const chunk of chunked(keys.slice(1), MAX_KEYS_PER_CHANGE)) {
      const done = await this.#records.commit({
        expected: [{ key: HEADS_PREFIX + head.id, revision }],
        writes: [],
        removes: chunk,
      });
      if (done.err || !done.val.applied) return;
    }
    await this.#records.remove(HEADS_PREFIX + head.id, revision);
  }

  /**
   * Commits a change and determines its outcome. Without an answer the same
   * change is sent again: at most one of the sends is applied, since each is
   * conditional on the same revision, and the head's `attempt` shows whose.
   */
  async #change(change: Transaction, next: BatchHead, options: {
    timeoutMs?: number;
    signal?: AbortSignal;
  } = {}): Promise<ChangeOutcome> {
    const deadline = this.#clock.now() + (options.timeoutMs ?? Infinity);
    let unknown = false;
    for (;;) {
      const sentAt = this.#clock.moment();
      const done = await this.#records.commit(change);
      if (done.ok) return settled(done.val, { next, sentAt });
      const { fault, message } = done.val;
      if (fault === Fault.Unknown) unknown = true;
      log("change not acknowledged", { id: next.id, fault, message });
      const expired = this.#clock.now() + RETRY_DELAY_MS >= deadline ||
        options.signal?.aborted === true;
      if (expired || (!unknown && options.signal === undefined)) {
        const changed = unknown ? ChangeStatus.Unknown : ChangeStatus.Refused;
        return { changed, now: none, message, sentAt };
      }
      await this.#clock.sleep(
        RETRY_DELAY_MS * (1 + Math.random()),
        options.signal,
      );
    }
  }
}

/** The outcome of an answered change. */
function settled(commit: TransactionResult, { next, sentAt }: {
  next: BatchHead;
  sentAt: Moment;
}): ChangeOutcome {
  if (commit.applied) {
    const now = some({ head: next, revision: commit.revision });
    return { changed: ChangeStatus.Applied, now, message: "", sentAt };
  }
  const [entry] = commit.current;
  const found = entry === undefined ? none : parseHead(entry);
  // The attempt matches if an earlier send of this change was applied.
  const own = !isNone(found) && found.value.head.attempt === next.attempt;
  return {
    changed: own ? ChangeStatus.Applied : ChangeStatus.Conflict,
    now: found,
    message: "",
    sentAt,
  };
}

function parseHead(entry: KeyValueEntry): Option<VersionedHead> {
  try {
    const head = headSchema.parse(
      parseJson(entry.value, { maxChars: MAX_ENTRY_CHARS }),
    );
    if (entry.key !== HEADS_PREFIX + head.id) {
      throw new RangeError("The key is that of another batch");
    }
    return some({ head, revision: entry.revision });
  } catch (error) {
    log("batch head unreadable", { key: entry.key, reason: String(error) });
    return none;
  }
}

/** Splits a submission into values that fit the service's limit. */
function splitSubmission(submission: BatchSubmission): readonly string[] {
  const { items, ...rest } = submission;
  const parts: string[] = [JSON.stringify(rest)];
  let lines: string[] = [];
  let bytes = 0;
  for (const item of items) {
    const line = JSON.stringify(item);
    if (bytes + line.length > MAX_VALUE_BYTES && lines.length > 0) {
      parts.push(`[${lines.join(",")}]`);
      lines = [];
      bytes = 0;
    }
    lines.push(line);
    bytes += line.length;
  }
  if (lines.length > 0) parts.push(`[${lines.join(",")}]`);
  return parts;
}

// Not validated: only this module writes these values.
function joinSubmission([first, ...rest]: readonly string[]): BatchSubmission {
  const items = rest.flatMap((part) => JSON.parse(part));
  return { ...JSON.parse(first), items };
}

function chunkNumber(chunk: number): string {
  return `${chunk}`.padStart(CHUNK_DIGITS, "0");
}

function chunked<T>(all: readonly T[], size: number): readonly T[][] {
  const chunks: T[][] = [];
  for (let from = 0; from < all.length; from += size) {
    chunks.push(all.slice(from, from + size));
  }
  return chunks;
}
