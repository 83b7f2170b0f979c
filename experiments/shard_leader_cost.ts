/**
 * Measures processor time and memory of one shard leader by the number of
 * waiting requests and organisations:
 * `node --expose-gc dist/experiments/shard_leader_cost.js`.
 *
 * @module
 */

import { ManualClock } from "../src/kernel/mod.ts";
import { Priority } from "../src/tables/mod.ts";
import { Headroom } from "../src/dispatch/headroom.ts";
import { ShardLeader } from "../src/dispatch/shard_leader.ts";
import { type Demand, Outcome } from "../src/dispatch/mod.ts";
import type { Ticket } from "../src/dispatch/queue.ts";

const UPSTREAM_COUNT = 16;
const SLOTS_PER_UPSTREAM = 16;
const ROUNDS = 4000;

/** Measures the cost of a grant and a release while `waiting` requests wait. */
function measureCost(options: { waiting: number; tenants: number }) {
  const clock = new ManualClock();
  const leader = new ShardLeader({ clock, headroom: new Headroom() });
  leader.setUpstreams(Array.from({ length: UPSTREAM_COUNT }, (_, index) => ({
    id: `up-${index}`,
    address: "",
    pool: "lm",
    availabilityZone: `zone-${index % 4}`,
    reclaimable: false,
    leaving: false,
    evacuated: false,
    cores: 1,
    slots: SLOTS_PER_UPSTREAM,
  })));
  const permits: string[] = [];
  const before = heapBytes();
  const submit = (index: number) =>
    leader.submit(ticket(index, options.tenants, clock.now()), (answer) => {
      if ("permit" in answer) permits.push(answer.permit);
    });
  const start = UPSTREAM_COUNT * SLOTS_PER_UPSTREAM + options.waiting;
  for (let index = 0; index < start; index++) submit(index);
  const bytes = (heapBytes() - before) / start;
  const startedAt = performance.now();
  for (let round = 0; round < ROUNDS; round++) {
    clock.advance(5);
    leader.release(permits.shift() ?? "", Outcome.Served, 100);
    submit(start + round);
  }
  const us = (performance.now() - startedAt) / ROUNDS * 1000;
  return { ...options, usPerRequest: us, bytesPerRequest: bytes };
}

function ticket(index: number, tenants: number, now: number): Ticket {
  const demand: Demand = {
    id: `request-${index}`,
    pool: "lm",
    route: "chat",
    tenant: `tenant-${index % tenants}`,
    priority: index % 4 === 0 ? Priority.Interactive : Priority.Training,
    weight: 1 + index % 3,
    tokens: 1000,
    prefixes: Array.from({ length: 8 }, (_, block) => `${index % 50}.${block}`),
    remainingMs: 1e9,
    minVersion: 0,
    exclude: [],
    fingerprint: `fingerprint-${index}`,
    attempt: 0,
  };
  return {
    id: demand.id,
    entry: `entry-${index % 8}`,
    availabilityZone: `zone-${index % 4}`,
    demand,
    queuedAt: now,
  };
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

for (const waiting of [0, 100, 1000, 4000]) {
  for (const tenants of [8, 64]) {
    console.log(JSON.stringify(measureCost({ waiting, tenants })));
  }
}
