/**
 * Measures claims per second against writes per second to the key-value
 * service, and the latency of a claim, at several rates.
 *
 * Run: node dist/experiments/claim_cost.js > docs/measurements/claims.json
 *
 * @module
 */

import { createHistogram, type RecordableHistogram } from "node:perf_hooks";
import { setTimeout as sleep } from "node:timers/promises";
import { ClaimLog } from "../src/claims/claim_log.ts";
import { ClaimState, OutcomeKind } from "../src/claims/mod.ts";
import { RecordKind } from "../src/claims/record.ts";
import { SystemClock } from "../src/kernel/mod.ts";
import { HttpKeyValue } from "../src/outside/http_key_value.ts";
import { startPlatform } from "../stand_ins/platform.ts";

const SHARD_COUNT = 16;
const RATES_PER_SECOND = [10, 50, 200, 800, 1600];
const RUN_MS = 5_000;
const SEND_INTERVAL_MS = 10;
const RETENTION_MS = 3_600_000;
const FLUSH_TIMEOUT_MS = 2_000;

const OUTCOME = {
  ending: OutcomeKind.Answered,
  status: 200,
  contentType: "application/json",
  body: JSON.stringify({ released: true, lot: 4711 }),
  whole: true,
  digest: "0".repeat(64),
};

const clock = new SystemClock();

/** Counts of one run. */
interface RunCounts {
  readonly waits: RecordableHistogram;
  granted: number;
  encodedChars: number;
}

/** Claims at `rate` for `RUN_MS`, settling each claim at once. */
async function run(rate: number): Promise<Record<string, number>> {
  const platform = await startPlatform({});
  const keyValue = new HttpKeyValue({ url: platform.url });
  const logs = createClaimLogs(keyValue);
  const counts = { waits: createHistogram(), granted: 0, encodedChars: 0 };
  const cpu = process.cpuUsage();
  const startedAt = clock.now();
  await sendAtRate(rate, (n) => claim(logs[n % SHARD_COUNT], n, counts));
  const seconds = (clock.now() - startedAt) / 1000;
  const cpuUsed = process.cpuUsage(cpu);
  const { swap = 0, range = 0, get = 0 } = platform.calls();
  await Promise.all(
    logs.map((log) => log.flush(AbortSignal.timeout(FLUSH_TIMEOUT_MS))),
  );
  for (const log of logs) log.stop();
  await keyValue.close();
  await platform.close();
  const { granted, encodedChars, waits } = counts;
  return {
    rate,
    grantedPerSecond: round(granted / seconds),
    writesPerSecond: round(swap / seconds),
    readsPerSecond: round((range + get) / seconds),
    claimsPerWrite: round(granted / Math.max(1, swap)),
    bytesPerClaim: round(encodedChars / Math.max(1, granted)),
    waitP50Ms: round(waits.percentile(50) / 1000),
    waitP99Ms: round(waits.percentile(99) / 1000),
    // Includes the processor time of the platform stand-in.
    cpuMsPerClaim: round((cpuUsed.user + cpuUsed.system) / 1000 / granted),
  };
}

function createClaimLogs(keyValue: HttpKeyValue): readonly ClaimLog[] {
  return Array.from({ length: SHARD_COUNT }, (_, shard) =>
    new ClaimLog({
      keyValue,
      clock,
      shard,
      author: "experiment",
      retentionMs: RETENTION_MS,
    }));
}

/** Calls `send` at a constant rate; resolves when all calls have ended. */
async function sendAtRate(
  rate: number,
  send: (n: number) => Promise<void>,
): Promise<void> {
  const startedAt = clock.now();
  const running: Promise<void>[] = [];
  for (;;) {
    const elapsedMs = clock.now() - startedAt;
    if (elapsedMs >= RUN_MS) break;
    const due = Math.floor(rate * elapsedMs / 1000);
    while (running.length < due) running.push(send(running.length));
    await sleep(SEND_INTERVAL_MS);
  }
  await Promise.all(running);
}

async function claim(
  log: ClaimLog,
  n: number,
  counts: RunCounts,
): Promise<void> {
  const claim = {
    id: `claim-identifier-${n}`,
    attempt: `4cf1b6cf-1ad4-4a0e-8cb5-3f1e70000000/${n}`,
    fingerprint: "f".repeat(43),
  };
  const at = clock.now();
  const answer = await log.claim(claim);
  const waitedUs = Math.round(1000 * (clock.now() - at));
  counts.waits.record(Math.max(1, waitedUs));
  if (answer.err || answer.val.standing !== ClaimState.Granted) return;
  const claimed = { kind: RecordKind.Claimed, claim } as const;
  const settled = {
    kind: RecordKind.Settled,
    claim,
    outcome: OUTCOME,
  } as const;
  counts.granted++;
  counts.encodedChars += JSON.stringify([claimed, settled]).length;
  log.append(settled);
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}

async function main(): Promise<void> {
  const rows = [];
  for (const rate of RATES_PER_SECOND) rows.push(await run(rate));
  console.log(
    JSON.stringify({ shards: SHARD_COUNT, runMs: RUN_MS, rows }, null, 2),
  );
}

void main();
