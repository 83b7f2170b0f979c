/**
 * A relay in front of a TCP server that cuts its connections, delays them or
 * lets them go silent, as something between two ends may.
 *
 * @module
 */

import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

/** What becomes of bytes. */
export enum RelayMode {
  Open = "open",
  /** Nothing passes, on new connections either; none is closed. */
  Silent = "silent",
  /** What the server answers is lost. */
  OneWay = "one_way",
}

/** A running relay. */
export class TcpRelay {
  mode = RelayMode.Open;
  /** Time by which bytes are late, in milliseconds. */
  delayMs = 0;
  readonly #server = createServer((near) => this.#accept(near));
  readonly #target: { host: string; port: number };
  readonly #pairs = new Set<Pair>();
  readonly #silenced = new WeakSet<Socket>();
  #cut = false;

  constructor(options: { host: string; port: number }) {
    this.#target = options;
  }

  /** Listens on loopback; answers with the port. */
  async listen(): Promise<number> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return (this.#server.address() as AddressInfo).port;
  }

  /** Breaks all connections and makes new ones fail, until `heal`. */
  cut(): void {
    this.#cut = true;
    this.reset();
  }

  /** Breaks all connections; new ones work. */
  reset(): void {
    for (const pair of this.#pairs) this.#drop(pair);
  }

  /** Lets new connections through again, and bytes pass at once. */
  heal(): void {
    this.#cut = false;
    this.delayMs = 0;
    // What was lost on the way doesn't come back: these stay silent.
    if (this.mode !== RelayMode.Open) this.silence();
    this.mode = RelayMode.Open;
  }

  /**
   * Lets open connections go silent for good; new ones work. Neither end
   * learns that the other one has closed, either: nothing is read any more.
   */
  silence(): void {
    for (const { near, far } of this.#pairs) {
      this.#silenced.add(near).add(far);
      near.pause();
      far.pause();
    }
  }

  /** Ends the relay and its connections. */
  async close(): Promise<void> {
    const closed = once(this.#server, "close");
    this.#server.close();
    for (const pair of this.#pairs) this.#drop(pair);
    await closed;
  }

  #accept(near: Socket): void {
    if (this.#cut) {
      near.destroy();
      return;
    }
    const far = connect(this.#target);
    const pair = { near, far };
    this.#pairs.add(pair);
    for (const socket of [near, far]) {
      socket.setNoDelay(true);
      socket.on("error", () => this.#drop(pair));
      socket.on("close", () => this.#drop(pair));
    }
    this.#join(near, far, () => this.mode !== RelayMode.Silent);
    this.#join(far, near, () => this.mode === RelayMode.Open);
  }

  /** Passes bytes on in their order, however late each of them is. */
  #join(from: Socket, to: Socket, passes: () => boolean): void {
    let last = Promise.resolve();
    const pass = (step: () => void) => {
      if (this.#silenced.has(from) || !passes()) return;
      const late = this.delayMs === 0
        ? last
        : Promise.all([last, sleep(this.delayMs)]);
      last = late.then(step);
    };
    from.on("data", (bytes) => pass(() => to.write(bytes)));
    from.on("end", () => pass(() => to.end()));
  }

  #drop(pair: Pair): void {
    this.#pairs.delete(pair);
    pair.near.destroy();
    pair.far.destroy();
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
