/**
 * A cluster on loopback for tests: stand-ins run in the test process, daemons
 * as child processes, with their settings in a temporary folder.
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
/**
 * Options of the daemon's shebang line, and a guard that ends the process with
 * the test.
 */
const NODE_OPTIONS = ["--max-semi-space-size=1", "--require", GUARD];
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_INTERVAL_MS = 50;

/** Composition of a cluster. */
export interface ClusterOptions {
  /** Number of daemons; 3 by default. */
  readonly daemons?: number;
  readonly availabilityZones?: readonly string[];
  readonly platform?: PlatformOptions;
  /** Tables to configure before the daemons start. */
  readonly tables?: Tables;
  /** Entries of the `[timing]` settings, such as `{ lease_ms: 1000 }`. */
  readonly timing?: Readonly<Record<string, number>>;
  /** Options of the engines that orders start. */
  readonly orderedEngines?: EngineOptions;
  /** Whether peer links run through relays; see `Cluster.relays`. */
  readonly viaRelays?: boolean;
  /** Environment variables of the daemons, added to this process's own. */
  readonly env?: Readonly<Record<string, string>>;
}

/** An upstream of a cluster. */
export interface UpstreamOptions {
  readonly id: string;
  readonly pool?: string;
  readonly availabilityZone?: string;
  readonly reclaimable?: boolean;
}

/** Starts a cluster; resolves when its daemons are ready. */
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
  /** Holds only settings and logs; removed by `stop`. */
  readonly folder = createSettingsFolder();
  /** Events of all stand-ins, in the order of recording. */
  readonly history: HistoryEvent[] = [];
  readonly engines = new Map<string, EngineStandIn>();
  readonly services = new Map<string, ServiceStandIn>();
  readonly daemons: Daemon[] = [];
  /** The relay in front of each daemon's peer port, by VM id. */
  readonly relays = new Map<string, TcpRelay>();
  readonly #options: ClusterOptions;
  #platform?: PlatformStandIn;
  #orderedCount = 0;

  constructor(options: ClusterOptions) {
    this.#options = options;
  }

  /** The platform stand-in; available after `start`. */
  get platform(): PlatformStandIn {
    if (this.#platform === undefined) throw new Error("Cluster isn't started");
    return this.#platform;
  }

  /** Starts the platform, configures the tables, starts the daemons. */
  async start(): Promise<void> {
    this.#platform = await startPlatform({
      sink: (event) => this.history.push(event),
      ...this.#options.orderedEngines && this.#launchOptions(),
      ...this.#options.platform,
    });
    if (this.#options.tables) await this.configure(this.#options.tables);
    for (let n = 0; n < (this.#options.daemons ?? 3); n++) {
      await this.addDaemon(`entry-${n + 1}`);
    }
    await Promise.all(this.daemons.map((daemon) => daemon.ready()));
  }

  /** Writes the next revision of the configuration and returns it. */
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

  /** Starts a daemon and lists its VM; `Daemon.ready` waits until it serves. */
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

  /** Stops all daemons and stand-ins and removes the folder. */
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

  #launchOptions(): PlatformOptions {
    return {
      launch: async (wanted) => {
        const id = `ordered-${++this.#orderedCount}`;
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

/** A daemon in a child process. */
export class Daemon {
  readonly id: string;
  /** Base URL for callers, trainers and operators. */
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

  /** The process id; 0 if the process is not running. */
  get pid(): number {
    const child = this.#child;
    const running = child?.exitCode === null && child.signalCode === null;
    return running ? child.pid ?? 0 : 0;
  }

  /** Starts the process, or restarts it after it has ended. */
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
    runningChildren.add(child);
    child.once("exit", () => runningChildren.delete(child));
  }

  /** Waits until the daemon reports that it is ready to serve callers. */
  async ready(timeoutMs = READY_TIMEOUT_MS): Promise<void> {
    const end = performance.now() + timeoutMs;
    while (performance.now() < end) {
      if (this.pid === 0) break;
      const answer = await fetch(`${this.url}/readyz`).catch(() => undefined);
      await answer?.arrayBuffer().catch(() => undefined);
      if (answer?.ok) return;
      await sleep(READY_POLL_INTERVAL_MS);
    }
    throw new Error(`Daemon "${this.id}" isn't ready; log: ${this.log()}`);
  }

  /** Freezes the process (SIGSTOP) until `resume`. */
  pause(): void {
    this.#child?.kill("SIGSTOP");
  }

  /** Continues a paused process. */
  resume(): void {
    this.#child?.kill("SIGCONT");
  }

  /** Shuts the daemon down gracefully; returns its exit code. */
  async terminate(): Promise<number | null> {
    return await this.#end("SIGTERM");
  }

  /** Kills the process; resolves when it has exited. */
  async kill(): Promise<void> {
    await this.#end("SIGKILL");
  }

  /** Output of the daemon on stdout and stderr. */
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

/** Running child processes, which are killed when this process exits. */
const runningChildren = new Set<ChildProcess>();

function killRunningChildren(): void {
  for (const child of runningChildren) child.kill("SIGKILL");
}

process.on("exit", killRunningChildren);
process.on("SIGTERM", () => process.exit(1));
process.on("SIGINT", () => process.exit(1));

/** First port for daemons; all ranges lie below the ephemeral ports. */
const FIRST_PORT = 10_000;
/** Ports in the range of one test process, and number of such ranges. */
const PORTS_PER_PROCESS = 200;
const PORT_RANGE_COUNT = 100;

/** Creates the folder with the peer secret, before any daemon reads it. */
function createSettingsFolder(): string {
  const folder = mkdtempSync(join(tmpdir(), "toucanwind-"));
  writeFileSync(join(folder, "peer.secret"), "loopback-secret");
  return folder;
}

let portsTried = 0;

/**
 * Ports that were free when checked. Test processes take ports from different
 * ranges, so that none takes a port that another is about to use.
 */
export async function freePorts(count: number): Promise<readonly number[]> {
  const first = FIRST_PORT +
    (process.pid % PORT_RANGE_COUNT) * PORTS_PER_PROCESS;
  const ports: number[] = [];
  while (ports.length < count) {
    const port = first + portsTried++ % PORTS_PER_PROCESS;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const server = createServer();
  server.listen(port, "127.0.0.1");
  const free = await once(server, "listening").then(() => true, () => false);
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
