/**
 * A small deployment on loopback for the scripts of the cases: the project's
 * stand-in for the platform in this process, and daemons as processes of their
 * own, started with the command of the deploy file.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import {
  appendFileSync,
  createWriteStream,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { get } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PlatformProtocolStandIn } from "../../stand_ins/platform_protocol.ts";

/** The API key of the tenant `acme`. */
export const API_KEY = "a-key-of-acme";

/** The host of all routes. */
export const HOST = "shop.example";

/** How the program of a case ends; `run.sh` translates it. */
export enum Exit {
  Held = 0,
  /** Not 1, with which Node.js ends after an error of its own. */
  Broken = 10,
  NotRun = 20,
}

/** A daemon that runs as a process. */
export interface Daemon {
  readonly node: string;
  /** Loopback address of the machine. */
  readonly ip: string;
  /** Port for clients. */
  readonly port: number;
  readonly readyPort: number;
  readonly process: ChildProcess;
}

/** Largest value that the platform's store takes. */
const VALUE_BYTES = 1_048_576;

const START_TIMEOUT_MS = 15_000;
const POLL_MS = 50;

/** Writes what happened to `record.txt` in the folder of the case. */
export class Journal {
  readonly #path: string;
  readonly #startedAt = performance.now();

  constructor(options: { path: string }) {
    this.#path = options.path;
    writeFileSync(this.#path, "");
  }

  /** Appends one line with the time since the start. */
  write(line: string): void {
    const seconds = (performance.now() - this.#startedAt) / 1000;
    appendFileSync(this.#path, `${seconds.toFixed(3)} s  ${line}\n`);
  }
}

/** The platform and the daemons of one run. */
export class Site {
  readonly platform = new PlatformProtocolStandIn();
  readonly daemons: Daemon[] = [];
  readonly journal: Journal;
  readonly #folder = mkdtempSync(join(tmpdir(), "review-"));
  readonly #net = 1 + process.pid % 250;
  /** When each sampler started, in Unix milliseconds. */
  readonly #born = new Map<string, number>();
  #ports = { port: 0, readyPort: 0, inner: 0 };

  constructor(options: { journal: Journal }) {
    this.journal = options.journal;
  }

  /** Starts the platform and puts a manifest into its store. */
  async start(
    routes: readonly object[],
    services: readonly object[],
  ): Promise<void> {
    await this.platform.start();
    this.putManifest(1, routes, services);
  }

  /** Writes a version of the manifest, as the operator does; returns its size. */
  putManifest(
    version: number,
    routes: readonly object[],
    services: readonly object[],
    keys: readonly string[] = [API_KEY],
  ): number {
    const manifest = {
      version,
      routes,
      services,
      limits: {
        max_header_bytes: 16_384,
        max_body_bytes: 33_554_432,
        header_timeout_ms: 3000,
        idle_timeout_ms: 15_000,
      },
      tenants: [{ name: "acme", api_keys: keys }],
    };
    const text = JSON.stringify(manifest);
    const bytes = Buffer.byteLength(text);
    if (bytes > VALUE_BYTES) throw new Error("The store takes no such value");
    this.platform.records.put("op/config", text);
    return bytes;
  }

  /** Lists a sampler, as it does itself by its pings. */
  list(id: string, options: {
    service: string;
    address: string;
    slots: number;
    zone?: string;
    model?: string;
    /** `ready` or `draining`. */
    state?: string;
    /** Whether it may be reclaimed. */
    spot?: boolean;
    /** Time until it is gone, if it leaves. */
    leaves_ms?: number;
  }): void {
    const { model, ...entry } = options;
    const born = this.#born.get(id) ?? Date.now();
    this.#born.set(id, born);
    this.platform.records.put(
      `servers/${id}`,
      JSON.stringify({
        state: "ready",
        zone: "a",
        ...entry,
        version: "v1",
        cold_ms: 0,
        sequence: 0,
        born,
        ...model === undefined ? {} : {
          stage: "combined",
          models: [{ name: model, version: 1, adapters: [] }],
        },
      }),
    );
  }

  /** Removes the entry of a sampler that has left. */
  unlist(id: string): void {
    this.platform.records.apply({
      expected: [],
      writes: [],
      removes: [`servers/${id}`],
    });
  }

  /** Starts daemons and waits until each of them is ready. */
  async startDaemons(count: number): Promise<readonly Daemon[]> {
    const [port, readyPort, inner] = await freePorts(3);
    this.#ports = { port, readyPort, inner };
    for (let n = 1; n <= count; n++) this.daemons.push(this.#spawn(n));
    for (const daemon of this.daemons) await this.untilReady(daemon);
    return this.daemons;
  }

  /** Starts a daemon whose process has ended again, as the platform does. */
  restart({ node }: Daemon): Daemon {
    const index = this.daemons.findIndex((daemon) => daemon.node === node);
    const daemon = this.#spawn(index + 1);
    this.daemons[index] = daemon;
    this.journal.write(`${node} is started again`);
    return daemon;
  }

  /** Waits until a daemon answers the platform's readiness probe with 200. */
  async untilReady({ node, ip, readyPort }: Daemon): Promise<void> {
    await until(async () => await isReady(ip, readyPort), START_TIMEOUT_MS);
    this.journal.write(`${node} is ready`);
  }

  /** Ends all processes that were started, and the platform. */
  async stop(): Promise<void> {
    for (const { process } of this.daemons) {
      if (process.exitCode !== null || process.signalCode !== null) continue;
      process.kill("SIGKILL");
      await once(process, "exit");
    }
    await this.platform.stop();
    rmSync(this.#folder, { recursive: true });
  }

  #spawn(number: number): Daemon {
    const { port, readyPort, inner } = this.#ports;
    const node = `front-${number}`;
    const ip = `127.88.${this.#net}.${number}`;
    const settings = join(this.#folder, `${node}.json`);
    writeFileSync(
      settings,
      JSON.stringify(settingsOf({
        node,
        ip,
        port,
        readyPort,
        inner,
        store: this.platform.address,
      })),
    );
    const [program, ...args] = runCommand();
    const child = spawn(program, args, {
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        TOUCANWIND_CONFIG: settings,
        TOUCANWIND_PEER_SECRET: "a-secret-of-the-review",
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const folder = process.env.LOGS ?? this.#folder;
    const logs = createWriteStream(join(folder, `${node}.log`), { flags: "a" });
    child.stdout.pipe(logs);
    child.stderr.pipe(logs);
    child.on("exit", (code, signal) => {
      this.journal.write(`${node} ended with ${signal ?? code}`);
    });
    return { node, ip, port, readyPort, process: child };
  }
}

/**
 * Runs a case: with `TROUBLE=0` without the disruption. `run` returns what
 * broke the rule; nothing means that it held.
 */
export async function runCase(
  folder: string,
  run: (site: Site, trouble: boolean) => Promise<readonly string[]>,
): Promise<void> {
  const journal = new Journal({ path: join(folder, "record.txt") });
  const site = new Site({ journal });
  const trouble = process.env.TROUBLE !== "0";
  journal.write(trouble ? "with the disruption" : "without the disruption");
  let exit = Exit.NotRun;
  try {
    const broken = await run(site, trouble);
    for (const line of broken) journal.write(`BROKEN: ${line}`);
    exit = broken.length > 0 ? Exit.Broken : Exit.Held;
  } catch (error) {
    journal.write(`the case could not run: ${String(error)}`);
  }
  await site.stop().catch((error) =>
    journal.write(`not stopped: ${String(error)}`)
  );
  journal.write(`exit ${exit}`);
  process.exit(exit);
}

/** Resolves after this time. */
export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Polls `done` until it holds; throws after `maxWaitMs`. */
export async function until(
  done: () => boolean | Promise<boolean>,
  maxWaitMs: number,
): Promise<void> {
  const endsAt = performance.now() + maxWaitMs;
  while (!await done()) {
    if (performance.now() > endsAt) {
      throw new Error("Condition not met in time");
    }
    await sleep(POLL_MS);
  }
}

/** The command of the role `entry` in the deploy file. */
function runCommand(): string[] {
  const file = readFileSync("deploy/system.toml", "utf8");
  const section = file.slice(file.indexOf("[roles.entry]"));
  const run = /^run = "(.*)"$/m.exec(section);
  if (run === null) throw new Error("No run command in the deploy file");
  return run[1].split(" ");
}

function settingsOf(options: {
  node: string;
  ip: string;
  port: number;
  readyPort: number;
  inner: number;
  store: string;
}) {
  const { node, ip, port, readyPort, inner, store } = options;
  return {
    node,
    role: "entry",
    machine_class: "front",
    serves: ["front"],
    ip,
    zone: "a",
    region: "r",
    zones: { a: "r" },
    listen: { front: `${ip}:${port}`, ready: `${ip}:${readyPort}` },
    internal_ports: [inner, inner + 15],
    seeds: [],
    bootstrap: true,
    include_in_tolerance: false,
    limits: {
      cpu_share: 0.675,
      cores: 1,
      memory_mb: 350,
      max_fds: 4100,
      link_mbps: 1000,
      disk_mb: 0,
    },
    data_dir: null,
    bounds: {
      contact_ms: 3000,
      ack_ms: 4000,
      drain_ms: 2000,
      grace_s: 8,
      loss_slack_ms: 200,
      config_apply_ms: 2000,
      strict_revocation: false,
      revoke_ms: 5000,
      enforce_fencing: true,
      lease_ms: 3000,
      usage_window_s: 5,
      usage_late_s: 10,
      recover_s: 12,
      status_s: 120,
      cancel_ms: 3000,
      settle_ms: 1000,
    },
    provider: {
      address: store,
      form: "kv",
      writes_per_s: 400,
      reads_per_s: 2000,
      history_s: 20,
      value_bytes: VALUE_BYTES,
      ttl_min_ms: 1000,
    },
    cloud: {
      address: store,
      rate_per_s: 50,
      duties: ["usage"],
      duty_per_s: 50,
    },
  };
}

function isReady(host: string, port: number): Promise<boolean> {
  return new Promise((resolve) => {
    const request = get({ host, port, path: "/-/ready", agent: false }, (r) => {
      r.resume();
      resolve(r.statusCode === 200);
    });
    request.setTimeout(1000, () => request.destroy());
    request.on("error", () => resolve(false));
  });
}

/** Ports that are free at the time of the call. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = createServer();
      server.listen(0, "127.0.0.1");
      await once(server, "listening");
      return server;
    }),
  );
  const ports = servers.map((server) => {
    const address = server.address();
    return typeof address === "object" ? address?.port ?? 0 : 0;
  });
  await Promise.all(
    servers.map((server) => new Promise((done) => server.close(done))),
  );
  return ports;
}
