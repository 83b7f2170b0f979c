/**
 * Completion endpoints for callers: a request is admitted, claimed if it has
 * an idempotency key on a route that may not be repeated, and run. Its usage
 * is recorded before the last byte of the response is sent.
 *
 * @module
 */

import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import * as O from "fp-ts/Option";
import { createHash } from "node:crypto";
import { claimsKey } from "../claims/mod.ts";
import { activeConfigurationKey } from "../config/mod.ts";
import {
  type Kernel,
  Plugin,
  PluginKey,
  Reason,
  Refusal,
  register,
  Verdict,
} from "../kernel/mod.ts";
import type { Generation } from "../outside/mod.ts";
import { prefixHashes } from "../outside/prefix_hashes.ts";
import { type Route, RouteKind } from "../tables/mod.ts";
import { type Usage, usageKey } from "../usage/mod.ts";
import {
  KEY_WITHDRAWN,
  RequestAdmission,
  RunningRequests,
  TOO_LARGE,
} from "./request_admission.ts";
import { CompletionResponse } from "./completion_response.ts";
import { badRequest, parseCompletionRequest } from "./completion_request.ts";
import {
  ENGINE_PRIORITY,
  type Gateway,
  gatewayKey,
  type Generator,
  generatorKey,
} from "./mod.ts";
import { IdempotencyGuard, type RequestRun } from "./idempotency.ts";

/** Estimate, for the cost of a prompt. */
const CHARS_PER_TOKEN = 4;

/** Serves `/v1/completions` and `/v1/chat/completions`. */
export class Completions extends Plugin {
  readonly #kernel: Kernel;
  readonly #gateway: Gateway;
  readonly #generator: Generator;
  readonly #usage: Usage;
  readonly #admission: RequestAdmission;
  readonly #running: RunningRequests;
  readonly #idempotencyGuard: IdempotencyGuard;
  readonly #tokens;

  constructor(options: { kernel: Kernel }) {
    super();
    const { kernel } = options;
    const config = kernel.get(activeConfigurationKey);
    this.#kernel = kernel;
    this.#gateway = kernel.get(gatewayKey);
    this.#generator = kernel.get(generatorKey);
    this.#usage = kernel.get(usageKey);
    this.#admission = new RequestAdmission({ kernel, config });
    this.#running = new RunningRequests({ config });
    this.#idempotencyGuard = new IdempotencyGuard({ kernel });
    this.#tokens = kernel.counter(
      "toucanwind_completion_tokens_total",
      "Tokens that callers got, by route",
      ["route"],
    );
  }

  override start(): Promise<void> {
    this.#gateway.server.register((scope, _options, done) => {
      this.#addRoutes(scope);
      done();
    });
    return Promise.resolve();
  }

  #addRoutes(scope: FastifyInstance) {
    scope.removeAllContentTypeParsers();
    // The body stays unparsed: the size limit and the key check need its bytes.
    scope.addContentTypeParser(
      "*",
      { parseAs: "string" },
      (_request, body, done) => done(null, body),
    );
    for (const chat of [false, true]) {
      const path = chat ? "/v1/chat/completions" : "/v1/completions";
      scope.post(
        path,
        (request, reply) => this.#serve(request, reply, { chat }),
      );
    }
  }

  async #serve(
    request: FastifyRequest,
    reply: FastifyReply,
    options: { chat: boolean },
  ): Promise<unknown> {
    const raw = typeof request.body === "string" ? request.body : "";
    const parsed = parseCompletionRequest(raw, options);
    if (parsed.err) return this.#gateway.refuse(reply, parsed.val);
    const admitted = this.#admission.admit(
      request,
      modelRouteFinder(parsed.val.model),
    );
    if (admitted.err) return this.#gateway.refuse(reply, admitted.val);
    const { route, key } = admitted.val;
    const { prompt } = parsed.val;
    const invalid = checkBody(raw, { route, key, prompt });
    if (O.isSome(invalid)) {
      return this.#gateway.refuse(reply, invalid.value, { route: route.name });
    }
    const answer = new CompletionResponse(reply, {
      request: parsed.val,
      admitted: admitted.val,
      nowMs: this.#kernel.clock.wall(),
    });
    const run = await this.#idempotencyGuard.claimRun(request, reply, {
      admitted: admitted.val,
      fingerprint: () => createHash("sha256").update(raw).digest("base64url"),
    });
    if (O.isNone(run)) return reply;
    answer.recorder = run.value.createRecorder();
    const remove = this.#running.add(
      admitted.val,
      () => answer.abortForWithdrawnKey(),
    );
    // An exception is a fault of this daemon; the request may have run.
    let verdict = Verdict.MayHaveRun;
    try {
      verdict = await this.#answer(answer, run.value) ?? verdict;
    } finally {
      run.value.failed(verdict);
      remove();
    }
    return reply;
  }

  /** Runs the generation; returns the verdict if the request failed. */
  async #answer(
    answer: CompletionResponse,
    run: RequestRun,
  ): Promise<Verdict | undefined> {
    const { route } = answer.admitted;
    const { prompt, maxTokens } = answer.request;
    const demand = this.#admission.demand(answer.admitted, {
      tokens: Math.ceil(prompt.length / CHARS_PER_TOKEN) + maxTokens,
      prefixes: prefixHashes(prompt),
      fingerprint: fingerprintOf(answer),
    });
    const chunks = this.#generator.run(
      demand,
      generationOf(answer),
      answer.signal,
      { atMostOnce: !route.repeatable },
    );
    for await (const result of chunks) {
      if (result.err) return await this.#fail(answer, result.val);
      if (answer.signal.aborted) continue;
      if (result.val.finishReason === "") {
        await answer.add(result.val);
        continue;
      }
      const remainder = answer.last(result.val);
      const outcome = answer.outcome();
      if (O.isSome(outcome)) run.answered(outcome.value);
      await this.#record(answer);
      answer.finish(remainder);
      return undefined;
    }
    return await this.#fail(answer, ANSWER_TRUNCATED);
  }

  async #fail(answer: CompletionResponse, refusal: Refusal): Promise<Verdict> {
    // Only streamed tokens have reached the caller; a buffered response hasn't.
    if (answer.streamStarted) await this.#record(answer);
    const finalRefusal = answer.withdrawn
      ? new Refusal({ ...KEY_WITHDRAWN, verdict: refusal.verdict })
      : refusal;
    this.#refuse(answer, finalRefusal);
    return finalRefusal.verdict;
  }

  #refuse(answer: CompletionResponse, refusal: Refusal): void {
    const route = answer.admitted.route.name;
    if (!answer.streamStarted) {
      this.#gateway.refuse(answer.reply, refusal, { route });
      return;
    }
    this.#gateway.count(refusal, route);
    answer.fail(refusal);
  }

  async #record(answer: CompletionResponse): Promise<void> {
    const { id, caller, route } = answer.admitted;
    this.#tokens.inc({ route: route.name }, answer.outputTokens);
    await this.#usage.record({
      id,
      tenant: caller.organisation,
      route: route.name,
      promptTokens: answer.promptTokens,
      outputTokens: answer.outputTokens,
    });
  }
}

function modelRouteFinder(model: string) {
  return (routes: readonly Route[]) =>
    O.fromNullable(
      routes.find((route) =>
        route.kind === RouteKind.Model && route.model === model
      ),
    );
}

/** Refuses a body that is too large for the route or contains the key. */
function checkBody(
  raw: string,
  options: { route: Route; key: O.Option<string>; prompt: string },
): O.Option<Refusal> {
  const { route, key, prompt } = options;
  if (Buffer.byteLength(raw) > route.maxBodyBytes) return O.some(TOO_LARGE);
  if (O.isNone(key) || key.value === "") return O.none;
  // JSON escapes can hide a key that is plain in the parsed prompt.
  if (raw.includes(key.value) || prompt.includes(key.value)) {
    return O.some(badRequest("The key may not stand in the body"));
  }
  return O.none;
}

function generationOf({ request, admitted }: CompletionResponse): Generation {
  return {
    id: admitted.id,
    model: admitted.model,
    prompt: request.prompt,
    resume: "",
    maxTokens: request.maxTokens,
    temperature: request.temperature,
    seed: request.seed,
    priority: ENGINE_PRIORITY[admitted.route.priority],
  };
}

/** Equal for a caller's resends, so that a crashing prompt is quarantined. */
function fingerprintOf({ request, admitted }: CompletionResponse): string {
  return createHash("sha256")
    .update(JSON.stringify([admitted.caller.organisation, request.model]))
    .update(request.prompt)
    .digest("base64url");
}

const ANSWER_TRUNCATED = new Refusal({
  verdict: Verdict.MayHaveRun,
  reason: Reason.Truncated,
  message: "The answer ended early",
});

/** The key of the completions plug-in. */
export const completionsKey = new PluginKey<Completions>("completions");

register({
  key: completionsKey,
  requires: [
    gatewayKey,
    generatorKey,
    activeConfigurationKey,
    usageKey,
    claimsKey,
  ],
  create: (kernel) => new Completions({ kernel }),
});
