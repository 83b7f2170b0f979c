/**
 * Daemons as processes, each with a loopback address of its own, a TCP relay
 * between it and the key-value service, and one in front of its peer listener.
 * Signals go only to processes that were started here.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { createWriteStream, writeFileSync, type WriteStream } from "node:fs";
import { join } from "node:path";
import { RelayMode, TcpRelay } from "../stand_ins/tcp_relay.ts";
import { freePorts, settingsJson } from "../platform/fixture_test.ts";
import { SECRET_VARIABLE, SETTINGS_VARIABLE } from "../platform/settings.ts";
import { HOST_VARIABLE, listenHostOf } from "./own_address.ts";

const PRELOADED_FILE = join(__dirname, "own_address.js");
const DAEMON_FILE = join(__dirname, "../platform/main.js");
const PEER_SECRET = "a-secret-of-the-soak";

/** A daemon's process, which can be restarted. */
export class DaemonProcess {
  readonly node: string;
  /** The address that upstreams and peers see. */
  readonly host: string;
  readonly store: TcpRelay;
  front = "";
  /** Exits without SIGKILL or SIGTERM: the daemon and its code or signal. */
  readonly crashes: string[] = [];
  readonly #folder: string;
  readonly #log: WriteStream;
  #path = "";
  #peers: TcpRelay | undefined;
  #child: ChildProcess | undefined;
  #stopping = false;

  constructor(options: {
    node: string;
    host: string;
    folder: string;
    store: string;
  }) {
    this.node = options.node;
    this.host = options.host;
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
    const common = settingsJson({ node: this.node, ports, store });
    const json = { ...common, ip: this.host };
    this.front = json.listen.front;
    const [port] = json.internal_ports;
    this.#peers = new TcpRelay({ host: listenHostOf(this.host), port });
    await this.#peers.listen({ host: this.host, port });
    this.#path = join(this.#folder, `${this.node}.json`);
    writeFileSync(this.#path, JSON.stringify(json));
    this.start();
  }

  start(): void {
    if (this.#child !== undefined) return;
    const child = spawn(process.execPath, ["-r", PRELOADED_FILE, DAEMON_FILE], {
      env: {
        PATH: process.env.PATH,
        [SETTINGS_VARIABLE]: this.#path,
        [HOST_VARIABLE]: this.host,
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

  /** Loses all that the store and these peers send and are sent. */
  cutOff(peers: readonly DaemonProcess[]): void {
    this.store.mode = RelayMode.Silent;
    this.store.silence();
    for (const peer of peers) {
      this.#peers?.ignore(peer.host);
      peer.#peers?.ignore(this.host);
    }
  }

  /** Reaches the store and these peers again, on new connections. */
  reconnect(peers: readonly DaemonProcess[]): void {
    this.store.heal();
    for (const peer of peers) {
      this.#peers?.acceptFrom(peer.host);
      peer.#peers?.acceptFrom(this.host);
    }
  }

  /** Resolves when the present process has exited. */
  async exited(): Promise<void> {
    const child = this.#child;
    // An overlapping fault may have started the next one.
    while (child !== undefined && this.#child === child) {
      await new Promise((resolve) => setTimeout(resolve, 20));
    }
  }

  async end(): Promise<void> {
    this.signal("SIGCONT");
    this.signal("SIGKILL");
    await this.exited();
    await this.store.close();
    await this.#peers?.close();
    this.#log.end();
  }
}
