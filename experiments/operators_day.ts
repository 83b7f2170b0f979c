/**
 * Runs a sequence of operator tasks with real processes: daemons, commands, a
 * platform stand-in and engines. Writes a transcript of commands and output:
 * `node dist/experiments/operators_day.js docs/operators/transcript.md`.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type Cluster,
  type Daemon,
  startCluster,
} from "../stand_ins/cluster.ts";
import { FaultKind } from "../stand_ins/faults.ts";

const COMMAND = join(__dirname, "../src/bin/toucanwind.js");
const CALL_TIMEOUT_MS = 10_000;
const ENGINE_COUNT = 2;

const POOLS_TOML = `[pools.appraise-lm]
model = "appraise-lm"
min_upstreams = 0
max_upstreams = 4
availability_zones = ["a"]
`;

const ROUTES_TOML = `[routes.appraise]
kind = "model"
model = "appraise-lm"
pool = "appraise-lm"
priority = "interactive"
deadline_ms = 10000
tenants = { authority = 4, insurer = 1 }
`;

/** Runs commands and collects a Markdown transcript of them. */
class Transcript {
  readonly #cluster: Cluster;
  readonly #folder = mkdtempSync(join(tmpdir(), "toucanwind-day-"));
  readonly #lines: string[] = [];

  constructor(cluster: Cluster) {
    this.#cluster = cluster;
  }

  get text(): string {
    return this.#lines.join("\n") + "\n";
  }

  get tables(): string {
    return join(this.#folder, "tables");
  }

  /** Starts a section with a heading and text. */
  section(title: string, ...prose: readonly string[]): void {
    this.#lines.push(`## ${title}`, "", ...prose, "");
  }

  /** Writes a configuration file and adds its content. */
  file(name: string, text: string): void {
    writeFileSync(join(this.#folder, name), text);
    this.#block([`$ cat ${name}`, ...text.trimEnd().split("\n")]);
  }

  /** Runs a command, adds it with its output, and returns the output. */
  async run(...args: readonly string[]): Promise<string> {
    const { output, exit } = await this.command(args);
    const typed = args.map((arg) => /[^\w./=-]/.test(arg) ? `"${arg}"` : arg);
    this.#block([
      `$ toucanwind ${typed.join(" ")}`,
      ...output.trimEnd().split("\n"),
      `# exit code ${exit}`,
    ]);
    return output;
  }

  /** Runs a command in the folder of the configuration files. */
  async command(
    args: readonly string[],
  ): Promise<{ output: string; exit: number | null }> {
    const child = spawn(process.execPath, [COMMAND, ...args], {
      cwd: this.#folder,
      stdio: ["ignore", "pipe", "pipe"],
      env: {
        ...process.env,
        TOUCANWIND_PLATFORM: this.#cluster.platform.url,
        TOUCANWIND_ENTRY: this.#cluster.daemons.map((one) => one.url).join(","),
        TOUCANWIND_AUTHOR: process.env.TOUCANWIND_AUTHOR ?? "ana",
      },
    });
    const chunks: Buffer[] = [];
    child.stdout.on("data", (chunk: Buffer) => chunks.push(chunk));
    child.stderr.on("data", (chunk: Buffer) => chunks.push(chunk));
    const exit = await new Promise<number | null>((resolve) =>
      child.once("close", resolve)
    );
    return { output: Buffer.concat(chunks).toString("utf8"), exit };
  }

  /** Calls the route through each daemon and adds the results. */
  async call(key: string): Promise<void> {
    const lines: string[] = [];
    for (const daemon of this.#cluster.daemons) {
      if (daemon.pid === 0) continue;
      lines.push(`${daemon.id}: ${await complete(daemon, key)}`);
    }
    this.#block(["POST /v1/completions, through each daemon", ...lines]);
  }

  /** Adds text between commands. */
  prose(...lines: readonly string[]): void {
    this.#lines.push(...lines, "");
  }

  /** Adds a block of lines that no command printed. */
  note(...lines: readonly string[]): void {
    this.#block(lines);
  }

  close(): void {
    rmSync(this.#folder, { recursive: true });
  }

  #block(lines: readonly string[]): void {
    this.#lines.push("```", ...lines, "```", "");
  }
}

async function complete(daemon: Daemon, key: string): Promise<string> {
  const headers = {
    "content-type": "application/json",
    ...(key === "" ? {} : { authorization: `Bearer ${key}` }),
  };
  const body = JSON.stringify({
    model: "appraise-lm",
    prompt: "A dented door",
    max_tokens: 4,
  });
  const answer = await fetch(`${daemon.url}/v1/completions`, {
    method: "POST",
    headers,
    body,
    signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
  });
  const { error, usage } = await answer.json() as {
    error?: { reason?: string; code?: string; verdict?: string };
    usage?: { completion_tokens: number };
  };
  const result = error === undefined
    ? `${usage?.completion_tokens} tokens`
    : JSON.stringify(error);
  return `${answer.status} ${result}`;
}

async function showFirstRoute(transcript: Transcript): Promise<void> {
  transcript.section(
    "The first route",
    "The files are checked before anything else.",
  );
  transcript.file(
    "pools.toml",
    POOLS_TOML.replace("max_upstreams = 4", "slots = 0"),
  );
  transcript.file("routes.toml", ROUTES_TOML);
  await transcript.run("validate");
  transcript.file("pools.toml", POOLS_TOML);
  await transcript.run("validate");
  await transcript.run("apply", "--note", "first route");
  await transcript.run("in-force");
  await transcript.run("show");
}

async function showNewKey(transcript: Transcript): Promise<string> {
  transcript.section("A new key", "No call runs without a key.");
  await transcript.call("");
  const granted = await transcript.run(
    ...["key", "grant", "insurer-1", "--tenant", "insurer"],
    ...["--route", "appraise"],
  );
  const key = /key +(tw_\S+)/.exec(granted)?.[1] ?? "";
  await transcript.call(key);
  return key;
}

async function showConcurrentEdits(transcript: Transcript): Promise<void> {
  transcript.section(
    "A race",
    "Two operators edit revision 2. The first is accepted, the second is told",
    "whose edit came first.",
  );
  await transcript.run("show", "--out", "tables");
  await transcript.run("show", "--out", "others");
  const weight = (folder: string, value: number) =>
    transcript.command(["show", "--json"]).then(({ output }) => {
      const sha256 = /"sha256": "(\w+)"/.exec(output)?.[1] ?? "";
      transcript.file(
        `${folder}/routes.toml`,
        ROUTES_TOML.replace("authority = 4", `authority = ${value}`) +
          `\n[routes.appraise.keys]\n` +
          `insurer-1 = { tenant = "insurer", sha256 = "${sha256}" }\n`,
      );
    });
  await weight("tables", 6);
  await weight("others", 2);
  await transcript.run("diff", "tables");
  await transcript.run(
    ...["apply", "tables", "--on", "2", "--note", "auction day"],
  );
  await transcript.run(
    ...["apply", "others", "--on", "2", "--author", "ben"],
    ...["--note", "less for the auction"],
  );
}

async function showKeyWithdrawal(
  transcript: Transcript,
  key: string,
): Promise<void> {
  transcript.section("A withdrawal", "The key stops working on every daemon.");
  await transcript.run("key", "withdraw", "insurer-1");
  await transcript.call(key);
  transcript.prose("The files from before would bring it back:");
  await transcript.run("apply", "tables", "--on", "4");
}

async function showRollback(transcript: Transcript): Promise<void> {
  transcript.section(
    "Going back",
    "A rollback is a new revision. The withdrawn key stays withdrawn.",
  );
  await transcript.run("rollback", "2", "--note", "auction is over");
  await transcript.run("show");
}

async function showLaggingDaemon(
  transcript: Transcript,
  cluster: Cluster,
): Promise<void> {
  transcript.section(
    "A daemon that lags",
    "The process of one daemon is stopped (SIGSTOP) while an edit is made.",
  );
  const [, paused] = cluster.daemons;
  paused.pause();
  await transcript.run(
    ...["rollback", "3", "--note", "next auction", "--wait-ms", "1500"],
  );
  transcript.prose(`Then ${paused.id} goes on (SIGCONT).`);
  paused.resume();
  await transcript.run("in-force", "--wait-ms", "6000");
}

async function showPlatformFaults(
  transcript: Transcript,
  cluster: Cluster,
): Promise<void> {
  transcript.section(
    "A platform in trouble",
    "Answers to two writes are lost after they took effect:",
  );
  const { platform } = cluster;
  platform.inject([{ kind: FaultKind.Lost, operation: "swap", count: 2 }]);
  await transcript.run("rollback", "5", "--note", "with lost answers");
  transcript.prose("The key-value service is down:");
  platform.inject([{ kind: FaultKind.Outage, operation: "*" }]);
  await transcript.run("rollback", "3", "--timeout-ms", "1000");
  platform.inject([]);
}

async function showDrain(
  transcript: Transcript,
  cluster: Cluster,
): Promise<void> {
  transcript.section(
    "Draining a VM",
    "The VM leaves the platform's list, and its daemon gets SIGTERM.",
  );
  const granted = await transcript.run(
    ...["key", "grant", "authority-1", "--tenant", "authority"],
    ...["--route", "appraise"],
  );
  const key = /key +(tw_\S+)/.exec(granted)?.[1] ?? "";
  const leaving = cluster.daemons[2];
  const calls = [0, 1, 2, 3].map(() => complete(leaving, key));
  cluster.platform.removeVm(leaving.id);
  const exit = leaving.terminate();
  const answers = await Promise.all(calls);
  transcript.note(
    `${leaving.id} ended with exit code ${await exit}; the calls that it had:`,
    ...answers,
  );
  await sleep(2_500);
  await transcript.run("in-force");
  await transcript.run("history");
}

async function main(path: string): Promise<void> {
  const cluster = await startCluster({ daemons: 3 });
  const transcript = new Transcript(cluster);
  try {
    for (let at = 1; at <= ENGINE_COUNT; at++) {
      await cluster.addEngine({ id: `engine-${at}`, pool: "appraise-lm" });
    }
    await showFirstRoute(transcript);
    const key = await showNewKey(transcript);
    await showConcurrentEdits(transcript);
    await showKeyWithdrawal(transcript, key);
    await showRollback(transcript);
    await showLaggingDaemon(transcript, cluster);
    await showPlatformFaults(transcript, cluster);
    await showDrain(transcript, cluster);
    transcript.section("Status", "Of the daemon that answers first.");
    await transcript.run("status", "upstreams");
    await transcript.run("status", "tenants", "--all");
    await transcript.run("status");
  } finally {
    writeFileSync(path, heading() + transcript.text);
    transcript.close();
    await cluster.stop();
  }
}

function heading(): string {
  return [
    "# An operator's day",
    "",
    "What three daemons, a stand-in for the platform and two for engines",
    "answered, as `node dist/experiments/operators_day.js FILE` wrote it down.",
    "The keys are of this run only.",
    "",
  ].join("\n");
}

main(process.argv[2] ?? "docs/operators/transcript.md").catch((error) => {
  console.error(error);
  process.exitCode = 1;
});
