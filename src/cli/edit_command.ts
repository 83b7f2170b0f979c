/**
 * The base class of the commands that edit the tables: commits an edit, waits
 * until it is in force and reports its outcome.
 *
 * @module
 */

import { Option } from "clipanion";
import { isNone, none, type Option as Maybe, some } from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import {
  diffTables,
  printChange,
  type RevisionMetadata,
  type TableChange,
  type Tables,
} from "../tables/mod.ts";
import type { Arrival, Laggard } from "./admin_client.ts";
import { CliExitCode } from "./exit.ts";
import {
  type CommandResult,
  invalid,
  parseWholeNumber,
  printRevision,
  readFailed,
  RemoteCommand,
  revisionOf,
  tablesOf,
} from "./base_command.ts";
import {
  type CommitResult,
  EditOutcome,
  keyHashes,
  type StoredRevision,
} from "./revision_store.ts";

/** Outcomes that guarantee that the edit did not change the configuration. */
const OUTCOMES_WITHOUT_EFFECT: readonly unknown[] = [
  EditOutcome.Invalid,
  EditOutcome.Unreached,
  EditOutcome.Damaged,
];

/** A command that commits a revision and waits until it is in force. */
export abstract class EditCommand extends RemoteCommand {
  note = Option.String("--note", {
    description: "Reason for the edit, for the history",
  });
  author = Option.String("--author", {
    description: "Author of the edit, for the history; $USER by default",
  });
  waitMs = Option.String("--wait-ms", "6000", {
    description: "How long to wait until it is in force; 0 to not wait",
  });

  protected override textLines(answer: CommandResult): readonly string[] {
    const withoutEffect = OUTCOMES_WITHOUT_EFFECT.includes(answer.json.outcome);
    return withoutEffect
      ? [...answer.lines, "Nothing was changed"]
      : answer.lines;
  }

  /** Commits an edit of the stored tables. */
  protected async submit(
    stored: Maybe<StoredRevision>,
    edit: { tables: Tables; attempt: string; note: string; on?: number },
  ): Promise<SubmittedEdit> {
    parseWholeNumber("--wait-ms", this.waitMs);
    const on = edit.on ?? revisionOf(stored);
    const before = tablesOf(stored);
    const changes = before.ok && on === revisionOf(stored)
      ? diffTables(before.val, edit.tables)
      : [];
    const commit = await this.revisions().commit({
      on,
      tables: edit.tables,
      attempt: edit.attempt,
      author: this.configured(this.author).author,
      note: this.note ?? edit.note,
    });
    return { commit, changes, attempt: edit.attempt, on };
  }

  /** The hashes of withdrawn keys that `tables` would grant again. */
  protected async regrantedHashes(
    stored: Maybe<StoredRevision>,
    tables: Tables,
  ): Promise<Result<ReadonlySet<string>, CommandResult>> {
    const before = tablesOf(stored);
    const held = before.ok ? keyHashes(before.val) : new Set<string>();
    const granted = [...keyHashes(tables)].filter((hash) => !held.has(hash));
    const withdrawn = await this.revisions().withdrawn(granted);
    if (withdrawn.err) return Err(readFailed(withdrawn.val));
    return Ok(new Set(withdrawn.val));
  }

  /** Waits until a revision that already has the given tables is in force. */
  protected async reportUnchanged(
    stamp: RevisionMetadata,
  ): Promise<CommandResult> {
    const { revision } = stamp;
    const arrival = await this.arrival(revision);
    return {
      exit: exitCodeOf(arrival),
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

  /** The command's result; waits until an accepted edit is in force. */
  protected async finish(submission: SubmittedEdit): Promise<CommandResult> {
    const { commit } = submission;
    if (commit.ending !== EditOutcome.Accepted) {
      const answer = refused(submission);
      const { attempt, on } = submission;
      return { ...answer, json: { ...answer.json, attempt, on } };
    }
    const { revision } = commit.stamp;
    const arrival = await this.arrival(revision);
    return {
      exit: exitCodeOf(arrival),
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

  /** Waits up to `--wait-ms` until a revision is in force. */
  protected async arrival(revision: number): Promise<Maybe<Arrival>> {
    const waitMs = parseWholeNumber("--wait-ms", this.waitMs);
    if (waitMs === 0) return none;
    return some(await this.daemons().arrival(revision, waitMs));
  }
}

/** An edit that was sent, and its outcome. */
export interface SubmittedEdit {
  readonly commit: CommitResult;
  readonly changes: readonly TableChange[];
  readonly attempt: string;
  readonly on: number;
}

/** The exit code for a wait until a revision is in force. */
export function exitCodeOf(arrival: Maybe<Arrival>): CliExitCode {
  return isNone(arrival) || arrival.value.inForce
    ? CliExitCode.Done
    : CliExitCode.Lagging;
}

/** Describes whether a revision is in force, and which daemons lag. */
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
    ...laggards.map((laggard) =>
      `  ${laggard.vm}: ${describeLaggard(laggard)}`
    ),
  ];
}

function describeLaggard(laggard: Laggard): string {
  if (laggard.missing) return "listed as live, but no member";
  const { revision } = laggard;
  return revision === null ? "no answer" : `has ${revision}`;
}

function refused(submission: SubmittedEdit): CommandResult {
  const { commit, attempt, on } = submission;
  switch (commit.ending) {
    case EditOutcome.Accepted:
      throw new RangeError(`Attempt "${attempt}" was accepted, not refused`);
    case EditOutcome.Invalid:
      return invalid(commit.problems);
    case EditOutcome.Unreached:
    case EditOutcome.Damaged:
      return readFailed({ ending: commit.ending, message: commit.message });
    case EditOutcome.Lost:
      return lost(on, commit.winner, commit.head);
    case EditOutcome.Unknown:
      return unknown(submission, commit.message);
  }
}

function lost(
  on: number,
  winner: Maybe<RevisionMetadata>,
  head: Maybe<RevisionMetadata>,
): CommandResult {
  const firstLine = isNone(winner)
    ? `Revision ${on} is not the newest`
    : `Another edit of revision ${on} came first:`;
  const headRevision = isNone(head) ? 0 : head.value.revision;
  const winnerRevision = isNone(winner) ? 0 : winner.value.revision;
  return {
    exit: CliExitCode.Lost,
    lines: [
      firstLine,
      ...(isNone(winner) ? [] : [`  ${printRevision(winner.value)}`]),
      ...(headRevision === winnerRevision
        ? []
        : [`The newest revision is ${headRevision}`]),
      "Nothing was changed by this command",
    ],
    json: {
      outcome: EditOutcome.Lost,
      winner: isNone(winner) ? null : winner.value,
      head: isNone(head) ? null : head.value,
    },
  };
}

function unknown(submission: SubmittedEdit, message: string): CommandResult {
  const { attempt, on } = submission;
  return {
    exit: CliExitCode.Unknown,
    lines: [
      `The outcome is not known: ${message}`,
      "The edit may have taken effect, or may still do so",
      `Check with: toucanwind outcome ${attempt} --on ${on}`,
    ],
    json: { outcome: EditOutcome.Unknown, message },
  };
}
