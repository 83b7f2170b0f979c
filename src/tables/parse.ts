/**
 * Reads the tables from two TOML files. Rows are TOML tables whose keys are the
 * row names, so names are unique.
 *
 * @module
 */

import { parse, TomlError } from "smol-toml";
import { Err, Ok, type Result } from "ts-results";
import type { z } from "zod";
import { checkTables } from "./check.ts";
import { canonicalTables } from "./print.ts";
import { type Problem, TableFile } from "./problem.ts";
import { poolRow, routeRow } from "./schema.ts";
import { Priority, RouteKind, type Tables } from "./tables.ts";

type Row = Readonly<Record<string, unknown>>;

/** Maps the names of columns in the file to those in the row. */
type Columns = Readonly<Record<string, string>>;

const routeColumns: Columns = {
  kind: "kind",
  model: "model",
  path: "path",
  pool: "pool",
  priority: "priority",
  open: "open",
  repeatable: "repeatable",
  deadline_ms: "deadlineMs",
  max_body_bytes: "maxBodyBytes",
  staleness_bound: "stalenessBound",
  tenants: "tenants",
  keys: "keys",
};

const poolColumns: Columns = {
  model: "model",
  min_upstreams: "minUpstreams",
  max_upstreams: "maxUpstreams",
  reclaimable_share: "reclaimableShare",
  availability_zones: "availabilityZones",
  slots: "slots",
  fenced: "fenced",
};

const BYTES_PER_MIB = 1_048_576;
const MAX_QUOTED_CHARS = 60;
const SECRET_PATTERN = /tw_[A-Za-z0-9_-]+/g;

const poolDefaults = {
  model: "",
  minUpstreams: 1,
  reclaimableShare: 0,
  slots: 8,
  fenced: false,
};

function routeDefaults(kind: unknown): Row {
  const training = kind === RouteKind.Training;
  const service = kind === RouteKind.Service;
  return {
    model: "",
    path: "",
    priority: training ? Priority.Training : Priority.Standard,
    open: false,
    repeatable: !service,
    deadlineMs: training ? 1_800_000 : service ? 30_000 : 120_000,
    maxBodyBytes: training ? 16 * BYTES_PER_MIB : BYTES_PER_MIB,
    stalenessBound: training ? 1 : 0,
    tenants: [],
    keys: [],
  };
}

/** Reads both files; all problems of both are reported together. */
export function parseTables(
  routesText: string,
  poolsText: string,
): Result<Tables, readonly Problem[]> {
  const routes = readFile(routesText, {
    file: TableFile.Routes,
    root: "routes",
    columns: routeColumns,
    schema: routeRow,
    normalize: (row) => ({
      ...routeDefaults(row.kind),
      ...normalizeCallers(row),
    }),
  });
  const pools = readFile(poolsText, {
    file: TableFile.Pools,
    root: "pools",
    columns: poolColumns,
    schema: poolRow,
    normalize: (row) => ({ ...poolDefaults, ...row }),
  });
  const tables = canonicalTables({ routes: routes.rows, pools: pools.rows });
  const problems = [
    ...routes.problems,
    ...pools.problems,
    // Without the pools, each route would be reported for a missing pool.
    ...(pools.readable
      ? checkTables(tables, { invalidPools: pools.invalidRows })
      : []),
  ];
  return problems.length > 0 ? Err(problems) : Ok(tables);
}

interface ReadResult<T> {
  readonly rows: readonly T[];
  readonly problems: readonly Problem[];
  /** Names of rows that are present but invalid. */
  readonly invalidRows: readonly string[];
  /** Whether the file is valid TOML with the expected root table. */
  readonly readable: boolean;
}

interface FileFormat<T> {
  readonly file: TableFile;
  readonly root: string;
  readonly columns: Columns;
  readonly schema: z.ZodType<T>;
  /** Applies defaults and converts named tables to lists. */
  normalize(row: Row): Row;
}

function readFile<T>(text: string, format: FileFormat<T>): ReadResult<T> {
  const document = parseToml(text, format.file);
  if (document.err) return unreadable([document.val]);
  const { [format.root]: rowsByName = {}, ...rest } = document.val;
  const unknownKeys = Object.keys(rest).map((key) =>
    problemAt(
      format,
      "",
      key,
      `unknown key, only "${format.root}" is allowed here`,
    )
  );
  if (!isTable(rowsByName)) {
    const text = `must contain tables like [${format.root}.name]`;
    return unreadable([
      ...unknownKeys,
      problemAt(format, "", format.root, text),
    ]);
  }
  const rows: T[] = [];
  const problems: Problem[] = [...unknownKeys];
  const invalidRows: string[] = [];
  for (const [name, given] of Object.entries(rowsByName)) {
    const row = readRow(name, given, format);
    if (row.ok) rows.push(row.val);
    else {
      problems.push(...row.val);
      invalidRows.push(name);
    }
  }
  return { rows, problems, invalidRows, readable: true };
}

function unreadable<T>(problems: readonly Problem[]): ReadResult<T> {
  return { rows: [], problems, invalidRows: [], readable: false };
}

function parseToml(text: string, file: TableFile): Result<Row, Problem> {
  try {
    return Ok(parse(text));
  } catch (error) {
    // Only the first line: the others quote the file, which may contain a key.
    const message = error instanceof TomlError
      ? `line ${error.line}: ${error.message.split("\n")[0]}`
      : "is not TOML";
    return Err({ file, table: "", key: "", message });
  }
}

function readRow<T>(
  name: string,
  given: unknown,
  format: FileFormat<T>,
): Result<T, readonly Problem[]> {
  if (!isTable(given)) {
    return Err([problemAt(format, name, "", "must be a table")]);
  }
  const problems: Problem[] = [];
  const row: Record<string, unknown> = {};
  for (const [key, value] of Object.entries(given)) {
    const column = Object.hasOwn(format.columns, key)
      ? format.columns[key]
      : undefined;
    if (column !== undefined) row[column] = value;
    else problems.push(problemAt(format, name, key, "unknown key"));
  }
  for (const id of keysWithId(given)) {
    problems.push(problemAt(format, name, `keys.${id}.id`, "unknown key"));
  }
  const normalized = { ...format.normalize(row), name };
  const parsed = format.schema.safeParse(normalized);
  if (parsed.success && problems.length === 0) return Ok(parsed.data);
  for (const issue of parsed.error?.issues ?? []) {
    problems.push(...problemsOf(issue, normalized, { name, format }));
  }
  return Err(problems);
}

/** Converts `tenants` and `keys`, tables in the file, to the lists of a row. */
function normalizeCallers(row: Row): Row {
  const listed: Record<string, unknown> = { ...row };
  if (isTable(row.tenants)) {
    listed.tenants = Object.entries(row.tenants)
      .map(([tenant, weight]) => ({ tenant, weight }));
  }
  if (isTable(row.keys)) {
    listed.keys = Object.entries(row.keys)
      .map(([id, key]) => isTable(key) ? { ...key, id } : key);
  }
  return listed;
}

/** Names of keys that also contain an `id`, which the name already gives. */
function keysWithId(row: Row): readonly string[] {
  if (!isTable(row.keys)) return [];
  return Object.entries(row.keys)
    .filter(([, key]) => isTable(key) && Object.hasOwn(key, "id"))
    .map(([id]) => id);
}

function problemsOf<T>(
  issue: z.core.$ZodIssue,
  row: Row,
  context: { name: string; format: FileFormat<T> },
): readonly Problem[] {
  const { name, format } = context;
  const key = fileKeyOf(issue.path, row, format.columns);
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((extra) =>
      problemAt(format, name, `${key}.${extra}`, "unknown key")
    );
  }
  if (issue.path[0] === "name") {
    return [problemAt(format, name, "", `name ${issue.message}`)];
  }
  const value = valueAt(row, issue.path);
  if (value === undefined) {
    return [problemAt(format, name, key, "missing")];
  }
  // A key entered in place of its hash must not appear in a terminal or log.
  const found = issue.path.includes("sha256") || issue.path[0] === "keys"
    ? ""
    : `, not ${quoted(value)}`;
  return [problemAt(format, name, key, `${issue.message}${found}`)];
}

function fileKeyOf(
  path: readonly PropertyKey[],
  row: Row,
  columns: Columns,
): string {
  const [first = "", at, field = "weight"] = path;
  const column = Object.entries(columns)
    .find(([, column]) => column === first);
  const key = column?.[0] ?? String(first);
  if (at === undefined) return key;
  const element = valueAt(row, [first, at]);
  const label = isTable(element)
    ? String(first === "keys" ? element.id : element.tenant)
    : String(at);
  // In the file, the weight is the value of the organisation's own entry.
  return [key, label, ...(field === "weight" ? [] : [String(field)])].join(".");
}

function valueAt(value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (inner, key) =>
      isTable(inner) || Array.isArray(inner)
        ? (inner as Record<PropertyKey, unknown>)[key]
        : undefined,
    value,
  );
}

function isTable(value: unknown): value is Row {
  return typeof value === "object" && value !== null &&
    !Array.isArray(value) && !(value instanceof Date);
}

function quoted(value: unknown): string {
  const text = isTable(value) || Array.isArray(value)
    ? "a table or list"
    : `"${String(value)}"`;
  return text.length > MAX_QUOTED_CHARS
    ? `${text.slice(0, MAX_QUOTED_CHARS)}..."`
    : text;
}

function problemAt<T>(
  format: FileFormat<T>,
  table: string,
  key: string,
  message: string,
): Problem {
  return {
    file: format.file,
    table: redacted(table),
    key: redacted(key),
    message: redacted(message),
  };
}

/** The text with everything that looks like a caller's key masked. */
function redacted(text: string): string {
  return text.replace(SECRET_PATTERN, "tw_...");
}
