#!/usr/bin/env node
/**
 * Entry point of the benchmark: `toucanwind-bench run`, `compare` and `plot`.
 *
 * Exit codes: 0 success, 1 internal error, 2 invalid command line or plan.
 *
 * @module
 */

import { Builtins, Cli, Command, Option } from "clipanion";
import { readFileSync, writeFileSync } from "node:fs";
import {
  type BenchReport,
  compareReports,
  formatDifferences,
  parsePlan,
  plotGoodput,
  runBench,
} from "../bench/mod.ts";

enum BenchExitCode {
  Done = 0,
  Usage = 2,
}

class RunCommand extends Command {
  static override paths = [["run"]];
  static override usage = Command.Usage({
    description: "Sends the load of a plan and writes what it measured",
  });

  entries = Option.String("--entries", {
    required: true,
    description: "Base URLs of entries, comma-separated",
  });
  plan = Option.String("--plan", {
    required: true,
    description: "The plan, TOML",
  });
  seed = Option.String("--seed", "1", { description: "Random seed" });
  seconds = Option.String("--seconds", "60", { description: "Load duration" });
  out = Option.String("--out", {
    required: true,
    description: "The result file",
  });

  async execute(): Promise<number> {
    const plan = parsePlan(readFileSync(this.plan, "utf8"));
    const seed = Number(this.seed);
    const seconds = Number(this.seconds);
    if (plan.err) return this.#usage(plan.val);
    if (!Number.isInteger(seed)) return this.#usage(`Bad seed "${this.seed}"`);
    if (!(seconds > 0)) return this.#usage(`Bad seconds "${this.seconds}"`);
    const entries = this.entries.split(",").filter((entry) => entry !== "");
    const report = await runBench(plan.val, entries, { seed, seconds });
    writeFileSync(this.out, JSON.stringify(report, null, 1) + "\n");
    return BenchExitCode.Done;
  }

  #usage(problem: string): number {
    this.context.stderr.write(`${problem}\n`);
    return BenchExitCode.Usage;
  }
}

class CompareCommand extends Command {
  static override paths = [["compare"]];
  static override usage = Command.Usage({
    description: "Prints the figures of two result files and their change",
  });

  a = Option.String();
  b = Option.String();

  execute(): Promise<number> {
    const rows = compareReports(readReport(this.a), readReport(this.b));
    this.context.stdout.write(formatDifferences(rows));
    return Promise.resolve(BenchExitCode.Done);
  }
}

class PlotCommand extends Command {
  static override paths = [["plot"]];
  static override usage = Command.Usage({
    description: "Draws goodput by organisation over time",
  });

  file = Option.String();
  svg = Option.String("--svg", {
    required: true,
    description: "The SVG file to write",
  });

  execute(): Promise<number> {
    writeFileSync(this.svg, plotGoodput(readReport(this.file)));
    return Promise.resolve(BenchExitCode.Done);
  }
}

function readReport(file: string): BenchReport {
  return JSON.parse(readFileSync(file, "utf8")) as BenchReport;
}

const cli = new Cli({ binaryName: "toucanwind-bench" });
cli.register(Builtins.HelpCommand);
cli.register(RunCommand);
cli.register(CompareCommand);
cli.register(PlotCommand);

cli.run(process.argv.slice(2), Cli.defaultContext).then((code) => {
  process.exitCode = code;
});
