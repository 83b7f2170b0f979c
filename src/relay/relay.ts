/**
 * The relay plug-in: a permit for each attempt, and another attempt while the
 * route, the time left and what is known of the last one allow it.
 *
 * @module
 */

import { isNone, type Option } from "fp-ts/Option";
import { createHash } from "node:crypto";
import { Err, type Result } from "ts-results";
import { type Config, configKey } from "../config/mod.ts";
import {
  type Demand,
  type Dispatch,
  dispatchKey,
  Outcome,
} from "../dispatch/mod.ts";
import {
  type Kernel,
  logger,
  Reason,
  type Refusal,
  register,
} from "../kernel/mod.ts";
import { type Metering, meteringKey } from "../metering/mod.ts";
import { type Delivery, Loss, type Lost } from "../outside/mod.ts";
import { priorityOf } from "../tables/mod.ts";
import { Course, MAX_UNRUN } from "./course.ts";
import {
  Relay,
  relayKey,
  type Request,
  type Sender,
  type Served,
} from "./mod.ts";
import { drawPool, type ExchangeRoute, Routing } from "./routing.ts";

const log = logger("relay");

/** Wait before upstreams that refused a request are asked again. */
const AGAIN_MS = 30;

/** Requests passed on byte for byte. */
export class ByteRelay extends Relay {
  readonly #kernel: Kernel;
  readonly #config: Config;
  readonly #dispatch: Dispatch;
  readonly #metering: Metering;
  readonly #answers;
  readonly #lost;
  readonly #times;
  #routing = new Routing([]);
  #removal: () => void = () => {};

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
    this.#config = kernel.get(configKey);
    this.#dispatch = kernel.get(dispatchKey);
    this.#metering = kernel.get(meteringKey);
    this.#answers = kernel.counter(
      "toucanwind_relay_answers_total",
      "Requests by route and how they ended",
      ["route", "end"],
    );
    this.#lost = kernel.counter(
      "toucanwind_relay_lost_attempts_total",
      "Attempts without a whole answer, by what became of them",
      ["loss"],
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
    sender: Sender,
    request: Request,
    signal: AbortSignal,
  ): Promise<Served> {
    const startedAt = this.#now();
    const course = new Course({ kernel: this.#kernel, route, request, signal });
    const answer = await this.#run(course, sender);
    course.end();
    const tookMs = this.#now() - startedAt;
    this.#times.observe({ route: route.name }, tookMs / 1000);
    const end = answer.ok ? "answered" : answer.val.reason;
    this.#answers.inc({ route: route.name, end });
    if (answer.err || course.sends > 1) {
      log("served", {
        id: request.id,
        route: route.name,
        organisation: sender.organisation,
        end,
        verdict: course.verdict,
        sends: course.sends,
        attempts: course.attempts,
        tookMs: Math.round(tookMs),
        leftMs: Math.round(course.leftMs()),
        revision: this.#revision(),
      });
    }
    return { answer, failures: course.failures };
  }

  async #run(
    course: Course,
    sender: Sender,
  ): Promise<Result<Delivery, Refusal>> {
    const demand = demandOf(course, sender);
    for (;;) {
      const permit = await this.#dispatch.acquire({
        ...demand,
        remainingMs: course.leftMs(),
        exclude: course.excluded,
        attempt: course.sends,
      }, course.signal);
      if (permit.err) {
        if (await this.#again(course, permit.val)) continue;
        return Err(course.refused(permit.val));
      }
      const { target, release } = permit.val;
      course.sends += 1;
      const begunAt = this.#kernel.clock.wall();
      const sent = await this.#send(course, sender, target);
      if (sent.ok) {
        release(Outcome.Served, demand.tokens);
        this.#count(course, sender, begunAt);
        const failed = sent.val.status === 500;
        if (failed) course.failures += 1;
        if (!failed || !course.mayRetry(Loss.Failed)) return sent;
        this.#lost.inc({ loss: Loss.Failed });
        course.lost(target.id, Loss.Failed);
        continue;
      }
      const { loss } = sent.val;
      release(outcomeOf(loss), 0);
      this.#lost.inc({ loss });
      this.#log(course, target.id, sent.val);
      if (loss === Loss.Broken || loss === Loss.Silent) {
        this.#count(course, sender, begunAt);
      }
      const may = course.mayRetry(loss);
      course.lost(target.id, loss);
      if (!may) return Err(course.failed(sent.val));
    }
  }

  /** Sends once; an attempt that may be repeated has a bound of its own. */
  async #send(course: Course, { organisation }: Sender, target: {
    id: string;
    address: string;
  }): Promise<Result<Delivery, Lost>> {
    const { carrier } = this.#kernel.platform;
    if (carrier === undefined) {
      throw new RangeError("This platform passes no requests on");
    }
    const { request } = course;
    const bound = course.attempt();
    const sent = await carrier.send(target, {
      id: request.id,
      method: request.method,
      path: request.path,
      host: request.host,
      fields: request.fields,
      body: request.body,
      organisation,
      remainingMs: course.leftMs(),
    }, bound.signal);
    bound.end();
    if (sent.ok || !bound.timedOut) return sent;
    return Err({ loss: Loss.Silent, message: "No answer in time" });
  }

  /** Whether to wait a little and ask upstreams that refused once more. */
  async #again(course: Course, refusal: Refusal): Promise<boolean> {
    const exhausted = refusal.reason === Reason.NoUpstream &&
      course.excluded.length > 0 && course.unrun < MAX_UNRUN &&
      course.leftMs() > 2 * AGAIN_MS;
    if (!exhausted) return false;
    course.forgive();
    await this.#kernel.clock.sleep(AGAIN_MS, course.signal);
    return true;
  }

  #count(course: Course, { organisation }: Sender, begunAt: number): void {
    if (course.counted || organisation === "") return;
    course.counted = true;
    this.#metering.began(organisation, begunAt);
  }

  #log(course: Course, upstream: string, { loss, message }: Lost): void {
    log("attempt lost", {
      id: course.request.id,
      route: course.route.name,
      upstream,
      loss,
      message,
      send: course.sends,
      leftMs: Math.round(course.leftMs()),
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

/** What a keeper is told of a send that brought no whole answer. */
export function outcomeOf(loss: Loss): Outcome {
  switch (loss) {
    case Loss.Unreachable:
      return Outcome.Unreachable;
    case Loss.NotRun:
    case Loss.Misdirected:
      return Outcome.Refused;
    case Loss.Failed:
    case Loss.Impossible:
      return Outcome.Served;
    case Loss.Broken:
      return Outcome.Broken;
    case Loss.Silent:
      return Outcome.Silent;
    case Loss.Cancelled:
      return Outcome.Cancelled;
  }
}

/** Equal for resends of one request by any caller of the organisation. */
export function fingerprintOf(organisation: string, request: {
  method: string;
  path: string;
  body: Buffer;
}): string {
  return createHash("sha256")
    .update(`${organisation}\n${request.method} ${request.path}\n`)
    .update(request.body)
    .digest("base64url");
}

function demandOf(
  { route, request }: Course,
  { organisation, rank }: Sender,
): Demand {
  return {
    id: request.id,
    pool: drawPool(route.exchange, Math.random()),
    route: route.name,
    tenant: organisation,
    priority: rank === undefined ? route.priority : priorityOf(rank),
    weight: 1,
    tokens: 1,
    prefixes: [],
    remainingMs: request.remainingMs,
    minVersion: 0,
    exclude: [],
    fingerprint: fingerprintOf(organisation, request),
    attempt: 0,
  };
}

register({
  key: relayKey,
  requires: [configKey, dispatchKey, meteringKey],
  create: (kernel) => new ByteRelay(kernel),
});
