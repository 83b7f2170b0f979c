/**
 * The commands that query the daemons' admin pages.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { isNone, some } from "fp-ts/Option";
import { CliExitCode } from "./exit.ts";
import { exitCodeOf, printArrival } from "./edit_command.ts";
import {
  type CommandResult,
  parseWholeNumber,
  readFailed,
  RemoteCommand,
  revisionOf,
} from "./base_command.ts";

const INDENT = "  ";

/** Shows the daemons' status. */
export class StatusCommand extends RemoteCommand {
  static override paths = [["status"]];
  static override usage = Command.Usage({
    category: "Daemons",
    description: "Show VMs, upstreams, tenants, steps, orders and usage",
    examples: [
      ["One daemon", "$0 status"],
      ["All daemons, their upstreams only", "$0 status dispatch --all"],
    ],
  });

  part = Option.String({ name: "part", required: false });
  all = Option.Boolean("--all", false, {
    description: "Show all daemons, queried through one of them",
  });

  async run(): Promise<CommandResult> {
    const answer = await this.daemons().status({ all: this.all });
    if (answer.err) return daemonUnreachable(answer.val);
    const status = this.part === undefined
      ? answer.val
      : selectPart(answer.val, this.part);
    return {
      exit: CliExitCode.Done,
      lines: printValue(status),
      json: { outcome: "shown", status },
    };
  }
}

/** Shows which revision each daemon has in force. */
export class InForceCommand extends RemoteCommand {
  static override paths = [["in-force"]];
  static override usage = Command.Usage({
    category: "Daemons",
    description: "Show which daemons have which revision in force",
    examples: [
      ["Of the newest revision", "$0 in-force"],
      ["Wait for revision 12", "$0 in-force --revision 12 --wait-ms 10000"],
    ],
  });

  revision = Option.String("--revision", {
    description: "The newest in the platform's service by default",
  });
  waitMs = Option.String("--wait-ms", "0", {
    description: "How long to wait for it",
  });

  async run(): Promise<CommandResult> {
    const revision = await this.#wanted();
    if (typeof revision !== "number") return revision;
    const waitMs = parseWholeNumber("--wait-ms", this.waitMs);
    const daemons = this.daemons();
    const arrival = await daemons.arrival(revision, waitMs);
    if (arrival.fault !== "") return daemonUnreachable(arrival.fault);
    const force = await daemons.inForcePage();
    if (force.err) return daemonUnreachable(force.val);
    return {
      exit: exitCodeOf(some(arrival)),
      lines: [
        ...force.val.members.map(({ vm, revision, ageMs }) =>
          revision === null
            ? `${vm}  no answer`
            : `${vm}  ${revision}  seen ${ageMs ?? "?"} ms ago`
        ),
        ...printArrival(revision, some(arrival)),
      ],
      json: { outcome: "shown", wanted: revision, arrival, ...force.val },
    };
  }

  async #wanted(): Promise<number | CommandResult> {
    if (this.revision !== undefined) {
      return parseWholeNumber("--revision", this.revision);
    }
    const head = await this.revisions().head();
    if (head.err) return readFailed(head.val);
    return isNone(head.val) ? 0 : revisionOf(head.val);
  }
}

function daemonUnreachable(fault: string): CommandResult {
  return {
    exit: CliExitCode.Unknown,
    lines: [fault],
    json: { outcome: "unreached", message: fault },
  };
}

type Row = Readonly<Record<string, unknown>>;

function isRecord(value: unknown): value is Row {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

/** One plug-in's part of each daemon's status. */
function selectPart(status: unknown, part: string): unknown {
  if (Array.isArray(status)) return status.map((one) => selectPart(one, part));
  if (!isRecord(status)) return status;
  if (Array.isArray(status.members)) {
    return { members: selectPart(status.members, part) };
  }
  const parts = isRecord(status.parts) ? status.parts : {};
  return { vm: status.vm, [part]: parts[part] ?? null };
}

/** Formats a value as indented text; lists of flat records become tables. */
export function printValue(value: unknown, indent = ""): readonly string[] {
  if (Array.isArray(value)) {
    const rows = flatRows(value);
    if (rows.length > 0) return printTable(rows, indent);
    if (!value.some(isNested)) {
      return [indent + value.map(printCell).join(", ")];
    }
    return value.flatMap((one) => [
      `${indent}-`,
      ...printValue(one, indent + INDENT),
    ]);
  }
  if (!isRecord(value)) return [indent + printCell(value)];
  return Object.entries(value).flatMap(([key, inner]) => {
    const nested = isRecord(inner) ||
      (Array.isArray(inner) && inner.length > 0);
    return nested
      ? [`${indent}${key}:`, ...printValue(inner, indent + INDENT)]
      : [`${indent}${key}: ${printCell(inner)}`];
  });
}

/** The list's records if all items are flat records; empty otherwise. */
function flatRows(list: readonly unknown[]): readonly Row[] {
  const rows = list.filter(isRecord);
  const flat = rows.filter((row) => !Object.values(row).some(isNested));
  return flat.length === list.length ? flat : [];
}

function isNested(value: unknown): boolean {
  return typeof value === "object" && value !== null;
}

function printTable(rows: readonly Row[], indent: string): readonly string[] {
  const columns = [...new Set(rows.flatMap((row) => Object.keys(row)))];
  const cells = [
    columns,
    ...rows.map((row) => columns.map((column) => printCell(row[column]))),
  ];
  const widths = columns.map((_, at) =>
    Math.max(...cells.map((row) => (row[at] ?? "").length))
  );
  return cells.map((row) =>
    indent +
    row.map((cell, at) => cell.padEnd(widths[at] ?? 0)).join("  ").trimEnd()
  );
}

function printCell(value: unknown): string {
  if (typeof value === "string") return value;
  return value === undefined ? "" : JSON.stringify(value);
}
