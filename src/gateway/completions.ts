/**
 * Model completions for callers: admitted, claimed where they must be, run,
 * and recorded before their last byte.
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
  RequestAdmission,
  Running,
  TOO_LARGE,
  WITHDRAWN,
} from "./request_admission.ts";
import { Answer } from "./completion_response.ts";
import { badRequest, parseAsk } from "./completion_request.ts";
import {
  ENGINE_PRIORITY,
  type Gateway,
  gatewayKey,
  type Generator,
  generatorKey,
} from "./mod.ts";
import { IdempotencyGuard, type Run } from "./idempotency.ts";

const CHARS_PER_TOKEN = 4;

/** Serves callers' completions. */
export class Completions extends Plugin {
  readonly #kernel: Kernel;
  readonly #gateway: Gateway;
  readonly #generator: Generator;
  readonly #usage: Usage;
  readonly #admission: RequestAdmission;
  readonly #running: Running;
  readonly #once: IdempotencyGuard;
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
    this.#running = new Running({ config });
    this.#once = new IdempotencyGuard({ kernel });
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
    // The bytes are kept: the bound on them and the key check need them.
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
    const ask = parseAsk(raw, options);
    if (ask.err) return this.#gateway.refuse(reply, ask.val);
    const admitted = this.#admission.admit(request, routeOf(ask.val.model));
    if (admitted.err) return this.#gateway.refuse(reply, admitted.val);
    const { route, key } = admitted.val;
    const { prompt } = ask.val;
    const bad = check(raw, { route, key, prompt });
    if (O.isSome(bad)) {
      return this.#gateway.refuse(reply, bad.value, { route: route.name });
    }
    const answer = new Answer(reply, {
      ask: ask.val,
      admitted: admitted.val,
      createdAt: this.#kernel.clock.wall(),
    });
    const run = await this.#once.begin(request, reply, {
      admitted: admitted.val,
      fingerprint: () => createHash("sha256").update(raw).digest("base64url"),
    });
    if (O.isNone(run)) return reply;
    answer.capture = run.value.capture();
    const remove = this.#running.add(admitted.val, () => answer.withdraw());
    // What throws is a fault of this daemon; it may have run.
    let verdict = Verdict.MayHaveRun;
    try {
      verdict = await this.#answer(answer, run.value) ?? verdict;
    } finally {
      run.value.failed(verdict);
      remove();
    }
    return reply;
  }

  /** Answers with the verdict if the request failed. */
  async #answer(answer: Answer, run: Run): Promise<Verdict | undefined> {
    const { route } = answer.admitted;
    const { prompt, maxTokens } = answer.ask;
    const demand = this.#admission.demand(answer.admitted, {
      tokens: Math.ceil(prompt.length / CHARS_PER_TOKEN) + maxTokens,
      prefixes: prefixHashes(prompt),
      fingerprint: fingerprintOf(answer),
    });
    const chunks = this.#generator.run(
      demand,
      generationOf(answer),
      answer.signal,
      { once: !route.repeatable },
    );
    for await (const item of chunks) {
      if (item.err) return await this.#fail(answer, item.val);
      if (answer.signal.aborted) continue;
      if (item.val.finishReason === "") {
        await answer.add(item.val);
        continue;
      }
      const rest = answer.last(item.val);
      const outcome = answer.outcome();
      if (O.isSome(outcome)) run.answered(outcome.value);
      await this.#record(answer);
      answer.finish(rest);
      return undefined;
    }
    return await this.#fail(answer, UNFINISHED);
  }

  async #fail(answer: Answer, refusal: Refusal): Promise<Verdict> {
    // What was streamed was had; a whole answer that never left was not.
    if (answer.streaming) await this.#record(answer);
    const own = answer.withdrawn
      ? new Refusal({ ...WITHDRAWN, verdict: refusal.verdict })
      : refusal;
    this.#refuse(answer, own);
    return own.verdict;
  }

  #refuse(answer: Answer, refusal: Refusal): void {
    const route = answer.admitted.route.name;
    if (!answer.streaming) {
      this.#gateway.refuse(answer.reply, refusal, { route });
      return;
    }
    this.#gateway.count(refusal, route);
    answer.fail(refusal);
  }

  async #record(answer: Answer): Promise<void> {
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

function routeOf(model: string) {
  return (routes: readonly Route[]) =>
    O.fromNullable(
      routes.find((route) =>
        route.kind === RouteKind.Model && route.model === model
      ),
    );
}

/** What the route's bounds or the key rule out in the body. */
function check(
  raw: string,
  options: { route: Route; key: O.Option<string>; prompt: string },
): O.Option<Refusal> {
  const { route, key, prompt } = options;
  if (Buffer.byteLength(raw) > route.maxBodyBytes) return O.some(TOO_LARGE);
  if (O.isNone(key) || key.value === "") return O.none;
  // Escapes can hide a key in the body that stands plain in the prompt.
  if (raw.includes(key.value) || prompt.includes(key.value)) {
    return O.some(badRequest("The key may not stand in the body"));
  }
  return O.none;
}

function generationOf({ ask, admitted }: Answer): Generation {
  return {
    id: admitted.id,
    model: admitted.model,
    prompt: ask.prompt,
    resume: "",
    maxTokens: ask.maxTokens,
    temperature: ask.temperature,
    seed: ask.seed,
    priority: ENGINE_PRIORITY[admitted.route.priority],
  };
}

/** Equal for a caller's resends, so that what crashes can be quarantined. */
function fingerprintOf({ ask, admitted }: Answer): string {
  return createHash("sha256")
    .update(JSON.stringify([admitted.caller.organisation, ask.model]))
    .update(ask.prompt)
    .digest("base64url");
}

const UNFINISHED = new Refusal({
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
