/**
 * What all commands share: their options, how they answer, and how an edit is
 * told from its beginning to its coming into force.
 *
 * @module
 */

import { type BaseContext, Command, Option, UsageError } from "clipanion";
import { isNone, none, type Option as Maybe, some } from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import type { Clock } from "../kernel/mod.ts";
import type { KeyValue } from "../platform/mod.ts";
import {
  type Change,
  diffTables,
  printChange,
  printProblem,
  type Problem,
  type Stamp,
  type Tables,
} from "../tables/mod.ts";
import { type Arrival, Daemons } from "./daemons.ts";
import { Exit } from "./exit.ts";
import {
  type Commit,
  Ending,
  keyHashes,
  Revisions,
  type Stored,
  type Unread,
} from "./revisions.ts";
import { readSettings, type Settings } from "./settings.ts";

/** What the commands reach outside of the process. */
export interface Context extends BaseContext {
  readonly clock: Clock;
  /** The platform's key-value service at this URL. */
  connect(url: string): KeyValue;
}

/** A command's answer: for the shell, for people and for programs. */
export interface Answer {
  readonly exit: Exit;
  readonly lines: readonly string[];
  /** What `--json` prints, with the exit code added. */
  readonly json: Readonly<Record<string, unknown>>;
}

/** A command that answers in text or, with `--json`, as one JSON value. */
export abstract class Operation extends Command<Context> {
  json = Option.Boolean("--json", false, {
    description: "Answer with one JSON value",
  });

  /** Does the work of the command. */
  abstract run(): Promise<Answer>;

  async execute(): Promise<number> {
    const answer = await this.#answer();
    const { stdout, stderr } = this.context;
    if (this.json) {
      const value = { exit: answer.exit, ...answer.json };
      stdout.write(`${JSON.stringify(value, null, 2)}\n`);
    } else {
      const out = answer.exit === Exit.Done ? stdout : stderr;
      out.write(answer.lines.map((line) => `${line}\n`).join(""));
    }
    return answer.exit;
  }

  async #answer(): Promise<Answer> {
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
export abstract class RemoteOperation extends Operation {
  platform = Option.String("--platform", {
    description: "URL of the platform's key-value service",
  });
  entry = Option.String("--entry", {
    description: "URLs of daemons, comma-separated; the first to answer serves",
  });
  settings = Option.String("--settings", {
    description: "TOML file with platform, entries, token and author",
  });

  /** The settings; wrong ones end the command. */
  protected configured(author?: string): Settings {
    const settings = readSettings(
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
  protected revisions(): Revisions {
    const { platform } = this.configured();
    if (platform === "") {
      throw new UsageError("Set --platform or TOUCANWIND_PLATFORM");
    }
    const keyValue = this.context.connect(platform);
    return new Revisions({ keyValue, clock: this.context.clock });
  }

  /** The daemons' admin pages. */
  protected daemons(): Daemons {
    const { entries, token } = this.configured();
    return new Daemons({ entries, token, clock: this.context.clock });
  }
}

/** A command that adds a revision and waits until it is in force. */
export abstract class EditOperation extends RemoteOperation {
  note = Option.String("--note", {
    description: "Why, for the history",
  });
  author = Option.String("--author", {
    description: "Who, for the history; $USER by default",
  });
  waitMs = Option.String("--wait-ms", "6000", {
    description: "How long to wait until it is in force; 0 for not at all",
  });

  /** Commits an edit of the stored tables and tells how that went. */
  protected async submit(
    stored: Maybe<Stored>,
    edit: { tables: Tables; attempt: string; note: string; on?: number },
  ): Promise<Submission> {
    const before = tablesOf(stored);
    const changes = before.ok ? diffTables(before.val, edit.tables) : [];
    const on = edit.on ?? revisionOf(stored);
    const commit = await this.revisions().commit({
      on,
      tables: edit.tables,
      attempt: edit.attempt,
      author: this.configured(this.author).author,
      note: this.note ?? edit.note,
    });
    return { commit, changes, attempt: edit.attempt, on };
  }

  /** Hashes of withdrawn keys that `tables` would grant again. */
  protected async regranted(
    stored: Maybe<Stored>,
    tables: Tables,
  ): Promise<Result<ReadonlySet<string>, Answer>> {
    const before = tablesOf(stored);
    const held = before.ok ? keyHashes(before.val) : new Set<string>();
    const granted = [...keyHashes(tables)].filter((hash) => !held.has(hash));
    const withdrawn = await this.revisions().withdrawn(granted);
    if (withdrawn.err) return Err(unread(withdrawn.val));
    return Ok(new Set(withdrawn.val));
  }

  /** Waits for a revision that has the wanted tables already. */
  protected async unchanged(stamp: Stamp): Promise<Answer> {
    const { revision } = stamp;
    const arrival = await this.arrival(revision);
    return {
      exit: exitOf(arrival),
      lines: [
        `Revision ${revision} has these tables already`,
        ...printArrival(revision, arrival),
      ],
      json: {
        outcome: "unchanged",
        ...stamp,
        ...(isNone(arrival) ? {} : { arrival: arrival.value }),
      },
    };
  }

  /** Waits, if the edit was accepted, and answers. */
  protected async conclude(submission: Submission): Promise<Answer> {
    const { commit } = submission;
    if (commit.ending !== Ending.Accepted) return refused(submission);
    const { revision } = commit.stamp;
    const arrival = await this.arrival(revision);
    return {
      exit: exitOf(arrival),
      lines: [
        ...submission.changes.map(printChange),
        `Revision ${revision} is accepted`,
        ...printArrival(revision, arrival),
      ],
      json: {
        outcome: commit.ending,
        ...commit.stamp,
        changes: submission.changes,
        ...(isNone(arrival) ? {} : { arrival: arrival.value }),
      },
    };
  }

  /** Waits until a revision is in force, as long as the options say. */
  protected async arrival(revision: number): Promise<Maybe<Arrival>> {
    const waitMs = wholeNumber("--wait-ms", this.waitMs);
    if (waitMs === 0) return none;
    return some(await this.daemons().arrival(revision, waitMs));
  }
}

/** An edit as it was sent, and how it ended. */
export interface Submission {
  readonly commit: Commit;
  readonly changes: readonly Change[];
  readonly attempt: string;
  readonly on: number;
}

/** The exit code that tells whether a revision is in force. */
export function exitOf(arrival: Maybe<Arrival>): Exit {
  return isNone(arrival) || arrival.value.inForce ? Exit.Done : Exit.Lagging;
}

/** Whether a revision is in force, and who lags. */
export function printArrival(
  revision: number,
  arrival: Maybe<Arrival>,
): readonly string[] {
  if (isNone(arrival)) return [];
  const { inForce, waitedMs, daemons, laggards, fault } = arrival.value;
  if (fault !== "") return [`Whether it is in force is not known: ${fault}`];
  if (inForce) {
    const noun = daemons === 1 ? "daemon" : "daemons";
    return [
      `Revision ${revision} is in force on ${daemons} ${noun} ` +
      `after ${waitedMs} ms`,
    ];
  }
  return [
    `Revision ${revision} is not in force everywhere after ${waitedMs} ms; ` +
    `${daemons} have it, these don't:`,
    ...laggards.map(({ vm, revision }) =>
      `  ${vm}: ${revision === null ? "no answer" : `has ${revision}`}`
    ),
  ];
}

/** The answer where the platform gave no answer of use. */
export function unread(fault: Unread): Answer {
  return {
    exit: Exit.Unknown,
    lines: [
      fault.ending === Ending.Damaged
        ? fault.message
        : `The platform's service gave no answer: ${fault.message}`,
      "Nothing was changed",
    ],
    json: { outcome: fault.ending, message: fault.message },
  };
}

/** The answer where something given to the command is at fault. */
export function invalid(problems: readonly Problem[]): Answer {
  return {
    exit: Exit.Refused,
    lines: [...problems.map(printProblem), "Nothing was changed"],
    json: { outcome: Ending.Invalid, problems },
  };
}

/** The answer where the command can't be carried out as given. */
export function impossible(message: string): Answer {
  return {
    exit: Exit.Refused,
    lines: [message, "Nothing was changed"],
    json: { outcome: Ending.Invalid, message },
  };
}

/** The tables of what is stored; none before the first revision. */
export function tablesOf(
  stored: Maybe<Stored>,
): Result<Tables, readonly Problem[]> {
  return isNone(stored) ? Ok({ routes: [], pools: [] }) : stored.value.tables;
}

/** The revision of what is stored; 0 before the first. */
export function revisionOf(stored: Maybe<Stored>): number {
  return isNone(stored) ? 0 : stored.value.stamp.revision;
}

/** An option's whole number; anything else ends the command. */
export function wholeNumber(option: string, text: string): number {
  const value = Number(text);
  if (/^\d{1,15}$/.test(text)) return value;
  throw new UsageError(`${option} must be a whole number, not "${text}"`);
}

/** A revision on one line. */
export function printStamp(stamp: Stamp): string {
  const note = stamp.note === "" ? "" : `  ${stamp.note}`;
  return `${stamp.revision}  ${stamp.at}  ${stamp.author}${note}`;
}

/** The stored tables, or the answer that says why there are none. */
export function readable(stored: Maybe<Stored>): Result<Tables, Answer> {
  const tables = tablesOf(stored);
  return tables.ok ? tables : Err({
    ...invalid(tables.val),
    exit: Exit.Unknown,
  });
}

function refused(submission: Submission): Answer {
  const { commit, attempt, on } = submission;
  switch (commit.ending) {
    case Ending.Accepted:
      throw new RangeError(`Attempt "${attempt}" was accepted`);
    case Ending.Invalid:
      return invalid(commit.problems);
    case Ending.Unreached:
    case Ending.Damaged:
      return unread({ ending: commit.ending, message: commit.message });
    case Ending.Lost:
      return lost(on, commit.winner, commit.head);
    case Ending.Unknown:
      return unknown(submission, commit.message);
  }
}

function lost(on: number, winner: Maybe<Stamp>, head: Maybe<Stamp>): Answer {
  const first = isNone(winner)
    ? `Revision ${on} is not the newest`
    : `Another edit of revision ${on} came first:`;
  const newest = isNone(head) ? 0 : head.value.revision;
  const told = isNone(winner) ? 0 : winner.value.revision;
  return {
    exit: Exit.Lost,
    lines: [
      first,
      ...(isNone(winner) ? [] : [`  ${printStamp(winner.value)}`]),
      ...(newest === told ? [] : [`The newest revision is ${newest}`]),
      "Nothing was changed by this command",
    ],
    json: {
      outcome: Ending.Lost,
      on,
      winner: isNone(winner) ? null : winner.value,
      head: isNone(head) ? null : head.value,
    },
  };
}

function unknown(submission: Submission, message: string): Answer {
  const { attempt, on } = submission;
  return {
    exit: Exit.Unknown,
    lines: [
      `The platform's service gave no answer: ${message}`,
      "The edit may have taken effect, or may do so yet",
      `Its attempt is "${attempt}" on revision ${on}`,
    ],
    json: { outcome: Ending.Unknown, attempt, on, message },
  };
}
