/**
 * Sealing: turns the books of a window into reports that never change again.
 * The seal names how far each book went into it; what a book holds beyond
 * that is late and goes into the next open window under its own name.
 *
 * @module
 */

import type { Report } from "../outside/mod.ts";
import {
  addEntry,
  addLine,
  type BookEntry,
  type TenantLine,
  type UsageLogSummary,
} from "./usage_log.ts";

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
  copies: readonly UsageLogSummary[],
): readonly UsageLogSummary[] {
  const longest = new Map<string, UsageLogSummary>();
  for (const copy of copies) {
    const key = `${copy.incarnation}/${copy.window}`;
    const known = longest.get(key);
    if (known === undefined || copy.seq > known.seq) longest.set(key, copy);
  }
  return [...longest.values()];
}

/** Makes a window's seal from all copies of its books. */
export function createSeal(
  copies: readonly UsageLogSummary[],
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
  const shared = withoutRepeats(
    books.flatMap((book) => book.shared),
    sealedShared,
  );
  const lines = new Map<string, TenantLine>();
  for (const line of books.flatMap((book) => book.lines)) addLine(lines, line);
  for (const entry of shared) addEntry(lines, entry);
  return {
    ...author,
    included: Object.fromEntries(
      books.map((book) => [book.incarnation, book.seq]),
    ),
    shared: shared.map(({ use }) => use.id),
    reports: reportTexts(lines, author),
  };
}

function withoutRepeats(
  entries: readonly BookEntry[],
  sealed: ReadonlySet<string>,
): readonly BookEntry[] {
  const seen = new Set(sealed);
  return entries.filter(({ use }) => {
    if (seen.has(use.id)) return false;
    seen.add(use.id);
    return true;
  });
}

function reportTexts(
  lines: ReadonlyMap<string, TenantLine>,
  author: { window: number; holder: string; term: number },
): Readonly<Record<string, string>> {
  const sorted = [...lines].sort(([a], [b]) => a < b ? -1 : 1)
    .map(([, line]) => line);
  const tenants = [...new Set(sorted.map(({ tenant }) => tenant))];
  return Object.fromEntries(tenants.map((tenant) => {
    const report: Report = {
      tenant,
      window: new Date(author.window).toISOString(),
      holder: author.holder,
      term: author.term,
      lines: sorted.filter((line) => line.tenant === tenant)
        .map(({ tenant: _tenant, ...line }) => line),
    };
    return [tenant, JSON.stringify(report)];
  }));
}
