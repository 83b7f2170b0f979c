/**
 * A small deployment on loopback addresses: the platform's stand-in of this
 * project, and daemons as processes with the command of the deploy file.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { PlatformProtocolStandIn } from "../../stand_ins/platform_protocol.ts";

const ROOT = join(__dirname, "..", "..", "..");
const START_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 100;

/** Bounds of a small deployment, as its site file has them. */
const BOUNDS = {
  drain_ms: 2000,
  grace_s: 8,
  status_s: 120,
  cancel_ms: 3000,
  usage_window_s: 5,
  usage_late_s: 10,
  lease_ms: 3000,
  strict_revocation: false,
  revoke_ms: 5000,
};

/** Whether the disruption is played. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** Within the 120 s that a script may take. */
const MAX_RUN_MS = 110_000;

/** How a script ends; `run.sh` turns `Broken` into 1, and the rest into 2. */
export enum ExitCode {
  Held = 0,
  Broken = 10,
  NotRun = 2,
}

/** One daemon of the deployment. */
export interface Daemon {
  readonly name: string;
  readonly front: string;
  readonly ready: string;
  readonly process: ChildProcess;
  /** Lines that it wrote. */
  readonly lines: string[];
}

/** The record of a run, written to `record.txt` in the folder of the case. */
export class RunRecord {
  readonly #lines: string[] = [];
  readonly #startedAt = Date.now();
  readonly #file: string;

  constructor(folder: string) {
    this.#file = join(ROOT, "review", folder, "record.txt");
  }

  add(text: string): void {
    const at = ((Date.now() - this.#startedAt) / 1000).toFixed(3);
    this.#lines.push(`${at.padStart(8)} ${text}`);
  }

  write(): void {
    writeFileSync(this.#file, this.#lines.join("\n") + "\n");
  }
}

/** The platform's stand-in and the daemons. */
export class SmallDeployment {
  readonly platform = new PlatformProtocolStandIn();
  readonly daemons: Daemon[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "review-"));
  /** Address of the key-value service as the daemons know it. */
  #storeAddress = "";

  async start(
    options: { storeAddress?: (own: string) => Promise<string> } = {},
  ) {
    await this.platform.start();
    const own = this.platform.address;
    this.#storeAddress = await options.storeAddress?.(own) ?? own;
  }

  put(key: string, value: unknown): void {
    this.platform.records.put(key, JSON.stringify(value));
  }

  /** Starts a daemon at a loopback address, and waits until it is ready. */
  async startDaemon(name: string, ip: string): Promise<Daemon> {
    const [front, ready, metrics, peer] = await freePorts(ip, 4);
    const file = join(this.#folder, `${name}.json`);
    writeFileSync(
      file,
      JSON.stringify({
        node: name,
        role: "entry",
        machine_class: "front",
        serves: ["front"],
        ip,
        zone: "a",
        region: "r",
        zones: { a: "r" },
        listen: { front: `${ip}:${front}`, ready: `${ip}:${ready}` },
        internal_ports: [peer, peer],
        metrics_port: metrics,
        data_dir: null,
        bounds: BOUNDS,
        provider: { address: this.#storeAddress },
        cloud: { address: this.platform.address },
      }),
    );
    const [command, ...args] = runCommand();
    const child = spawn(command, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        TOUCANWIND_CONFIG: file,
        TOUCANWIND_PEER_SECRET: "change-me-on-each-deployment",
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const lines: string[] = [];
    for (const stream of [child.stdout, child.stderr]) {
      stream.setEncoding("utf8").on("data", (text: string) => {
        lines.push(...text.split("\n").filter((line) => line !== ""));
      });
    }
    const daemon = {
      name,
      front: `${ip}:${front}`,
      ready: `${ip}:${ready}`,
      process: child,
      lines,
    };
    this.daemons.push(daemon);
    await waitUntilReady(daemon);
    return daemon;
  }

  /** Kills the daemons without waiting for their end. */
  killAll(): void {
    for (const { process: child } of this.daemons) child.kill("SIGKILL");
  }

  /** Ends all that was started. */
  async stop(): Promise<void> {
    for (const { process: child } of this.daemons) {
      if (child.exitCode !== null || child.signalCode !== null) continue;
      const ended = once(child, "exit");
      child.kill("SIGKILL");
      await ended;
    }
    await this.platform.stop();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** The command of the role `entry` in the deploy file. */
function runCommand(): string[] {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const run = /\[roles\.entry\]\s+run = "([^"]+)"/.exec(text)?.[1];
  if (run === undefined) throw new Error("The deploy file has no command");
  return run.split(" ");
}

async function freePorts(ip: string, count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  for (const server of servers) {
    server.listen(0, ip);
    await once(server, "listening");
  }
  const ports = servers.map((one) => (one.address() as AddressInfo).port);
  for (const server of servers) server.close();
  return ports;
}

async function waitUntilReady({ ready, process: child }: Daemon) {
  const endsAt = Date.now() + START_TIMEOUT_MS;
  while (Date.now() < endsAt && child.exitCode === null) {
    if (await isReady(ready)) return;
    await sleep(READY_POLL_MS);
  }
  throw new Error("A daemon did not become ready");
}

/** Whether a daemon answers the platform's question with 200. */
export async function isReady(address: string): Promise<boolean> {
  const { status } = await call(address, {
    path: "/-/ready",
    timeoutMs: 900,
  });
  return status === 200;
}

/** An answer; status 0 if there was none. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
}

/** Makes one call on a connection of its own. */
export function call(address: string, options: {
  method?: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  timeoutMs?: number;
}): Promise<Answer> {
  const none = { status: 0, headers: {}, body: "" };
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const sent = request({
      host,
      port,
      method: options.method ?? "GET",
      path: options.path,
      headers: { connection: "close", ...options.headers },
      agent: false,
    }, (message) => {
      const parts: Buffer[] = [];
      message.on("data", (part) => parts.push(part));
      message.on("error", () => resolve(none));
      message.on("close", () => {
        if (!message.complete) return resolve(none);
        resolve({
          status: message.statusCode ?? 0,
          headers: message.headers,
          body: Buffer.concat(parts).toString(),
        });
      });
    });
    sent.setTimeout(options.timeoutMs ?? 10_000, () => sent.destroy());
    sent.on("error", () => resolve(none));
    sent.end(options.body);
  });
}

export function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Runs a case and exits with its verdict. */
export async function runCase(
  folder: string,
  play: (deployment: SmallDeployment, record: RunRecord) => Promise<boolean>,
): Promise<void> {
  const record = new RunRecord(folder);
  const deployment = new SmallDeployment();
  let code = ExitCode.NotRun;
  // Whatever ends this process, no daemon outlives it.
  process.on("exit", () => deployment.killAll());
  for (const signal of ["SIGTERM", "SIGINT", "SIGHUP"]) {
    process.on(signal, () => process.exit(ExitCode.NotRun));
  }
  setTimeout(() => process.exit(ExitCode.NotRun), MAX_RUN_MS).unref();
  // The platform's stand-in reads on when a daemon that is killed breaks off.
  process.on(
    "unhandledRejection",
    (error) => record.add(`a call to a stand-in broke off: ${error}`),
  );
  try {
    code = await play(deployment, record) ? ExitCode.Held : ExitCode.Broken;
  } catch (error) {
    record.add(`not run: ${error}`);
    for (const { name, lines } of deployment.daemons) {
      for (const line of lines.slice(-20)) record.add(`${name} ${line}`);
    }
  }
  record.add(`exit code ${code}`);
  await deployment.stop();
  record.write();
  process.exit(code);
}
