/**
 * Base classes of the commands: common options, clients and output.
 *
 * @module
 */

import { type BaseContext, Command, Option, UsageError } from "clipanion";
import { isNone, type Option as Maybe } from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import type { Clock } from "../kernel/mod.ts";
import type { KeyValue } from "../outside/mod.ts";
import {
  printProblem,
  type Problem,
  type RevisionMetadata,
  type Tables,
} from "../tables/mod.ts";
import { AdminClient } from "./admin_client.ts";
import { CliExitCode } from "./exit.ts";
import {
  EditOutcome,
  type ReadFailure,
  RevisionStore,
  type StoredRevision,
} from "./revision_store.ts";
import {
  type CommandSettings,
  readCommandSettings,
} from "./command_settings.ts";

/** The commands' access to the world outside the process. */
export interface CommandContext extends BaseContext {
  readonly clock: Clock;
  /** A client of the platform's key-value service at this URL. */
  connect(url: string): KeyValue;
}

/** A command's result: exit code, text output and JSON output. */
export interface CommandResult {
  readonly exit: CliExitCode;
  readonly lines: readonly string[];
  /** Printed by `--json`, together with the exit code. */
  readonly json: Readonly<Record<string, unknown>>;
}

/** A command that prints text or, with `--json`, one JSON value. */
export abstract class BaseCommand extends Command<CommandContext> {
  json = Option.Boolean("--json", false, {
    description: "Print one JSON value",
  });

  /** The lines of the text output. Edit commands add to them. */
  protected textLines(answer: CommandResult): readonly string[] {
    return answer.lines;
  }

  /** Runs the command; `execute` prints the result. */
  abstract run(): Promise<CommandResult>;

  async execute(): Promise<number> {
    const answer = await this.#answer();
    const { stdout, stderr } = this.context;
    if (this.json) {
      const value = { exit: answer.exit, ...answer.json };
      stdout.write(`${JSON.stringify(value, null, 2)}\n`);
    } else {
      const out = answer.exit === CliExitCode.Done ? stdout : stderr;
      out.write(this.textLines(answer).map((line) => `${line}\n`).join(""));
    }
    return answer.exit;
  }

  async #answer(): Promise<CommandResult> {
    try {
      return await this.run();
    } catch (error) {
      // Invalid options or settings; thrown before anything was sent.
      if (error instanceof UsageError) return impossible(error.message);
      throw error;
    }
  }
}

/** A command that accesses the platform or the daemons. */
export abstract class RemoteCommand extends BaseCommand {
  platform = Option.String("--platform", {
    description: "URL of the platform's key-value service",
  });
  entry = Option.String("--entry", {
    description:
      "URLs of daemons, comma-separated; the first that answers is used",
  });
  settings = Option.String("--settings", {
    description: "TOML file with platform, entries, token and author",
  });
  timeoutMs = Option.String("--timeout-ms", "15000", {
    description: "How long to retry calls to a platform that doesn't answer",
  });

  /** The settings. Throws a `UsageError` if they are invalid. */
  protected configured(author?: string): CommandSettings {
    const settings = readCommandSettings(
      {
        platform: this.platform,
        entry: this.entry,
        settings: this.settings,
        author,
      },
      this.context.env,
    );
    if (settings.err) throw new UsageError(settings.val);
    return settings.val;
  }

  /** The configuration revisions in the platform's key-value service. */
  protected revisions(): RevisionStore {
    const { platform } = this.configured();
    if (platform === "") {
      throw new UsageError("Set --platform or TOUCANWIND_PLATFORM");
    }
    return new RevisionStore({
      keyValue: this.context.connect(platform),
      clock: this.context.clock,
      retryTimeoutMs: parseWholeNumber("--timeout-ms", this.timeoutMs),
    });
  }

  /** A client of the daemons' admin pages. */
  protected daemons(): AdminClient {
    const { entries, token } = this.configured();
    return new AdminClient({ entries, token, clock: this.context.clock });
  }
}

/** The result if the platform's data could not be read. */
export function readFailed(fault: ReadFailure): CommandResult {
  return {
    exit: CliExitCode.Unknown,
    lines: [
      fault.ending === EditOutcome.Damaged
        ? fault.message
        : `The platform's service gave no answer: ${fault.message}`,
    ],
    json: { outcome: fault.ending, message: fault.message },
  };
}

/** The result if the tables are invalid. */
export function invalid(problems: readonly Problem[]): CommandResult {
  return {
    exit: CliExitCode.Refused,
    lines: problems.map(printProblem),
    json: { outcome: EditOutcome.Invalid, problems },
  };
}

/** The result if the command can't be run with its arguments. */
export function impossible(message: string): CommandResult {
  return {
    exit: CliExitCode.Refused,
    lines: [message],
    json: { outcome: EditOutcome.Invalid, message },
  };
}

/** The stored tables; empty before the first revision. */
export function tablesOf(
  stored: Maybe<StoredRevision>,
): Result<Tables, readonly Problem[]> {
  return isNone(stored) ? Ok({ routes: [], pools: [] }) : stored.value.tables;
}

/** The stored revision's number; 0 before the first. */
export function revisionOf(stored: Maybe<StoredRevision>): number {
  return isNone(stored) ? 0 : stored.value.stamp.revision;
}

/** Parses an option's whole number; throws a `UsageError` for other text. */
export function parseWholeNumber(option: string, text: string): number {
  const value = Number(text);
  if (/^\d{1,15}$/.test(text)) return value;
  throw new UsageError(`${option} must be a whole number, not "${text}"`);
}

/** Formats a revision as one line. */
export function printRevision(stamp: RevisionMetadata): string {
  const note = stamp.note === "" ? "" : `  ${stamp.note}`;
  return `${stamp.revision}  ${stamp.at}  ${stamp.author}${note}`;
}

/** The stored tables, or the result that reports their problems. */
export function validTables(
  stored: Maybe<StoredRevision>,
): Result<Tables, CommandResult> {
  const tables = tablesOf(stored);
  return tables.ok ? tables : Err({
    ...invalid(tables.val),
    exit: CliExitCode.Unknown,
  });
}
