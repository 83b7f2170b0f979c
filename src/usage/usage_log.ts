/**
 * The usage log of one run of a daemon in one usage window. Entries are
 * numbered from 1 and never change, so two copies of a log differ only in
 * length, and the shorter one is a prefix of the longer.
 *
 * @module
 */

import type { ReportLine } from "../outside/mod.ts";
import type { UsageRecord } from "./mod.ts";

/** A usage record with its number in the log. */
export interface UsageLogEntry {
  readonly seq: number;
  readonly use: UsageRecord;
  /** Start of the window it belongs to if that was sealed; otherwise 0. */
  readonly lateFrom: number;
}

/** Identifies a log by a run of a daemon and the start of a window. */
export interface UsageLogId {
  readonly incarnation: string;
  /** Start of the window, wall time in milliseconds. */
  readonly window: number;
}

/** The total usage of one route by an organisation. */
export interface OrganisationLine extends ReportLine {
  readonly tenant: string;
}

/**
 * A log as it enters a seal: its records are summed up, except for those that
 * other daemons may have recorded too.
 */
export interface UsageLogSummary extends UsageLogId {
  /** Number of the last entry that is included. */
  readonly seq: number;
  readonly lines: readonly OrganisationLine[];
  readonly shared: readonly UsageLogEntry[];
}

/** The usage recorded by one run of a daemon in one window. */
export class UsageLog {
  readonly id: UsageLogId;
  readonly #entries: UsageLogEntry[] = [];
  readonly #shared: UsageLogEntry[] = [];
  readonly #lines = new Map<string, OrganisationLine>();

  constructor(options: UsageLogId) {
    this.id = { incarnation: options.incarnation, window: options.window };
  }

  /** Number of the last entry; 0 for an empty log. */
  get seq(): number {
    return this.#entries.length;
  }

  /** Appends a record and returns its number. */
  add(use: UsageRecord, lateFrom: number): number {
    const seq = this.seq + 1;
    this.#append({ seq, use, lateFrom });
    return seq;
  }

  /**
   * Appends entries of another copy and returns the last number that this copy
   * has. Entries that would leave a gap are ignored.
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

  /** The log summed up. */
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

/** Adds an entry to the line of its organisation, route and late window. */
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

/** Adds a line to the one of its organisation, route and late window. */
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

/** Usage logs by run and window. */
export class UsageLogs {
  readonly #logs = new Map<string, UsageLog>();

  /** The log, created if it does not exist. */
  open(id: UsageLogId): UsageLog {
    const key = logKey(id);
    const existing = this.#logs.get(key);
    if (existing !== undefined) return existing;
    const usageLog = new UsageLog(id);
    this.#logs.set(key, usageLog);
    return usageLog;
  }

  /** Removes a log. */
  remove(id: UsageLogId): void {
    this.#logs.delete(logKey(id));
  }

  /** All logs, the oldest window first. */
  get logs(): readonly UsageLog[] {
    return [...this.#logs.values()]
      .sort((a, b) => a.id.window - b.id.window);
  }
}

function logKey(id: UsageLogId): string {
  return `${id.incarnation}/${id.window}`;
}
