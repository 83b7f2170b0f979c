/**
 * Measures the processor time of one choice by expected finish with 16 full
 * upstreams: `node dist/experiments/expected_finish_cost.js`.
 *
 * @module
 */

import { Random } from "../src/bench/random.ts";
import { Outcome } from "../src/dispatch/mod.ts";
import type { ActivePermit } from "../src/dispatch/permits.ts";
import { SwitchingSelector } from "../src/dispatch/switching_selector.ts";
import type { Candidate } from "../src/dispatch/upstream_selector.ts";
import { ManualClock } from "../src/kernel/mod.ts";
import { Priority } from "../src/tables/mod.ts";

const UPSTREAMS = 16;
const SLOTS = 6;
const ROUNDS = 50_000;

const clock = new ManualClock();
const random = new Random({ seed: 1 });
const selector = new SwitchingSelector({ clock });
let count = 0;

function demandOf(prefixes: readonly string[]) {
  count += 1;
  return {
    id: `${count}`,
    pool: "web",
    route: count % 5 === 0 ? "reward" : "lookup",
    tenant: "a",
    priority: Priority.Standard,
    weight: 1,
    tokens: 1,
    prefixes,
    remainingMs: 60_000,
    minVersion: 0,
    exclude: [],
    fingerprint: `${count}`,
    attempt: 0,
  };
}

function start(upstream: number): ActivePermit {
  const demand = demandOf([]);
  const permit = {
    permit: demand.id,
    ticket: demand.id,
    upstream: `${upstream}`,
    entry: "entry-1",
    demand,
    grantedAt: clock.now(),
    isolatedUntil: -Infinity,
  };
  selector.started(permit, clock.now());
  return permit;
}

const running: ActivePermit[] = [];
for (let slot = 0; slot < SLOTS; slot++) {
  for (let upstream = 0; upstream < UPSTREAMS; upstream++) {
    running.push(start(upstream));
  }
}
const candidates: readonly Candidate[] = Array.from(
  { length: UPSTREAMS },
  (_, index) => ({
    upstream: {
      id: `${index}`,
      address: "",
      pool: "web",
      availabilityZone: `zone-${index % 4}`,
      reclaimable: false,
      leaving: false,
      evacuated: false,
      slots: SLOTS,
    },
    inFlight: SLOTS,
    foreign: 0,
    load: undefined,
    readyForMs: 10_000,
    startsLeft: Infinity,
  }),
);

/** Microseconds for each choice, and for each choice with its bookkeeping. */
function measure(prefixes: readonly string[]) {
  let pickMs = 0;
  const startedAt = performance.now();
  for (let round = 0; round < ROUNDS; round++) {
    clock.advance(1 + random.next());
    const permit = running.shift();
    if (permit === undefined) break;
    const upstream = Number(permit.upstream);
    const load = { running: 6, waiting: 0, slots: SLOTS, pacePercent: 100 };
    selector.stated(permit.upstream, load, clock.now());
    selector.ended(permit, { outcome: Outcome.Served, now: clock.now() });
    const demand = demandOf(prefixes);
    const ticket = {
      id: demand.id,
      entry: "entry-1",
      availabilityZone: "zone-1",
      demand,
      queuedAt: clock.now(),
    };
    const before = performance.now();
    selector.pick(ticket, candidates);
    pickMs += performance.now() - before;
    running.push(start(upstream));
  }
  const totalMs = performance.now() - startedAt;
  return {
    prefixes: prefixes.length,
    expectedFinish: selector.status([]).expectedFinish,
    usPerChoice: Math.round(pickMs / ROUNDS * 1e5) / 100,
    usWithBookkeeping: Math.round(totalMs / ROUNDS * 1e5) / 100,
  };
}

measure([]);
console.log(JSON.stringify(measure([])));
console.log(JSON.stringify(measure(["a", "b", "c", "d"])));
