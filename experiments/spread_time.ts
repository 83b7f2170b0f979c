/**
 * How long it takes until all daemons have an edit in force, and until all
 * have a killed or a paused daemon out of their members. The times are those
 * of the daemons' own logs.
 *
 * Run: node dist/experiments/spread_time.js [DAEMONS] > FILE
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { tables } from "../stand_ins/builders.ts";
import {
  type Cluster,
  type Daemon,
  startCluster,
} from "../stand_ins/cluster.ts";
import { startDaemons } from "./daemons.ts";

const DEFAULT_DAEMONS = 32;
const SETTLE_MS = 5000;
const EDITS = 20;
const EDIT_PAUSE_MS = 700;
const LOSSES = 4;
const LOSS_MS = 6000;

/** A line of a daemon's log. */
interface Line {
  readonly at: number;
  readonly text: string;
}

/** Times in milliseconds over all daemons and repetitions. */
interface Times {
  readonly events: number;
  readonly medianMs: number;
  readonly worstMs: number;
  /** Daemons whose log lacks the event. */
  readonly missing: number;
}

async function main(): Promise<void> {
  const daemons = Number(process.argv[2] ?? DEFAULT_DAEMONS);
  const cluster = await startCluster({
    daemons: 0,
    availabilityZones: ["a", "b", "c", "d"],
    tables: tables(),
    env: { DEBUG: "toucanwind:config,toucanwind:peers" },
  });
  try {
    const started = await startDaemons(cluster, daemons);
    await sleep(SETTLE_MS);
    const edits = await edit(cluster, started);
    const killed = await lose(started, "SIGKILL");
    const paused = await lose(started, "SIGSTOP");
    const returned = await lose(started, "SIGCONT");
    console.log(
      JSON.stringify({ daemons, edits, killed, paused, returned }, null, 2),
    );
  } finally {
    await cluster.stop();
  }
}

async function edit(
  cluster: Cluster,
  daemons: readonly Daemon[],
): Promise<Times> {
  const edits: { revision: number; at: number }[] = [];
  for (let i = 0; i < EDITS; i++) {
    const { revision } = await cluster.configure(tables());
    edits.push({ revision, at: Date.now() });
    await sleep(EDIT_PAUSE_MS);
  }
  await sleep(SETTLE_MS);
  const logs = daemons.map(read);
  return summary(
    edits.flatMap(({ revision, at }) =>
      logs.map((log) =>
        after(log, at - EDIT_PAUSE_MS, `in_force revision=${revision} `) - at
      )
    ),
  );
}

async function lose(
  daemons: readonly Daemon[],
  signal: "SIGKILL" | "SIGSTOP" | "SIGCONT",
): Promise<Times> {
  // The killed come first, then the paused, which are those that wake.
  const from = signal === "SIGKILL" ? 0 : LOSSES;
  const victims = daemons.slice(from, from + LOSSES);
  const others = daemons.slice(2 * LOSSES);
  const status = signal === "SIGCONT" ? "alive" : "dead";
  const times: number[] = [];
  for (const victim of victims) {
    const at = Date.now();
    process.kill(victim.pid, signal);
    await sleep(LOSS_MS);
    const said = `member vm=${victim.id} status=${status}`;
    times.push(...others.map((it) => after(read(it), at, said) - at));
  }
  return summary(times);
}

function read(daemon: Daemon): readonly Line[] {
  return readFileSync(daemon.logFile, "utf8").split("\n").map((line) => ({
    at: Date.parse(line.split(" ")[0]),
    text: `${line} `,
  }));
}

// When `text` was first logged after `at`; endless if never.
function after(log: readonly Line[], at: number, text: string): number {
  const found = log.find((line) => line.at >= at && line.text.includes(text));
  return found?.at ?? Infinity;
}

function summary(times: readonly number[]): Times {
  const known = times.filter(Number.isFinite).sort((a, b) => a - b);
  return {
    events: times.length,
    medianMs: known[Math.floor(known.length / 2)],
    worstMs: known[known.length - 1],
    missing: times.length - known.length,
  };
}

void main();
