/**
 * Model completions for callers, in the shape of the OpenAI interface,
 * streamed as server-sent events or whole.
 *
 * @module
 */

import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import * as O from "fp-ts/Option";
import { createHash } from "node:crypto";
import type { ServerResponse } from "node:http";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import { type ClaimOutcome, claimsKey } from "../claims/mod.ts";
import { configKey } from "../config/mod.ts";
import {
  type Kernel,
  Plugin,
  PluginKey,
  Reason,
  Refusal,
  register,
  Verdict,
} from "../kernel/mod.ts";
import type { Chunk, Generation } from "../platform/mod.ts";
import { blocksOf } from "../platform/prefixes.ts";
import { Kind, type Route } from "../tables/mod.ts";
import { type Usage, usageKey } from "../usage/mod.ts";
import {
  Admission,
  type Admitted,
  Running,
  TOO_LARGE,
  WITHDRAWN,
} from "./admission.ts";
import {
  ENGINE_PRIORITY,
  type Gateway,
  gatewayKey,
  type Generator,
  generatorKey,
  refusalBody,
} from "./mod.ts";
import { type Capture, Once, type Run } from "./once.ts";

const MAX_TOKENS = 65_536;
const CHARS_PER_TOKEN = 4;
const STREAM_TYPE = "text/event-stream";
const JSON_TYPE = "application/json; charset=utf-8";
const MAX_SEED = 2 ** 31;

/** Options that would change the answer and are not offered. */
const NOT_OFFERED = {
  n: z.literal(1).nullish(),
  best_of: z.literal(1).nullish(),
  echo: z.literal(false).nullish(),
  stop: z.null().optional(),
  suffix: z.null().optional(),
  logprobs: z.literal(false).nullish(),
  tools: z.array(z.never()).nullish(),
};

const OPTIONS = {
  model: z.string().min(1),
  max_tokens: z.int().min(1).max(MAX_TOKENS).default(256),
  temperature: z.number().min(0).max(2).default(1),
  seed: z.int().nullish(),
  stream: z.boolean().default(false),
  stream_options: z.object({ include_usage: z.boolean().optional() })
    .nullish(),
};

const Completion = z.object({
  ...NOT_OFFERED,
  ...OPTIONS,
  prompt: z.string(),
});

const ChatCompletion = z.object({
  ...NOT_OFFERED,
  ...OPTIONS,
  messages: z.array(z.object({ role: z.string(), content: z.string() }))
    .min(1),
});

/** What a caller asks for, in either shape. */
interface Ask {
  readonly chat: boolean;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number;
  readonly stream: boolean;
  readonly includeUsage: boolean;
}

/** Serves callers' completions. */
export class Completions extends Plugin {
  readonly #kernel: Kernel;
  readonly #gateway: Gateway;
  readonly #generator: Generator;
  readonly #usage: Usage;
  readonly #admission: Admission;
  readonly #running: Running;
  readonly #once: Once;
  readonly #tokens;

  constructor(options: { kernel: Kernel }) {
    super();
    const { kernel } = options;
    const config = kernel.get(configKey);
    this.#kernel = kernel;
    this.#gateway = kernel.get(gatewayKey);
    this.#generator = kernel.get(generatorKey);
    this.#usage = kernel.get(usageKey);
    this.#admission = new Admission({ kernel, config });
    this.#running = new Running({ config });
    this.#once = new Once({ kernel });
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
    const ask = parse(raw, options);
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
      prefixes: blocksOf(prompt),
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
      tenant: caller.tenant,
      route: route.name,
      promptTokens: answer.promptTokens,
      outputTokens: answer.outputTokens,
    });
  }
}

/** One answer under way to its caller. */
class Answer {
  readonly reply: FastifyReply;
  readonly ask: Ask;
  readonly admitted: Admitted;
  promptTokens = 0;
  outputTokens = 0;
  withdrawn = false;
  streaming = false;
  /** Records what is sent, if it is to be kept for resends. */
  capture: Capture | undefined;
  readonly #abort = new AbortController();
  readonly #versions = new Set<number>();
  readonly #created: number;
  #text = "";
  #lastFrame: Frame | undefined;

  constructor(
    reply: FastifyReply,
    options: { ask: Ask; admitted: Admitted; createdAt: number },
  ) {
    this.#created = Math.floor(options.createdAt / 1000);
    this.reply = reply;
    this.ask = options.ask;
    this.admitted = options.admitted;
    reply.raw.once("close", () => {
      if (!reply.raw.writableFinished) this.#abort.abort();
    });
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Ends the generation because its key is no longer good. */
  withdraw() {
    this.withdrawn = true;
    this.#abort.abort();
  }

  /** Passes on a chunk of a stream, or keeps it for the whole answer. */
  async add(chunk: Chunk): Promise<void> {
    this.#take(chunk);
    if (!this.ask.stream) {
      this.#text += chunk.text;
      return;
    }
    this.#begin();
    const piece = this.#frame().piece(chunk.text);
    this.capture?.add(Buffer.from(piece));
    const room = this.reply.raw.write(piece);
    if (!room) await drained(this.reply.raw, this.signal);
  }

  /** What is left to send with the last chunk; its use is recorded first. */
  last(chunk: Chunk): string {
    this.#take(chunk);
    this.promptTokens = chunk.promptTokens;
    const rest = this.ask.stream
      ? this.#tail(chunk)
      : JSON.stringify(this.#whole(this.#text + chunk.text, chunk));
    this.capture?.add(Buffer.from(rest));
    return rest;
  }

  /** The answer as kept for resends. */
  outcome(): O.Option<ClaimOutcome> {
    const type = this.ask.stream ? STREAM_TYPE : JSON_TYPE;
    const { capture } = this;
    return capture ? O.some(capture.outcome(200, type)) : O.none;
  }

  /** Ends the answer whole with what `last` left to send. */
  finish(rest: string) {
    if (!this.ask.stream) {
      this.reply.header("x-request-id", this.admitted.id);
      this.reply.type(JSON_TYPE).send(rest);
      return;
    }
    this.#begin();
    this.reply.raw.end(rest);
  }

  /** Ends a stream with an explicit error, and without `[DONE]`. */
  fail(refusal: Refusal) {
    this.reply.raw.end(`event: error\n${event(refusalBody(refusal))}`);
  }

  #take(chunk: Chunk) {
    this.outputTokens += chunk.tokens;
    this.#versions.add(chunk.weightVersion);
  }

  #begin() {
    if (this.streaming) return;
    this.streaming = true;
    this.reply.hijack();
    this.reply.raw.writeHead(200, {
      "content-type": STREAM_TYPE,
      "cache-control": "no-cache",
      "x-request-id": this.admitted.id,
    });
  }

  /** What is around a piece's text; the same until the versions change. */
  #frame(): Frame {
    const versions = this.#versions.size;
    if (this.#lastFrame?.versions !== versions) {
      const sample = event(this.#piece("", null));
      this.#lastFrame = new Frame(sample, { versions });
    }
    return this.#lastFrame;
  }

  #head() {
    const { chat, stream, model } = this.ask;
    const suffix = stream ? ".chunk" : "";
    return {
      id: this.admitted.id,
      object: chat ? `chat.completion${suffix}` : "text_completion",
      created: this.#created,
      model,
      system_fingerprint: `weights-${[...this.#versions].join("-")}`,
    };
  }

  #piece(text: string, finishReason: string | null) {
    const content = this.ask.chat
      ? { delta: { role: "assistant", content: text } }
      : { text };
    const choice = { index: 0, ...content, finish_reason: finishReason };
    return { ...this.#head(), choices: [choice] };
  }

  #tail(chunk: Chunk): string {
    const piece = this.#piece(chunk.text, chunk.finishReason);
    const usage = this.ask.includeUsage
      ? event({ ...this.#head(), choices: [], usage: this.#used() })
      : "";
    return `${event(piece)}${usage}data: [DONE]\n\n`;
  }

  #whole(text: string, { finishReason }: Chunk) {
    const content = this.ask.chat
      ? { message: { role: "assistant", content: text } }
      : { text };
    const choice = { index: 0, ...content, finish_reason: finishReason };
    return { ...this.#head(), choices: [choice], usage: this.#used() };
  }

  #used() {
    return {
      prompt_tokens: this.promptTokens,
      completion_tokens: this.outputTokens,
      total_tokens: this.promptTokens + this.outputTokens,
    };
  }
}

/** An event cut open where its text goes, so that it's serialized once. */
class Frame {
  readonly versions: number;
  readonly #before: string;
  readonly #after: string;

  /** Opens `sample`, whose last empty string is the text's place. */
  constructor(sample: string, options: { versions: number }) {
    this.versions = options.versions;
    const place = sample.lastIndexOf('""');
    this.#before = sample.slice(0, place);
    this.#after = sample.slice(place + '""'.length);
  }

  /** The event with this text. */
  piece(text: string): string {
    return this.#before + JSON.stringify(text) + this.#after;
  }
}

function event(data: unknown): string {
  return `data: ${JSON.stringify(data)}\n\n`;
}

/** Waits until a slow caller has taken what was written. */
function drained(
  response: ServerResponse,
  signal: AbortSignal,
): Promise<void> {
  if (signal.aborted) return Promise.resolve();
  return new Promise((resolve) => {
    const done = () => {
      response.off("drain", done);
      signal.removeEventListener("abort", done);
      resolve();
    };
    response.once("drain", done);
    signal.addEventListener("abort", done, { once: true });
  });
}

function parse(raw: string, options: { chat: boolean }): Result<Ask, Refusal> {
  const json = O.tryCatch(() => JSON.parse(raw) as unknown);
  if (O.isNone(json)) return Err(badRequest("The body is not JSON"));
  return options.chat ? chatAsk(json.value) : textAsk(json.value);
}

function textAsk(json: unknown): Result<Ask, Refusal> {
  const parsed = Completion.safeParse(json);
  if (!parsed.success) return Err(badBody(parsed.error));
  return Ok({ ...common(parsed.data), chat: false });
}

function chatAsk(json: unknown): Result<Ask, Refusal> {
  const parsed = ChatCompletion.safeParse(json);
  if (!parsed.success) return Err(badBody(parsed.error));
  const turns = parsed.data.messages
    .map(({ role, content }) => `<|${role}|>\n${content}\n`);
  const prompt = `${turns.join("")}<|assistant|>\n`;
  return Ok({ ...common({ ...parsed.data, prompt }), chat: true });
}

function common(
  body: Omit<z.infer<typeof Completion>, keyof typeof NOT_OFFERED>,
): Omit<Ask, "chat"> {
  return {
    model: body.model,
    prompt: body.prompt,
    maxTokens: body.max_tokens,
    temperature: body.temperature,
    seed: body.seed ?? Math.floor(Math.random() * MAX_SEED),
    stream: body.stream,
    includeUsage: body.stream_options?.include_usage === true,
  };
}

function badBody(error: z.ZodError): Refusal {
  const [issue] = error.issues;
  const place = issue.path.join(".");
  return badRequest(`The body's "${place}" can't be used: ${issue.message}`);
}

function badRequest(message: string): Refusal {
  const reason = Reason.BadRequest;
  return new Refusal({ verdict: Verdict.NotRun, reason, message });
}

function routeOf(model: string) {
  return (routes: readonly Route[]) =>
    O.fromNullable(
      routes.find((route) =>
        route.kind === Kind.Model && route.model === model
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
    .update(JSON.stringify([admitted.caller.tenant, ask.model]))
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
  requires: [gatewayKey, generatorKey, configKey, usageKey, claimsKey],
  create: (kernel) => new Completions({ kernel }),
});
