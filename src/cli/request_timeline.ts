/**
 * What log files of all daemons tell of one request, in order of time.
 *
 * @module
 */

/** A line of a log, with where it came from. */
export interface LogLine {
  /** Unix milliseconds. */
  readonly at: number;
  readonly source: string;
  readonly part: string;
  readonly event: string;
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Parts whose lines tell what a daemon believed, not what it did. */
const CONTEXT_PARTS = [
  "charge",
  "config",
  "daemon",
  "detour",
  "directory",
  "peers",
  "weights",
];

/** The lines of a log; text before a line's JSON names its source. */
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
 * The lines that name the request, those of its batch as a whole, and what
 * daemons came to believe from `aroundMs` before until then after it.
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
    (CONTEXT_PARTS.includes(line.part) && line.at >= from && line.at <= until)
  );
  return [...story].sort((a, b) => a.at - b.at);
}

/** A line for people: time since `from`, source, and what happened. */
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

function refersTo({ fields }: LogLine, id: string): boolean {
  return fields.id === id || fields.batch === id;
}

function parseLine(json: string, source: string): LogLine | undefined {
  try {
    const { at, part, event, ...fields } = JSON.parse(json);
    if (typeof at !== "number" || typeof part !== "string") return undefined;
    return { at, source, part, event: String(event), fields };
  } catch {
    // Not a line of a daemon's log.
    return undefined;
  }
}
