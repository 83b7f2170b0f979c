/**
 * Measures the control overhead of an idle daemon against the number of
 * members: processor time, memory, and bytes and frames on peer links, with a
 * linear fit of each.
 *
 * Run: node dist/experiments/idle_cost.js [SIZES [UPSTREAMS]] > FILE, where
 * SIZES is a list such as 4,8,16 and UPSTREAMS a number of idle upstreams.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { FULL_MESH_MAX_MEMBERS } from "../src/peers/rendezvous.ts";
import { tables } from "../stand_ins/builders.ts";
import { type Daemon, startCluster } from "../stand_ins/cluster.ts";
import { startDaemons } from "./daemons.ts";

const DEFAULT_MEMBER_COUNTS = "4,8,16,32,64";
const SETTLE_MS = 10_000;
const MEASUREMENT_MS = 20_000;
/** Clock ticks per second in `/proc/PID/stat`. */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4096;
const TARGET_MEMBERS = 410;
/** Control overhead allowed per daemon. */
const BUDGET = {
  cpuPercent: 2.6,
  memoryMb: 128,
  bytesPerSecond: 24_000,
} as const;

/** Resources used by one daemon so far. */
interface ResourceUsage {
  readonly cpuSeconds: number;
  readonly memoryMb: number;
  readonly bytes: number;
  readonly frames: number;
  readonly framesByKind: Readonly<Record<string, number>>;
  readonly platformCalls: number;
}

/** Mean cost per daemon in a cluster of one size. */
interface Cost {
  readonly members: number;
  readonly cpuPercent: number;
  readonly memoryMb: number;
  /** Sent and received, excluding TCP and IP headers. */
  readonly bytesPerSecond: number;
  readonly framesPerSecond: number;
  readonly framesPerSecondByKind: Readonly<Record<string, number>>;
  /** Configuration calls to the platform by all daemons together. */
  readonly platformCallsPerSecond: number;
  readonly worst: {
    readonly cpuPercent: number;
    readonly memoryMb: number;
    readonly bytesPerSecond: number;
  };
}

async function main(): Promise<void> {
  const sizes = (process.argv[2] ?? DEFAULT_MEMBER_COUNTS).split(",").map(
    Number,
  );
  const costs: Cost[] = [];
  for (const members of sizes) {
    const cost = await measure(members, Number(process.argv[3] ?? 0));
    process.stderr.write(`${JSON.stringify(cost)}\n`);
    costs.push(cost);
  }
  // Up to eight daemons form a full mesh. Above that the number of neighbours
  // is bounded, so only larger clusters can be extrapolated to the target size.
  const aboveFullMesh = costs.filter((cost) =>
    cost.members > FULL_MESH_MAX_MEMBERS
  );
  const fits = {
    cpuPercent: fitLine(aboveFullMesh, (cost) => cost.cpuPercent),
    memoryMb: fitLine(aboveFullMesh, (cost) => cost.memoryMb),
    bytesPerSecond: fitLine(aboveFullMesh, (cost) => cost.bytesPerSecond),
    framesPerSecond: fitLine(aboveFullMesh, (cost) => cost.framesPerSecond),
  };
  const report = {
    settleMs: SETTLE_MS,
    sampleMs: MEASUREMENT_MS,
    budget: BUDGET,
  };
  console.log(JSON.stringify({ ...report, costs, fits }, null, 2));
}

async function measure(members: number, upstreams: number): Promise<Cost> {
  const cluster = await startCluster({
    daemons: 0,
    availabilityZones: ["a", "b", "c", "d"],
    tables: tables(),
    env: { DEBUG: "" },
  });
  try {
    const daemons = await startDaemons(cluster, members);
    for (let n = 0; n < upstreams; n++) {
      await cluster.addEngine({ id: `upstream-${n}` }, { tokenMs: 1_000 });
    }
    await sleep(SETTLE_MS);
    const before = await Promise.all(daemons.map(readUsage));
    const from = performance.now();
    await sleep(MEASUREMENT_MS);
    const after = await Promise.all(daemons.map(readUsage));
    const seconds = (performance.now() - from) / 1000;
    return summarize(before, after, seconds);
  } finally {
    await cluster.stop();
  }
}

async function readUsage(daemon: Daemon): Promise<ResourceUsage> {
  const answer = await fetch(`${daemon.url}/metrics`);
  const samples = parseMetrics(await answer.text());
  const kinds: Record<string, number> = {};
  for (const { name, labels, value } of samples) {
    if (name !== "toucanwind_peer_frames_total") continue;
    const kind = /kind="([^"]*)"/.exec(labels)?.[1] ?? "";
    kinds[kind] = (kinds[kind] ?? 0) + value;
  }
  const sum = (wanted: string) =>
    samples.filter(({ name }) => name === wanted)
      .reduce((total, { value }) => total + value, 0);
  return {
    ...processUsage(daemon.pid),
    bytes: sum("toucanwind_peer_bytes_total"),
    frames: sum("toucanwind_peer_frames_total"),
    framesByKind: kinds,
    platformCalls: sum("toucanwind_config_calls_total"),
  };
}

function processUsage(pid: number): { cpuSeconds: number; memoryMb: number } {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The process name in parentheses may contain spaces. After it, utime and
  // stime are fields 12 and 13, resident pages field 22.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  return {
    cpuSeconds: (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND,
    memoryMb: Number(fields[21]) * PAGE_BYTES / 1e6,
  };
}

/** One sample of the metrics page. */
interface MetricSample {
  readonly name: string;
  readonly labels: string;
  readonly value: number;
}

function parseMetrics(text: string): readonly MetricSample[] {
  return text.split("\n").flatMap((line) => {
    const match = /^([a-z_]+)(\{.*\})? (\S+)$/.exec(line);
    if (match === null) return [];
    return [{ name: match[1], labels: match[2] ?? "", value: +match[3] }];
  });
}

function summarize(
  before: readonly ResourceUsage[],
  after: readonly ResourceUsage[],
  seconds: number,
): Cost {
  const rates = after.map((late, index) => {
    const early = before[index];
    const rate = (of: (reading: ResourceUsage) => number) =>
      (of(late) - of(early)) / seconds;
    return {
      cpuPercent: 100 * rate((it) => it.cpuSeconds),
      memoryMb: late.memoryMb,
      bytesPerSecond: rate((it) => it.bytes),
      framesPerSecond: rate((it) => it.frames),
      platformCalls: rate((it) => it.platformCalls),
      kinds: Object.keys(late.framesByKind).map((kind) =>
        [kind, rate((it) => it.framesByKind[kind] ?? 0)] as const
      ),
    };
  });
  type Rate = (typeof rates)[number];
  const mean = (of: (rate: Rate) => number) =>
    round(rates.reduce((sum, rate) => sum + of(rate), 0) / rates.length);
  const worst = (of: (rate: Rate) => number) =>
    round(Math.max(...rates.map(of)));
  const kinds = new Set(rates.flatMap((rate) => rate.kinds.map(([it]) => it)));
  const ofKind = (wanted: string) => (rate: Rate) =>
    rate.kinds.find(([kind]) => kind === wanted)?.[1] ?? 0;
  return {
    members: rates.length,
    cpuPercent: mean((it) => it.cpuPercent),
    memoryMb: mean((it) => it.memoryMb),
    bytesPerSecond: mean((it) => it.bytesPerSecond),
    framesPerSecond: mean((it) => it.framesPerSecond),
    framesPerSecondByKind: Object.fromEntries(
      [...kinds].map((kind) => [kind, mean(ofKind(kind))]),
    ),
    platformCallsPerSecond: round(
      rates.reduce((sum, rate) => sum + rate.platformCalls, 0),
    ),
    worst: {
      cpuPercent: worst((it) => it.cpuPercent),
      memoryMb: worst((it) => it.memoryMb),
      bytesPerSecond: worst((it) => it.bytesPerSecond),
    },
  };
}

/** Fits a least-squares line and extrapolates it to the target size. */
function fitLine(costs: readonly Cost[], of: (cost: Cost) => number) {
  const points = costs.map((cost) => [cost.members, of(cost)] as const);
  const mean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const x = mean(points.map(([members]) => members));
  const y = mean(points.map(([, value]) => value));
  const slope = points.reduce(
    (sum, [members, value]) => sum + (members - x) * (value - y),
    0,
  ) /
    points.reduce((sum, [members]) => sum + (members - x) ** 2, 0);
  const base = y - slope * x;
  return {
    base: round(base),
    slope: Number(slope.toPrecision(3)),
    at410: round(base + slope * TARGET_MEMBERS),
  };
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

void main();
