import { expect } from "earl";
import fc from "fast-check";
import * as O from "fp-ts/Option";
import { test } from "node:test";
import { Clock, ManualClock, Reason, Verdict } from "../kernel/mod.ts";
import type { KeyValue } from "../outside/mod.ts";
import { type CallFate, UnreliableKeyValue } from "./unreliable_key_value.ts";
import { ClaimLog } from "./claim_log.ts";
import { type Claim, ClaimState, OutcomeKind } from "./mod.ts";
import { RecordKind } from "./record.ts";

const SEED = Number(process.env.TOUCANWIND_SEED ?? 20261204);
const RUNS = Number(process.env.TOUCANWIND_RUNS ?? 250);
const HOP_MS = 50;

let seq = 0;

function claimOf(id: string, fingerprint = "f"): Claim {
  return { id, attempt: `attempt-${++seq}`, fingerprint };
}

function logOf(
  keyValue: KeyValue,
  options: {
    clock?: Clock;
    author?: string;
    retentionMs?: number;
    slots?: number;
  } = {},
) {
  return new ClaimLog({
    keyValue,
    clock: options.clock ?? new ManualClock(),
    shard: 1,
    author: options.author ?? "a",
    retentionMs: options.retentionMs ?? 1000,
    slots: options.slots,
  });
}

/** Lets time pass until `promise` resolves. */
async function during<T>(clock: ManualClock, promise: Promise<T>): Promise<T> {
  let pending = true;
  void promise.finally(() => pending = false);
  for (;;) {
    for (let n = 0; n < 20; n++) await new Promise(setImmediate);
    if (!pending) return await promise;
    clock.advance(50);
  }
}

async function standing(log: ClaimLog, claim: Claim) {
  const claimed = await log.claim(claim);
  return claimed.ok ? claimed.val.standing : claimed.val.reason;
}

const NEVER = new AbortController().signal;

const ANSWERED = {
  ending: OutcomeKind.Answered,
  status: 200,
  contentType: "text/plain",
  body: "done",
  whole: true,
  digest: "",
};

test("an id is granted once, also by another daemon", async () => {
  const keyValue = new UnreliableKeyValue();
  const [a, b] = [logOf(keyValue), logOf(keyValue, { author: "b" })];
  expect(await standing(a, claimOf("x"))).toEqual(ClaimState.Granted);
  expect(await standing(a, claimOf("x"))).toEqual(ClaimState.Held);
  expect(await standing(b, claimOf("x"))).toEqual(ClaimState.Held);
  expect(await standing(b, claimOf("x", "other"))).toEqual(ClaimState.Mismatch);
});

test("claims that wait together share a write", async () => {
  const keyValue = new UnreliableKeyValue();
  const log = logOf(keyValue);
  const ids = Array.from({ length: 50 }, (_, n) => `id-${n}`);
  await Promise.all(ids.map((id) => log.claim(claimOf(id))));
  expect(keyValue.writes <= 2).toEqual(true);
});

test("a lost answer is resolved by recognising one's own write", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const log = logOf(keyValue, { clock });
  const fates: CallFate[] = ["answered", "lost after"];
  keyValue.fate = () => fates.shift() ?? "answered";
  const claimed = during(clock, standing(log, claimOf("x")));
  expect(await claimed).toEqual(ClaimState.Granted);
  expect(keyValue.writes).toEqual(1);
});

test("claims of an outage are refused as not run, and granted after it", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const log = logOf(keyValue, { clock });
  keyValue.fate = () => "lost before";
  const claimed = await during(clock, log.claim(claimOf("x")));
  expect(claimed.err && claimed.val.verdict).toEqual(Verdict.NotRun);
  keyValue.fate = () => "answered";
  await during(clock, clock.sleep(1200));
  expect(await standing(log, claimOf("x"))).toEqual(ClaimState.Granted);
});

test("claims during an outage are not held back", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const log = logOf(keyValue, { clock });
  keyValue.fate = () => "lost before";
  void log.claim(claimOf("x"));
  await during(clock, clock.sleep(600));
  const at = clock.now();
  expect(await standing(log, claimOf("y"))).toEqual(Reason.PlatformDown);
  expect(clock.now()).toEqual(at);
});

test("a released claim can be claimed again, by a new attempt only", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const log = logOf(keyValue, { clock });
  const first = claimOf("x");
  await log.claim(first);
  log.append({ kind: RecordKind.Released, claim: first });
  await during(clock, log.flush(NEVER));
  const other = logOf(keyValue, { author: "b" });
  expect(await standing(other, claimOf("x"))).toEqual(ClaimState.Granted);
  expect(await standing(other, first)).toEqual(ClaimState.Held);
});

test("an end counts before it is written", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const log = logOf(keyValue, { clock });
  const first = claimOf("x");
  await log.claim(first);
  log.append({ kind: RecordKind.Released, claim: first });
  const second = claimOf("x");
  expect(await during(clock, standing(log, second)))
    .toEqual(ClaimState.Granted);
  log.append({
    kind: RecordKind.Settled,
    claim: second,
    outcome: ANSWERED,
  });
  expect(await standing(log, claimOf("x"))).toEqual(ClaimState.Ended);
  expect(keyValue.writes).toEqual(2);
});

test("an outcome is found through another daemon", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const log = logOf(keyValue, { clock });
  const claim = claimOf("x");
  await log.claim(claim);
  log.append({ kind: RecordKind.Settled, claim, outcome: ANSWERED });
  await during(clock, log.flush(NEVER));
  const found = await logOf(keyValue, { author: "b" }).find("x");
  expect(found.unwrap()).toEqual(O.some({ outcome: O.some(ANSWERED) }));
  expect(await standing(log, claimOf("x"))).toEqual(ClaimState.Ended);
});

test("a ring that is written round still grants once", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const ring = { clock, retentionMs: 100, slots: 4 };
  const a = logOf(keyValue, ring);
  for (let n = 0; n < 11; n++) {
    const claimed = during(clock, standing(a, claimOf(`id-${n}`)));
    expect(await claimed).toEqual(ClaimState.Granted);
  }
  expect(keyValue.entries.size).toEqual(4);
  const b = logOf(keyValue, { ...ring, author: "b" });
  expect(await standing(b, claimOf("id-10"))).toEqual(ClaimState.Held);
  expect(await standing(b, claimOf("fresh"))).toEqual(ClaimState.Granted);
  const late = during(clock, standing(a, claimOf("fresh")));
  expect(await late).toEqual(ClaimState.Held);
});

test("daemons with other retention settings share a log", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const a = logOf(keyValue, { clock, retentionMs: 1_000 });
  for (let n = 0; n < 45; n++) {
    await during(clock, a.claim(claimOf(`id-${n}`)));
  }
  const b = logOf(keyValue, { clock, author: "b", retentionMs: 9_999_000 });
  const first = during(clock, standing(b, claimOf("fresh")));
  expect(await first).toEqual(ClaimState.Granted);
  const again = during(clock, standing(a, claimOf("fresh")));
  expect(await again).toEqual(ClaimState.Held);
});

/** Time passes only as the scheduler lets timers run, in any order. */
class ScheduledClock extends Clock {
  readonly #scheduler: fc.Scheduler;

  constructor(scheduler: fc.Scheduler) {
    super();
    this.#scheduler = scheduler;
  }

  now(): number {
    return 0;
  }

  wall(): number {
    return 0;
  }

  after(delayMs: number, task: () => void): () => void {
    let cancelled = false;
    const run = async () => {
      // The longer the delay, the more other steps get the chance to go first.
      for (let n = 0; n <= delayMs / HOP_MS && !cancelled; n++) {
        await this.#scheduler.schedule(Promise.resolve());
      }
      if (!cancelled) task();
    };
    void run();
    return () => cancelled = true;
  }
}

/** What a run's history must satisfy: no id ran twice. */
function ranTwice(runs: readonly string[]): readonly string[] {
  return runs.filter((id, n) => runs.indexOf(id) !== n);
}

/** What follows a granted claim. */
type Then = "runs" | "dies" | "gives back";

interface Plan {
  readonly scheduler: fc.Scheduler;
  readonly sends: readonly { id: string; log: number; then: Then }[];
  readonly fates: readonly CallFate[];
  readonly comparing: boolean;
}

/** Sends requests through several owners at once; answers with what ran. */
async function runsOf(plan: Plan): Promise<readonly string[]> {
  const { scheduler, sends, fates } = plan;
  const keyValue = new UnreliableKeyValue();
  keyValue.comparing = plan.comparing;
  let call = 0;
  keyValue.fate = () => fates[call++] ?? "answered";
  keyValue.turn = () => scheduler.schedule(Promise.resolve());
  const logs = [0, 1, 2].map((n) =>
    logOf(keyValue, {
      clock: new ScheduledClock(scheduler),
      author: `log-${n}`,
      retentionMs: 100_000,
    })
  );
  const runs: string[] = [];
  const send = async ({ id, log, then }: Plan["sends"][number]) => {
    const claim = claimOf(id);
    await scheduler.schedule(Promise.resolve());
    const claimed = await logs[log].claim(claim);
    if (claimed.err || claimed.val.standing !== ClaimState.Granted) return;
    // Death between claim and dispatch: the claim stays, nothing runs.
    if (then === "dies") return;
    if (then === "gives back") {
      return logs[log].append({ kind: RecordKind.Released, claim });
    }
    runs.push(id);
    await scheduler.schedule(Promise.resolve());
    const outcome = ANSWERED;
    logs[log].append({ kind: RecordKind.Settled, claim, outcome });
  };
  await scheduler.waitFor(Promise.all(sends.map(send)));
  for (const log of logs) log.stop();
  return runs;
}

function plans(comparing: boolean): fc.Arbitrary<Plan> {
  const fates: CallFate[] = [
    "answered",
    "answered",
    "lost before",
    "lost after",
    "refused",
    "late",
  ];
  return fc.record({
    scheduler: fc.scheduler(),
    sends: fc.array(
      fc.record({
        id: fc.constantFrom("x", "y"),
        log: fc.nat({ max: 2 }),
        then: fc.constantFrom<Then[]>("runs", "runs", "dies", "gives back"),
      }),
      { minLength: 2, maxLength: 8 },
    ),
    fates: fc.array(fc.constantFrom(...fates), { maxLength: 20 }),
    comparing: fc.constant(comparing),
  });
}

test("no interleaving of owners and lost answers runs an id twice", async () => {
  await fc.assert(
    fc.asyncProperty(plans(true), async (plan) => {
      expect(ranTwice(await runsOf(plan))).toEqual([]);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test("the check rejects a service that does not compare", async () => {
  const details = await fc.check(
    fc.asyncProperty(
      plans(false),
      async (plan) => ranTwice(await runsOf(plan)).length === 0,
    ),
    { seed: SEED, numRuns: RUNS },
  );
  expect(details.failed).toEqual(true);
});
