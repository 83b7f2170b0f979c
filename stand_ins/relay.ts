/**
 * A relay in front of a TCP server that cuts its connections or lets them go
 * silent, as something between two ends may.
 *
 * @module
 */

import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

/** A running relay. */
export class Relay {
  readonly #server = createServer((near) => this.#accept(near));
  readonly #target: { host: string; port: number };
  readonly #pairs = new Set<Pair>();
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
    for (const pair of this.#pairs) this.#drop(pair);
  }

  /** Lets new connections through again. */
  heal(): void {
    this.#cut = false;
  }

  /** Lets open connections go silent for good; new ones work. */
  silence(): void {
    for (const { near, far } of this.#pairs) {
      near.unpipe(far);
      far.unpipe(near);
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
    near.pipe(far);
    far.pipe(near);
  }

  #drop(pair: Pair): void {
    this.#pairs.delete(pair);
    pair.near.destroy();
    pair.far.destroy();
  }
}
