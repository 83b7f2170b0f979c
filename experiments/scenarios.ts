/**
 * What is run against what.
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
import { type Figures, figures, Ledger } from "./measure.ts";
import { Random } from "../src/bench/random.ts";
import {
  EntrySystem,
  type Ground,
  KeeperSystem,
  type System,
  type Trip,
  trip,
} from "./systems.ts";
import { Timeline } from "./timeline.ts";
import { TokenQueue } from "./token_queue.ts";
import { type Plan, requestsOf } from "./workload.ts";

/** Tokens a second of one engine with all its slots in use. */
const ENGINE_TOKENS_PER_SECOND = 500;

/** A policy under measurement. */
export type Policy = (ground: Ground) => System;

/** Policies by name; the last one is the product's own. */
export const POLICIES: Readonly<Record<string, Policy>> = {
  "entry, round robin": (ground) =>
    new EntrySystem(ground, { choice: () => new RoundRobin() }),
  "entry, least reported load": (ground) =>
    new EntrySystem(ground, { choice: () => new LeastLoaded() }),
  "entry, less loaded of two": (ground) =>
    new EntrySystem(ground, {
      choice: (entry) => {
        const random = new Random({ seed: ground.seed * 100 + entry });
        return new PowerOfTwoChoices({ random: () => random.next() });
      },
    }),
  "keeper, first come, round robin": (ground) =>
    new KeeperSystem(ground, {
      queue: () => new FifoQueue(),
      choice: () => new RoundRobin(),
    }),
  "keeper, fair by tokens, affine": (ground) =>
    new KeeperSystem(ground, {
      queue: () => new TokenQueue(),
      choice: (clock) => new AffinitySelector({ clock }),
    }),
  "keeper, fair, least reported load": (ground) =>
    new KeeperSystem(ground, {
      queue: () => new FairQueue(),
      choice: () => new LeastLoaded(),
    }),
  "keeper, fair, affine, no headroom": (ground) =>
    new KeeperSystem(ground, {
      queue: () => new FairQueue(),
      choice: (clock) => new AffinitySelector({ clock }),
    }),
  "keeper, fair, affine": (ground) =>
    new KeeperSystem(ground, {
      queue: () => new FairQueue(),
      choice: (clock) => new AffinitySelector({ clock }),
      headroom: () => new Headroom(),
    }),
};

/** Conditions under which policies are run. */
export interface Scenario {
  readonly engines: number;
  readonly plan: Omit<Plan, "seed">;
  /** Parts of the capacity that are asked for, one run each. */
  readonly loads: readonly number[];
  /** Zone that is reclaimed, and when. */
  readonly reclaim?: {
    readonly availabilityZone: string;
    readonly at: number;
    readonly noticeMs: number;
  };
  /** Period of the engines' weight swaps, and how long each takes. */
  readonly swaps?: { readonly periodMs: number; readonly pauseMs: number };
  /** Blocks that an engine's prefix memory holds. */
  readonly blocks?: number;
}

const BASE: Scenario = {
  engines: 6,
  loads: [0.6],
  plan: { durationMs: 180_000, entries: 8, tokensPerSecond: 0 },
};

function flooded(priority?: Priority): Scenario {
  const tokensPerSecond = 10 / 14 * BASE.engines * ENGINE_TOKENS_PER_SECOND;
  return {
    ...BASE,
    plan: {
      ...BASE.plan,
      flood: { tokensPerSecond, from: 40_000, to: 160_000, priority },
    },
  };
}

/** Scenarios by name. */
export const SCENARIOS: Readonly<Record<string, Scenario>> = {
  alone: BASE,
  flood: flooded(),
  "flood-interactive": flooded(Priority.Interactive),
  "flood-training": flooded(Priority.Training),
  overload: { ...BASE, loads: [0.6, 0.8, 0.9, 1, 1.2, 2] },
  prefix: { ...BASE, loads: [0.5, 0.8], blocks: 250 },
  queue: { ...BASE, engines: 40, loads: [0.6, 0.9] },
  reclaim: {
    ...BASE,
    reclaim: { availabilityZone: "zone-0", at: 60_000, noticeMs: 3000 },
    loads: [0.5, 0.7],
  },
  swaps: {
    ...BASE,
    loads: [0.6],
    swaps: { periodMs: 60_000, pauseMs: 3000 },
  },
};

/** Runs one policy under one scenario. */
export function run(options: {
  scenario: Scenario;
  policy: Policy;
  load: number;
  seed: number;
}): Figures {
  const { scenario, seed, load } = options;
  const capacity = scenario.engines * ENGINE_TOKENS_PER_SECOND;
  const plan = { ...scenario.plan, seed, tokensPerSecond: capacity * load };
  const timeline = new Timeline();
  const received = new Ledger();
  const engines = Array.from(
    { length: scenario.engines },
    (_, index) =>
      new EngineModel({
        id: `up-${index}`,
        availabilityZone: `zone-${index % 4}`,
        timeline,
        random: new Random({ seed: seed * 100 + index }),
        blocks: scenario.blocks,
      }),
  );
  const system = options.policy({
    timeline,
    engines,
    entries: plan.entries,
    seed,
    onTokens: (tenant, tokens) => received.add(tenant, tokens, timeline.now),
  });
  const trips = requestsOf(plan).map(trip);
  for (const one of trips) arrive(timeline, system, one);
  disturb(timeline, { scenario, system, engines });
  timeline.every(1000, () => {
    for (const engine of engines) engine.sync();
  });
  timeline.run(plan.durationMs + 60_000);
  return figures({ plan, trips, received, engines, system });
}

function arrive(timeline: Timeline, system: System, one: Trip): void {
  timeline.after(one.request.at, () => system.submit(one));
}

function disturb(timeline: Timeline, options: {
  scenario: Scenario;
  system: System;
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
