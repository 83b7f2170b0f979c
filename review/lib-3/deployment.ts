/**
 * A small deployment on loopback: daemons as processes, started with the command
 * of the deploy file, and the project's own stand-in for the platform.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import {
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
  type WriteStream,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** The root of the repository, where the deploy file's programs start. */
export const ROOT = process.env.REVIEW_ROOT ?? process.cwd();

/** Ports that daemons are given; below those of outgoing connections. */
const MIN_PORT = 12_000;
const PORT_COUNT = 18_000;

/** The command of the role `entry`, split at spaces as the platform does. */
function commandOfEntries(): readonly string[] {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const entry = /^\[roles\.entry\]\nrun = "([^"]+)"/m.exec(text);
  if (entry === null) throw new Error("The deploy file has no role entry");
  return entry[1].split(" ");
}

/** Free ports on all loopback addresses of the daemons. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = MIN_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (!ports.includes(port) && await isFree(port)) ports.push(port);
  }
  return ports;
}

async function isFree(port: number): Promise<boolean> {
  const probe = createServer();
  const listening = once(probe, "listening").then(() => true, () => false);
  probe.listen(port, "0.0.0.0");
  if (!await listening) return false;
  probe.close();
  await once(probe, "close");
  return true;
}

/** How a process ended. */
export interface ProcessEnd {
  readonly node: string;
  readonly code: number | null;
  readonly signal: string | null;
  /** Whether this test sent it SIGTERM or SIGKILL before. */
  readonly wasAsked: boolean;
  readonly at: number;
}

/** A daemon as a process, which is restarted when it ends. */
export class Daemon {
  readonly node: string;
  readonly front: string;
  readonly ready: string;
  readonly ends: ProcessEnd[] = [];
  /** Time until a process that ended is started again. */
  restartMs = 300;
  /** What the daemon wrote to standard error, newest last. */
  stderr = "";
  readonly #settings: string;
  readonly #log: WriteStream;
  #child: ChildProcess | undefined;
  #asked = false;
  #restarts = true;

  constructor(options: {
    node: string;
    settings: string;
    front: string;
    ready: string;
    log: string;
  }) {
    this.node = options.node;
    this.front = options.front;
    this.ready = options.ready;
    this.#settings = options.settings;
    this.#log = createWriteStream(options.log, { flags: "a" });
    this.start();
  }

  get pid(): number | undefined {
    return this.#child?.pid;
  }

  start(): void {
    if (this.#child !== undefined) return;
    const [program, ...args] = commandOfEntries();
    const child = spawn(
      program === "node" ? process.execPath : program,
      args,
      {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          TOUCANWIND_CONFIG: this.#settings,
          TOUCANWIND_PEER_SECRET: "a-secret-of-the-review",
        },
        stdio: ["ignore", "pipe", "pipe"],
      },
    );
    this.#child = child;
    this.#asked = false;
    child.stdout?.pipe(this.#log, { end: false });
    child.stderr?.on("data", (data) => {
      this.stderr = (this.stderr + data).slice(-4000);
      this.#log.write(data);
    });
    child.on("exit", (code, signal) => {
      const { node } = this;
      const wasAsked = this.#asked;
      this.ends.push({ node, code, signal, wasAsked, at: Date.now() });
      this.#child = undefined;
      if (this.#restarts) {
        setTimeout(() => this.#restarts && this.start(), this.restartMs);
      }
    });
  }

  /** Sends a signal to this process only. */
  signal(name: NodeJS.Signals): void {
    if (name === "SIGTERM" || name === "SIGKILL") this.#asked = true;
    this.#child?.kill(name);
  }

  /** The most memory that the present process has held, in megabytes. */
  get peakMb(): number {
    const status = readFileSync(`/proc/${this.pid}/status`, "utf8");
    return Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1]) / 1024;
  }

  /** Ends the process for good. */
  async end(): Promise<void> {
    this.#restarts = false;
    const child = this.#child;
    if (child !== undefined) {
      this.signal("SIGCONT");
      this.signal("SIGKILL");
      await once(child, "exit");
    }
    this.#log.end();
  }
}

/** Daemons that share one platform. */
export class Deployment {
  readonly folder = mkdtempSync(join(tmpdir(), "review-3-"));
  readonly daemons: Daemon[] = [];
  readonly #store: string;
  readonly #cloud: string;
  readonly #bounds: Readonly<Record<string, unknown>>;

  constructor(options: {
    /** Address of the platform's store. */
    store: string;
    /** Address of the platform's API. */
    cloud?: string;
    bounds?: Readonly<Record<string, unknown>>;
  }) {
    this.#store = options.store;
    this.#cloud = options.cloud ?? options.store;
    this.#bounds = options.bounds ?? {};
  }

  /** Starts `count` daemons in as many zones; returns once all are ready. */
  async start(
    count: number,
    storeOf: (daemon: number) => string | undefined = () => undefined,
  ): Promise<readonly Daemon[]> {
    const zones = Array.from({ length: count }, (_, n) => `zone-${n + 1}`);
    const regions = Object.fromEntries(zones.map((zone) => [zone, "region"]));
    for (const [n, zone] of zones.entries()) {
      this.daemons.push(
        await this.#startOne(n, {
          zone,
          regions,
          store: storeOf(n) ?? this.#store,
        }),
      );
    }
    for (const daemon of this.daemons) await untilReady(daemon);
    return this.daemons;
  }

  async #startOne(n: number, { zone, regions, store }: {
    zone: string;
    store: string;
    regions: Readonly<Record<string, string>>;
  }): Promise<Daemon> {
    const [front, ready, inner, metrics] = await freePorts(4);
    const node = `front-${n + 1}`;
    const ip = "127.0.0.1";
    const settings = join(this.folder, `${node}.json`);
    writeFileSync(
      settings,
      JSON.stringify({
        node,
        role: "entry",
        machine_class: "front",
        serves: ["front"],
        ip,
        zone,
        region: "region",
        zones: regions,
        listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
        internal_ports: [inner, inner],
        seeds: [],
        bootstrap: true,
        limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100 },
        data_dir: null,
        // All daemons have one address here, so each needs a port of its own.
        metrics_port: metrics,
        bounds: {
          contact_ms: 3000,
          drain_ms: 2000,
          grace_s: 8,
          config_apply_ms: 2000,
          strict_revocation: false,
          revoke_ms: 5000,
          enforce_fencing: true,
          lease_ms: 3000,
          usage_window_s: 5,
          usage_late_s: 10,
          status_s: 120,
          cancel_ms: 3000,
          settle_ms: 1000,
          ...this.#bounds,
        },
        provider: { address: store },
        cloud: { address: this.#cloud },
      }),
    );
    return new Daemon({
      node,
      settings,
      front: `${ip}:${front}`,
      ready: `${ip}:${ready}`,
      log: process.env.REVIEW_LOGS === undefined
        ? "/dev/null"
        : join(process.env.REVIEW_LOGS, `${node}.log`),
    });
  }

  /** Ends all processes and removes the settings files. */
  async end(): Promise<void> {
    await Promise.all(this.daemons.map((daemon) => daemon.end()));
    rmSync(this.folder, { recursive: true, force: true });
  }
}

/** Waits until a daemon answers its readiness probe. */
export async function untilReady(
  { ready, node }: Daemon,
  timeoutMs = 15_000,
): Promise<void> {
  const deadline = Date.now() + timeoutMs;
  for (;;) {
    const answer = await fetch(`http://${ready}/-/ready`).catch(() =>
      undefined
    );
    await answer?.arrayBuffer();
    if (answer?.status === 200) return;
    if (Date.now() > deadline) throw new Error(`${node} is not ready`);
    await sleep(50);
  }
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
