/**
 * One completion's answer on its way to the caller: whole as JSON, or as
 * server-sent events.
 *
 * @module
 */

import type { FastifyReply } from "fastify";
import * as O from "fp-ts/Option";
import type { ServerResponse } from "node:http";
import type { ClaimOutcome } from "../claims/mod.ts";
import type { Refusal } from "../kernel/mod.ts";
import type { Chunk } from "../outside/mod.ts";
import type { Admitted } from "./request_admission.ts";
import type { Ask } from "./completion_request.ts";
import type { Capture } from "./idempotency.ts";
import { refusalBody } from "./refusal.ts";

const STREAM_TYPE = "text/event-stream";
const JSON_TYPE = "application/json; charset=utf-8";

/** One answer under way to its caller. */
export class Answer {
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
