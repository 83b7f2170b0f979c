/**
 * Simulates operators who edit the configuration concurrently, with a process
 * per command and a platform that loses answers. Used by a test and by longer
 * experiments.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fromNullable } from "fp-ts/Option";
import { z } from "zod";
import { pool, route, tables } from "../../stand_ins/builders.ts";
import { FaultKind } from "../../stand_ins/faults.ts";
import { startPlatform } from "../../stand_ins/platform.ts";
import { HashRandom } from "../../stand_ins/hash_random.ts";
import type { KeyValueEntry } from "../outside/mod.ts";
import { hashKey, printTables, type RevisionMetadata } from "../tables/mod.ts";
import type { ReportedOutcome } from "./history_check.ts";
import { EditOutcome } from "./revision_store.ts";

const COMMAND_PATH = join(__dirname, "../bin/toucanwind.js");
const GUARD_PATH = join(__dirname, "../../stand_ins/guard.js");
const COMMAND_TIMEOUT_MS = 60_000;
const MAX_KILL_DELAY_MS = 1_500;
const SHORT_RETRY_TIMEOUT_MS = "150";
const MAX_ENTRIES = 10_000;

/** The operators' load and the probabilities of faults. */
export interface ConcurrentEditOptions {
  readonly seed: number;
  readonly operators: number;
  readonly edits: number;
  /** Probability that the answer to a call is lost. */
  readonly answerLossProbability: number;
  /** Probability that a call fails before it takes effect. */
  readonly callFailureProbability: number;
  /** Probability that a command is killed, at a random time. */
  readonly killProbability: number;
}

/** The stored entries and the outcomes that the commands reported. */
export interface ConcurrentEditResult {
  readonly entries: readonly KeyValueEntry[];
  readonly outcomes: readonly ReportedOutcome[];
  /** Number of commands that were killed before they printed a report. */
  readonly unreported: number;
}

/** The part of a command's `--json` output that is checked. */
const reportSchema = z.looseObject({
  outcome: z.string(),
  attempt: z.string().optional(),
  on: z.number().optional(),
  revision: z.number().optional(),
  winner: z.custom<RevisionMetadata>().nullish(),
});

type CommandReport = z.infer<typeof reportSchema>;

/** Runs all operators' edits to completion. */
export async function runConcurrentEdits(
  options: ConcurrentEditOptions,
): Promise<ConcurrentEditResult> {
  const platform = await startPlatform();
  const folder = mkdtempSync(join(tmpdir(), "toucanwind-race-"));
  try {
    const command = (args: readonly string[], killMs?: number) =>
      runCommand(args, { url: platform.url, killMs });
    await command(["apply", writeTables(folder, 1), "--wait-ms", "0"]);
    const { seed } = options;
    platform.inject([
      {
        kind: FaultKind.Lost,
        operation: "*",
        probability: options.answerLossProbability,
        seed,
      },
      {
        kind: FaultKind.Outage,
        operation: "*",
        probability: options.callFailureProbability,
        seed: seed + 1,
      },
    ]);
    const operators = Array.from({ length: options.operators }, (_, at) => at);
    const results = await Promise.all(
      operators.map((operator) =>
        runOperator({ ...options, operator, folder, command })
      ),
    );
    platform.inject([]);
    return {
      entries: await readEntries(platform.url),
      outcomes: results.flatMap((result) => result.outcomes),
      unreported: results.reduce((sum, result) => sum + result.unreported, 0),
    };
  } finally {
    rmSync(folder, { recursive: true });
    await platform.close();
  }
}

interface OperatorOptions extends ConcurrentEditOptions {
  readonly operator: number;
  readonly folder: string;
  command(
    args: readonly string[],
    killMs?: number,
  ): Promise<CommandReport | undefined>;
}

/** Runs one operator's edits in sequence. */
async function runOperator(
  options: OperatorOptions,
): Promise<{ outcomes: readonly ReportedOutcome[]; unreported: number }> {
  const { operator, folder, command, edits, killProbability } = options;
  const random = new HashRandom({ seed: options.seed * 1_000 + operator });
  const ownFolder = join(folder, `operator-${operator}`);
  const outcomes: ReportedOutcome[] = [];
  let unreported = 0;
  for (let nth = 0; nth < edits; nth++) {
    const shown = await command(["show", "--json", "--out", ownFolder]);
    const on = shown?.revision ?? 0;
    const args = randomEdit({ random, operator, nth, on, folder: ownFolder });
    const killMs = random.next() < killProbability
      ? random.next() * MAX_KILL_DELAY_MS
      : undefined;
    const reply = await command(args, killMs);
    if (reply === undefined) unreported++;
    else outcomes.push(...reportedOutcomes(reply));
    if (reply?.outcome !== EditOutcome.Unknown || args[0] !== "apply") continue;
    const resent = await command([
      ...args,
      "--attempt",
      reply.attempt ?? "",
    ]);
    if (resent !== undefined) outcomes.push(...reportedOutcomes(resent));
  }
  return { outcomes, unreported };
}

/** The command-line arguments of a random edit. */
function randomEdit(options: {
  random: HashRandom;
  operator: number;
  nth: number;
  on: number;
  folder: string;
}): readonly string[] {
  const { random, operator, nth, on } = options;
  const timeout = random.next() < 0.5
    ? ["--timeout-ms", SHORT_RETRY_TIMEOUT_MS]
    : [];
  const author = ["--author", `op-${operator}`];
  const common = ["--json", "--wait-ms", "0", ...author, ...timeout];
  const draw = random.next();
  const id = `key-${operator}-${nth}`;
  if (draw < 0.25) {
    const grant = ["--tenant", "one", "--route", "chat"];
    return ["key", "grant", id, ...grant, ...common];
  }
  if (draw < 0.4) {
    return ["key", "withdraw", `key-${operator}-${nth - 1}`, ...common];
  }
  if (draw < 0.5 && on > 1) {
    return ["rollback", String(on - 1), "--on", String(on), ...common];
  }
  const slots = 1 + Math.floor(random.next() * 4_000);
  writeTables(options.folder, slots);
  return ["apply", options.folder, "--on", String(on), ...common];
}

/** Writes files with only the first key; applying them withdraws the others. */
function writeTables(folder: string, slots: number): string {
  const key = { id: "first", sha256: hashKey("first"), tenant: "one" };
  const files = printTables(tables({
    routes: [route({ keys: [key] })],
    pools: [pool({ slots })],
  }));
  writeFileSync(join(folder, "routes.toml"), files.routes);
  writeFileSync(join(folder, "pools.toml"), files.pools);
  return folder;
}

function reportedOutcomes(report: CommandReport): readonly ReportedOutcome[] {
  const ending = Object.values(EditOutcome).find((one) =>
    one === report.outcome
  );
  if (ending === undefined || report.attempt === undefined) return [];
  const on = report.on ?? (report.revision ?? 0) - 1;
  const winner = fromNullable(report.winner);
  return [{ attempt: report.attempt, on, ending, winner }];
}

/** Runs one command; `undefined` if it was killed before it printed. */
async function runCommand(
  args: readonly string[],
  options: { url: string; killMs?: number },
): Promise<CommandReport | undefined> {
  const child = spawn(
    process.execPath,
    ["--require", GUARD_PATH, COMMAND_PATH, ...args],
    {
      stdio: ["ignore", "pipe", "ignore"],
      env: { ...process.env, TOUCANWIND_PLATFORM: options.url },
    },
  );
  const timer = setTimeout(
    () => child.kill("SIGKILL"),
    options.killMs ?? COMMAND_TIMEOUT_MS,
  );
  const chunks: Buffer[] = [];
  for await (const chunk of child.stdout) chunks.push(chunk);
  clearTimeout(timer);
  return parseReport(Buffer.concat(chunks).toString("utf8"));
}

function parseReport(text: string): CommandReport | undefined {
  try {
    return reportSchema.safeParse(JSON.parse(text)).data;
  } catch {
    // Killed before it printed, or a command without --json.
    return undefined;
  }
}

async function readEntries(url: string): Promise<readonly KeyValueEntry[]> {
  const query = `prefix=toucanwind/&limit=${MAX_ENTRIES}`;
  const answer = await fetch(`${url}/kv/range?${query}`);
  const { entries } = await answer.json() as {
    entries: readonly KeyValueEntry[];
  };
  return entries;
}
