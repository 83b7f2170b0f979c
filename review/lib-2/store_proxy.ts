/**
 * A proxy between daemons and the platform's store that may fall silent: calls
 * are taken and get no answer.
 *
 * @module
 */

import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** Forwards connections to the store unless it is silent. */
export class StoreProxy {
  readonly #server = createServer((socket) => this.#accept(socket));
  readonly #sockets = new Set<Socket>();
  #target = "";
  #isSilent = false;

  /** Starts it; returns its address. */
  async start(target: string): Promise<string> {
    this.#target = target;
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** A connection on which a call went unanswered returns nothing any more. */
  set silent(isSilent: boolean) {
    this.#isSilent = isSilent;
  }

  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  #accept(client: Socket): void {
    const [host, port] = this.#target.split(":");
    const store = connect({ host, port: Number(port) });
    let isDead = false;
    const forward = (to: Socket) => (part: Buffer) => {
      isDead ||= this.#isSilent;
      if (!isDead) to.write(part);
    };
    client.on("data", forward(store));
    store.on("data", forward(client));
    for (const [socket, other] of [[client, store], [store, client]]) {
      this.#sockets.add(socket);
      socket.on("error", () => {});
      socket.on("close", () => {
        this.#sockets.delete(socket);
        other.destroy();
      });
    }
  }
}
