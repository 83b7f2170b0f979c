/**
 * Tracks the stage of each sample of a step. Counts are updated as samples
 * change, so that queries do not iterate over all samples.
 *
 * @module
 */

import type { Bitmap } from "./cursor.ts";
import { EMPTY_SAMPLE, type Sample } from "./sample.ts";
import type { GroupProgress } from "./sequence.ts";
import { type SamplePosition, samplePositions, type StepSpec } from "./spec.ts";

/** Stage of a sample. */
export enum SampleStage {
  Pending = "pending",
  Running = "running",
  /** Complete, and not known to have reached the trainer. */
  Whole = "whole",
  /** Held by the trainer, according to its cursor. */
  Held = "held",
}

/** A sample of a step with its position and stage. */
export interface SampleSlot extends SamplePosition {
  readonly number: number;
  readonly stage: SampleStage;
  readonly sample: Sample;
  /** Aborts the run that generates the sample. */
  readonly run?: AbortController;
}

/** The samples of one group by stage. */
class GroupCounts {
  readonly number: number;
  readonly pending = new Set<number>();
  readonly running = new Set<number>();
  whole = 0;
  wholeTokens = 0;

  constructor(options: { number: number }) {
    this.number = options.number;
  }
}

/** The samples of a step and their counts by stage. */
export class SampleTracker {
  readonly #slots: SampleSlot[];
  readonly #groups: readonly GroupCounts[];
  readonly #whole = new Set<number>();
  /** Pending samples with tokens from an earlier run; these run first. */
  readonly #resumable = new Set<number>();
  readonly #counts = new Map<SampleStage, number>(
    Object.values(SampleStage).map((stage) => [stage, 0]),
  );
  /** Tokens and number of samples completed so far, also of discarded ones. */
  #completedTokens = 0;
  #ended = 0;

  constructor(options: {
    spec: StepSpec;
    held: Bitmap;
    samples: ReadonlyMap<number, Sample>;
  }) {
    const { spec, held, samples } = options;
    this.#groups = spec.groups.map((_, number) => new GroupCounts({ number }));
    this.#slots = samplePositions(spec).map((position, number) => {
      const sample = held.has(number)
        ? EMPTY_SAMPLE
        : samples.get(number) ?? EMPTY_SAMPLE;
      return {
        ...position,
        number,
        sample,
        stage: stageOf(sample, held, number),
      };
    });
    for (const slot of this.#slots) this.#addToCounts(slot);
  }

  /** Number of samples. */
  get size(): number {
    return this.#slots.length;
  }

  /** All samples, by sample number. */
  get slots(): readonly SampleSlot[] {
    return this.#slots;
  }

  /** The sample with this number. */
  slot(number: number): SampleSlot {
    return this.#slots[number];
  }

  /** Number of samples in `stage`. */
  count(stage: SampleStage): number {
    return this.#counts.get(stage) ?? 0;
  }

  /** Changes a sample; all changes pass here, so that the counts stay right. */
  update(number: number, change: Partial<Omit<SampleSlot, "number">>): void {
    const before = this.#slots[number];
    const after = { ...before, ...change };
    if (after.stage === before.stage && after.stage === SampleStage.Running) {
      this.#slots[number] = after;
      return;
    }
    this.#removeFromCounts(before);
    this.#slots[number] = after;
    this.#addToCounts(after);
  }

  /** Complete samples that the trainer does not hold, ordered by number. */
  whole(): readonly SampleSlot[] {
    return [...this.#whole].sort((a, b) => a - b)
      .map((number) => this.#slots[number]);
  }

  /** A pending sample that already has tokens, if there is one. */
  nextResumable(): SampleSlot | undefined {
    const [number] = this.#resumable;
    return number === undefined ? undefined : this.#slots[number];
  }

  /** The first pending sample of a group. */
  pending(group: number): SampleSlot | undefined {
    const [number] = this.#groups[group].pending;
    return number === undefined ? undefined : this.#slots[number];
  }

  /** Progress of the groups that have pending samples. */
  records(): readonly GroupProgress[] {
    return this.#groups.filter(({ pending }) => pending.size > 0)
      .map((group) => ({
        group: group.number,
        pending: group.pending.size,
        whole: group.whole,
        wholeTokens: group.wholeTokens,
        longestRunning: this.#longestRunning(group),
      }));
  }

  /** Mean tokens of the samples completed so far; `undefined` without any. */
  meanTokens(): number | undefined {
    return this.#ended === 0 ? undefined : this.#completedTokens / this.#ended;
  }

  /** Tokens so far of a group's longest run, at least 1; 0 without a run. */
  #longestRunning(group: GroupCounts): number {
    let longest = 0;
    for (const number of group.running) {
      longest = Math.max(longest, this.#slots[number].sample.tokens, 1);
    }
    return longest;
  }

  #addToCounts(slot: SampleSlot): void {
    this.#adjustCount(slot.stage, 1);
    const group = this.#groups[slot.group];
    const { number, sample } = slot;
    if (slot.stage === SampleStage.Pending) {
      group.pending.add(number);
      if (sample.tokens > 0) this.#resumable.add(number);
    }
    if (slot.stage === SampleStage.Running) group.running.add(number);
    if (slot.stage !== SampleStage.Whole) return;
    this.#whole.add(number);
    group.whole++;
    group.wholeTokens += sample.tokens;
    this.#ended++;
    this.#completedTokens += sample.tokens;
  }

  // Completed samples stay in the means, which predict lengths of later ones.
  #removeFromCounts(slot: SampleSlot): void {
    this.#adjustCount(slot.stage, -1);
    const group = this.#groups[slot.group];
    group.pending.delete(slot.number);
    group.running.delete(slot.number);
    this.#resumable.delete(slot.number);
    this.#whole.delete(slot.number);
  }

  #adjustCount(stage: SampleStage, change: number): void {
    this.#counts.set(stage, this.count(stage) + change);
  }
}

function stageOf(sample: Sample, held: Bitmap, number: number): SampleStage {
  if (held.has(number)) return SampleStage.Held;
  return sample.finishReason === "" ? SampleStage.Pending : SampleStage.Whole;
}
