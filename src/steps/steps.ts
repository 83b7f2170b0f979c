/**
 * The steps plug-in: accepts submissions and pulls of trainers at any entry,
 * forwards them to the step's owner, and transfers steps to new owners.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { isNone, none, type Option, some } from "fp-ts/Option";
import type { FastifyReply, FastifyRequest } from "fastify";
import { Err, Ok, type Result } from "ts-results";
import {
  type ActiveConfiguration,
  activeConfigurationKey,
} from "../config/mod.ts";
import { type Dispatch, dispatchKey } from "../dispatch/mod.ts";
import { type Gateway, gatewayKey } from "../gateway/mod.ts";
import { type Generator, generatorKey } from "../gateway/generator.ts";
import { presentedKey } from "../gateway/request_admission.ts";
import {
  type Kernel,
  logger,
  Plugin,
  PluginKey,
  type Props,
  Reason,
  Refusal,
  register,
  Verdict,
} from "../kernel/mod.ts";
import { type Peers, peersKey } from "../peers/mod.ts";
import { type Route, RouteKind } from "../tables/mod.ts";
import { type Usage, usageKey } from "../usage/mod.ts";
import { Bitmap, type Cursor, CursorCodec, type Handover } from "./cursor.ts";
import {
  parseSubmission,
  specDigest,
  stepName,
  type StepSpec,
} from "./spec.ts";
import {
  type CompletedSample,
  Step,
  type StepProgress,
  type StepState,
  type StepTerms,
} from "./step.ts";

/** The key of the steps plug-in. */
export const stepsKey = new PluginKey<Steps>("steps");

const log = logger("steps");

/** Longest time that a pull waits for samples. */
const MAX_PULL_WAIT_MS = 10_000;
/** Time for a request to the owner, in addition to the wait of a pull. */
const RESPONSE_MARGIN_MS = 5_000;
/** Maximum text that one pull returns. */
const MAX_PULL_BYTES = 512 * 1024;
/** Maximum number of samples that one pull returns. */
const MAX_PULL_SAMPLES = 256;
/** A step is dropped after this time without a pull. */
const ABANDON_AFTER_MS = 15 * 60_000;
/** Interval of the checks for moved and abandoned steps. */
const SWEEP_INTERVAL_MS = 1_000;
/** Timeout of the transfer of a step to a successor. */
const ADOPT_TIMEOUT_MS = 5_000;
/** Samples that a step runs or queues for each slot of its pool. */
const CONCURRENCY_PER_SLOT = 1.5;
const MIN_CONCURRENCY = 8;

interface PullRequest {
  readonly name: string;
  readonly cursor: string;
  readonly version: number;
  readonly waitMs: number;
  readonly max: number;
}

interface PullResponse {
  readonly samples: readonly CompletedSample[];
  readonly cursor: string;
  readonly done: boolean;
  readonly progress: StepProgress;
}

/** Runs the steps that this daemon owns and forwards requests for others. */
export class Steps extends Plugin {
  override readonly props: Props;
  readonly #kernel: Kernel;
  readonly #peers: Peers;
  readonly #config: ActiveConfiguration;
  readonly #dispatch: Dispatch;
  readonly #gateway: Gateway;
  readonly #generator: Generator;
  readonly #usage: Usage;
  readonly #codec: CursorCodec;
  readonly #steps = new Map<string, Step>();
  /**
   * When steps were cancelled, by name. A former owner may transfer a copy as
   * long as it has not abandoned it.
   */
  readonly #cancelledAt = new Map<string, number>();
  readonly #ended = new AbortController();
  readonly #samplesHandedOver;
  readonly #staleTokens;
  readonly #moved;
  readonly #refusals;

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
    this.#peers = kernel.get(peersKey);
    this.#config = kernel.get(activeConfigurationKey);
    this.#dispatch = kernel.get(dispatchKey);
    this.#gateway = kernel.get(gatewayKey);
    this.#generator = kernel.get(generatorKey);
    this.#usage = kernel.get(usageKey);
    this.#codec = new CursorCodec({ secret: kernel.settings.peerSecret });
    this.#samplesHandedOver = kernel.counter(
      "toucanwind_step_samples_handed_over_total",
      "Samples handed over to trainers, also more than once",
      ["route"],
    );
    this.#staleTokens = kernel.counter(
      "toucanwind_step_stale_tokens_total",
      "Tokens thrown away as older than the staleness bound",
      ["route"],
    );
    this.#moved = kernel.counter(
      "toucanwind_steps_moved_total",
      "Steps given to another daemon, by whether it took them",
      ["taken"],
    );
    this.#refusals = kernel.counter(
      "toucanwind_step_refusals_total",
      "Refused samples and trainers' requests, by reason",
      ["reason"],
    );
    this.props = {
      peerHandlers: {
        "steps.submit": (body) => this.#onSubmit(body as StepSpec),
        "steps.pull": (body) => this.#onPull(body as PullRequest),
        "steps.cancel": (body) => this.#onCancel(body as { name: string }),
        "steps.progress": (body) => this.#onProgress(body as { name: string }),
        "steps.adopt": (body) => this.#onAdopt(body as StepState),
      },
      status: () => this.#status(),
    };
  }

  override start(): Promise<void> {
    const { server } = this.#gateway;
    const steps = "/v1/training/:route/steps";
    server.post(steps, (request, reply) => this.#submit(request, reply));
    server.post(
      `${steps}/:step/pull`,
      (request, reply) => this.#pull(request, reply),
    );
    server.get(
      `${steps}/:step`,
      (request, reply) => this.#relay("steps.progress", request, reply),
    );
    server.delete(
      `${steps}/:step`,
      (request, reply) => this.#relay("steps.cancel", request, reply),
    );
    this.#config.onChange(() => this.#dropWithdrawn());
    void this.#sweep();
    return Promise.resolve();
  }

  /** Transfers the steps first, so that no pull waits here for samples. */
  override async close(): Promise<void> {
    const steps = [...this.#steps.values()];
    await Promise.all(steps.map((step) => this.#transfer(step)));
  }

  override stop(): Promise<void> {
    this.#ended.abort();
    for (const step of this.#steps.values()) step.stop();
    return Promise.resolve();
  }

  async #submit(request: FastifyRequest, reply: FastifyReply) {
    const caller = this.#authorize(request);
    if (caller.err) return this.#refuse(reply, caller.val);
    const { route, organisation, keyId } = caller.val;
    const submission = parseSubmission(request.body);
    if (submission.err) {
      return this.#refuse(reply, badRequest(submission.val));
    }
    const requestedBound = submission.val.stalenessBound ??
      route.stalenessBound;
    const spec: StepSpec = {
      ...submission.val,
      route: route.name,
      tenant: organisation,
      keyId,
      stalenessBound: Math.min(requestedBound, route.stalenessBound),
    };
    const answer = await this.#askOwner(
      stepName(spec),
      "steps.submit",
      spec,
      RESPONSE_MARGIN_MS,
    );
    if (answer.err) return this.#refuse(reply, answer.val);
    return reply.code(202).send(answer.val);
  }

  async #pull(request: FastifyRequest, reply: FastifyReply) {
    const caller = this.#authorize(request);
    if (caller.err) return this.#refuse(reply, caller.val);
    const pull = this.#parsePull(request, caller.val);
    if (pull.err) return this.#refuse(reply, pull.val);
    const answer = await this.#askOwner(
      pull.val.name,
      "steps.pull",
      pull.val,
      pull.val.waitMs + RESPONSE_MARGIN_MS,
    );
    if (answer.err) return this.#refuse(reply, answer.val);
    return reply.send(encodePullResponse(answer.val as PullResponse));
  }

  async #relay(
    kind: string,
    request: FastifyRequest,
    reply: FastifyReply,
  ) {
    const caller = this.#authorize(request);
    if (caller.err) return this.#refuse(reply, caller.val);
    const { route, organisation } = caller.val;
    const { step } = request.params as { step: string };
    const name = stepName({
      tenant: organisation,
      route: route.name,
      id: step,
    });
    const answer = await this.#askOwner(
      name,
      kind,
      { name },
      RESPONSE_MARGIN_MS,
    );
    if (answer.err) return this.#refuse(reply, answer.val);
    return reply.send(answer.val);
  }

  #authorize(
    request: FastifyRequest,
  ): Result<{ route: Route; organisation: string; keyId: string }, Refusal> {
    const { route: name } = request.params as { route: string };
    const route = this.#route(name);
    if (isNone(route)) return Err(noRoute(name));
    const caller = this.#config.authorize(
      route.value,
      presentedKey(request),
    );
    return caller.map((found) => ({ ...found, route: route.value }));
  }

  #route(name: string): Option<Route> {
    const configuration = this.#config.current();
    if (isNone(configuration)) return none;
    const route = configuration.value.tables.routes.find((candidate) =>
      candidate.name === name && candidate.kind === RouteKind.Training
    );
    return route === undefined ? none : some(route);
  }

  #parsePull(
    request: FastifyRequest,
    caller: { route: Route; organisation: string },
  ): Result<PullRequest, Refusal> {
    const { step } = request.params as { step: string };
    const body = (request.body ?? {}) as Record<string, unknown>;
    const name = stepName({
      tenant: caller.organisation,
      route: caller.route.name,
      id: step,
    });
    if (typeof body.cursor !== "string") {
      return Err(badRequest("A pull needs the cursor of the last one"));
    }
    const cursor = this.#codec.decode(body.cursor);
    if (cursor.err) return Err(badRequest(cursor.val));
    if (cursor.val.name !== name) {
      return Err(badRequest(`The cursor is not one of step "${step}"`));
    }
    if (!Number.isSafeInteger(body.version)) {
      return Err(badRequest("A pull names the weight version trained on"));
    }
    return Ok({
      name,
      cursor: body.cursor,
      version: body.version as number,
      waitMs: clampedNumber(body.wait_ms, MAX_PULL_WAIT_MS, MAX_PULL_WAIT_MS),
      max: Math.max(
        1,
        clampedNumber(body.max, MAX_PULL_SAMPLES, MAX_PULL_SAMPLES),
      ),
    });
  }

  async #askOwner(
    name: string,
    kind: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, Refusal>> {
    const owner = this.#peers.rankedForDuty(name)[0] ?? this.#peers.self;
    const answer = await this.#peers.ask(owner.vm, kind, body, { timeoutMs });
    if (answer.err) return answer;
    const { refusal } = answer.val as { refusal?: Refusal };
    return refusal === undefined ? answer : Err(new Refusal(refusal));
  }

  // Handlers of peer requests, on the owner.

  #onSubmit(spec: StepSpec): Promise<unknown> {
    const name = stepName(spec);
    const existing = this.#steps.get(name);
    if (
      existing !== undefined && specDigest(existing.spec) !== specDigest(spec)
    ) {
      const message = `Step "${spec.id}" was submitted with other contents`;
      return Promise.resolve({ refusal: badRequest(message) });
    }
    this.#cancelledAt.delete(name);
    const step = existing ?? this.#open(spec);
    if (step === undefined) {
      return Promise.resolve({ refusal: noRoute(spec.route) });
    }
    const cursor = this.#codec.encode({ name, held: new Bitmap() });
    return Promise.resolve({ step: spec.id, cursor, progress: step.progress });
  }

  async #onPull(pull: PullRequest): Promise<unknown> {
    const cursor = this.#codec.decode(pull.cursor).unwrap();
    const step = this.#steps.get(pull.name);
    if (step === undefined) return { refusal: stepUnknown() };
    const { staleTokens } = step.progress.waste;
    step.acknowledge(cursor.held, pull.version);
    await this.#recordUsage(step, cursor.handover);
    await this.#awaitSamples(step, pull);
    if (step.stopped) return { refusal: stepUnknown() };
    this.#staleTokens.inc(
      { route: step.spec.route },
      step.progress.waste.staleTokens - staleTokens,
    );
    return this.#respondWithSamples(step, cursor, pull);
  }

  async #awaitSamples(step: Step, pull: PullRequest): Promise<void> {
    const { clock } = this.#kernel;
    const end = clock.now() + pull.waitMs;
    const limits = { max: 1, maxBytes: MAX_PULL_BYTES };
    while (
      !step.complete && !step.stopped && step.ready(limits).length === 0
    ) {
      const leftMs = end - clock.now();
      if (leftMs <= 0) return;
      await step.changed(leftMs, this.#ended.signal);
    }
  }

  #respondWithSamples(
    step: Step,
    cursor: Cursor,
    pull: PullRequest,
  ): PullResponse {
    const samples = step.ready({ max: pull.max, maxBytes: MAX_PULL_BYTES });
    this.#samplesHandedOver.inc({ route: step.spec.route }, samples.length);
    const held = cursor.held.with(samples.map((sample) => sample.number));
    const next = samples.length === 0
      ? { name: step.name, held }
      : { name: step.name, held, handover: handoverOf(samples) };
    return {
      samples,
      cursor: this.#codec.encode(next),
      done: step.complete,
      progress: step.progress,
    };
  }

  /** Records usage of samples whose cursor came back: they were delivered. */
  async #recordUsage(
    step: Step,
    handover: Handover | undefined,
  ): Promise<void> {
    if (handover === undefined) return;
    await this.#usage.record({
      id: handover.id,
      tenant: step.spec.tenant,
      route: step.spec.route,
      requests: handover.samples,
      promptTokens: handover.promptTokens,
      outputTokens: handover.outputTokens,
      shared: true,
    });
  }

  #onCancel(body: { name: string }): Promise<unknown> {
    this.#cancelledAt.set(body.name, this.#kernel.clock.now());
    const step = this.#steps.get(body.name);
    if (step === undefined) return Promise.resolve({ refusal: stepUnknown() });
    this.#dropStep(step, "cancelled");
    return Promise.resolve({ cancelled: true, progress: step.progress });
  }

  #onProgress(body: { name: string }): Promise<unknown> {
    const step = this.#steps.get(body.name);
    if (step === undefined) return Promise.resolve({ refusal: stepUnknown() });
    return Promise.resolve({ progress: step.progress });
  }

  #onAdopt(state: StepState): Promise<unknown> {
    if (this.#kernel.draining) return Promise.resolve({ taken: false });
    const name = stepName(state.spec);
    if (this.#steps.has(name)) return Promise.resolve({ taken: true });
    // The former owner may not know yet that the step has ended.
    if (this.#cancelledAt.has(name) || this.#isWithdrawn(state.spec)) {
      log("step_refused", { step: name });
      return Promise.resolve({ taken: false });
    }
    const step = this.#open(state.spec, state);
    return Promise.resolve({ taken: step !== undefined });
  }

  #open(spec: StepSpec, state?: StepState): Step | undefined {
    const terms = this.#terms(spec);
    if (isNone(terms)) return undefined;
    const held = state && new Bitmap({ bytes: Uint8Array.from(state.held) });
    const step = new Step({
      spec,
      terms: terms.value,
      generator: this.#generator,
      clock: this.#kernel.clock,
      concurrency: () => this.#concurrencyOf(terms.value.pool),
      held,
      version: state?.version,
      samples: state?.samples,
      onRefused: (refusal) => this.#refusals.inc({ reason: refusal.reason }),
    });
    this.#steps.set(step.name, step);
    log("step_opened", { step: step.name, adopted: state !== undefined });
    step.startSamples();
    return step;
  }

  #terms(spec: StepSpec): Option<StepTerms> {
    const configuration = this.#config.current();
    const route = this.#route(spec.route);
    if (isNone(configuration) || isNone(route)) return none;
    const { tables } = configuration.value;
    const pool = tables.pools.find((row) => row.name === route.value.pool);
    if (pool === undefined) return none;
    const share = route.value.tenants.find((row) => row.tenant === spec.tenant);
    return some({
      pool: pool.name,
      model: pool.model,
      weight: share?.weight ?? 1,
      priority: route.value.priority,
      deadlineMs: route.value.deadlineMs,
    });
  }

  #concurrencyOf(poolName: string): number {
    const configuration = this.#config.current();
    if (isNone(configuration)) return 0;
    const pool = configuration.value.tables.pools.find((row) =>
      row.name === poolName
    );
    const slots = this.#dispatch.upstreams(poolName).length *
      (pool?.slots ?? 1);
    return Math.max(MIN_CONCURRENCY, Math.ceil(slots * CONCURRENCY_PER_SLOT));
  }

  #dropStep(step: Step, why: string): void {
    step.stop();
    this.#steps.delete(step.name);
    log("step_dropped", { step: step.name, why });
  }

  #dropWithdrawn(): void {
    for (const step of this.#steps.values()) {
      if (this.#isWithdrawn(step.spec)) {
        this.#dropStep(step, Reason.KeyWithdrawn);
      }
    }
  }

  #isWithdrawn({ route, keyId }: StepSpec): boolean {
    return keyId !== "" && isNone(this.#config.granted(route, keyId));
  }

  async #sweep(): Promise<void> {
    const { clock } = this.#kernel;
    while (!this.#ended.signal.aborted) {
      await clock.sleep(SWEEP_INTERVAL_MS, this.#ended.signal);
      for (const step of [...this.#steps.values()]) {
        if (clock.now() - step.touchedAt > ABANDON_AFTER_MS) {
          this.#dropStep(step, "abandoned");
        } else if (!this.#owns(step)) await this.#transfer(step);
        else step.startSamples();
      }
      for (const [name, at] of this.#cancelledAt) {
        if (clock.now() - at > ABANDON_AFTER_MS) this.#cancelledAt.delete(name);
      }
    }
  }

  #owns(step: Step): boolean {
    const owner = this.#peers.rankedForDuty(step.name)[0];
    return owner === undefined || owner.vm === this.#peers.self.vm;
  }

  /**
   * Transfers a step to its new owner, if there is one. The step is dropped
   * here even if the successor refuses it. The trainer's next pull is then
   * refused, and the trainer resubmits the step.
   */
  async #transfer(step: Step): Promise<void> {
    const successor = this.#peers.rankedForDuty(step.name)
      .find((member) => member.vm !== this.#peers.self.vm);
    if (successor === undefined) return;
    step.stop();
    const answer = await this.#peers.ask(
      successor.vm,
      "steps.adopt",
      step.state,
      { timeoutMs: ADOPT_TIMEOUT_MS },
    );
    const taken = answer.ok && (answer.val as { taken: boolean }).taken;
    this.#moved.inc({ taken: String(taken) });
    this.#dropStep(step, `moved to ${successor.vm}`);
  }

  #refuse(reply: FastifyReply, refusal: Refusal) {
    this.#refusals.inc({ reason: refusal.reason });
    return this.#gateway.refuse(reply, refusal);
  }

  #status(): unknown {
    return [...this.#steps.values()].map((step) => ({
      step: step.name,
      tenant: step.spec.tenant,
      route: step.spec.route,
      progress: step.progress,
    }));
  }
}

/** Converts the response to a pull to the names of the HTTP interface. */
function encodePullResponse(answer: PullResponse): unknown {
  return {
    ...answer,
    samples: answer.samples.map(({ group, index, sample }) => ({
      group,
      index,
      text: sample.text,
      versions: sample.spans,
      tokens: sample.tokens,
      prompt_tokens: sample.promptTokens,
      finish_reason: sample.finishReason,
    })),
  };
}

function handoverOf(samples: readonly CompletedSample[]): Handover {
  const sum = (tokens: (completed: CompletedSample) => number) =>
    samples.reduce((total, completed) => total + tokens(completed), 0);
  return {
    id: randomUUID(),
    samples: samples.length,
    promptTokens: sum(({ sample }) => sample.promptTokens),
    outputTokens: sum(({ sample }) => sample.tokens),
  };
}

function clampedNumber(
  value: unknown,
  defaultValue: number,
  max: number,
): number {
  if (typeof value !== "number" || !Number.isFinite(value)) return defaultValue;
  return Math.min(Math.max(0, value), max);
}

function badRequest(message: string): Refusal {
  return new Refusal({
    verdict: Verdict.NotRun,
    reason: Reason.BadRequest,
    message,
  });
}

function noRoute(name: string): Refusal {
  return new Refusal({
    verdict: Verdict.NotRun,
    reason: Reason.NoRoute,
    message: `There is no training route "${name}"`,
  });
}

function stepUnknown(): Refusal {
  return new Refusal({
    verdict: Verdict.NotRun,
    reason: Reason.StepUnknown,
    message: "The step is not known here; submit it again and go on pulling",
  });
}

register({
  key: stepsKey,
  requires: [
    peersKey,
    activeConfigurationKey,
    dispatchKey,
    gatewayKey,
    generatorKey,
    usageKey,
  ],
  create: (kernel) => new Steps(kernel),
});
