import { expect } from "earl";
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { join } from "node:path";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { HistoryEvent } from "../../stand_ins/history.ts";
import { startPlatform } from "../../stand_ins/platform.ts";
import { HashRandom } from "../../stand_ins/hash_random.ts";
import type { Order } from "../outside/mod.ts";

const CONTENDER = join(__dirname, "contender_fixture.js");
const GUARD = join(__dirname, "../../stand_ins/guard.js");
const LEASE_MS = 240;
const MARGIN_MS = 80;
const FREEZE_COUNT = Number(process.env.FREEZES ?? 8);
/** Time for a signal to reach a process on a busy machine. */
const MAX_SIGNAL_DELAY_MS = 50;
const SEED = Number(process.env.SEED ?? 1);

/** An order with the time at which its sender checked the lease. */
interface Checked extends Order {
  readonly checkedAt: number;
}

interface FreezeResult {
  readonly accepted: readonly Checked[];
  /** Orders that arrived after one of a newer term; all refused. */
  readonly late: readonly Checked[];
  /** Time at which each freeze was requested. */
  readonly freezes: readonly number[];
}

/** Freezes the holder at random moments for longer than its lease. */
async function freeze(marginMs: number): Promise<FreezeResult> {
  const accepted: Checked[] = [];
  const late: Checked[] = [];
  const freezes: number[] = [];
  const platform = await startPlatform({
    fenced: true,
    sink: ({ kind, order, accepted: taken }: HistoryEvent) => {
      if (kind === "ordered") (taken ? accepted : late).push(order as Checked);
    },
  });
  const children = new Map<string, ChildProcess>();
  for (const name of ["a", "b", "c"]) {
    const args = [CONTENDER, platform.url, name, LEASE_MS, marginMs];
    children.set(
      name,
      spawn(process.execPath, ["--require", GUARD, ...args.map(String)]),
    );
  }
  const random = new HashRandom({ seed: SEED });
  try {
    while (accepted.length === 0) await sleep(20);
    for (let n = 0; n < FREEZE_COUNT; n++) {
      await sleep(100 + random.next() * 200);
      const holder = children.get(accepted[accepted.length - 1].holder);
      freezes.push(performance.timeOrigin + performance.now());
      holder?.kill("SIGSTOP");
      await sleep(LEASE_MS * (1 + 2 * random.next()));
      holder?.kill("SIGCONT");
    }
    await sleep(2 * LEASE_MS);
  } finally {
    await Promise.all([...children.values()].map(end));
    await platform.close();
  }
  return { accepted, late, freezes };
}

async function end(child: ChildProcess): Promise<void> {
  const exit = once(child, "exit");
  child.kill("SIGKILL");
  await exit;
}

/** Whether the order was checked at the time of a freeze. */
function frozenDuringWrite(
  order: Checked,
  freezes: readonly number[],
): boolean {
  return freezes.some((at) =>
    Math.abs(order.checkedAt - at) < MAX_SIGNAL_DELAY_MS
  );
}

test("orders of a frozen holder do not follow its successor's", async (t) => {
  const { accepted, late, freezes } = await freeze(MARGIN_MS);
  const terms = accepted.map(({ term }) => term);
  const termCount = new Set(terms).size;
  t.diagnostic(
    `${terms.length} orders, ${termCount} terms, ${late.length} late, ` +
      `seed ${SEED}`,
  );
  expect(termCount > FREEZE_COUNT / 2).toEqual(true);
  expect(terms.every((term, n) => n === 0 || term >= terms[n - 1]))
    .toEqual(true);
  // The sender cannot detect a freeze during the write itself.
  expect(late.filter((order) => !frozenDuringWrite(order, freezes)))
    .toEqual([]);
  expect(late.length <= FREEZE_COUNT / 4).toEqual(true);
});
