/**
 * The command that explains the outcome of a request from log files alone.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { basename } from "node:path";
import { CliExitCode } from "./exit.ts";
import {
  BaseCommand,
  type CommandResult,
  parseWholeNumber,
} from "./base_command.ts";
import {
  type LogLine,
  parseLog,
  printLine,
  requestTimeline,
} from "./request_timeline.ts";

/** Prints the log lines of all daemons that concern a request. */
export class ExplainCommand extends BaseCommand {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category: "Daemons",
    description: "Explain the outcome of a request from the daemons' logs",
    examples: [
      ["A request, an item or a batch", "$0 explain 9c41d07be2a35f68 logs/*"],
      [
        "With the daemons' views from 5 s before to 5 s after",
        "$0 explain ID LOG --around 5000",
      ],
    ],
  });

  id = Option.String({ name: "id" });
  files = Option.Rest({ name: "logs", required: 1 });
  around = Option.String("--around", "1000", {
    description:
      "Milliseconds before and after for which to show daemons' views",
  });

  run(): Promise<CommandResult> {
    const aroundMs = parseWholeNumber("--around", this.around);
    const lines = this.files.flatMap((file) =>
      parseLog(readFileSync(file, "utf8"), basename(file))
    );
    const story = requestTimeline(lines, this.id, { aroundMs });
    return Promise.resolve(resultOf(this.id, story));
  }
}

function resultOf(id: string, story: readonly LogLine[]): CommandResult {
  if (story.length === 0) {
    const text = `No line names "${id}"`;
    return {
      exit: CliExitCode.Refused,
      lines: [text],
      json: { outcome: "unknown", id },
    };
  }
  const [{ at }] = story;
  return {
    exit: CliExitCode.Done,
    lines: story.map((line) => printLine(line, at)),
    json: { outcome: "told", id, story },
  };
}
