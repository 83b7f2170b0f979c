/**
 * A running step on the daemon that owns it. The owner generates the samples
 * that the trainer does not hold and keeps completed ones until a cursor
 * confirms their delivery. As only the cursor decides what was delivered, two
 * owners of one step duplicate work, but deliver no sample twice.
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
import {
  type SampleSlot,
  SampleStage,
  SampleTracker,
} from "./sample_tracker.ts";
import { Bitmap } from "./cursor.ts";
import { StalenessEstimator } from "./staleness_estimator.ts";
import {
  appendChunk,
  EMPTY_SAMPLE,
  oldestVersion,
  type Sample,
} from "./sample.ts";
import { type GroupSequence, LongestFirst } from "./sequence.ts";
import { type SamplePosition, stepName, type StepSpec } from "./spec.ts";

/** A complete sample with its position in the step. */
export interface CompletedSample extends SamplePosition {
  readonly number: number;
  readonly sample: Sample;
}

/** Configuration of a step, from its route, pool and organisation. */
export interface StepTerms {
  readonly pool: string;
  readonly model: string;
  readonly weight: number;
  readonly priority: Priority;
  readonly deadlineMs: number;
}

/** State that an owner transfers to its successor. */
export interface StepState {
  readonly spec: StepSpec;
  readonly held: Uint8Array;
  readonly version: number;
  /** Samples generated so far, complete or partial, with their numbers. */
  readonly samples: readonly (readonly [number, Sample])[];
}

/** Samples of a step that were discarded as stale, and their tokens. */
export interface DiscardedSamples {
  readonly staleSamples: number;
  readonly staleTokens: number;
}

/** Progress of a step: numbers of samples by stage. */
export interface StepProgress {
  readonly total: number;
  readonly held: number;
  readonly whole: number;
  readonly running: number;
  readonly pending: number;
  readonly waste: DiscardedSamples;
}

/** Crashes after which a sample is given up, so that its step can end. */
const MAX_SAMPLE_CRASHES = 5;

/** Finish reason of a sample that crashed upstreams; such a sample is empty. */
export const QUARANTINED_FINISH_REASON = "quarantined";

const MIN_BACKOFF_MS = 100;

/** Maximum of samples waiting for a slot, as a share of those that have one. */
const WAITING_SHARE = 0.25;

/** Samples that may always wait for a slot, whatever the share. */
const MIN_WAITING_SAMPLES = 8;

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
  readonly #tracker: SampleTracker;
  #held: Bitmap;
  #version: number;
  readonly #waitingShare: number;
  readonly #stalenessEstimator: StalenessEstimator;
  #running = 0;
  /** Runs without a token so far, which are probably waiting for a slot. */
  readonly #waiting = new Set<AbortSignal>();
  #backoffUntil = 0;
  #consecutiveFailures = 0;
  #waste: DiscardedSamples = { staleSamples: 0, staleTokens: 0 };
  #stopped = false;
  #waiters: (() => void)[] = [];
  /** Monotonic time of the trainer's last pull. */
  touchedAt: number;

  constructor(options: {
    spec: StepSpec;
    terms: StepTerms;
    generator: Generator;
    clock: Clock;
    concurrency: () => number;
    sequence?: GroupSequence;
    /** Maximum of samples waiting for a slot, as a share of those with one. */
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
    this.#waitingShare = options.waitingShare ?? WAITING_SHARE;
    this.#refused = options.onRefused ?? (() => {});
    this.#held = options.held ?? new Bitmap();
    this.#version = options.version ?? options.spec.version;
    this.touchedAt = options.clock.now();
    this.#stalenessEstimator = new StalenessEstimator({
      version: this.#version,
      now: this.touchedAt,
    });
    this.#tracker = new SampleTracker({
      spec: options.spec,
      held: this.#held,
      samples: new Map(options.samples ?? []),
    });
  }

  /** Starts samples up to the limits of concurrency and waiting. */
  startSamples(): void {
    if (this.#stopped || this.#clock.now() < this.#backoffUntil) return;
    const limit = this.#concurrency();
    while (this.#running < limit && this.#mayStartAnother()) {
      const slot = this.#nextSample();
      if (slot === undefined) return;
      void this.#runSample(slot);
    }
  }

  /** Applies which samples the trainer holds and which version it trains on. */
  acknowledge(held: Bitmap, version: number): void {
    this.touchedAt = this.#clock.now();
    const newer = version > this.#version;
    this.#stalenessEstimator.recordVersion(version, this.touchedAt);
    this.#version = Math.max(this.#version, version);
    this.#held = held;
    for (const slot of this.#tracker.slots) {
      const isHeld = held.has(slot.number);
      if (slot.stage !== SampleStage.Held && isHeld) this.#markHeld(slot);
      // The cursor is authoritative: a trainer restored from an older
      // checkpoint no longer holds samples that a later cursor contained.
      if (slot.stage === SampleStage.Held && !isHeld) {
        this.#tracker.update(slot.number, { stage: SampleStage.Pending });
      }
    }
    if (newer) {
      for (const slot of this.#tracker.slots) this.#discardIfStale(slot);
    }
    this.startSamples();
  }

  /**
   * Complete samples that the trainer does not hold, at most `max`, and at most
   * `maxBytes` of text unless the first alone exceeds it. None is staler than
   * the bound, relative to the version that the trainer last reported.
   */
  ready(limits: { max: number; maxBytes: number }): readonly CompletedSample[] {
    const ready: CompletedSample[] = [];
    let bytes = 0;
    for (const { number, group, index, sample } of this.#tracker.whole()) {
      bytes += sample.text.length;
      if (ready.length > 0 && bytes > limits.maxBytes) break;
      ready.push({ number, group, index, sample });
      if (ready.length >= limits.max) break;
    }
    return ready;
  }

  /** Whether the trainer holds every sample. */
  get complete(): boolean {
    return this.#tracker.count(SampleStage.Held) === this.#tracker.size;
  }

  /** Whether this owner has stopped working on the step. */
  get stopped(): boolean {
    return this.#stopped;
  }

  /** Numbers of samples by stage. */
  get progress(): StepProgress {
    return {
      total: this.#tracker.size,
      held: this.#tracker.count(SampleStage.Held),
      whole: this.#tracker.count(SampleStage.Whole),
      running: this.#tracker.count(SampleStage.Running),
      pending: this.#tracker.count(SampleStage.Pending),
      waste: this.#waste,
    };
  }

  /** Resolves when a run ends, the step is stopped, or after `waitMs`. */
  async changed(waitMs: number, signal: AbortSignal): Promise<void> {
    const notified = new AbortController();
    const notify = () => notified.abort();
    this.#waiters = [...this.#waiters, notify];
    await this.#clock.sleep(waitMs, AbortSignal.any([signal, notified.signal]));
    this.#waiters = this.#waiters.filter((waiter) => waiter !== notify);
  }

  /** Aborts all runs; `state` keeps what was generated so far. */
  stop(): void {
    this.#stopped = true;
    for (const slot of this.#tracker.slots) slot.run?.abort();
    this.#notifyWaiters();
  }

  /** The state from which a successor continues without regenerating tokens. */
  get state(): StepState {
    const samples = this.#tracker.slots
      .filter((slot) =>
        slot.stage !== SampleStage.Held && slot.sample.tokens > 0
      )
      .map((slot) => [slot.number, slot.sample] as const);
    return {
      spec: this.spec,
      held: this.#held.bytes,
      version: this.#version,
      samples,
    };
  }

  /**
   * Whether one more sample may wait for a slot. Waiting samples were selected
   * with less knowledge of the lengths, so only enough wait to keep slots busy.
   */
  #mayStartAnother(): boolean {
    const waiting = this.#waiting.size;
    const served = this.#running - waiting;
    return waiting < Math.max(MIN_WAITING_SAMPLES, this.#waitingShare * served);
  }

  #nextSample(): SampleSlot | undefined {
    const resumable = this.#tracker.nextResumable();
    if (resumable !== undefined) return resumable;
    const records = this.#tracker.records();
    if (records.length === 0) return undefined;
    const { stalenessBound } = this.spec;
    const tokensUntilStale = this.#stalenessEstimator.tokensUntilStale(
      stalenessBound,
      this.#clock.now(),
    );
    return this.#tracker.pending(
      this.#sequence.next(records, tokensUntilStale).group,
    );
  }

  async #runSample(slot: SampleSlot): Promise<void> {
    if (slot.sample.tokens >= this.spec.maxTokens) {
      const sample = { ...slot.sample, finishReason: "length" };
      this.#tracker.update(slot.number, { stage: SampleStage.Whole, sample });
      return this.#notifyWaiters();
    }
    const run = new AbortController();
    this.#running++;
    this.#tracker.update(slot.number, { stage: SampleStage.Running, run });
    this.#waiting.add(run.signal);
    const failure = await this.#generate(slot, run.signal);
    this.#waiting.delete(run.signal);
    this.#running--;
    this.#finishRun(slot.number, run, failure);
    this.#notifyWaiters();
    this.startSamples();
  }

  async #generate(
    slot: SampleSlot,
    signal: AbortSignal,
  ): Promise<Refusal | undefined> {
    const generation = this.#generationFor(slot);
    const demand = { ...this.#demand(slot), id: generation.id };
    const chunks = this.#generator.run(demand, generation, signal);
    let firstTokenAt = 0;
    let tokens = 0;
    for await (const item of chunks) {
      if (item.err) return item.val;
      if (signal.aborted) return undefined;
      const sample = appendChunk(
        this.#tracker.slot(slot.number).sample,
        item.val,
      );
      this.#tracker.update(slot.number, { sample });
      if (this.#waiting.delete(signal)) {
        firstTokenAt = this.#clock.now();
        this.startSamples();
      } else tokens += item.val.tokens;
      if (sample.finishReason === "") continue;
      this.#stalenessEstimator.recordRun(
        tokens,
        this.#clock.now() - firstTokenAt,
      );
    }
    return undefined;
  }

  #finishRun(
    number: number,
    run: AbortController,
    failure: Refusal | undefined,
  ): void {
    const slot = this.#tracker.slot(number);
    if (slot.run !== run) return;
    const isQuarantined = failure?.reason === Reason.Quarantined;
    // Such a sample will not run again. It is delivered as quarantined, so that
    // the step can complete.
    const sample = isQuarantined
      ? { ...EMPTY_SAMPLE, finishReason: QUARANTINED_FINISH_REASON }
      : slot.sample;
    const whole = sample.finishReason !== "";
    this.#tracker.update(number, {
      sample,
      stage: whole ? SampleStage.Whole : SampleStage.Pending,
      run: undefined,
    });
    if (whole) this.#consecutiveFailures = 0;
    else if (failure !== undefined) this.#backOff(failure);
    this.#discardIfStale(this.#tracker.slot(number));
  }

  /** Pauses the whole step, as all its samples request the same resources. */
  #backOff(refusal: Refusal): void {
    if (this.#stopped) return;
    this.#refused(refusal);
    this.#consecutiveFailures = this.#running > 0
      ? 0
      : this.#consecutiveFailures + 1;
    const backoffMs = MIN_BACKOFF_MS *
      2 ** Math.min(this.#consecutiveFailures, 5);
    const waitMs = Math.max(refusal.retryAfterMs, backoffMs) *
      (0.75 + Math.random() / 2);
    const until = this.#clock.now() + waitMs;
    if (until <= this.#backoffUntil) return;
    this.#backoffUntil = until;
    this.#clock.after(waitMs + 1, () => this.startSamples());
  }

  #generationFor(slot: SampleSlot): Generation {
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

  #demand(slot: SampleSlot): Omit<Demand, "id"> {
    const prompt = this.spec.groups[slot.group].prompt;
    return {
      pool: this.terms.pool,
      route: this.spec.route,
      tenant: this.spec.tenant,
      priority: this.terms.priority,
      weight: this.terms.weight,
      tokens: Math.ceil(prompt.length / 4) + this.#expectedOutputTokens(),
      prefixes: prefixHashes(prompt),
      remainingMs: this.terms.deadlineMs,
      minVersion: Math.max(0, this.#version - this.spec.stalenessBound),
      exclude: [],
      fingerprint: `${this.name}/${slot.number}`,
      crashLimit: MAX_SAMPLE_CRASHES,
      attempt: 0,
    };
  }

  #expectedOutputTokens(): number {
    return Math.ceil(this.#tracker.meanTokens() ?? this.spec.maxTokens / 2);
  }

  #markHeld(slot: SampleSlot): void {
    this.#tracker.update(slot.number, {
      stage: SampleStage.Held,
      sample: EMPTY_SAMPLE,
      run: undefined,
    });
    slot.run?.abort();
  }

  /** Discards a sample that is older than the staleness bound. */
  #discardIfStale(slot: SampleSlot): void {
    if (slot.stage === SampleStage.Held) return;
    const oldest = this.#version - this.spec.stalenessBound;
    if (oldestVersion(slot.sample) >= oldest) return;
    this.#waste = {
      staleSamples: this.#waste.staleSamples + 1,
      staleTokens: this.#waste.staleTokens + slot.sample.tokens,
    };
    this.#tracker.update(slot.number, {
      stage: SampleStage.Pending,
      sample: EMPTY_SAMPLE,
      run: undefined,
    });
    slot.run?.abort();
  }

  #notifyWaiters(): void {
    for (const waiter of this.#waiters) waiter();
  }
}
