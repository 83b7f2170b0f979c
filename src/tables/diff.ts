/**
 * The differences between two revisions of the tables.
 *
 * @module
 */

import { TableFile } from "./problem.ts";
import type { Pool, Route, Tables } from "./tables.ts";
import { canonicalTables } from "./print.ts";

/** How a row or one of its columns changed. */
export enum ChangeKind {
  Added = "added",
  Removed = "removed",
  Altered = "altered",
}

/** One change between two revisions of the tables. */
export interface TableChange {
  readonly file: TableFile;
  /** The row's name. */
  readonly table: string;
  /** The column, as named in the file; empty for the whole row. */
  readonly key: string;
  readonly changed: ChangeKind;
  /** Empty if added. */
  readonly before: string;
  /** Empty if removed. */
  readonly after: string;
}

/** All changes from `before` to `after`, sorted by file and name. */
export function diffTables(
  before: Tables,
  after: Tables,
): readonly TableChange[] {
  const left = canonicalTables(before);
  const right = canonicalTables(after);
  return [
    ...diffRows(TableFile.Routes, cellsByRow(left.routes, routeCells), {
      after: cellsByRow(right.routes, routeCells),
    }),
    ...diffRows(TableFile.Pools, cellsByRow(left.pools, poolCells), {
      after: cellsByRow(right.pools, poolCells),
    }),
  ];
}

/** Formats a change as one line that starts with `+`, `-` or `~`. */
export function printChange(change: TableChange): string {
  const location = [change.file, change.table, change.key]
    .filter((part) => part !== "").join(" ");
  switch (change.changed) {
    case ChangeKind.Added:
      return `+ ${location}${change.after && `: ${change.after}`}`;
    case ChangeKind.Removed:
      return `- ${location}${change.before && `: ${change.before}`}`;
    case ChangeKind.Altered:
      return `~ ${location}: ${change.before} -> ${change.after}`;
  }
}

/** The columns of a row by name, as text. */
type Cells = ReadonlyMap<string, string>;

function cellsByRow<T extends { readonly name: string }>(
  rows: readonly T[],
  cellsOf: (row: T) => Cells,
): ReadonlyMap<string, Cells> {
  return new Map(rows.map((row) => [row.name, nonEmptyCells(cellsOf(row))]));
}

/** The cells without the empty ones, which count as absent. */
function nonEmptyCells(cellsByRow: Cells): Cells {
  return new Map([...cellsByRow].filter(([, text]) => text !== ""));
}

function diffRows(
  file: TableFile,
  before: ReadonlyMap<string, Cells>,
  options: { after: ReadonlyMap<string, Cells> },
): readonly TableChange[] {
  const { after } = options;
  const none: Cells = new Map();
  return sortedUnion(before, after).flatMap((table) => {
    const old = before.get(table);
    const fresh = after.get(table);
    const cellChanges = diffCells(file, table, {
      before: old ?? none,
      after: fresh ?? none,
    });
    if (old !== undefined && fresh !== undefined) return cellChanges;
    const changed = fresh === undefined ? ChangeKind.Removed : ChangeKind.Added;
    const row = { file, table, key: "", changed, before: "", after: "" };
    return [row, ...cellChanges];
  });
}

function diffCells(
  file: TableFile,
  table: string,
  options: { before: Cells; after: Cells },
): readonly TableChange[] {
  return sortedUnion(options.before, options.after).flatMap((key) => {
    const before = options.before.get(key);
    const after = options.after.get(key);
    if (before === after) return [];
    const changed = before === undefined
      ? ChangeKind.Added
      : after === undefined
      ? ChangeKind.Removed
      : ChangeKind.Altered;
    return [{
      file,
      table,
      key,
      changed,
      before: before ?? "",
      after: after ?? "",
    }];
  });
}

function sortedUnion(
  a: ReadonlyMap<string, unknown>,
  b: ReadonlyMap<string, unknown>,
): readonly string[] {
  return [...new Set([...a.keys(), ...b.keys()])].sort();
}

function routeCells(route: Route): Cells {
  return new Map([
    ["kind", route.kind],
    ["model", route.model],
    ["path", route.path],
    ["pool", route.pool],
    ["priority", route.priority],
    ["open", String(route.open)],
    ["repeatable", String(route.repeatable)],
    ["deadline_ms", String(route.deadlineMs)],
    ["max_body_bytes", String(route.maxBodyBytes)],
    ["staleness_bound", String(route.stalenessBound)],
    ...route.tenants.map(({ tenant, weight }) =>
      [`tenants.${tenant}`, String(weight)] as const
    ),
    ...route.keys.map(({ id, tenant, sha256 }) =>
      [`keys.${id}`, `${tenant} ${sha256}`] as const
    ),
  ]);
}

function poolCells(pool: Pool): Cells {
  return new Map([
    ["model", pool.model],
    ["min_upstreams", String(pool.minUpstreams)],
    ["max_upstreams", String(pool.maxUpstreams)],
    ["reclaimable_share", String(pool.reclaimableShare)],
    ["availability_zones", pool.availabilityZones.join(" ")],
    ["slots", String(pool.slots)],
    ["fenced", String(pool.fenced)],
  ]);
}
