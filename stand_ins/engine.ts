/**
 * A stand-in for a model engine: continuous batching over a few slots, a
 * priority queue, a prefix cache, weight swaps during generations, and faults
 * on demand.
 *
 * @module
 */

import fastify, {
  type FastifyInstance,
  type FastifyReply,
  type FastifyRequest,
} from "fastify";
import { createHash } from "node:crypto";
import type { AddressInfo } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { prefixHashes } from "../src/outside/prefix_hashes.ts";
import { uniform } from "./hash_random.ts";
import { type HistoryEvent, HistoryWriter } from "./history.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** Characters per generated token. */
const TOKEN_CHARS = 5;

/** Faults of an engine stand-in; each use of a count lowers it by one. */
export interface Behaviour {
  /** Streams and responses stall; connections stay open. */
  readonly silent: boolean;
  /** Refuses generations without running them. */
  readonly refuse: boolean;
  /** Limit that it names in its answers, in requests a second; 0 for none. */
  readonly limitPerS: number;
  /** Whether it says in its answers that it leaves. */
  readonly leaving: boolean;
  /** Number of weight swaps to fail. */
  readonly failSwaps: number;
  /** Number of generations to answer with another request's id. */
  readonly cross: number;
  /** Number of generations to end without the last chunk. */
  readonly truncate: number;
  /** Number of generations whose connection closes midway. */
  readonly breaks: number;
}

/** Options of an engine stand-in. */
export interface EngineOptions {
  readonly port?: number;
  readonly name?: string;
  readonly history?: string;
  readonly sink?: (event: HistoryEvent) => void;
  readonly slots?: number;
  /** Duration of a decoding step, which generates one token per request. */
  readonly tokenMs?: number;
  /** Prefill time of a prompt block that is not cached. */
  readonly blockMs?: number;
  /** Capacity of the prefix cache, in blocks. */
  readonly cacheBlocks?: number;
  /** Probability that a cache event is lost. */
  readonly eventLoss?: number;
  /** Delay of cache events and of the reported load. */
  readonly lagMs?: number;
  readonly seed?: number;
  readonly weightVersion?: number;
  /** Whether orders with a stale term are refused. */
  readonly fenced?: boolean;
  /** The weight store to load from; without it, loading just takes `loadMs`. */
  readonly weightStore?: string;
  readonly loadMs?: number;
  /** A prompt that contains this text crashes the engine; off if empty. */
  readonly crashMarker?: string;
  /** Ends the process; by default the server and its connections close. */
  readonly onCrash?: () => void;
}

/** A running engine stand-in. */
export interface EngineStandIn {
  readonly url: string;
  readonly port: number;
  behave(behaviour: Partial<Behaviour>): void;
  /** Closes all connections and stops listening. */
  crash(): void;
  close(): Promise<void>;
}

interface CompletionBody {
  readonly request_id: string;
  readonly model: string;
  readonly prompt: string;
  readonly resume: string;
  readonly max_tokens: number;
  readonly seed: number;
  readonly priority: number;
}

/** One request in the queue or in the batch. */
interface Run {
  readonly seq: number;
  readonly body: CompletionBody;
  readonly reply: FastifyReply;
  readonly marker: string;
  /** Position of the next token in the complete text, in tokens. */
  position: number;
  readonly end: number;
  readonly stop: boolean;
  prefillEndsAt: number;
  /** Tokens generated so far per weight version, in order. */
  versions: { version: number; tokens: number }[];
  breaksAt: number;
  readonly truncated: boolean;
}

/** Starts an engine stand-in on loopback. */
export async function startEngine(
  options: EngineOptions = {},
): Promise<EngineStandIn> {
  const engine = new EngineServer(options);
  await engine.server.listen({ host: "127.0.0.1", port: options.port ?? 0 });
  const { port } = engine.server.server.address() as AddressInfo;
  return {
    url: `http://127.0.0.1:${port}`,
    port,
    behave: (behaviour) => engine.behave(behaviour),
    crash: () => engine.crash(),
    close: () => engine.close(),
  };
}

class EngineServer {
  readonly server: FastifyInstance = fastify({
    bodyLimit: 16 << 20,
    forceCloseConnections: true,
  });
  readonly #options: EngineOptions;
  readonly #history: HistoryWriter;
  readonly #cache: PrefixCache;
  readonly #timer: NodeJS.Timeout;
  #behaviour: Behaviour = {
    silent: false,
    refuse: false,
    limitPerS: 0,
    leaving: false,
    failSwaps: 0,
    cross: 0,
    truncate: 0,
    breaks: 0,
  };
  #seq = 0;
  #queue: readonly Run[] = [];
  #batch: readonly Run[] = [];
  #version: number;
  #term = 0;
  #loadingVersion = 0;
  #loads: readonly { at: number; load: Record<string, unknown> }[] = [];
  #crashed = false;

  constructor(options: EngineOptions) {
    this.#options = options;
    this.#version = options.weightVersion ?? 1;
    this.#history = new HistoryWriter({
      at: options.name ?? "engine",
      file: options.history,
      sink: options.sink,
    });
    this.#cache = new PrefixCache({
      blocks: options.cacheBlocks ?? 1024,
      loss: options.eventLoss ?? 0,
      seed: options.seed ?? 0,
    });
    this.#timer = setInterval(() => this.#step(), options.tokenMs ?? 5);
    this.#serve();
  }

  behave(behaviour: Partial<Behaviour>): void {
    this.#behaviour = { ...this.#behaviour, ...behaviour };
    this.#history.record("behaviour", { behaviour: this.#behaviour });
  }

  crash(): void {
    this.#crashed = true;
    for (const run of this.#batch) this.#end(run, "crashed");
    for (const run of this.#queue) this.#end(run, "crashed");
    this.#history.record("down");
    clearInterval(this.#timer);
    if (this.#options.onCrash) return this.#options.onCrash();
    this.server.server.closeAllConnections();
    this.server.close();
  }

  async close(): Promise<void> {
    clearInterval(this.#timer);
    if (!this.#crashed) await this.server.close();
  }

  #serve(): void {
    const { server } = this;
    server.addHook("onRequest", async () => {
      while (this.#behaviour.silent && !this.#crashed) await sleep(20);
    });
    server.post(
      "/v1/completions",
      (request, reply) => this.#receive(request, reply),
    );
    server.get("/load", () => ({ ...this.#delayedLoad(), ...this.#notice() }));
    server.get("/events", ({ query }) => {
      const after = Number((query as { after?: string }).after ?? 0);
      return { events: this.#cache.events(after, this.#options.lagMs ?? 0) };
    });
    server.post("/weights", ({ body }, reply) => {
      const order = body as { model: string; version: number; term: number };
      return this.#orderWeights(order, reply);
    });
    server.post("/behaviour", ({ body }) => {
      this.behave(body as Partial<Behaviour>);
      return { ok: true };
    });
    server.post("/crash", (_request, reply) => {
      reply.hijack();
      this.crash();
    });
  }

  #receive(request: FastifyRequest, reply: FastifyReply): unknown {
    const body = request.body as CompletionBody;
    const { request_id: id, model, prompt, priority } = body;
    this.#history.record("received", {
      id,
      model,
      prompt,
      priority,
      resumed: body.resume.length,
      rawHeaders: request.raw.rawHeaders,
      connection: request.socket.remotePort,
    });
    if (this.#behaviour.refuse) {
      this.#history.record("refused", { id });
      return reply.code(429).send({ message: "Engine takes no work" });
    }
    reply.hijack();
    const { limit_per_s: limitPerS, leaving } = this.#notice();
    reply.raw.writeHead(200, {
      "content-type": "text/event-stream",
      ...limitPerS === undefined ? {} : { "upstream-limit": `${limitPerS}` },
      ...leaving ? { "upstream-leaving": "1" } : {},
    });
    reply.raw.flushHeaders();
    const run = this.#run(body, reply);
    reply.raw.on("close", () => this.#cancel(run));
    this.#queue = [...this.#queue, run].sort((a, b) =>
      b.body.priority - a.body.priority || a.seq - b.seq
    );
    this.#admitQueued();
  }

  #run(body: CompletionBody, reply: FastifyReply): Run {
    const position = Math.floor(body.resume.length / TOKEN_CHARS);
    const length = lengthInTokens(body);
    const longest = position + body.max_tokens;
    const crossed = this.#use("cross");
    const breaks = this.#use("breaks");
    return {
      seq: ++this.#seq,
      body,
      reply,
      marker: crossed ? `${body.request_id}-other` : body.request_id,
      position,
      end: Math.max(position + 1, Math.min(length, longest)),
      stop: length <= longest,
      prefillEndsAt: 0,
      versions: [],
      breaksAt: breaks ? position + 3 : Infinity,
      truncated: this.#use("truncate"),
    };
  }

  /** Decrements a fault's count; returns `false` if it is already 0. */
  #use(count: "failSwaps" | "cross" | "truncate" | "breaks"): boolean {
    const left = this.#behaviour[count];
    if (left <= 0) return false;
    this.#behaviour = { ...this.#behaviour, [count]: left - 1 };
    return true;
  }

  /** Admits queued requests to the batch's free slots, by priority. */
  #admitQueued(): void {
    const free = (this.#options.slots ?? 8) - this.#batch.length;
    const next = this.#queue.slice(0, free);
    if (next.length === 0) return;
    this.#queue = this.#queue.slice(next.length);
    this.#batch = [...this.#batch, ...next];
    for (const run of next) this.#startRun(run);
  }

  #startRun(run: Run): void {
    const { request_id: id, prompt } = run.body;
    const blocks = prefixHashes(prompt);
    const missed = this.#cache.use(blocks);
    run.prefillEndsAt = performance.now() +
      missed * (this.#options.blockMs ?? 0);
    this.#history.record("started", {
      id,
      version: this.#version,
      cached: blocks.length - missed,
      missed,
    });
    const marker = this.#options.crashMarker ?? "";
    if (marker !== "" && prompt.includes(marker)) {
      setImmediate(() => {
        if (!this.#crashed) this.crash();
      });
    }
  }

  /** Runs one decoding step: one token for each request in the batch. */
  #step(): void {
    if (this.#behaviour.silent) return;
    const now = performance.now();
    for (const run of this.#batch) {
      if (run.prefillEndsAt <= now) this.#decode(run);
    }
    this.#admitQueued();
  }

  #decode(run: Run): void {
    if (run.position >= run.breaksAt) {
      this.#end(run, "broken");
      run.reply.raw.destroy();
      return;
    }
    const text = tokenOf(run.body, run.position);
    run.position += 1;
    this.#countToken(run);
    const last = run.position >= run.end;
    if (last && run.truncated) {
      this.#end(run, "truncated");
      run.reply.raw.end();
      return;
    }
    sendChunk(run.reply, {
      id: run.marker,
      text,
      tokens: 1,
      weight_version: this.#version,
      finish_reason: last ? (run.stop ? "stop" : "length") : "",
      prompt_tokens: last ? Math.ceil(run.body.prompt.length / 4) : 0,
    });
    if (!last) return;
    this.#end(run, "finished");
    run.reply.raw.end("data: [DONE]\n\n");
  }

  #countToken(run: Run): void {
    const latest = run.versions[run.versions.length - 1];
    if (latest?.version === this.#version) latest.tokens += 1;
    else run.versions.push({ version: this.#version, tokens: 1 });
  }

  #cancel(run: Run): void {
    if (!this.#batch.includes(run) && !this.#queue.includes(run)) return;
    this.#end(run, "cancelled");
    this.#admitQueued();
  }

  #end(run: Run, kind: string): void {
    const ran = this.#batch.includes(run);
    this.#batch = this.#batch.filter((other) => other !== run);
    this.#queue = this.#queue.filter((other) => other !== run);
    this.#history.record(kind, {
      id: run.body.request_id,
      ran,
      versions: run.versions,
      position: run.position,
    });
  }

  /** What it says of itself, as in its load reports. */
  #notice(): { limit_per_s?: number; leaving: boolean } {
    const { limitPerS, leaving } = this.#behaviour;
    return limitPerS > 0 ? { limit_per_s: limitPerS, leaving } : { leaving };
  }

  #delayedLoad(): Record<string, unknown> {
    const now = performance.now();
    const load = {
      running: this.#batch.length,
      queued: this.#queue.length,
      slots: this.#options.slots ?? 8,
      weight_version: this.#version,
      adapters: [],
    };
    this.#loads = [...this.#loads, { at: now, load }];
    const visibleBefore = now - (this.#options.lagMs ?? 0);
    const visible = this.#loads.filter(({ at }) => at <= visibleBefore);
    if (visible.length > 1) this.#loads = this.#loads.slice(visible.length - 1);
    return this.#loads[0].load;
  }

  #orderWeights(
    order: { model: string; version: number; term: number },
    reply: FastifyReply,
  ): unknown {
    const accepted = !this.#options.fenced || order.term >= this.#term;
    this.#history.record("loading", { ...order, accepted });
    if (!accepted) return reply.code(409).send({ message: "Term is old" });
    this.#term = Math.max(this.#term, order.term);
    const known = [this.#loadingVersion, this.#version].includes(order.version);
    if (known) return { ok: true };
    this.#loadingVersion = order.version;
    this.#loadWeights(order.version).catch(() => {});
    return { ok: true };
  }

  async #loadWeights(version: number): Promise<void> {
    const store = this.#options.weightStore;
    if (store) await fetch(`${store}/${version}`);
    await sleep(this.#options.loadMs ?? 20);
    if (this.#crashed || this.#loadingVersion !== version) return;
    this.#loadingVersion = 0;
    if (this.#use("failSwaps")) {
      this.#history.record("swap failed", { version });
      return;
    }
    this.#version = version;
    this.#history.record("swapped", { version });
  }
}

function sendChunk(reply: FastifyReply, chunk: unknown): void {
  reply.raw.write(`data: ${JSON.stringify(chunk)}\n\n`);
}

/** Length of the text: as the prompt requests, else pseudo-random. */
function lengthInTokens(body: CompletionBody): number {
  const requested = /\[tokens=(\d+)\]/.exec(body.prompt);
  if (requested) return Number(requested[1]);
  return 8 + Math.floor(24 * uniform(body.seed, body.prompt));
}

/** The token at a position; the same on every engine. */
export function tokenOf(
  body: { seed: number; prompt: string },
  position: number,
): string {
  const digest = createHash("sha256")
    .update(`${body.seed}/${position}/${body.prompt}`)
    .digest("hex");
  return ` ${digest.slice(0, TOKEN_CHARS - 1)}`;
}
