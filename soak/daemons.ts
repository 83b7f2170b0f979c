/**
 * Daemons as processes, each with a TCP relay between it and the key-value
 * service. Signals go only to processes that were started here.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync, type WriteStream } from "node:fs";
import { join } from "node:path";
import { TcpRelay } from "../stand_ins/tcp_relay.ts";
import { freePorts, settingsJson } from "../platform/fixture_test.ts";
import { SECRET_VARIABLE, SETTINGS_VARIABLE } from "../platform/settings.ts";

const DAEMON_FILE = join(__dirname, "../platform/main.js");
const PEER_SECRET = "a-secret-of-the-soak";

/** A daemon's process, which can be restarted. */
export class DaemonProcess {
  readonly node: string;
  readonly store: TcpRelay;
  front = "";
  /** Exits without SIGKILL or SIGTERM: the daemon and its code or signal. */
  readonly crashes: string[] = [];
  readonly #folder: string;
  readonly #log: WriteStream;
  #path = "";
  #child: ChildProcess | undefined;
  #stopping = false;

  constructor(options: { node: string; folder: string; store: string }) {
    this.node = options.node;
    this.#folder = options.folder;
    const [host, port] = options.store.split(":");
    this.store = new TcpRelay({ host, port: Number(port) });
    this.#log = createWriteStream(join(options.folder, `${options.node}.log`));
  }

  get alive(): boolean {
    return this.#child !== undefined;
  }

  /** Writes the settings file and starts the first process. */
  async writeSettingsAndStart(): Promise<void> {
    const ports = await freePorts(3);
    const store = `127.0.0.1:${await this.store.listen()}`;
    const json = settingsJson({ node: this.node, ports, store });
    this.front = json.listen.front;
    this.#path = join(this.#folder, `${this.node}.json`);
    writeFileSync(this.#path, JSON.stringify(json));
    this.start();
  }

  start(): void {
    if (this.#child !== undefined) return;
    const child = spawn(process.execPath, [DAEMON_FILE], {
      env: {
        PATH: process.env.PATH,
        [SETTINGS_VARIABLE]: this.#path,
        [SECRET_VARIABLE]: PEER_SECRET,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    this.#stopping = false;
    child.stdout?.pipe(this.#log, { end: false });
    child.stderr?.pipe(this.#log, { end: false });
    child.on("exit", (code, signal) => {
      if (this.#child === child) this.#child = undefined;
      if (!this.#stopping) this.crashes.push(`${this.node}: ${code ?? signal}`);
    });
  }

  signal(name: NodeJS.Signals): void {
    if (name === "SIGKILL" || name === "SIGTERM") this.#stopping = true;
    this.#child?.kill(name);
  }

  /** Resolves when the process has exited. */
  async exited(): Promise<void> {
    while (this.alive) await new Promise((resolve) => setTimeout(resolve, 20));
  }

  async end(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.exited();
    await this.store.close();
    this.#log.end();
  }
}
