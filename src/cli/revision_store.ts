/**
 * The history of configurations in the platform's key-value service. One key,
 * the head, holds the newest revision. Before the head is replaced it is copied
 * to the archive under its revision, so the archive has every earlier revision
 * in full until it is pruned.
 *
 * @module
 */

import {
  isNone,
  isSome,
  map,
  none,
  type Option,
  type Some,
  some,
} from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import type { Clock } from "../kernel/mod.ts";
import {
  type Failure,
  Fault,
  type KeyValue,
  type KeyValueEntry,
  type SwapResult,
} from "../outside/mod.ts";
import {
  type Configuration,
  CONFIGURATION_KEY,
  decodeConfiguration,
  decodeRevisionMetadata,
  encodeConfiguration,
  type Problem,
  type RevisionMetadata,
  type Tables,
} from "../tables/mod.ts";

/** Prefix of the keys of archived revisions. */
export const ARCHIVE_PREFIX = "toucanwind/history/";

/** Prefix of the keys that mark the hashes of withdrawn callers' keys. */
export const WITHDRAWN_PREFIX = "toucanwind/withdrawn/";

const REVISION_DIGITS = 16;
const MAX_ARCHIVED_REVISIONS = 1_000;
const MIN_ARCHIVED_REVISIONS = 20;
const MAX_ARCHIVE_BYTES = 33_554_432;
/** More than one, so that the archive shrinks when fewer revisions fit. */
const MAX_PRUNED_PER_EDIT = 3;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 1_000;

/** A stored revision, with its tables or the problems found in them. */
export interface StoredRevision {
  readonly entry: KeyValueEntry;
  readonly stamp: RevisionMetadata;
  readonly tables: Result<Tables, readonly Problem[]>;
}

/** An edit of the tables, based on a known revision. */
export interface Edit {
  /** The revision that the edit is based on; 0 if there is none yet. */
  readonly on: number;
  readonly tables: Tables;
  /** Unique to the edit; the same in a resend. */
  readonly attempt: string;
  readonly author: string;
  readonly note: string;
}

/** The outcome of an edit. */
export enum EditOutcome {
  /** The edit is a revision of the history. */
  Accepted = "accepted",
  /** Another edit of the same revision was accepted; this one has no effect. */
  Lost = "lost",
  /** The edit's tables are invalid; it has no effect. */
  Invalid = "invalid",
  /** The service did not answer, but the edit certainly has no effect. */
  Unreached = "unreached",
  /** The edit may have taken effect, or may still do so. */
  Unknown = "unknown",
  /** The stored data can't be read; the edit has no effect. */
  Damaged = "damaged",
}

/** The outcome of an edit, with details for its author. */
export type CommitResult =
  | { readonly ending: EditOutcome.Accepted; readonly stamp: RevisionMetadata }
  | {
    readonly ending: EditOutcome.Lost;
    /** The edit that was accepted instead, if it is still archived. */
    readonly winner: Option<RevisionMetadata>;
    /** The newest revision. */
    readonly head: Option<RevisionMetadata>;
  }
  | {
    readonly ending: EditOutcome.Invalid;
    readonly problems: readonly Problem[];
  }
  | {
    readonly ending:
      | EditOutcome.Unreached
      | EditOutcome.Unknown
      | EditOutcome.Damaged;
    readonly message: string;
  };

/** Why the history could not be read. */
export interface ReadFailure {
  readonly ending: EditOutcome.Unreached | EditOutcome.Damaged;
  readonly message: string;
}

/** Identifies an edit in the history. */
interface EditIdentity {
  readonly attempt: string;
  /** The revision that the edit would become. */
  readonly revision: number;
}

/** Reads the history of configurations and appends revisions to it. */
export class RevisionStore {
  readonly #keyValue: KeyValue;
  readonly #clock: Clock;
  readonly #retryTimeoutMs: number;

  constructor(options: {
    keyValue: KeyValue;
    clock: Clock;
    /** How long calls to a service that does not answer are retried. */
    retryTimeoutMs?: number;
  }) {
    this.#keyValue = options.keyValue;
    this.#clock = options.clock;
    this.#retryTimeoutMs = options.retryTimeoutMs ?? 15_000;
  }

  /** The newest revision; `None` before the first. */
  async head(): Promise<Result<Option<StoredRevision>, ReadFailure>> {
    return await this.#readRevision(CONFIGURATION_KEY);
  }

  /** One revision of the history; `None` if it isn't stored. */
  async at(
    revision: number,
  ): Promise<Result<Option<StoredRevision>, ReadFailure>> {
    const head = await this.head();
    if (head.err || isNone(head.val)) return head;
    if (head.val.value.stamp.revision === revision) return head;
    return await this.#readRevision(archiveKey(revision));
  }

  /** The newest revisions, at most `limit`, the newest first. */
  async list(
    limit: number,
  ): Promise<Result<readonly RevisionMetadata[], ReadFailure>> {
    const head = await this.head();
    if (head.err) return head;
    if (isNone(head.val)) return Ok([]);
    const newest = head.val.value.stamp;
    const after = archiveKey(Math.max(0, newest.revision - limit));
    // Read after the head, so every revision before the head is archived.
    const archived = await this.#retry(() =>
      this.#keyValue.range(ARCHIVE_PREFIX, { after, limit })
    );
    if (archived.err) return archived;
    const stamps: RevisionMetadata[] = [];
    for (const entry of archived.val) {
      const stamp = decodeRevisionMetadata(entry.value);
      if (stamp.err) return Err(damaged(entry.key));
      if (stamp.val.revision < newest.revision) stamps.push(stamp.val);
    }
    return Ok([newest, ...stamps.reverse()].slice(0, limit));
  }

  /** Those of the key hashes that were ever withdrawn. */
  async withdrawn(
    hashes: readonly string[],
  ): Promise<Result<readonly string[], ReadFailure>> {
    const found: string[] = [];
    for (const hash of hashes) {
      const entry = await this.#retry(() =>
        this.#keyValue.get(WITHDRAWN_PREFIX + hash)
      );
      if (entry.err) return entry;
      if (!isNone(entry.val)) found.push(hash);
    }
    return Ok(found);
  }

  /**
   * Appends a revision if `edit.on` is still the newest. Idempotent: repeated
   * calls with the same edit take effect at most once.
   */
  async commit(edit: Edit): Promise<CommitResult> {
    const head = await this.head();
    if (head.err) return head.val;
    if (configurationRevision(head.val) !== edit.on) {
      return await this.#resolve({ ...edit, revision: edit.on + 1 }, head.val);
    }
    if (isSome(head.val)) return await this.#replaceHead(edit, head.val);
    const revision = await this.#firstRevision();
    if (revision.err) return revision.val;
    if (revision.val === 1) return await this.#writeHead(edit, none, 1);
    // An archive without a head means that the head was created since it was
    // read, or that it was lost.
    const reread = await this.head();
    if (reread.err) return reread.val;
    return isSome(reread.val)
      ? await this.#resolve({ ...edit, revision: 1 }, reread.val)
      : await this.#writeHead(edit, none, revision.val);
  }

  /** The outcome of an edit that was sent earlier; writes nothing. */
  async outcome(edit: Pick<Edit, "attempt" | "on">): Promise<CommitResult> {
    const head = await this.head();
    if (head.err) return head.val;
    const { attempt, on } = edit;
    if (configurationRevision(head.val) !== on) {
      return await this.#resolve({ attempt, revision: on + 1 }, head.val);
    }
    const message = `No edit of revision "${on}" was accepted so far`;
    return { ending: EditOutcome.Unknown, message };
  }

  /** Commits the edit as the revision after `head`. */
  async #replaceHead(
    edit: Edit,
    head: Some<StoredRevision>,
  ): Promise<CommitResult> {
    const prepared = await this.#archiveHead(edit, head.value);
    if (prepared.err) return prepared.val;
    return await this.#writeHead(edit, head, edit.on + 1);
  }

  async #writeHead(
    edit: Edit,
    head: Option<StoredRevision>,
    revision: number,
  ): Promise<CommitResult> {
    const stamp: RevisionMetadata = {
      revision,
      attempt: edit.attempt,
      author: edit.author,
      note: edit.note,
      at: new Date(this.#clock.wall()).toISOString(),
    };
    const text = encodeConfiguration({ ...stamp, tables: edit.tables });
    if (text.err) return { ending: EditOutcome.Invalid, problems: text.val };
    const expected = keyRevision(
      map(({ entry }: StoredRevision) => entry)(head),
    );
    const sent = await this.#swapHead(text.val, expected);
    if (sent.err) return sent.val;
    if (!sent.val.applied) {
      return await this.#resolveAgainst(stamp, sent.val.current);
    }
    await this.#prune(revision - 1 - maxArchivedRevisions(text.val));
    return { ending: EditOutcome.Accepted, stamp };
  }

  /** Archives the head and marks the callers' keys that the edit withdraws. */
  async #archiveHead(
    edit: Edit,
    head: StoredRevision,
  ): Promise<Result<true, CommitResult>> {
    const key = archiveKey(head.stamp.revision);
    const archived = await this.#createOnce(key, head.entry.value);
    if (archived.err) return archived;
    if (archived.val !== head.entry.value) return Err(damaged(key));
    if (head.tables.err) return Ok(true);
    const granted = keyHashes(edit.tables);
    for (const hash of keyHashes(head.tables.val)) {
      if (granted.has(hash)) continue;
      const mark = await this.#createOnce(
        WITHDRAWN_PREFIX + hash,
        edit.attempt,
      );
      if (mark.err) return mark;
    }
    return Ok(true);
  }

  /**
   * The revision for an absent head: 1, or a number higher than any that a lost
   * head can have had, so that no daemon takes the new head for an old one.
   */
  async #firstRevision(): Promise<Result<number, CommitResult>> {
    let last = 0;
    for (;;) {
      const after = archiveKey(last);
      const page = await this.#retry(() =>
        this.#keyValue.range(ARCHIVE_PREFIX, { after, limit: 100 })
      );
      if (page.err) return page;
      const newest = page.val.at(-1);
      if (newest === undefined) return Ok(last === 0 ? 1 : last + 2);
      last = Number(newest.key.slice(ARCHIVE_PREFIX.length));
      if (!Number.isSafeInteger(last)) return Err(damaged(newest.key));
    }
  }

  /** Creates a key unless it exists; returns the value stored under it. */
  async #createOnce(
    key: string,
    value: string,
  ): Promise<Result<string, CommitResult>> {
    const swap = await this.#retry(() =>
      this.#keyValue.swap(key, { value, expected: 0 })
    );
    if (swap.err) return swap;
    if (swap.val.applied) return Ok(value);
    const { current } = swap.val;
    return isNone(current) ? Err(damaged(key)) : Ok(current.value.value);
  }

  /**
   * Retries the swap of the head until it is answered. If an answer is lost,
   * the head is read; while it is unchanged, the same swap is sent again, since
   * at most one of them can take effect.
   */
  async #swapHead(
    value: string,
    expected: number,
  ): Promise<Result<SwapResult, CommitResult>> {
    let mayHaveApplied = false;
    const sent = await this.#retry<SwapResult>(async () => {
      const swap = await this.#keyValue.swap(CONFIGURATION_KEY, {
        value,
        expected,
      });
      if (swap.ok || swap.val.fault !== Fault.Unknown) return swap;
      mayHaveApplied = true;
      const read = await this.#keyValue.get(CONFIGURATION_KEY);
      if (read.err) return read;
      const unchanged = keyRevision(read.val) === expected;
      return unchanged ? swap : Ok({ applied: false, current: read.val });
    });
    if (sent.ok || !mayHaveApplied) return sent;
    return Err({ ending: EditOutcome.Unknown, message: sent.val.message });
  }

  async #resolveAgainst(
    edit: EditIdentity,
    current: Option<KeyValueEntry>,
  ): Promise<CommitResult> {
    if (isNone(current)) return await this.#resolve(edit, none);
    const stored = decodeStored(current.value);
    if (stored.err) return { ...stored.val, ending: EditOutcome.Unknown };
    return await this.#resolve(edit, some(stored.val));
  }

  /** Determines whether `edit` or another edit became `edit.revision`. */
  async #resolve(
    edit: EditIdentity,
    head: Option<StoredRevision>,
  ): Promise<CommitResult> {
    if (isNone(head)) {
      return { ending: EditOutcome.Lost, winner: none, head: none };
    }
    const newest = head.value.stamp;
    if (newest.attempt === edit.attempt) {
      return { ending: EditOutcome.Accepted, stamp: newest };
    }
    if (newest.revision < edit.revision) {
      return { ending: EditOutcome.Lost, winner: none, head: some(newest) };
    }
    const target = newest.revision === edit.revision
      ? Ok(head)
      : await this.#readRevision(archiveKey(edit.revision));
    if (target.err) return { ...target.val, ending: EditOutcome.Unknown };
    if (isNone(target.val)) {
      const message = `Revision "${edit.revision}" is no longer stored`;
      return { ending: EditOutcome.Unknown, message };
    }
    const winner = target.val.value.stamp;
    return winner.attempt === edit.attempt
      ? { ending: EditOutcome.Accepted, stamp: winner }
      : { ending: EditOutcome.Lost, winner: some(winner), head: some(newest) };
  }

  async #readRevision(
    key: string,
  ): Promise<Result<Option<StoredRevision>, ReadFailure>> {
    const entry = await this.#retry(() => this.#keyValue.get(key));
    if (entry.err) return entry;
    if (isNone(entry.val)) return Ok(none);
    return decodeStored(entry.val.value).map(some);
  }

  /** Retries an idempotent call with backoff until the retry timeout. */
  async #retry<T>(
    call: () => Promise<Result<T, Failure>>,
  ): Promise<Result<T, ReadFailure>> {
    const end = this.#clock.now() + this.#retryTimeoutMs;
    let backoffMs = MIN_BACKOFF_MS;
    for (;;) {
      const answer = await call();
      if (answer.ok) return answer;
      if (this.#clock.now() + backoffMs > end) {
        const { message } = answer.val;
        return Err({ ending: EditOutcome.Unreached, message });
      }
      await this.#clock.sleep(backoffMs);
      backoffMs = Math.min(backoffMs * 2, MAX_BACKOFF_MS);
    }
  }

  /** Removes a few archived revisions up to `last`; later edits remove more. */
  async #prune(last: number): Promise<void> {
    if (last < 1) return;
    const oldest = await this.#keyValue.range(ARCHIVE_PREFIX, {
      limit: MAX_PRUNED_PER_EDIT,
    });
    if (oldest.err) return;
    const dropped = oldest.val.filter(({ key }) => key <= archiveKey(last));
    for (const { key, revision } of dropped) {
      await this.#keyValue.remove(key, revision);
    }
  }
}

/** How many revisions of this size the archive may hold. */
function maxArchivedRevisions(text: string): number {
  const fitting = Math.floor(MAX_ARCHIVE_BYTES / Buffer.byteLength(text));
  return Math.max(
    MIN_ARCHIVED_REVISIONS,
    Math.min(MAX_ARCHIVED_REVISIONS, fitting),
  );
}

/** The hashes of all keys in the tables. */
export function keyHashes(tables: Tables): ReadonlySet<string> {
  return new Set(
    tables.routes.flatMap((route) => route.keys.map((key) => key.sha256)),
  );
}

function archiveKey(revision: number): string {
  return ARCHIVE_PREFIX + String(revision).padStart(REVISION_DIGITS, "0");
}

function configurationRevision(head: Option<StoredRevision>): number {
  return isNone(head) ? 0 : head.value.stamp.revision;
}

function keyRevision(entry: Option<KeyValueEntry>): number {
  return isNone(entry) ? 0 : entry.value.revision;
}

function decodeStored(
  entry: KeyValueEntry,
): Result<StoredRevision, ReadFailure> {
  const stamp = decodeRevisionMetadata(entry.value);
  if (stamp.err) return Err(damaged(entry.key));
  const tables = decodeConfiguration(entry.value)
    .map((configuration: Configuration) => configuration.tables);
  return Ok({ entry, stamp: stamp.val, tables });
}

function damaged(key: string): ReadFailure {
  const message = `The value stored under "${key}" is damaged`;
  return { ending: EditOutcome.Damaged, message };
}
