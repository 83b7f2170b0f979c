/**
 * Structured logs: a line for each decision on a request and for each change
 * of what the process believes. Lines go to the `debug` library, or as JSON to
 * a stream. A stream that isn't read is not waited for: lines beyond its
 * backlog are left out and counted.
 *
 * @module
 */

import debug from "debug";

/** Writes one line with the event's name and its fields. */
export type Log = (
  event: string,
  fields?: Readonly<Record<string, unknown>>,
) => void;

/** Where JSON lines go; a part of a stream's interface. */
export interface Sink {
  readonly writableLength: number;
  write(text: string): unknown;
}

/** Bytes that may wait to be written before lines are left out. */
const MAX_BACKLOG_BYTES = 256 * 1024;

/** Most lines a second; a burst beyond that is counted, not written. */
const MAX_LINES_PER_S = 400;

let sink: Sink | undefined;
let omitted = 0;
let second = 0;
let lines = 0;

/** Has all logs written to a stream as JSON, one object a line. */
export function logTo(stream: Sink | undefined): void {
  sink = stream;
  omitted = 0;
}

/** The log of one part of the daemon. */
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
