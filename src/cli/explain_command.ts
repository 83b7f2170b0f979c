/**
 * The command that tells what became of one request, from log files alone.
 *
 * @module
 */

import { Command, Option } from "clipanion";
import { readFileSync } from "node:fs";
import { basename } from "node:path";
import { Exit } from "./exit.ts";
import { type Answer, Operation, wholeNumber } from "./operation.ts";
import { type Line, printLine, readLines, storyOf } from "./story.ts";

/** Tells the story of a request over all daemons. */
export class Explain extends Operation {
  static override paths = [["explain"]];
  static override usage = Command.Usage({
    category: "Daemons",
    description: "Tell what became of a request, from the daemons' logs",
    examples: [
      ["A request, an item or a batch", "$0 explain 9c41d07be2a35f68 logs/*"],
      [
        "With what daemons learnt 5 s around it",
        "$0 explain ID LOG --around 5000",
      ],
    ],
  });

  id = Option.String({ name: "id" });
  files = Option.Rest({ name: "logs", required: 1 });
  around = Option.String("--around", "1000", {
    description: "Milliseconds before and after, of what daemons learnt",
  });

  run(): Promise<Answer> {
    const aroundMs = wholeNumber("--around", this.around);
    const lines = this.files.flatMap((file) =>
      readLines(readFileSync(file, "utf8"), basename(file))
    );
    const story = storyOf(lines, this.id, { aroundMs });
    return Promise.resolve(answerOf(this.id, story));
  }
}

function answerOf(id: string, story: readonly Line[]): Answer {
  if (story.length === 0) {
    const text = `No line names "${id}"`;
    return {
      exit: Exit.Refused,
      lines: [text],
      json: { outcome: "unknown", id },
    };
  }
  const [{ at }] = story;
  return {
    exit: Exit.Done,
    lines: story.map((line) => printLine(line, at)),
    json: { outcome: "told", id, story },
  };
}
