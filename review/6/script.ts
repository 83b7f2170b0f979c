/**
 * A model server sends a few of its answers a second time, late. Streams that may
 * not be repeated are sent to it while it takes new weights now and then.
 *
 * @module
 */

import { createServer, type IncomingMessage } from "node:http";
import type { ServerResponse } from "node:http";
import { once } from "node:events";
import type { AddressInfo, Socket } from "node:net";
import {
  call,
  HAS_TROUBLE,
  runCase,
  type RunRecord,
  sleep,
} from "../lib-2/deployment.ts";

const HOST = "ficu95.example";
const ID = "i-7f3a91c2";
const SERVICE = "palette-lm";
const MODEL = "daka510000";
const SLOTS = 8;
const EVENTS = 3;
const EVENT_INTERVAL_MS = 20;
/** How long a change of version takes. */
const LOAD_MS = 900;
/** Between two versions that the trainer names. */
const VERSION_INTERVAL_MS = 4000;
/** Largest dose of `garble`, how `extra late`, in the site file. */
const MAX_COPY_SHARE = 0.03;
const TROUBLE_MS = 5000;
/** Answers that are copied in each trouble, of some 100. */
const COPIES_PER_TROUBLE = 2;
const PAUSE_MS = 1000;
const TROUBLES = 10;
const REQUEST_INTERVAL_MS = 50;
const DEADLINE_MS = 4000;

/** The only server of the service; keeps what it ran. */
class Server {
  readonly runs = new Map<string, number>();
  version = 1;
  readonly #record: RunRecord;
  /** The answer that is sent once more on a connection. */
  readonly #copies = new WeakMap<Socket, string>();
  readonly #server = createServer((message, response) =>
    void this.#handle(message, response)
  );
  readonly #bornAt = Date.now();
  #address = "";
  #orders = 0;
  #isLoading = false;
  #running = 0;
  #isTroubled = false;
  #answers = 0;
  #copied = 0;

  constructor(record: RunRecord) {
    this.#record = record;
  }

  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as AddressInfo;
    this.#address = `127.0.0.1:${port}`;
  }

  get entry() {
    return {
      service: SERVICE,
      address: this.#address,
      zone: "a",
      version: "v1",
      slots: SLOTS,
      state: "ready",
      cold_ms: 0,
      sequence: this.#orders,
      born: this.#bornAt,
      stage: "combined",
      models: this.#models,
    };
  }

  beginTrouble(): void {
    this.#isTroubled = true;
    this.#answers = 0;
    this.#copied = 0;
  }

  /** Ends the trouble; throws if it was larger than its limit. */
  endTrouble(): void {
    this.#isTroubled = false;
    this.#record.add(
      `trouble ends, ${this.#copied} of ${this.#answers} answers copied`,
    );
    if (this.#copied > MAX_COPY_SHARE * this.#answers) {
      throw new Error("More answers were copied than the pages allow");
    }
  }

  get #models() {
    return [{ name: MODEL, version: this.version, adapters: [] }];
  }

  async #handle(message: IncomingMessage, response: ServerResponse) {
    const parts: Buffer[] = [];
    for await (const part of message) parts.push(part);
    if (message.headers["x-expect-instance"] !== ID) {
      return response.writeHead(421, { "x-instance-id": ID }).end();
    }
    const { socket, url } = message;
    const copy = this.#copies.get(socket);
    this.#copies.delete(socket);
    const id = message.headers["x-request-id"];
    if (copy !== undefined) {
      this.#record.add(`server sends a late copy before the answer to ${id}`);
      socket.write(copy);
    }
    if (url === "/health") {
      return response.writeHead(200, { "x-instance-id": ID }).end();
    }
    if (url === "/-/report") return this.#report(response);
    if (url === "/-/order") {
      return this.#order(response, JSON.parse(Buffer.concat(parts).toString()));
    }
    await this.#stream(`${id}`, response);
  }

  #report(response: ServerResponse): void {
    response.writeHead(200, { "content-type": "application/json" }).end(
      JSON.stringify({
        stage: "combined",
        models: this.#models,
        busy: this.#isLoading,
        sequence: this.#orders,
        num_waiting: 0,
        num_running: this.#running,
        kv_used: 0,
        kv_total: 83_744,
        handles: 0,
      }),
    );
  }

  #order(response: ServerResponse, order: {
    version: number;
    expected?: number;
  }): void {
    const isStale = order.expected !== undefined &&
      order.expected !== this.#orders;
    if (this.#isLoading || isStale) return void response.writeHead(409).end();
    if (order.version <= this.version) {
      return void response.writeHead(200).end();
    }
    this.#orders += 1;
    this.#isLoading = true;
    this.#record.add(`server loads version ${order.version}`);
    setTimeout(() => {
      this.version = order.version;
      this.#isLoading = false;
    }, LOAD_MS);
    response.writeHead(202).end();
  }

  async #stream(id: string, response: ServerResponse): Promise<void> {
    this.#answers += 1;
    // A request that has not started is refused while an order is carried out.
    if (this.#isLoading) return this.#refuse(id, response);
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    this.#record.add(`server runs ${id}, time ${this.runs.get(id)}`);
    this.#running += 1;
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request-id": id,
      "x-response-seal": `seal.${id}`,
      "x-weight-versions": `${this.version}`,
    });
    for (let number = 1; number <= EVENTS; number++) {
      await sleep(EVENT_INTERVAL_MS);
      response.write(`id: ${number}\ndata: ${id}.${number}\n\n`);
    }
    this.#running -= 1;
    response.end();
  }

  #refuse(id: string, response: ServerResponse): void {
    const { socket } = response;
    const isCopied = this.#isTroubled && this.#copied < COPIES_PER_TROUBLE;
    this.#record.add(`server refuses ${id} as not executed`);
    if (isCopied && socket !== null) {
      this.#copied += 1;
      this.#copies.set(
        socket,
        "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\n" +
          `X-Request-Id: ${id}\r\nContent-Length: 0\r\n\r\n`,
      );
    }
    response.writeHead(503, {
      "X-Not-Executed": "1",
      "X-Request-Id": id,
      "Content-Length": "0",
    }).end();
  }
}

void runCase("6", async (deployment, record) => {
  const server = new Server(record);
  await server.start();
  await deployment.start();
  deployment.put("op/config", {
    version: 1,
    routes: [{
      name: "r-sample",
      host: HOST,
      prefix: "/sample/",
      type: "stream",
      timeout_ms: DEADLINE_MS,
      latency_goal_ms: 500,
      priority: 1,
      service: SERVICE,
      max_attempts: 3,
      public: true,
    }],
    services: [{
      name: SERVICE,
      health_path: "/health",
      engine: {
        slots: SLOTS,
        kv_cache_tokens: 83_744,
        models: [{ name: MODEL }],
      },
    }],
    limits: {},
  });
  const list = () => deployment.put(`servers/${ID}`, server.entry);
  list();
  const daemon = await deployment.startDaemon("front-a-1", "127.0.0.1");
  await sleep(3000);

  let isOver = false;
  let version = 1;
  const naming = (async () => {
    while (!isOver) {
      await sleep(VERSION_INTERVAL_MS);
      list();
      version += 1;
      deployment.put(`op/version/${MODEL}`, { model: MODEL, version });
    }
  })();
  const answers = new Map<string, number>();
  const calls: Promise<void>[] = [];
  const send = async (id: string) => {
    record.add(`client sends ${id}`);
    const { status } = await call(daemon.front, {
      method: "POST",
      path: "/sample/1",
      headers: {
        "host": HOST,
        "x-request-id": id,
        "x-deadline-ms": `${DEADLINE_MS}`,
        "x-model": MODEL,
        "x-token-usage": `16,${EVENTS}`,
      },
      body: id,
    });
    answers.set(id, status);
    record.add(`client gets ${status} for ${id}`);
  };
  const sendFor = async (ms: number) => {
    for (const endsAt = Date.now() + ms; Date.now() < endsAt;) {
      calls.push(send(`q${calls.length.toString().padStart(5, "0")}`));
      await sleep(REQUEST_INTERVAL_MS);
    }
  };
  for (let trouble = 0; trouble < TROUBLES; trouble++) {
    await sendFor(PAUSE_MS);
    record.add(`trouble ${HAS_TROUBLE ? "begins" : "is left out"}`);
    if (HAS_TROUBLE) server.beginTrouble();
    await sendFor(TROUBLE_MS);
    if (HAS_TROUBLE) server.endTrouble();
  }
  isOver = true;
  await Promise.all([...calls, naming]);
  await sleep(1000);

  const twice = [...server.runs].filter(([, runs]) => runs > 1);
  const refused = [...answers].filter(([id, status]) =>
    [408, 421, 429, 503].includes(status) && server.runs.has(id)
  );
  const served = [...answers.values()].filter((status) => status === 200);
  record.add(`${calls.length} requests, ${served.length} answered with 200`);
  record.add(`TWICE: ${twice.length} ran more than once: ${twice.join(" ")}`);
  record.add(`REFUSED: ${refused.length} were refused and ran: ${refused}`);
  if (served.length === 0) throw new Error("Nothing was served");
  return twice.length === 0 && refused.length === 0;
});
