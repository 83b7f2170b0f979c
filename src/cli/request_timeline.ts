/**
 * Selects the log lines of all daemons that concern a request, ordered by time.
 *
 * @module
 */

/** A parsed log line and its source. */
export interface LogLine {
  /** Unix milliseconds. */
  readonly at: number;
  readonly source: string;
  readonly part: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Log parts that record a daemon's view of the system, not its actions. */
const CONTEXT_PARTS = [
  "charge",
  "config",
  "daemon",
  "detour",
  "directory",
  "peers",
  "weights",
];

/** Events of other parts that change a daemon's view. */
const CONTEXT_EVENTS = ["upstream notice changed"];

/**
 * Parses a log. The last word before a line's JSON is its source, or else the
 * file.
 */
export function parseLog(text: string, file: string): readonly LogLine[] {
  return text.split("\n").flatMap((line) => {
    const start = line.indexOf("{");
    if (start < 0) return [];
    const words = line.slice(0, start).trim().split(/\s+/);
    const source = words.at(-1) || file;
    return parseLine(line.slice(start), source) ?? [];
  });
}

/**
 * The lines that name the request, the lines about its batch itself, and the
 * lines about daemons' views from `aroundMs` before the request's first line to
 * `aroundMs` after its last.
 */
export function requestTimeline(
  lines: readonly LogLine[],
  id: string,
  { aroundMs }: { aroundMs: number },
): readonly LogLine[] {
  const matching = lines.filter((line) => refersTo(line, id));
  if (matching.length === 0) return [];
  const batches = new Set(matching.map(({ fields }) => fields.batch));
  const times = matching.map(({ at }) => at);
  const from = Math.min(...times) - aroundMs;
  const until = Math.max(...times) + aroundMs;
  const story = lines.filter((line) =>
    refersTo(line, id) ||
    (line.fields.id !== undefined && batches.has(line.fields.id)) ||
    (isContext(line) && line.at >= from && line.at <= until)
  );
  return [...story].sort((a, b) => a.at - b.at);
}

/** Formats a line for display, with its time relative to `from`. */
export function printLine(
  { at, source, part, event, fields }: LogLine,
  from: number,
): string {
  const seconds = ((at - from) / 1000).toFixed(3).padStart(9);
  const pairs = Object.entries(fields).map(([name, value]) =>
    `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`
  );
  return [`${seconds} s`, source, `${part}:`, event, ...pairs].join(" ");
}

function isContext({ part, event }: LogLine): boolean {
  return CONTEXT_PARTS.includes(part) || CONTEXT_EVENTS.includes(event);
}

function refersTo({ fields }: LogLine, id: string): boolean {
  return fields.id === id || fields.batch === id;
}

function parseLine(json: string, source: string): LogLine | undefined {
  try {
    const { at, part, event, ...fields } = JSON.parse(json);
    if (typeof at !== "number" || typeof part !== "string") return undefined;
    return { at, source, part, event: String(event), fields };
  } catch {
    // Not a daemon's log line.
    return undefined;
  }
}
