/**
 * Connections to one address on which a request can be sent again. An upstream
 * may send an answer twice, the second time late, and answers name the request
 * but not the send. On a connection that carried the request before, the copy
 * would be taken for the answer to the new send. So no connection carries a
 * request twice.
 *
 * @module
 */

import { Client, type Dispatcher } from "undici";

/** A connection is replaced after this many requests, whose ids it keeps. */
const MAX_REQUESTS_PER_CONNECTION = 500;

/** A request on its connection. */
export interface Exchange {
  readonly response: Dispatcher.ResponseData;
  /** Whether the connection carried no other request before. */
  readonly isFirst: boolean;
  /** Closes the connection once the answer has been read. */
  retire(): void;
}

/** Connections to one address, each for one request at a time. */
export class RequestConnections {
  readonly #origin: string;
  readonly #options: Client.Options;
  readonly #connections = new Set<Connection>();

  constructor(options: { origin: string; client: Client.Options }) {
    this.#origin = options.origin;
    this.#options = { ...options.client, pipelining: 1 };
  }

  /** Number of connections that are open or being opened. */
  get size(): number {
    return this.#connections.size;
  }

  /** Sends a request; its answer's body must be read or destroyed. */
  async send(
    id: string,
    request: Dispatcher.RequestOptions,
  ): Promise<Exchange> {
    const connection = this.#connectionFor(id);
    const isFirst = connection.carried === 0;
    const response = await connection.send(id, request);
    return { response, isFirst, retire: () => this.#retire(connection) };
  }

  /** Closes the connections once their requests have ended. */
  close(): void {
    for (const connection of this.#connections) this.#retire(connection);
  }

  /** Closes the connections, also those with a request. */
  async destroy(): Promise<void> {
    const connections = [...this.#connections];
    this.#connections.clear();
    await Promise.all(connections.map((one) => one.destroy()));
  }

  #connectionFor(id: string): Connection {
    for (const connection of this.#connections) {
      if (!connection.isIdle) continue;
      if (connection.carried >= MAX_REQUESTS_PER_CONNECTION) {
        this.#retire(connection);
      } else if (!connection.hasCarried(id)) return connection;
    }
    const opened = new Connection({
      origin: this.#origin,
      options: this.#options,
      onEnd: () => this.#retire(opened),
    });
    this.#connections.add(opened);
    return opened;
  }

  #retire(connection: Connection): void {
    if (this.#connections.delete(connection)) connection.close();
  }
}

/** One connection and the ids of the requests that it carried. */
class Connection {
  readonly #client: Client;
  readonly #ids = new Set<string>();

  constructor(options: {
    origin: string;
    options: Client.Options;
    /** Called once the connection is closed or could not be opened. */
    onEnd: () => void;
  }) {
    this.#client = new Client(options.origin, options.options);
    this.#client.on("disconnect", options.onEnd);
    this.#client.on("connectionError", options.onEnd);
  }

  /** Number of requests that it carried. */
  get carried(): number {
    return this.#ids.size;
  }

  get isIdle(): boolean {
    return this.#client.stats.size === 0;
  }

  hasCarried(id: string): boolean {
    return this.#ids.has(id);
  }

  send(
    id: string,
    request: Dispatcher.RequestOptions,
  ): Promise<Dispatcher.ResponseData> {
    this.#ids.add(id);
    return this.#client.request(request);
  }

  /** Closes it after the request that it carries. */
  close(): void {
    // Undici doesn't allow it while it reports the end of a connection.
    setImmediate(() => this.#client.close().catch(() => this.destroy()));
  }

  destroy(): Promise<void> {
    return this.#client.destroy();
  }
}
