/**
 * Compares the gateway with a minimal fastify-to-undici forwarder: requests per
 * second of processor time, and added latency. The upstream, the forwarders and
 * the load generator run in separate processes.
 *
 * Run: node dist/experiments/forward_cost.js > docs/measurements/forward.json
 *
 * @module
 */

import { type ChildProcess, fork } from "node:child_process";
import { fastify } from "fastify";
import { readFileSync } from "node:fs";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createHistogram } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, Pool } from "undici";
import {
  type Fixture,
  KEY,
  modelRoute,
  serviceRoute,
  withGateway,
} from "../src/gateway/fixture.ts";
import type { Pool as PoolLine } from "../src/tables/mod.ts";
import * as builders from "../stand_ins/builders.ts";
import { type Cluster, startCluster } from "../stand_ins/cluster.ts";
import { vm } from "../stand_ins/platform.ts";
import { HttpEngine } from "../src/outside/http_engine.ts";

const RUN_MS = Number(process.env.RUN_MS ?? 4_000);
const WARM_UP_MS = 1_000;
const ROUNDS = 3;
const TICKS_PER_SECOND = 100;
/** Directory of processor profiles; `PROFILE=gateway` profiles the gateway. */
const PROFILE_DIRECTORY = ".runs/profiles";
const CLEAR_INTERVAL_MS = 50;
const SETTLE_MS = 2_000;
const OUTPUT_TOKENS = 40;
const TOKEN_MS = 4;
/** Number of sequential requests of a latency measurement. */
const LATENCY_PROBES = 400;

/** A kind of request to send, and its concurrency. */
interface Workload {
  readonly name: string;
  readonly path: string;
  readonly body: string;
  readonly connections: number;
}

const COMPLETION = {
  model: "appraise-lm",
  prompt: "p".repeat(1000),
  max_tokens: OUTPUT_TOKENS,
};

const WORKLOADS: readonly Workload[] = [
  {
    name: "service",
    path: "/lots/7",
    body: "b".repeat(500),
    connections: 32,
  },
  {
    name: "service streamed",
    path: "/lots/stream",
    body: "b".repeat(500),
    connections: 200,
  },
  {
    name: "completion",
    path: "/v1/completions",
    body: JSON.stringify(COMPLETION),
    connections: 200,
  },
  {
    name: "completion streamed",
    path: "/v1/completions",
    body: JSON.stringify({ ...COMPLETION, stream: true }),
    connections: 200,
  },
];

/** Starts an upstream: a service, plain and streamed, and an engine. */
async function upstream(): Promise<number> {
  const server = createServer(async (request, response) => {
    if (request.method === "GET") return response.writeHead(404).end();
    let body = "";
    for await (const chunk of request) body += chunk;
    if (request.url === "/lots/7") {
      response.setHeader("content-type", "application/json");
      response.end(JSON.stringify({ lot: 7, text: "x".repeat(500) }));
      return;
    }
    response.writeHead(200, { "content-type": "text/event-stream" });
    const id = request.url === "/v1/completions"
      ? (JSON.parse(body) as { request_id?: string }).request_id ?? ""
      : "";
    stream(response, id);
  });
  server.keepAliveTimeout = 60_000;
  return await listen(server);
}

function stream(response: ServerResponse, id: string) {
  let n = 0;
  const timer = setInterval(() => {
    n++;
    const last = n === OUTPUT_TOKENS;
    const chunk = {
      id,
      text: " word",
      tokens: 1,
      weight_version: 3,
      finish_reason: last ? "length" : "",
      prompt_tokens: last ? 250 : 0,
    };
    response.write(`data: ${JSON.stringify(chunk)}\n\n`);
    if (!last) return;
    clearInterval(timer);
    response.end("data: [DONE]\n\n");
  }, TOKEN_MS);
  response.once("close", () => clearInterval(timer));
}

/** Starts the minimal forwarder: no key, route, deadline or usage record. */
async function bare(port: number): Promise<number> {
  const server = fastify();
  const agent = new Agent({ connections: 256, pipelining: 1 });
  server.removeAllContentTypeParsers();
  server.addContentTypeParser("*", (_request, _body, done) => done(null));
  server.all("/*", async (request, reply) => {
    const { host: _host, connection: _connection, ...headers } =
      request.headers;
    const response = await agent.request({
      origin: `http://127.0.0.1:${port}`,
      path: request.url,
      method: request.method as "POST",
      headers,
      body: request.raw,
    });
    reply.hijack();
    const { "transfer-encoding": _encoding, ...rest } = response.headers;
    reply.raw.writeHead(response.statusCode, rest);
    response.body.pipe(reply.raw);
  });
  await server.listen({ host: "127.0.0.1", port: 0 });
  return (server.server.address() as AddressInfo).port;
}

/** Starts the gateway with permits that are granted at once in its process. */
function gateway(port: number): Promise<number> {
  const targets = [{ id: "u1", address: `127.0.0.1:${port}` }];
  const routes = [serviceRoute(), modelRoute()];
  const engine = new HttpEngine();
  return new Promise((resolve) => {
    void withGateway({ routes, targets, engine }, (fixture) => {
      resolve(Number(new URL(fixture.url).port));
      setInterval(() => clearRecords(fixture), CLEAR_INTERVAL_MS);
      return new Promise(() => {});
    });
  });
}

/** Clears the calls that the fakes record; a daemon does not keep them. */
function clearRecords({ dispatch, usage }: Fixture) {
  dispatch.demands.length = 0;
  dispatch.released.length = 0;
  usage.uses.length = 0;
}

function listen(server: ReturnType<typeof createServer>): Promise<number> {
  return new Promise((resolve) => {
    server.listen(0, "127.0.0.1", () => {
      resolve((server.address() as AddressInfo).port);
    });
  });
}

/** A process under load: its port, and the processes whose time is counted. */
interface Target {
  readonly name: string;
  readonly port: number;
  readonly pids: readonly number[];
  readonly child?: ChildProcess;
}

function start(role: string, ...args: string[]): Promise<Target> {
  const execArgv = process.env.PROFILE === role
    ? ["--cpu-prof", `--cpu-prof-dir=${PROFILE_DIRECTORY}`]
    : [];
  const child = fork(__filename, [role, ...args], { execArgv });
  return new Promise((resolve) => {
    child.once("message", (port) => {
      const pids = [child.pid as number];
      resolve({ name: role, child, pids, port: Number(port) });
    });
  });
}

/** Starts three daemons; the targets are the shard leader and another one. */
async function startDaemonTargets(
  port: number,
): Promise<{ cluster: Cluster; targets: readonly Target[] }> {
  const pools = [pool("appraise", "appraise-lm"), pool("lots", "")];
  const keys = [builders.key(KEY, "authority")];
  const routes = [serviceRoute({ keys }), modelRoute({ keys })];
  const cluster = await startCluster({ tables: { routes, pools } });
  const address = `127.0.0.1:${port}`;
  for (const { name } of pools) {
    cluster.platform.putVm(vm({ id: `${name}-1`, pool: name, address }));
  }
  const pids = cluster.daemons.map(({ pid }) => pid);
  await sleep(SETTLE_MS);
  const targetOf = (leads: boolean): Target => {
    const daemon = cluster.daemons.find((daemon) =>
      daemon.log().includes("shard=shard/lots/0") === leads
    );
    const name = leads ? "daemon that keeps" : "daemon that asks";
    return { name, port: Number(new URL(daemon?.url ?? "").port), pids };
  };
  return { cluster, targets: [targetOf(true), targetOf(false)] };
}

function pool(name: string, model: string): PoolLine {
  return builders.pool({ name, model, slots: 1000 });
}

/** Returns the processor time used by the processes so far, in seconds. */
function cpuSeconds(pids: readonly number[]): number {
  return pids.reduce((sum, pid) => sum + cpuSecondsOf(pid), 0);
}

function cpuSecondsOf(pid: number): number {
  const fields = readFileSync(`/proc/${pid}/stat`, "utf8")
    .split(") ")[1].split(" ");
  return (Number(fields[11]) + Number(fields[12])) / TICKS_PER_SECOND;
}

/** Measures requests per second of processor time under full load. */
async function throughput(target: Target, workload: Workload): Promise<number> {
  const pool = connectionPool(target, workload.connections);
  const warm = performance.now() + WARM_UP_MS;
  await runClosedLoop(pool, workload, () => performance.now() < warm);
  const before = cpuSeconds(target.pids);
  const end = performance.now() + RUN_MS;
  const count = await runClosedLoop(
    pool,
    workload,
    () => performance.now() < end,
  );
  const usedSeconds = cpuSeconds(target.pids) - before;
  await pool.close();
  return Math.round(count / usedSeconds);
}

async function runClosedLoop(
  pool: Pool,
  workload: Workload,
  shouldContinue: () => boolean,
): Promise<number> {
  let count = 0;
  const caller = async () => {
    while (shouldContinue()) {
      await send(pool, workload);
      count++;
    }
  };
  await Promise.all(Array.from({ length: workload.connections }, caller));
  return count;
}

/** Measures the latency of sequential requests, in milliseconds. */
async function latency(
  target: Target,
  workload: Workload,
): Promise<{ p50Ms: number; p99Ms: number }> {
  const pool = connectionPool(target, 1);
  const times = createHistogram();
  const probes = workload.connections > 100
    ? LATENCY_PROBES / 10
    : LATENCY_PROBES;
  for (let n = 0; n < probes; n++) {
    const at = performance.now();
    await send(pool, workload);
    times.record(Math.round(1000 * (performance.now() - at)));
  }
  await pool.close();
  const ms = (percentile: number) =>
    Math.round(times.percentile(percentile)) / 1000;
  return { p50Ms: ms(50), p99Ms: ms(99) };
}

function connectionPool(target: Target, connections: number): Pool {
  return new Pool(`http://127.0.0.1:${target.port}`, {
    connections,
    pipelining: 1,
  });
}

async function send(pool: Pool, workload: Workload): Promise<void> {
  const response = await pool.request({
    method: "POST",
    path: workload.path,
    headers: { "content-type": "application/json", "x-api-key": KEY },
    body: workload.body,
  });
  await response.body.dump({ limit: 1 << 24 });
  if (response.statusCode !== 200) {
    throw new Error(`Unexpected status ${response.statusCode}`);
  }
}

function median(values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)];
}

async function measure(
  targets: readonly Target[],
  work: Workload,
): Promise<unknown> {
  const rates = new Map<string, number[]>(
    targets.map(({ name }) => [name, []]),
  );
  const latencies: Record<string, unknown> = {};
  for (let round = 0; round < ROUNDS; round++) {
    for (const target of targets.slice(1)) {
      rates.get(target.name)?.push(await throughput(target, work));
    }
  }
  for (const it of targets) latencies[it.name] = await latency(it, work);
  const bare = median(rates.get("bare") ?? []);
  const rows = targets.slice(1).map(({ name }) => {
    const each = rates.get(name) ?? [];
    const share = Math.round(100 * median(each) / bare) / 100;
    return { name, requestsPerCpuSecond: each, shareOfBare: share };
  });
  return { work: work.name, rows, latencies };
}

async function main(): Promise<void> {
  const upstream = await start("upstream");
  const { port } = upstream;
  const bare = await start("bare", String(port));
  const gateway = await start("gateway", String(port));
  const { cluster, targets } = await startDaemonTargets(port);
  try {
    const rows = [];
    const only = process.env.WORK;
    for (const workload of WORKLOADS) {
      if (only && workload.name !== only) continue;
      rows.push(await measure([upstream, bare, gateway, ...targets], workload));
    }
    console.log(JSON.stringify({ runMs: RUN_MS, rows }, null, 2));
  } finally {
    await Promise.all(cluster.daemons.map((daemon) => daemon.terminate()));
    await cluster.stop();
    for (const { child } of [upstream, bare, gateway]) child?.disconnect();
  }
}

const [role, port] = process.argv.slice(2);
if (role === undefined) void main();
else {
  const roles: Record<string, () => Promise<number>> = {
    upstream,
    bare: () => bare(Number(port)),
    gateway: () => gateway(Number(port)),
  };
  process.once("disconnect", () => process.exit(0));
  void roles[role]().then((port) => process.send?.(port));
}
