/**
 * A trainer of the bench: runs steps one after another through the trainer
 * client and measures the time during which it has no sample to train on.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { Trainer, type TrainerSample } from "../steps/mod.ts";
import type { TrainerStep } from "../steps/trainer.ts";
import { repeatToLength } from "./arrivals.ts";
import type { TrainerPlan } from "./bench_plan.ts";
import type { StepReport, TrainerReport } from "./report.ts";

/** Runs the steps of a trainer and reports on them. */
export class TrainerLoad {
  readonly #plan: TrainerPlan;
  readonly #version: () => number;
  readonly #trainer: Trainer;
  readonly #retries: Record<string, number> = {};
  readonly #staleness: Record<string, number> = {};
  readonly #steps: StepReport[] = [];
  #end?: AbortSignal;

  constructor(options: {
    entries: readonly string[];
    plan: TrainerPlan;
    /** Weight version to request; by default that of the plan. */
    version?: () => number;
  }) {
    this.#plan = options.plan;
    this.#version = options.version ?? (() => options.plan.version);
    this.#trainer = new Trainer({
      entries: options.entries,
      route: options.plan.route,
      key: options.plan.key,
      version: this.#version,
      onRetry: (why) => this.#recordRetry(why),
    });
  }

  /** Runs steps for `seconds`; the last one may stay incomplete. */
  async run(seed: number, options: { seconds: number }): Promise<void> {
    const signal = AbortSignal.timeout(options.seconds * 1000);
    this.#end = signal;
    for (let n = 0; !signal.aborted; n++) {
      await this.#run(buildStep(this.#plan, { seed, n }), signal);
    }
    await this.#trainer.close();
  }

  /** Results of the trainer so far. */
  get report(): TrainerReport {
    return {
      name: this.#plan.name,
      steps: this.#steps,
      staleness: this.#staleness,
      retries: this.#retries,
    };
  }

  async #run(step: TrainerStep, signal: AbortSignal): Promise<void> {
    const start = performance.now();
    let waitingSince = start;
    let idleMs = 0;
    let samples: readonly TrainerSample[] = [];
    let whole = false;
    for await (const batch of this.#trainer.run(step, signal)) {
      idleMs += performance.now() - waitingSince;
      samples = [...samples, ...batch.samples];
      whole = batch.done;
      for (const sample of batch.samples) this.#record(sample, batch.version);
      const workMs = this.#plan.trainMs * batch.samples.length;
      if (workMs > 0) await sleep(workMs);
      waitingSince = performance.now();
    }
    if (!whole) idleMs += performance.now() - waitingSince;
    this.#steps.push({
      totalMs: Math.round(performance.now() - start),
      idleMs: Math.round(idleMs),
      samples: samples.length,
      tokens: samples.reduce((sum, { tokens }) => sum + tokens, 0),
      whole,
    });
  }

  /** Counts a retry, except for the pull that the end of the run aborts. */
  #recordRetry(why: string): void {
    if (this.#end?.aborted) return;
    this.#retries[why] = (this.#retries[why] ?? 0) + 1;
  }

  #record(sample: TrainerSample, version: number): void {
    const spanVersions = sample.versions.map((span) => span.version);
    const staleness = version - Math.min(version, ...spanVersions);
    this.#staleness[staleness] = (this.#staleness[staleness] ?? 0) + 1;
  }
}

/** Builds step number `n` of a trainer. */
export function buildStep(
  plan: TrainerPlan,
  options: { seed: number; n: number },
): TrainerStep {
  const { seed, n } = options;
  const groups = Array.from({ length: plan.groups }, (_, group) => {
    const instruction = plan.instructions[group % plan.instructions.length];
    const text = repeatToLength(
      `${plan.name} ${seed}/${n}/${group}`,
      plan.promptChars,
    );
    return { prompt: `${instruction}${text}`, samples: plan.samples };
  });
  return {
    // Unique, so that a run does not resume the steps of an earlier run.
    step: `${plan.name}-${seed}-${process.pid}-${Date.now()}-${n}`,
    groups,
    max_tokens: plan.maxTokens,
    seed: seed * 1_000 + n,
    staleness_bound: plan.stalenessBound,
  };
}
