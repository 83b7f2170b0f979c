/**
 * Sealing: converts the usage logs of a window to final reports. The seal
 * states up to which entry it includes each log; later entries are late and go
 * into the next open window, on lines that name the window they belong to.
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

/** A sealed window and up to which entry each log is included. */
export interface SealedWindow {
  /** Start of the window, wall time in milliseconds. */
  readonly window: number;
  /** Number of the last included entry of the log of each daemon run. */
  readonly included: Readonly<Record<string, number>>;
}

/** The final figures of a window, written once. */
export interface Seal extends SealedWindow {
  readonly holder: string;
  readonly term: number;
  /** Unique to the write attempt; lets its author recognise it. */
  readonly attempt: string;
  /** Ids of the included shared records. */
  readonly shared: readonly string[];
  /** The text of the report of each organisation. */
  readonly reports: Readonly<Record<string, string>>;
}

/** The start of the window that contains a point in wall time. */
export function windowOf(wallMs: number, lengthMs: number): number {
  return Math.floor(wallMs / lengthMs) * lengthMs;
}

/** The summary of the longest copy of each log. */
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

/** Creates a window's seal from the summaries of all copies of its logs. */
export function createSeal(
  copies: readonly UsageLogSummary[],
  options: {
    window: number;
    holder: string;
    term: number;
    attempt: string;
    /** Ids of shared records in earlier seals. */
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
