/**
 * Structured logs: one line for each change of state, as `event key=value`.
 * What happens often is counted, not logged.
 *
 * @module
 */

import debug from "debug";

/** Writes one line with the event's name and its fields. */
export type Log = (
  event: string,
  fields?: Readonly<Record<string, unknown>>,
) => void;

/** The log of one part of the daemon; switched by `DEBUG=toucanwind:*`. */
export function logger(part: string): Log {
  const write = debug(`toucanwind:${part}`);
  return (event, fields = {}) => {
    if (!write.enabled) return;
    const pairs = Object.entries(fields).map(([name, value]) =>
      `${name}=${typeof value === "string" ? value : JSON.stringify(value)}`
    );
    write("%s", [event, ...pairs].join(" "));
  };
}
