/**
 * Sends the response of one completion to the caller, as a single JSON
 * document or as server-sent events.
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

/** The response of one completion, in the format of the OpenAI API. */
export class CompletionResponse {
  readonly reply: FastifyReply;
  readonly request: CompletionRequest;
  readonly admitted: Admitted;
  promptTokens = 0;
  outputTokens = 0;
  withdrawn = false;
  /** Whether the headers of a streamed response have been sent. */
  streamStarted = false;
  /** Records the response if it is to be replayed to resends. */
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

  /** Aborts the generation because its key was withdrawn. */
  abortForWithdrawnKey() {
    this.withdrawn = true;
    this.#abort.abort();
  }

  /** Sends a chunk if the response is streamed, else buffers it. */
  async add(chunk: Chunk): Promise<void> {
    this.#countChunk(chunk);
    if (!this.request.stream) {
      this.#text += chunk.text;
      return;
    }
    this.#startStream();
    const serialized = this.#templateForVersions().render(chunk.text);
    this.recorder?.add(Buffer.from(serialized));
    const belowHighWaterMark = this.reply.raw.write(serialized);
    if (!belowHighWaterMark) await waitForDrain(this.reply.raw, this.signal);
  }

  /** Returns the rest of the response; usage is recorded before it is sent. */
  last(chunk: Chunk): string {
    this.#countChunk(chunk);
    this.promptTokens = chunk.promptTokens;
    const remainder = this.request.stream
      ? this.#finalEvents(chunk)
      : JSON.stringify(this.#completeBody(this.#text + chunk.text, chunk));
    this.recorder?.add(Buffer.from(remainder));
    return remainder;
  }

  /** The recorded outcome for resends; `None` without a recorder. */
  outcome(): O.Option<ClaimOutcome> {
    const type = this.request.stream ? STREAM_TYPE : JSON_TYPE;
    const { recorder } = this;
    return recorder ? O.some(recorder.outcome(200, type)) : O.none;
  }

  /** Completes the response with the rest that `last` returned. */
  finish(remainder: string) {
    if (!this.request.stream) {
      this.reply.header("x-request-id", this.admitted.id);
      this.reply.type(JSON_TYPE).send(remainder);
      return;
    }
    this.#startStream();
    this.reply.raw.end(remainder);
  }

  /** Ends a stream with an `error` event and without `[DONE]`. */
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

  /** Template of a chunk's event; reused until a new weight version occurs. */
  #templateForVersions(): EventTemplate {
    const versions = this.#versions.size;
    if (this.#chunkTemplate?.versions !== versions) {
      const sample = event(this.#streamedChunk("", null));
      this.#chunkTemplate = new EventTemplate(sample, { versions });
    }
    return this.#chunkTemplate;
  }

  #commonFields() {
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
    return { ...this.#commonFields(), choices: [choice] };
  }

  #finalEvents(chunk: Chunk): string {
    const lastChunk = this.#streamedChunk(chunk.text, chunk.finishReason);
    const usage = this.request.includeUsage
      ? event({
        ...this.#commonFields(),
        choices: [],
        usage: this.#usageFields(),
      })
      : "";
    return `${event(lastChunk)}${usage}data: [DONE]\n\n`;
  }

  #completeBody(text: string, { finishReason }: Chunk) {
    const content = this.request.chat
      ? { message: { role: "assistant", content: text } }
      : { text };
    const choice = { index: 0, ...content, finish_reason: finishReason };
    return {
      ...this.#commonFields(),
      choices: [choice],
      usage: this.#usageFields(),
    };
  }

  #usageFields() {
    return {
      prompt_tokens: this.promptTokens,
      completion_tokens: this.outputTokens,
      total_tokens: this.promptTokens + this.outputTokens,
    };
  }
}

/** A serialized event with a gap for the text, to avoid reserialization. */
class EventTemplate {
  readonly versions: number;
  readonly #before: string;
  readonly #after: string;

  /** The text replaces the last empty string in the event `sample`. */
  constructor(sample: string, options: { versions: number }) {
    this.versions = options.versions;
    const textPosition = sample.lastIndexOf('""');
    this.#before = sample.slice(0, textPosition);
    this.#after = sample.slice(textPosition + '""'.length);
  }

  /** Returns the event with this text. */
  render(text: string): string {
    return this.#before + JSON.stringify(text) + this.#after;
  }
}

function event(data: unknown): string {
  return `data: ${JSON.stringify(data)}\n\n`;
}

/** Waits until the socket's write buffer has drained, or for an abort. */
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
