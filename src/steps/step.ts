/**
 * A step under way on its owner. The owner runs the samples that the trainer
 * does not hold and keeps the whole ones until a cursor says that they
 * arrived. Nothing here decides what was delivered: that is the cursor's
 * part, so two owners of one step waste work but double nothing.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import type { Clock, Refusal } from "../kernel/mod.ts";
import type { Demand } from "../dispatch/mod.ts";
import type { Generator } from "../gateway/generate.ts";
import type { Generation } from "../platform/mod.ts";
import { blocksOf } from "../platform/prefixes.ts";
import type { Priority } from "../tables/mod.ts";
import { Bitmap } from "./cursor.ts";
import { EMPTY_SAMPLE, extend, oldestVersion, type Sample } from "./sample.ts";
import { type GroupRecord, LongestFirst, type Sequence } from "./sequence.ts";
import { type Position, positions, type Spec, stepName } from "./spec.ts";

/** Where one sample of a step stands. */
export enum Stage {
  Pending = "pending",
  Running = "running",
  /** Whole, and not known to have reached the trainer. */
  Whole = "whole",
  /** In the trainer's hands, as its cursor says. */
  Held = "held",
}

/** A whole sample with its place in the step. */
export interface Delivery extends Position {
  readonly number: number;
  readonly sample: Sample;
}

/** What the step's owner knows of its pool and tenant. */
export interface Terms {
  readonly pool: string;
  readonly model: string;
  readonly weight: number;
  readonly priority: Priority;
  readonly deadlineMs: number;
}

/** State that a leaving owner gives to its successor. */
export interface StepState {
  readonly spec: Spec;
  readonly held: Uint8Array;
  readonly version: number;
  /** Samples so far, whole or not, by sample number. */
  readonly samples: readonly (readonly [number, Sample])[];
}

/** How often samples of a step were thrown away, and why. */
export interface Waste {
  readonly staleSamples: number;
  readonly staleTokens: number;
}

/** How far a step is. */
export interface Progress {
  readonly total: number;
  readonly held: number;
  readonly whole: number;
  readonly running: number;
  readonly pending: number;
  readonly waste: Waste;
}

interface Slot extends Position {
  readonly number: number;
  readonly stage: Stage;
  readonly sample: Sample;
  readonly run?: AbortController;
}

const MIN_BACKOFF_MS = 100;

/** A step that this daemon owns. */
export class Step {
  readonly spec: Spec;
  readonly terms: Terms;
  readonly name: string;
  readonly #generator: Generator;
  readonly #clock: Clock;
  readonly #sequence: Sequence;
  readonly #concurrency: () => number;
  readonly #refused: (refusal: Refusal) => void;
  #slots: Slot[];
  #held: Bitmap;
  #version: number;
  #running = 0;
  #resumeAt = 0;
  #failures = 0;
  #waste: Waste = { staleSamples: 0, staleTokens: 0 };
  #stopped = false;
  #waiters: (() => void)[] = [];
  /** Monotonic time at which the trainer last asked. */
  touchedAt: number;

  constructor(options: {
    spec: Spec;
    terms: Terms;
    generator: Generator;
    clock: Clock;
    concurrency: () => number;
    sequence?: Sequence;
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
    this.#refused = options.onRefused ?? (() => {});
    this.#held = options.held ?? new Bitmap();
    this.#version = options.version ?? options.spec.version;
    this.touchedAt = options.clock.now();
    this.#slots = initialSlots(
      options.spec,
      this.#held,
      new Map(options.samples ?? []),
    );
  }

  /** Starts as many samples as may run now. */
  fill(): void {
    if (this.#stopped || this.#clock.now() < this.#resumeAt) return;
    const limit = this.#concurrency();
    while (this.#running < limit) {
      const slot = this.#nextSlot();
      if (slot === undefined) return;
      void this.#produce(slot);
    }
  }

  /** Takes in what the trainer holds and which version it trains on. */
  acknowledge(held: Bitmap, version: number): void {
    this.touchedAt = this.#clock.now();
    this.#version = Math.max(this.#version, version);
    this.#held = held;
    for (const slot of this.#slots) {
      const holds = held.has(slot.number);
      if (slot.stage !== Stage.Held && holds) this.#hold(slot);
      // The cursor is the truth: a trainer restored from an older checkpoint
      // no longer holds what an earlier cursor named.
      if (slot.stage === Stage.Held && !holds) {
        this.#update(slot.number, { stage: Stage.Pending });
      }
    }
    this.#dropStale();
    this.fill();
  }

  /**
   * Whole samples that the trainer does not hold, up to `maxBytes` of text
   * (at least one) and `max` in number. None is older than the bound, counted
   * from the version that the trainer itself named last.
   */
  ready(limits: { max: number; maxBytes: number }): readonly Delivery[] {
    const ready: Delivery[] = [];
    let bytes = 0;
    for (const { number, group, index, sample, stage } of this.#slots) {
      if (stage !== Stage.Whole) continue;
      bytes += sample.text.length;
      if (ready.length > 0 && bytes > limits.maxBytes) break;
      ready.push({ number, group, index, sample });
      if (ready.length >= limits.max) break;
    }
    return ready;
  }

  /** Whether the trainer holds every sample. */
  get complete(): boolean {
    return this.#slots.every((slot) => slot.stage === Stage.Held);
  }

  /** Whether this owner has ended its work on the step. */
  get stopped(): boolean {
    return this.#stopped;
  }

  /** How far the step is. */
  get progress(): Progress {
    const count = (stage: Stage) =>
      this.#slots.filter((slot) => slot.stage === stage).length;
    return {
      total: this.#slots.length,
      held: count(Stage.Held),
      whole: count(Stage.Whole),
      running: count(Stage.Running),
      pending: count(Stage.Pending),
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
    for (const slot of this.#slots) slot.run?.abort();
    this.#wake();
  }

  /** What a successor needs to go on without generating anything again. */
  get state(): StepState {
    const samples = this.#slots
      .filter((slot) => slot.stage !== Stage.Held && slot.sample.tokens > 0)
      .map((slot) => [slot.number, slot.sample] as const);
    return {
      spec: this.spec,
      held: this.#held.bytes,
      version: this.#version,
      samples,
    };
  }

  #nextSlot(): Slot | undefined {
    const started = this.#slots.find((slot) =>
      slot.stage === Stage.Pending && slot.sample.tokens > 0
    );
    if (started !== undefined) return started;
    const records = groupRecords(this.#slots);
    if (records.length === 0) return undefined;
    const group = this.#sequence.next(records).group;
    return this.#slots.find((slot) =>
      slot.stage === Stage.Pending && slot.group === group
    );
  }

  async #produce(slot: Slot): Promise<void> {
    if (slot.sample.tokens >= this.spec.maxTokens) {
      const sample = { ...slot.sample, finishReason: "length" };
      this.#update(slot.number, { stage: Stage.Whole, sample });
      return this.#wake();
    }
    const run = new AbortController();
    this.#running++;
    this.#update(slot.number, { stage: Stage.Running, run });
    const failure = await this.#generate(slot, run.signal);
    this.#running--;
    this.#settle(slot.number, run, failure);
    this.#wake();
    this.fill();
  }

  async #generate(
    slot: Slot,
    signal: AbortSignal,
  ): Promise<Refusal | undefined> {
    const generation = this.#generation(slot);
    const demand = { ...this.#demand(slot), id: generation.id };
    const chunks = this.#generator.run(demand, generation, signal);
    for await (const item of chunks) {
      if (item.err) return item.val;
      if (signal.aborted) return undefined;
      const sample = extend(this.#slots[slot.number].sample, item.val);
      this.#update(slot.number, { sample });
    }
    return undefined;
  }

  #settle(
    number: number,
    run: AbortController,
    failure: Refusal | undefined,
  ): void {
    const slot = this.#slots[number];
    if (slot.run !== run) return;
    const whole = slot.sample.finishReason !== "";
    this.#update(number, {
      stage: whole ? Stage.Whole : Stage.Pending,
      run: undefined,
    });
    if (whole) this.#failures = 0;
    else if (failure !== undefined) this.#backOff(failure);
    this.#dropStale();
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
    this.#clock.after(waitMs + 1, () => this.fill());
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
      priority: 0,
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
      prefixes: blocksOf(prompt),
      remainingMs: this.terms.deadlineMs,
      minVersion: Math.max(0, this.#version - this.spec.stalenessBound),
      exclude: [],
      fingerprint: `${this.name}/${slot.number}`,
      attempt: 0,
    };
  }

  #expectedOutput(): number {
    const whole = this.#slots.filter((slot) => slot.stage === Stage.Whole);
    if (whole.length === 0) return Math.ceil(this.spec.maxTokens / 2);
    const tokens = whole.reduce((sum, slot) => sum + slot.sample.tokens, 0);
    return Math.ceil(tokens / whole.length);
  }

  #hold(slot: Slot): void {
    this.#update(slot.number, {
      stage: Stage.Held,
      sample: EMPTY_SAMPLE,
      run: undefined,
    });
    slot.run?.abort();
  }

  /** Throws away what the trainer could no longer take. */
  #dropStale(): void {
    const oldest = this.#version - this.spec.stalenessBound;
    for (const slot of this.#slots) {
      if (slot.stage === Stage.Held) continue;
      if (oldestVersion(slot.sample) >= oldest) continue;
      this.#waste = {
        staleSamples: this.#waste.staleSamples + 1,
        staleTokens: this.#waste.staleTokens + slot.sample.tokens,
      };
      this.#update(slot.number, {
        stage: Stage.Pending,
        sample: EMPTY_SAMPLE,
        run: undefined,
      });
      slot.run?.abort();
    }
  }

  #update(number: number, change: Partial<Slot>): void {
    this.#slots[number] = { ...this.#slots[number], ...change };
  }

  #wake(): void {
    for (const waiter of this.#waiters) waiter();
  }
}

function initialSlots(
  spec: Spec,
  held: Bitmap,
  samples: ReadonlyMap<number, Sample>,
): Slot[] {
  return positions(spec).map((position, number) => {
    const sample = samples.get(number) ?? EMPTY_SAMPLE;
    const whole = sample.finishReason !== "";
    const stage = held.has(number)
      ? Stage.Held
      : whole
      ? Stage.Whole
      : Stage.Pending;
    return { ...position, number, stage, sample };
  });
}

function groupRecords(slots: readonly Slot[]): readonly GroupRecord[] {
  const records = new Map<number, GroupRecord>();
  for (const slot of slots) {
    const record = records.get(slot.group) ?? emptyRecord(slot.group);
    records.set(slot.group, addSlot(record, slot));
  }
  return [...records.values()].filter((record) => record.pending > 0);
}

function emptyRecord(group: number): GroupRecord {
  return { group, pending: 0, whole: 0, wholeTokens: 0, longestRunning: 0 };
}

function addSlot(record: GroupRecord, slot: Slot): GroupRecord {
  const { tokens } = slot.sample;
  switch (slot.stage) {
    case Stage.Pending:
      return { ...record, pending: record.pending + 1 };
    case Stage.Running:
      return {
        ...record,
        longestRunning: Math.max(record.longestRunning, tokens, 1),
      };
    case Stage.Whole:
      return {
        ...record,
        whole: record.whole + 1,
        wholeTokens: record.wholeTokens + tokens,
      };
    case Stage.Held:
      return record;
  }
}
