/**
 * Compares orders in which the samples of a step start, with the production
 * `Step` on a simulated pool: slots shared by several trainers, heavy-tailed
 * output lengths by group, and weight swaps during steps.
 * `node dist/experiments/step_policies.js FILE [POLICY;POLICY] [BOUND...]`
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { Ok, type Result } from "ts-results";
import type { Demand } from "../src/dispatch/mod.ts";
import { Generator } from "../src/gateway/generator.ts";
import { ManualClock, type Refusal } from "../src/kernel/mod.ts";
import type { Chunk, Generation } from "../src/outside/mod.ts";
import {
  Bitmap,
  GroupSequence,
  LongestFirst,
  Step,
  type StepSpec,
  SubmissionOrder,
} from "../src/steps/mod.ts";
import type { GroupProgress } from "../src/steps/sequence.ts";
import { Priority } from "../src/tables/mod.ts";
import { Random } from "../src/bench/random.ts";

const SEEDS = [1, 2, 3, 4, 5, 6];
const TRAINER_COUNT = 3;
const STEPS_PER_TRAINER = 3;
const GROUPS_PER_STEP = 64;
const SAMPLES_PER_GROUP = 8;
const SLOTS = 96;
/** Samples that a step may have running or queued, per slot of the pool. */
const IN_FLIGHT_PER_SLOT = 1.5;
const TICK_MS = 1_000;
const TOKENS_PER_TICK = 50;
const MAX_TOKENS = 8_000;
const PUBLISH_INTERVAL_MS = 60_000;
const SWAP_DURATION_MS = 3_000;
const STALENESS_BOUNDS = [2, 4];
/** Training time per sample. */
const WORK_PER_SAMPLE_MS = 350;
const PULL_LIMITS = { max: 256, maxBytes: 512 * 1024 };

/** Starts one sample of each group in turn. */
class RoundRobinSequence extends GroupSequence {
  #last = -1;

  next(groups: readonly GroupProgress[]): GroupProgress {
    const next = groups.find(({ group }) => group > this.#last) ?? groups[0];
    this.#last = next.group;
    return next;
  }
}

/** Order in which a step starts samples, and how many may wait for a slot. */
interface SequencePolicy {
  readonly sequence: () => GroupSequence;
  readonly lookahead?: number;
}

const POLICIES: Readonly<Record<string, SequencePolicy>> = {
  "listed, far ahead": {
    sequence: () => new SubmissionOrder(),
    lookahead: Infinity,
  },
  "round robin, far ahead": {
    sequence: () => new RoundRobinSequence(),
    lookahead: Infinity,
  },
  "longest first, far ahead": {
    sequence: () => new LongestFirst(),
    lookahead: Infinity,
  },
  "round robin": { sequence: () => new RoundRobinSequence() },
  "longest first": { sequence: () => new LongestFirst() },
};

/** Draws the sample lengths of a step: similar in a group, a few very long. */
function drawLengths(seed: number): readonly number[] {
  const random = new Random({ seed });
  return Array.from({ length: GROUPS_PER_STEP }, () => {
    const isStraggler = random.next() < 0.03;
    const median = random.lognormal(isStraggler ? 3_500 : 400, 0.6);
    return Array.from({ length: SAMPLES_PER_GROUP }, () => {
      const length = Math.ceil(random.lognormal(median, 0.35));
      return Math.min(MAX_TOKENS, Math.max(10, length));
    });
  }).flat();
}

/** A generation that is queued or holds a slot. */
class SimulatedGeneration {
  readonly generation: Generation;
  readonly organisation: string;
  readonly signal: AbortSignal;
  readonly end: number;
  generated: number;
  #items: Chunk[] = [];
  #wake = () => {};

  constructor(options: {
    generation: Generation;
    organisation: string;
    signal: AbortSignal;
    end: number;
  }) {
    this.generation = options.generation;
    this.organisation = options.organisation;
    this.signal = options.signal;
    this.end = options.end;
    this.generated = options.generation.resume.length;
    options.signal.addEventListener("abort", () => this.#wake());
  }

  decode(weightVersion: number): number {
    const tokens = Math.min(TOKENS_PER_TICK, this.end - this.generated);
    this.generated += tokens;
    this.#items.push({
      id: this.generation.id,
      text: "x".repeat(tokens),
      tokens,
      weightVersion,
      finishReason: this.generated >= this.end ? "stop" : "",
      promptTokens: 1,
    });
    this.#wake();
    return tokens;
  }

  async next(): Promise<Chunk | undefined> {
    while (this.#items.length === 0 && !this.signal.aborted) {
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
    return this.signal.aborted ? undefined : this.#items.shift();
  }

  get isOver(): boolean {
    return this.signal.aborted || this.generated >= this.end;
  }
}

/** A pool that grants a free slot to the trainer with the fewest slots. */
class SimulatedPool extends Generator {
  readonly lengths = new Map<number, number>();
  generated = 0;
  #queue: SimulatedGeneration[] = [];
  #batch: SimulatedGeneration[] = [];

  override async *run(
    demand: Demand,
    generation: Generation,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Chunk, Refusal>, void, void> {
    const end = this.lengths.get(generation.seed) ?? 1;
    const run = new SimulatedGeneration({
      generation,
      organisation: demand.tenant,
      signal,
      end,
    });
    this.#queue.push(run);
    for (;;) {
      const chunk = await run.next();
      if (chunk === undefined) return;
      yield Ok(chunk);
      if (chunk.finishReason !== "") return;
    }
  }

  /** Simulates one tick; no tokens are generated during a weight swap. */
  tick(version: number, swapping: boolean): void {
    this.#queue = this.#queue.filter(({ isOver }) => !isOver);
    this.#batch = this.#batch.filter(({ isOver }) => !isOver);
    while (this.#batch.length < SLOTS && this.#queue.length > 0) this.#grant();
    if (swapping) return;
    for (const run of this.#batch) this.generated += run.decode(version);
  }

  #grant(): void {
    const slotsOf = (organisation: string) =>
      this.#batch.filter((run) => run.organisation === organisation).length;
    const slots = new Map(
      this.#queue.map(({ organisation }) => [organisation, 0]),
    );
    for (const owner of slots.keys()) slots.set(owner, slotsOf(owner));
    const [next] = [...slots].reduce((a, b) => b[1] < a[1] ? b : a);
    const at = this.#queue.findIndex((run) => run.organisation === next);
    this.#batch.push(...this.#queue.splice(at, 1));
  }
}

/** A trainer that runs steps and trains on samples as they arrive. */
class SimulatedTrainer {
  readonly #name: string;
  readonly #seed: number;
  readonly #pool: SimulatedPool;
  readonly #clock: ManualClock;
  readonly #policy: SequencePolicy;
  readonly #stalenessBound: number;
  #step?: Step;
  #held = new Bitmap();
  #startedAt = 0;
  #backlogMs = 0;
  #idleMs = 0;
  staleTokens = 0;
  readonly steps: { idleMs: number; totalMs: number }[] = [];

  constructor(options: {
    name: string;
    seed: number;
    pool: SimulatedPool;
    clock: ManualClock;
    policy: SequencePolicy;
    bound: number;
  }) {
    this.#stalenessBound = options.bound;
    this.#name = options.name;
    this.#seed = options.seed;
    this.#pool = options.pool;
    this.#clock = options.clock;
    this.#policy = options.policy;
  }

  tick(version: number): void {
    const step = this.#step ??= this.#open(version);
    const ready = step.ready(PULL_LIMITS);
    this.#held = this.#held.with(ready.map(({ number }) => number));
    step.acknowledge(this.#held, version);
    this.#backlogMs += ready.length * WORK_PER_SAMPLE_MS;
    const workedMs = Math.min(TICK_MS, this.#backlogMs);
    this.#backlogMs -= workedMs;
    this.#idleMs += TICK_MS - workedMs;
    if (step.complete) this.#finishStep(step);
  }

  #open(version: number): Step {
    const seed = (this.#seed * 100 + this.steps.length) * 10_000;
    drawLengths(seed).forEach((length, number) =>
      this.#pool.lengths.set(seed + number, length)
    );
    this.#held = new Bitmap();
    this.#startedAt = this.#clock.now();
    this.#idleMs = 0;
    const step = new Step({
      spec: specOf(this.#name, { seed, version, bound: this.#stalenessBound }),
      terms: {
        pool: "lm",
        model: "m",
        weight: 1,
        priority: Priority.Training,
        deadlineMs: 1e9,
      },
      generator: this.#pool,
      clock: this.#clock,
      concurrency: () => Math.ceil(SLOTS * IN_FLIGHT_PER_SLOT),
      sequence: this.#policy.sequence(),
      waitingShare: this.#policy.lookahead,
    });
    step.startSamples();
    return step;
  }

  #finishStep(step: Step): void {
    const totalMs = this.#clock.now() - this.#startedAt;
    this.staleTokens += step.progress.waste.staleTokens;
    this.steps.push({ idleMs: this.#idleMs, totalMs });
    this.#step = undefined;
  }
}

function specOf(
  organisation: string,
  options: { seed: number; version: number; bound: number },
): StepSpec {
  return {
    id: `${options.seed}`,
    route: "train",
    tenant: organisation,
    keyId: "k",
    groups: Array.from({ length: GROUPS_PER_STEP }, (_, group) => ({
      prompt: `p${group}`,
      samples: SAMPLES_PER_GROUP,
    })),
    maxTokens: MAX_TOKENS,
    temperature: 1,
    seed: options.seed,
    stalenessBound: options.bound,
    version: options.version,
  };
}

async function simulate(
  seed: number,
  options: { policy: SequencePolicy; bound: number },
) {
  const clock = new ManualClock();
  const pool = new SimulatedPool();
  const trainers = Array.from(
    { length: TRAINER_COUNT },
    (_, n) =>
      new SimulatedTrainer({
        name: `trainer-${n}`,
        seed: seed * TRAINER_COUNT + n,
        pool,
        clock,
        ...options,
      }),
  );
  while (trainers.some(({ steps }) => steps.length < STEPS_PER_TRAINER)) {
    const version = 1 + Math.floor(clock.now() / PUBLISH_INTERVAL_MS);
    const swapping = version > 1 &&
      clock.now() % PUBLISH_INTERVAL_MS < SWAP_DURATION_MS;
    for (const trainer of trainers) trainer.tick(version);
    await settled();
    pool.tick(swapping ? version - 1 : version, swapping);
    await settled();
    clock.advance(TICK_MS);
  }
  const steps = trainers.flatMap(({ steps }) =>
    steps.slice(0, STEPS_PER_TRAINER)
  );
  const stale = trainers.reduce((sum, { staleTokens }) => sum + staleTokens, 0);
  return {
    idleS: mean(steps.map(({ idleMs }) => idleMs)) / 1000,
    stepS: mean(steps.map(({ totalMs }) => totalMs)) / 1000,
    stalePercent: 100 * stale / pool.generated,
  };
}

/** Resolves after all pending microtasks have run. */
function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

async function comparePolicy(policy: string, bound: number) {
  const runs = [];
  for (const seed of SEEDS) {
    runs.push(await simulate(seed, { policy: POLICIES[policy], bound }));
  }
  const idle = runs.map(({ idleS }) => idleS);
  const stale = runs.map(({ stalePercent }) => stalePercent);
  return {
    bound,
    policy,
    idleS: round(mean(idle)),
    idleMin: round(Math.min(...idle)),
    idleMax: round(Math.max(...idle)),
    stepS: round(mean(runs.map(({ stepS }) => stepS))),
    stalePercent: round(mean(stale)),
    staleMax: round(Math.max(...stale)),
  };
}

async function main(): Promise<void> {
  const [file, chosen, ...bounds] = process.argv.slice(2);
  const policies = chosen ? chosen.split(";") : Object.keys(POLICIES);
  const rows = [];
  for (
    const bound of bounds.length > 0 ? bounds.map(Number) : STALENESS_BOUNDS
  ) {
    for (const policy of policies) {
      const row = await comparePolicy(policy, bound);
      console.log(JSON.stringify(row));
      rows.push(row);
    }
  }
  if (file) writeFileSync(file, JSON.stringify(rows, null, 1) + "\n");
}

void main();
