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
  type OrganisationLine,
  type UsageLogEntry,
  type UsageLogSummary,
} from "./usage_log.ts";

/** Which window was sealed, and how far each book went into it. */
export interface SealedWindow {
  /** Start of the window, wall time in milliseconds. */
  readonly window: number;
  /** Last entry number of each daemon run's book that went in. */
  readonly included: Readonly<Record<string, number>>;
}

/** A window's figures, written once. */
export interface Seal extends SealedWindow {
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
export function longestSummaries(
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
  const logs = longestSummaries(copies)
    .filter((copy) => copy.window === options.window);
  const shared = withoutDuplicates(
    logs.flatMap((log) => log.shared),
    sealedShared,
  );
  const lines = new Map<string, OrganisationLine>();
  for (const line of logs.flatMap((log) => log.lines)) addLine(lines, line);
  for (const entry of shared) addEntry(lines, entry);
  return {
    ...author,
    included: Object.fromEntries(
      logs.map((log) => [log.incarnation, log.seq]),
    ),
    shared: shared.map(({ use }) => use.id),
    reports: reportTexts(lines, author),
  };
}

function withoutDuplicates(
  entries: readonly UsageLogEntry[],
  sealed: ReadonlySet<string>,
): readonly UsageLogEntry[] {
  const seen = new Set(sealed);
  return entries.filter(({ use }) => {
    if (seen.has(use.id)) return false;
    seen.add(use.id);
    return true;
  });
}

function reportTexts(
  lines: ReadonlyMap<string, OrganisationLine>,
  author: { window: number; holder: string; term: number },
): Readonly<Record<string, string>> {
  const sorted = [...lines].sort(([a], [b]) => a < b ? -1 : 1)
    .map(([, line]) => line);
  const organisations = [...new Set(sorted.map(({ tenant }) => tenant))];
  return Object.fromEntries(organisations.map((tenant) => {
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
