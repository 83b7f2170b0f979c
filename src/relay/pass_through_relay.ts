/**
 * The relay plug-in: finds the route of a request and passes it on, whole or
 * as its answer arrives.
 *
 * @module
 */

import { isNone, type Option } from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import { type Config, configKey } from "../config/mod.ts";
import { dispatchKey, Outcome } from "../dispatch/mod.ts";
import { type Kernel, logger, type Refusal, register } from "../kernel/mod.ts";
import { meteringKey } from "../metering/mod.ts";
import { type Delivery, Loss, type Lost, type Target } from "../outside/mod.ts";
import { Attempts } from "./attempts.ts";
import { Course, SILENT } from "./course.ts";
import {
  relayKey,
  type RelayRequest,
  type RelayResult,
  type Requester,
  RequestRelay,
  type StreamedResponse,
} from "./mod.ts";
import { Passage } from "./passage.ts";
import { type ExchangeRoute, Routing } from "./routing.ts";

const log = logger("relay");

/** Requests passed on byte for byte. */
export class PassThroughRelay extends RequestRelay {
  readonly #kernel: Kernel;
  readonly #config: Config;
  readonly #attempts: Attempts;
  readonly #answers;
  readonly #times;
  #routing = new Routing([]);
  #removal: () => void = () => {};

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
    this.#config = kernel.get(configKey);
    this.#attempts = new Attempts(kernel);
    this.#answers = kernel.counter(
      "toucanwind_relay_answers_total",
      "Requests by route and how they ended",
      ["route", "end"],
    );
    this.#times = kernel.histogram(
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
    this.#removal = this.#config.onChange(({ tables }) => {
      this.#routing = new Routing(tables.routes);
    });
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    this.#removal();
    return Promise.resolve();
  }

  route(host: string, path: string): Option<ExchangeRoute> {
    return this.#routing.find(host, path);
  }

  routes(host: string): readonly ExchangeRoute[] {
    return this.#routing.of(host);
  }

  async serve(
    route: ExchangeRoute,
    sender: Requester,
    request: RelayRequest,
    signal: AbortSignal,
  ): Promise<RelayResult> {
    const startedAt = this.#now();
    const course = new Course({ kernel: this.#kernel, route, request, signal });
    const answer = await this.#serve(course, sender);
    course.end();
    this.#ended(course, sender, { startedAt, answer });
    return { answer, upstreamFailures: course.failures };
  }

  async stream(
    route: ExchangeRoute,
    sender: Requester,
    request: RelayRequest,
    signal: AbortSignal,
  ): Promise<Result<StreamedResponse | Delivery, Refusal>> {
    const startedAt = this.#now();
    const course = new Course({ kernel: this.#kernel, route, request, signal });
    const passage = new Passage({
      attempts: this.#attempts,
      course,
      sender,
      ended: (answer) => {
        course.end();
        this.#ended(course, sender, { startedAt, answer });
      },
    });
    return await passage.open();
  }

  async #serve(
    course: Course,
    sender: Requester,
  ): Promise<Result<Delivery, Refusal>> {
    const attempts = this.#attempts;
    const sent = await attempts.run(
      course,
      sender,
      ({ target }) => this.#send(course, sender, target),
    );
    if (sent.err || "body" in sent.val) {
      return sent as Result<Delivery, Refusal>;
    }
    const { answer, permit, sentAt } = sent.val;
    permit.release(Outcome.Served, 1);
    attempts.count(course, sender, sentAt);
    return Ok(answer);
  }

  /** Sends once; an attempt that may be repeated has a bound of its own. */
  async #send(
    course: Course,
    sender: Requester,
    target: Target,
  ): Promise<Result<Delivery, Lost>> {
    const attempts = this.#attempts;
    const parcel = attempts.parcel(course, sender);
    const bound = course.attempt();
    const sent = await attempts.carrier.send(target, parcel, bound.signal);
    bound.end();
    if (sent.err) return bound.timedOut ? Err(SILENT) : sent;
    if (sent.val.status !== 500) return sent;
    return Err({
      loss: Loss.Failed,
      message: "Answer 500",
      answer: sent.val,
    });
  }

  #ended(course: Course, { organisation }: Requester, { startedAt, answer }: {
    startedAt: number;
    answer: Result<unknown, Refusal>;
  }): void {
    const { id } = course.request;
    const { name } = course.route;
    const tookMs = this.#now() - startedAt;
    const end = answer.ok ? "answered" : answer.val.reason;
    this.#times.observe({ route: name }, tookMs / 1000);
    this.#answers.inc({ route: name, end });
    if (answer.ok && course.sends <= 1) return;
    log("served", {
      id,
      route: name,
      organisation,
      end,
      verdict: course.verdict,
      sends: course.sends,
      attempts: course.attempts,
      tookMs: Math.round(tookMs),
      leftMs: Math.round(course.leftMs()),
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
  requires: [configKey, dispatchKey, meteringKey],
  create: (kernel) => new PassThroughRelay(kernel),
});
