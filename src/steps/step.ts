/**
 * A step under way on its owner. The owner runs the samples that the trainer
 * does not hold and keeps the whole ones until a cursor says that they
 * arrived. Nothing here decides what was delivered: that is the cursor's
 * part, so two owners of one step waste work but double nothing.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { type Clock, Reason, type Refusal } from "../kernel/mod.ts";
import type { Demand } from "../dispatch/mod.ts";
import { ENGINE_PRIORITY, type Generator } from "../gateway/generator.ts";
import type { Generation } from "../outside/mod.ts";
import { prefixHashes } from "../outside/prefix_hashes.ts";
import type { Priority } from "../tables/mod.ts";
import { Board, type Slot, Stage } from "./sample_tracker.ts";
import { Bitmap } from "./cursor.ts";
import { Pace } from "./staleness_estimator.ts";
import { EMPTY_SAMPLE, extend, oldestVersion, type Sample } from "./sample.ts";
import { type GroupSequence, LongestFirst } from "./sequence.ts";
import { type Position, stepName, type StepSpec } from "./spec.ts";

/** A whole sample with its place in the step. */
export interface CompletedSample extends Position {
  readonly number: number;
  readonly sample: Sample;
}

/** What the step's owner knows of its pool and tenant. */
export interface StepTerms {
  readonly pool: string;
  readonly model: string;
  readonly weight: number;
  readonly priority: Priority;
  readonly deadlineMs: number;
}

/** State that a leaving owner gives to its successor. */
export interface StepState {
  readonly spec: StepSpec;
  readonly held: Uint8Array;
  readonly version: number;
  /** Samples so far, whole or not, by sample number. */
  readonly samples: readonly (readonly [number, Sample])[];
}

/** How often samples of a step were thrown away, and why. */
export interface DiscardedSamples {
  readonly staleSamples: number;
  readonly staleTokens: number;
}

/** How far a step is. */
export interface StepProgress {
  readonly total: number;
  readonly held: number;
  readonly whole: number;
  readonly running: number;
  readonly pending: number;
  readonly waste: DiscardedSamples;
}

/** Finish reason of a sample that crashed upstreams: it has no text. */
export const QUARANTINED = "quarantined";

const MIN_BACKOFF_MS = 100;

/** Samples that wait for a slot, in parts of those that have one. */
const LOOKAHEAD = 0.25;

/** Samples that may wait for a slot however few have one. */
const MIN_WAITING = 8;

/** A step that this daemon owns. */
export class Step {
  readonly spec: StepSpec;
  readonly terms: StepTerms;
  readonly name: string;
  readonly #generator: Generator;
  readonly #clock: Clock;
  readonly #sequence: GroupSequence;
  readonly #concurrency: () => number;
  readonly #refused: (refusal: Refusal) => void;
  readonly #board: Board;
  #held: Bitmap;
  #version: number;
  readonly #lookahead: number;
  readonly #pace: Pace;
  #running = 0;
  /** Runs without a token yet, which probably wait for a slot. */
  readonly #waiting = new Set<AbortSignal>();
  #resumeAt = 0;
  #failures = 0;
  #waste: DiscardedSamples = { staleSamples: 0, staleTokens: 0 };
  #stopped = false;
  #waiters: (() => void)[] = [];
  /** Monotonic time at which the trainer last asked. */
  touchedAt: number;

  constructor(options: {
    spec: StepSpec;
    terms: StepTerms;
    generator: Generator;
    clock: Clock;
    concurrency: () => number;
    sequence?: GroupSequence;
    /** Samples that may wait for a slot, in parts of those that have one. */
    waitingShare?: number;
    held?: Bitmap;
    version?: number;
    samples?: readonly (readonly [number, Sample])[];
    onRefused?: (refusal: Refusal) => void;
  }) {
    this.spec = options.spec;
    this.terms = options.terms;
    this.name = stepName(options.spec);
    this.#generator = options.generator;
    this.#clock = options.clock;
    this.#concurrency = options.concurrency;
    this.#sequence = options.sequence ?? new LongestFirst();
    this.#lookahead = options.waitingShare ?? LOOKAHEAD;
    this.#refused = options.onRefused ?? (() => {});
    this.#held = options.held ?? new Bitmap();
    this.#version = options.version ?? options.spec.version;
    this.touchedAt = options.clock.now();
    this.#pace = new Pace({ version: this.#version, now: this.touchedAt });
    this.#board = new Board({
      spec: options.spec,
      held: this.#held,
      samples: new Map(options.samples ?? []),
    });
  }

  /** Starts as many samples as may run now. */
  startSamples(): void {
    if (this.#stopped || this.#clock.now() < this.#resumeAt) return;
    const limit = this.#concurrency();
    while (this.#running < limit && this.#mayWait()) {
      const slot = this.#nextSlot();
      if (slot === undefined) return;
      void this.#produce(slot);
    }
  }

  /** Takes in what the trainer holds and which version it trains on. */
  acknowledge(held: Bitmap, version: number): void {
    this.touchedAt = this.#clock.now();
    const newer = version > this.#version;
    this.#pace.named(version, this.touchedAt);
    this.#version = Math.max(this.#version, version);
    this.#held = held;
    for (const slot of this.#board.slots) {
      const holds = held.has(slot.number);
      if (slot.stage !== Stage.Held && holds) this.#hold(slot);
      // The cursor is the truth: a trainer restored from an older checkpoint
      // no longer holds what an earlier cursor named.
      if (slot.stage === Stage.Held && !holds) {
        this.#board.update(slot.number, { stage: Stage.Pending });
      }
    }
    if (newer) { for (const slot of this.#board.slots) this.#dropStale(slot); }
    this.startSamples();
  }

  /**
   * Whole samples that the trainer does not hold, up to `maxBytes` of text
   * (at least one) and `max` in number. None is older than the bound, counted
   * from the version that the trainer itself named last.
   */
  ready(limits: { max: number; maxBytes: number }): readonly CompletedSample[] {
    const ready: CompletedSample[] = [];
    let bytes = 0;
    for (const { number, group, index, sample } of this.#board.whole()) {
      bytes += sample.text.length;
      if (ready.length > 0 && bytes > limits.maxBytes) break;
      ready.push({ number, group, index, sample });
      if (ready.length >= limits.max) break;
    }
    return ready;
  }

  /** Whether the trainer holds every sample. */
  get complete(): boolean {
    return this.#board.count(Stage.Held) === this.#board.size;
  }

  /** Whether this owner has ended its work on the step. */
  get stopped(): boolean {
    return this.#stopped;
  }

  /** How far the step is. */
  get progress(): StepProgress {
    return {
      total: this.#board.size,
      held: this.#board.count(Stage.Held),
      whole: this.#board.count(Stage.Whole),
      running: this.#board.count(Stage.Running),
      pending: this.#board.count(Stage.Pending),
      waste: this.#waste,
    };
  }

  /** Resolves when a sample became whole, the step ended, or time is up. */
  async changed(waitMs: number, signal: AbortSignal): Promise<void> {
    const woken = new AbortController();
    const wake = () => woken.abort();
    this.#waiters = [...this.#waiters, wake];
    await this.#clock.sleep(waitMs, AbortSignal.any([signal, woken.signal]));
    this.#waiters = this.#waiters.filter((waiter) => waiter !== wake);
  }

  /** Ends all runs; what was generated so far stays in the state. */
  stop(): void {
    this.#stopped = true;
    for (const slot of this.#board.slots) slot.run?.abort();
    this.#wake();
  }

  /** What a successor needs to go on without generating anything again. */
  get state(): StepState {
    const samples = this.#board.slots
      .filter((slot) => slot.stage !== Stage.Held && slot.sample.tokens > 0)
      .map((slot) => [slot.number, slot.sample] as const);
    return {
      spec: this.spec,
      held: this.#held.bytes,
      version: this.#version,
      samples,
    };
  }

  /**
   * Whether one more sample may wait for a slot. What waits was picked before
   * more was known of the lengths, so only as many wait as keep slots busy.
   */
  #mayWait(): boolean {
    const waiting = this.#waiting.size;
    const served = this.#running - waiting;
    return waiting < Math.max(MIN_WAITING, this.#lookahead * served);
  }

  #nextSlot(): Slot | undefined {
    const begun = this.#board.begun();
    if (begun !== undefined) return begun;
    const records = this.#board.records();
    if (records.length === 0) return undefined;
    const { stalenessBound } = this.spec;
    const life = this.#pace.lifeTokens(stalenessBound, this.#clock.now());
    return this.#board.pending(this.#sequence.next(records, life).group);
  }

  async #produce(slot: Slot): Promise<void> {
    if (slot.sample.tokens >= this.spec.maxTokens) {
      const sample = { ...slot.sample, finishReason: "length" };
      this.#board.update(slot.number, { stage: Stage.Whole, sample });
      return this.#wake();
    }
    const run = new AbortController();
    this.#running++;
    this.#board.update(slot.number, { stage: Stage.Running, run });
    this.#waiting.add(run.signal);
    const failure = await this.#generate(slot, run.signal);
    this.#waiting.delete(run.signal);
    this.#running--;
    this.#settle(slot.number, run, failure);
    this.#wake();
    this.startSamples();
  }

  async #generate(
    slot: Slot,
    signal: AbortSignal,
  ): Promise<Refusal | undefined> {
    const generation = this.#generation(slot);
    const demand = { ...this.#demand(slot), id: generation.id };
    const chunks = this.#generator.run(demand, generation, signal);
    let begunAt = 0;
    let tokens = 0;
    for await (const item of chunks) {
      if (item.err) return item.val;
      if (signal.aborted) return undefined;
      const sample = extend(this.#board.slot(slot.number).sample, item.val);
      this.#board.update(slot.number, { sample });
      if (this.#waiting.delete(signal)) {
        begunAt = this.#clock.now();
        this.startSamples();
      } else tokens += item.val.tokens;
      if (sample.finishReason === "") continue;
      this.#pace.made(tokens, this.#clock.now() - begunAt);
    }
    return undefined;
  }

  #settle(
    number: number,
    run: AbortController,
    failure: Refusal | undefined,
  ): void {
    const slot = this.#board.slot(number);
    if (slot.run !== run) return;
    const banned = failure?.reason === Reason.Quarantined;
    // A step must not wait for what is not going to run: its trainer is told.
    const sample = banned
      ? { ...EMPTY_SAMPLE, finishReason: QUARANTINED }
      : slot.sample;
    const whole = sample.finishReason !== "";
    this.#board.update(number, {
      sample,
      stage: whole ? Stage.Whole : Stage.Pending,
      run: undefined,
    });
    if (whole) this.#failures = 0;
    else if (failure !== undefined) this.#backOff(failure);
    this.#dropStale(this.#board.slot(number));
  }

  /** One refusal pauses the whole step: its samples ask for the same thing. */
  #backOff(refusal: Refusal): void {
    if (this.#stopped) return;
    this.#refused(refusal);
    this.#failures = this.#running > 0 ? 0 : this.#failures + 1;
    const grown = MIN_BACKOFF_MS * 2 ** Math.min(this.#failures, 5);
    const waitMs = Math.max(refusal.retryAfterMs, grown) *
      (0.75 + Math.random() / 2);
    const until = this.#clock.now() + waitMs;
    if (until <= this.#resumeAt) return;
    this.#resumeAt = until;
    this.#clock.after(waitMs + 1, () => this.startSamples());
  }

  #generation(slot: Slot): Generation {
    return {
      id: `${this.name}/${slot.number}/${randomUUID()}`,
      model: this.terms.model,
      prompt: this.spec.groups[slot.group].prompt,
      resume: slot.sample.text,
      maxTokens: this.spec.maxTokens - slot.sample.tokens,
      temperature: this.spec.temperature,
      seed: this.spec.seed + slot.number,
      priority: ENGINE_PRIORITY[this.terms.priority],
    };
  }

  #demand(slot: Slot): Omit<Demand, "id"> {
    const prompt = this.spec.groups[slot.group].prompt;
    return {
      pool: this.terms.pool,
      route: this.spec.route,
      tenant: this.spec.tenant,
      priority: this.terms.priority,
      weight: this.terms.weight,
      tokens: Math.ceil(prompt.length / 4) + this.#expectedOutput(),
      prefixes: prefixHashes(prompt),
      remainingMs: this.terms.deadlineMs,
      minVersion: Math.max(0, this.#version - this.spec.stalenessBound),
      exclude: [],
      fingerprint: `${this.name}/${slot.number}`,
      attempt: 0,
    };
  }

  #expectedOutput(): number {
    return Math.ceil(this.#board.meanTokens() ?? this.spec.maxTokens / 2);
  }

  #hold(slot: Slot): void {
    this.#board.update(slot.number, {
      stage: Stage.Held,
      sample: EMPTY_SAMPLE,
      run: undefined,
    });
    slot.run?.abort();
  }

  /** Throws a sample away that the trainer could no longer take. */
  #dropStale(slot: Slot): void {
    if (slot.stage === Stage.Held) return;
    const oldest = this.#version - this.spec.stalenessBound;
    if (oldestVersion(slot.sample) >= oldest) return;
    this.#waste = {
      staleSamples: this.#waste.staleSamples + 1,
      staleTokens: this.#waste.staleTokens + slot.sample.tokens,
    };
    this.#board.update(slot.number, {
      stage: Stage.Pending,
      sample: EMPTY_SAMPLE,
      run: undefined,
    });
    slot.run?.abort();
  }

  #wake(): void {
    for (const waiter of this.#waiters) waiter();
  }
}
