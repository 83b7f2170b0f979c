/**
 * The commands for whole tables: validate, diff, apply, show, history, rollback
 * and outcome.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { isNone, isSome, none, type Option as Maybe, some } from "fp-ts/Option";
import { createHash, randomUUID } from "node:crypto";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { Err, Ok, type Result } from "ts-results";
import {
  type CallerKey,
  diffTables,
  parseTables,
  printChange,
  printTables,
  sameTables,
  TableFile,
  type Tables,
} from "../tables/mod.ts";
import { CliExitCode } from "./exit.ts";
import { EditCommand } from "./edit_command.ts";
import {
  BaseCommand,
  type CommandResult,
  impossible,
  invalid,
  parseWholeNumber,
  printRevision,
  readFailed,
  RemoteCommand,
  revisionOf,
  tablesOf,
  validTables,
} from "./base_command.ts";
import type { RevisionStore, StoredRevision } from "./revision_store.ts";
import { readText } from "./command_settings.ts";

const FOLDER_ARGUMENT = { name: "folder", required: false };
const MAX_LISTED_REVISIONS = 1_000;
const TABLES_DIGEST_DIGITS = 12;

/** Checks the files without access to the platform. */
export class ValidateCommand extends BaseCommand {
  static override paths = [["validate"]];
  static override usage = Command.Usage({
    category: "Tables",
    description: "Check routes.toml and pools.toml",
    details: "Reports every problem of both files at once. Needs no platform.",
    examples: [
      ["Check the files of this folder", "$0 validate"],
      ["Check in CI, as JSON", "$0 validate tables --json"],
    ],
  });

  folder = Option.String(FOLDER_ARGUMENT);

  run(): Promise<CommandResult> {
    const tables = readTables(this.folder);
    if (tables.err) return Promise.resolve(tables.val);
    const { routes, pools } = tables.val;
    return Promise.resolve({
      exit: CliExitCode.Done,
      lines: [`Routes: ${routes.length}, pools: ${pools.length}, no problems`],
      json: {
        outcome: "valid",
        routes: routes.length,
        pools: pools.length,
      },
    });
  }
}

/** Compares the files with a stored revision. */
export class DiffCommand extends RemoteCommand {
  static override paths = [["diff"]];
  static override usage = Command.Usage({
    category: "Tables",
    description: "Show what applying the files would change",
    examples: [
      ["Against the newest revision", "$0 diff"],
      ["Against revision 12", "$0 diff tables --against 12"],
    ],
  });

  folder = Option.String(FOLDER_ARGUMENT);
  against = Option.String("--against", {
    description: "Revision to compare with; the newest by default",
  });

  async run(): Promise<CommandResult> {
    const files = readTables(this.folder);
    if (files.err) return files.val;
    const stored = await storedAt(this.revisions(), this.against);
    if (stored.err) return stored.val;
    const tables = validTables(stored.val);
    if (tables.err) return tables.val;
    const changes = diffTables(tables.val, files.val);
    const revision = revisionOf(stored.val);
    return {
      exit: CliExitCode.Done,
      lines: changes.length === 0
        ? [`Nothing differs from revision ${revision}`]
        : changes.map(printChange),
      json: { outcome: "compared", revision, changes },
    };
  }
}

/** Commits the files as the next revision. */
export class ApplyCommand extends EditCommand {
  static override paths = [["apply"]];
  static override usage = Command.Usage({
    category: "Tables",
    description: "Make the files the next revision and wait for it",
    details: `
      The edit is accepted only if the revision that it is based on is still
      the newest; otherwise the command shows the edit that came first. A
      withdrawn key is not granted again without \`--regrant\`.

      Exit codes: 0 accepted and in force; 1 the files are invalid; 2 another
      edit came first; 3 no answer from the platform; 4 accepted, but not in
      force everywhere in time.
    `,
    examples: [
      ["Apply what was edited from revision 12", "$0 apply --on 12"],
      [
        "Check an edit that got no answer, and resend it if needed",
        "$0 apply --on 12 --attempt 6f2c...",
      ],
    ],
  });

  folder = Option.String(FOLDER_ARGUMENT);
  on = Option.String("--on", {
    description: "Revision that the edit is based on; the newest by default",
  });
  attempt = Option.String("--attempt", {
    description: "Id of an earlier attempt at the same edit; needs --on",
  });
  regrant = Option.Boolean("--regrant", false, {
    description: "Grant withdrawn keys again",
  });

  async run(): Promise<CommandResult> {
    const files = readTables(this.folder);
    if (files.err) return files.val;
    const attempt = this.#attempt(files.val);
    if (attempt.err) return impossible(attempt.val);
    const on = this.on === undefined
      ? undefined
      : parseWholeNumber("--on", this.on);
    const head = await this.revisions().head();
    if (head.err) return readFailed(head.val);
    const current = tablesOf(head.val);
    if (current.ok && !isNone(head.val) && sameTables(current.val, files.val)) {
      return await this.reportUnchanged(head.val.value.stamp);
    }
    const regrantRefusal = await this.#refusal(head.val, files.val);
    if (isSome(regrantRefusal)) return regrantRefusal.value;
    const edit = { tables: files.val, attempt: attempt.val, note: "", on };
    return await this.finish(await this.submit(head.val, edit));
  }

  /** The attempt id. A resend must have the tables of the first attempt. */
  #attempt(tables: Tables): Result<string, string> {
    if (this.attempt === undefined) return Ok(newAttemptId(tables));
    if (this.on === undefined) return Err("--attempt needs --on");
    return this.attempt.endsWith(`-${digest(tables)}`)
      ? Ok(this.attempt)
      : Err(`Attempt "${this.attempt}" was sent with other tables`);
  }

  /** The result if the files would grant a withdrawn key again. */
  async #refusal(
    head: Maybe<StoredRevision>,
    tables: Tables,
  ): Promise<Maybe<CommandResult>> {
    if (this.regrant) return none;
    const regranted = await this.regrantedHashes(head, tables);
    if (regranted.err) return some(regranted.val);
    if (regranted.val.size === 0) return none;
    const ids = keysOf(tables)
      .filter((key) => regranted.val.has(key.sha256))
      .map((key) => `"${key.id}"`);
    return some(impossible(
      `Withdrawn keys would be granted again: ${
        [...new Set(ids)].join(", ")
      }; remove them from the files, or add --regrant`,
    ));
  }
}

/** Prints a stored revision, or writes it as the two files. */
export class ShowCommand extends RemoteCommand {
  static override paths = [["show"]];
  static override usage = Command.Usage({
    category: "Tables",
    description: "Print a stored revision, or write its files",
    examples: [
      ["Print the newest revision", "$0 show"],
      ["Write revision 12 into a folder", "$0 show --revision 12 --out tables"],
    ],
  });

  revision = Option.String("--revision", {
    description: "The newest by default",
  });
  out = Option.String("--out", {
    description: "Folder to write routes.toml and pools.toml to",
  });

  async run(): Promise<CommandResult> {
    const stored = await storedAt(this.revisions(), this.revision);
    if (stored.err) return stored.val;
    if (isNone(stored.val)) {
      return {
        exit: CliExitCode.Done,
        lines: ["There is no revision yet"],
        json: { outcome: "shown", revision: 0 },
      };
    }
    const tables = validTables(stored.val);
    if (tables.err) return tables.val;
    const { stamp } = stored.val.value;
    const files = printTables(tables.val);
    const written = this.out === undefined
      ? Ok(undefined)
      : writeTables(this.out, files);
    if (written.err) return impossible(written.val);
    const texts = this.out === undefined
      ? [
        `# ${TableFile.Routes}`,
        files.routes,
        `# ${TableFile.Pools}`,
        files.pools,
      ]
      : [];
    return {
      exit: CliExitCode.Done,
      lines: [`# ${printRevision(stamp)}`, ...texts],
      json: { outcome: "shown", ...stamp, tables: tables.val },
    };
  }
}

/** Lists the newest revisions. */
export class HistoryCommand extends RemoteCommand {
  static override paths = [["history"]];
  static override usage = Command.Usage({
    category: "Tables",
    description: "List the newest revisions, with author and note",
    examples: [["The last five", "$0 history --limit 5"]],
  });

  limit = Option.String("--limit", "20", {
    description: "How many at most",
  });

  async run(): Promise<CommandResult> {
    const limit = Math.min(
      parseWholeNumber("--limit", this.limit),
      MAX_LISTED_REVISIONS,
    );
    const stamps = await this.revisions().list(limit);
    if (stamps.err) return readFailed(stamps.val);
    return {
      exit: CliExitCode.Done,
      lines: stamps.val.map(printRevision),
      json: { outcome: "listed", revisions: stamps.val },
    };
  }
}

/** Commits the tables of an earlier revision as the next one. */
export class RollbackCommand extends EditCommand {
  static override paths = [["rollback"]];
  static override usage = Command.Usage({
    category: "Tables",
    description: "Make the tables of an earlier revision the next revision",
    details: `
      A rollback creates a new revision. Keys that were withdrawn since stay
      withdrawn without \`--regrant\`.
    `,
    examples: [["Go back to revision 12", "$0 rollback 12 --note 'too slow'"]],
  });

  revision = Option.String({ name: "revision" });
  on = Option.String("--on", {
    description: "Revision to replace; the newest by default",
  });
  regrant = Option.Boolean("--regrant", false, {
    description: "Grant keys again that were withdrawn since",
  });

  async run(): Promise<CommandResult> {
    const revisions = this.revisions();
    const head = await revisions.head();
    if (head.err) return readFailed(head.val);
    const earlier = await storedAt(revisions, this.revision);
    if (earlier.err) return earlier.val;
    const tables = validTables(earlier.val);
    if (tables.err) return tables.val;
    const regranted = this.regrant
      ? Ok(new Set<string>())
      : await this.regrantedHashes(head.val, tables.val);
    if (regranted.err) return regranted.val;
    const restored = withoutKeys(tables.val, regranted.val);
    const current = tablesOf(head.val);
    if (current.ok && isSome(head.val) && sameTables(current.val, restored)) {
      return await this.reportUnchanged(head.val.value.stamp);
    }
    const edit = {
      tables: restored,
      attempt: newAttemptId(restored),
      note: `roll back to ${this.revision}`,
      on: this.on === undefined ? undefined : parseWholeNumber("--on", this.on),
    };
    return await this.finish(await this.submit(head.val, edit));
  }
}

/** Reports the outcome of an edit that got no answer. */
export class OutcomeCommand extends EditCommand {
  static override paths = [["outcome"]];
  static override usage = Command.Usage({
    category: "Tables",
    description: "Report the outcome of an edit that got no answer",
    details: `
      Changes nothing. Exit code 3 means that no edit of that revision was
      accepted so far: send yours again if you still want it.
    `,
    examples: [[
      "As printed by the edit command",
      "$0 outcome 6f2c... --on 12",
    ]],
  });

  attempt = Option.String({ name: "attempt" });
  on = Option.String("--on", {
    description: "Revision that the edit is based on",
    required: true,
  });

  async run(): Promise<CommandResult> {
    const { attempt } = this;
    const on = parseWholeNumber("--on", this.on);
    const commit = await this.revisions().outcome({ attempt, on });
    return await this.finish({ commit, attempt, on, changes: [] });
  }
}

function readTables(folder = "."): Result<Tables, CommandResult> {
  const routes = readText(join(folder, TableFile.Routes));
  if (routes.err) return Err(impossible(routes.val));
  const pools = readText(join(folder, TableFile.Pools));
  if (pools.err) return Err(impossible(pools.val));
  return parseTables(routes.val, pools.val).mapErr(invalid);
}

function writeTables(
  folder: string,
  files: { readonly routes: string; readonly pools: string },
): Result<undefined, string> {
  try {
    mkdirSync(folder, { recursive: true });
    writeFileSync(join(folder, TableFile.Routes), files.routes);
    writeFileSync(join(folder, TableFile.Pools), files.pools);
    return Ok(undefined);
  } catch {
    return Err(`The folder "${folder}" can't be written to`);
  }
}

/** The revision given by an option, or the newest. */
async function storedAt(
  revisions: RevisionStore,
  option: string | undefined,
): Promise<Result<Maybe<StoredRevision>, CommandResult>> {
  if (option === undefined) return (await revisions.head()).mapErr(readFailed);
  const revision = parseWholeNumber("The revision", option);
  const stored = await revisions.at(revision);
  if (stored.err) return Err(readFailed(stored.val));
  return isNone(stored.val)
    ? Err(impossible(`Revision "${option}" is not stored`))
    : stored;
}

/** A new attempt id. Ends with a digest of the tables, to check a resend. */
function newAttemptId(tables: Tables): string {
  return `${randomUUID()}-${digest(tables)}`;
}

function digest(tables: Tables): string {
  const { routes, pools } = printTables(tables);
  return createHash("sha256").update(`${routes}\n${pools}`).digest("hex")
    .slice(0, TABLES_DIGEST_DIGITS);
}

function keysOf(tables: Tables): readonly CallerKey[] {
  return tables.routes.flatMap((route) => route.keys);
}

function withoutKeys(tables: Tables, hashes: ReadonlySet<string>): Tables {
  const routes = tables.routes.map((route) => ({
    ...route,
    keys: route.keys.filter((key) => !hashes.has(key.sha256)),
  }));
  return { ...tables, routes };
}
