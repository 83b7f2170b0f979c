/**
 * Reads the tables from two TOML files. Rows are named tables, so a name can't
 * stand twice.
 *
 * @module
 */

import { parse, TomlError } from "smol-toml";
import { Err, Ok, type Result } from "ts-results";
import type { z } from "zod";
import { checkTables } from "./check.ts";
import { canonical } from "./print.ts";
import { type Problem, TableFile } from "./problem.ts";
import { poolRow, routeRow } from "./schema.ts";
import { Priority, RouteKind, type Tables } from "./tables.ts";

type Row = Readonly<Record<string, unknown>>;

/** The columns of a file, by their names there and in the row. */
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

const MIB = 1_048_576;
const MAX_QUOTED = 60;
const SECRET = /tw_[A-Za-z0-9_-]+/g;

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
    maxBodyBytes: training ? 16 * MIB : MIB,
    stalenessBound: training ? 1 : 0,
    tenants: [],
    keys: [],
  };
}

/** Reads both files; every problem of both is reported at once. */
export function parseTables(
  routesText: string,
  poolsText: string,
): Result<Tables, readonly Problem[]> {
  const routes = readFile(routesText, {
    file: TableFile.Routes,
    root: "routes",
    columns: routeColumns,
    schema: routeRow,
    fill: (row) => ({ ...routeDefaults(row.kind), ...listCallers(row) }),
  });
  const pools = readFile(poolsText, {
    file: TableFile.Pools,
    root: "pools",
    columns: poolColumns,
    schema: poolRow,
    fill: (row) => ({ ...poolDefaults, ...row }),
  });
  const tables = canonical({ routes: routes.rows, pools: pools.rows });
  const problems = [
    ...routes.problems,
    ...pools.problems,
    // Without the pools, every route would seem to miss its own.
    ...(pools.readable ? checkTables(tables, { unread: pools.unread }) : []),
  ];
  return problems.length > 0 ? Err(problems) : Ok(tables);
}

interface Reading<T> {
  readonly rows: readonly T[];
  readonly problems: readonly Problem[];
  /** Names of rows that are there, but at fault. */
  readonly unread: readonly string[];
  /** Whether the file was TOML with the right root at all. */
  readonly readable: boolean;
}

interface Reader<T> {
  readonly file: TableFile;
  readonly root: string;
  readonly columns: Columns;
  readonly schema: z.ZodType<T>;
  /** Fills in defaults and turns named tables into lists. */
  fill(row: Row): Row;
}

function readFile<T>(text: string, reader: Reader<T>): Reading<T> {
  const document = parseToml(text, reader.file);
  if (document.err) return unreadable([document.val]);
  const { [reader.root]: named = {}, ...rest } = document.val;
  const strangers = Object.keys(rest).map((key) =>
    problemAt(reader, "", key, `unknown key, only "${reader.root}" goes here`)
  );
  if (!isTable(named)) {
    const text = `must hold tables like [${reader.root}.name]`;
    return unreadable([
      ...strangers,
      problemAt(reader, "", reader.root, text),
    ]);
  }
  const rows: T[] = [];
  const problems: Problem[] = [...strangers];
  const unread: string[] = [];
  for (const [name, given] of Object.entries(named)) {
    const row = readRow(name, given, reader);
    if (row.ok) rows.push(row.val);
    else {
      problems.push(...row.val);
      unread.push(name);
    }
  }
  return { rows, problems, unread, readable: true };
}

function unreadable<T>(problems: readonly Problem[]): Reading<T> {
  return { rows: [], problems, unread: [], readable: false };
}

function parseToml(text: string, file: TableFile): Result<Row, Problem> {
  try {
    return Ok(parse(text));
  } catch (error) {
    // The first line only: the rest quotes the file, where a key may stand.
    const message = error instanceof TomlError
      ? `line ${error.line}: ${error.message.split("\n")[0]}`
      : "is not TOML";
    return Err({ file, table: "", key: "", message });
  }
}

function readRow<T>(
  name: string,
  given: unknown,
  reader: Reader<T>,
): Result<T, readonly Problem[]> {
  if (!isTable(given)) {
    return Err([problemAt(reader, name, "", "must be a table")]);
  }
  const problems: Problem[] = [];
  const row: Record<string, unknown> = {};
  for (const [key, value] of Object.entries(given)) {
    const column = Object.hasOwn(reader.columns, key)
      ? reader.columns[key]
      : undefined;
    if (column !== undefined) row[column] = value;
    else problems.push(problemAt(reader, name, key, "unknown key"));
  }
  for (const id of strayIds(given)) {
    problems.push(problemAt(reader, name, `keys.${id}.id`, "unknown key"));
  }
  const filled = { ...reader.fill(row), name };
  const parsed = reader.schema.safeParse(filled);
  if (parsed.success && problems.length === 0) return Ok(parsed.data);
  for (const issue of parsed.error?.issues ?? []) {
    problems.push(...problemsOf(issue, filled, { name, reader }));
  }
  return Err(problems);
}

/** Turns `tenants` and `keys`, tables in the file, into the row's lists. */
function listCallers(row: Row): Row {
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

/** Keys that bring an id besides the name under which they stand. */
function strayIds(row: Row): readonly string[] {
  if (!isTable(row.keys)) return [];
  return Object.entries(row.keys)
    .filter(([, key]) => isTable(key) && Object.hasOwn(key, "id"))
    .map(([id]) => id);
}

function problemsOf<T>(
  issue: z.core.$ZodIssue,
  row: Row,
  place: { name: string; reader: Reader<T> },
): readonly Problem[] {
  const { name, reader } = place;
  const key = columnOf(issue.path, row, reader.columns);
  if (issue.code === "unrecognized_keys") {
    return issue.keys.map((extra) =>
      problemAt(reader, name, `${key}.${extra}`, "unknown key")
    );
  }
  if (issue.path[0] === "name") {
    return [problemAt(reader, name, "", `name ${issue.message}`)];
  }
  const value = valueAt(row, issue.path);
  if (value === undefined) {
    return [problemAt(reader, name, key, "missing")];
  }
  // A key pasted in place of its hash must not reach the terminal or a log.
  const shown = issue.path.includes("sha256") || issue.path[0] === "keys"
    ? ""
    : `, not ${quoted(value)}`;
  return [problemAt(reader, name, key, `${issue.message}${shown}`)];
}

function columnOf(
  path: readonly PropertyKey[],
  row: Row,
  columns: Columns,
): string {
  const [first = "", at, field = "weight"] = path;
  const written = Object.entries(columns)
    .find(([, column]) => column === first);
  const key = written?.[0] ?? String(first);
  if (at === undefined) return key;
  const element = valueAt(row, [first, at]);
  const label = isTable(element)
    ? String(first === "keys" ? element.id : element.tenant)
    : String(at);
  // A tenant's weight is written as the value of the tenant itself.
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
  return text.length > MAX_QUOTED ? `${text.slice(0, MAX_QUOTED)}..."` : text;
}

function problemAt<T>(
  reader: Reader<T>,
  table: string,
  key: string,
  message: string,
): Problem {
  return {
    file: reader.file,
    table: redacted(table),
    key: redacted(key),
    message: redacted(message),
  };
}

/** The text without anything that looks like a caller's key. */
function redacted(text: string): string {
  return text.replace(SECRET, "tw_...");
}
