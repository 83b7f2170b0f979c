/**
 * Daemons as processes, each with a relay between it and the store. Only
 * processes that were started here are ended, by their ids.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync, type WriteStream } from "node:fs";
import { join } from "node:path";
import { TcpRelay } from "../stand_ins/tcp_relay.ts";
import { freePorts, settingsJson } from "../platform/fixture_test.ts";
import { SECRET_VARIABLE, SETTINGS_VARIABLE } from "../platform/settings.ts";

const PROGRAM = join(__dirname, "../platform/main.js");
const SECRET = "a-secret-of-the-soak";

/** A daemon's process, which may be started again and again. */
export class Daemon {
  readonly node: string;
  readonly store: TcpRelay;
  front = "";
  /** Exits that nobody asked for. */
  readonly ownEnds: string[] = [];
  readonly #folder: string;
  readonly #log: WriteStream;
  #path = "";
  #child: ChildProcess | undefined;
  #asked = false;

  constructor(options: { node: string; folder: string; store: string }) {
    this.node = options.node;
    this.#folder = options.folder;
    const [host, port] = options.store.split(":");
    this.store = new TcpRelay({ host, port: Number(port) });
    this.#log = createWriteStream(join(options.folder, `${options.node}.log`));
  }

  get up(): boolean {
    return this.#child !== undefined;
  }

  /** Writes the settings file and starts the first process. */
  async begin(): Promise<void> {
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
    const child = spawn(process.execPath, [PROGRAM], {
      env: {
        PATH: process.env.PATH,
        [SETTINGS_VARIABLE]: this.#path,
        [SECRET_VARIABLE]: SECRET,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.#child = child;
    this.#asked = false;
    child.stdout?.pipe(this.#log, { end: false });
    child.stderr?.pipe(this.#log, { end: false });
    child.on("exit", (code, signal) => {
      if (this.#child === child) this.#child = undefined;
      if (!this.#asked) this.ownEnds.push(`${this.node}: ${code ?? signal}`);
    });
  }

  signal(name: NodeJS.Signals): void {
    if (name === "SIGKILL" || name === "SIGTERM") this.#asked = true;
    this.#child?.kill(name);
  }

  /** Resolves when the process is gone. */
  async gone(): Promise<void> {
    while (this.up) await new Promise((resolve) => setTimeout(resolve, 20));
  }

  async end(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.gone();
    await this.store.close();
    this.#log.end();
  }
}
