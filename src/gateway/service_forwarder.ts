/**
 * Service routes: forwards HTTP requests of any method under a route's path
 * prefix to an upstream of its pool, with bodies streamed in both directions.
 *
 * @module
 */

import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import * as O from "fp-ts/Option";
import { createHash } from "node:crypto";
import { Agent } from "undici";
import { activeConfigurationKey } from "../config/mod.ts";
import { type Dispatch, dispatchKey, Outcome } from "../dispatch/mod.ts";
import { RetryBudget } from "../dispatch/retry_budget.ts";
import {
  type Kernel,
  Plugin,
  PluginKey,
  Reason,
  Refusal,
  register,
  Verdict,
} from "../kernel/mod.ts";
import { faultReportingConnector } from "../outside/fault_reporting_connector.ts";
import type { Target } from "../outside/mod.ts";
import { type Route, RouteKind } from "../tables/mod.ts";
import { claimsKey } from "../claims/mod.ts";
import { type Usage, usageKey } from "../usage/mod.ts";
import {
  type Admitted,
  KEY_WITHDRAWN,
  RequestAdmission,
  RunningRequests,
} from "./request_admission.ts";
import { type Gateway, gatewayKey } from "./mod.ts";
import { noticeFieldsOf } from "../outside/upstream_notices.ts";
import { IdempotencyGuard, type RequestRun } from "./idempotency.ts";
import {
  forwardedHeaders,
  readBody,
  type RequestBody,
} from "./forwarded_request.ts";
import {
  type ForwardAttemptEnd,
  ResponseForwarder,
} from "./response_forwarder.ts";

const CONNECT_TIMEOUT_MS = 2_000;
const MAX_CONNECTIONS_PER_UPSTREAM = 256;
const MAX_ATTEMPTS = 3;

/** Forwards callers' requests to plain services. */
export class ServiceForwarder extends Plugin {
  readonly #kernel: Kernel;
  readonly #gateway: Gateway;
  readonly #dispatch: Dispatch;
  readonly #usage: Usage;
  readonly #admission: RequestAdmission;
  readonly #running: RunningRequests;
  readonly #idempotencyGuard: IdempotencyGuard;
  readonly #retryBudget: RetryBudget;
  readonly #retries;
  readonly #pooledAgent = new Agent({
    connections: MAX_CONNECTIONS_PER_UPSTREAM,
    pipelining: 1,
    connect: faultReportingConnector(CONNECT_TIMEOUT_MS),
  });
  /**
   * Opens a connection for each request that may not be repeated, because a
   * pooled one may have broken unnoticed.
   */
  readonly #unpooledAgent = new Agent({
    pipelining: 0,
    connect: faultReportingConnector(CONNECT_TIMEOUT_MS),
  });

  constructor(options: { kernel: Kernel; budget?: RetryBudget }) {
    super();
    const { kernel } = options;
    const config = kernel.get(activeConfigurationKey);
    this.#kernel = kernel;
    this.#gateway = kernel.get(gatewayKey);
    this.#dispatch = kernel.get(dispatchKey);
    this.#usage = kernel.get(usageKey);
    this.#admission = new RequestAdmission({ kernel, config });
    this.#running = new RunningRequests({ config });
    this.#idempotencyGuard = new IdempotencyGuard({ kernel });
    this.#retryBudget = options.budget ?? new RetryBudget();
    this.#retries = kernel.counter(
      "toucanwind_forward_retries_total",
      "Attempts of forwarded requests that went on elsewhere, by reason",
      ["reason"],
    );
  }

  override start(): Promise<void> {
    this.#gateway.server.register((scope, _options, done) => {
      this.#addRoutes(scope);
      done();
    });
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    await Promise.all([
      this.#pooledAgent.destroy(),
      this.#unpooledAgent.destroy(),
    ]);
  }

  #addRoutes(scope: FastifyInstance) {
    scope.removeAllContentTypeParsers();
    // Bodies stay unread here, so that they can be streamed.
    scope.addContentTypeParser("*", (_request, _body, done) => done(null));
    scope.route({
      method: scope.supportedMethods,
      url: "/*",
      handler: (request, reply) => this.#serve(request, reply),
    });
  }

  async #serve(request: FastifyRequest, reply: FastifyReply) {
    const admitted = this.#admission.admit(
      request,
      serviceRouteFinder(request.url),
    );
    if (admitted.err) return this.#gateway.refuse(reply, admitted.val);
    const route = admitted.val.route.name;
    const body = await readBody(request, admitted.val);
    if (body.err) return this.#gateway.refuse(reply, body.val, { route });
    const exchange = new ForwardedExchange({
      request,
      reply,
      admitted: admitted.val,
      body: body.val,
    });
    const run = await this.#idempotencyGuard.claimRun(request, reply, {
      admitted: admitted.val,
      fingerprint: () => exchange.fingerprint,
    });
    if (O.isSome(run)) await this.#relay(exchange, run.value);
    return reply;
  }

  /** Runs a request until it is answered, refused or aborted. */
  async #relay(exchange: ForwardedExchange, run: RequestRun): Promise<void> {
    const { admitted } = exchange;
    const remainingMs = admitted.deadlineAt - this.#kernel.clock.now();
    const cancel = this.#kernel.clock.after(
      remainingMs,
      () => exchange.end(DEADLINE_EXCEEDED),
    );
    const remove = this.#running
      .add(admitted, () => exchange.end(KEY_WITHDRAWN_BEFORE_RUN));
    // An exception is a fault of this daemon; the request may have run.
    let verdict = Verdict.MayHaveRun;
    try {
      const refusal = await this.#run(exchange, run);
      if (refusal === undefined) return;
      verdict = refusal.verdict;
      this.#fail(exchange, refusal);
    } finally {
      run.failed(verdict);
      cancel();
      remove();
    }
  }

  #fail({ reply, admitted }: ForwardedExchange, refusal: Refusal) {
    const route = admitted.route.name;
    if (!reply.sent) {
      this.#gateway.refuse(reply, refusal, { route });
      return;
    }
    // The headers have been sent, so only closing the connection tells the
    // caller that the response is incomplete.
    this.#gateway.count(refusal, route);
    reply.raw.destroy();
  }

  /** Returns why the request failed, or `undefined` once it is answered. */
  async #run(
    exchange: ForwardedExchange,
    run: RequestRun,
  ): Promise<Refusal | undefined> {
    const { admitted } = exchange;
    const { route } = admitted;
    const triedUpstreams: string[] = [];
    this.#retryBudget.fresh(route.name);
    for (let attempt = 0;; attempt++) {
      const demand = this.#admission.demand(admitted, {
        tokens: 1,
        fingerprint: exchange.fingerprint,
      });
      const permit = await this.#dispatch.acquire(
        { ...demand, exclude: triedUpstreams, attempt },
        exchange.signal,
      );
      if (permit.err) return exchange.refusal(permit.val);
      const { target } = permit.val;
      triedUpstreams.push(target.id);
      // An exception is a fault of this daemon; the upstream may have run it.
      let outcome = Outcome.Broken;
      try {
        const end = await this.#attempt(exchange, { target, run });
        const failed = exchange.relay?.upstreamFailed === true;
        outcome = end?.outcome ??
          (failed ? Outcome.Failed : Outcome.Served);
        if (end === undefined) return undefined;
        exchange.verdict = end.verdict === Verdict.MayHaveRun
          ? end.verdict
          : exchange.verdict;
        const refusal = this.#refusal(exchange, { end, attempt, run });
        if (refusal !== undefined) return refusal;
        this.#retries.inc({ reason: end.reason });
      } finally {
        permit.val.release(outcome, 1);
      }
    }
  }

  /** The refusal to end with, or `undefined` if another attempt follows. */
  #refusal(
    exchange: ForwardedExchange,
    options: { end: ForwardAttemptEnd; attempt: number; run: RequestRun },
  ): Refusal | undefined {
    const { end, attempt, run } = options;
    const { route } = exchange.admitted;
    const refusal = exchange.refusal(
      new Refusal({
        verdict: exchange.verdict,
        reason: end.reason,
        message: end.message,
        retryAfterMs: 1000,
      }),
    );
    // Without a claim, a second attempt would leave no record.
    const safeToRetry = route.repeatable ||
      run.claimed && exchange.verdict === Verdict.NotRun;
    const retryable = !exchange.signal.aborted && exchange.replayable &&
      safeToRetry && attempt + 1 < MAX_ATTEMPTS;
    if (!retryable) return refusal;
    return this.#retryBudget.spend(route.name) ? undefined : refusal;
  }

  #attempt(
    exchange: ForwardedExchange,
    options: { target: Target; run: RequestRun },
  ): Promise<ForwardAttemptEnd | undefined> {
    const { target, run } = options;
    const { request, reply, admitted, body } = exchange;
    const { route } = admitted;
    const { upstreamSilenceMs } = this.#kernel.settings.timing;
    const remainingMs = admitted.deadlineAt - this.#kernel.clock.now();
    const headersTimeout = route.repeatable
      ? Math.min(remainingMs, upstreamSilenceMs)
      : remainingMs;
    const recorder = run.createRecorder();
    const sentAt = this.#kernel.clock.now();
    const relay = new ResponseForwarder({
      reply,
      recorder,
      record: async (status, contentType) => {
        if (recorder) run.answered(recorder.outcome(status, contentType));
        await this.#record(admitted, status);
      },
      onHead: (headers) =>
        this.#kernel.platform.notices?.publish(
          target.id,
          noticeFieldsOf(headers),
          { requestAgeMs: this.#kernel.clock.now() - sentAt },
        ),
    });
    exchange.relay = relay;
    if (exchange.signal.aborted) relay.cancel();
    const agent = route.repeatable ? this.#pooledAgent : this.#unpooledAgent;
    try {
      agent.dispatch({
        origin: `http://${target.address}`,
        path: request.url,
        method: request.method as "GET",
        headers: forwardedHeaders(request, admitted),
        body: body.open(),
        headersTimeout: Math.max(1, headersTimeout),
        bodyTimeout: upstreamSilenceMs,
      }, relay);
    } catch (error) {
      relay.failed(error as Error);
    }
    return relay.ended;
  }

  async #record(admitted: Admitted, status: number): Promise<void> {
    if (status >= 500) return;
    await this.#usage.record({
      id: admitted.id,
      tenant: admitted.caller.organisation,
      route: admitted.route.name,
      promptTokens: 0,
      outputTokens: 0,
    });
  }
}

/** One forwarded request across all its attempts. */
class ForwardedExchange {
  readonly request: FastifyRequest;
  readonly reply: FastifyReply;
  readonly admitted: Admitted;
  readonly body: RequestBody;
  verdict = Verdict.NotRun;
  /** Forwards the response of the current attempt. */
  relay: ResponseForwarder | undefined;
  readonly #abort = new AbortController();
  #refusal: Refusal | undefined;
  #fingerprint: string | undefined;

  constructor(options: {
    request: FastifyRequest;
    reply: FastifyReply;
    admitted: Admitted;
    body: RequestBody;
  }) {
    this.request = options.request;
    this.reply = options.reply;
    this.admitted = options.admitted;
    this.body = options.body;
    this.reply.raw.once("close", () => {
      if (!this.reply.raw.writableFinished) this.end(CALLER_DISCONNECTED);
    });
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Whether another attempt could still send the complete request. */
  get replayable(): boolean {
    return !this.reply.sent && this.body.canReopen;
  }

  /** Equal for a caller's resends. */
  get fingerprint(): string {
    this.#fingerprint ??= this.#computeFingerprint();
    return this.#fingerprint;
  }

  /** Aborts the exchange with `refusal`. */
  end(refusal: Refusal) {
    this.#refusal ??= refusal;
    this.#abort.abort();
    this.relay?.cancel();
  }

  /** The refusal that aborted it, else `other`, with the verdict so far. */
  refusal(other: Refusal): Refusal {
    return (this.#refusal ?? other).withEarlierVerdict(this.verdict);
  }

  #computeFingerprint(): string {
    const { request, admitted, body } = this;
    const length = request.headers["content-length"] ?? "";
    const { organisation: caller } = admitted.caller;
    return createHash("sha256")
      .update(`${caller}\n${request.method}\n${request.url}\n${length}\n`)
      .update(body.bytes)
      .digest("base64url");
  }
}

/** Finds the service route with the longest prefix of the path. */
function serviceRouteFinder(url: string) {
  const path = url.split("?", 1)[0];
  return (routes: readonly Route[]): O.Option<Route> => {
    let best: Route | undefined;
    for (const route of routes) {
      if (route.kind !== RouteKind.Service || !hasPrefix(path, route.path)) {
        continue;
      }
      if (route.path.length > (best?.path.length ?? -1)) best = route;
    }
    return O.fromNullable(best);
  };
}

/** Whether `path` equals `prefix` or is below it. */
function hasPrefix(path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false;
  return prefix.endsWith("/") || path.length === prefix.length ||
    path[prefix.length] === "/";
}

// The verdict of the attempts replaces that of these refusals.
const CALLER_DISCONNECTED = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.Cancelled,
  message: "The caller went away",
});

const DEADLINE_EXCEEDED = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.DeadlineExceeded,
  message: "The request's deadline passed",
});

const KEY_WITHDRAWN_BEFORE_RUN = new Refusal({
  ...KEY_WITHDRAWN,
  verdict: Verdict.NotRun,
});

/** The key of the plug-in that forwards to services. */
export const serviceForwarderKey = new PluginKey<ServiceForwarder>("forward");

register({
  key: serviceForwarderKey,
  requires: [
    gatewayKey,
    dispatchKey,
    activeConfigurationKey,
    usageKey,
    claimsKey,
  ],
  create: (kernel) => new ServiceForwarder({ kernel }),
});
