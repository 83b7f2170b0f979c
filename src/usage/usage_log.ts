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
export interface UsageLogEntry {
  readonly seq: number;
  readonly use: UsageRecord;
  /** Start of the window in which it happened, where that was closed. */
  readonly lateFrom: number;
}

/** Which book: a run of a daemon and the start of a window. */
export interface UsageLogId {
  readonly incarnation: string;
  /** Wall time in milliseconds. */
  readonly window: number;
}

/** What a tenant's uses of one route come to. */
export interface OrganisationLine extends ReportLine {
  readonly tenant: string;
}

/**
 * A book as it goes into a seal: its uses summed up, but for those that
 * another daemon may have recorded too.
 */
export interface UsageLogSummary extends UsageLogId {
  /** Number of the last entry that is summed up. */
  readonly seq: number;
  readonly lines: readonly OrganisationLine[];
  readonly shared: readonly UsageLogEntry[];
}

/** The entries of one daemon's run in one window. */
export class UsageLog {
  readonly id: UsageLogId;
  readonly #entries: UsageLogEntry[] = [];
  readonly #shared: UsageLogEntry[] = [];
  readonly #lines = new Map<string, OrganisationLine>();

  constructor(options: UsageLogId) {
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
  merge(entries: readonly UsageLogEntry[]): number {
    for (const entry of entries) {
      if (entry.seq === this.seq + 1) this.#append(entry);
    }
    return this.seq;
  }

  /** The entries after number `seq`. */
  after(seq: number): readonly UsageLogEntry[] {
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

  #append(entry: UsageLogEntry): void {
    this.#entries.push(entry);
    if (entry.use.shared === true) this.#shared.push(entry);
    else addEntry(this.#lines, entry);
  }
}

/** Adds an entry to the line of its tenant, route and window. */
export function addEntry(
  lines: Map<string, OrganisationLine>,
  { use, lateFrom }: UsageLogEntry,
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
  lines: Map<string, OrganisationLine>,
  line: OrganisationLine,
): void {
  const key = `${line.tenant}\n${line.route}\n${line.lateFrom}`;
  const existing = lines.get(key);
  lines.set(
    key,
    existing === undefined ? line : {
      ...existing,
      requests: existing.requests + line.requests,
      promptTokens: existing.promptTokens + line.promptTokens,
      outputTokens: existing.outputTokens + line.outputTokens,
    },
  );
}

/** Books by run and window. */
export class UsageLogs {
  readonly #logs = new Map<string, UsageLog>();

  /** The book, made empty if it isn't there. */
  open(id: UsageLogId): UsageLog {
    const key = logKey(id);
    const existing = this.#logs.get(key);
    if (existing !== undefined) return existing;
    const usageLog = new UsageLog(id);
    this.#logs.set(key, usageLog);
    return usageLog;
  }

  /** Takes a book away. */
  remove(id: UsageLogId): void {
    this.#logs.delete(logKey(id));
  }

  /** All books, the oldest window first. */
  get logs(): readonly UsageLog[] {
    return [...this.#logs.values()]
      .sort((a, b) => a.id.window - b.id.window);
  }
}

function logKey(id: UsageLogId): string {
  return `${id.incarnation}/${id.window}`;
}
