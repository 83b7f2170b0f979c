/**
 * A stand-in for a sampler, by the users' pages: it registers itself in the
 * store, answers plain requests, streams events, and takes orders.
 *
 * @module
 */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { PlatformStandIn } from "./platform.ts";
import { sleep } from "./deployment.ts";

/** A request that a sampler began to run. */
export interface Run {
  readonly id: string;
  readonly sampler: string;
  readonly method: string;
  readonly path: string;
  readonly tenant: string | undefined;
  readonly headers: IncomingMessage["headers"];
  readonly bodyBytes: number;
  readonly at: number;
  readonly after: number;
  endedAt?: number;
  whole: boolean;
}

/** Intervals of the pages: of pings, and of the store's removal without them. */
const HEARTBEAT_MS = 1200;

/** A sampler at an address of its own. */
export class SamplerStandIn {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly slots: number;
  readonly runs: Run[] = [];
  readonly orders: Record<string, unknown>[] = [];
  /** Number of events of a stream, and the time between two. */
  events = 20;
  eventMs = 20;
  /** Time that a plain request runs. */
  workMs = 20;
  /** Answers a request in its own way if it returns true. */
  handle: (
    run: Run,
    message: IncomingMessage,
    response: ServerResponse,
  ) => boolean = () => false;
  readonly versions: Record<string, number> = {};
  readonly bornAt = Date.now();
  state = "ready";
  #running = 0;
  #leaving = false;
  #timer: NodeJS.Timeout | undefined;
  readonly #platform: PlatformStandIn;
  readonly #server = createServer((message, response) => {
    this.#serve(message, response).catch(() => response.destroy());
  });

  constructor(options: {
    id: string;
    service: string;
    zone: string;
    slots?: number;
    model?: string;
    platform: PlatformStandIn;
  }) {
    this.id = options.id;
    this.service = options.service;
    this.zone = options.zone;
    this.slots = options.slots ?? 8;
    this.#platform = options.platform;
    if (options.model !== undefined) this.versions[options.model] = 1;
  }

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async start(): Promise<void> {
    this.#server.keepAliveTimeout = 15_000;
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    this.register();
    this.#timer = setInterval(() => this.register(), HEARTBEAT_MS);
  }

  /**
   * Leaves: its answers say so from now on, and it serves on. It reports
   * `draining` to the store, or its entry is removed without that.
   */
  leave(options: { reports: boolean }): void {
    this.#leaving = true;
    if (options.reports) {
      this.state = "draining";
      this.register();
      return;
    }
    clearInterval(this.#timer);
    this.#platform.remove(`servers/${this.id}`);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Writes its entry if more than the counts changed. */
  register(): void {
    const models = Object.entries(this.versions)
      .map(([name, version]) => ({ name, version, adapters: [] }));
    const entry = {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: this.state,
      cold_ms: 0,
      born: this.bornAt,
      sequence: this.orders.length,
      ...models.length === 0 ? {} : { stage: "combined", models },
    };
    const key = `servers/${this.id}`;
    if (this.#platform.value(key) === JSON.stringify(entry)) return;
    this.#platform.put(key, entry);
  }

  async #serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parts: Buffer[] = [];
    for await (const part of message) parts.push(part);
    const body = Buffer.concat(parts);
    if (this.#leaving) response.setHeader("Server-Leaving", "1");
    const expected = message.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      return void response.writeHead(421, { "x-instance-id": this.id }).end();
    }
    if (message.url === "/health") {
      return void response.writeHead(200, {
        "x-instance-id": this.id,
        "x-server-load": this.#load,
      }).end();
    }
    if (message.url === "/-/report") return this.#report(response);
    if (message.url === "/-/order") return this.#order(body, response);
    await this.#run(message, response, body);
  }

  get #load(): string {
    const running = Math.min(this.#running, this.slots);
    return `${running},${this.#running - running},${this.slots}`;
  }

  async #run(
    message: IncomingMessage,
    response: ServerResponse,
    body: Buffer,
  ): Promise<void> {
    const { headers } = message;
    const run: Run = {
      id: `${headers["x-request-id"]}`,
      sampler: this.id,
      method: `${message.method}`,
      path: `${message.url}`,
      tenant: headers["x-tenant"] as string | undefined,
      headers,
      bodyBytes: body.length,
      at: Date.now(),
      after: Number(headers["last-event-id"] ?? 0),
      whole: false,
    };
    this.runs.push(run);
    this.#running += 1;
    response.on("close", () => {
      this.#running -= 1;
      run.endedAt = Date.now();
    });
    if (this.handle(run, message, response)) return;
    const head = {
      "x-request-id": run.id,
      "x-response-seal": `seal.${run.id}`,
      "x-server-load": this.#load,
    };
    if (headers["x-model"] !== undefined) {
      return await this.#stream(run, response, head);
    }
    await sleep(this.workMs);
    run.whole = true;
    response.writeHead(200, head).end(`answer to ${run.id}`);
  }

  async #stream(
    run: Run,
    response: ServerResponse,
    head: Record<string, string>,
  ): Promise<void> {
    const version = this.versions[`${run.headers["x-model"]}`] ?? 1;
    response.writeHead(200, {
      ...head,
      "content-type": "text/event-stream",
      "x-weight-versions": `${version}`,
    });
    response.flushHeaders();
    for (let n = run.after + 1; n <= this.events; n++) {
      await sleep(this.eventMs);
      if (response.destroyed) return;
      response.write(`id: ${n}\ndata: ${run.id}.${n}\n\n`);
    }
    run.whole = true;
    response.end();
  }

  #report(response: ServerResponse): void {
    const running = Math.min(this.#running, this.slots);
    response.writeHead(200, { "content-type": "application/json" }).end(
      JSON.stringify({
        stage: "combined",
        models: Object.entries(this.versions)
          .map(([name, version]) => ({ name, version, adapters: [] })),
        busy: false,
        sequence: this.orders.length,
        num_waiting: this.#running - running,
        num_running: running,
        kv_used: 0,
        kv_total: 80_000,
        handles: 0,
      }),
    );
  }

  #order(body: Buffer, response: ServerResponse): void {
    const order = JSON.parse(body.toString());
    const stale = order.expected !== undefined &&
      order.expected !== this.orders.length;
    if (stale) return void response.writeHead(409).end();
    this.orders.push({ ...order, at: Date.now() });
    this.versions[order.model] = order.version;
    response.writeHead(202).end();
  }
}
