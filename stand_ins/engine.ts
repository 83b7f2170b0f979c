/**
 * A stand-in for a model engine: continuous batching over a few slots, a
 * queue by priority, prefix cache, weight swaps in the middle of generations,
 * and failures on demand.
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
import { Cache } from "./cache.ts";
import { History, type HistoryEvent } from "./history.ts";
import { uniform } from "./hash_random.ts";

/** Characters of each generated token. */
const TOKEN_CHARS = 5;

/** What an engine stand-in does wrong; each count ends when it is used up. */
export interface Behaviour {
  /** Streams and answers stop, connections stay open. */
  readonly silent: boolean;
  /** Refuses generations before running them. */
  readonly refuse: boolean;
  /** Number of weight swaps to fail. */
  readonly failSwaps: number;
  /** Number of generations to answer with another request's marker. */
  readonly cross: number;
  /** Number of generations to end without their last chunk. */
  readonly truncate: number;
  /** Number of generations whose connection breaks in the middle. */
  readonly breaks: number;
}

/** How an engine stand-in behaves. */
export interface EngineOptions {
  readonly port?: number;
  readonly name?: string;
  readonly history?: string;
  readonly sink?: (event: HistoryEvent) => void;
  readonly slots?: number;
  /** Time of one decoding step, which makes one token of each request. */
  readonly tokenMs?: number;
  /** Time to read a prompt block that is not cached. */
  readonly blockMs?: number;
  /** Blocks that the prefix cache holds. */
  readonly cacheBlocks?: number;
  /** Chance that a cache event is lost. */
  readonly eventLoss?: number;
  /** How late cache events and load are. */
  readonly lagMs?: number;
  readonly seed?: number;
  readonly weightVersion?: number;
  /** Whether orders under an old term are refused. */
  readonly fenced?: boolean;
  /** The weight store to load from; without it, loading takes `loadMs`. */
  readonly weightStore?: string;
  readonly loadMs?: number;
  /** A prompt that contains it crashes the engine; off when empty. */
  readonly crashMarker?: string;
  /** Ends the process; by default the server closes with its connections. */
  readonly onCrash?: () => void;
}

/** A running engine stand-in. */
export interface EngineStandIn {
  readonly url: string;
  readonly port: number;
  behave(behaviour: Partial<Behaviour>): void;
  /** Breaks all connections and listens no more. */
  crash(): void;
  close(): Promise<void>;
}

interface Body {
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
  readonly body: Body;
  readonly reply: FastifyReply;
  readonly marker: string;
  /** Place in the whole text, in tokens, of the next token. */
  position: number;
  readonly end: number;
  readonly stop: boolean;
  readyAt: number;
  /** Tokens made so far by weight version, in order. */
  versions: { version: number; tokens: number }[];
  breaksAt: number;
  readonly truncated: boolean;
}

/** Starts an engine stand-in on loopback. */
export async function startEngine(
  options: EngineOptions = {},
): Promise<EngineStandIn> {
  const engine = new Engine(options);
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

class Engine {
  readonly server: FastifyInstance = fastify({
    bodyLimit: 16 << 20,
    forceCloseConnections: true,
  });
  readonly #options: EngineOptions;
  readonly #history: History;
  readonly #cache: Cache;
  readonly #timer: NodeJS.Timeout;
  #behaviour: Behaviour = {
    silent: false,
    refuse: false,
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
  #loading = 0;
  #loads: readonly { at: number; load: unknown }[] = [];
  #crashed = false;

  constructor(options: EngineOptions) {
    this.#options = options;
    this.#version = options.weightVersion ?? 1;
    this.#history = new History({
      at: options.name ?? "engine",
      file: options.history,
      sink: options.sink,
    });
    this.#cache = new Cache({
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
    server.get("/load", () => this.#lagged());
    server.get("/events", ({ query }) => {
      const after = Number((query as { after?: string }).after ?? 0);
      return { events: this.#cache.events(after, this.#options.lagMs ?? 0) };
    });
    server.post("/weights", ({ body }, reply) => {
      const order = body as { model: string; version: number; term: number };
      return this.#order(order, reply);
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
    const body = request.body as Body;
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
    reply.raw.writeHead(200, { "content-type": "text/event-stream" });
    reply.raw.flushHeaders();
    const run = this.#run(body, reply);
    reply.raw.on("close", () => this.#cancel(run));
    this.#queue = [...this.#queue, run].sort((a, b) =>
      b.body.priority - a.body.priority || a.seq - b.seq
    );
    this.#fill();
  }

  #run(body: Body, reply: FastifyReply): Run {
    const position = Math.floor(body.resume.length / TOKEN_CHARS);
    const length = lengthOf(body);
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
      readyAt: 0,
      versions: [],
      breaksAt: breaks ? position + 3 : Infinity,
      truncated: this.#use("truncate"),
    };
  }

  #use(count: "failSwaps" | "cross" | "truncate" | "breaks"): boolean {
    const left = this.#behaviour[count];
    if (left <= 0) return false;
    this.#behaviour = { ...this.#behaviour, [count]: left - 1 };
    return true;
  }

  /** Moves the most urgent queued requests into the batch's free slots. */
  #fill(): void {
    const free = (this.#options.slots ?? 8) - this.#batch.length;
    const next = this.#queue.slice(0, free);
    if (next.length === 0) return;
    this.#queue = this.#queue.slice(next.length);
    this.#batch = [...this.#batch, ...next];
    for (const run of next) this.#begin(run);
  }

  #begin(run: Run): void {
    const { request_id: id, prompt } = run.body;
    const blocks = prefixHashes(prompt);
    const missed = this.#cache.use(blocks);
    run.readyAt = performance.now() + missed * (this.#options.blockMs ?? 0);
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

  /** One decoding step: a token for each request in the batch. */
  #step(): void {
    if (this.#behaviour.silent) return;
    const now = performance.now();
    for (const run of this.#batch) {
      if (run.readyAt <= now) this.#decode(run);
    }
    this.#fill();
  }

  #decode(run: Run): void {
    if (run.position >= run.breaksAt) {
      this.#end(run, "broken");
      run.reply.raw.destroy();
      return;
    }
    const text = tokenOf(run.body, run.position);
    run.position += 1;
    this.#label(run);
    const last = run.position >= run.end;
    if (last && run.truncated) {
      this.#end(run, "truncated");
      run.reply.raw.end();
      return;
    }
    send(run.reply, {
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

  #label(run: Run): void {
    const latest = run.versions[run.versions.length - 1];
    if (latest?.version === this.#version) latest.tokens += 1;
    else run.versions.push({ version: this.#version, tokens: 1 });
  }

  #cancel(run: Run): void {
    if (!this.#batch.includes(run) && !this.#queue.includes(run)) return;
    this.#end(run, "cancelled");
    this.#fill();
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

  #lagged(): unknown {
    const now = performance.now();
    const load = {
      running: this.#batch.length,
      queued: this.#queue.length,
      slots: this.#options.slots ?? 8,
      weight_version: this.#version,
      adapters: [],
    };
    this.#loads = [...this.#loads, { at: now, load }];
    const seen = now - (this.#options.lagMs ?? 0);
    const old = this.#loads.filter(({ at }) => at <= seen);
    if (old.length > 1) this.#loads = this.#loads.slice(old.length - 1);
    return this.#loads[0].load;
  }

  #order(
    order: { model: string; version: number; term: number },
    reply: FastifyReply,
  ): unknown {
    const accepted = !this.#options.fenced || order.term >= this.#term;
    this.#history.record("loading", { ...order, accepted });
    if (!accepted) return reply.code(409).send({ message: "Term is old" });
    this.#term = Math.max(this.#term, order.term);
    const known = [this.#loading, this.#version].includes(order.version);
    if (known) return { ok: true };
    this.#loading = order.version;
    this.#load(order.version).catch(() => {});
    return { ok: true };
  }

  async #load(version: number): Promise<void> {
    const store = this.#options.weightStore;
    if (store) await fetch(`${store}/${version}`);
    await sleep(this.#options.loadMs ?? 20);
    if (this.#crashed || this.#loading !== version) return;
    this.#loading = 0;
    if (this.#use("failSwaps")) {
      this.#history.record("swap failed", { version });
      return;
    }
    this.#version = version;
    this.#history.record("swapped", { version });
  }
}

function send(reply: FastifyReply, chunk: unknown): void {
  reply.raw.write(`data: ${JSON.stringify(chunk)}\n\n`);
}

/** The text's length in tokens: as the prompt demands, or drawn from it. */
function lengthOf(body: Body): number {
  const demanded = /\[tokens=(\d+)\]/.exec(body.prompt);
  if (demanded) return Number(demanded[1]);
  return 8 + Math.floor(24 * uniform(body.seed, body.prompt));
}

/** The token at a place; the same on each engine. */
export function tokenOf(
  body: { seed: number; prompt: string },
  position: number,
): string {
  const digest = createHash("sha256")
    .update(`${body.seed}/${position}/${body.prompt}`)
    .digest("hex");
  return ` ${digest.slice(0, TOKEN_CHARS - 1)}`;
}
