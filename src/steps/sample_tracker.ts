/**
 * Where each sample of a step stands. Counts are kept up as samples change,
 * so that no question costs a walk over the whole step.
 *
 * @module
 */

import type { Bitmap } from "./cursor.ts";
import { EMPTY_SAMPLE, type Sample } from "./sample.ts";
import type { GroupProgress } from "./sequence.ts";
import { type Position, positions, type StepSpec } from "./spec.ts";

/** Where one sample of a step stands. */
export enum Stage {
  Pending = "pending",
  Running = "running",
  /** Whole, and not known to have reached the trainer. */
  Whole = "whole",
  /** In the trainer's hands, as its cursor says. */
  Held = "held",
}

/** A sample of a step with its state. */
export interface Slot extends Position {
  readonly number: number;
  readonly stage: Stage;
  readonly sample: Sample;
  /** Ends the run that makes the sample. */
  readonly run?: AbortController;
}

/** The samples of one group, by stage. */
class Group {
  readonly number: number;
  readonly pending = new Set<number>();
  readonly running = new Set<number>();
  whole = 0;
  wholeTokens = 0;

  constructor(options: { number: number }) {
    this.number = options.number;
  }
}

/** All samples of a step. */
export class Board {
  readonly #slots: Slot[];
  readonly #groups: readonly Group[];
  readonly #whole = new Set<number>();
  /** Pending samples that were begun elsewhere and go on first. */
  readonly #begun = new Set<number>();
  readonly #counts = new Map<Stage, number>(
    Object.values(Stage).map((stage) => [stage, 0]),
  );
  #wholeTokens = 0;
  #ended = 0;

  constructor(options: {
    spec: StepSpec;
    held: Bitmap;
    samples: ReadonlyMap<number, Sample>;
  }) {
    const { spec, held, samples } = options;
    this.#groups = spec.groups.map((_, number) => new Group({ number }));
    this.#slots = positions(spec).map((position, number) => {
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
    for (const slot of this.#slots) this.#enter(slot);
  }

  /** Number of samples. */
  get size(): number {
    return this.#slots.length;
  }

  /** The samples by number. */
  get slots(): readonly Slot[] {
    return this.#slots;
  }

  /** The sample with this number. */
  slot(number: number): Slot {
    return this.#slots[number];
  }

  /** How many samples are at `stage`. */
  count(stage: Stage): number {
    return this.#counts.get(stage) ?? 0;
  }

  /** Changes a sample: the one place where its state is applied. */
  update(number: number, change: Partial<Omit<Slot, "number">>): void {
    const before = this.#slots[number];
    const after = { ...before, ...change };
    if (after.stage === before.stage && after.stage === Stage.Running) {
      this.#slots[number] = after;
      return;
    }
    this.#leave(before);
    this.#slots[number] = after;
    this.#enter(after);
  }

  /** Whole samples that the trainer does not hold, by number. */
  whole(): readonly Slot[] {
    return [...this.#whole].sort((a, b) => a - b)
      .map((number) => this.#slots[number]);
  }

  /** A pending sample that was begun before, if there is one. */
  begun(): Slot | undefined {
    const [number] = this.#begun;
    return number === undefined ? undefined : this.#slots[number];
  }

  /** The first pending sample of a group. */
  pending(group: number): Slot | undefined {
    const [number] = this.#groups[group].pending;
    return number === undefined ? undefined : this.#slots[number];
  }

  /** The groups that have pending samples. */
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

  /** Mean tokens of the samples that came to their end here, or `undefined`. */
  meanTokens(): number | undefined {
    return this.#ended === 0 ? undefined : this.#wholeTokens / this.#ended;
  }

  /** Tokens so far of a group's longest run; 1 for one that only started. */
  #longestRunning(group: Group): number {
    let longest = 0;
    for (const number of group.running) {
      longest = Math.max(longest, this.#slots[number].sample.tokens, 1);
    }
    return longest;
  }

  #enter(slot: Slot): void {
    this.#tally(slot.stage, 1);
    const group = this.#groups[slot.group];
    const { number, sample } = slot;
    if (slot.stage === Stage.Pending) {
      group.pending.add(number);
      if (sample.tokens > 0) this.#begun.add(number);
    }
    if (slot.stage === Stage.Running) group.running.add(number);
    if (slot.stage !== Stage.Whole) return;
    this.#whole.add(number);
    group.whole++;
    group.wholeTokens += sample.tokens;
    this.#ended++;
    this.#wholeTokens += sample.tokens;
  }

  // What became whole stays in the means: it tells lengths to come.
  #leave(slot: Slot): void {
    this.#tally(slot.stage, -1);
    const group = this.#groups[slot.group];
    group.pending.delete(slot.number);
    group.running.delete(slot.number);
    this.#begun.delete(slot.number);
    this.#whole.delete(slot.number);
  }

  #tally(stage: Stage, change: number): void {
    this.#counts.set(stage, this.count(stage) + change);
  }
}

function stageOf(sample: Sample, held: Bitmap, number: number): Stage {
  if (held.has(number)) return Stage.Held;
  return sample.finishReason === "" ? Stage.Pending : Stage.Whole;
}
