import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { Err, Ok, type Result } from "ts-results";
import { Generator } from "../gateway/generator.ts";
import { ManualClock, Reason, Refusal, Verdict } from "../kernel/mod.ts";
import type { Chunk, Generation } from "../outside/mod.ts";
import { Priority } from "../tables/mod.ts";
import type { Demand } from "../dispatch/mod.ts";
import { Bitmap } from "./cursor.ts";
import { LongestFirst } from "./sequence.ts";
import { EMPTY_SAMPLE } from "./sample.ts";
import type { StepSpec } from "./spec.ts";
import { Step } from "./step.ts";

/** A generator whose runs the test moves on by hand. */
class Script extends Generator {
  readonly runs: ScriptRun[] = [];

  override async *run(
    _demand: Demand,
    generation: Generation,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Chunk, Refusal>, void, void> {
    const run = new ScriptRun(generation, signal);
    this.runs.push(run);
    for (;;) {
      const item = await run.next();
      if (item === undefined) return;
      yield item;
      if (item.err || item.val.finishReason !== "") return;
    }
  }

  /** Runs that were not cancelled. */
  get live(): readonly ScriptRun[] {
    return this.runs.filter((run) => !run.signal.aborted);
  }
}

class ScriptRun {
  readonly generation: Generation;
  readonly signal: AbortSignal;
  #items: Result<Chunk, Refusal>[] = [];
  #wake = () => {};

  constructor(generation: Generation, signal: AbortSignal) {
    this.generation = generation;
    this.signal = signal;
    signal.addEventListener("abort", () => this.#wake());
  }

  async next(): Promise<Result<Chunk, Refusal> | undefined> {
    while (this.#items.length === 0 && !this.signal.aborted) {
      await new Promise<void>((resolve) => this.#wake = resolve);
    }
    return this.signal.aborted ? undefined : this.#items.shift();
  }

  async emit(version: number, finishReason = ""): Promise<void> {
    const { id } = this.generation;
    const chunk = {
      id,
      text: `v${version} `,
      tokens: 1,
      weightVersion: version,
      finishReason,
      promptTokens: 1,
    };
    this.#items.push(Ok(chunk));
    await this.#moved();
  }

  async refuse(reason = Reason.NoUpstream): Promise<void> {
    this.#items.push(Err(
      new Refusal({
        verdict: Verdict.NotRun,
        reason,
        message: "None",
        retryAfterMs: 1000,
      }),
    ));
    await this.#moved();
  }

  async #moved(): Promise<void> {
    this.#wake();
    await settled();
  }
}

/** Lets everything that can run now, run. */
function settled(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function spec(fields: Partial<StepSpec> = {}): StepSpec {
  return {
    id: "s",
    route: "train",
    tenant: "one",
    keyId: "k",
    groups: [{ prompt: "p", samples: 2 }],
    maxTokens: 10,
    temperature: 1,
    seed: 0,
    stalenessBound: 1,
    version: 1,
    ...fields,
  };
}

function fixture(
  options: { spec?: Partial<StepSpec>; concurrency?: number } = {},
) {
  const generator = new Script();
  const clock = new ManualClock();
  const step = new Step({
    spec: spec(options.spec),
    terms: {
      pool: "lm",
      model: "m",
      weight: 1,
      priority: Priority.Training,
      deadlineMs: 1000,
    },
    generator,
    clock,
    concurrency: () => options.concurrency ?? 10,
  });
  step.startSamples();
  return { step, generator, clock };
}

const ALL = { max: 100, maxBytes: 1 << 20 };

test("a whole sample names the versions of its tokens", async () => {
  const { step, generator } = fixture();
  await generator.runs[0].emit(1);
  await generator.runs[0].emit(2, "stop");
  expect(step.ready(ALL).map(({ sample }) => sample.spans)).toEqual([[
    { version: 1, from: 0, to: 1 },
    { version: 2, from: 1, to: 2 },
  ]]);
});

test("a sample that the trainer outran is not handed over", async () => {
  const { step, generator } = fixture();
  await generator.runs[0].emit(1, "stop");
  step.acknowledge(new Bitmap(), 3);
  expect(step.ready(ALL)).toEqual([]);
  expect(step.progress.waste.staleSamples).toEqual(1);
  expect(generator.runs.length).toEqual(3);
});

test("a running sample that the trainer outran starts again", async () => {
  const { step, generator } = fixture();
  await generator.runs[0].emit(1);
  step.acknowledge(new Bitmap(), 3);
  await settled();
  expect(generator.runs[0].signal.aborted).toEqual(true);
  expect(generator.runs[2].generation.resume).toEqual("");
});

test("a sample ready in an old version is dropped when it ends", async () => {
  const { step, generator } = fixture();
  step.acknowledge(new Bitmap(), 5);
  await generator.runs[0].emit(1, "stop");
  expect(step.ready(ALL)).toEqual([]);
});

test("samples that the cursor names are not generated again", async () => {
  const { step, generator } = fixture();
  await generator.runs[0].emit(1, "stop");
  step.acknowledge(new Bitmap().with([0]), 1);
  expect(step.ready(ALL)).toEqual([]);
  await generator.runs[1].emit(1, "stop");
  step.acknowledge(new Bitmap().with([0, 1]), 1);
  expect(step.complete).toEqual(true);
  expect(generator.runs.length).toEqual(2);
});

test("a trainer with an older cursor gets the samples again", async () => {
  const { step, generator } = fixture();
  step.acknowledge(new Bitmap().with([0, 1]), 1);
  await settled();
  step.acknowledge(new Bitmap().with([1]), 1);
  await generator.live[0].emit(1, "stop");
  expect(step.ready(ALL).map(({ number }) => number)).toEqual([0]);
});

test("a refusal pauses the step until it may come back", async () => {
  const { step, generator, clock } = fixture({ concurrency: 1 });
  await generator.runs[0].refuse();
  step.startSamples();
  expect(generator.runs.length).toEqual(1);
  clock.advance(2000);
  expect(generator.runs.length).toEqual(2);
});

test("a sample that is quarantined is handed over as such", async () => {
  const { step, generator } = fixture();
  await generator.runs[0].emit(1);
  await generator.runs[0].refuse(Reason.Quarantined);
  expect(step.ready(ALL).map(({ sample }) => sample)).toEqual([
    { ...EMPTY_SAMPLE, finishReason: "quarantined" },
  ]);
});

test("a successor resumes what was generated", async () => {
  const { step, generator } = fixture();
  await generator.runs[0].emit(1);
  await generator.runs[1].emit(1, "stop");
  step.stop();
  const { samples } = step.state;
  const successor = new Script();
  const adopted = new Step({
    spec: spec(),
    terms: step.terms,
    generator: successor,
    clock: new ManualClock(),
    concurrency: () => 10,
    samples,
  });
  adopted.startSamples();
  expect(adopted.ready(ALL).map(({ number }) => number)).toEqual([1]);
  expect(successor.runs.map((run) => run.generation.resume)).toEqual(["v1 "]);
});

test("long groups start their samples first", async () => {
  const groups = [{ prompt: "a", samples: 2 }, { prompt: "b", samples: 2 }];
  const { generator } = fixture({ spec: { groups }, concurrency: 2 });
  await generator.runs[1].emit(1);
  await generator.runs[1].emit(1);
  await generator.runs[0].emit(1, "stop");
  expect(generator.runs[2].generation.prompt).toEqual("b");
});

test("few samples wait for slots; the first token lets more follow", async () => {
  const groups = [{ prompt: "a", samples: 40 }];
  const { generator } = fixture({ spec: { groups }, concurrency: 40 });
  expect(generator.runs.length).toEqual(8);
  await generator.runs[0].emit(1);
  await generator.runs[1].emit(1);
  expect(generator.runs.length).toEqual(10);
});

test("samples that would be stale before their end start last", () => {
  const group = { pending: 1, whole: 1, longestRunning: 0 };
  const short = { ...group, group: 1, wholeTokens: 10 };
  const long = { ...group, group: 2, wholeTokens: 100 };
  const sequence = new LongestFirst();
  expect(sequence.next([short, long])).toEqual(long);
  expect(sequence.next([short, long], 50)).toEqual(short);
  expect(sequence.next([long], 50)).toEqual(long);
});

test("whatever happens, each delivery is fresh and new", async () => {
  const action = fc.oneof(
    fc.record({ kind: fc.constant("emit"), run: fc.nat(8) }),
    fc.record({ kind: fc.constant("finish"), run: fc.nat(8) }),
    fc.record({ kind: fc.constant("swap"), run: fc.nat(8) }),
    fc.record({ kind: fc.constant("pull"), run: fc.nat(1) }),
  );
  await fc.assert(
    fc.asyncProperty(fc.array(action, { maxLength: 60 }), async (actions) => {
      const groups = [{ prompt: "a", samples: 3 }, { prompt: "b", samples: 3 }];
      const { step, generator } = fixture({ spec: { groups }, concurrency: 4 });
      let held = new Bitmap();
      let weights = 1;
      let trained = 1;
      for (const { kind, run } of actions) {
        const target = generator.live[run % Math.max(1, generator.live.length)];
        if (kind === "emit") await target?.emit(weights);
        if (kind === "finish") await target?.emit(weights, "stop");
        if (kind === "swap") weights++;
        if (kind === "pull") {
          trained = Math.max(trained, weights - run);
          step.acknowledge(held, trained);
          for (const { number, sample } of step.ready(ALL)) {
            expect(held.has(number)).toEqual(false);
            const old = sample.spans.filter((s) => s.version < trained - 1);
            expect(old).toEqual([]);
            held = held.with([number]);
          }
        }
      }
    }),
    { numRuns: 60 },
  );
});
