/**
 * A cluster on loopback for tests: stand-ins in the test's process, daemons as
 * processes of their own, settings in a temporary folder.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { randomUUID } from "node:crypto";
import { once } from "node:events";
import {
  closeSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer, type Server } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { Role, type Vm } from "../src/outside/mod.ts";
import {
  type Configuration,
  CONFIGURATION_KEY,
  type Tables,
} from "../src/tables/mod.ts";
import {
  type EngineOptions,
  type EngineStandIn,
  startEngine,
} from "./engine.ts";
import type { HistoryEvent } from "./history.ts";
import {
  type PlatformOptions,
  type PlatformStandIn,
  startPlatform,
  vm,
} from "./platform.ts";
import { TcpRelay } from "./tcp_relay.ts";
import {
  type ServiceOptions,
  type ServiceStandIn,
  startService,
} from "./service.ts";
import type { StoredEntry } from "./store.ts";

const DAEMON = join(__dirname, "../src/bin/toucanwindd.js");
const GUARD = join(__dirname, "guard.js");
/** As in the daemon's first line, and a guard that ends it with the test. */
const NODE_OPTIONS = ["--max-semi-space-size=1", "--require", GUARD];
const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;

/** What a cluster consists of. */
export interface ClusterOptions {
  /** Number of daemons; 3 by default. */
  readonly daemons?: number;
  readonly availabilityZones?: readonly string[];
  readonly platform?: PlatformOptions;
  /** Tables to configure before the daemons start. */
  readonly tables?: Tables;
  /** Times of the settings file, such as `{ lease_ms: 1000 }`. */
  readonly timing?: Readonly<Record<string, number>>;
  /** Options of the engines that orders start. */
  readonly orderedEngines?: EngineOptions;
  /** Whether daemons reach each other through relays; see `relays`. */
  readonly viaRelays?: boolean;
  /** Environment of the daemons besides this process's own. */
  readonly env?: Readonly<Record<string, string>>;
}

/** An upstream of a cluster. */
export interface UpstreamOptions {
  readonly id: string;
  readonly pool?: string;
  readonly availabilityZone?: string;
  readonly reclaimable?: boolean;
}

/** Starts a cluster; daemons are ready when this resolves. */
export async function startCluster(
  options: ClusterOptions = {},
): Promise<Cluster> {
  const cluster = new Cluster(options);
  try {
    await cluster.start();
    return cluster;
  } catch (error) {
    await cluster.stop();
    throw error;
  }
}

/** Stand-ins and daemons that a test started. */
export class Cluster {
  /** Settings, logs and nothing else; removed by `stop`. */
  readonly folder = madeFolder();
  /** What the stand-ins saw, in the order of recording. */
  readonly history: HistoryEvent[] = [];
  readonly engines = new Map<string, EngineStandIn>();
  readonly services = new Map<string, ServiceStandIn>();
  readonly daemons: Daemon[] = [];
  /** The relay in front of each daemon's peer port, by VM id. */
  readonly relays = new Map<string, TcpRelay>();
  readonly #options: ClusterOptions;
  #platform?: PlatformStandIn;
  #ordered = 0;

  constructor(options: ClusterOptions) {
    this.#options = options;
  }

  /** The platform stand-in; there from the start on. */
  get platform(): PlatformStandIn {
    if (this.#platform === undefined) throw new Error("Cluster isn't started");
    return this.#platform;
  }

  /** Starts the platform, configures the tables, starts the daemons. */
  async start(): Promise<void> {
    this.#platform = await startPlatform({
      sink: (event) => this.history.push(event),
      ...this.#options.orderedEngines && this.#launching(),
      ...this.#options.platform,
    });
    if (this.#options.tables) await this.configure(this.#options.tables);
    for (let n = 0; n < (this.#options.daemons ?? 3); n++) {
      await this.addDaemon(`entry-${n + 1}`);
    }
    await Promise.all(this.daemons.map((daemon) => daemon.ready()));
  }

  /** Writes the next revision of the configuration; answers with it. */
  async configure(tables: Tables): Promise<Configuration> {
    const { url } = this.platform;
    const answer = await fetch(`${url}/kv?key=${CONFIGURATION_KEY}`);
    const { entry } = await answer.json() as { entry: StoredEntry | null };
    const latest: Configuration | null = entry && JSON.parse(entry.value);
    const configuration = {
      revision: (latest?.revision ?? 0) + 1,
      attempt: randomUUID(),
      author: "test",
      note: "",
      at: new Date().toISOString(),
      tables,
    };
    const swap = await fetch(`${url}/kv/swap`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        key: CONFIGURATION_KEY,
        value: JSON.stringify(configuration),
        expected: entry?.revision ?? 0,
      }),
    });
    const { applied } = await swap.json() as { applied: boolean };
    if (!applied) throw new Error("Configuration was edited at the same time");
    this.history.push({
      t: performance.timeOrigin + performance.now(),
      at: "cluster",
      kind: "configured",
      revision: configuration.revision,
    });
    return configuration;
  }

  /** Starts a daemon and lists its VM; call `ready` on it to wait. */
  async addDaemon(
    id: string,
    options: { availabilityZone?: string } = {},
  ): Promise<Daemon> {
    const zones = this.#options.availabilityZones ?? ["a"];
    const availabilityZone = options.availabilityZone ??
      zones[this.daemons.length % zones.length];
    const [http, peer] = await freePorts(2);
    const daemon = new Daemon({
      id,
      folder: this.folder,
      env: this.#options.env ?? {},
      httpPort: http,
      settings: settingsText({
        id,
        availabilityZone,
        http,
        peer,
        platform: this.platform.url,
        timing: this.#options.timing ?? {},
      }),
    });
    const listed = this.#options.viaRelays ? await this.#relay(id, peer) : peer;
    this.platform.putVm(vm({
      id,
      role: Role.Entry,
      availabilityZone,
      address: `127.0.0.1:${listed}`,
      http: `127.0.0.1:${http}`,
    }));
    this.daemons.push(daemon);
    daemon.start();
    return daemon;
  }

  /** Starts an engine and lists its VM. */
  async addEngine(
    upstream: UpstreamOptions,
    options: EngineOptions = {},
  ): Promise<EngineStandIn> {
    const { engine, listed } = await this.#engine(upstream, options);
    this.platform.putVm(listed);
    return engine;
  }

  /** Starts a plain service and lists its VM. */
  async addService(
    upstream: UpstreamOptions,
    options: ServiceOptions = {},
  ): Promise<ServiceStandIn> {
    const service = await startService({
      name: upstream.id,
      sink: (event) => this.history.push(event),
      ...options,
    });
    this.services.set(upstream.id, service);
    this.platform.putVm(vm({
      pool: "services",
      ...upstream,
      address: `127.0.0.1:${service.port}`,
    }));
    return service;
  }

  /** Ends all that was started, and removes the folder. */
  async stop(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    await Promise.all([...this.engines.values()].map((e) => e.close()));
    await Promise.all([...this.services.values()].map((s) => s.close()));
    await Promise.all([...this.relays.values()].map((r) => r.close()));
    await this.#platform?.close();
    rmSync(this.folder, { recursive: true, force: true });
  }

  async #relay(id: string, port: number): Promise<number> {
    const relay = new TcpRelay({ host: "127.0.0.1", port });
    this.relays.set(id, relay);
    return await relay.listen();
  }

  async #engine(
    upstream: UpstreamOptions,
    options: EngineOptions,
  ): Promise<{ engine: EngineStandIn; listed: Vm }> {
    const engine = await startEngine({
      name: upstream.id,
      sink: (event) => this.history.push(event),
      ...options,
    });
    this.engines.set(upstream.id, engine);
    const address = `127.0.0.1:${engine.port}`;
    return { engine, listed: vm({ pool: "lm", ...upstream, address }) };
  }

  #launching(): PlatformOptions {
    return {
      launch: async (wanted) => {
        const id = `ordered-${++this.#ordered}`;
        const options = this.#options.orderedEngines ?? {};
        return (await this.#engine({ ...wanted, id }, options)).listed;
      },
      terminate: async ({ id }) => {
        await this.engines.get(id)?.close();
        this.engines.delete(id);
      },
    };
  }
}

/** A daemon as a process. */
export class Daemon {
  readonly id: string;
  /** Where callers, trainers and operators connect. */
  readonly url: string;
  readonly settingsFile: string;
  readonly logFile: string;
  readonly #env: Readonly<Record<string, string>>;
  #child?: ChildProcess;

  constructor(options: {
    id: string;
    folder: string;
    settings: string;
    httpPort: number;
    env: Readonly<Record<string, string>>;
  }) {
    this.id = options.id;
    this.url = `http://127.0.0.1:${options.httpPort}`;
    this.settingsFile = join(options.folder, `${options.id}.toml`);
    this.logFile = join(options.folder, `${options.id}.log`);
    this.#env = options.env;
    writeFileSync(this.settingsFile, options.settings);
  }

  /** The process id; 0 when it doesn't run. */
  get pid(): number {
    const child = this.#child;
    const running = child?.exitCode === null && child.signalCode === null;
    return running ? child.pid ?? 0 : 0;
  }

  /** Starts the process, again if it ended. */
  start(): void {
    const log = openSync(this.logFile, "a");
    const child = spawn(
      process.execPath,
      [...NODE_OPTIONS, DAEMON, "--settings", this.settingsFile],
      {
        stdio: ["ignore", log, log],
        env: { DEBUG: "toucanwind:*", ...process.env, ...this.#env },
      },
    );
    closeSync(log);
    this.#child = child;
    started.add(child);
    child.once("exit", () => started.delete(child));
  }

  /** Waits until the daemon serves callers. */
  async ready(timeoutMs = READY_TIMEOUT_MS): Promise<void> {
    const end = performance.now() + timeoutMs;
    while (performance.now() < end) {
      if (this.pid === 0) break;
      const answer = await fetch(`${this.url}/readyz`).catch(() => undefined);
      await answer?.arrayBuffer().catch(() => undefined);
      if (answer?.ok) return;
      await sleep(POLL_MS);
    }
    throw new Error(`Daemon "${this.id}" isn't ready; log: ${this.log()}`);
  }

  /** Stops the process without its knowledge, until `resume`. */
  pause(): void {
    this.#child?.kill("SIGSTOP");
  }

  /** Lets a paused process go on. */
  resume(): void {
    this.#child?.kill("SIGCONT");
  }

  /** Shuts the daemon down gracefully; answers with its exit code. */
  async terminate(): Promise<number | null> {
    return await this.#end("SIGTERM");
  }

  /** Kills the process; resolves when it is gone. */
  async kill(): Promise<void> {
    await this.#end("SIGKILL");
  }

  /** What the daemon wrote to its standard streams. */
  log(): string {
    return readFileSync(this.logFile, "utf8");
  }

  async #end(signal: "SIGTERM" | "SIGKILL"): Promise<number | null> {
    const child = this.#child;
    if (child === undefined || this.pid === 0) return child?.exitCode ?? null;
    const exit = once(child, "exit");
    child.kill(signal);
    await exit;
    return child.exitCode;
  }
}

/** Children of this process that haven't ended. */
const started = new Set<ChildProcess>();

function killStarted(): void {
  for (const child of started) child.kill("SIGKILL");
}

process.on("exit", killStarted);
process.on("SIGTERM", () => process.exit(1));
process.on("SIGINT", () => process.exit(1));

/** First of the ports that daemons get, below those that systems draw. */
const FIRST_PORT = 10_000;
/** Ports of one process, and processes that have ports of their own. */
const PORTS_EACH = 200;
const PORT_RANGES = 100;

/** A folder with the secret, written before any daemon can read it. */
function madeFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), "toucanwind-"));
  writeFileSync(join(folder, "peer.secret"), "loopback-secret");
  return folder;
}

let drawn = 0;

/**
 * Ports that were free a moment ago. Clusters of two processes draw from
 * different ranges, so that neither takes what the other is about to use.
 */
export async function freePorts(count: number): Promise<readonly number[]> {
  const first = FIRST_PORT + (process.pid % PORT_RANGES) * PORTS_EACH;
  const ports: number[] = [];
  while (ports.length < count) {
    const port = first + drawn++ % PORTS_EACH;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  server.listen(port, "127.0.0.1");
  const free = await Promise.race([
    once(server, "listening").then(() => true),
    once(server, "error").then(() => false),
  ]);
  if (free) await closed(server);
  return free;
}

function closed(server: Server): Promise<unknown> {
  const close = once(server, "close");
  server.close();
  return close;
}

function settingsText(fields: {
  id: string;
  availabilityZone: string;
  http: number;
  peer: number;
  platform: string;
  timing: Readonly<Record<string, number>>;
}): string {
  const services = ["key_value", "directory", "orders", "reports", "weights"];
  return [
    `vm = "${fields.id}"`,
    `availability_zone = "${fields.availabilityZone}"`,
    `region = "local"`,
    "[http]",
    `host = "127.0.0.1"`,
    `port = ${fields.http}`,
    "[peer]",
    `host = "127.0.0.1"`,
    `port = ${fields.peer}`,
    `secret_file = "peer.secret"`,
    "[platform]",
    ...services.map((name) => `${name} = "${fields.platform}"`),
    "[timing]",
    ...Object.entries(fields.timing).map(([name, ms]) => `${name} = ${ms}`),
    "",
  ].join("\n");
}
