/**
 * HTTP client of the platform's key-value service.
 *
 * @module
 */

import { fromNullable, type Option } from "fp-ts/Option";
import type { Result } from "ts-results";
import { z } from "zod";
import { type EndpointOptions, HttpEndpoint } from "./http_endpoint.ts";
import {
  type Failure,
  KeyValue,
  type KeyValueEntry,
  type KeyValueLease,
  type SwapResult,
} from "./mod.ts";

/** Time for the answer to a watch beyond its wait. */
const WATCH_TIMEOUT_MARGIN_MS = 1000;
const MAX_CONNECTIONS = 32;

const entry = z.object({
  key: z.string(),
  value: z.string(),
  revision: z.number(),
});
const found = z.object({ entry: entry.nullable() });
const entries = z.object({ entries: z.array(entry) });
const grant = z.object({ id: z.string(), ttlMs: z.number() });
const swapped = z.union([
  z.object({ applied: z.literal(true), revision: z.number() }),
  z.object({ applied: z.literal(false), current: entry.nullable() }),
]);
const done = z.object({ ok: z.literal(true) });

/** `KeyValue` over HTTP. */
export class HttpKeyValue extends KeyValue {
  readonly #endpoint: HttpEndpoint;
  // Watches take long, so they don't share connections with short calls.
  readonly #watchEndpoint: HttpEndpoint;
  readonly #timeoutMs: number | undefined;

  constructor(options: EndpointOptions & { timeoutMs?: number }) {
    super();
    const { url, limits } = options;
    this.#endpoint = new HttpEndpoint({
      url,
      limits,
      connections: MAX_CONNECTIONS,
    });
    this.#watchEndpoint = new HttpEndpoint({ url, limits });
    this.#timeoutMs = options.timeoutMs;
  }

  async get(key: string): Promise<Result<Option<KeyValueEntry>, Failure>> {
    const answer = await this.#endpoint.call({
      method: "GET",
      path: `/kv?${new URLSearchParams({ key })}`,
      answer: found,
      timeoutMs: this.#timeoutMs,
    });
    return answer.map(({ entry }) => fromNullable(entry));
  }

  async range(
    prefix: string,
    options: { after?: string; limit?: number } = {},
  ): Promise<Result<readonly KeyValueEntry[], Failure>> {
    const query = new URLSearchParams({ prefix });
    if (options.after !== undefined) query.set("after", options.after);
    if (options.limit !== undefined) query.set("limit", `${options.limit}`);
    const answer = await this.#endpoint.call({
      method: "GET",
      path: `/kv/range?${query}`,
      answer: entries,
      timeoutMs: this.#timeoutMs,
    });
    return answer.map(({ entries }) => entries);
  }

  async swap(key: string, options: {
    value: string;
    expected: number;
    lease?: string;
  }): Promise<Result<SwapResult, Failure>> {
    return (await this.#post("/kv/swap", { key, ...options }, swapped))
      .map(toSwapResult);
  }

  async remove(
    key: string,
    expected: number,
  ): Promise<Result<SwapResult, Failure>> {
    return (await this.#post("/kv/remove", { key, expected }, swapped))
      .map(toSwapResult);
  }

  grant(ttlMs: number): Promise<Result<KeyValueLease, Failure>> {
    return this.#post("/leases", { ttlMs }, grant);
  }

  renew(id: string): Promise<Result<KeyValueLease, Failure>> {
    return this.#post("/leases/renew", { id }, grant);
  }

  async revoke(id: string): Promise<Result<true, Failure>> {
    return (await this.#post("/leases/revoke", { id }, done))
      .map(() => true as const);
  }

  async watch(
    key: string,
    options: { known: number; waitMs: number; signal?: AbortSignal },
  ): Promise<Result<Option<KeyValueEntry>, Failure>> {
    const query = new URLSearchParams({
      key,
      known: `${options.known}`,
      waitMs: `${options.waitMs}`,
    });
    const answer = await this.#watchEndpoint.call({
      method: "GET",
      path: `/kv/watch?${query}`,
      answer: found,
      timeoutMs: options.waitMs + WATCH_TIMEOUT_MARGIN_MS,
      signal: options.signal,
    });
    return answer.map(({ entry }) => fromNullable(entry));
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    await Promise.all([this.#endpoint.close(), this.#watchEndpoint.close()]);
  }

  #post<T>(
    path: string,
    body: unknown,
    answer: z.ZodType<T>,
  ): Promise<Result<T, Failure>> {
    return this.#endpoint.call({
      method: "POST",
      path,
      body,
      answer,
      timeoutMs: this.#timeoutMs,
    });
  }
}

function toSwapResult(answer: z.infer<typeof swapped>): SwapResult {
  if (answer.applied) return answer;
  return { applied: false, current: fromNullable(answer.current) };
}
