/**
 * Simulates the load behaviour of a model engine: continuous batching with a
 * time per token that grows with the batch, a bounded prefix cache whose events
 * may be lost, pauses for weight swaps, and crashes. It generates no text.
 *
 * @module
 */

import type { CacheEvent, Load } from "../src/outside/mod.ts";
import type { Random } from "../src/bench/random.ts";
import type { Timeline } from "./timeline.ts";

/** Decode and prefill times of an engine, and how batching slows them down. */
export const TOKEN_MS = 20;
export const BATCH_SLOWDOWN_PER_REQUEST = 0.03;
export const PREFILL_MS_PER_TOKEN = 0.25;

/** Tokens per block of the prefix cache. */
export const BLOCK_TOKENS = 64;

/** Minimum number of recent cache events that are retained for readers. */
const MIN_RETAINED_EVENTS = 2048;

/** A request submitted to an engine. */
export interface EngineJob {
  readonly organisation: string;
  readonly prefixes: readonly string[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Called with the number of tokens generated since the last call. */
  readonly onTokens: (tokens: number) => void;
  readonly onStart: () => void;
  readonly onFirst: () => void;
  /** Called once when the job ends; `completed` is false after a crash. */
  readonly onEnd: (completed: boolean) => void;
}

interface RunningJob {
  readonly job: EngineJob;
  readonly prefillMs: number;
  readonly workMs: number;
  /** Work done, in milliseconds of an engine that runs only this job. */
  done: number;
  tokens: number;
}

/** A simulated engine. */
export class EngineModel {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly #timeline: Timeline;
  readonly #random: Random;
  readonly #cacheBlocks: number;
  readonly #loss: number;
  readonly #running = new Set<RunningJob>();
  readonly #queue: EngineJob[] = [];
  readonly #cached = new Set<string>();
  #events: CacheEvent[] = [];
  #seq = 0;
  #syncedAt = 0;
  #pausedUntil = 0;
  #version = 0;
  #crashed = false;
  /** Prompt blocks looked up, and how many of them were cached. */
  readonly prefixCache = { blocks: 0, hits: 0 };
  /** Slot time used, in milliseconds. */
  busyMs = 0;

  constructor(options: {
    id: string;
    availabilityZone: string;
    timeline: Timeline;
    random: Random;
    slots?: number;
    cacheBlocks?: number;
    loss?: number;
  }) {
    this.id = options.id;
    this.availabilityZone = options.availabilityZone;
    this.slots = options.slots ?? 16;
    this.#timeline = options.timeline;
    this.#random = options.random;
    this.#cacheBlocks = options.cacheBlocks ?? 600;
    this.#loss = options.loss ?? 0.05;
  }

  get crashed(): boolean {
    return this.#crashed;
  }

  /** Runs a job, or queues it when all slots are in use. */
  submit(job: EngineJob): void {
    if (this.#crashed) return job.onEnd(false);
    this.#queue.push(job);
    this.#update();
  }

  /** Removes a queued job; returns false if it is not in the queue. */
  cancelQueued(job: EngineJob): boolean {
    const index = this.#queue.indexOf(job);
    if (index < 0) return false;
    this.#queue.splice(index, 1);
    return true;
  }

  /** Returns the current load. */
  load(): Load {
    return {
      running: this.#running.size,
      queued: this.#queue.length,
      slots: this.slots,
      weightVersion: 1,
      adapters: [],
    };
  }

  /** Returns the cache events after `seq`. */
  events(seq: number): readonly CacheEvent[] {
    return this.#events.filter((event) => event.seq > seq);
  }

  /** Pauses token generation, as a weight swap does. */
  pause(ms: number): void {
    this.sync();
    this.#pausedUntil = this.#timeline.now + ms;
    this.#timeline.after(ms, () => this.#update());
  }

  /** Crashes the engine; running and queued jobs are lost. */
  crash(): void {
    this.sync();
    this.#crashed = true;
    this.#version += 1;
    const jobs = [...this.#running].map(({ job }) => job);
    for (const job of [...jobs, ...this.#queue.splice(0)]) job.onEnd(false);
    this.#running.clear();
  }

  /** Advances all running jobs to the current time. */
  sync(): void {
    const { now } = this.#timeline;
    const from = Math.max(this.#syncedAt, this.#pausedUntil);
    const passed = Math.max(0, now - from);
    this.busyMs += this.#running.size * (now - this.#syncedAt);
    this.#syncedAt = now;
    if (passed === 0) return;
    const rate = this.#rate();
    for (const running of this.#running) advanceJob(running, passed * rate);
  }

  #rate(): number {
    return 1 /
      (1 + BATCH_SLOWDOWN_PER_REQUEST * Math.max(0, this.#running.size - 1));
  }

  #update(): void {
    if (this.#crashed) return;
    this.sync();
    for (const running of [...this.#running]) {
      if (running.done < running.workMs - 1e-6) continue;
      this.#running.delete(running);
      running.job.onEnd(true);
    }
    while (this.#running.size < this.slots && this.#queue.length > 0) {
      this.#start(this.#queue.shift() as EngineJob);
    }
    this.#schedule();
  }

  #start(job: EngineJob): void {
    const missed = this.#cachePrefixes(job.prefixes);
    const cached = (job.prefixes.length - missed) * BLOCK_TOKENS;
    const prefillMs = Math.max(1, job.promptTokens - cached) *
      PREFILL_MS_PER_TOKEN;
    const workMs = prefillMs + job.outputTokens * TOKEN_MS;
    this.#running.add({ job, prefillMs, workMs, done: 0, tokens: 0 });
    job.onStart();
  }

  #schedule(): void {
    this.#version += 1;
    if (this.#running.size === 0) return;
    const version = this.#version;
    let least = Infinity;
    for (const running of this.#running) {
      const first = running.prefillMs + TOKEN_MS;
      const next = running.done < first - 1e-6 ? first : running.workMs;
      least = Math.min(least, next - running.done);
    }
    const wait = Math.max(0, this.#pausedUntil - this.#timeline.now);
    this.#timeline.after(wait + least / this.#rate() + 1e-6, () => {
      if (this.#version === version) this.#update();
    });
  }

  #cachePrefixes(prefixes: readonly string[]): number {
    let held = 0;
    while (held < prefixes.length && this.#cached.has(prefixes[held])) held++;
    this.prefixCache.blocks += prefixes.length;
    this.prefixCache.hits += held;
    for (const prefix of prefixes) {
      if (!this.#cached.delete(prefix)) this.#emit(prefix, true);
      this.#cached.add(prefix);
    }
    for (const oldest of this.#cached) {
      if (this.#cached.size <= this.#cacheBlocks) break;
      this.#cached.delete(oldest);
      this.#emit(oldest, false);
    }
    return prefixes.length - held;
  }

  #emit(prefix: string, cached: boolean): void {
    this.#seq += 1;
    if (this.#random.next() < this.#loss) return;
    this.#events.push({ seq: this.#seq, prefix, cached });
    if (this.#events.length > 2 * MIN_RETAINED_EVENTS) {
      this.#events = this.#events.slice(-MIN_RETAINED_EVENTS);
    }
  }
}

function advanceJob(running: RunningJob, byMs: number): void {
  const { job, prefillMs, workMs } = running;
  const before = running.done;
  running.done = Math.min(workMs, before + byMs);
  const generated = Math.max(0, running.done - prefillMs) / TOKEN_MS;
  job.onTokens(generated - running.tokens);
  running.tokens = generated;
  const first = prefillMs + TOKEN_MS - 1e-6;
  if (before < first && running.done >= first) job.onFirst();
}
