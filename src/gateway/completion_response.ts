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
import type { CompletionRequest } from "./completion_request.ts";
import type { ResponseRecorder } from "./idempotency.ts";
import { refusalBody } from "./refusal.ts";

const STREAM_TYPE = "text/event-stream";
const JSON_TYPE = "application/json; charset=utf-8";

/** One answer under way to its caller. */
export class CompletionResponse {
  readonly reply: FastifyReply;
  readonly request: CompletionRequest;
  readonly admitted: Admitted;
  promptTokens = 0;
  outputTokens = 0;
  withdrawn = false;
  streamStarted = false;
  /** Records what is sent, if it is to be kept for resends. */
  recorder: ResponseRecorder | undefined;
  readonly #abort = new AbortController();
  readonly #versions = new Set<number>();
  readonly #created: number;
  #text = "";
  #chunkTemplate: EventTemplate | undefined;

  constructor(
    reply: FastifyReply,
    options: { request: CompletionRequest; admitted: Admitted; nowMs: number },
  ) {
    this.#created = Math.floor(options.nowMs / 1000);
    this.reply = reply;
    this.request = options.request;
    this.admitted = options.admitted;
    reply.raw.once("close", () => {
      if (!reply.raw.writableFinished) this.#abort.abort();
    });
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Ends the generation because its key is no longer good. */
  abortForWithdrawnKey() {
    this.withdrawn = true;
    this.#abort.abort();
  }

  /** Passes on a chunk of a stream, or keeps it for the whole answer. */
  async add(chunk: Chunk): Promise<void> {
    this.#countChunk(chunk);
    if (!this.request.stream) {
      this.#text += chunk.text;
      return;
    }
    this.#startStream();
    const piece = this.#templateForVersions().render(chunk.text);
    this.recorder?.add(Buffer.from(piece));
    const belowHighWaterMark = this.reply.raw.write(piece);
    if (!belowHighWaterMark) await waitForDrain(this.reply.raw, this.signal);
  }

  /** What is left to send with the last chunk; its use is recorded first. */
  last(chunk: Chunk): string {
    this.#countChunk(chunk);
    this.promptTokens = chunk.promptTokens;
    const remainder = this.request.stream
      ? this.#finalEvents(chunk)
      : JSON.stringify(this.#whole(this.#text + chunk.text, chunk));
    this.recorder?.add(Buffer.from(remainder));
    return remainder;
  }

  /** The answer as kept for resends. */
  outcome(): O.Option<ClaimOutcome> {
    const type = this.request.stream ? STREAM_TYPE : JSON_TYPE;
    const { recorder } = this;
    return recorder ? O.some(recorder.outcome(200, type)) : O.none;
  }

  /** Ends the answer whole with what `last` left to send. */
  finish(remainder: string) {
    if (!this.request.stream) {
      this.reply.header("x-request-id", this.admitted.id);
      this.reply.type(JSON_TYPE).send(remainder);
      return;
    }
    this.#startStream();
    this.reply.raw.end(remainder);
  }

  /** Ends a stream with an explicit error, and without `[DONE]`. */
  fail(refusal: Refusal) {
    this.reply.raw.end(`event: error\n${event(refusalBody(refusal))}`);
  }

  #countChunk(chunk: Chunk) {
    this.outputTokens += chunk.tokens;
    this.#versions.add(chunk.weightVersion);
  }

  #startStream() {
    if (this.streamStarted) return;
    this.streamStarted = true;
    this.reply.hijack();
    this.reply.raw.writeHead(200, {
      "content-type": STREAM_TYPE,
      "cache-control": "no-cache",
      "x-request-id": this.admitted.id,
    });
  }

  /** What is around a piece's text; the same until the versions change. */
  #templateForVersions(): EventTemplate {
    const versions = this.#versions.size;
    if (this.#chunkTemplate?.versions !== versions) {
      const sample = event(this.#streamedChunk("", null));
      this.#chunkTemplate = new EventTemplate(sample, { versions });
    }
    return this.#chunkTemplate;
  }

  #head() {
    const { chat, stream, model } = this.request;
    const suffix = stream ? ".chunk" : "";
    return {
      id: this.admitted.id,
      object: chat ? `chat.completion${suffix}` : "text_completion",
      created: this.#created,
      model,
      system_fingerprint: `weights-${[...this.#versions].join("-")}`,
    };
  }

  #streamedChunk(text: string, finishReason: string | null) {
    const content = this.request.chat
      ? { delta: { role: "assistant", content: text } }
      : { text };
    const choice = { index: 0, ...content, finish_reason: finishReason };
    return { ...this.#head(), choices: [choice] };
  }

  #finalEvents(chunk: Chunk): string {
    const piece = this.#streamedChunk(chunk.text, chunk.finishReason);
    const usage = this.request.includeUsage
      ? event({ ...this.#head(), choices: [], usage: this.#usageFields() })
      : "";
    return `${event(piece)}${usage}data: [DONE]\n\n`;
  }

  #whole(text: string, { finishReason }: Chunk) {
    const content = this.request.chat
      ? { message: { role: "assistant", content: text } }
      : { text };
    const choice = { index: 0, ...content, finish_reason: finishReason };
    return { ...this.#head(), choices: [choice], usage: this.#usageFields() };
  }

  #usageFields() {
    return {
      prompt_tokens: this.promptTokens,
      completion_tokens: this.outputTokens,
      total_tokens: this.promptTokens + this.outputTokens,
    };
  }
}

/** An event cut open where its text goes, so that it's serialized once. */
class EventTemplate {
  readonly versions: number;
  readonly #before: string;
  readonly #after: string;

  /** Opens `sample`, whose last empty string is the text's place. */
  constructor(sample: string, options: { versions: number }) {
    this.versions = options.versions;
    const textPosition = sample.lastIndexOf('""');
    this.#before = sample.slice(0, textPosition);
    this.#after = sample.slice(textPosition + '""'.length);
  }

  /** The event with this text. */
  render(text: string): string {
    return this.#before + JSON.stringify(text) + this.#after;
  }
}

function event(data: unknown): string {
  return `data: ${JSON.stringify(data)}\n\n`;
}

/** Waits until a slow caller has taken what was written. */
function waitForDrain(
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
