/**
 * Where batches last: in the platform's key-value service, which loses nothing
 * that it acknowledged. A batch has a head, which every change is made against
 * so that only its present owner can list results; its items; and its results
 * in chunks, in the order in which they were listed.
 *
 * @module
 */

import { isNone, none, type Option, some } from "fp-ts/Option";
import { randomUUID } from "node:crypto";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import { type Clock, logger } from "../kernel/mod.ts";
import {
  type Change,
  type Commit,
  type Entry,
  type Failure,
  Fault,
  type Records,
} from "../outside/mod.ts";
import { partialOutputsSchema } from "./partial_outputs.ts";
import { ItemOutput } from "./item_output.ts";
import { type BatchSubmission, ItemOutcome, type ItemResult } from "./mod.ts";

const log = logger("batches");

const HEADS_PREFIX = "toucanwind/batches/heads/";
const ITEMS_PREFIX = "toucanwind/batches/items/";
const RESULTS_PREFIX = "toucanwind/batches/results/";
const PARTIAL_OUTPUTS_PREFIX = "toucanwind/batches/drafts/";

/** Most bytes of one value; the service takes a megabyte. */
const MAX_VALUE_BYTES = 700_000;

/** Most keys that one change writes; the service takes 32 entries. */
const MAX_KEYS_PER_CHANGE = 24;

/** Wait before a change without an answer is sent once more. */
const RETRY_DELAY_MS = 150;

/** Digits of a chunk's number, so that keys are in its order. */
const CHUNK_DIGITS = 6;

/** The state of a batch that all daemons agree on. */
export interface BatchHead {
  readonly id: string;
  readonly route: string;
  readonly organisation: string;
  readonly total: number;
  /** VM and run of the daemon that runs it. */
  readonly owner: string;
  readonly run: string;
  /** Unique to the last change, by which its author knows it again. */
  readonly attempt: string;
  readonly listed: number;
  readonly chunks: number;
  readonly parts: number;
  readonly ended: boolean;
  /** Unix milliseconds of the first submission. */
  readonly submittedAt: number;
}

/** A head with the revision that the next change is made against. */
export interface VersionedHead {
  readonly head: BatchHead;
  readonly revision: number;
}

const headSchema: z.ZodType<BatchHead> = z.object({
  id: z.string(),
  route: z.string(),
  organisation: z.string(),
  total: z.number(),
  owner: z.string(),
  run: z.string(),
  attempt: z.string(),
  listed: z.number(),
  chunks: z.number(),
  parts: z.number(),
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

/** Results as daemons send them to each other and as they are stored. */
export const resultsSchema = z.array(resultSchema);

/** How a change of a head ended. */
export enum ChangeStatus {
  Applied = "applied",
  /** Another change came first; the head is returned as it is now. */
  Conflict = "overtaken",
  /** Nothing was changed, and nothing will be. */
  Refused = "refused",
  /** It may be applied, now or later. */
  Unknown = "unknown",
}

/** The end of a change, with the head as far as it is known. */
export interface ChangeOutcome {
  readonly changed: ChangeStatus;
  readonly now: Option<VersionedHead>;
  readonly message: string;
}

/** The batches in the key-value service. */
export class BatchStore {
  readonly #records: Records;
  readonly #clock: Clock;

  constructor(options: { records: Records; clock: Clock }) {
    this.#records = options.records;
    this.#clock = options.clock;
  }

  /** Keeps a new batch; `Overtaken` if there is one of this name already. */
  async create(submission: BatchSubmission, options: {
    owner: string;
    run: string;
    /** Gives up on an unknown outcome after this time. */
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

  /** A batch's head; `None` if there surely is none. */
  async head(id: string): Promise<Result<Option<VersionedHead>, Failure>> {
    const found = await this.#records.get(HEADS_PREFIX + id);
    return found.map((entry) => isNone(entry) ? none : parseHead(entry.value));
  }

  /** The heads of all batches that are kept. */
  async heads(): Promise<Result<readonly VersionedHead[], Failure>> {
    const found = await this.#records.range(HEADS_PREFIX);
    return found.map((entries) =>
      entries.flatMap((entry) => {
        const head = parseHead(entry);
        return isNone(head) ? [] : [head.value];
      })
    );
  }

  /** What was submitted. */
  async submission(head: BatchHead): Promise<Result<BatchSubmission, Failure>> {
    const parts: string[] = [];
    for (let index = 0; index < head.parts; index++) {
      const found = await this.#records.get(
        `${ITEMS_PREFIX}${head.id}/${index}`,
      );
      if (found.err) return found;
      if (isNone(found.val)) {
        return Err({ fault: Fault.Unknown, message: "Items are missing" });
      }
      parts.push(found.val.value.value);
    }
    return Ok(joinSubmission(parts));
  }

  /** The results from chunk `from` on, by chunk. */
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

  /** Lists results after those that are listed. */
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

  /** Keeps texts that are not finished; only the present owner can. */
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

  /** The texts that an earlier owner kept. */
  async partialOutputs(id: string): Promise<ReadonlyMap<string, ItemOutput>> {
    const found = await this.#records.get(PARTIAL_OUTPUTS_PREFIX + id);
    if (found.err || isNone(found.val)) return new Map();
    const parsed = partialOutputsSchema.safeParse(
      JSON.parse(found.val.value.value),
    );
    if (!parsed.success) {
      log("drafts unreadable", { id, reason: parsed.error.message });
      return new Map();
    }
    return new Map(
      Object.entries(parsed.data)
        .map(([item, output]) => [item, new ItemOutput(output)]),
    );
  }

  /** Ends a batch for good. */
  async end({ head, revision }: VersionedHead): Promise<ChangeOutcome> {
    const next = { ...head, ended: true, attempt: randomUUID() };
    return await this.#change({
      expected: [{ key: HEADS_PREFIX + head.id, revision }],
      writes: [{ key: HEADS_PREFIX + head.id, value: JSON.stringify(next) }],
    }, next);
  }

  /** Removes all that is kept of a batch. */
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
    // The head goes last: as long as it is there, the rest is found again.
    for (const batchOfKeys of chunked(keys.slice(1), MAX_KEYS_PER_CHANGE)) {
      const done = await this.#records.commit({
        expected: [{ key: HEADS_PREFIX + head.id, revision }],
        writes: [],
        removes: batchOfKeys,
      });
      if (done.err || !done.val.applied) return;
    }
    await this.#records.remove(HEADS_PREFIX + head.id, revision);
  }

  /**
   * Makes a change and settles its outcome. Without an answer the same change
   * is sent again: of all sends one at most is applied, since each is made
   * against the same revision, and the attempt tells whose it was.
   */
  async #change(change: Change, next: BatchHead, options: {
    timeoutMs?: number;
    signal?: AbortSignal;
  } = {}): Promise<ChangeOutcome> {
    const deadline = this.#clock.now() + (options.timeoutMs ?? Infinity);
    let unknown = false;
    for (;;) {
      const done = await this.#records.commit(change);
      if (done.ok) return settled(done.val, next);
      const { fault, message } = done.val;
      if (fault === Fault.Unknown) unknown = true;
      log("change open", { id: next.id, fault, message });
      const expired = this.#clock.now() + RETRY_DELAY_MS >= deadline ||
        options.signal?.aborted === true;
      if (expired || (!unknown && options.signal === undefined)) {
        const changed = unknown ? ChangeStatus.Unknown : ChangeStatus.Refused;
        return { changed, now: none, message };
      }
      await this.#clock.sleep(
        RETRY_DELAY_MS * (1 + Math.random()),
        options.signal,
      );
    }
  }
}

/** What an answered change came to. */
function settled(commit: Commit, next: BatchHead): ChangeOutcome {
  if (commit.applied) {
    const now = some({ head: next, revision: commit.revision });
    return { changed: ChangeStatus.Applied, now, message: "" };
  }
  const [entry] = commit.current;
  const found = entry === undefined ? none : parseHead(entry);
  // An earlier send of the same change was applied after all.
  const own = !isNone(found) && found.value.head.attempt === next.attempt;
  return {
    changed: own ? ChangeStatus.Applied : ChangeStatus.Conflict,
    now: found,
    message: "",
  };
}

function parseHead(entry: Entry): Option<VersionedHead> {
  try {
    const head = headSchema.parse(JSON.parse(entry.value));
    return some({ head, revision: entry.revision });
  } catch (error) {
    log("head unreadable", { key: entry.key, reason: String(error) });
    return none;
  }
}

/** A submission as values that the service holds. */
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

// Only this module writes these values.
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
