/**
 * Measures how long an accepted revision takes to be in force on every daemon,
 * without faults and with lost, failed and delayed calls to the platform:
 * `node dist/experiments/configuration_spread.js [daemons] [edits]`.
 *
 * @module
 */

import { isSome } from "fp-ts/Option";
import { build, type Histogram } from "hdr-histogram-js";
import { setTimeout as sleep } from "node:timers/promises";
import { AdminClient } from "../src/cli/admin_client.ts";
import { EditOutcome, RevisionStore } from "../src/cli/mod.ts";
import { SystemClock } from "../src/kernel/mod.ts";
import { HttpKeyValue } from "../src/outside/http_key_value.ts";
import { pool, tables } from "../stand_ins/builders.ts";
import { type Cluster, startCluster } from "../stand_ins/cluster.ts";
import { type FaultInjection, FaultKind } from "../stand_ins/faults.ts";

const POLL_INTERVAL_MS = 5;
const EDIT_INTERVAL_MS = 200;
const PROPAGATION_TIMEOUT_MS = 20_000;
const MAX_SLOTS = 4_000;

const FAULT_CASES: Readonly<Record<string, readonly FaultInjection[]>> = {
  "without faults": [],
  "20 % of answers lost, 20 % of calls cut": [
    { kind: FaultKind.Lost, operation: "*", probability: 0.2, seed: 1 },
    { kind: FaultKind.Outage, operation: "*", probability: 0.2, seed: 2 },
  ],
  "every call 500 ms late": [
    { kind: FaultKind.Delay, operation: "*", delayMs: 500 },
  ],
};

/**
 * Makes one edit and returns the milliseconds from its acceptance until it is
 * in force on every daemon, or `undefined` if it was not accepted.
 */
async function measurePropagation(
  cluster: Cluster,
  editNumber: number,
): Promise<number | undefined> {
  const clock = new SystemClock();
  const keyValue = new HttpKeyValue({ url: cluster.platform.url });
  const revisions = new RevisionStore({ keyValue, clock });
  const head = await revisions.head();
  if (head.err) return undefined;
  const commit = await revisions.commit({
    on: isSome(head.val) ? head.val.value.stamp.revision : 0,
    tables: tables({ pools: [pool({ slots: 1 + editNumber % MAX_SLOTS })] }),
    attempt: `spread-${editNumber}-${clock.wall()}`,
    author: "spread",
    note: "",
  });
  if (commit.ending !== EditOutcome.Accepted) return undefined;
  const start = clock.now();
  const [first] = cluster.daemons;
  const daemons = new AdminClient({ entries: [first.url], clock });
  while (clock.now() - start < PROPAGATION_TIMEOUT_MS) {
    const arrival = await daemons.arrival(commit.stamp.revision, 0);
    if (arrival.inForce) return clock.now() - start;
    await sleep(POLL_INTERVAL_MS);
  }
  return PROPAGATION_TIMEOUT_MS;
}

function formatTimes(histogram: Histogram): string {
  const at = (percentile: number) =>
    histogram.getValueAtPercentile(percentile).toFixed(0);
  return `median ${at(50)} ms, 90 % ${at(90)} ms, 99 % ${at(99)} ms, ` +
    `longest ${histogram.maxValue.toFixed(0)} ms`;
}

async function main(daemons: number, edits: number): Promise<void> {
  const cluster = await startCluster({ daemons, tables: tables() });
  try {
    for (const [name, faults] of Object.entries(FAULT_CASES)) {
      cluster.platform.inject(faults);
      const histogram = build();
      let unanswered = 0;
      for (let editNumber = 0; editNumber < edits; editNumber++) {
        const ms = await measurePropagation(cluster, editNumber);
        if (ms === undefined) unanswered++;
        else histogram.recordValue(Math.round(ms));
        await sleep(EDIT_INTERVAL_MS);
      }
      console.log(
        `${daemons} daemons, ${name}: ${histogram.totalCount} edits, ` +
          `${formatTimes(histogram)}; ${unanswered} without an answer`,
      );
    }
  } finally {
    await cluster.stop();
  }
}

const [daemons = "8", edits = "60"] = process.argv.slice(2);
main(Number(daemons), Number(edits)).catch((error) => {
  console.error(error);
  process.exitCode = 1;
});
