/**
 * A plain service sheds part of its requests and sends some answers a second
 * time, late. Requests that may not be repeated are sent to it.
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
const SLOTS = 6;
const WORK_MS = 20;

/** Largest dose of `srv_grey`, how `shed`, in the site files. */
const SHED_SHARE = 0.45;
/** Largest dose of `garble`, how `extra late`: one answer in 34 is under it. */
const ANSWERS_PER_COPY = 34;
const TROUBLE_MS = 5000;
const PAUSE_MS = 1000;
const TROUBLES = 10;
const REQUEST_INTERVAL_MS = 100;
const DEADLINE_MS = 2000;

/** A server of the service; keeps what it ran. */
class Service {
  readonly runs = new Map<string, number>();
  isTroubled = false;
  readonly #record: RunRecord;
  /** The answer that is sent once more on a connection. */
  readonly #copies = new WeakMap<Socket, string>();
  readonly #server = createServer((message, response) =>
    void this.#handle(message, response)
  );
  #answers = 0;
  #random = 1;

  constructor(record: RunRecord) {
    this.#record = record;
  }

  async start(): Promise<string> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async #handle(message: IncomingMessage, response: ServerResponse) {
    for await (const _part of message);
    const { socket } = message;
    if (message.headers["x-expect-instance"] !== ID) {
      return response.writeHead(421, { "x-instance-id": ID }).end();
    }
    if (message.url === "/health") {
      return response.writeHead(200, { "x-instance-id": ID }).end();
    }
    const id = `${message.headers["x-request-id"]}`;
    const copy = this.#copies.get(socket);
    this.#copies.delete(socket);
    if (copy !== undefined) {
      this.#record.add(`server sends a late copy before the answer to ${id}`);
      socket.write(copy);
    }
    if (this.isTroubled && this.#draw() < SHED_SHARE) {
      this.#record.add(`server refuses ${id} as not executed`);
      return this.#answer(response, {
        status: 503,
        head: { "X-Not-Executed": "1", "X-Request-Id": id },
        body: "",
      });
    }
    this.runs.set(id, (this.runs.get(id) ?? 0) + 1);
    this.#record.add(`server runs ${id}, time ${this.runs.get(id)}`);
    await sleep(WORK_MS);
    this.#answer(response, {
      status: 200,
      head: { "X-Request-Id": id, "X-Response-Seal": `seal.${id}` },
      body: `done ${id}`,
    });
  }

  #answer(response: ServerResponse, { status, head, body }: {
    status: number;
    head: Record<string, string>;
    body: string;
  }): void {
    const fields = { ...head, "Content-Length": `${body.length}` };
    this.#answers += 1;
    if (this.isTroubled && this.#answers % ANSWERS_PER_COPY === 0) {
      const lines = Object.entries(fields).map(([name, value]) =>
        `${name}: ${value}\r\n`
      );
      const start = `HTTP/1.1 ${status} Copy\r\n`;
      if (response.socket !== null) {
        this.#copies.set(
          response.socket,
          `${start}${lines.join("")}\r\n${body}`,
        );
      }
    }
    response.writeHead(status, fields).end(body);
  }

  /** The same numbers in each run. */
  #draw(): number {
    this.#random = (this.#random * 48271) % 2147483647;
    return this.#random / 2147483647;
  }
}

void runCase("6", async (deployment, record) => {
  const service = new Service(record);
  const address = await service.start();
  await deployment.start();
  deployment.put("op/config", {
    version: 1,
    routes: [{
      name: "r-release",
      host: HOST,
      prefix: "/release/",
      type: "non_idempotent",
      timeout_ms: DEADLINE_MS,
      latency_goal_ms: 500,
      priority: 1,
      service: "auction-app",
      max_attempts: 3,
      public: true,
    }],
    services: [{ name: "auction-app", health_path: "/health" }],
    limits: {},
  });
  deployment.put(`servers/${ID}`, {
    service: "auction-app",
    address,
    zone: "a",
    version: "v1",
    slots: SLOTS,
    state: "ready",
    cold_ms: 0,
    sequence: 0,
    born: Date.now(),
  });
  const daemon = await deployment.startDaemon("front-a-1", "127.0.0.1");
  await sleep(2000);

  const answers = new Map<string, number>();
  const calls: Promise<void>[] = [];
  const send = async (id: string) => {
    record.add(`client sends ${id}`);
    const { status } = await call(daemon.front, {
      method: "POST",
      path: `/release/${id}`,
      headers: {
        host: HOST,
        "x-request-id": id,
        "x-deadline-ms": `${DEADLINE_MS}`,
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
    service.isTroubled = HAS_TROUBLE;
    record.add(`trouble ${HAS_TROUBLE ? "begins" : "is left out"}`);
    await sendFor(TROUBLE_MS);
    service.isTroubled = false;
    record.add("trouble ends");
  }
  await Promise.all(calls);
  await sleep(1000);

  const twice = [...service.runs].filter(([, runs]) => runs > 1);
  const refused = [...answers].filter(([id, status]) =>
    [408, 421, 429, 503].includes(status) && service.runs.has(id)
  );
  const served = [...answers.values()].filter((status) => status === 200);
  record.add(`${calls.length} requests, ${served.length} answered with 200`);
  record.add(`TWICE: ${twice.length} ran more than once: ${twice.join(" ")}`);
  record.add(`REFUSED: ${refused.length} were refused and ran: ${refused}`);
  if (served.length === 0) throw new Error("Nothing was served");
  return twice.length === 0 && refused.length === 0;
});
