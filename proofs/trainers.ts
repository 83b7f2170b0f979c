/**
 * A trainer that runs step after step with the `Trainer` client and records
 * the samples that it receives.
 *
 * @module
 */

import { Trainer, type TrainerSample } from "../src/steps/mod.ts";
import { expectedText } from "./recording_caller.ts";
import type { PulledSample } from "./events.ts";
import type { Recorder } from "./recorder.ts";

const SAMPLING_SEED = 11;

/** The size of a step and of its samples. */
export interface StepShape {
  readonly groups: number;
  readonly samplesPerGroup: number;
  /** Tokens per sample of a group. */
  readonly tokens: (group: number) => number;
  readonly stalenessBound: number;
}

/** Runs steps until `last` aborts; returns how many were completed. */
export async function runTrainer(options: {
  name: string;
  entries: readonly string[];
  key: string;
  recorder: Recorder;
  shape: StepShape;
  version: () => number;
  /** When it aborts, the current step is completed and no other starts. */
  last: AbortSignal;
  /** When it aborts, the current step is abandoned. */
  signal: AbortSignal;
}): Promise<number> {
  const { name, recorder, shape, last, signal } = options;
  const trainer = new Trainer({
    entries: options.entries,
    route: "train",
    key: options.key,
    version: options.version,
  });
  let steps = 0;
  while (!last.aborted && !signal.aborted) {
    const step = `${name}.${steps}`;
    recorder.record("submitted", {
      at: name,
      step,
      groups: new Array<number>(shape.groups).fill(shape.samplesPerGroup),
      stalenessBound: shape.stalenessBound,
    });
    if (!await pullStep(trainer, { step, ...options })) break;
    steps++;
  }
  await trainer.close();
  return steps;
}

async function pullStep(
  trainer: Trainer,
  options: {
    step: string;
    name: string;
    recorder: Recorder;
    shape: StepShape;
    signal: AbortSignal;
  },
): Promise<boolean> {
  const { step, name, recorder, shape, signal } = options;
  const prompts = Array.from(
    { length: shape.groups },
    (_, group) => promptOf(step, group, shape),
  );
  const longest = Math.max(...prompts.map((_, group) => shape.tokens(group)));
  const batches = trainer.run({
    step,
    groups: prompts.map((prompt) => ({
      prompt,
      samples: shape.samplesPerGroup,
    })),
    max_tokens: longest + 1,
    seed: SAMPLING_SEED,
    staleness_bound: shape.stalenessBound,
  }, signal);
  for await (const { samples, version, done } of batches) {
    recorder.record("pulled", {
      at: name,
      step,
      version,
      samples: samples.map((sample) => toPulledSample(sample, prompts, shape)),
      done,
    });
    if (done) return true;
  }
  return false;
}

/** The prompt contains its step, its group, and the group's first sample. */
function promptOf(step: string, group: number, shape: StepShape): string {
  const first = group * shape.samplesPerGroup;
  return `[${step}/${group}+${first}] [tokens=${shape.tokens(group)}]`;
}

function toPulledSample(
  sample: TrainerSample,
  prompts: readonly string[],
  shape: StepShape,
): PulledSample {
  const number = sample.group * shape.samplesPerGroup + sample.index;
  const body = { seed: SAMPLING_SEED + number, prompt: prompts[sample.group] };
  return {
    group: sample.group,
    index: sample.index,
    tokens: sample.tokens,
    versions: sample.versions,
    text: sample.text,
    quarantined: sample.finishReason === "quarantined",
    expected: expectedText(body, shape.tokens(sample.group)),
  };
}
