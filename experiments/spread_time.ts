/**
 * Measures how long it takes until an edit is in force on all daemons, until
 * all consider a killed or paused daemon dead, and until all consider a resumed
 * one alive. The times are taken from the daemons' logs.
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
const EDIT_COUNT = 20;
const EDIT_INTERVAL_MS = 700;
const DAEMONS_PER_SIGNAL = 4;
const DETECTION_WAIT_MS = 6000;

/** A line of a daemon's log, with its time. */
interface LogLine {
  readonly at: number;
  readonly text: string;
}

/** Summary of times over all daemons and repetitions. */
interface TimeSummary {
  readonly events: number;
  readonly medianMs: number;
  readonly worstMs: number;
  /** Number of events missing from the logs. */
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
    const edits = await measureEdits(cluster, started);
    const killed = await measureSignal(started, "SIGKILL");
    const paused = await measureSignal(started, "SIGSTOP");
    const returned = await measureSignal(started, "SIGCONT");
    console.log(
      JSON.stringify({ daemons, edits, killed, paused, returned }, null, 2),
    );
  } finally {
    await cluster.stop();
  }
}

async function measureEdits(
  cluster: Cluster,
  daemons: readonly Daemon[],
): Promise<TimeSummary> {
  const edits: { revision: number; at: number }[] = [];
  for (let i = 0; i < EDIT_COUNT; i++) {
    const { revision } = await cluster.configure(tables());
    edits.push({ revision, at: Date.now() });
    await sleep(EDIT_INTERVAL_MS);
  }
  await sleep(SETTLE_MS);
  const logs = daemons.map(readLog);
  return summarize(
    edits.flatMap(({ revision, at }) =>
      logs.map((log) =>
        after(log, at - EDIT_INTERVAL_MS, `in_force revision=${revision} `) - at
      )
    ),
  );
}

async function measureSignal(
  daemons: readonly Daemon[],
  signal: "SIGKILL" | "SIGSTOP" | "SIGCONT",
): Promise<TimeSummary> {
  // The first daemons are killed; the next ones are paused and later resumed.
  const from = signal === "SIGKILL" ? 0 : DAEMONS_PER_SIGNAL;
  const signalled = daemons.slice(from, from + DAEMONS_PER_SIGNAL);
  const others = daemons.slice(2 * DAEMONS_PER_SIGNAL);
  const status = signal === "SIGCONT" ? "alive" : "dead";
  const times: number[] = [];
  for (const daemon of signalled) {
    const at = Date.now();
    process.kill(daemon.pid, signal);
    await sleep(DETECTION_WAIT_MS);
    const logText = `member vm=${daemon.id} status=${status}`;
    times.push(...others.map((it) => after(readLog(it), at, logText) - at));
  }
  return summarize(times);
}

function readLog(daemon: Daemon): readonly LogLine[] {
  return readFileSync(daemon.logFile, "utf8").split("\n").map((line) => ({
    at: Date.parse(line.split(" ")[0]),
    text: `${line} `,
  }));
}

// Returns when `text` was first logged after `at`, `Infinity` if never.
function after(log: readonly LogLine[], at: number, text: string): number {
  const found = log.find((line) => line.at >= at && line.text.includes(text));
  return found?.at ?? Infinity;
}

function summarize(times: readonly number[]): TimeSummary {
  const known = times.filter(Number.isFinite).sort((a, b) => a - b);
  return {
    events: times.length,
    medianMs: known[Math.floor(known.length / 2)],
    worstMs: known[known.length - 1],
    missing: times.length - known.length,
  };
}

void main();
