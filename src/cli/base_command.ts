/**
 * What all commands share: their options, what they reach, how they answer.
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

/** What the commands reach outside of the process. */
export interface CommandContext extends BaseContext {
  readonly clock: Clock;
  /** The platform's key-value service at this URL. */
  connect(url: string): KeyValue;
}

/** A command's answer: for the shell, for people and for programs. */
export interface CommandResult {
  readonly exit: CliExitCode;
  readonly lines: readonly string[];
  /** What `--json` prints, with the exit code added. */
  readonly json: Readonly<Record<string, unknown>>;
}

/** A command that answers in text or, with `--json`, as one JSON value. */
export abstract class BaseCommand extends Command<CommandContext> {
  json = Option.Boolean("--json", false, {
    description: "Answer with one JSON value",
  });

  /** The answer's lines; commands that edit add what became of the edit. */
  protected textLines(answer: CommandResult): readonly string[] {
    return answer.lines;
  }

  /** Does the work of the command. */
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
      // Thrown before anything was sent: wrong options or settings.
      if (error instanceof UsageError) return impossible(error.message);
      throw error;
    }
  }
}

/** A command that reaches the platform or the daemons. */
export abstract class RemoteCommand extends BaseCommand {
  platform = Option.String("--platform", {
    description: "URL of the platform's key-value service",
  });
  entry = Option.String("--entry", {
    description: "URLs of daemons, comma-separated; the first to answer serves",
  });
  settings = Option.String("--settings", {
    description: "TOML file with platform, entries, token and author",
  });
  timeoutMs = Option.String("--timeout-ms", "15000", {
    description: "How long to go on asking a platform that doesn't answer",
  });

  /** The settings; wrong ones end the command. */
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

  /** The chain of configurations in the platform's service. */
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

  /** The daemons' admin pages. */
  protected daemons(): AdminClient {
    const { entries, token } = this.configured();
    return new AdminClient({ entries, token, clock: this.context.clock });
  }
}

/** The answer where the platform gave no answer of use. */
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

/** The answer where something given to the command is at fault. */
export function invalid(problems: readonly Problem[]): CommandResult {
  return {
    exit: CliExitCode.Refused,
    lines: problems.map(printProblem),
    json: { outcome: EditOutcome.Invalid, problems },
  };
}

/** The answer where the command can't be carried out as given. */
export function impossible(message: string): CommandResult {
  return {
    exit: CliExitCode.Refused,
    lines: [message],
    json: { outcome: EditOutcome.Invalid, message },
  };
}

/** The tables of what is stored; none before the first revision. */
export function tablesOf(
  stored: Maybe<StoredRevision>,
): Result<Tables, readonly Problem[]> {
  return isNone(stored) ? Ok({ routes: [], pools: [] }) : stored.value.tables;
}

/** The revision of what is stored; 0 before the first. */
export function revisionOf(stored: Maybe<StoredRevision>): number {
  return isNone(stored) ? 0 : stored.value.stamp.revision;
}

/** An option's whole number; anything else ends the command. */
export function parseWholeNumber(option: string, text: string): number {
  const value = Number(text);
  if (/^\d{1,15}$/.test(text)) return value;
  throw new UsageError(`${option} must be a whole number, not "${text}"`);
}

/** A revision on one line. */
export function printRevision(stamp: RevisionMetadata): string {
  const note = stamp.note === "" ? "" : `  ${stamp.note}`;
  return `${stamp.revision}  ${stamp.at}  ${stamp.author}${note}`;
}

/** The stored tables, or the answer that says why there are none. */
export function validTables(
  stored: Maybe<StoredRevision>,
): Result<Tables, CommandResult> {
  const tables = tablesOf(stored);
  return tables.ok ? tables : Err({
    ...invalid(tables.val),
    exit: CliExitCode.Unknown,
  });
}
