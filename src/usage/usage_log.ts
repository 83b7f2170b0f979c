/**
 * A book: what one run of one daemon recorded in one usage window. Entries
 * are numbered from 1 and never change, so two copies of a book differ only
 * in how far they go, and the longer one holds the shorter.
 *
 * @module
 */

import type { ReportLine } from "../outside/mod.ts";
import type { UsageRecord } from "./mod.ts";

/** A use with its place in the book. */
export interface BookEntry {
  readonly seq: number;
  readonly use: UsageRecord;
  /** Start of the window in which it happened, where that was closed. */
  readonly lateFrom: number;
}

/** Which book: a run of a daemon and the start of a window. */
export interface BookId {
  readonly incarnation: string;
  /** Wall time in milliseconds. */
  readonly window: number;
}

/** What a tenant's uses of one route come to. */
export interface TenantLine extends ReportLine {
  readonly tenant: string;
}

/**
 * A book as it goes into a seal: its uses summed up, but for those that
 * another daemon may have recorded too.
 */
export interface UsageLogSummary extends BookId {
  /** Number of the last entry that is summed up. */
  readonly seq: number;
  readonly lines: readonly TenantLine[];
  readonly shared: readonly BookEntry[];
}

/** The entries of one daemon's run in one window. */
export class UsageLog {
  readonly id: BookId;
  readonly #entries: BookEntry[] = [];
  readonly #shared: BookEntry[] = [];
  readonly #lines = new Map<string, TenantLine>();

  constructor(options: BookId) {
    this.id = { incarnation: options.incarnation, window: options.window };
  }

  /** Number of the last entry; 0 for an empty book. */
  get seq(): number {
    return this.#entries.length;
  }

  /** Writes a use down and returns its number. */
  add(use: UsageRecord, lateFrom: number): number {
    const seq = this.seq + 1;
    this.#append({ seq, use, lateFrom });
    return seq;
  }

  /**
   * Takes in entries of another copy. Entries that would leave a gap are
   * refused: the answer is the last number that this copy holds.
   */
  merge(entries: readonly BookEntry[]): number {
    for (const entry of entries) {
      if (entry.seq === this.seq + 1) this.#append(entry);
    }
    return this.seq;
  }

  /** The entries after number `seq`. */
  after(seq: number): readonly BookEntry[] {
    return this.#entries.slice(seq);
  }

  /** The book summed up. */
  get summary(): UsageLogSummary {
    return {
      ...this.id,
      seq: this.seq,
      lines: [...this.#lines.values()],
      shared: [...this.#shared],
    };
  }

  #append(entry: BookEntry): void {
    this.#entries.push(entry);
    if (entry.use.shared === true) this.#shared.push(entry);
    else addEntry(this.#lines, entry);
  }
}

/** Adds an entry to the line of its tenant, route and window. */
export function addEntry(
  lines: Map<string, TenantLine>,
  { use, lateFrom }: BookEntry,
): void {
  addLine(lines, {
    tenant: use.tenant,
    route: use.route,
    lateFrom: lateFrom === 0 ? "" : new Date(lateFrom).toISOString(),
    requests: use.requests ?? 1,
    promptTokens: use.promptTokens,
    outputTokens: use.outputTokens,
  });
}

/** Adds a line to the one of its tenant, route and window. */
export function addLine(
  lines: Map<string, TenantLine>,
  line: TenantLine,
): void {
  const key = `${line.tenant}\n${line.route}\n${line.lateFrom}`;
  const known = lines.get(key);
  lines.set(
    key,
    known === undefined ? line : {
      ...known,
      requests: known.requests + line.requests,
      promptTokens: known.promptTokens + line.promptTokens,
      outputTokens: known.outputTokens + line.outputTokens,
    },
  );
}

/** Books by run and window. */
export class Shelf {
  readonly #books = new Map<string, UsageLog>();

  /** The book, made empty if it isn't there. */
  open(id: BookId): UsageLog {
    const key = shelfKey(id);
    const found = this.#books.get(key);
    if (found !== undefined) return found;
    const book = new UsageLog(id);
    this.#books.set(key, book);
    return book;
  }

  /** Takes a book away. */
  remove(id: BookId): void {
    this.#books.delete(shelfKey(id));
  }

  /** All books, the oldest window first. */
  get books(): readonly UsageLog[] {
    return [...this.#books.values()]
      .sort((a, b) => a.id.window - b.id.window);
  }
}

function shelfKey(id: BookId): string {
  return `${id.incarnation}/${id.window}`;
}
