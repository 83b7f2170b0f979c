/**
 * Runs the bench against four daemons and four engine stand-ins. Among the
 * scenarios are an organisation that floods one entry, a load of twice the
 * capacity, and trainers beside callers.
 * `node dist/experiments/bench_cluster.js FOLDER SEED [SCENARIO...]`
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type BenchPlan,
  type CallerPlan,
  runBench,
  type TrainerPlan,
} from "../src/bench/mod.ts";
import { Priority, RouteKind, type Tables } from "../src/tables/mod.ts";
import { key, pool, route, tables } from "../stand_ins/builders.ts";
import { type Cluster, startCluster } from "../stand_ins/cluster.ts";

const DAEMON_COUNT = 4;
const ENGINE_COUNT = 4;
const SLOTS_PER_ENGINE = 8;
const TOKEN_MS = 10;
const OUTPUT_TOKENS = 40;
const ORGANISATIONS = ["a", "b", "c", "d", "e", "f", "g", "h"];
const FLOODING_ORGANISATION = ORGANISATIONS[0];
const DEADLINE_MS = 3_000;
const RUN_SECONDS = 20;
const SETTLE_MS = 3_000;
const PUBLISH_INTERVAL_MS = 5_000;

/** Requests per second that the slots can serve. */
const CAPACITY_PER_S = ENGINE_COUNT * SLOTS_PER_ENGINE * 1000 /
  (TOKEN_MS * OUTPUT_TOKENS);
const FAIR_SHARE_PER_S = CAPACITY_PER_S / ORGANISATIONS.length;

const BENCH_SCENARIOS: Readonly<Record<string, BenchPlan>> = {
  alone: callers(() => ({ ratePerS: 0.6 * FAIR_SHARE_PER_S })),
  flood: callers((organisation) =>
    organisation === FLOODING_ORGANISATION
      ? { ratePerS: 10 * FAIR_SHARE_PER_S, entry: 0 }
      : { ratePerS: 0.6 * FAIR_SHARE_PER_S }
  ),
  peak: callers(() => ({ ratePerS: FAIR_SHARE_PER_S })),
  overload: callers(() => ({ ratePerS: 2 * FAIR_SHARE_PER_S })),
  training: {
    ...callers(() => ({ ratePerS: 0.3 * FAIR_SHARE_PER_S })),
    trainers: [trainerPlan("one"), trainerPlan("two")],
  },
};

async function main(): Promise<void> {
  const [folder, seed, ...chosen] = process.argv.slice(2);
  const names = chosen.length > 0 ? chosen : Object.keys(BENCH_SCENARIOS);
  const cluster = await start();
  try {
    for (const name of names) {
      const report = await run(cluster, name, { seed: Number(seed) });
      const file = join(folder, `bench-${name}-${seed}.json`);
      writeFileSync(file, JSON.stringify(report, null, 1) + "\n");
      await sleep(SETTLE_MS);
    }
  } finally {
    await cluster.stop();
  }
}

async function run(cluster: Cluster, name: string, options: { seed: number }) {
  const entries = cluster.daemons.map(({ url }) => url);
  let version = 1;
  const publishing = setInterval(() => {
    if (name === "training") cluster.platform.publish("model", ++version);
  }, PUBLISH_INTERVAL_MS);
  const report = await runBench(BENCH_SCENARIOS[name], entries, {
    seed: options.seed,
    seconds: RUN_SECONDS,
    version: () => version,
  });
  clearInterval(publishing);
  return report;
}

async function start(): Promise<Cluster> {
  const cluster = await startCluster({
    daemons: DAEMON_COUNT,
    tables: buildTables(),
    env: { DEBUG: "" },
  });
  for (let n = 0; n < ENGINE_COUNT; n++) {
    await cluster.addEngine({ id: `engine-${n}`, pool: "lm" }, {
      slots: SLOTS_PER_ENGINE,
      tokenMs: TOKEN_MS,
      lagMs: 200,
    });
  }
  await sleep(SETTLE_MS);
  return cluster;
}

function buildTables(): Tables {
  const share = (tenant: string) => ({ tenant, weight: 1 });
  const shared = {
    tenants: ORGANISATIONS.map(share),
    keys: ORGANISATIONS.map((organisation) =>
      key(secretOf(organisation), organisation)
    ),
  };
  return tables({
    pools: [pool({ slots: SLOTS_PER_ENGINE, minUpstreams: ENGINE_COUNT })],
    routes: [
      route({ ...shared, deadlineMs: DEADLINE_MS }),
      route({
        name: "train",
        kind: RouteKind.Training,
        priority: Priority.Training,
        tenants: [share("trainer")],
        keys: [key(secretOf("trainer"), "trainer")],
      }),
    ],
  });
}

function callers(
  load: (organisation: string) => Partial<CallerPlan>,
): BenchPlan {
  return {
    callers: ORGANISATIONS.map((organisation) => ({
      name: organisation,
      organisation,
      key: secretOf(organisation),
      model: "model",
      ratePerS: 0,
      promptChars: 400,
      sharedChars: 256,
      prefixes: 4,
      instruction: `[tokens=${OUTPUT_TOKENS}] `,
      outputTokens: 2 * OUTPUT_TOKENS,
      stream: true,
      bursts: [],
      ...load(organisation),
    })),
    trainers: [],
  };
}

function trainerPlan(name: string): TrainerPlan {
  return {
    name,
    route: "train",
    key: secretOf("trainer"),
    groups: 8,
    samples: 8,
    maxTokens: 1000,
    promptChars: 400,
    instructions: [20, 30, 40, 160].map((tokens) => `[tokens=${tokens}] `),
    trainMs: 10,
    version: 1,
  };
}

function secretOf(organisation: string): string {
  return `secret-of-tenant-${organisation}`;
}

void main();
