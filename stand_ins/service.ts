/**
 * A stand-in for a plain HTTP service, which records each request that it runs.
 *
 * @module
 */

import fastify from "fastify";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { type HistoryEvent, HistoryWriter } from "./history.ts";

/** Options of a service stand-in. */
export interface ServiceOptions {
  readonly port?: number;
  readonly name?: string;
  readonly history?: string;
  readonly sink?: (event: HistoryEvent) => void;
  /** Number of slots reported with the load. */
  readonly slots?: number;
  /** Time taken to answer a request. */
  readonly delayMs?: number;
}

/** A running service stand-in. */
export interface ServiceStandIn {
  readonly url: string;
  readonly port: number;
  close(): Promise<void>;
}

/** Starts a service stand-in on loopback. */
export async function startService(
  options: ServiceOptions = {},
): Promise<ServiceStandIn> {
  const name = options.name ?? "service";
  const history = new HistoryWriter({
    at: name,
    file: options.history,
    sink: options.sink,
  });
  const server = fastify({
    forceCloseConnections: true,
    bodyLimit: 64 << 20,
  });
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    "*",
    { parseAs: "string" },
    (_request, body, done) => done(null, body),
  );
  let ran = 0;
  let running = 0;
  server.get("/load", () => ({
    running,
    queued: 0,
    slots: options.slots ?? 8,
    weight_version: 0,
    adapters: [],
  }));
  server.get("/events", () => ({ events: [] }));
  server.all("/*", async (request) => {
    const { method, url, headers } = request;
    const body = typeof request.body === "string" ? request.body : "";
    const idempotencyKey = String(headers["idempotency-key"] ?? "");
    const rawHeaders = request.raw.rawHeaders;
    const run = ++ran;
    history.record("ran", {
      method,
      path: url,
      body,
      idempotencyKey,
      rawHeaders,
      run,
    });
    running += 1;
    await sleep(options.delayMs ?? 0);
    running -= 1;
    history.record("served", { path: url, idempotencyKey, run });
    return { service: name, run, method, path: url, body };
  });
  await server.listen({ host: "127.0.0.1", port: options.port ?? 0 });
  const { port } = server.server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  return { url, port, close: () => server.close() };
}
