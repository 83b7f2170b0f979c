/**
 * Measures the cost of a step for its owner by the number of samples: processor
 * time, memory, pulls and cursor size. The generator completes immediately, so
 * the time is that of the owner alone.
 * `node --expose-gc dist/experiments/step_cost.js [FILE]`
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { Ok, type Result } from "ts-results";
import type { Demand } from "../src/dispatch/mod.ts";
import { Generator } from "../src/gateway/generator.ts";
import { type Refusal, SystemClock } from "../src/kernel/mod.ts";
import type { Chunk, Generation } from "../src/outside/mod.ts";
import { Bitmap, CursorCodec, Step, type StepSpec } from "../src/steps/mod.ts";
import { Priority } from "../src/tables/mod.ts";

const SAMPLE_COUNTS = [128, 512, 2_048, 8_192];
const SAMPLES_PER_GROUP = 8;
const CHUNKS_PER_SAMPLE = 20;
const TOKENS_PER_CHUNK = 25;
const PULL_LIMITS = { max: 256, maxBytes: 512 * 1024 };

/** Yields all chunks of a generation without delay. */
class ImmediateGenerator extends Generator {
  override async *run(
    _demand: Demand,
    { id }: Generation,
    _signal: AbortSignal,
  ): AsyncGenerator<Result<Chunk, Refusal>, void, void> {
    for (let n = 1; n <= CHUNKS_PER_SAMPLE; n++) {
      yield Ok({
        id,
        text: " word".repeat(TOKENS_PER_CHUNK),
        tokens: TOKENS_PER_CHUNK,
        weightVersion: 1,
        finishReason: n === CHUNKS_PER_SAMPLE ? "stop" : "",
        promptTokens: 100,
      });
    }
  }
}

async function main(): Promise<void> {
  const rows = [];
  for (const samples of SAMPLE_COUNTS) rows.push(await measureStep(samples));
  console.table(rows);
  const file = process.argv[2];
  if (file) writeFileSync(file, JSON.stringify(rows, null, 1));
}

async function measureStep(samples: number) {
  globalThis.gc?.();
  const heap = process.memoryUsage().heapUsed;
  const cpu = process.cpuUsage();
  const step = startStep(samples);
  await waitForSamples(step, samples);
  globalThis.gc?.();
  const heapBytes = process.memoryUsage().heapUsed - heap;
  const codec = new CursorCodec({ secret: "secret" });
  let held = new Bitmap();
  let pulls = 0;
  while (!step.complete) {
    const ready = step.ready(PULL_LIMITS);
    held = held.with(ready.map(({ number }) => number));
    step.acknowledge(held, 1);
    pulls++;
  }
  const { user, system } = process.cpuUsage(cpu);
  return {
    samples,
    cpuUsPerSample: Math.round((user + system) / samples),
    heapBytesPerSample: Math.round(heapBytes / samples),
    pulls,
    cursorBytes: codec.encode({ name: step.name, held }).length,
  };
}

function startStep(samples: number): Step {
  const spec: StepSpec = {
    id: "s",
    route: "train",
    tenant: "trainer",
    keyId: "k",
    groups: Array.from({ length: samples / SAMPLES_PER_GROUP }, (_, n) => ({
      prompt: `Prompt ${n} `.repeat(40),
      samples: SAMPLES_PER_GROUP,
    })),
    maxTokens: 1_000,
    temperature: 1,
    seed: 0,
    stalenessBound: 1,
    version: 1,
  };
  const step = new Step({
    spec,
    terms: {
      pool: "lm",
      model: "m",
      weight: 1,
      priority: Priority.Training,
      deadlineMs: 1_000,
    },
    generator: new ImmediateGenerator(),
    clock: new SystemClock(),
    concurrency: () => 512,
  });
  step.startSamples();
  return step;
}

async function waitForSamples(step: Step, samples: number): Promise<void> {
  while (step.progress.whole < samples) {
    await step.changed(1_000, new AbortController().signal);
  }
}

void main();
