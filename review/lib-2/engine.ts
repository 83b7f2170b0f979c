/**
 * A stand-in for a model server: streams as many events as a request names, and
 * resumes after the event that a request names.
 *
 * @module
 */

import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import { once } from "node:events";
import type { AddressInfo } from "node:net";
import type { RunRecord } from "./deployment.ts";

/** One run of a request. */
export interface Run {
  readonly id: string;
  readonly after: number;
  /** When it began, in Unix milliseconds. */
  readonly at: number;
  events: number;
  isWhole: boolean;
  /** When it ended, whole or not, in Unix milliseconds. */
  endedAt: number;
}

/** A model server at a loopback address. */
export class ModelServer {
  readonly id: string;
  readonly service: string;
  readonly model: string;
  readonly runs: Run[] = [];
  readonly #record: RunRecord;
  readonly #eventIntervalMs: number;
  readonly #bornAt = Date.now();
  readonly #server = createServer((message, response) =>
    void this.#handle(message, response)
  );
  #address = "";

  constructor(options: {
    id: string;
    service: string;
    model: string;
    record: RunRecord;
    eventIntervalMs: number;
  }) {
    this.id = options.id;
    this.service = options.service;
    this.model = options.model;
    this.#record = options.record;
    this.#eventIntervalMs = options.eventIntervalMs;
  }

  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    const { port } = this.#server.address() as AddressInfo;
    this.#address = `127.0.0.1:${port}`;
  }

  /** Its entry in the platform's store. */
  get entry() {
    return {
      service: this.service,
      address: this.#address,
      zone: "a",
      version: "v1",
      slots: 8,
      state: "ready",
      cold_ms: 0,
      sequence: 0,
      born: this.#bornAt,
      stage: "combined",
      models: [{ name: this.model, version: 1, adapters: [] }],
    };
  }

  /** Whether a request ever began to run here. */
  hasRun(id: string): boolean {
    return this.runs.some((run) => run.id === id);
  }

  async #handle(message: IncomingMessage, response: ServerResponse) {
    for await (const _part of message);
    if (message.headers["x-expect-instance"] !== this.id) {
      return response.writeHead(421, { "x-instance-id": this.id }).end();
    }
    if (message.url === "/health") {
      return response.writeHead(200, { "x-instance-id": this.id }).end();
    }
    if (message.url === "/-/report") return this.#report(response);
    await this.#stream(message, response);
  }

  #report(response: ServerResponse): void {
    const running =
      this.runs.filter(({ endedAt }) => endedAt === Infinity).length;
    response.writeHead(200, { "content-type": "application/json" }).end(
      JSON.stringify({
        stage: "combined",
        models: [{ name: this.model, version: 1, adapters: [] }],
        busy: false,
        sequence: 0,
        num_waiting: 0,
        num_running: running,
        kv_used: 0,
        kv_total: 100_000,
        handles: 0,
      }),
    );
  }

  async #stream(message: IncomingMessage, response: ServerResponse) {
    const { headers } = message;
    const id = `${headers["x-request-id"]}`;
    const after = Number(headers["last-event-id"] ?? 0);
    const total = Number(`${headers["x-token-usage"]}`.split(",")[1]);
    const run = {
      id,
      after,
      at: Date.now(),
      events: 0,
      isWhole: false,
      endedAt: Infinity,
    };
    this.runs.push(run);
    this.#record.add(`${this.id} runs ${id} after event ${after} of ${total}`);
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request-id": id,
      "x-response-seal": `seal.${id}`,
      "x-weight-versions": "1",
    });
    for (let number = after + 1; number <= total; number++) {
      await new Promise((resolve) =>
        setTimeout(resolve, this.#eventIntervalMs)
      );
      if (response.destroyed) break;
      response.write(`id: ${number}\ndata: ${id}.${number}\n\n`);
      run.events += 1;
    }
    run.endedAt = Date.now();
    run.isWhole = after + run.events === total;
    this.#record.add(
      run.isWhole
        ? `${this.id} ends ${id} as whole`
        : `${this.id} drops ${id} after ${run.events} events: it was cut off`,
    );
    response.end();
  }
}
