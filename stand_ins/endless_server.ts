/**
 * A TCP server whose answer to each request never ends: it begins with a head
 * and repeats one piece, as fast as it is read or at an interval. It stops at a
 * limit of bytes or time and leaves the connection open.
 *
 * @module
 */

import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";

/** Limits of one answer, so that a reader without limits ends a test too. */
const MAX_ANSWER_BYTES = 64 * 1024 * 1024;
const MAX_ANSWER_MS = 5000;

/** How a server closes a connection. */
export enum Close {
  Fin = "fin",
  Reset = "reset",
  /** A reset that follows the FIN. */
  FinAndReset = "fin and reset",
}

/** What a server sends for one request. */
export interface EndlessAnswer {
  /** Sent once; given the id of the request. */
  readonly head: (id: string) => string;
  /** Repeated after the head. */
  readonly piece: string;
  /** Time between two pieces; 0 for as fast as they are read. */
  readonly intervalMs?: number;
  /** Bytes of pieces after which it falls silent. */
  readonly maxBytes?: number;
  /** How it closes the connection then; by default it stays open. */
  readonly close?: Close;
}

/** A connection with the bytes that were sent on it. */
interface Connection {
  readonly socket: Socket;
  sentBytes: number;
}

/** A running server. */
export class EndlessServer {
  /** Ids of the requests received. */
  readonly requests: string[] = [];
  readonly #answer: EndlessAnswer;
  /** Connections on which a request arrived. */
  readonly #connections: Connection[] = [];
  readonly #sockets = new Set<Socket>();
  readonly #server = createServer((socket) => void this.#serve(socket));

  constructor(answer: EndlessAnswer) {
    this.#answer = answer;
  }

  /** Listens on loopback. */
  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
  }

  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  /** Connections with a request that the reader has not closed. */
  get openConnections(): number {
    return this.#open.length;
  }

  /** Bytes that readers took from all connections. */
  get readBytes(): number {
    return this.#connections.reduce((sum, { sentBytes }) => sum + sentBytes, 0);
  }

  /** Bytes that readers took from the connections that are open. */
  get openBytes(): number {
    return this.#open.reduce((sum, { sentBytes }) => sum + sentBytes, 0);
  }

  get #open(): readonly Connection[] {
    return this.#connections.filter(({ socket }) => !socket.destroyed);
  }

  /** Closes all connections. */
  stop(): void {
    this.#server.close();
    for (const socket of this.#sockets) socket.destroy();
  }

  async #serve(socket: Socket): Promise<void> {
    this.#sockets.add(socket);
    socket.on("error", () => socket.destroy());
    socket.on("end", () => socket.destroy());
    socket.on("close", () => this.#sockets.delete(socket));
    const request = await firstBytes(socket);
    if (request === undefined) return;
    const connection = { socket, sentBytes: 0 };
    this.#connections.push(connection);
    const id = /^x-request-id: (.*)$/im.exec(`${request}`)?.[1].trim() ?? "";
    this.requests.push(id);
    socket.write(this.#answer.head(id));
    await this.#repeat(connection);
  }

  async #repeat(connection: Connection): Promise<void> {
    const { socket } = connection;
    const { piece, intervalMs = 0, maxBytes = MAX_ANSWER_BYTES, close } =
      this.#answer;
    const endsAt = Date.now() + MAX_ANSWER_MS;
    while (!socket.destroyed && Date.now() < endsAt) {
      if (connection.sentBytes + piece.length > maxBytes) {
        if (close === Close.Fin) socket.end();
        if (close === Close.Reset) socket.resetAndDestroy();
        if (close === Close.FinAndReset) {
          socket.end(() => socket.resetAndDestroy());
        }
        return;
      }
      const taken = socket.write(piece);
      connection.sentBytes += piece.length;
      if (intervalMs > 0) await sleep(intervalMs);
      else if (!taken) await writable(socket);
    }
  }
}

/** Starts a server with this answer to all requests. */
export async function startEndlessServer(
  answer: EndlessAnswer,
): Promise<EndlessServer> {
  const server = new EndlessServer(answer);
  await server.start();
  return server;
}

/** The head of an answer to a request, with an end of the caller's choice. */
export function answerHead(
  status: string,
  fields: readonly string[] = [],
): (id: string) => string {
  return (id) =>
    [
      `HTTP/1.1 ${status}`,
      `X-Request-Id: ${id}`,
      `X-Response-Seal: seal-${id}`,
      ...fields,
      "",
      "",
    ].join("\r\n");
}

/** The first bytes on a connection, or nothing if it closes before any. */
function firstBytes(socket: Socket): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    socket.once("data", resolve);
    socket.once("close", () => resolve(undefined));
  });
}

/** Waits until a connection takes more bytes or is closed. */
function writable(socket: Socket): Promise<void> {
  return new Promise((resolve) => {
    const done = () => {
      socket.off("drain", done);
      socket.off("close", done);
      resolve();
    };
    socket.on("drain", done);
    socket.on("close", done);
  });
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
