/**
 * A relay in front of a TCP server that emulates network faults: it closes
 * connections, delays their bytes or stops forwarding them. The server sees the
 * address that a connection came from.
 *
 * @module
 */

import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

interface ConnectionPair {
  readonly inbound: Socket;
  readonly outbound: Socket;
}

const LOOPBACK = { host: "127.0.0.1", port: 0 };

/** Which bytes are forwarded. */
export enum RelayMode {
  Open = "open",
  /** No bytes, on new connections either; connections stay open. */
  Silent = "silent",
  /** Only bytes to the server; its responses are dropped. */
  OneWay = "one_way",
}

/** A running relay. */
export class TcpRelay {
  mode = RelayMode.Open;
  /** Delay of forwarded bytes, in milliseconds. */
  delayMs = 0;
  readonly #server = createServer((inbound) => this.#accept(inbound));
  readonly #target: { host: string; port: number };
  readonly #pairs = new Set<ConnectionPair>();
  readonly #silenced = new WeakSet<Socket>();
  readonly #ignoredHosts = new Set<string>();
  #cut = false;

  constructor(options: { host: string; port: number }) {
    this.#target = options;
  }

  /** Listens on loopback; returns the port. */
  async listen(
    { host, port }: { host: string; port: number } = LOOPBACK,
  ): Promise<number> {
    this.#server.listen(port, host);
    await once(this.#server, "listening");
    return (this.#server.address() as AddressInfo).port;
  }

  /** Closes all connections, and new ones at once, until `heal`. */
  cut(): void {
    this.#cut = true;
    this.reset();
  }

  /** Closes all connections; new ones work. */
  reset(): void {
    for (const pair of this.#pairs) this.#destroy(pair);
  }

  /** Accepts new connections again, and forwards bytes without delay. */
  heal(): void {
    this.#cut = false;
    this.delayMs = 0;
    // Bytes that were dropped cannot be restored, so open connections stay
    // silent.
    if (this.mode !== RelayMode.Open) this.silence();
    this.mode = RelayMode.Open;
  }

  /**
   * Stops forwarding on open connections for good; new ones work. Nothing is
   * read any more, so neither end learns that the other one has closed.
   */
  silence(): void {
    for (const pair of this.#pairs) this.#silence(pair);
  }

  /** Silences connections from a host, new ones too, until `acceptFrom`. */
  ignore(host: string): void {
    this.#ignoredHosts.add(host);
    for (const pair of this.#pairs) {
      if (pair.inbound.remoteAddress === host) this.#silence(pair);
    }
  }

  /** New connections from a host work again. */
  acceptFrom(host: string): void {
    this.#ignoredHosts.delete(host);
  }

  /** Closes the relay and its connections. */
  async close(): Promise<void> {
    const closed = once(this.#server, "close");
    this.#server.close();
    for (const pair of this.#pairs) this.#destroy(pair);
    await closed;
  }

  #accept(inbound: Socket): void {
    if (this.#cut) {
      inbound.destroy();
      return;
    }
    const localAddress = inbound.remoteAddress;
    const outbound = connect({ ...this.#target, localAddress });
    const pair = { inbound, outbound };
    this.#pairs.add(pair);
    for (const socket of [inbound, outbound]) {
      socket.setNoDelay(true);
      socket.on("error", () => this.#destroy(pair));
      socket.on("close", () => this.#destroy(pair));
    }
    this.#forward(inbound, outbound, () => this.mode !== RelayMode.Silent);
    this.#forward(outbound, inbound, () => this.mode === RelayMode.Open);
    if (this.#ignoredHosts.has(localAddress ?? "")) this.#silence(pair);
  }

  #silence({ inbound, outbound }: ConnectionPair): void {
    this.#silenced.add(inbound).add(outbound);
    inbound.pause();
    outbound.pause();
  }

  /** Forwards bytes in order, whatever the delay of each chunk. */
  #forward(from: Socket, to: Socket, isOpen: () => boolean): void {
    let last = Promise.resolve();
    const pass = (step: () => void) => {
      if (this.#silenced.has(from) || !isOpen()) return;
      const late = this.delayMs === 0
        ? last
        : Promise.all([last, sleep(this.delayMs)]);
      last = late.then(step);
    };
    from.on("data", (bytes) => pass(() => to.write(bytes)));
    from.on("end", () => pass(() => to.end()));
  }

  #destroy(pair: ConnectionPair): void {
    this.#pairs.delete(pair);
    pair.inbound.destroy();
    pair.outbound.destroy();
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
