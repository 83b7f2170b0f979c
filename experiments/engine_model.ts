/**
 * A load model of a model engine: continuous batching whose time per token
 * grows with the batch, a bounded prefix memory with events that get lost,
 * pauses for weight swaps, and crashes. It serves no text.
 *
 * @module
 */

import type { CacheEvent, Load } from "../src/outside/mod.ts";
import type { Random } from "../src/bench/random.ts";
import type { Timeline } from "./timeline.ts";

/** Times of an engine. */
export const TOKEN_MS = 20;
export const BATCH_SLOPE = 0.03;
export const PREFILL_MS_PER_TOKEN = 0.25;

/** Tokens of one block of the prefix memory. */
export const BLOCK_TOKENS = 64;

/** Cache events kept for late readers. */
const KEPT_EVENTS = 2048;

/** A request as an engine sees it. */
export interface Job {
  readonly tenant: string;
  readonly prefixes: readonly string[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Called with tokens as they are made. */
  readonly onTokens: (tokens: number) => void;
  readonly onStart: () => void;
  readonly onFirst: () => void;
  /** Called once; `whole` is false after a crash. */
  readonly onEnd: (whole: boolean) => void;
}

interface Running {
  readonly job: Job;
  readonly prefill: number;
  readonly work: number;
  /** Work done, in milliseconds of an engine that runs nothing else. */
  done: number;
  tokens: number;
}

/** One engine. */
export class EngineModel {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly #timeline: Timeline;
  readonly #random: Random;
  readonly #blocks: number;
  readonly #loss: number;
  readonly #running = new Set<Running>();
  readonly #queue: Job[] = [];
  readonly #cached = new Set<string>();
  #events: CacheEvent[] = [];
  #seq = 0;
  #syncedAt = 0;
  #pausedUntil = 0;
  #version = 0;
  #dead = false;
  /** Blocks asked for, and of them those that were cached. */
  readonly prompts = { blocks: 0, hits: 0 };
  /** Slot-milliseconds used. */
  busyMs = 0;

  constructor(options: {
    id: string;
    availabilityZone: string;
    timeline: Timeline;
    random: Random;
    slots?: number;
    blocks?: number;
    loss?: number;
  }) {
    this.id = options.id;
    this.availabilityZone = options.availabilityZone;
    this.slots = options.slots ?? 16;
    this.#timeline = options.timeline;
    this.#random = options.random;
    this.#blocks = options.blocks ?? 600;
    this.#loss = options.loss ?? 0.05;
  }

  get dead(): boolean {
    return this.#dead;
  }

  /** Runs a job, or queues it when all slots are in use. */
  submit(job: Job): void {
    if (this.#dead) return job.onEnd(false);
    this.#queue.push(job);
    this.#turn();
  }

  /** Takes back a job that still waits here. */
  withdraw(job: Job): boolean {
    const index = this.#queue.indexOf(job);
    if (index < 0) return false;
    this.#queue.splice(index, 1);
    return true;
  }

  /** The load now. */
  load(): Load {
    return {
      running: this.#running.size,
      queued: this.#queue.length,
      slots: this.slots,
      weightVersion: 1,
      adapters: [],
    };
  }

  /** Cache events after `seq`. */
  events(seq: number): readonly CacheEvent[] {
    return this.#events.filter((event) => event.seq > seq);
  }

  /** Stops making tokens for a while, as a weight swap does. */
  pause(ms: number): void {
    this.sync();
    this.#pausedUntil = this.#timeline.now + ms;
    this.#timeline.after(ms, () => this.#turn());
  }

  /** Crashes: everything that ran or waited is lost. */
  crash(): void {
    this.sync();
    this.#dead = true;
    this.#version += 1;
    const jobs = [...this.#running].map(({ job }) => job);
    for (const job of [...jobs, ...this.#queue.splice(0)]) job.onEnd(false);
    this.#running.clear();
  }

  /** Counts the tokens made up to now. */
  sync(): void {
    const { now } = this.#timeline;
    const from = Math.max(this.#syncedAt, this.#pausedUntil);
    const passed = Math.max(0, now - from);
    this.busyMs += this.#running.size * (now - this.#syncedAt);
    this.#syncedAt = now;
    if (passed === 0) return;
    const rate = this.#rate();
    for (const running of this.#running) advance(running, passed * rate);
  }

  #rate(): number {
    return 1 / (1 + BATCH_SLOPE * Math.max(0, this.#running.size - 1));
  }

  #turn(): void {
    if (this.#dead) return;
    this.sync();
    for (const running of [...this.#running]) {
      if (running.done < running.work - 1e-6) continue;
      this.#running.delete(running);
      running.job.onEnd(true);
    }
    while (this.#running.size < this.slots && this.#queue.length > 0) {
      this.#start(this.#queue.shift() as Job);
    }
    this.#schedule();
  }

  #start(job: Job): void {
    const missed = this.#cache(job.prefixes);
    const cached = (job.prefixes.length - missed) * BLOCK_TOKENS;
    const prefill = Math.max(1, job.promptTokens - cached) *
      PREFILL_MS_PER_TOKEN;
    const work = prefill + job.outputTokens * TOKEN_MS;
    this.#running.add({ job, prefill, work, done: 0, tokens: 0 });
    job.onStart();
  }

  #schedule(): void {
    this.#version += 1;
    if (this.#running.size === 0) return;
    const version = this.#version;
    let least = Infinity;
    for (const running of this.#running) {
      const first = running.prefill + TOKEN_MS;
      const next = running.done < first - 1e-6 ? first : running.work;
      least = Math.min(least, next - running.done);
    }
    const wait = Math.max(0, this.#pausedUntil - this.#timeline.now);
    this.#timeline.after(wait + least / this.#rate() + 1e-6, () => {
      if (this.#version === version) this.#turn();
    });
  }

  #cache(prefixes: readonly string[]): number {
    let held = 0;
    while (held < prefixes.length && this.#cached.has(prefixes[held])) held++;
    this.prompts.blocks += prefixes.length;
    this.prompts.hits += held;
    for (const prefix of prefixes) {
      if (!this.#cached.delete(prefix)) this.#emit(prefix, true);
      this.#cached.add(prefix);
    }
    for (const oldest of this.#cached) {
      if (this.#cached.size <= this.#blocks) break;
      this.#cached.delete(oldest);
      this.#emit(oldest, false);
    }
    return prefixes.length - held;
  }

  #emit(prefix: string, cached: boolean): void {
    this.#seq += 1;
    if (this.#random.next() < this.#loss) return;
    this.#events.push({ seq: this.#seq, prefix, cached });
    if (this.#events.length > 2 * KEPT_EVENTS) {
      this.#events = this.#events.slice(-KEPT_EVENTS);
    }
  }
}

function advance(running: Running, by: number): void {
  const { job, prefill, work } = running;
  const before = running.done;
  running.done = Math.min(work, before + by);
  const made = Math.max(0, running.done - prefill) / TOKEN_MS;
  job.onTokens(made - running.tokens);
  running.tokens = made;
  const first = prefill + TOKEN_MS - 1e-6;
  if (before < first && running.done >= first) job.onFirst();
}
