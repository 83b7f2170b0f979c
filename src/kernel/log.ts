/**
 * Structured logs: one line for each decision on a request and for each change
 * of the observed state. Lines go to the `debug` library, or as JSON to a
 * stream. Logging never waits for a slow stream: lines beyond its backlog are
 * dropped and counted.
 *
 * @module
 */

import debug from "debug";

/** Writes one line with the name of an event and its fields. */
export type Log = (
  event: string,
  fields?: Readonly<Record<string, unknown>>,
) => void;

/** The part of a writable stream that JSON lines are written to. */
export interface Sink {
  readonly writableLength: number;
  write(text: string): unknown;
}

/** Bytes buffered in the stream beyond which lines are dropped. */
const MAX_BACKLOG_BYTES = 256 * 1024;

/** Lines written per second at most; further ones are dropped and counted. */
const MAX_LINES_PER_S = 400;

let sink: Sink | undefined;
let omitted = 0;
let second = 0;
let lines = 0;

/** Directs all logs to a stream as JSON, one object per line. */
export function logTo(stream: Sink | undefined): void {
  sink = stream;
  omitted = 0;
}

/** The log of one component of the daemon. */
export function logger(part: string): Log {
  const write = debug(`toucanwind:${part}`);
  return (event, fields = {}) => {
    if (sink !== undefined) return writeLine(sink, { part, event, fields });
    if (!write.enabled) return;
    const pairs = Object.entries(fields).map(([name, value]) =>
      `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`
    );
    write("%s", [event, ...pairs].join(" "));
  };
}

function writeLine(to: Sink, { part, event, fields }: {
  part: string;
  event: string;
  fields: Readonly<Record<string, unknown>>;
}): void {
  const at = Date.now();
  if (mustDrop(to, at)) {
    omitted += 1;
    return;
  }
  const omission = omitted > 0 ? { omitted } : {};
  omitted = 0;
  lines += 1;
  to.write(`${JSON.stringify({ at, part, event, ...fields, ...omission })}\n`);
}

function mustDrop(to: Sink, at: number): boolean {
  const now = Math.floor(at / 1000);
  if (now !== second) {
    second = now;
    lines = 0;
  }
  return lines >= MAX_LINES_PER_S || to.writableLength > MAX_BACKLOG_BYTES;
}
