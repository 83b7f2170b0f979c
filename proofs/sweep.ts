/**
 * Runs many scenarios, several in parallel, and prints a summary:
 * `node dist/proofs/sweep.js --from 1 --count 20 [--pairs] [--jobs 3]
 * [--seconds 10] [--faults 4] [--out FILE]`. Exits with 1 on any violation.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { parseArgs } from "node:util";

const RUN_FILE = join(__dirname, "run.js");
const RUN_TIMEOUT_MS = 180_000;

/** The summary that one run printed. */
interface RunSummary {
  readonly seed: number;
  readonly faults: readonly string[];
  readonly steps: number;
  readonly counts: Readonly<Record<string, number>>;
  readonly billing: readonly { tenant: string; got: number; billed: number }[];
  readonly violations: readonly string[];
}

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      from: { type: "string", default: "1" },
      count: { type: "string", default: "20" },
      jobs: { type: "string", default: "3" },
      seconds: { type: "string", default: "10" },
      faults: { type: "string", default: "4" },
      pairs: { type: "boolean", default: false },
      only: { type: "string", default: "" },
      out: { type: "string", default: "" },
    },
  });
  const { out, count, from, jobs, pairs, ...passed } = values;
  const args = Object.entries(passed).flatMap(([name, value]) =>
    value === "" ? [] : [`--${name}`, String(value)]
  );
  const seeds = Array.from(
    { length: Number(count) },
    (_, n) => Number(from) + n,
  );
  const waiting = [...seeds];
  const summaries: RunSummary[] = [];
  const worker = async () => {
    for (let seed = waiting.shift(); seed !== undefined;) {
      const options = pairs ? [...args, "--pairs"] : args;
      const summary = await runSeed(seed, options);
      summaries.push(summary);
      const found = summary.violations.length;
      console.log(`seed ${seed}: ${found} violations, ${summary.steps} steps`);
      for (const violation of summary.violations) console.log(`  ${violation}`);
      seed = waiting.shift();
    }
  };
  await Promise.all(Array.from({ length: Number(jobs) }, worker));
  summaries.sort((a, b) => a.seed - b.seed);
  const bad = summaries.filter(({ violations }) => violations.length > 0);
  console.log(`${summaries.length} runs, ${bad.length} with violations`);
  if (out !== "") writeFileSync(out, JSON.stringify(summaries, null, 1));
  process.exitCode = bad.length > 0 ? 1 : 0;
}

async function runSeed(
  seed: number,
  args: readonly string[],
): Promise<RunSummary> {
  const child = spawn(
    process.execPath,
    [RUN_FILE, "--seed", String(seed), ...args],
    { stdio: ["ignore", "pipe", "pipe"] },
  );
  const timer = setTimeout(() => child.kill("SIGTERM"), RUN_TIMEOUT_MS);
  let printed = "";
  let errors = "";
  child.stdout.on("data", (part) => printed += part);
  child.stderr.on("data", (part) => errors += part);
  await once(child, "close");
  clearTimeout(timer);
  try {
    return JSON.parse(printed.trim().split("\n").at(-1) ?? "") as RunSummary;
  } catch {
    const why = `The run did not end: ${errors.slice(-400)}`;
    return {
      seed,
      faults: [],
      steps: 0,
      counts: {},
      billing: [],
      violations: [why],
    };
  }
}

void main();
