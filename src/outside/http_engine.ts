/**
 * Model engines over HTTP: streams of server-sent events with a bound on
 * silence, and short calls for load, cache events and weights.
 *
 * @module
 */

import { StringDecoder } from "node:string_decoder";
import { Err, Ok, type Result } from "ts-results";
import { type Dispatcher, Pool } from "undici";
import { z } from "zod";
import { type Clock, SystemClock } from "../kernel/mod.ts";
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

const CONNECT_TIMEOUT_MS = 1000;
const SILENCE_MS = 5000;
/** An unused connection is closed after this time. */
const IDLE_TIMEOUT_MS = 4000;
/** Connections to an upstream that wasn't used for this time are dropped. */
const FORGET_MS = 15_000;
const MAX_EVENT_CHARS = 1 << 20;

const load = z.object({
  running: z.number(),
  queued: z.number(),
  slots: z.number(),
  weight_version: z.number(),
  adapters: z.array(z.string()),
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
  readonly #silenceMs: number;
  readonly #clock: Clock;
  readonly #upstreams = new Map<string, Upstream>();
  #forgotAt = -Infinity;

  constructor(options: { silenceMs?: number; clock?: Clock } = {}) {
    super();
    this.#silenceMs = options.silenceMs ?? SILENCE_MS;
    this.#clock = options.clock ?? new SystemClock();
  }

  async *generate(
    target: Target,
    generation: Generation,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Chunk, EngineFailure>, void, void> {
    if (signal.aborted) return yield cancelled();
    const upstream = this.#upstream(target);
    const stream = new Stream({
      clock: this.#clock,
      silenceMs: this.#silenceMs,
      signal,
    });
    let body: Dispatcher.ResponseData["body"] | undefined;
    let whole = false;
    try {
      const response = await upstream.send(generation, stream.signal);
      body = response.body;
      const status = response.statusCode;
      if (status !== 200) return yield await refused(status, body, stream);
      const parser = new Parser();
      stream.expect();
      const reading = body.iterator({ destroyOnReturn: false });
      for await (const data of reading) {
        stream.pause();
        for (const event of parser.push(data as Buffer)) {
          const chunk = chunkOf(event);
          if (chunk === undefined) return yield broken("Chunk is malformed");
          if (chunk.id !== generation.id) {
            return yield broken(`Chunk is marked "${chunk.id}"`);
          }
          whole = chunk.finishReason !== "";
          yield Ok(chunk);
          if (whole) return;
        }
        if (signal.aborted) return yield cancelled();
        stream.expect();
      }
      yield Err({
        kind: EngineFault.Truncated,
        message: "Stream ended without its last chunk",
      });
    } catch (error) {
      // A connection that went silent may have silent ones beside it.
      if (stream.silent) upstream.renew();
      yield Err(stream.failure(error));
    } finally {
      stream.end();
      // Reading to the end lets the connection be used again; any other end
      // must close it, which cancels the generation at the engine.
      if (whole) body?.dump().catch(() => stream.abort());
      else stream.abort();
    }
  }

  async load(target: Target): Promise<Result<Load, Failure>> {
    const answer = await this.#upstream(target).endpoint.call({
      method: "GET",
      path: "/load",
      answer: load,
    });
    return answer.map(({ weight_version: weightVersion, ...rest }) => ({
      ...rest,
      weightVersion,
    }));
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

  #upstream(target: Target): Upstream {
    const now = this.#clock.now();
    const { address } = target;
    const known = this.#upstreams.get(address);
    const upstream = known ?? new Upstream(address);
    upstream.usedAt = now;
    if (known === undefined) this.#upstreams.set(address, upstream);
    if (now - this.#forgotAt > FORGET_MS) this.#forget(now);
    return upstream;
  }

  #forget(now: number): void {
    this.#forgotAt = now;
    for (const [address, upstream] of this.#upstreams) {
      if (now - upstream.usedAt < FORGET_MS) continue;
      this.#upstreams.delete(address);
      upstream.close();
    }
  }
}

/** The connections to one upstream. */
class Upstream {
  usedAt = 0;
  readonly endpoint: HttpEndpoint;
  readonly #origin: string;
  /** Made with the first generation: many daemons only read loads. */
  #pool: Pool | undefined;

  constructor(address: string) {
    this.#origin = `http://${address}`;
    this.endpoint = new HttpEndpoint({ url: this.#origin });
  }

  send(
    generation: Generation,
    signal: AbortSignal,
  ): Promise<Dispatcher.ResponseData> {
    this.#pool ??= this.#connect();
    return this.#pool.request({
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

  /** New requests get new connections; running ones end on theirs. */
  renew(): void {
    const old = this.#pool;
    this.#pool = undefined;
    old?.close().catch(() => old.destroy());
  }

  /** Closes once running requests ended. */
  close(): void {
    this.renew();
    this.endpoint.close().catch(() => {});
  }

  async destroy(): Promise<void> {
    await Promise.all([this.#pool?.destroy(), this.endpoint.close()]);
  }

  // Streams are bounded by `Stream`, not by the library's own timers.
  #connect(): Pool {
    return new Pool(this.#origin, {
      connections: null,
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: IDLE_TIMEOUT_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }
}

/** Bounds one stream's silence and says why it was aborted. */
class Stream {
  readonly #clock: Clock;
  readonly #silenceMs: number;
  readonly #outer: AbortSignal;
  readonly #abort = new AbortController();
  readonly #follow = () => this.#abort.abort();
  #stop = () => {};
  silent = false;

  constructor(options: {
    clock: Clock;
    silenceMs: number;
    signal: AbortSignal;
  }) {
    this.#clock = options.clock;
    this.#silenceMs = options.silenceMs;
    this.#outer = options.signal;
    this.#outer.addEventListener("abort", this.#follow, { once: true });
    this.expect();
  }

  get signal(): AbortSignal {
    return this.#abort.signal;
  }

  /** From now on, data is due within the bound. */
  expect(): void {
    this.#stop();
    this.#stop = this.#clock.after(this.#silenceMs, () => {
      this.silent = true;
      this.#abort.abort();
    });
  }

  /** Nothing is due while the reader is at work. */
  pause(): void {
    this.#stop();
  }

  end(): void {
    this.#stop();
    this.#outer.removeEventListener("abort", this.#follow);
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

/** Splits a stream of server-sent events into their data. */
class Parser {
  readonly #decoder = new StringDecoder("utf8");
  #rest = "";

  push(data: Buffer): readonly string[] {
    const lines = (this.#rest + this.#decoder.write(data)).split("\n");
    this.#rest = lines.pop() ?? "";
    if (this.#rest.length > MAX_EVENT_CHARS) {
      throw new RangeError("Event is too long");
    }
    return lines
      .filter((line) => line.startsWith("data:"))
      .map((line) => line.slice("data:".length).trim())
      .filter((event) => event !== "[DONE]");
  }
}

function chunkOf(event: string): Chunk | undefined {
  const wire = parse(event);
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

function parse(event: string): Record<string, unknown> | undefined {
  try {
    const wire: unknown = JSON.parse(event);
    return typeof wire === "object" && wire !== null
      ? wire as Record<string, unknown>
      : undefined;
  } catch {
    // The caller gives the verdict: a malformed chunk breaks the stream.
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
  stream: Stream,
): Promise<Result<Chunk, EngineFailure>> {
  stream.expect();
  const text = (await body.text()).slice(0, 200);
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
