/**
 * What one revision of the tables changes against another.
 *
 * @module
 */

import { TableFile } from "./problem.ts";
import type { Pool, Route, Tables } from "./tables.ts";
import { canonical } from "./print.ts";

/** What happened to a row or to one of its columns. */
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
  /** The column as written in the file; empty for the row as a whole. */
  readonly key: string;
  readonly changed: ChangeKind;
  /** Empty when added. */
  readonly before: string;
  /** Empty when removed. */
  readonly after: string;
}

/** Every change from `before` to `after`, in order of file and name. */
export function diffTables(
  before: Tables,
  after: Tables,
): readonly TableChange[] {
  const left = canonical(before);
  const right = canonical(after);
  return [
    ...diffRows(TableFile.Routes, cells(left.routes, routeCells), {
      after: cells(right.routes, routeCells),
    }),
    ...diffRows(TableFile.Pools, cells(left.pools, poolCells), {
      after: cells(right.pools, poolCells),
    }),
  ];
}

/** The change on one line, led by `+`, `-` or `~`. */
export function printChange(change: TableChange): string {
  const place = [change.file, change.table, change.key]
    .filter((part) => part !== "").join(" ");
  switch (change.changed) {
    case ChangeKind.Added:
      return `+ ${place}${change.after && `: ${change.after}`}`;
    case ChangeKind.Removed:
      return `- ${place}${change.before && `: ${change.before}`}`;
    case ChangeKind.Altered:
      return `~ ${place}: ${change.before} -> ${change.after}`;
  }
}

/** A row's columns, printed. */
type Cells = ReadonlyMap<string, string>;

function cells<T extends { readonly name: string }>(
  rows: readonly T[],
  of: (row: T) => Cells,
): ReadonlyMap<string, Cells> {
  return new Map(rows.map((row) => [row.name, filled(of(row))]));
}

/** A column that is empty counts as absent. */
function filled(cells: Cells): Cells {
  return new Map([...cells].filter(([, text]) => text !== ""));
}

function diffRows(
  file: TableFile,
  before: ReadonlyMap<string, Cells>,
  options: { after: ReadonlyMap<string, Cells> },
): readonly TableChange[] {
  const { after } = options;
  const none: Cells = new Map();
  return merged(before, after).flatMap((table) => {
    const old = before.get(table);
    const fresh = after.get(table);
    const inner = diffCells(file, table, {
      before: old ?? none,
      after: fresh ?? none,
    });
    if (old !== undefined && fresh !== undefined) return inner;
    const changed = fresh === undefined ? ChangeKind.Removed : ChangeKind.Added;
    const row = { file, table, key: "", changed, before: "", after: "" };
    return [row, ...inner];
  });
}

function diffCells(
  file: TableFile,
  table: string,
  options: { before: Cells; after: Cells },
): readonly TableChange[] {
  return merged(options.before, options.after).flatMap((key) => {
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

function merged(
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
