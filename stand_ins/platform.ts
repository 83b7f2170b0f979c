/**
 * A stand-in for the platform: key-value service, list of VMs, orders, usage
 * reports and weight store. Faults can be injected into each call.
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
import { type FaultInjection, FaultInjector } from "./faults.ts";
import { type HistoryEvent, HistoryWriter } from "./history.ts";
import { KeyValueStore, MAX_VALUE_BYTES } from "./store.ts";
import {
  type OfferedCapacity,
  type UpstreamSpec,
  VmProvisioner,
} from "./vm_provisioner.ts";

const MAX_BODY_BYTES = 8 << 20;

/** Options of a platform stand-in. */
export interface PlatformOptions {
  readonly port?: number;
  readonly name?: string;
  readonly history?: string;
  readonly sink?: (event: HistoryEvent) => void;
  /** Lag of the list of VMs. */
  readonly lagMs?: number;
  /** Whether orders with a stale term are refused. */
  readonly fenced?: boolean;
  readonly offers?: readonly OfferedCapacity[];
  /** Time from an order to a live upstream. */
  readonly startMs?: number;
  /** Time from leaving to removal when an order ends an upstream. */
  readonly leaveMs?: number;
  /** Starts an upstream; without it, orders are only recorded. */
  readonly launch?: (wanted: UpstreamSpec) => Promise<Vm>;
  /** Ends an upstream that was started by `launch`. */
  readonly terminate?: (vm: Vm) => Promise<void>;
  /** Size of a weight version, and download rate of the weight store. */
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
  /** The current list of VMs, without lag. */
  vms(): readonly Vm[];
  setVms(vms: readonly Vm[]): void;
  /** Adds a VM, or replaces the one with its id. */
  putVm(vm: Vm): void;
  removeVm(id: string): void;
  publish(model: string, version: number): void;
  setOffers(offers: readonly OfferedCapacity[]): void;
  /** Announces and carries out the reclaim of a zone's reclaimable VMs. */
  reclaim(availabilityZone: string, noticeMs: number): Promise<void>;
  /** Usage reports by id, byte for byte as they arrived. */
  reports(): ReadonlyMap<string, readonly string[]>;
  close(): Promise<void>;
}

/** Starts a platform stand-in on loopback. */
export async function startPlatform(
  options: PlatformOptions = {},
): Promise<PlatformStandIn> {
  const platform = new PlatformServer(options);
  await platform.server.listen({ host: "127.0.0.1", port: options.port ?? 0 });
  const { port } = platform.server.server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    port,
    calls: () => platform.faults.calls,
    inject: (injections) => platform.inject(injections),
    vms: () => platform.provisioner.vms,
    setVms: (vms) => platform.provisioner.setVms(vms),
    putVm: (vm) => platform.provisioner.putVm(vm),
    removeVm: (id) => platform.provisioner.removeVm(id),
    publish: (model, version) => platform.publish(model, version),
    setOffers: (offers) => platform.provisioner.setOffers(offers),
    reclaim: (zone, noticeMs) => platform.provisioner.reclaim(zone, noticeMs),
    reports: () => platform.reports,
    close: () => platform.close(),
  };
}

type Query = Readonly<Record<string, string | undefined>>;

/** Fields of the request bodies of all calls. */
interface CallBody {
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
  readonly offers: readonly OfferedCapacity[];
}

class PlatformServer {
  readonly server: FastifyInstance = fastify({
    bodyLimit: MAX_BODY_BYTES,
    forceCloseConnections: true,
  });
  readonly faults = new FaultInjector();
  readonly provisioner: VmProvisioner;
  readonly reports = new Map<string, string[]>();
  readonly #options: PlatformOptions;
  readonly #history: HistoryWriter;
  readonly #store = new KeyValueStore();
  readonly #versions = new Map<string, number>();
  #downloadsBusyUntil = 0;

  constructor(options: PlatformOptions) {
    this.#options = options;
    this.#history = new HistoryWriter({
      at: options.name ?? "platform",
      file: options.history,
      sink: options.sink,
    });
    this.provisioner = new VmProvisioner({
      ...options,
      history: this.#history,
    });
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
    await this.provisioner.close();
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
        const { key, value, expected, lease } = body as CallBody;
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
        store.remove((body as CallBody).key, (body as CallBody).expected),
    });
    this.#serve("POST", "/leases", {
      operation: "grant",
      run: ({ body }) => store.grant((body as CallBody).ttlMs),
    });
    this.#serve("POST", "/leases/renew", {
      operation: "renew",
      run: ({ body }, reply) =>
        store.renew((body as CallBody).id) ??
          refuse(reply, 409, "Lease has lapsed"),
    });
    this.#serve("POST", "/leases/revoke", {
      operation: "revoke",
      run: ({ body }) => {
        store.revoke((body as CallBody).id);
        return { ok: true };
      },
    });
  }

  #serveDirectory(): void {
    this.#serve("GET", "/vms", {
      operation: "list",
      run: () => ({ vms: this.provisioner.listed() }),
    });
  }

  #serveOrders(): void {
    this.#serve("GET", "/offers", {
      operation: "offers",
      run: () => ({ offers: this.provisioner.offers() }),
    });
    this.#serve("POST", "/orders", {
      operation: "order",
      run: ({ body }, reply) =>
        this.provisioner.order(body as Order)
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
        const from = Math.max(now, this.#downloadsBusyUntil);
        this.#downloadsBusyUntil = from + bytes / rate * 1000;
        await sleep(this.#downloadsBusyUntil - now);
        return { bytes };
      },
    });
  }

  // Calls by tests and operators of the stand-in: without faults, not counted.
  #serveControl(): void {
    const { server } = this;
    server.post("/faults", ({ body }) => {
      this.inject((body as CallBody).faults);
      return { ok: true };
    });
    server.post("/vms", ({ body }) => {
      this.provisioner.setVms((body as CallBody).vms);
      return { ok: true };
    });
    server.post("/weights/:model", ({ body, params }) => {
      const { model } = params as { model: string };
      this.publish(model, (body as CallBody).version);
      return { ok: true };
    });
    server.post("/reclaim", async ({ body }) => {
      const { availabilityZone, noticeMs } = body as CallBody;
      await this.provisioner.reclaim(availabilityZone, noticeMs);
      return { ok: true };
    });
    server.post("/offers", ({ body }) => {
      this.provisioner.setOffers((body as CallBody).offers);
      return { ok: true };
    });
    server.get("/calls", () => this.faults.calls);
    server.get("/reports", () => Object.fromEntries(this.reports));
  }
}

function refuse(reply: FastifyReply, code: number, message: string) {
  return reply.code(code).send({ message });
}

/** An entry of the list of VMs, with defaults. */
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
