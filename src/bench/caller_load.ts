/**
 * Open-loop load of one caller: requests are sent on schedule whether or not
 * earlier ones have completed. Latency is measured from the scheduled time, so
 * a late send is included.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import { type Arrival, arrivals } from "./arrivals.ts";
import type { CallerPlan } from "./bench_plan.ts";
import type { CallerTally, TimeHistogram } from "./report.ts";

const MAX_CONNECTIONS = 1024;
const REQUEST_TIMEOUT_MS = 60_000;

/** Sends a caller's requests and records the results. */
export class CallerLoad {
  readonly #entries: readonly string[];
  readonly #plan: CallerPlan;
  readonly #tally: CallerTally;
  readonly #sendLag: TimeHistogram;
  readonly #agent = new Agent({ connections: MAX_CONNECTIONS, pipelining: 1 });
  readonly #pending = new Set<Promise<void>>();
  #next = 0;

  constructor(options: {
    entries: readonly string[];
    plan: CallerPlan;
    tally: CallerTally;
    sendLag: TimeHistogram;
  }) {
    this.#plan = options.plan;
    this.#tally = options.tally;
    this.#sendLag = options.sendLag;
    const { entry } = options.plan;
    this.#entries = entry === undefined
      ? options.entries
      : [options.entries[entry % options.entries.length]];
  }

  /** Sends all requests and resolves when the last one has ended. */
  async run(seed: number, options: { seconds: number }): Promise<void> {
    const start = performance.now();
    for (const arrival of arrivals(this.#plan, seed, options)) {
      const aheadMs = start + arrival.atMs - performance.now();
      if (aheadMs > 0) await sleep(aheadMs);
      this.#sendLag.add(performance.now() - start - arrival.atMs);
      this.#track(this.#send(arrival, start));
    }
    await Promise.all(this.#pending);
    await this.#agent.destroy();
  }

  #track(task: Promise<void>): void {
    const tracked = task.finally(() => this.#pending.delete(tracked));
    this.#pending.add(tracked);
  }

  async #send(arrival: Arrival, start: number): Promise<void> {
    const due = start + arrival.atMs;
    this.#tally.sent();
    try {
      const response = await this.#request(arrival);
      const onFirst = () =>
        this.#tally.receivedFirstToken(performance.now() - due);
      const { stream } = this.#plan;
      const answer = stream && response.statusCode === 200
        ? await readStream(response.body, onFirst)
        : readResponse(response.statusCode, await response.body.text());
      const now = performance.now();
      if ("tokens" in answer) {
        const end = { endMs: now - start, tokens: answer.tokens };
        this.#tally.answered(now - due, end);
      } else this.#tally.refused(now - due, answer);
    } catch {
      const loss = { reason: "connection_lost", verdict: "unknown" };
      this.#tally.refused(performance.now() - due, loss);
    }
  }

  #request({ prompt, seed }: Arrival) {
    const { key, model, outputTokens, stream } = this.#plan;
    const entry = this.#entries[this.#next++ % this.#entries.length];
    const authorization = key === "" ? {} : { authorization: `Bearer ${key}` };
    return request(`${entry}/v1/completions`, {
      method: "POST",
      headers: { "content-type": "application/json", ...authorization },
      body: JSON.stringify({
        model,
        prompt,
        seed,
        max_tokens: outputTokens,
        stream,
        ...stream && { stream_options: { include_usage: true } },
      }),
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
    });
  }
}

/** Result of a request: its output tokens, or why it failed. */
export type RequestResult =
  | { readonly tokens: number }
  | { readonly reason: string; readonly verdict: string };

interface CompletionEvent {
  readonly choices?: readonly { readonly text?: string }[];
  readonly usage?: { readonly completion_tokens: number } | null;
  readonly error?: { readonly reason: string; readonly verdict: string };
}

const TRUNCATED: RequestResult = { reason: "cut", verdict: "unknown" };

/** Reads a response that is not streamed. */
export function readResponse(status: number, text: string): RequestResult {
  const { error, usage } = parseEvent(text);
  if (error) return { reason: error.reason, verdict: error.verdict };
  if (status !== 200) return { reason: `http_${status}`, verdict: "unknown" };
  return usage ? { tokens: usage.completion_tokens } : TRUNCATED;
}

/**
 * Reads server-sent events up to `[DONE]`. A stream that ends without it
 * counts as truncated.
 */
export async function readStream(
  body: AsyncIterable<Uint8Array>,
  onFirst: () => void,
): Promise<RequestResult> {
  const decoder = new TextDecoder();
  let buffer = "";
  let hasFirstToken = false;
  let tokens = 0;
  for await (const part of body) {
    const lines = (buffer + decoder.decode(part, { stream: true })).split("\n");
    buffer = lines.pop() ?? "";
    for (const line of lines) {
      if (!line.startsWith("data: ")) continue;
      const data = line.slice("data: ".length);
      if (data === "[DONE]") return { tokens };
      const { choices, usage, error } = parseEvent(data);
      if (error) return { reason: error.reason, verdict: error.verdict };
      if (usage) tokens = usage.completion_tokens;
      if (hasFirstToken || !choices?.[0]?.text) continue;
      hasFirstToken = true;
      onFirst();
    }
  }
  return TRUNCATED;
}

function parseEvent(text: string): CompletionEvent {
  try {
    return JSON.parse(text) as CompletionEvent;
  } catch {
    return {};
  }
}
