/**
 * Measures the cost of usage accounting by the number of entries in a window:
 * memory and processor time of a usage log, size of the copy sent to a peer,
 * size and time of a seal.
 * `node --expose-gc dist/experiments/usage_cost.js [FILE]`
 *
 * @module
 */

import { encode } from "cbor-x";
import { writeFileSync } from "node:fs";
import { UsageLog, type UsageLogSummary } from "../src/usage/usage_log.ts";
import { createSeal } from "../src/usage/seal.ts";

const ENTRY_COUNTS = [1_000, 4_000, 16_000, 64_000];
const DAEMON_COUNTS = [8, 32, 128, 410];
const ORGANISATION_COUNT = 24;
const ROUTE_COUNT = 3;

function main(): void {
  const books = ENTRY_COUNTS.map(measureUsageLog);
  const seals = DAEMON_COUNTS.map(measureSeal);
  console.table(books);
  console.table(seals);
  const file = process.argv[2];
  if (file) writeFileSync(file, JSON.stringify({ books, seals }, null, 1));
}

/** Measures the usage log of one daemon with `entries` entries. */
function measureUsageLog(entries: number) {
  globalThis.gc?.();
  const heap = process.memoryUsage().heapUsed;
  const startedAt = performance.now();
  const usageLog = createFilledLog("run", entries);
  const addMs = performance.now() - startedAt;
  globalThis.gc?.();
  const bytes = process.memoryUsage().heapUsed - heap;
  return {
    entries,
    addUsPerEntry: round(1_000 * addMs / entries),
    heapBytesPerEntry: Math.round(bytes / entries),
    copyBytesPerEntry: round(encode(usageLog.after(0)).length / entries),
    wholeBookBytes: encode(usageLog.after(0)).length,
    summaryBytes: encode(usageLog.summary).length,
  };
}

/** Measures the seal of a window over the usage logs of `daemons`. */
function measureSeal(daemons: number) {
  const copies: UsageLogSummary[] = [];
  for (let n = 0; n < daemons; n++) {
    copies.push(createFilledLog(`incarnation-of-daemon-${n}`, 1_000).summary);
  }
  const collectBytes = copies
    .reduce((sum, copy) => sum + encode(copy).length, 0);
  const startedAt = performance.now();
  const seal = createSeal(copies, {
    window: 0,
    holder: "entry-1",
    term: 1,
    attempt: "attempt",
    sealedShared: new Set(),
  });
  const sealMs = performance.now() - startedAt;
  return {
    daemons,
    collectBytes,
    sealMs: round(sealMs),
    sealBytes: JSON.stringify(seal).length,
  };
}

function createFilledLog(incarnation: string, entries: number): UsageLog {
  const usageLog = new UsageLog({ incarnation, window: 0 });
  for (let n = 0; n < entries; n++) {
    usageLog.add({
      id: "",
      tenant: `tenant-${n % ORGANISATION_COUNT}`,
      route: `route-${n % ROUTE_COUNT}`,
      promptTokens: 200 + n % 100,
      outputTokens: 250 + n % 50,
    }, 0);
  }
  return usageLog;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

main();
