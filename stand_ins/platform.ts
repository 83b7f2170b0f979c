/**
 * A stand-in for the platform: key-value service, list of VMs, orders, usage
 * reports and weight store, each call open to injected faults.
 *
 * @module
 */

import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { type Order, Role, type Vm, VmState } from "../src/outside/mod.ts";
import { type FaultInjection, Faults } from "./faults.ts";
import { History, type HistoryEvent } from "./history.ts";
import { Launches, type Offered, type Wanted } from "./launches.ts";
import { MAX_VALUE_BYTES, Store } from "./store.ts";

const MAX_BODY_BYTES = 8 << 20;

/** How a platform stand-in behaves. */
export interface PlatformOptions {
  readonly port?: number;
  readonly name?: string;
  readonly history?: string;
  readonly sink?: (event: HistoryEvent) => void;
  /** How far the list of VMs is behind. */
  readonly lagMs?: number;
  /** Whether orders under an old term are refused. */
  readonly fenced?: boolean;
  readonly offers?: readonly Offered[];
  /** Time from an order to a live upstream. */
  readonly startMs?: number;
  /** Time from leaving to gone when an order takes an upstream away. */
  readonly leaveMs?: number;
  /** Starts an upstream; without it, orders are only recorded. */
  readonly launch?: (wanted: Wanted) => Promise<Vm>;
  /** Ends an upstream that was started by `launch`. */
  readonly terminate?: (vm: Vm) => Promise<void>;
  /** Size of a weight version and the store's rate. */
  readonly weightBytes?: number;
  readonly weightBytesPerSecond?: number;
}

/** A running platform stand-in. */
export interface PlatformStandIn {
  readonly url: string;
  readonly port: number;
  /** Calls so far by operation. */
  calls(): Readonly<Record<string, number>>;
  inject(injections: readonly FaultInjection[]): void;
  /** The true list of VMs, as of now. */
  vms(): readonly Vm[];
  setVms(vms: readonly Vm[]): void;
  /** Adds a VM, or replaces the one with its id. */
  putVm(vm: Vm): void;
  removeVm(id: string): void;
  publish(model: string, version: number): void;
  setOffers(offers: readonly Offered[]): void;
  /** Announces that an availability zone's reclaimable VMs go away. */
  reclaim(availabilityZone: string, noticeMs: number): Promise<void>;
  /** Reports by id, byte for byte as they arrived. */
  reports(): ReadonlyMap<string, readonly string[]>;
  close(): Promise<void>;
}

/** Starts a platform stand-in on loopback. */
export async function startPlatform(
  options: PlatformOptions = {},
): Promise<PlatformStandIn> {
  const platform = new Platform(options);
  await platform.server.listen({ host: "127.0.0.1", port: options.port ?? 0 });
  const { port } = platform.server.server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    port,
    calls: () => platform.faults.calls,
    inject: (injections) => platform.inject(injections),
    vms: () => platform.launches.vms,
    setVms: (vms) => platform.launches.setVms(vms),
    putVm: (vm) => platform.launches.putVm(vm),
    removeVm: (id) => platform.launches.removeVm(id),
    publish: (model, version) => platform.publish(model, version),
    setOffers: (offers) => platform.launches.setOffers(offers),
    reclaim: (zone, noticeMs) => platform.launches.reclaim(zone, noticeMs),
    reports: () => platform.reports,
    close: () => platform.close(),
  };
}

type Query = Readonly<Record<string, string | undefined>>;

/** What the calls' bodies hold, over all calls. */
interface Body {
  readonly key: string;
  readonly value: string;
  readonly expected: number;
  readonly lease?: string;
  readonly ttlMs: number;
  readonly id: string;
  readonly faults: readonly FaultInjection[];
  readonly vms: readonly Vm[];
  readonly version: number;
  readonly availabilityZone: string;
  readonly noticeMs: number;
  readonly offers: readonly Offered[];
}

class Platform {
  readonly server: FastifyInstance = fastify({
    bodyLimit: MAX_BODY_BYTES,
    forceCloseConnections: true,
  });
  readonly faults = new Faults();
  readonly launches: Launches;
  readonly reports = new Map<string, string[]>();
  readonly #options: PlatformOptions;
  readonly #history: History;
  readonly #store = new Store();
  readonly #versions = new Map<string, number>();
  #storeBusyUntil = 0;

  constructor(options: PlatformOptions) {
    this.#options = options;
    this.#history = new History({
      at: options.name ?? "platform",
      file: options.history,
      sink: options.sink,
    });
    this.launches = new Launches({ ...options, history: this.#history });
    this.#serveKeyValue();
    this.#serveDirectory();
    this.#serveOrders();
    this.#serveReports();
    this.#serveWeights();
    this.#serveControl();
  }

  inject(injections: readonly FaultInjection[]): void {
    this.#history.record("faults", { injections });
    this.faults.inject(injections);
  }

  publish(model: string, version: number): void {
    this.#versions.set(model, version);
    this.#history.record("published", { model, version });
  }

  async close(): Promise<void> {
    this.#store.close();
    await this.launches.close();
    await this.server.close();
  }

  #serve(
    method: "GET" | "POST",
    path: string,
    options: {
      operation: string;
      run: (request: FastifyRequest, reply: FastifyReply) => unknown;
    },
  ): void {
    this.server.route({
      method,
      url: path,
      handler: (request, reply) =>
        this.faults.serve(options.operation, {
          request,
          reply,
          run: () => options.run(request, reply),
        }),
    });
  }

  #serveKeyValue(): void {
    const store = this.#store;
    this.#serve("GET", "/kv", {
      operation: "get",
      run: ({ query }) => ({ entry: store.get((query as Query).key ?? "") }),
    });
    this.#serve("GET", "/kv/range", {
      operation: "range",
      run: ({ query }) => {
        const { prefix = "", after = "", limit = "1000" } = query as Query;
        return { entries: store.range(prefix, { after, limit: +limit }) };
      },
    });
    this.#serve("GET", "/kv/watch", {
      operation: "watch",
      run: async ({ query }) => {
        const { key = "", known = "0", waitMs = "0" } = query as Query;
        const wait = { known: +known, waitMs: +waitMs };
        return { entry: await store.watch(key, wait) };
      },
    });
    this.#serve("POST", "/kv/swap", {
      operation: "swap",
      run: ({ body }, reply) => {
        const { key, value, expected, lease } = body as Body;
        if (Buffer.byteLength(value) > MAX_VALUE_BYTES) {
          return refuse(reply, 413, "Value is too large");
        }
        const swap = store.swap(key, { value, expected, lease });
        return swap ?? refuse(reply, 409, "Lease has lapsed");
      },
    });
    this.#serve("POST", "/kv/remove", {
      operation: "remove",
      run: ({ body }) =>
        store.remove((body as Body).key, (body as Body).expected),
    });
    this.#serve("POST", "/leases", {
      operation: "grant",
      run: ({ body }) => store.grant((body as Body).ttlMs),
    });
    this.#serve("POST", "/leases/renew", {
      operation: "renew",
      run: ({ body }, reply) =>
        store.renew((body as Body).id) ??
          refuse(reply, 409, "Lease has lapsed"),
    });
    this.#serve("POST", "/leases/revoke", {
      operation: "revoke",
      run: ({ body }) => {
        store.revoke((body as Body).id);
        return { ok: true };
      },
    });
  }

  #serveDirectory(): void {
    this.#serve("GET", "/vms", {
      operation: "list",
      run: () => ({ vms: this.launches.listed() }),
    });
  }

  #serveOrders(): void {
    this.#serve("GET", "/offers", {
      operation: "offers",
      run: () => ({ offers: this.launches.offers() }),
    });
    this.#serve("POST", "/orders", {
      operation: "order",
      run: ({ body }, reply) =>
        this.launches.order(body as Order)
          ? { ok: true }
          : refuse(reply, 409, "Term is old"),
    });
  }

  #serveReports(): void {
    this.server.addContentTypeParser(
      "application/octet-stream",
      { parseAs: "string" },
      (_request, body, done) => done(null, body),
    );
    this.#serve("POST", "/reports/:id", {
      operation: "report",
      run: ({ body, params }) => {
        const { id } = params as { id: string };
        this.reports.set(id, [...this.reports.get(id) ?? [], body as string]);
        this.#history.record("reported", { id, body });
        return { ok: true };
      },
    });
  }

  #serveWeights(): void {
    this.#serve("GET", "/weights/:model", {
      operation: "latest",
      run: ({ params }) => {
        const { model } = params as { model: string };
        return { version: this.#versions.get(model) ?? 0 };
      },
    });
    this.#serve("GET", "/weights/:model/:version", {
      operation: "download",
      run: async () => {
        const bytes = this.#options.weightBytes ?? 1000;
        const rate = this.#options.weightBytesPerSecond ?? 1_000_000;
        const now = performance.now();
        const from = Math.max(now, this.#storeBusyUntil);
        this.#storeBusyUntil = from + bytes / rate * 1000;
        await sleep(this.#storeBusyUntil - now);
        return { bytes };
      },
    });
  }

  // What tests and operators of the stand-in call; no faults, not counted.
  #serveControl(): void {
    const { server } = this;
    server.post("/faults", ({ body }) => {
      this.inject((body as Body).faults);
      return { ok: true };
    });
    server.post("/vms", ({ body }) => {
      this.launches.setVms((body as Body).vms);
      return { ok: true };
    });
    server.post("/weights/:model", ({ body, params }) => {
      const { model } = params as { model: string };
      this.publish(model, (body as Body).version);
      return { ok: true };
    });
    server.post("/reclaim", async ({ body }) => {
      const { availabilityZone, noticeMs } = body as Body;
      await this.launches.reclaim(availabilityZone, noticeMs);
      return { ok: true };
    });
    server.post("/offers", ({ body }) => {
      this.launches.setOffers((body as Body).offers);
      return { ok: true };
    });
    server.get("/calls", () => this.faults.calls);
    server.get("/reports", () => Object.fromEntries(this.reports));
  }
}

function refuse(reply: FastifyReply, code: number, message: string) {
  return reply.code(code).send({ message });
}

/** A VM of the list, with defaults. */
export function vm(fields: Partial<Vm> & { id: string }): Vm {
  return {
    role: Role.Upstream,
    standing: VmState.Live,
    availabilityZone: "a",
    address: "",
    http: "",
    pool: "",
    reclaimable: false,
    ...fields,
  };
}
