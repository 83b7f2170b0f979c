/**
 * The HTTP server: limits on the size and duration of requests, health checks,
 * metrics, refusals, and graceful shutdown.
 *
 * @module
 */

import {
  fastify,
  type FastifyError,
  type FastifyInstance,
  type FastifyReply,
} from "fastify";
import { type AddressInfo, Server } from "node:net";
import {
  type Kernel,
  logger,
  Reason,
  Refusal,
  register,
  Verdict,
} from "../kernel/mod.ts";
import { Gateway, gatewayKey } from "./mod.ts";
import { httpStatusOf, refusalBody } from "./refusal.ts";

const MAX_BODY_BYTES = 16 * 1024 * 1024;
const MAX_HEADER_BYTES = 16 * 1024;
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 60_000;
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
const TIMEOUT_CHECK_INTERVAL_MS = 1_000;
/** How long a draining daemon still accepts, so that load balancers notice. */
const MAX_UNREADY_NOTICE_MS = 1_000;
/** Time without a request after which open connections may be closed. */
const IDLE_BEFORE_CLOSE_MS = 500;
const DRAIN_POLL_MS = 10;

const log = logger("gateway");

/** The gateway, built on fastify. */
export class HttpGateway extends Gateway {
  readonly server: FastifyInstance;
  readonly #kernel: Kernel;
  readonly #refusals;
  #activeRequests = 0;
  #openConnections = 0;
  #lastRequestAt = 0;
  #refusesRequests = false;

  constructor(options: {
    kernel: Kernel;
    /** Maximum time to receive a request's headers. */
    headersTimeoutMs?: number;
    /** Maximum time to receive a complete request. */
    requestTimeoutMs?: number;
  }) {
    super();
    this.#kernel = options.kernel;
    this.#refusals = this.#kernel.counter(
      "toucanwind_refusals_total",
      "Requests refused, by reason and route",
      ["reason", "route"],
    );
    this.server = fastify({
      logger: false,
      bodyLimit: MAX_BODY_BYTES,
      requestTimeout: options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      routerOptions: { maxParamLength: 512 },
      exposeHeadRoutes: false,
      return503OnClosing: false,
      http: {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: options.headersTimeoutMs ?? HEADERS_TIMEOUT_MS,
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
      },
    });
    this.#watchConnections();
    this.#addHooks();
    this.#addDaemonRoutes();
  }

  /** The port that the server listens on; 0 before it does. */
  get port(): number {
    const address = this.server.server.address() as AddressInfo | null;
    return address?.port ?? 0;
  }

  refuse(
    reply: FastifyReply,
    refusal: Refusal,
    options: { route?: string; status?: number } = {},
  ): FastifyReply {
    this.count(refusal, options.route ?? "");
    const seconds = Math.ceil(refusal.retryAfterMs / 1000);
    if (seconds > 0) reply.header("retry-after", String(seconds));
    return reply.code(options.status ?? httpStatusOf(refusal))
      .send(refusalBody(refusal));
  }

  count(refusal: Refusal, route: string): void {
    this.#refusals.inc({ reason: refusal.reason, route });
  }

  override async open(): Promise<void> {
    const { host, port } = this.#kernel.settings.http;
    await this.server.listen({ host, port });
    log("listening", { port: this.port });
  }

  /**
   * Keeps accepting for a moment, so that load balancers see `/readyz` fail,
   * then stops accepting. Open connections are served, with `Connection: close`,
   * until all have closed or been idle for `IDLE_BEFORE_CLOSE_MS`: closing an
   * idle one at once could race with a request.
   */
  override async close(): Promise<void> {
    if (!this.server.server.listening) return;
    const { clock, settings } = this.#kernel;
    const { drainMs } = settings.timing;
    const end = clock.now() + drainMs;
    log("draining connections", { active: this.#activeRequests });
    await clock.sleep(Math.min(MAX_UNREADY_NOTICE_MS, drainMs / 10));
    // `http.Server.close` would also close idle connections.
    Server.prototype.close.call(this.server.server);
    while (clock.now() < end && !this.#idle()) await clock.sleep(DRAIN_POLL_MS);
    this.#refusesRequests = true;
    this.server.server.closeIdleConnections();
    log("drain finished", { unfinished: this.#activeRequests });
  }

  override async stop(): Promise<void> {
    this.#refusesRequests = true;
    this.server.server.closeAllConnections();
    await this.server.close();
  }

  #idle(): boolean {
    if (this.#activeRequests > 0) return false;
    if (this.#openConnections === 0) return true;
    return this.#kernel.clock.now() - this.#lastRequestAt >=
      IDLE_BEFORE_CLOSE_MS;
  }

  #watchConnections() {
    this.server.server.on("connection", (socket) => {
      this.#openConnections++;
      socket.once("close", () => this.#openConnections--);
    });
    this.server.server.on("request", (_request, response) => {
      this.#activeRequests++;
      this.#lastRequestAt = this.#kernel.clock.now();
      response.once("close", () => this.#activeRequests--);
    });
  }

  #addHooks() {
    this.server.addHook("onRequest", (_request, reply, done) => {
      if (this.#kernel.draining) reply.raw.setHeader("connection", "close");
      if (!this.#refusesRequests) return done();
      this.refuse(
        reply,
        new Refusal({
          verdict: Verdict.NotRun,
          reason: Reason.Draining,
          message: "This daemon is shutting down",
        }),
      );
    });
    this.server.setErrorHandler<FastifyError>((error, _request, reply) => {
      this.refuse(reply, refusalOf(error));
    });
    this.server.setNotFoundHandler((_request, reply) => {
      this.refuse(
        reply,
        new Refusal({
          verdict: Verdict.NotRun,
          reason: Reason.NoRoute,
          message: "No route has this path",
        }),
      );
    });
  }

  #addDaemonRoutes() {
    this.server.get("/healthz", () => ({ alive: true }));
    this.server.get("/readyz", (_request, reply) => {
      const waiting = this.#kernel.plugins
        .filter(([, plugin]) => plugin.props.ready?.() === false)
        .map(([name]) => name);
      const ready = waiting.length === 0 && !this.#kernel.draining;
      const { draining } = this.#kernel;
      return reply.code(ready ? 200 : 503).send({ ready, draining, waiting });
    });
    this.server.get("/metrics", async (_request, reply) => {
      const { metrics } = this.#kernel;
      return reply.type(metrics.contentType).send(await metrics.metrics());
    });
  }
}

/** Errors before a handler runs are the caller's; others may have run. */
function refusalOf(error: FastifyError): Refusal {
  const status = error.statusCode ?? 500;
  if (status === 413) {
    return new Refusal({
      verdict: Verdict.NotRun,
      reason: Reason.TooLarge,
      message: "The request's body is too large",
    });
  }
  if (error.code?.startsWith("FST_ERR_CTP") || status === 400) {
    return new Refusal({
      verdict: Verdict.NotRun,
      reason: Reason.BadRequest,
      message: "The request's body can't be read",
    });
  }
  log("request failed", { error: error.message });
  return new Refusal({
    verdict: Verdict.MayHaveRun,
    reason: Reason.Internal,
    message: "The request failed",
  });
}

register({
  key: gatewayKey,
  requires: [],
  create: (kernel) => new HttpGateway({ kernel }),
});
