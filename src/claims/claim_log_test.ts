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
const TURN_MS = 50;

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

/** Advances the clock until `promise` resolves. */
async function advanceUntil<T>(
  clock: ManualClock,
  promise: Promise<T>,
): Promise<T> {
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

test("an id is granted once across daemons", async () => {
  const keyValue = new UnreliableKeyValue();
  const [a, b] = [logOf(keyValue), logOf(keyValue, { author: "b" })];
  expect(await standing(a, claimOf("x"))).toEqual(ClaimState.Granted);
  expect(await standing(a, claimOf("x"))).toEqual(ClaimState.Held);
  expect(await standing(b, claimOf("x"))).toEqual(ClaimState.Held);
  expect(await standing(b, claimOf("x", "other"))).toEqual(ClaimState.Mismatch);
});

test("queued claims share a write", async () => {
  const keyValue = new UnreliableKeyValue();
  const log = logOf(keyValue);
  const ids = Array.from({ length: 50 }, (_, n) => `id-${n}`);
  await Promise.all(ids.map((id) => log.claim(claimOf(id))));
  expect(keyValue.writes <= 2).toEqual(true);
});

test("after a lost response a writer recognizes its own write", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const log = logOf(keyValue, { clock });
  const fates: CallFate[] = ["answered", "lost after"];
  keyValue.fate = () => fates.shift() ?? "answered";
  const claimed = advanceUntil(clock, standing(log, claimOf("x")));
  expect(await claimed).toEqual(ClaimState.Granted);
  expect(keyValue.writes).toEqual(1);
});

test("claims are refused as not run in an outage, and granted after it", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const log = logOf(keyValue, { clock });
  keyValue.fate = () => "lost before";
  const claimed = await advanceUntil(clock, log.claim(claimOf("x")));
  expect(claimed.err && claimed.val.verdict).toEqual(Verdict.NotRun);
  keyValue.fate = () => "answered";
  await advanceUntil(clock, clock.sleep(1200));
  expect(await standing(log, claimOf("x"))).toEqual(ClaimState.Granted);
});

test("claims fail fast during an outage", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const log = logOf(keyValue, { clock });
  keyValue.fate = () => "lost before";
  void log.claim(claimOf("x"));
  await advanceUntil(clock, clock.sleep(600));
  const at = clock.now();
  expect(await standing(log, claimOf("y"))).toEqual(Reason.PlatformDown);
  expect(clock.now()).toEqual(at);
});

test("a released id can be claimed again, but only by a new attempt", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const log = logOf(keyValue, { clock });
  const first = claimOf("x");
  await log.claim(first);
  log.append({ kind: RecordKind.Released, claim: first });
  await advanceUntil(clock, log.flush(NEVER));
  const other = logOf(keyValue, { author: "b" });
  expect(await standing(other, claimOf("x"))).toEqual(ClaimState.Granted);
  expect(await standing(other, first)).toEqual(ClaimState.Held);
});

test("queued releases and outcomes take effect before they are written", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const log = logOf(keyValue, { clock });
  const first = claimOf("x");
  await log.claim(first);
  log.append({ kind: RecordKind.Released, claim: first });
  const second = claimOf("x");
  expect(await advanceUntil(clock, standing(log, second)))
    .toEqual(ClaimState.Granted);
  log.append({
    kind: RecordKind.Settled,
    claim: second,
    outcome: ANSWERED,
  });
  expect(await standing(log, claimOf("x"))).toEqual(ClaimState.Ended);
  expect(keyValue.writes).toEqual(2);
});

test("another daemon finds an outcome", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const log = logOf(keyValue, { clock });
  const claim = claimOf("x");
  await log.claim(claim);
  log.append({ kind: RecordKind.Settled, claim, outcome: ANSWERED });
  await advanceUntil(clock, log.flush(NEVER));
  const found = await logOf(keyValue, { author: "b" }).find("x");
  expect(found.unwrap()).toEqual(O.some({ outcome: O.some(ANSWERED) }));
  expect(await standing(log, claimOf("x"))).toEqual(ClaimState.Ended);
});

test("an id is granted once after the ring has wrapped around", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const ring = { clock, retentionMs: 100, slots: 4 };
  const a = logOf(keyValue, ring);
  for (let n = 0; n < 11; n++) {
    const claimed = advanceUntil(clock, standing(a, claimOf(`id-${n}`)));
    expect(await claimed).toEqual(ClaimState.Granted);
  }
  expect(keyValue.entries.size).toEqual(4);
  const b = logOf(keyValue, { ...ring, author: "b" });
  expect(await standing(b, claimOf("id-10"))).toEqual(ClaimState.Held);
  expect(await standing(b, claimOf("fresh"))).toEqual(ClaimState.Granted);
  const late = advanceUntil(clock, standing(a, claimOf("fresh")));
  expect(await late).toEqual(ClaimState.Held);
});

test("daemons with different retention settings share a log", async () => {
  const keyValue = new UnreliableKeyValue();
  const clock = new ManualClock();
  const a = logOf(keyValue, { clock, retentionMs: 1_000 });
  for (let n = 0; n < 45; n++) {
    await advanceUntil(clock, a.claim(claimOf(`id-${n}`)));
  }
  const b = logOf(keyValue, { clock, author: "b", retentionMs: 9_999_000 });
  const first = advanceUntil(clock, standing(b, claimOf("fresh")));
  expect(await first).toEqual(ClaimState.Granted);
  const again = advanceUntil(clock, standing(a, claimOf("fresh")));
  expect(await again).toEqual(ClaimState.Held);
});

/** A clock without time, whose timers the scheduler runs in any order. */
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
      // The longer the delay, the more other tasks can run first.
      for (let n = 0; n <= delayMs / TURN_MS && !cancelled; n++) {
        await this.#scheduler.schedule(Promise.resolve());
      }
      if (!cancelled) task();
    };
    void run();
    return () => cancelled = true;
  }
}

/** Ids that ran more than once. */
function duplicates(runs: readonly string[]): readonly string[] {
  return runs.filter((id, n) => runs.indexOf(id) !== n);
}

/** What happens after a claim is granted. */
type AfterGrant = "runs" | "dies" | "releases";

interface Scenario {
  readonly scheduler: fc.Scheduler;
  readonly requests: readonly { id: string; log: number; then: AfterGrant }[];
  readonly fates: readonly CallFate[];
  readonly comparesRevisions: boolean;
}

/** Sends requests through several owners at once; returns the ids that ran. */
async function runScenario(scenario: Scenario): Promise<readonly string[]> {
  const { scheduler, requests, fates } = scenario;
  const keyValue = new UnreliableKeyValue();
  keyValue.comparesRevisions = scenario.comparesRevisions;
  let call = 0;
  keyValue.fate = () => fates[call++] ?? "answered";
  keyValue.pause = () => scheduler.schedule(Promise.resolve());
  const logs = [0, 1, 2].map((n) =>
    logOf(keyValue, {
      clock: new ScheduledClock(scheduler),
      author: `log-${n}`,
      retentionMs: 100_000,
    })
  );
  const runs: string[] = [];
  const send = async ({ id, log, then }: Scenario["requests"][number]) => {
    const claim = claimOf(id);
    await scheduler.schedule(Promise.resolve());
    const claimed = await logs[log].claim(claim);
    if (claimed.err || claimed.val.standing !== ClaimState.Granted) return;
    // The daemon dies between claim and dispatch: the id stays claimed.
    if (then === "dies") return;
    if (then === "releases") {
      return logs[log].append({ kind: RecordKind.Released, claim });
    }
    runs.push(id);
    await scheduler.schedule(Promise.resolve());
    const outcome = ANSWERED;
    logs[log].append({ kind: RecordKind.Settled, claim, outcome });
  };
  await scheduler.waitFor(Promise.all(requests.map(send)));
  for (const log of logs) log.stop();
  return runs;
}

function scenarios(comparesRevisions: boolean): fc.Arbitrary<Scenario> {
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
    requests: fc.array(
      fc.record({
        id: fc.constantFrom("x", "y"),
        log: fc.nat({ max: 2 }),
        then: fc.constantFrom<AfterGrant[]>(
          "runs",
          "runs",
          "dies",
          "releases",
        ),
      }),
      { minLength: 2, maxLength: 8 },
    ),
    fates: fc.array(fc.constantFrom(...fates), { maxLength: 20 }),
    comparesRevisions: fc.constant(comparesRevisions),
  });
}

test("no interleaving of owners and lost responses runs an id twice", async () => {
  await fc.assert(
    fc.asyncProperty(scenarios(true), async (scenario) => {
      expect(duplicates(await runScenario(scenario))).toEqual([]);
    }),
    { seed: SEED, numRuns: RUNS },
  );
});

test("the check fails if the service does not compare revisions", async () => {
  const details = await fc.check(
    fc.asyncProperty(
      scenarios(false),
      async (scenario) => duplicates(await runScenario(scenario)).length === 0,
    ),
    { seed: SEED, numRuns: RUNS },
  );
  expect(details.failed).toEqual(true);
});
