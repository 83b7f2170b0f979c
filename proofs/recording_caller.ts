/**
 * A caller that sends requests to any entry and records the answers.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { Agent, type Dispatcher, request } from "undici";
import { tokenOf } from "../stand_ins/engine.ts";
import type { Recorder } from "./recorder.ts";
import { requestMarker } from "./request_checkers.ts";

const REQUEST_TIMEOUT_MS = 20_000;

/** The key that a caller sends, and the organisation that it belongs to. */
export interface Credentials {
  /** Empty if the key is not valid. */
  readonly organisation: string;
  readonly keyId: string;
  readonly secret: string;
}

/** A completion request to a model route. */
export interface CompletionOptions {
  readonly route: string;
  readonly model: string;
  readonly tokens: number;
  readonly stream: boolean;
  /** Appended to the prompt. */
  readonly note?: string;
  /** The same for all resends of a request; random by default. */
  readonly id?: string;
}

/** Sends requests and records how they end. */
export class RecordingCaller {
  readonly #name: string;
  readonly #recorder: Recorder;
  readonly #agent = new Agent({ connections: 64, pipelining: 1 });

  constructor(options: { name: string; recorder: Recorder }) {
    this.#name = options.name;
    this.#recorder = options.recorder;
  }

  /** Sends a completion request to `entry` and reads the complete answer. */
  async complete(
    entry: string,
    options: { credentials: Credentials; completion: CompletionOptions },
  ): Promise<void> {
    const { credentials, completion } = options;
    const id = completion.id ?? randomUUID();
    const prompt = `${requestMarker(id)} [tokens=${completion.tokens}] ` +
      (completion.note ?? "");
    this.#recorder.record("asked", {
      at: this.#name,
      id,
      route: completion.route,
      tenant: credentials.organisation,
      keyId: credentials.keyId,
      idempotencyKey: "",
      expected: expectedText({ seed: 7, prompt }, completion.tokens),
    });
    const body = {
      model: completion.model,
      prompt,
      max_tokens: 1 + completion.tokens,
      seed: 7,
      stream: completion.stream,
    };
    await this.#send(id, {
      url: `${entry}/v1/completions`,
      method: "POST",
      headers: headersOf(credentials),
      body: JSON.stringify(body),
    }, completion.stream ? readStream : readCompletion);
  }

  /** Sends a request to a plain service; omits an empty idempotency key. */
  async call(
    entry: string,
    options: { credentials: Credentials; path: string; idempotencyKey: string },
  ): Promise<boolean> {
    const id = randomUUID();
    const { credentials, path, idempotencyKey } = options;
    this.#recorder.record("asked", {
      at: this.#name,
      id,
      route: path,
      tenant: credentials.organisation,
      keyId: credentials.keyId,
      idempotencyKey,
      expected: "",
    });
    const key: Record<string, string> = idempotencyKey === ""
      ? {}
      : { "idempotency-key": idempotencyKey };
    // Resends must be identical, so they carry no marker of their own.
    const requestPath = idempotencyKey === ""
      ? `${path}/${encodeURIComponent(requestMarker(id))}`
      : `${path}/${idempotencyKey}`;
    return await this.#send(id, {
      url: entry + requestPath,
      method: "POST",
      headers: { ...headersOf(credentials), ...key },
      body: JSON.stringify({ idempotencyKey }),
    }, (text) => ({ text, tokens: 0 }));
  }

  /** Closes the caller's connections. */
  async close(): Promise<void> {
    await this.#agent.destroy();
  }

  async #send(
    id: string,
    sent: {
      url: string;
      method: Dispatcher.HttpMethod;
      headers: Record<string, string>;
      body: string;
    },
    read: (text: string) => ParsedResponse,
  ): Promise<boolean> {
    const at = this.#name;
    const startedAt = performance.now();
    let started = false;
    let text = "";
    try {
      const response = await request(sent.url, {
        method: sent.method,
        headers: sent.headers,
        body: sent.body,
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
      });
      started = true;
      response.body.setEncoding("utf8");
      for await (const part of response.body) text += part;
      const afterMs = performance.now() - startedAt;
      const ending = response.statusCode === 200
        ? read(text)
        : readRefusal(text);
      if ("reason" in ending) {
        const status = response.statusCode;
        this.#recorder.record("refused", {
          at,
          id,
          status,
          afterMs,
          ...ending,
        });
        return false;
      }
      if ("why" in ending) {
        this.#recorder.record("cut", { at, id, clean: true, ...ending });
        return false;
      }
      const replayed = response.headers["idempotency-replayed"] !== undefined;
      this.#recorder.record("answered", {
        at,
        id,
        text: ending.text,
        outputTokens: ending.tokens,
        replayed,
      });
      return true;
    } catch (error) {
      const why = String(error);
      if (started) this.#recorder.record("cut", { at, id, why, clean: false });
      else this.#recorder.record("lost", { at, id, why });
      return false;
    }
  }
}

type ParsedResponse =
  | { readonly text: string; readonly tokens: number }
  | { readonly verdict: string; readonly reason: string }
  | { readonly why: string };

/** The text that engine stand-ins generate for a prompt. */
export function expectedText(
  body: { seed: number; prompt: string },
  tokens: number,
): string {
  return Array.from({ length: tokens }, (_, at) => tokenOf(body, at)).join("");
}

function headersOf(credentials: Credentials): Record<string, string> {
  const headers = {
    "content-type": "application/json",
    "x-tenant": "forged",
    "x-toucanwind-tenant": "forged",
  };
  if (credentials.secret === "") return headers;
  return { ...headers, authorization: `Bearer ${credentials.secret}` };
}

function readRefusal(text: string): ParsedResponse {
  try {
    const { error } = JSON.parse(text) as {
      error: { verdict: string; reason: string };
    };
    return { verdict: error.verdict, reason: error.reason };
  } catch {
    return { why: `An error without a verdict: "${text.slice(0, 80)}"` };
  }
}

function readCompletion(text: string): ParsedResponse {
  const body = JSON.parse(text) as {
    choices: { text: string }[];
    usage: { completion_tokens: number };
  };
  return {
    text: body.choices[0].text,
    tokens: body.usage.completion_tokens,
  };
}

/** Parses a stream's events; without `[DONE]` at its end it is incomplete. */
function readStream(text: string): ParsedResponse {
  const events = text.split("\n")
    .filter((line) => line.startsWith("data: "))
    .map((line) => line.slice("data: ".length));
  if (events.at(-1) !== "[DONE]") {
    const last = events.at(-1) ?? "";
    return last.includes('"error"')
      ? readRefusal(last)
      : { why: `The stream ended with "${text.slice(-80)}"` };
  }
  const chunks = events.slice(0, -1).map((event) =>
    JSON.parse(event) as { choices: { text: string }[] }
  );
  const texts = chunks.map((chunk) => chunk.choices[0]?.text ?? "");
  const tokens = texts.filter((text) => text !== "").length;
  return { text: texts.join(""), tokens };
}
