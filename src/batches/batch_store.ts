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
import { draftsSchema } from "./partial_outputs.ts";
import { Generation } from "./item_output.ts";
import { type BatchSubmission, ItemOutcome, type ItemResult } from "./mod.ts";

const log = logger("batches");

const HEADS = "toucanwind/batches/heads/";
const ITEMS = "toucanwind/batches/items/";
const RESULTS = "toucanwind/batches/results/";
const DRAFTS = "toucanwind/batches/drafts/";

/** Most bytes of one value; the service takes a megabyte. */
const MAX_VALUE_BYTES = 700_000;

/** Most keys that one change writes; the service takes 32 entries. */
const MAX_WRITES = 24;

/** Wait before a change without an answer is sent once more. */
const RETRY_MS = 150;

/** Digits of a chunk's number, so that keys are in its order. */
const CHUNK_DIGITS = 6;

/** The state of a batch that all daemons agree on. */
export interface Head {
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
export interface Versioned {
  readonly head: Head;
  readonly revision: number;
}

const headSchema: z.ZodType<Head> = z.object({
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
export enum Changed {
  Applied = "applied",
  /** Another change came first; the head is returned as it is now. */
  Overtaken = "overtaken",
  /** Nothing was changed, and nothing will be. */
  Refused = "refused",
  /** It may be applied, now or later. */
  Unknown = "unknown",
}

/** The end of a change, with the head as far as it is known. */
export interface Outcome {
  readonly changed: Changed;
  readonly now: Option<Versioned>;
  readonly message: string;
}

/** The batches in the key-value service. */
export class Archive {
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
    patienceMs: number;
  }): Promise<Outcome> {
    const parts = cut(submission);
    const head: Head = {
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
    if (parts.length > MAX_WRITES) {
      return {
        changed: Changed.Refused,
        now: none,
        message: "The batch is larger than the service holds",
      };
    }
    return await this.#change(
      {
        expected: [{ key: HEADS + head.id, revision: 0 }],
        writes: [
          { key: HEADS + head.id, value: JSON.stringify(head) },
          ...parts.map((value, index) => ({
            key: `${ITEMS}${head.id}/${index}`,
            value,
          })),
        ],
      },
      head,
      { patienceMs: options.patienceMs },
    );
  }

  /** A batch's head; `None` if there surely is none. */
  async head(id: string): Promise<Result<Option<Versioned>, Failure>> {
    const found = await this.#records.get(HEADS + id);
    return found.map((entry) => isNone(entry) ? none : read(entry.value));
  }

  /** The heads of all batches that are kept. */
  async heads(): Promise<Result<readonly Versioned[], Failure>> {
    const found = await this.#records.range(HEADS);
    return found.map((entries) =>
      entries.flatMap((entry) => {
        const head = read(entry);
        return isNone(head) ? [] : [head.value];
      })
    );
  }

  /** What was submitted. */
  async submission(head: Head): Promise<Result<BatchSubmission, Failure>> {
    const parts: string[] = [];
    for (let index = 0; index < head.parts; index++) {
      const found = await this.#records.get(`${ITEMS}${head.id}/${index}`);
      if (found.err) return found;
      if (isNone(found.val)) {
        return Err({ fault: Fault.Unknown, message: "Items are missing" });
      }
      parts.push(found.val.value.value);
    }
    return Ok(joined(parts));
  }

  /** The results from chunk `from` on, by chunk. */
  async results(
    id: string,
    from: number,
  ): Promise<Result<readonly (readonly ItemResult[])[], Failure>> {
    const prefix = `${RESULTS}${id}/`;
    const after = from === 0 ? undefined : prefix + digits(from - 1);
    const found = await this.#records.range(prefix, { after });
    return found.map((entries) =>
      entries.map(({ value }) => resultsSchema.parse(JSON.parse(value)))
    );
  }

  /** Makes this daemon the owner. */
  async take(
    { head, revision }: Versioned,
    owner: { owner: string; run: string },
  ): Promise<Outcome> {
    const next = { ...head, ...owner, attempt: randomUUID() };
    return await this.#change({
      expected: [{ key: HEADS + head.id, revision }],
      writes: [{ key: HEADS + head.id, value: JSON.stringify(next) }],
    }, next);
  }

  /** Lists results after those that are listed. */
  async append(
    { head, revision }: Versioned,
    results: readonly ItemResult[],
    signal: AbortSignal,
  ): Promise<Outcome> {
    const next = {
      ...head,
      attempt: randomUUID(),
      listed: head.listed + results.length,
      chunks: head.chunks + 1,
    };
    return await this.#change(
      {
        expected: [{ key: HEADS + head.id, revision }],
        writes: [
          { key: HEADS + head.id, value: JSON.stringify(next) },
          {
            key: `${RESULTS}${head.id}/${digits(head.chunks)}`,
            value: JSON.stringify(results),
          },
        ],
      },
      next,
      { signal },
    );
  }

  /** Keeps texts that are not finished; only the present owner can. */
  async draft(
    { head, revision }: Versioned,
    drafts: Readonly<Record<string, Generation>>,
  ): Promise<boolean> {
    const done = await this.#records.commit({
      expected: [{ key: HEADS + head.id, revision }],
      writes: [{ key: DRAFTS + head.id, value: JSON.stringify(drafts) }],
    });
    return done.ok && done.val.applied;
  }

  /** The texts that an earlier owner kept. */
  async drafts(id: string): Promise<ReadonlyMap<string, Generation>> {
    const found = await this.#records.get(DRAFTS + id);
    if (found.err || isNone(found.val)) return new Map();
    const parsed = draftsSchema.safeParse(JSON.parse(found.val.value.value));
    if (!parsed.success) {
      log("drafts unreadable", { id, reason: parsed.error.message });
      return new Map();
    }
    return new Map(
      Object.entries(parsed.data)
        .map(([item, draft]) => [item, new Generation(draft)]),
    );
  }

  /** Ends a batch for good. */
  async end({ head, revision }: Versioned): Promise<Outcome> {
    const next = { ...head, ended: true, attempt: randomUUID() };
    return await this.#change({
      expected: [{ key: HEADS + head.id, revision }],
      writes: [{ key: HEADS + head.id, value: JSON.stringify(next) }],
    }, next);
  }

  /** Removes all that is kept of a batch. */
  async remove({ head, revision }: Versioned): Promise<void> {
    const keys = [
      HEADS + head.id,
      DRAFTS + head.id,
      ...Array.from(
        { length: head.parts },
        (_, index) => `${ITEMS}${head.id}/${index}`,
      ),
      ...Array.from(
        { length: head.chunks },
        (_, index) => `${RESULTS}${head.id}/${digits(index)}`,
      ),
    ];
    // The head goes last: as long as it is there, the rest is found again.
    for (const some of chunked(keys.slice(1), MAX_WRITES)) {
      const done = await this.#records.commit({
        expected: [{ key: HEADS + head.id, revision }],
        writes: [],
        removes: some,
      });
      if (done.err || !done.val.applied) return;
    }
    await this.#records.remove(HEADS + head.id, revision);
  }

  /**
   * Makes a change and settles its outcome. Without an answer the same change
   * is sent again: of all sends one at most is applied, since each is made
   * against the same revision, and the attempt tells whose it was.
   */
  async #change(change: Change, next: Head, options: {
    patienceMs?: number;
    signal?: AbortSignal;
  } = {}): Promise<Outcome> {
    const until = this.#clock.now() + (options.patienceMs ?? Infinity);
    let unknown = false;
    for (;;) {
      const done = await this.#records.commit(change);
      if (done.ok) return settled(done.val, next);
      const { fault, message } = done.val;
      if (fault === Fault.Unknown) unknown = true;
      log("change open", { id: next.id, fault, message });
      const over = this.#clock.now() + RETRY_MS >= until ||
        options.signal?.aborted === true;
      if (over || (!unknown && options.signal === undefined)) {
        const changed = unknown ? Changed.Unknown : Changed.Refused;
        return { changed, now: none, message };
      }
      await this.#clock.sleep(RETRY_MS * (1 + Math.random()), options.signal);
    }
  }
}

/** What an answered change came to. */
function settled(commit: Commit, next: Head): Outcome {
  if (commit.applied) {
    const now = some({ head: next, revision: commit.revision });
    return { changed: Changed.Applied, now, message: "" };
  }
  const [entry] = commit.current;
  const found = entry === undefined ? none : read(entry);
  // An earlier send of the same change was applied after all.
  const own = !isNone(found) && found.value.head.attempt === next.attempt;
  return {
    changed: own ? Changed.Applied : Changed.Overtaken,
    now: found,
    message: "",
  };
}

function read(entry: Entry): Option<Versioned> {
  try {
    const head = headSchema.parse(JSON.parse(entry.value));
    return some({ head, revision: entry.revision });
  } catch (error) {
    log("head unreadable", { key: entry.key, reason: String(error) });
    return none;
  }
}

/** A submission as values that the service holds. */
function cut(submission: BatchSubmission): readonly string[] {
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
function joined([first, ...rest]: readonly string[]): BatchSubmission {
  const items = rest.flatMap((part) => JSON.parse(part));
  return { ...JSON.parse(first), items };
}

function digits(chunk: number): string {
  return `${chunk}`.padStart(CHUNK_DIGITS, "0");
}

function chunked<T>(all: readonly T[], size: number): readonly T[][] {
  const chunks: T[][] = [];
  for (let from = 0; from < all.length; from += size) {
    chunks.push(all.slice(from, from + size));
  }
  return chunks;
}
