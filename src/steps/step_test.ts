import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import { Err, Ok, type Result } from "ts-results";
import { Generator } from "../gateway/generator.ts";
import { ManualClock, Reason, Refusal, Verdict } from "../kernel/mod.ts";
import type { Chunk, Generation } from "../outside/mod.ts";
import { Priority } from "../tables/mod.ts";
import type { Demand } from "../dispatch/mod.ts";
import { Admission, Quarantine, RunEnd } from "../dispatch/quarantine.ts";
import { Bitmap } from "./cursor.ts";
import { LongestFirst } from "./sequence.ts";
import { EMPTY_SAMPLE } from "./sample.ts";
import type { StepSpec } from "./spec.ts";
import { Step } from "./step.ts";

/** A generator whose runs are advanced by the test. */
class ScriptedGenerator extends Generator {
  readonly runs: ScriptedRun[] = [];

  override async *run(
    demand: Demand,
    generation: Generation,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Chunk, Refusal>, void, void> {
    const run = new ScriptedRun({ demand, generation, signal });
    this.runs.push(run);
    for (;;) {
      const item = await run.next();
      if (item === undefined) return;
      yield item;
      if (item.err || item.val.finishReason !== "") return;
    }
  }

  /** Runs that were not cancelled. */
  get live(): readonly ScriptedRun[] {
    return this.runs.filter((run) => !run.signal.aborted);
  }
}

class ScriptedRun {
  readonly demand: Demand;
  readonly generation: Generation;
  readonly signal: AbortSignal;
  #items: Result<Chunk, Refusal>[] = [];
  #wake = () => {};

  constructor(options: {
    demand: Demand;
    generation: Generation;
    signal: AbortSignal;
  }) {
    this.demand = options.demand;
    this.generation = options.generation;
    this.signal = options.signal;
    this.signal.addEventListener("abort", () => this.#wake());
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
    await this.#runPending();
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
    await this.#runPending();
  }

  async #runPending(): Promise<void> {
    this.#wake();
    await settled();
  }
}

/** Resolves after all pending callbacks have run. */
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
  const generator = new ScriptedGenerator();
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

const NO_LIMITS = { max: 100, maxBytes: 1 << 20 };

test("a complete sample records the versions of its tokens", async () => {
  const { step, generator } = fixture();
  await generator.runs[0].emit(1);
  await generator.runs[0].emit(2, "stop");
  expect(step.ready(NO_LIMITS).map(({ sample }) => sample.spans)).toEqual([[
    { version: 1, from: 0, to: 1 },
    { version: 2, from: 1, to: 2 },
  ]]);
});

test("a completed sample that became stale is not delivered", async () => {
  const { step, generator } = fixture();
  await generator.runs[0].emit(1, "stop");
  step.acknowledge(new Bitmap(), 3);
  expect(step.ready(NO_LIMITS)).toEqual([]);
  expect(step.progress.waste.staleSamples).toEqual(1);
  expect(generator.runs.length).toEqual(3);
});

test("a running sample that became stale is restarted", async () => {
  const { step, generator } = fixture();
  await generator.runs[0].emit(1);
  step.acknowledge(new Bitmap(), 3);
  await settled();
  expect(generator.runs[0].signal.aborted).toEqual(true);
  expect(generator.runs[2].generation.resume).toEqual("");
});

test("a sample that completes in a stale version is discarded", async () => {
  const { step, generator } = fixture();
  step.acknowledge(new Bitmap(), 5);
  await generator.runs[0].emit(1, "stop");
  expect(step.ready(NO_LIMITS)).toEqual([]);
});

test("samples in the cursor are not generated again", async () => {
  const { step, generator } = fixture();
  await generator.runs[0].emit(1, "stop");
  step.acknowledge(new Bitmap().with([0]), 1);
  expect(step.ready(NO_LIMITS)).toEqual([]);
  await generator.runs[1].emit(1, "stop");
  step.acknowledge(new Bitmap().with([0, 1]), 1);
  expect(step.complete).toEqual(true);
  expect(generator.runs.length).toEqual(2);
});

test("a trainer with an older cursor receives the missing samples again", async () => {
  const { step, generator } = fixture();
  step.acknowledge(new Bitmap().with([0, 1]), 1);
  await settled();
  step.acknowledge(new Bitmap().with([1]), 1);
  await generator.live[0].emit(1, "stop");
  expect(step.ready(NO_LIMITS).map(({ number }) => number)).toEqual([0]);
});

test("a refusal pauses the step until its retry time", async () => {
  const { step, generator, clock } = fixture({ concurrency: 1 });
  await generator.runs[0].refuse();
  step.startSamples();
  expect(generator.runs.length).toEqual(1);
  clock.advance(2000);
  expect(generator.runs.length).toEqual(2);
});

test("a quarantined sample is delivered empty, with that finish reason", async () => {
  const { step, generator } = fixture();
  await generator.runs[0].emit(1);
  await generator.runs[0].refuse(Reason.Quarantined);
  expect(step.ready(NO_LIMITS).map(({ sample }) => sample)).toEqual([
    { ...EMPTY_SAMPLE, finishReason: "quarantined" },
  ]);
});

test("a sample on two crashed upstreams is not given up, nor tried for ever", () => {
  const { generator } = fixture();
  const clock = new ManualClock();
  const quarantine = new Quarantine({ clock });
  const { demand } = generator.runs[0];
  const crash = (number: number) => {
    quarantine.record(demand.fingerprint, {
      permit: `run-${number}`,
      upstream: `up-${number}`,
      end: RunEnd.Broken,
      ranMs: 10,
      isolated: true,
    });
    clock.advance(3000);
  };
  [1, 2, 3, 4].forEach(crash);
  expect(quarantine.admission(demand)).toEqual(Admission.Isolated);
  crash(5);
  expect(quarantine.admission(demand)).toEqual(Admission.Refused);
});

test("a successor resumes partial samples", async () => {
  const { step, generator } = fixture();
  await generator.runs[0].emit(1);
  await generator.runs[1].emit(1, "stop");
  step.stop();
  const { samples } = step.state;
  const successor = new ScriptedGenerator();
  const adopted = new Step({
    spec: spec(),
    terms: step.terms,
    generator: successor,
    clock: new ManualClock(),
    concurrency: () => 10,
    samples,
  });
  adopted.startSamples();
  expect(adopted.ready(NO_LIMITS).map(({ number }) => number)).toEqual([1]);
  expect(successor.runs.map((run) => run.generation.resume)).toEqual(["v1 "]);
});

test("samples of long groups start first", async () => {
  const groups = [{ prompt: "a", samples: 2 }, { prompt: "b", samples: 2 }];
  const { generator } = fixture({ spec: { groups }, concurrency: 2 });
  await generator.runs[1].emit(1);
  await generator.runs[1].emit(1);
  await generator.runs[0].emit(1, "stop");
  expect(generator.runs[2].generation.prompt).toEqual("b");
});

test("few samples wait for slots; each first token lets another start", async () => {
  const groups = [{ prompt: "a", samples: 40 }];
  const { generator } = fixture({ spec: { groups }, concurrency: 40 });
  expect(generator.runs.length).toEqual(8);
  await generator.runs[0].emit(1);
  await generator.runs[1].emit(1);
  expect(generator.runs.length).toEqual(10);
});

test("samples that would become stale before they end start last", () => {
  const group = { pending: 1, whole: 1, longestRunning: 0 };
  const short = { ...group, group: 1, wholeTokens: 10 };
  const long = { ...group, group: 2, wholeTokens: 100 };
  const sequence = new LongestFirst();
  expect(sequence.next([short, long])).toEqual(long);
  expect(sequence.next([short, long], 50)).toEqual(short);
  expect(sequence.next([long], 50)).toEqual(long);
});

test("no sequence of events delivers a stale sample or one twice", async () => {
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
          for (const { number, sample } of step.ready(NO_LIMITS)) {
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
