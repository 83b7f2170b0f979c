/**
 * Sealing: turns the books of a window into reports that never change again.
 * The seal names how far each book went into it; what a book holds beyond
 * that is late and goes into the next open window under its own name.
 *
 * @module
 */

import type { Report, ReportLine } from "../platform/mod.ts";
import type { BookEntry, BookId } from "./book.ts";

/** A copy of a book as collected for sealing. */
export interface BookCopy extends BookId {
  readonly entries: readonly BookEntry[];
}

/** Which window was sealed, and how far each book went into it. */
export interface Sealed {
  /** Start of the window, wall time in milliseconds. */
  readonly window: number;
  /** Last entry number of each daemon run's book that went in. */
  readonly included: Readonly<Record<string, number>>;
}

/** A window's figures, written once. */
export interface Seal extends Sealed {
  readonly holder: string;
  readonly term: number;
  /** Unique to the write, so that its author recognises it. */
  readonly attempt: string;
  /** Ids of shared uses that went in. */
  readonly shared: readonly string[];
  /** The text of each tenant's report. */
  readonly reports: Readonly<Record<string, string>>;
}

/** The window that holds a moment of wall time. */
export function windowOf(wallMs: number, lengthMs: number): number {
  return Math.floor(wallMs / lengthMs) * lengthMs;
}

/** The longest copy of each book. */
export function longestCopies(
  copies: readonly BookCopy[],
): readonly BookCopy[] {
  const longest = new Map<string, BookCopy>();
  for (const copy of copies) {
    const key = `${copy.incarnation}/${copy.window}`;
    const known = longest.get(key);
    if (known === undefined || copy.entries.length > known.entries.length) {
      longest.set(key, copy);
    }
  }
  return [...longest.values()];
}

/** Makes a window's seal from all copies of its books. */
export function seal(
  copies: readonly BookCopy[],
  options: {
    window: number;
    holder: string;
    term: number;
    attempt: string;
    /** Ids of shared uses in earlier seals. */
    sealedShared: ReadonlySet<string>;
  },
): Seal {
  const { sealedShared, ...author } = options;
  const books = longestCopies(copies)
    .filter((copy) => copy.window === options.window);
  const entries = withoutRepeats(
    books.flatMap((book) => book.entries),
    sealedShared,
  );
  return {
    ...author,
    included: Object.fromEntries(
      books.map((book) => [book.incarnation, book.entries.length]),
    ),
    shared: entries
      .filter(({ use }) => use.shared === true)
      .map(({ use }) => use.id),
    reports: reportTexts(entries, author),
  };
}

function withoutRepeats(
  entries: readonly BookEntry[],
  sealed: ReadonlySet<string>,
): readonly BookEntry[] {
  const seen = new Set(sealed);
  return entries.filter(({ use }) => {
    if (use.shared !== true) return true;
    if (seen.has(use.id)) return false;
    seen.add(use.id);
    return true;
  });
}

function reportTexts(
  entries: readonly BookEntry[],
  author: { window: number; holder: string; term: number },
): Readonly<Record<string, string>> {
  const tenants = [...new Set(entries.map(({ use }) => use.tenant))].sort();
  return Object.fromEntries(tenants.map((tenant) => {
    const own = entries.filter(({ use }) => use.tenant === tenant);
    const report: Report = {
      tenant,
      window: new Date(author.window).toISOString(),
      holder: author.holder,
      term: author.term,
      lines: reportLines(own),
    };
    return [tenant, JSON.stringify(report)];
  }));
}

function reportLines(entries: readonly BookEntry[]): readonly ReportLine[] {
  const lines = new Map<string, ReportLine>();
  for (const { use, lateFrom } of entries) {
    const late = lateFrom === 0 ? "" : new Date(lateFrom).toISOString();
    const key = `${use.route}\n${late}`;
    lines.set(key, addUse(lines.get(key) ?? emptyLine(use.route, late), use));
  }
  return [...lines.entries()]
    .sort(([a], [b]) => a < b ? -1 : 1)
    .map(([, line]) => line);
}

function emptyLine(route: string, lateFrom: string): ReportLine {
  return { route, lateFrom, requests: 0, promptTokens: 0, outputTokens: 0 };
}

function addUse(line: ReportLine, use: BookEntry["use"]): ReportLine {
  return {
    ...line,
    requests: line.requests + (use.requests ?? 1),
    promptTokens: line.promptTokens + use.promptTokens,
    outputTokens: line.outputTokens + use.outputTokens,
  };
}
