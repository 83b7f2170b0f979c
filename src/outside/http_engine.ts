/**
 * HTTP client of model engines: generations as streams of server-sent events
 * with a silence timeout, and short calls for load, cache events and weights.
 *
 * @module
 */

import { StringDecoder } from "node:string_decoder";
import { Err, Ok, type Result } from "ts-results";
import type { Dispatcher } from "undici";
import { z } from "zod";
import { type Clock, SystemClock } from "../kernel/mod.ts";
import {
  AnswerLimits,
  discard,
  Excess,
  ExcessiveAnswerError,
  IncompleteText,
  readStart,
} from "./answer_limits.ts";
import { faultReportingConnector } from "./fault_reporting_connector.ts";
import {
  HttpEndpoint,
  isConnectError,
  isRejectedStatus,
  messageOf,
} from "./http_endpoint.ts";
import {
  type CacheEvent,
  type Chunk,
  Engine,
  type EngineFailure,
  EngineFault,
  type Failure,
  type Generation,
  type Load,
  type Target,
} from "./mod.ts";
import { type Exchange, RequestConnections } from "./request_connections.ts";
import {
  NoticeFeed,
  type NoticeFields,
  noticeFieldsOf,
} from "./upstream_notices.ts";

const CONNECT_TIMEOUT_MS = 1000;
const SILENCE_TIMEOUT_MS = 5000;
const IDLE_TIMEOUT_MS = 4000;
/** Connections to an upstream unused for this long are closed. */
const UNUSED_UPSTREAM_MS = 15_000;
const MAX_EVENT_CHARS = 1 << 20;
const BYTES_PER_CHAR = 2;
/** What is read of a refusal, for its message. */
const MAX_REFUSAL_BYTES = 200;

const load = z.object({
  running: z.number(),
  queued: z.number(),
  slots: z.number(),
  weight_version: z.number(),
  adapters: z.array(z.string()),
  /** Requests a second that the engine takes, as in `NoticeHeader.Limit`. */
  limit_per_s: z.number().optional(),
  /** Whether the engine is about to leave. */
  leaving: z.boolean().default(false),
});

const events = z.object({
  events: z.array(z.object({
    seq: z.number(),
    prefix: z.string(),
    cached: z.boolean(),
  })),
});

const done = z.object({ ok: z.literal(true) });

/** `Engine` over HTTP. */
export class HttpEngine extends Engine {
  readonly #silenceTimeoutMs: number;
  readonly #clock: Clock;
  readonly #limits: AnswerLimits;
  readonly #notices: NoticeFeed;
  readonly #upstreams = new Map<string, UpstreamConnections>();
  #lastSweepAt = -Infinity;

  constructor(
    options: {
      silenceMs?: number;
      clock?: Clock;
      limits?: AnswerLimits;
      notices?: NoticeFeed;
    } = {},
  ) {
    super();
    this.#notices = options.notices ?? new NoticeFeed();
    this.#limits = options.limits ?? new AnswerLimits();
    this.#silenceTimeoutMs = options.silenceMs ?? SILENCE_TIMEOUT_MS;
    this.#clock = options.clock ?? new SystemClock();
  }

  async *generate(
    target: Target,
    generation: Generation,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Chunk, EngineFailure>, void, void> {
    if (signal.aborted) return yield cancelled();
    const upstream = this.#upstream(target);
    const sentAt = this.#clock.now();
    const stream = new StreamGuard({
      clock: this.#clock,
      silenceMs: this.#silenceTimeoutMs,
      signal,
    });
    let body: Dispatcher.ResponseData["body"] | undefined;
    let complete = false;
    try {
      const { response, retire } = await upstream
        .send(generation, stream.signal);
      body = response.body;
      const fields = noticeFieldsOf(response.headers);
      this.#publishNotice(target, fields, sentAt);
      const status = response.statusCode;
      if (status !== 200) {
        // A refusal names no generation: a copy of it would refuse the next one.
        retire();
        return yield await refused(status, body);
      }
      const parser = new EventParser();
      stream.startSilenceTimer();
      const reading = body.iterator({ destroyOnReturn: false });
      for await (const data of reading) {
        const events = parser.push(data as Buffer);
        this.#limits.hold(body, parser.heldBytes);
        // Bytes without an event are silence.
        if (events.length === 0) continue;
        stream.stopSilenceTimer();
        for (const event of events) {
          const chunk = parseChunk(event);
          if (chunk === undefined) return yield broken("Chunk is malformed");
          if (chunk.id !== generation.id) {
            return yield broken(`Chunk is marked "${chunk.id}"`);
          }
          complete = chunk.finishReason !== "";
          yield Ok(chunk);
          if (complete) return;
        }
        if (signal.aborted) return yield cancelled();
        stream.startSilenceTimer();
      }
      yield Err({
        kind: EngineFault.Truncated,
        message: "Stream ended without its last chunk",
      });
    } catch (error) {
      this.#limits.report(error, target.id);
      // If one connection went silent, idle ones may be silent too.
      if (stream.silent) upstream.replaceConnections();
      yield Err(stream.failure(error));
    } finally {
      if (body !== undefined) this.#limits.release(body);
      stream.end();
      // A response read to its end leaves the connection reusable. Otherwise
      // the connection is closed, which cancels the generation at the engine.
      if (complete && body !== undefined) discard(body);
      else stream.abort();
    }
  }

  async load(target: Target): Promise<Result<Load, Failure>> {
    const sentAt = this.#clock.now();
    const answer = await this.#upstream(target).endpoint.call({
      method: "GET",
      path: "/load",
      answer: load,
    });
    if (answer.err) return answer;
    const {
      weight_version: weightVersion,
      limit_per_s: limit,
      leaving,
      ...rest
    } = answer.val;
    this.#publishNotice(target, {
      limit: limit === undefined ? [] : [`${limit}`],
      leaving: leaving ? ["1"] : [],
    }, sentAt);
    return Ok({ ...rest, weightVersion });
  }

  #publishNotice({ id }: Target, fields: NoticeFields, sentAt: number): void {
    const requestAgeMs = this.#clock.now() - sentAt;
    this.#notices.publish(id, fields, { requestAgeMs });
  }

  async events(
    target: Target,
    seq: number,
  ): Promise<Result<readonly CacheEvent[], Failure>> {
    const answer = await this.#upstream(target).endpoint.call({
      method: "GET",
      path: `/events?after=${seq}`,
      answer: events,
    });
    return answer.map(({ events }) => events);
  }

  async loadWeights(target: Target, options: {
    model: string;
    version: number;
    term: number;
    signal: AbortSignal;
  }): Promise<Result<true, Failure>> {
    const { signal, ...order } = options;
    const answer = await this.#upstream(target).endpoint.call({
      method: "POST",
      path: "/weights",
      body: order,
      answer: done,
      signal,
    });
    return answer.map(() => true as const);
  }

  /** Closes all connections. */
  async close(): Promise<void> {
    const all = [...this.#upstreams.values()];
    this.#upstreams.clear();
    await Promise.all(all.map((upstream) => upstream.destroy()));
  }

  #upstream(target: Target): UpstreamConnections {
    const now = this.#clock.now();
    const { address } = target;
    const known = this.#upstreams.get(address);
    const upstream = known ??
      new UpstreamConnections({ address, limits: this.#limits });
    upstream.usedAt = now;
    if (known === undefined) this.#upstreams.set(address, upstream);
    if (now - this.#lastSweepAt > UNUSED_UPSTREAM_MS) this.#closeUnused(now);
    return upstream;
  }

  #closeUnused(now: number): void {
    this.#lastSweepAt = now;
    for (const [address, upstream] of this.#upstreams) {
      if (now - upstream.usedAt < UNUSED_UPSTREAM_MS) continue;
      this.#upstreams.delete(address);
      upstream.close();
    }
  }
}

/** Connections to one upstream. */
class UpstreamConnections {
  usedAt = 0;
  readonly endpoint: HttpEndpoint;
  readonly #origin: string;
  /** Created by the first generation, as many daemons only read loads. */
  #requests: RequestConnections | undefined;

  constructor({ address, limits }: { address: string; limits: AnswerLimits }) {
    this.#origin = `http://${address}`;
    this.endpoint = new HttpEndpoint({ url: this.#origin, limits });
  }

  send(
    generation: Generation,
    signal: AbortSignal,
  ): Promise<Exchange> {
    this.#requests ??= this.#connect();
    return this.#requests.send(generation.id, {
      method: "POST",
      path: "/v1/completions",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        request_id: generation.id,
        model: generation.model,
        prompt: generation.prompt,
        resume: generation.resume,
        max_tokens: generation.maxTokens,
        temperature: generation.temperature,
        seed: generation.seed,
        priority: generation.priority,
        stream: true,
      }),
      signal,
    });
  }

  /** New requests get new connections; running ones finish on the old. */
  replaceConnections(): void {
    this.#requests?.close();
    this.#requests = undefined;
  }

  /** Closes the connections once running requests have ended. */
  close(): void {
    this.replaceConnections();
    this.endpoint.close().catch(() => {});
  }

  async destroy(): Promise<void> {
    await Promise.all([this.#requests?.destroy(), this.endpoint.close()]);
  }

  // `StreamGuard` times out streams, so undici's own timeouts are off.
  #connect(): RequestConnections {
    return new RequestConnections({
      origin: this.#origin,
      client: {
        connect: faultReportingConnector(CONNECT_TIMEOUT_MS),
        keepAliveTimeout: IDLE_TIMEOUT_MS,
        keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
        headersTimeout: 0,
        bodyTimeout: 0,
      },
    });
  }
}

/** Aborts a stream on silence and records why it was aborted. */
class StreamGuard {
  readonly #clock: Clock;
  readonly #silenceTimeoutMs: number;
  readonly #outer: AbortSignal;
  readonly #abort = new AbortController();
  readonly #abortWithOuter = () => this.#abort.abort();
  #stop = () => {};
  silent = false;

  constructor(options: {
    clock: Clock;
    silenceMs: number;
    signal: AbortSignal;
  }) {
    this.#clock = options.clock;
    this.#silenceTimeoutMs = options.silenceMs;
    this.#outer = options.signal;
    this.#outer.addEventListener("abort", this.#abortWithOuter, { once: true });
    this.startSilenceTimer();
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** Aborts the stream unless restarted or stopped within the timeout. */
  startSilenceTimer(): void {
    this.#stop();
    this.#stop = this.#clock.after(this.#silenceTimeoutMs, () => {
      this.silent = true;
      this.#abort.abort();
    });
  }

  /** Stops the timer while the reader processes data. */
  stopSilenceTimer(): void {
    this.#stop();
  }

  end(): void {
    this.#stop();
    this.#outer.removeEventListener("abort", this.#abortWithOuter);
  }

  abort(): void {
    this.#abort.abort();
  }

  failure(error: unknown): EngineFailure {
    const message = messageOf(error);
    if (this.silent) {
      return { kind: EngineFault.Silent, message: "Upstream went silent" };
    }
    if (this.#outer.aborted) {
      return { kind: EngineFault.Cancelled, message: "Cancelled" };
    }
    if (isConnectError(error)) return { kind: EngineFault.Connect, message };
    return { kind: EngineFault.Broken, message };
  }
}

/** Extracts the data of server-sent events from a stream. */
class EventParser {
  readonly #decoder = new StringDecoder("utf8");
  readonly #partialLine = new IncompleteText();

  /** Memory for the incomplete line. */
  get heldBytes(): number {
    return BYTES_PER_CHAR * this.#partialLine.chars;
  }

  /** Throws an `ExcessiveAnswerError` if a line is too long. */
  push(data: Buffer): readonly string[] {
    const text = this.#decoder.write(data);
    this.#partialLine.add(text);
    const size = this.#partialLine.chars;
    if (!text.includes("\n")) {
      if (size <= MAX_EVENT_CHARS) return [];
      throw new ExcessiveAnswerError({ excess: Excess.Event, size });
    }
    const lines = this.#partialLine.take().split("\n");
    this.#partialLine.add(lines.pop() ?? "");
    return lines
      .filter((line) => line.startsWith("data:"))
      .map((line) => line.slice("data:".length).trim())
      .filter((event) => event !== "[DONE]");
  }
}

function parseChunk(event: string): Chunk | undefined {
  const wire = parseObject(event);
  const chunk = {
    id: wire?.id,
    text: wire?.text,
    tokens: wire?.tokens,
    weightVersion: wire?.weight_version,
    finishReason: wire?.finish_reason ?? "",
    promptTokens: wire?.prompt_tokens ?? 0,
  };
  return isChunk(chunk) ? chunk : undefined;
}

function parseObject(event: string): Record<string, unknown> | undefined {
  try {
    const wire: unknown = JSON.parse(event);
    return typeof wire === "object" && wire !== null
      ? wire as Record<string, unknown>
      : undefined;
  } catch {
    // The caller reports a malformed chunk as a broken stream.
    return undefined;
  }
}

function isChunk(
  chunk: Record<string, unknown>,
): chunk is Chunk & typeof chunk {
  return typeof chunk.id === "string" && typeof chunk.text === "string" &&
    typeof chunk.tokens === "number" &&
    typeof chunk.weightVersion === "number" &&
    typeof chunk.finishReason === "string" &&
    typeof chunk.promptTokens === "number";
}

async function refused(
  status: number,
  body: Dispatcher.ResponseData["body"],
): Promise<Result<Chunk, EngineFailure>> {
  const text = await readStart(body, MAX_REFUSAL_BYTES);
  const kind = isRejectedStatus(status)
    ? EngineFault.Refused
    : EngineFault.Broken;
  return Err({ kind, message: `Answer ${status}: ${text}` });
}

function broken(message: string): Result<Chunk, EngineFailure> {
  return Err({ kind: EngineFault.Broken, message });
}

function cancelled(): Result<Chunk, EngineFailure> {
  return Err({ kind: EngineFault.Cancelled, message: "Cancelled" });
}
