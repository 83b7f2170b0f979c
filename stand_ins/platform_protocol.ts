/**
 * A stand-in on loopback for the users' platform: its key-value service, its
 * interface for usage reports and orders, and upstreams that speak its
 * protocol. Upstreams record the requests that they executed.
 *
 * @module
 */

import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import {
  CallOutcome,
  MemoryTransactionalKeyValue,
} from "./memory_transactional_key_value.ts";

/** Marks a call whose response is lost. */
const UNANSWERED = [0, {}] as const;

/** A request that an upstream began to execute. */
export interface ExecutedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly organisation: string | undefined;
  readonly fields: Readonly<Record<string, string>>;
  readonly body: string;
  /** Address that the request came from. */
  readonly sender: string;
  /** Unix time in milliseconds. */
  readonly at: number;
  /** When the response ended or its sender disconnected. */
  endedAt: number | undefined;
  /** Whether it was finished, or answered with an error. */
  done: boolean;
}

/** A request that reached an upstream, which may have refused it. */
export interface ArrivedRequest {
  readonly id: string;
  /** Address that the request came from. */
  readonly sender: string;
  /** Unix time in milliseconds. */
  readonly at: number;
}

/** A health check, load report or order that reached an upstream. */
export interface ReceivedCall {
  readonly path: string;
  /** Unix time in milliseconds. */
  readonly at: number;
}

/** An event that an engine generated. */
export interface EmittedEvent {
  readonly id: string;
  readonly number: number;
  readonly version: number;
  readonly at: number;
}

/** How an upstream handles a request. */
export enum Handling {
  Serve = "serve",
  /** Answers that the request was not executed. */
  Refuse = "refuse",
  /** Executes the request; a late refusal of an earlier one comes first. */
  ForeignRefusal = "foreign refusal",
  /** Executes the request and answers with an error. */
  Fail = "fail",
  /** Closes the connection in the middle of the response. */
  Break = "break",
  /** Answers with the id of another request. */
  Foreign = "foreign",
  /** Never answers. */
  Hang = "hang",
  /** Answers that the request can never be executed. */
  Impossible = "impossible",
  /** Ends all connections of the upstream, which is back after a while. */
  Crash = "crash",
  /**
   * Answers nothing any more; connections stay open until the upstream is back
   * after a while.
   */
  Dark = "dark",
}

/** An upstream that speaks the platform's protocol. */
export class PlatformUpstreamStandIn {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly executed: ExecutedRequest[] = [];
  /** All requests, whether they were executed or not. */
  readonly arrived: ArrivedRequest[] = [];
  /** Health checks, load reports and orders. */
  readonly calls: ReceivedCall[] = [];
  readonly emitted: EmittedEvent[] = [];
  /** Ids of requests whose sender disconnected before the response ended. */
  readonly abandoned: string[] = [];
  readonly orders: {
    model: string;
    version: number;
    fence: number;
    holder: string;
  }[] = [];
  /** How many orders get no answer and are carried out after a delay. */
  lateOrders = 0;
  orderDelayMs = 6000;
  /** Address in the list; the upstream's own if empty. */
  listed = "";
  /** The limit that it names in its answers, in requests a second. */
  namedLimit: string | undefined;
  /** End of the time for which it says that it is cold. */
  coldUntil = 0;
  /** Times of all requests but load reports, and of answers other than 421. */
  readonly requested: number[] = [];
  /** Whether it says in its answers that it leaves. */
  saysLeaving = false;
  /** Decides how a request is handled. */
  handlingFor: (request: ExecutedRequest) => Handling = () => Handling.Serve;
  /** Ids of the requests that crashed this upstream. */
  readonly crashes: string[] = [];
  /** Time from a crash until the upstream is back. */
  restartMs = 300;
  /** Time from a request until the answer of a plain service. */
  answerAfterMs = 0;
  /** Number of events in a streamed response. */
  events = 4;
  /** Time between two events. */
  eventIntervalMs = 2;
  /** Pause of running streams while other weights are loaded. */
  weightLoadMs = 0;
  versions: Record<string, number> = {};
  readonly slots = 4;
  readonly #server: Server;
  readonly #onRestart: () => void;
  #bornAt = Date.now();
  #port = 0;
  #stopped = false;
  #dark = false;

  constructor(options: {
    id: string;
    service: string;
    zone?: string;
    models?: string[];
    /** Called when the upstream is back after a crash. */
    onRestart?: () => void;
  }) {
    this.id = options.id;
    this.#onRestart = options.onRestart ?? (() => {});
    this.service = options.service;
    this.zone = options.zone ?? "a";
    for (const model of options.models ?? []) this.versions[model] = 1;
    this.#server = createServer((message, response) =>
      void this.#handle(message, response)
    );
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /** The upstream's entry in the platform's key-value service. */
  entry(state = "ready"): string {
    const models = Object.entries(this.versions)
      .map(([name, version]) => ({ name, version, adapters: [] }));
    return JSON.stringify({
      service: this.service,
      address: this.listed === "" ? this.address : this.listed,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state,
      cold_ms: this.#coldMs,
      sequence: this.orders.length,
      born: this.#bornAt,
      ...models.length === 0 ? {} : { stage: "combined", models },
    });
  }

  get #coldMs(): number {
    return Math.max(0, this.coldUntil - Date.now());
  }

  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    this.#port = (this.#server.address() as AddressInfo).port;
  }

  async stop(): Promise<void> {
    this.#stopped = true;
    this.#server.close();
    this.#server.closeAllConnections();
    await Promise.resolve();
  }

  async #handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(message);
    if (this.#dark) return;
    if (this.namedLimit !== undefined) {
      response.setHeader("Server-Limit", this.namedLimit);
    }
    if (this.#coldMs > 0) response.setHeader("X-Cold-Ms", `${this.#coldMs}`);
    if (this.saysLeaving) response.setHeader("Server-Leaving", "1");
    if (message.headers["x-expect-instance"] !== this.id) {
      return void response.writeHead(421, { "x-instance-id": "other" }).end();
    }
    if (["/-/report", "/health", "/-/order"].includes(message.url ?? "")) {
      this.calls.push({ path: message.url ?? "", at: Date.now() });
    }
    if (message.url === "/-/report") return this.#report(response);
    this.requested.push(Date.now());
    if (message.url === "/health") {
      return void response.writeHead(200, { "x-instance-id": this.id }).end();
    }
    if (message.url === "/-/order") return this.#order(response, body);
    const request: ExecutedRequest = {
      id: `${message.headers["x-request-id"]}`,
      method: message.method ?? "",
      path: message.url ?? "",
      organisation: message.headers["x-tenant"] as string | undefined,
      fields: message.headers as Record<string, string>,
      body,
      sender: message.socket.remoteAddress ?? "",
      at: Date.now(),
      endedAt: undefined,
      done: false,
    };
    const { id: requestId, sender, at } = request;
    this.arrived.push({ id: requestId, sender, at });
    const kind = this.handlingFor(request);
    if (kind === Handling.Refuse) {
      const head = { "x-not-executed": "1", "x-request-id": request.id };
      return void response.writeHead(503, head).end();
    }
    this.executed.push(request);
    response.on("close", () => {
      request.endedAt = Date.now();
      if (!response.writableFinished) this.abandoned.push(request.id);
    });
    if (kind === Handling.Hang) return;
    if (kind === Handling.ForeignRefusal) {
      return void response.writeHead(503, { "x-not-executed": "1" }).end();
    }
    if (kind === Handling.Crash) return await this.#crash(request.id);
    if (kind === Handling.Dark) return await this.#goDark(request.id);
    const id = kind === Handling.Foreign ? "another" : request.id;
    const head = {
      "x-request-id": id,
      "x-response-seal": `seal-${request.id}`,
    };
    if (kind === Handling.Fail || kind === Handling.Impossible) {
      request.done = true;
      const status = kind === Handling.Fail ? 500 : 422;
      return void response.writeHead(status, head).end();
    }
    if (message.headers["x-model"] === undefined) {
      if (this.answerAfterMs > 0) await sleep(this.answerAfterMs);
      response.writeHead(200, head).write("answer to ");
      if (kind === Handling.Break) return void response.destroy();
      request.done = true;
      return void response.end(request.path);
    }
    await this.#stream(request, { kind, response, head });
  }

  /** Becomes a new instance with the same id, which says nothing of itself. */
  restart(): void {
    this.namedLimit = undefined;
    this.saysLeaving = false;
    this.#restarted();
  }

  async #crash(id: string): Promise<void> {
    this.crashes.push(id);
    if (!this.#server.listening) return;
    this.#server.close();
    this.#server.closeAllConnections();
    await sleep(this.restartMs);
    if (this.#stopped) return;
    this.#server.listen(this.#port, "127.0.0.1");
    this.#restarted();
  }

  async #goDark(id: string): Promise<void> {
    this.crashes.push(id);
    this.#dark = true;
    await sleep(this.restartMs);
    this.#server.closeAllConnections();
    this.#dark = false;
    if (!this.#stopped) this.#restarted();
  }

  #restarted(): void {
    this.#bornAt = Date.now();
    this.#onRestart();
  }

  async #stream(request: ExecutedRequest, { kind, response, head }: {
    kind: Handling;
    response: ServerResponse;
    head: Record<string, string>;
  }): Promise<void> {
    const version = () => this.versions[request.fields["x-model"]] ?? 0;
    let lastSent = version();
    response.writeHead(200, {
      ...head,
      "content-type": "text/event-stream",
      "x-weight-versions": `${lastSent}`,
    });
    const after = Number(request.fields["last-event-id"] ?? 0);
    for (let number = after + 1; number <= this.events; number++) {
      if (response.destroyed) return;
      if (version() !== lastSent) await sleep(this.weightLoadMs);
      const swapped = version() === lastSent
        ? ""
        : `x-weight-versions: ${version()}\n`;
      lastSent = version();
      const event =
        `${swapped}id: ${number}\ndata: ${request.id}.${number}\n\n`;
      this.emitted.push({
        id: request.id,
        number,
        version: lastSent,
        at: Date.now(),
      });
      if (kind === Handling.Break && number === after + 2) {
        response.write(event.slice(0, 9));
        await sleep(this.eventIntervalMs);
        return void response.destroy();
      }
      response.write(event);
      await sleep(this.eventIntervalMs);
    }
    request.done = !response.destroyed;
    response.end();
  }

  #report(response: ServerResponse): void {
    answer(response, 200, {
      stage: "combined",
      models: Object.entries(this.versions)
        .map(([name, version]) => ({ name, version, adapters: [] })),
      busy: false,
      sequence: this.orders.length,
      num_waiting: 0,
      num_running: 0,
      kv_used: 0,
      kv_total: 1000,
      handles: 0,
    });
  }

  #order(response: ServerResponse, body: string): void {
    if (this.lateOrders > 0) {
      this.lateOrders -= 1;
      const late = () => {
        if (!this.#stopped) this.#carryOut(JSON.parse(body));
      };
      setTimeout(late, this.orderDelayMs).unref();
      return;
    }
    answer(response, this.#carryOut(JSON.parse(body)), {});
  }

  /** Carries out an order if it is current; returns the status of the answer. */
  #carryOut(
    order: PlatformUpstreamStandIn["orders"][number] & {
      expected?: number;
    },
  ): number {
    const newest = Math.max(0, ...this.orders.map(({ fence }) => fence));
    if (order.fence < newest) return 412;
    const stale = order.expected !== undefined &&
      order.expected !== this.orders.length;
    if (stale) return 409;
    this.orders.push(order);
    this.versions[order.model] = order.version;
    return 202;
  }
}

/** The platform: key-value service, control plane and upstreams. */
export class PlatformProtocolStandIn {
  readonly records = new MemoryTransactionalKeyValue();
  readonly reports: {
    window: number;
    holder: string;
    fence: string;
    counts: Record<string, number>;
  }[] = [];
  readonly scaleRequests: Record<string, unknown>[] = [];
  readonly #upstreams: PlatformUpstreamStandIn[] = [];
  readonly #server = createServer((message, response) =>
    void this.#handle(message, response)
  );

  /** Address of the key-value service and of the control plane. */
  get address(): string {
    const { port } = this.#server.address() as AddressInfo;
    return `127.0.0.1:${port}`;
  }

  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
  }

  /** Starts an upstream and lists it. */
  async add(options: {
    id: string;
    service: string;
    zone?: string;
    models?: string[];
    /** For how long it is cold. */
    coldMs?: number;
  }): Promise<PlatformUpstreamStandIn> {
    const register = () =>
      this.records.put(`servers/${upstream.id}`, upstream.entry());
    const upstream = new PlatformUpstreamStandIn({
      ...options,
      onRestart: register,
    });
    upstream.coldUntil = Date.now() + (options.coldMs ?? 0);
    await upstream.start();
    this.#upstreams.push(upstream);
    register();
    return upstream;
  }

  async stop(): Promise<void> {
    await Promise.all(this.#upstreams.map((upstream) => upstream.stop()));
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = await readBody(message);
    const url = new URL(message.url ?? "/", "http://platform");
    const call = `${message.method} ${url.pathname}`;
    if (call === "POST /usage") {
      this.reports.push({
        ...JSON.parse(body),
        holder: message.headers["x-duty-holder"],
        fence: message.headers["x-fencing-token"],
      });
      return answer(response, 200, {});
    }
    if (call === "POST /scale") {
      this.scaleRequests.push(JSON.parse(body));
      return answer(response, 200, {});
    }
    const outcome = this.records.outcomeFor(call);
    if (outcome === CallOutcome.Refused) return answer(response, 503, {});
    if (outcome === CallOutcome.Silent) return void response.destroy();
    const [status, json] = await this.#store(call, url.searchParams, body);
    const lost = outcome === CallOutcome.Lost || status === 0;
    if (lost) return void response.destroy();
    answer(response, status, json);
  }

  /** Serves one call of the key-value service. */
  async #store(
    call: string,
    query: URLSearchParams,
    body: string,
  ): Promise<readonly [number, unknown]> {
    const { records } = this;
    const at = records.revision;
    if (call === "GET /-/kv-key") {
      const key = query.get("key") ?? "";
      const entry = records.entriesUnder(key).find((one) => one.key === key);
      return entry === undefined
        ? [404, { at }]
        : [200, { ...encodeEntry(entry), at }];
    }
    if (call === "GET /-/kv-range") {
      const items = records.entriesUnder(query.get("prefix") ?? "", {
        after: query.get("after") ?? "",
      }).map(encodeEntry);
      return [200, { items, has_more: false, at }];
    }
    if (call === "GET /-/kv-watch") return [200, await this.#watch(query)];
    if (call === "POST /-/kv-txn") return this.#commit(JSON.parse(body));
    if (call === "POST /-/kv-lease") {
      const { ttl_ms } = JSON.parse(body);
      const granted = await records.grant(ttl_ms);
      if (granted.err) return UNANSWERED;
      return [200, { lease: Number(granted.val.id), ttl_ms }];
    }
    const renewal = /^POST \/-\/kv-keep\/(\d+)$/.exec(call);
    if (renewal !== null) {
      const renewed = await records.renew(renewal[1]);
      return renewed.err ? [404, {}] : [200, { ttl_ms: renewed.val.ttlMs }];
    }
    const ended = /^DELETE \/-\/kv-lease-end\/(\d+)$/.exec(call);
    if (ended !== null) await records.revoke(ended[1]);
    return [ended === null ? 404 : 200, {}];
  }

  async #watch(query: URLSearchParams): Promise<unknown> {
    const { records } = this;
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const events = () =>
      records.history.filter(({ key, revision }) =>
        key.startsWith(prefix) && revision > after
      );
    if (events().length === 0) {
      await records.waitUntil(() => events().length > 0, {
        waitMs: Number(query.get("wait_ms")),
      });
    }
    return {
      events: events().map(({ key, revision, value }) =>
        value === undefined
          ? { key, revision, deleted: true }
          : encodeEntry({ key, revision, value })
      ),
      at: records.revision,
    };
  }

  #commit(change: {
    expected: { key: string; revision: number }[];
    writes: { key: string; value: string; lease?: number }[];
    remove: string[];
  }): readonly [number, unknown] {
    const done = this.records.apply({
      expected: change.expected,
      writes: change.writes.map(({ key, value, lease }) => ({
        key,
        value: Buffer.from(value, "base64").toString(),
        lease: lease === undefined ? undefined : `${lease}`,
      })),
      removes: change.remove,
    });
    return done.applied
      ? [200, { revision: done.revision }]
      : [412, { items: done.current.map(encodeEntry) }];
  }
}

function encodeEntry({ key, revision, value }: {
  key: string;
  revision: number;
  value: string;
}) {
  const base64 = Buffer.from(value).toString("base64");
  return { key, revision, created: revision, lease: 0, value: base64 };
}

async function readBody(message: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of message) parts.push(part);
  return Buffer.concat(parts).toString();
}

function answer(response: ServerResponse, status: number, json: unknown): void {
  response.writeHead(status, { "content-type": "application/json" })
    .end(JSON.stringify(json));
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
