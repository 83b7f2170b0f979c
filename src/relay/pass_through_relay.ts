/**
 * The relay plug-in: finds the route of a request, forwards the request to an
 * upstream, and returns the response complete or as a stream.
 *
 * @module
 */

import { isNone, type Option } from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import {
  type ActiveConfiguration,
  activeConfigurationKey,
} from "../config/mod.ts";
import { dispatchKey, Outcome } from "../dispatch/mod.ts";
import { type Kernel, logger, type Refusal, register } from "../kernel/mod.ts";
import { meteringKey } from "../metering/mod.ts";
import {
  Loss,
  type LostRequest,
  type Target,
  type UpstreamResponse,
} from "../outside/mod.ts";
import { isFailureStatus } from "../outside/http_endpoint.ts";
import { AttemptRunner } from "./attempts.ts";
import { ATTEMPT_TIMED_OUT, RequestProgress } from "./request_progress.ts";
import {
  relayKey,
  type RelayRequest,
  type RelayResult,
  type Requester,
  RequestRelay,
  type StreamedResponse,
} from "./mod.ts";
import { StreamForwarder } from "./stream_forwarder.ts";
import { type ExchangeRoute, Routing } from "./routing.ts";

const log = logger("relay");

/** Forwards requests and responses byte for byte. */
export class PassThroughRelay extends RequestRelay {
  readonly #kernel: Kernel;
  readonly #config: ActiveConfiguration;
  readonly #attemptRunner: AttemptRunner;
  readonly #answers;
  readonly #durations;
  readonly #listeners = new Set<() => void>();
  #routing = new Routing([]);
  #unsubscribe: () => void = () => {};

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
    this.#config = kernel.get(activeConfigurationKey);
    this.#attemptRunner = new AttemptRunner(kernel);
    this.#answers = kernel.counter(
      "toucanwind_relay_answers_total",
      "Requests by route and how they ended",
      ["route", "end"],
    );
    this.#durations = kernel.histogram(
      "toucanwind_relay_seconds",
      "Time from a request to its answer",
      [0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10],
      ["route"],
    );
  }

  override start(): Promise<void> {
    const current = this.#config.current();
    if (current._tag === "Some") {
      this.#routing = new Routing(current.value.tables.routes);
    }
    this.#unsubscribe = this.#config.onChange(({ tables }) => {
      this.#routing = new Routing(tables.routes);
      for (const listener of this.#listeners) listener();
    });
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#unsubscribe();
    return Promise.resolve();
  }

  route(host: string, path: string): Option<ExchangeRoute> {
    return this.#routing.find(host, path);
  }

  routes(host: string): readonly ExchangeRoute[] {
    return this.#routing.ofHost(host);
  }

  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  async serve(
    route: ExchangeRoute,
    requester: Requester,
    request: RelayRequest,
    signal: AbortSignal,
  ): Promise<RelayResult> {
    const startedAt = this.#now();
    const progress = new RequestProgress({
      kernel: this.#kernel,
      route,
      request,
      signal,
    });
    const answer = await this.#serve(progress, requester);
    progress.end();
    this.#ended(progress, requester, { startedAt, answer });
    return { answer, upstreamFailures: progress.upstreamFailures };
  }

  async stream(
    route: ExchangeRoute,
    requester: Requester,
    request: RelayRequest,
    signal: AbortSignal,
  ): Promise<Result<StreamedResponse | UpstreamResponse, Refusal>> {
    const startedAt = this.#now();
    const progress = new RequestProgress({
      kernel: this.#kernel,
      route,
      request,
      signal,
    });
    const forwarder = new StreamForwarder({
      attemptRunner: this.#attemptRunner,
      progress,
      requester,
      ended: (answer) => {
        progress.end();
        this.#ended(progress, requester, { startedAt, answer });
      },
    });
    return await forwarder.open();
  }

  async #serve(
    progress: RequestProgress,
    requester: Requester,
  ): Promise<Result<UpstreamResponse, Refusal>> {
    const runner = this.#attemptRunner;
    const sent = await runner.run(
      progress,
      requester,
      ({ target }) => this.#sendOnce(progress, requester, target),
    );
    if (sent.err || "body" in sent.val) {
      return sent as Result<UpstreamResponse, Refusal>;
    }
    const { answer, permit, sentAt } = sent.val;
    const failed = isFailureStatus(answer.status);
    permit.release(failed ? Outcome.Failed : Outcome.Served, 1);
    runner.count(progress, requester, sentAt);
    return Ok(answer);
  }

  /** Sends once; an attempt that can be retried has its own timeout. */
  async #sendOnce(
    progress: RequestProgress,
    requester: Requester,
    target: Target,
  ): Promise<Result<UpstreamResponse, LostRequest>> {
    const runner = this.#attemptRunner;
    const request = runner.buildRequest(progress, requester);
    const timeout = progress.attempt();
    const sent = await runner.transport.send(target, request, timeout.signal);
    timeout.end();
    if (sent.err) return timeout.timedOut ? Err(ATTEMPT_TIMED_OUT) : sent;
    if (sent.val.status !== 500) return sent;
    return Err({
      loss: Loss.Failed,
      message: "Answer 500",
      answer: sent.val,
    });
  }

  #ended(
    progress: RequestProgress,
    { organisation }: Requester,
    { startedAt, answer }: {
      startedAt: number;
      answer: Result<unknown, Refusal>;
    },
  ): void {
    const { id } = progress.request;
    const { name } = progress.route;
    const tookMs = this.#now() - startedAt;
    const end = answer.ok ? "answered" : answer.val.reason;
    this.#durations.observe({ route: name }, tookMs / 1000);
    this.#answers.inc({ route: name, end });
    if (answer.ok && progress.sendCount <= 1) return;
    log("served", {
      id,
      route: name,
      organisation,
      end,
      verdict: progress.verdict,
      sends: progress.sendCount,
      attempts: progress.attemptCount,
      tookMs: Math.round(tookMs),
      leftMs: Math.round(progress.remainingMs()),
      revision: this.#revision(),
    });
  }

  #revision(): number {
    const current = this.#config.current();
    return isNone(current) ? 0 : current.value.revision;
  }

  #now(): number {
    return this.#kernel.clock.now();
  }
}

register({
  key: relayKey,
  requires: [activeConfigurationKey, dispatchKey, meteringKey],
  create: (kernel) => new PassThroughRelay(kernel),
});
