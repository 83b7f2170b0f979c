/**
 * The chain of configurations in the platform's service. One key, the head,
 * holds the newest; whoever replaces it first archives it under its revision,
 * so every revision before the head stands in the archive, whole.
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

/** Where revisions that were replaced are kept. */
export const ARCHIVE_PREFIX = "toucanwind/history/";

/** Where the hashes of withdrawn keys are kept. */
export const WITHDRAWN_PREFIX = "toucanwind/withdrawn/";

const REVISION_DIGITS = 16;
const MAX_ARCHIVED = 1_000;
const MIN_ARCHIVED = 20;
const ARCHIVE_BYTES = 33_554_432;
/** More than one, so that the archive shrinks when its length does. */
const PRUNED_PER_EDIT = 3;
const FIRST_PAUSE_MS = 50;
const LONGEST_PAUSE_MS = 1_000;

/** A stored revision, with its tables where they pass today's checks. */
export interface Stored {
  readonly entry: KeyValueEntry;
  readonly stamp: RevisionMetadata;
  readonly tables: Result<Tables, readonly Problem[]>;
}

/** An edit of the tables, made from a known revision. */
export interface Edit {
  /** The revision edited from; 0 where there is none yet. */
  readonly on: number;
  readonly tables: Tables;
  /** Unique to the edit. A resend of the edit carries it again. */
  readonly attempt: string;
  readonly author: string;
  readonly note: string;
}

/** How an edit ended. */
export enum EditOutcome {
  /** It is a revision of the chain. */
  Accepted = "accepted",
  /** Another edit of the same revision came first; this one has no effect. */
  Lost = "lost",
  /** Its tables are at fault; it has no effect. */
  Invalid = "invalid",
  /** The service gave no answer, but the edit surely has no effect. */
  Unreached = "unreached",
  /** The edit may have taken effect, or may do so yet. */
  Unknown = "unknown",
  /** What the service holds can't be read; the edit has no effect. */
  Damaged = "damaged",
}

/** The end of an edit and what its author should know of it. */
export type Commit =
  | { readonly ending: EditOutcome.Accepted; readonly stamp: RevisionMetadata }
  | {
    readonly ending: EditOutcome.Lost;
    /** The edit that came first, where it is still known. */
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

/** Why a read of the chain gave nothing. */
export interface Unread {
  readonly ending: EditOutcome.Unreached | EditOutcome.Damaged;
  readonly message: string;
}

/** What identifies an edit in the chain. */
interface Candidate {
  readonly attempt: string;
  /** The revision that the edit is to become. */
  readonly revision: number;
}

/** Reads and extends the chain of configurations. */
export class RevisionStore {
  readonly #keyValue: KeyValue;
  readonly #clock: Clock;
  readonly #patienceMs: number;

  constructor(options: {
    keyValue: KeyValue;
    clock: Clock;
    /** How long to go on asking a service that does not answer. */
    retryTimeoutMs?: number;
  }) {
    this.#keyValue = options.keyValue;
    this.#clock = options.clock;
    this.#patienceMs = options.retryTimeoutMs ?? 15_000;
  }

  /** The newest revision; `None` before the first. */
  async head(): Promise<Result<Option<Stored>, Unread>> {
    return await this.#read(CONFIGURATION_KEY);
  }

  /** One revision of the chain; `None` if it isn't kept. */
  async at(revision: number): Promise<Result<Option<Stored>, Unread>> {
    const head = await this.head();
    if (head.err || isNone(head.val)) return head;
    if (head.val.value.stamp.revision === revision) return head;
    return await this.#read(archiveKey(revision));
  }

  /** The newest revisions, at most `limit`, the newest first. */
  async list(
    limit: number,
  ): Promise<Result<readonly RevisionMetadata[], Unread>> {
    const head = await this.head();
    if (head.err) return head;
    if (isNone(head.val)) return Ok([]);
    const newest = head.val.value.stamp;
    const after = archiveKey(Math.max(0, newest.revision - limit));
    // Read after the head: each revision before it is archived by now.
    const archived = await this.#insist(() =>
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

  /** Of these key hashes, the ones that were withdrawn at some time. */
  async withdrawn(
    hashes: readonly string[],
  ): Promise<Result<readonly string[], Unread>> {
    const found: string[] = [];
    for (const hash of hashes) {
      const entry = await this.#insist(() =>
        this.#keyValue.get(WITHDRAWN_PREFIX + hash)
      );
      if (entry.err) return entry;
      if (!isNone(entry.val)) found.push(hash);
    }
    return Ok(found);
  }

  /**
   * Adds a revision to the chain if `edit.on` is still the newest. May be
   * called again with the same edit: it takes effect at most once.
   */
  async commit(edit: Edit): Promise<Commit> {
    const head = await this.head();
    if (head.err) return head.val;
    if (stampRevision(head.val) !== edit.on) {
      return await this.#settle({ ...edit, revision: edit.on + 1 }, head.val);
    }
    if (isSome(head.val)) return await this.#follow(edit, head.val);
    const revision = await this.#firstRevision();
    if (revision.err) return revision.val;
    if (revision.val === 1) return await this.#write(edit, none, 1);
    // Where there is an archive there is a head, unless it was lost.
    const again = await this.head();
    if (again.err) return again.val;
    return isSome(again.val)
      ? await this.#settle({ ...edit, revision: 1 }, again.val)
      : await this.#write(edit, none, revision.val);
  }

  /** Finds out how an edit ended that was sent earlier, sending nothing. */
  async outcome(edit: Pick<Edit, "attempt" | "on">): Promise<Commit> {
    const head = await this.head();
    if (head.err) return head.val;
    const { attempt, on } = edit;
    if (stampRevision(head.val) !== on) {
      return await this.#settle({ attempt, revision: on + 1 }, head.val);
    }
    const message = `No edit of revision "${on}" was accepted so far`;
    return { ending: EditOutcome.Unknown, message };
  }

  /** Makes the edit the revision after `head`. */
  async #follow(edit: Edit, head: Some<Stored>): Promise<Commit> {
    const prepared = await this.#prepare(edit, head.value);
    if (prepared.err) return prepared.val;
    return await this.#write(edit, head, edit.on + 1);
  }

  async #write(
    edit: Edit,
    head: Option<Stored>,
    revision: number,
  ): Promise<Commit> {
    const stamp: RevisionMetadata = {
      revision,
      attempt: edit.attempt,
      author: edit.author,
      note: edit.note,
      at: new Date(this.#clock.wall()).toISOString(),
    };
    const text = encodeConfiguration({ ...stamp, tables: edit.tables });
    if (text.err) return { ending: EditOutcome.Invalid, problems: text.val };
    const expected = revisionIn(map(({ entry }: Stored) => entry)(head));
    const sent = await this.#send(text.val, expected);
    if (sent.err) return sent.val;
    if (!sent.val.applied) {
      return await this.#settleOn(stamp, sent.val.current);
    }
    await this.#prune(revision - 1 - archiveLength(text.val));
    return { ending: EditOutcome.Accepted, stamp };
  }

  /** Archives the head and marks the keys that the edit withdraws. */
  async #prepare(edit: Edit, head: Stored): Promise<Result<true, Commit>> {
    const key = archiveKey(head.stamp.revision);
    const kept = await this.#keep(key, head.entry.value);
    if (kept.err) return kept;
    if (kept.val !== head.entry.value) return Err(damaged(key));
    if (head.tables.err) return Ok(true);
    const granted = keyHashes(edit.tables);
    for (const hash of keyHashes(head.tables.val)) {
      if (granted.has(hash)) continue;
      const mark = await this.#keep(WITHDRAWN_PREFIX + hash, edit.attempt);
      if (mark.err) return mark;
    }
    return Ok(true);
  }

  /**
   * The revision for an absent head: 1, or one more than a lost head can have
   * had, so that no daemon takes the new head for an old one.
   */
  async #firstRevision(): Promise<Result<number, Commit>> {
    let last = 0;
    for (;;) {
      const after = archiveKey(last);
      const page = await this.#insist(() =>
        this.#keyValue.range(ARCHIVE_PREFIX, { after, limit: 100 })
      );
      if (page.err) return page;
      const newest = page.val.at(-1);
      if (newest === undefined) return Ok(last === 0 ? 1 : last + 2);
      last = Number(newest.key.slice(ARCHIVE_PREFIX.length));
      if (!Number.isSafeInteger(last)) return Err(damaged(newest.key));
    }
  }

  /** Makes a key that never changes; gives the value that it has now. */
  async #keep(key: string, value: string): Promise<Result<string, Commit>> {
    const swap = await this.#insist(() =>
      this.#keyValue.swap(key, { value, expected: 0 })
    );
    if (swap.err) return swap;
    if (swap.val.applied) return Ok(value);
    const { current } = swap.val;
    return isNone(current) ? Err(damaged(key)) : Ok(current.value.value);
  }

  /**
   * Swaps the head until there is an answer. When one is lost, the head is
   * read; while it is unchanged, the same swap is sent again, since of all
   * these only one can take effect.
   */
  async #send(
    value: string,
    expected: number,
  ): Promise<Result<SwapResult, Commit>> {
    let mayStand = false;
    const sent = await this.#insist<SwapResult>(async () => {
      const swap = await this.#keyValue.swap(CONFIGURATION_KEY, {
        value,
        expected,
      });
      if (swap.ok || swap.val.fault !== Fault.Unknown) return swap;
      mayStand = true;
      const read = await this.#keyValue.get(CONFIGURATION_KEY);
      if (read.err) return read;
      const unchanged = revisionIn(read.val) === expected;
      return unchanged ? swap : Ok({ applied: false, current: read.val });
    });
    if (sent.ok || !mayStand) return sent;
    return Err({ ending: EditOutcome.Unknown, message: sent.val.message });
  }

  async #settleOn(
    mine: Candidate,
    current: Option<KeyValueEntry>,
  ): Promise<Commit> {
    if (isNone(current)) return await this.#settle(mine, none);
    const stored = storedIn(current.value);
    if (stored.err) return { ...stored.val, ending: EditOutcome.Unknown };
    return await this.#settle(mine, some(stored.val));
  }

  /** Finds out whose edit became the revision that `mine` was to become. */
  async #settle(mine: Candidate, head: Option<Stored>): Promise<Commit> {
    if (isNone(head)) {
      return { ending: EditOutcome.Lost, winner: none, head: none };
    }
    const newest = head.value.stamp;
    if (newest.attempt === mine.attempt) {
      return { ending: EditOutcome.Accepted, stamp: newest };
    }
    if (newest.revision < mine.revision) {
      return { ending: EditOutcome.Lost, winner: none, head: some(newest) };
    }
    const became = newest.revision === mine.revision
      ? Ok(head)
      : await this.#read(archiveKey(mine.revision));
    if (became.err) return { ...became.val, ending: EditOutcome.Unknown };
    if (isNone(became.val)) {
      const message = `Revision "${mine.revision}" is no longer kept`;
      return { ending: EditOutcome.Unknown, message };
    }
    const winner = became.val.value.stamp;
    return winner.attempt === mine.attempt
      ? { ending: EditOutcome.Accepted, stamp: winner }
      : { ending: EditOutcome.Lost, winner: some(winner), head: some(newest) };
  }

  async #read(key: string): Promise<Result<Option<Stored>, Unread>> {
    const entry = await this.#insist(() => this.#keyValue.get(key));
    if (entry.err) return entry;
    if (isNone(entry.val)) return Ok(none);
    return storedIn(entry.val.value).map(some);
  }

  /** Repeats a harmless call until it is answered or patience ends. */
  async #insist<T>(
    call: () => Promise<Result<T, Failure>>,
  ): Promise<Result<T, Unread>> {
    const end = this.#clock.now() + this.#patienceMs;
    let pauseMs = FIRST_PAUSE_MS;
    for (;;) {
      const answer = await call();
      if (answer.ok) return answer;
      if (this.#clock.now() + pauseMs > end) {
        const { message } = answer.val;
        return Err({ ending: EditOutcome.Unreached, message });
      }
      await this.#clock.sleep(pauseMs);
      pauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS);
    }
  }

  /** Drops a few revisions up to `last`; the next edit goes on with it. */
  async #prune(last: number): Promise<void> {
    if (last < 1) return;
    const oldest = await this.#keyValue.range(ARCHIVE_PREFIX, {
      limit: PRUNED_PER_EDIT,
    });
    if (oldest.err) return;
    const dropped = oldest.val.filter(({ key }) => key <= archiveKey(last));
    for (const { key, revision } of dropped) {
      await this.#keyValue.remove(key, revision);
    }
  }
}

/** How many revisions of this size are kept before the head. */
function archiveLength(text: string): number {
  const fitting = Math.floor(ARCHIVE_BYTES / Buffer.byteLength(text));
  return Math.max(MIN_ARCHIVED, Math.min(MAX_ARCHIVED, fitting));
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

function stampRevision(head: Option<Stored>): number {
  return isNone(head) ? 0 : head.value.stamp.revision;
}

function revisionIn(entry: Option<KeyValueEntry>): number {
  return isNone(entry) ? 0 : entry.value.revision;
}

function storedIn(entry: KeyValueEntry): Result<Stored, Unread> {
  const stamp = decodeRevisionMetadata(entry.value);
  if (stamp.err) return Err(damaged(entry.key));
  const tables = decodeConfiguration(entry.value)
    .map((configuration: Configuration) => configuration.tables);
  return Ok({ entry, stamp: stamp.val, tables });
}

function damaged(key: string): Unread {
  const message = `The value of "${key}" is not what was stored there`;
  return { ending: EditOutcome.Damaged, message };
}
