/**
 * HTTP clients of the platform's directory, order service, report service and
 * weight store, and the complete platform as given by a daemon's settings.
 *
 * @module
 */

import { Result } from "ts-results";
import { z } from "zod";
import { SystemClock } from "../kernel/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { AnswerLimits } from "./answer_limits.ts";
import { type EndpointOptions, HttpEndpoint } from "./http_endpoint.ts";
import { HttpEngine } from "./http_engine.ts";
import { HttpKeyValue } from "./http_key_value.ts";
import {
  Directory,
  type Failure,
  type Offer,
  type Order,
  OrderService,
  type Platform,
  ReportService,
  Role,
  type Vm,
  VmState,
  WeightStore,
} from "./mod.ts";
import { NoticeFeed } from "./upstream_notices.ts";

const done = z.object({ ok: z.literal(true) });

const vms = z.object({
  vms: z.array(z.object({
    id: z.string(),
    role: z.enum(Role),
    standing: z.enum(VmState),
    availabilityZone: z.string(),
    address: z.string(),
    http: z.string(),
    pool: z.string(),
    reclaimable: z.boolean(),
  })),
});

const offers = z.object({
  offers: z.array(z.object({
    pool: z.string(),
    availabilityZone: z.string(),
    reclaimable: z.boolean(),
    pricePerHour: z.number(),
    running: z.number(),
    starting: z.number(),
    available: z.number(),
    reclaimInMs: z.number().optional(),
  })),
});

const latest = z.object({ version: z.number() });

/** `Directory` over HTTP. */
export class HttpDirectory extends Directory {
  readonly #endpoint: HttpEndpoint;

  constructor(options: EndpointOptions) {
    super();
    this.#endpoint = new HttpEndpoint(options);
  }

  async list(): Promise<Result<readonly Vm[], Failure>> {
    const call = { method: "GET", path: "/vms", answer: vms } as const;
    return (await this.#endpoint.call(call)).map(({ vms }) => vms);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#endpoint.close();
  }
}

/** `OrderService` over HTTP. */
export class HttpOrderService extends OrderService {
  readonly #endpoint: HttpEndpoint;

  constructor(options: EndpointOptions) {
    super();
    this.#endpoint = new HttpEndpoint(options);
  }

  async offers(): Promise<Result<readonly Offer[], Failure>> {
    const call = { method: "GET", path: "/offers", answer: offers } as const;
    return (await this.#endpoint.call(call)).map(({ offers }) => offers);
  }

  async place(
    order: Order,
    signal: AbortSignal,
  ): Promise<Result<true, Failure>> {
    const answer = await this.#endpoint.call({
      method: "POST",
      path: "/orders",
      body: order,
      answer: done,
      signal,
    });
    return answer.map(() => true as const);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#endpoint.close();
  }
}

/** `ReportService` over HTTP. */
export class HttpReportService extends ReportService {
  readonly #endpoint: HttpEndpoint;

  constructor(options: EndpointOptions) {
    super();
    this.#endpoint = new HttpEndpoint(options);
  }

  async send(
    id: string,
    body: string,
    signal: AbortSignal,
  ): Promise<Result<true, Failure>> {
    const answer = await this.#endpoint.call({
      method: "POST",
      path: `/reports/${encodeURIComponent(id)}`,
      body,
      answer: done,
      signal,
    });
    return answer.map(() => true as const);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#endpoint.close();
  }
}

/** Polling interval of the weight store. */
const POLL_INTERVAL_MS = 500;

/** `WeightStore` over HTTP. */
export class HttpWeightStore extends WeightStore {
  readonly #endpoint: HttpEndpoint;

  constructor(options: EndpointOptions) {
    super();
    this.#endpoint = new HttpEndpoint(options);
  }

  async latest(
    models: readonly string[],
  ): Promise<Result<ReadonlyMap<string, number>, Failure>> {
    const answers = await Promise.all(
      models.map((model) => this.#latestOf(model)),
    );
    return Result.all(...answers)
      .map((versions) => new Map(versions.map((one, n) => [models[n], one])));
  }

  /** The store sends no notifications, so this waits for the next poll. */
  changed({ waitMs, signal }: {
    waitMs: number;
    signal: AbortSignal;
  }): Promise<void> {
    return new SystemClock().sleep(Math.min(waitMs, POLL_INTERVAL_MS), signal);
  }

  async #latestOf(model: string): Promise<Result<number, Failure>> {
    const answer = await this.#endpoint.call({
      method: "GET",
      path: `/weights/${encodeURIComponent(model)}`,
      answer: latest,
    });
    return answer.map(({ version }) => version);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await this.#endpoint.close();
  }
}

/** The platform over HTTP; `close` closes all connections. */
export interface HttpPlatform extends Platform {
  close(): Promise<void>;
}

/** Creates clients of all external services at the settings' addresses. */
export function httpPlatform(settings: Settings): HttpPlatform {
  const urls = settings.platform;
  const limits = new AnswerLimits();
  const keyValue = new HttpKeyValue({ url: urls.keyValue, limits });
  const directory = new HttpDirectory({ url: urls.directory, limits });
  const orders = new HttpOrderService({ url: urls.orders, limits });
  const reports = new HttpReportService({ url: urls.reports, limits });
  const weights = new HttpWeightStore({ url: urls.weights, limits });
  const notices = new NoticeFeed();
  const engine = new HttpEngine({
    silenceMs: settings.timing.upstreamSilenceMs,
    limits,
    notices,
  });
  const all = [keyValue, directory, orders, reports, weights, engine];
  return {
    keyValue,
    directory,
    orders,
    reports,
    weights,
    engine,
    answerLimits: limits,
    notices,
    close: async () => {
      await Promise.all(all.map((service) => service.close()));
    },
  };
}
