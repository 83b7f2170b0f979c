/**
 * A stand-in for a plain HTTP service: records each request that it runs.
 *
 * @module
 */

import fastify from "fastify";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { History, type HistoryEvent } from "./history.ts";

/** How a service stand-in behaves. */
export interface ServiceOptions {
  readonly port?: number;
  readonly name?: string;
  readonly history?: string;
  readonly sink?: (event: HistoryEvent) => void;
  /** Time from running a request to answering it. */
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
  const history = new History({
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
    await sleep(options.delayMs ?? 0);
    history.record("answered", { path: url, idempotencyKey, run });
    return { service: name, run, method, path: url, body };
  });
  await server.listen({ host: "127.0.0.1", port: options.port ?? 0 });
  const { port } = server.server.address() as AddressInfo;
  const url = `http://127.0.0.1:${port}`;
  return { url, port, close: () => server.close() };
}
