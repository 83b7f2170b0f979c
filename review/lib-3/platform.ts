/**
 * A stand-in for the platform: its store and its API, by the users' pages. All
 * calls are answered at once; a test may make it refuse or delay calls.
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

/** Limits that the pages set for one transaction. */
const MAX_TXN_ENTRIES = 32;
const MAX_VALUE_BYTES = 1_048_576;
const MAX_KEY_BYTES = 200;

/** About one page of a range, in items and in bytes of values. */
const MAX_PAGE_ITEMS = 500;
const MAX_PAGE_BYTES = 1_048_576;

const MAX_WATCH_MS = 30_000;

interface Item {
  readonly key: string;
  /** Standard base64. */
  readonly value: string;
  readonly revision: number;
  readonly created: number;
  readonly lease: number;
}

interface StoreEvent {
  readonly key: string;
  readonly revision: number;
  readonly item?: Item;
}

/** A call on a duty, as the platform received it. */
export interface DutyCall {
  readonly at: number;
  readonly path: string;
  readonly holder: string;
  readonly fence: number;
  readonly body: Record<string, unknown>;
  readonly status: number;
}

/** A transaction of the store's callers. */
interface Change {
  readonly expected?: readonly { key: string; revision: number }[];
  readonly writes?: readonly { key: string; value: string; lease?: number }[];
  readonly remove?: readonly string[];
}

/** The platform's store and API at one address. */
export class PlatformStandIn {
  readonly dutyCalls: DutyCall[] = [];
  /** Called before a call is served; may wait, or answer itself. */
  before: (
    call: string,
    body: string,
    response: ServerResponse,
  ) => Promise<boolean> | boolean = () => false;
  readonly #items = new Map<string, Item>();
  readonly #events: StoreEvent[] = [];
  readonly #leases = new Map<
    number,
    { ttlMs: number; timer: NodeJS.Timeout }
  >();
  readonly #waiters = new Set<() => void>();
  readonly #fences = new Map<string, number>();
  #revision = 1;
  #leaseCount = 0;
  readonly #server = createServer((message, response) => {
    this.#serve(message, response).catch(() => response.destroy());
  });

  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }

  async start(): Promise<void> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
  }

  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
    for (const { timer } of this.#leases.values()) clearTimeout(timer);
  }

  /** Writes a key as the operator or a server does; returns its revision. */
  put(key: string, value: unknown): number {
    const text = Buffer.from(JSON.stringify(value)).toString("base64");
    this.#apply({ writes: [{ key, value: text }] });
    return this.#revision;
  }

  remove(key: string): void {
    this.#apply({ remove: [key] });
  }

  /** The value of a key, decoded. */
  value(key: string): string | undefined {
    const item = this.#items.get(key);
    return item && Buffer.from(item.value, "base64").toString();
  }

  async #serve(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const parts: Buffer[] = [];
    for await (const part of message) parts.push(part);
    const body = Buffer.concat(parts).toString();
    const url = new URL(message.url ?? "/", "http://platform");
    const call = `${message.method} ${url.pathname}`;
    if (await this.before(call, body, response)) return;
    const [status, json] = await this.#answer(call, url.searchParams, {
      body,
      message,
    });
    response.writeHead(status, { "content-type": "application/json" })
      .end(JSON.stringify(json));
  }

  async #answer(
    call: string,
    query: URLSearchParams,
    { body, message }: { body: string; message: IncomingMessage },
  ): Promise<readonly [number, unknown]> {
    if (call === "POST /usage" || call === "POST /scale") {
      return this.#duty(call.slice(5), JSON.parse(body), message);
    }
    if (call === "GET /-/kv-key") {
      const item = this.#items.get(query.get("key") ?? "");
      const at = this.#revision;
      return item === undefined ? [404, { at }] : [200, { ...item, at }];
    }
    if (call === "GET /-/kv-range") return [200, this.#range(query)];
    if (call === "GET /-/kv-watch") return [200, await this.#watch(query)];
    if (call === "POST /-/kv-txn") return this.#txn(JSON.parse(body));
    if (call === "POST /-/kv-lease") {
      const ttlMs = Math.max(1000, JSON.parse(body).ttl_ms);
      const lease = ++this.#leaseCount;
      const timer = setTimeout(() => this.#endLease(lease), ttlMs);
      this.#leases.set(lease, { ttlMs, timer });
      return [200, { lease, ttl_ms: ttlMs }];
    }
    const kept = /^POST \/-\/kv-keep\/(\d+)$/.exec(call);
    if (kept !== null) {
      const lease = this.#leases.get(Number(kept[1]));
      lease?.timer.refresh();
      return lease === undefined ? [404, {}] : [200, { ttl_ms: lease.ttlMs }];
    }
    const ended = /^DELETE \/-\/kv-lease-end\/(\d+)$/.exec(call);
    if (ended !== null) this.#endLease(Number(ended[1]));
    return [ended === null ? 404 : 200, {}];
  }

  #duty(
    path: string,
    body: Record<string, unknown>,
    { headers }: IncomingMessage,
  ): readonly [number, unknown] {
    const holder = `${headers["x-duty-holder"]}`;
    const fence = Number(headers["x-fencing-token"]);
    const subject = path === "/usage"
      ? path
      : `${path} ${body.service} ${body.zone}`;
    const highest = this.#fences.get(subject) ?? 0;
    const status = fence < highest ? 409 : 200;
    this.#fences.set(subject, Math.max(highest, fence));
    this.dutyCalls.push({ at: Date.now(), path, holder, fence, body, status });
    return [status, {}];
  }

  #range(query: URLSearchParams): unknown {
    const prefix = query.get("prefix") ?? "";
    const after = query.get("after") ?? "";
    const found = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => a.key < b.key ? -1 : 1);
    const items: Item[] = [];
    let bytes = 0;
    for (const item of found) {
      bytes += item.value.length;
      const isFull = items.length >= MAX_PAGE_ITEMS || bytes > MAX_PAGE_BYTES;
      if (items.length > 0 && isFull) break;
      items.push(item);
    }
    const has_more = items.length < found.length;
    return { items, has_more, at: this.#revision };
  }

  async #watch(query: URLSearchParams): Promise<unknown> {
    const prefix = query.get("prefix") ?? "";
    const after = Number(query.get("after"));
    const events = () =>
      this.#events.filter(({ key, revision }) =>
        revision > after && key.startsWith(prefix)
      );
    const waitMs = Math.min(MAX_WATCH_MS, Number(query.get("wait_ms")));
    if (events().length === 0) await this.#waitFor(events, waitMs);
    return {
      events: events().map(({ key, revision, item }) =>
        item ?? { key, revision, deleted: true }
      ),
      at: this.#revision,
    };
  }

  #waitFor(
    events: () => readonly unknown[],
    waitMs: number,
  ): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.#waiters.delete(check);
        resolve();
      };
      const check = () => events().length > 0 && end();
      const timer = setTimeout(end, waitMs);
      this.#waiters.add(check);
    });
  }

  #txn(change: Change): readonly [number, unknown] {
    const { expected = [], writes = [], remove = [] } = change;
    const entries = expected.length + writes.length + remove.length;
    const tooLong = writes.some(({ key, value }) =>
      Buffer.byteLength(key) > MAX_KEY_BYTES ||
      Buffer.byteLength(value, "base64") > MAX_VALUE_BYTES
    );
    if (entries > MAX_TXN_ENTRIES || tooLong) return [400, {}];
    if (writes.some(({ key }) => /^(op|servers)\//.test(key))) return [403, {}];
    const lost = writes.some(({ lease }) => lease && !this.#leases.has(lease));
    if (lost) return [404, {}];
    const differs = expected.some(({ key, revision }) =>
      (this.#items.get(key)?.revision ?? 0) !== revision
    );
    if (differs) {
      const items = expected.flatMap(({ key }) => this.#items.get(key) ?? []);
      return [412, { items }];
    }
    this.#apply(change);
    return [200, { revision: this.#revision }];
  }

  #apply({ writes = [], remove = [] }: Change): void {
    const revision = ++this.#revision;
    for (const { key, value, lease = 0 } of writes) {
      const created = this.#items.get(key)?.created ?? revision;
      const item = { key, value, revision, created, lease };
      this.#items.set(key, item);
      this.#events.push({ key, revision, item });
    }
    for (const key of remove) {
      if (this.#items.delete(key)) this.#events.push({ key, revision });
    }
    // History of about the last changes, as values may be long.
    if (this.#events.length > 2000) this.#events.splice(0, 1000);
    for (const waiter of [...this.#waiters]) waiter();
  }

  #endLease(lease: number): void {
    const known = this.#leases.get(lease);
    if (known === undefined) return;
    clearTimeout(known.timer);
    this.#leases.delete(lease);
    const keys = [...this.#items.values()]
      .filter((item) => item.lease === lease).map(({ key }) => key);
    if (keys.length > 0) this.#apply({ remove: keys });
  }
}
