/**
 * Four daemons and four engine stand-ins under the bench: a tenant that floods
 * one entry, twice the capacity, and trainers beside callers.
 * `node dist/experiments/bench_cluster.js FOLDER SEED [SCENE...]`
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  type CallerPlan,
  type Plan,
  runBench,
  type TrainerPlan,
} from "../src/bench/mod.ts";
import { Priority, RouteKind, type Tables } from "../src/tables/mod.ts";
import { key, pool, route, tables } from "../stand_ins/builders.ts";
import { type Cluster, startCluster } from "../stand_ins/cluster.ts";

const DAEMONS = 4;
const ENGINES = 4;
const SLOTS = 8;
const TOKEN_MS = 10;
const TOKENS = 40;
const TENANTS = ["a", "b", "c", "d", "e", "f", "g", "h"];
const FLOODER = TENANTS[0];
const DEADLINE_MS = 3_000;
const SECONDS = 20;
const PAUSE_MS = 3_000;
const PUBLISH_MS = 5_000;

/** Requests per second that the slots can carry. */
const CAPACITY = ENGINES * SLOTS * 1000 / (TOKEN_MS * TOKENS);
const SHARE = CAPACITY / TENANTS.length;

const SCENES: Readonly<Record<string, Plan>> = {
  alone: callers(() => ({ ratePerS: 0.6 * SHARE })),
  flood: callers((tenant) =>
    tenant === FLOODER
      ? { ratePerS: 10 * SHARE, entry: 0 }
      : { ratePerS: 0.6 * SHARE }
  ),
  peak: callers(() => ({ ratePerS: SHARE })),
  overload: callers(() => ({ ratePerS: 2 * SHARE })),
  training: {
    ...callers(() => ({ ratePerS: 0.3 * SHARE })),
    trainers: [trainer("one"), trainer("two")],
  },
};

async function main(): Promise<void> {
  const [folder, seed, ...chosen] = process.argv.slice(2);
  const names = chosen.length > 0 ? chosen : Object.keys(SCENES);
  const cluster = await start();
  try {
    for (const name of names) {
      const report = await run(cluster, name, { seed: Number(seed) });
      const file = join(folder, `bench-${name}-${seed}.json`);
      writeFileSync(file, JSON.stringify(report, null, 1) + "\n");
      await sleep(PAUSE_MS);
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
  }, PUBLISH_MS);
  const report = await runBench(SCENES[name], entries, {
    seed: options.seed,
    seconds: SECONDS,
    version: () => version,
  });
  clearInterval(publishing);
  return report;
}

async function start(): Promise<Cluster> {
  const cluster = await startCluster({
    daemons: DAEMONS,
    tables: sceneTables(),
    env: { DEBUG: "" },
  });
  for (let n = 0; n < ENGINES; n++) {
    await cluster.addEngine({ id: `engine-${n}`, pool: "lm" }, {
      slots: SLOTS,
      tokenMs: TOKEN_MS,
      lagMs: 200,
    });
  }
  await sleep(PAUSE_MS);
  return cluster;
}

function sceneTables(): Tables {
  const share = (tenant: string) => ({ tenant, weight: 1 });
  const shared = {
    tenants: TENANTS.map(share),
    keys: TENANTS.map((tenant) => key(secret(tenant), tenant)),
  };
  return tables({
    pools: [pool({ slots: SLOTS, minUpstreams: ENGINES })],
    routes: [
      route({ ...shared, deadlineMs: DEADLINE_MS }),
      route({
        name: "train",
        kind: RouteKind.Training,
        priority: Priority.Training,
        tenants: [share("trainer")],
        keys: [key(secret("trainer"), "trainer")],
      }),
    ],
  });
}

function callers(load: (tenant: string) => Partial<CallerPlan>): Plan {
  return {
    callers: TENANTS.map((tenant) => ({
      name: tenant,
      tenant,
      key: secret(tenant),
      model: "model",
      ratePerS: 0,
      promptChars: 400,
      sharedChars: 256,
      prefixes: 4,
      instruction: `[tokens=${TOKENS}] `,
      outputTokens: 2 * TOKENS,
      stream: true,
      bursts: [],
      ...load(tenant),
    })),
    trainers: [],
  };
}

function trainer(name: string): TrainerPlan {
  return {
    name,
    route: "train",
    key: secret("trainer"),
    groups: 8,
    samples: 8,
    maxTokens: 1000,
    promptChars: 400,
    instructions: [20, 30, 40, 160].map((tokens) => `[tokens=${tokens}] `),
    trainMs: 10,
    version: 1,
  };
}

function secret(tenant: string): string {
  return `secret-of-tenant-${tenant}`;
}

void main();
