/**
 * Scenarios and dispatch policies of the simulation.
 *
 * @module
 */

import { AffinitySelector } from "../src/dispatch/affinity_selector.ts";
import {
  LeastLoaded,
  PowerOfTwoChoices,
  RoundRobin,
} from "../src/dispatch/upstream_selector.ts";
import { FairQueue } from "../src/dispatch/fair_queue.ts";
import { Headroom } from "../src/dispatch/headroom.ts";
import { FifoQueue } from "../src/dispatch/queue.ts";
import { Priority } from "../src/tables/mod.ts";
import { EngineModel } from "./engine_model.ts";
import { computeFigures, type Figures, TokenTally } from "./run_figures.ts";
import { Random } from "../src/bench/random.ts";
import {
  type DispatchSystem,
  EntryDispatch,
  newRequestRecord,
  type RequestRecord,
  ShardLeaderDispatch,
  type SimulationContext,
} from "./dispatch_systems.ts";
import { Timeline } from "./timeline.ts";
import { TokenQueue } from "./token_queue.ts";
import { generateRequests, type WorkloadPlan } from "./workload.ts";

/** Throughput of one engine with all its slots in use. */
const ENGINE_TOKENS_PER_SECOND = 500;

/** Creates the dispatch system to be measured. */
export type DispatchPolicy = (context: SimulationContext) => DispatchSystem;

/** Policies by name; the last one is used in production. */
export const POLICIES: Readonly<Record<string, DispatchPolicy>> = {
  "entry, round robin": (context) =>
    new EntryDispatch(context, { selector: () => new RoundRobin() }),
  "entry, least reported load": (context) =>
    new EntryDispatch(context, { selector: () => new LeastLoaded() }),
  "entry, less loaded of two": (context) =>
    new EntryDispatch(context, {
      selector: (entry) => {
        const random = new Random({ seed: context.seed * 100 + entry });
        return new PowerOfTwoChoices({ random: () => random.next() });
      },
    }),
  "keeper, first come, round robin": (context) =>
    new ShardLeaderDispatch(context, {
      queue: () => new FifoQueue(),
      selector: () => new RoundRobin(),
    }),
  "keeper, fair by tokens, affine": (context) =>
    new ShardLeaderDispatch(context, {
      queue: () => new TokenQueue(),
      selector: (clock) => new AffinitySelector({ clock }),
    }),
  "keeper, fair, least reported load": (context) =>
    new ShardLeaderDispatch(context, {
      queue: () => new FairQueue(),
      selector: () => new LeastLoaded(),
    }),
  "keeper, fair, affine, no headroom": (context) =>
    new ShardLeaderDispatch(context, {
      queue: () => new FairQueue(),
      selector: (clock) => new AffinitySelector({ clock }),
    }),
  "keeper, fair, affine": (context) =>
    new ShardLeaderDispatch(context, {
      queue: () => new FairQueue(),
      selector: (clock) => new AffinitySelector({ clock }),
      headroom: () => new Headroom(),
    }),
};

/** Load, engines and disruptions under which policies are measured. */
export interface Scenario {
  readonly engines: number;
  readonly plan: Omit<WorkloadPlan, "seed">;
  /** Requested load as fractions of the capacity, one run each. */
  readonly loads: readonly number[];
  /** Availability zone that is reclaimed, and when. */
  readonly reclaim?: {
    readonly availabilityZone: string;
    readonly at: number;
    readonly noticeMs: number;
  };
  /** Period and duration of the engines' weight swaps. */
  readonly swaps?: { readonly periodMs: number; readonly pauseMs: number };
  /** Capacity of an engine's prefix cache in blocks. */
  readonly cacheBlocks?: number;
}

const BASE_SCENARIO: Scenario = {
  engines: 6,
  loads: [0.6],
  plan: { durationMs: 180_000, entries: 8, tokensPerSecond: 0 },
};

function floodScenario(priority?: Priority): Scenario {
  const tokensPerSecond = 10 / 14 * BASE_SCENARIO.engines *
    ENGINE_TOKENS_PER_SECOND;
  return {
    ...BASE_SCENARIO,
    plan: {
      ...BASE_SCENARIO.plan,
      flood: { tokensPerSecond, from: 40_000, to: 160_000, priority },
    },
  };
}

/** Scenarios by name. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  alone: BASE_SCENARIO,
  flood: floodScenario(),
  "flood-interactive": floodScenario(Priority.Interactive),
  "flood-training": floodScenario(Priority.Training),
  overload: { ...BASE_SCENARIO, loads: [0.6, 0.8, 0.9, 1, 1.2, 2] },
  prefix: { ...BASE_SCENARIO, loads: [0.5, 0.8], cacheBlocks: 250 },
  queue: { ...BASE_SCENARIO, engines: 40, loads: [0.6, 0.9] },
  reclaim: {
    ...BASE_SCENARIO,
    reclaim: { availabilityZone: "zone-0", at: 60_000, noticeMs: 3000 },
    loads: [0.5, 0.7],
  },
  swaps: {
    ...BASE_SCENARIO,
    loads: [0.6],
    swaps: { periodMs: 60_000, pauseMs: 3000 },
  },
};

/** Simulates one policy under one scenario. */
export function run(options: {
  scenario: Scenario;
  policy: DispatchPolicy;
  load: number;
  seed: number;
}): Figures {
  const { scenario, seed, load } = options;
  const capacity = scenario.engines * ENGINE_TOKENS_PER_SECOND;
  const plan = { ...scenario.plan, seed, tokensPerSecond: capacity * load };
  const timeline = new Timeline();
  const received = new TokenTally();
  const engines = Array.from(
    { length: scenario.engines },
    (_, index) =>
      new EngineModel({
        id: `up-${index}`,
        availabilityZone: `zone-${index % 4}`,
        timeline,
        random: new Random({ seed: seed * 100 + index }),
        cacheBlocks: scenario.cacheBlocks,
      }),
  );
  const system = options.policy({
    timeline,
    engines,
    entries: plan.entries,
    seed,
    onTokens: (organisation, tokens) =>
      received.add(organisation, tokens, timeline.now),
  });
  const records = generateRequests(plan).map(newRequestRecord);
  for (const record of records) scheduleArrival(timeline, system, record);
  scheduleDisruptions(timeline, { scenario, system, engines });
  timeline.every(1000, () => {
    for (const engine of engines) engine.sync();
  });
  timeline.run(plan.durationMs + 60_000);
  return computeFigures({ plan, records, received, engines, system });
}

function scheduleArrival(
  timeline: Timeline,
  system: DispatchSystem,
  record: RequestRecord,
): void {
  timeline.after(record.request.at, () => system.submit(record));
}

function scheduleDisruptions(timeline: Timeline, options: {
  scenario: Scenario;
  system: DispatchSystem;
  engines: readonly EngineModel[];
}): void {
  const { scenario, system, engines } = options;
  const { reclaim, swaps } = scenario;
  if (reclaim !== undefined) {
    const zone = engines.filter(({ availabilityZone }) =>
      availabilityZone === reclaim.availabilityZone
    );
    timeline.after(reclaim.at, () => {
      for (const { id } of zone) system.leaving(id);
    });
    timeline.after(reclaim.at + reclaim.noticeMs, () => {
      for (const engine of zone) engine.crash();
    });
  }
  if (swaps !== undefined) {
    timeline.every(swaps.periodMs, () => {
      for (const engine of engines) engine.pause(swaps.pauseMs);
    });
  }
}
