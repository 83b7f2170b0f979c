import { expect } from "earl";
import fc from "fast-check";
import { isNone, isSome, none } from "fp-ts/Option";
import { test } from "node:test";
import { hashKey, type Tables } from "../tables/mod.ts";
import { pool, route } from "../../stand_ins/builders.ts";
import { checkHistory } from "./history_check.ts";
import {
  type CallPlan,
  CallResult,
  InstantClock,
  MemoryKeyValue,
} from "./command_fixture.ts";
import {
  ARCHIVE_PREFIX,
  type CommitResult,
  type Edit,
  EditOutcome,
  RevisionStore,
} from "./mod.ts";

const HEAD_KEY = "toucanwind/configuration";

function tables(slots: number, secrets: readonly string[] = []): Tables {
  const keys = secrets.map((secret) => ({
    id: secret,
    sha256: hashKey(secret),
    tenant: "one",
  }));
  return { routes: [route({ keys })], pools: [pool({ slots })] };
}

function edit(on: number, attempt: string, slots = on + 1): Edit {
  return { on, attempt, tables: tables(slots), author: attempt, note: "" };
}

function storeOf(
  keyValue: MemoryKeyValue,
  retryTimeoutMs = 5_000,
): RevisionStore {
  return new RevisionStore({
    keyValue,
    clock: new InstantClock(),
    retryTimeoutMs,
  });
}

/** Gives matching calls these results in order; later calls are answered. */
function planCalls(
  operation: string,
  key: string,
  calls: readonly CallResult[],
): CallPlan {
  const remaining = [...calls];
  return (op, at) =>
    op === operation && at.startsWith(key)
      ? remaining.shift() ?? CallResult.Answered
      : CallResult.Answered;
}

async function storeRevisions(length: number): Promise<MemoryKeyValue> {
  const keyValue = new MemoryKeyValue();
  const revisions = storeOf(keyValue);
  for (let on = 0; on < length; on++) {
    await revisions.commit(edit(on, `a${on + 1}`));
  }
  return keyValue;
}

test("each revision before the head is archived", async () => {
  const revisions = storeOf(await storeRevisions(3));
  const listed = (await revisions.list(10)).unwrap();
  expect(listed.map((stamp) => stamp.attempt)).toEqual(["a3", "a2", "a1"]);
  expect((await revisions.list(2)).unwrap().length).toEqual(2);
  const second = (await revisions.at(2)).unwrap();
  expect(isSome(second) && second.value.tables.unwrap().pools[0]?.slots)
    .toEqual(2);
  expect(isNone((await revisions.at(9)).unwrap())).toEqual(true);
});

test("the archive drops its oldest revisions when it is full", async () => {
  const keyValue = new MemoryKeyValue();
  const secrets = Array.from({ length: 8_000 }, (_, at) => `key-${at}`);
  const large = tables(1, secrets);
  for (let on = 0; on < 41; on++) {
    const { ending } = await storeOf(keyValue)
      .commit({ ...edit(on, `a${on}`), tables: large });
    expect(ending).toEqual(EditOutcome.Accepted);
  }
  const bytes = Buffer.byteLength(keyValue.entries.get(HEAD_KEY)?.value ?? "");
  const listed = (await storeOf(keyValue).list(100)).unwrap();
  expect(listed.length).toEqual(1 + Math.floor(33_554_432 / bytes));
  expect(listed[0]?.revision).toEqual(41);
});

for (
  const call of [
    CallResult.AnswerLost,
    CallResult.Dropped,
    CallResult.Late,
    CallResult.NotSent,
  ]
) {
  test(`an edit is accepted once when its swap is ${call}`, async () => {
    const keyValue = await storeRevisions(2);
    keyValue.planCall = planCalls("swap", HEAD_KEY, [call, call]);
    const commit = await storeOf(keyValue).commit(edit(2, "mine"));
    expect(commit.ending).toEqual(EditOutcome.Accepted);
    const listed = (await storeOf(keyValue).list(10)).unwrap();
    expect(listed.map((stamp) => stamp.attempt)).toEqual(["mine", "a2", "a1"]);
  });
}

test("an edit that lost reports the winner", async () => {
  const keyValue = await storeRevisions(2);
  const commit = await storeOf(keyValue).commit(edit(1, "late"));
  if (commit.ending !== EditOutcome.Lost) throw new Error(commit.ending);
  expect(isSome(commit.winner) && commit.winner.value.author).toEqual("a2");
});

test("a resent edit is recognised as accepted after later edits", async () => {
  const keyValue = await storeRevisions(1);
  const ownEdit = edit(1, "mine");
  const lost = planCalls(
    "swap",
    HEAD_KEY,
    Array(99).fill(CallResult.AnswerLost),
  );
  const unread = planCalls("get", HEAD_KEY, [
    CallResult.Answered,
    CallResult.NotSent,
  ]);
  keyValue.planCall = (...call) =>
    call[0] === "get" ? unread(...call) : lost(...call);
  const commit = await storeOf(keyValue, 0).commit(ownEdit);
  expect(commit.ending).toEqual(EditOutcome.Unknown);
  keyValue.planCall = () => CallResult.Answered;
  await storeOf(keyValue).commit(edit(2, "other"));
  const resent = await storeOf(keyValue).commit(ownEdit);
  expect(resent.ending).toEqual(EditOutcome.Accepted);
  const listed = (await storeOf(keyValue).list(10)).unwrap();
  expect(listed.map((stamp) => stamp.attempt)).toEqual(["other", "mine", "a1"]);
});

test("an edit that never swapped the head is unreached", async () => {
  const keyValue = await storeRevisions(1);
  keyValue.planCall = planCalls(
    "swap",
    ARCHIVE_PREFIX,
    Array(99).fill(CallResult.Dropped),
  );
  const commit = await storeOf(keyValue, 0).commit(edit(1, "mine"));
  expect(commit.ending).toEqual(EditOutcome.Unreached);
  keyValue.planCall = planCalls(
    "swap",
    HEAD_KEY,
    Array(99).fill(CallResult.NotSent),
  );
  const resent = await storeOf(keyValue, 0).commit(edit(1, "mine"));
  expect(resent.ending).toEqual(EditOutcome.Unreached);
});

test("withdrawn keys are marked, granted keys aren't", async () => {
  const keyValue = new MemoryKeyValue();
  const revisions = storeOf(keyValue);
  const keyed = (on: number, secrets: readonly string[]) => ({
    ...edit(on, `e${on}`),
    tables: tables(4, secrets),
  });
  await revisions.commit(keyed(0, ["x", "y"]));
  await revisions.commit(keyed(1, ["y"]));
  const hashes = ["x", "y", "z"].map(hashKey);
  expect((await revisions.withdrawn(hashes)).unwrap()).toEqual([hashKey("x")]);
});

test("a lost head is replaced by a revision above the archive", async () => {
  const keyValue = await storeRevisions(3);
  keyValue.entries.delete(HEAD_KEY);
  const commit = await storeOf(keyValue).commit(edit(0, "again"));
  if (commit.ending !== EditOutcome.Accepted) throw new Error(commit.ending);
  // The archive ends at 2, so the lost head was at most 3.
  expect(commit.stamp.revision).toEqual(4);
});

test("a lost first edit reports the winner of revision 1", async () => {
  const keyValue = new MemoryKeyValue();
  const revisions = storeOf(keyValue);
  // Two revisions are committed after the losing edit reads the head.
  const read = keyValue.range.bind(keyValue);
  keyValue.range = async (prefix, options) => {
    keyValue.range = read;
    await revisions.commit(edit(0, "a1"));
    await revisions.commit(edit(1, "a2"));
    return await read(prefix, options);
  };
  const commit = await storeOf(keyValue).commit(edit(0, "late"));
  if (commit.ending !== EditOutcome.Lost) throw new Error(commit.ending);
  expect(isSome(commit.winner) && commit.winner.value.attempt).toEqual("a1");
});

test("a head that fails the current checks can be replaced", async () => {
  const keyValue = await storeRevisions(1);
  const entry = keyValue.entries.get(HEAD_KEY);
  if (entry === undefined) throw new Error("No head");
  const value = entry.value.replace(`"slots":1`, `"slots":-1`);
  keyValue.entries.set(HEAD_KEY, { ...entry, value });
  const commit = await storeOf(keyValue).commit(edit(1, "mine"));
  expect(commit.ending).toEqual(EditOutcome.Accepted);
});

interface ReportedCommit {
  readonly edit: Edit;
  readonly commit: CommitResult;
}

/** Runs concurrent operators; each bases its edits on the head it last read. */
async function runOperators(
  keyValue: MemoryKeyValue,
  options: { operators: number; edits: number },
): Promise<readonly ReportedCommit[]> {
  const reported: ReportedCommit[] = [];
  const operate = async (operator: number) => {
    const revisions = storeOf(keyValue, 400);
    for (let nth = 0; nth < options.edits; nth++) {
      const head = await revisions.head();
      const on = head.ok && isSome(head.val)
        ? head.val.value.stamp.revision
        : 0;
      const ownEdit = edit(on, `${operator}.${nth}`, 1 + operator);
      reported.push({ edit: ownEdit, commit: await revisions.commit(ownEdit) });
    }
  };
  const all = Array.from({ length: options.operators }, (_, at) => operate(at));
  await Promise.all(all);
  return reported;
}

/** Contradictions between the stored history and the reported outcomes. */
function contradictions(
  keyValue: MemoryKeyValue,
  reported: readonly ReportedCommit[],
): readonly string[] {
  const entries = [...keyValue.entries.values()];
  const outcomes = reported.map(({ edit, commit }) => ({
    attempt: edit.attempt,
    on: edit.on,
    ending: commit.ending,
    winner: commit.ending === EditOutcome.Lost ? commit.winner : none,
  }));
  return checkHistory(entries, outcomes);
}

test("under faults, the history matches every reported outcome", async () => {
  const draw = fc.record({
    calls: fc.infiniteStream(fc.nat(99)),
    operators: fc.integer({ min: 2, max: 5 }),
    faulty: fc.constantFrom(0, 20, 60),
  });
  const faults = [
    CallResult.AnswerLost,
    CallResult.Dropped,
    CallResult.Late,
    CallResult.NotSent,
  ];
  await fc.assert(
    fc.asyncProperty(draw, async ({ calls, operators, faulty }) => {
      const keyValue = new MemoryKeyValue({
        planCall: () => {
          const drawn = calls.next().value as number;
          return drawn < faulty ? faults[drawn % 4] : CallResult.Answered;
        },
      });
      const reported = await runOperators(keyValue, { operators, edits: 4 });
      expect(contradictions(keyValue, reported)).toEqual([]);
    }),
    { seed: 20261204, numRuns: 120, includeErrorInReport: true },
  );
});

test("the history check finds false outcomes and revisions", async () => {
  const keyValue = new MemoryKeyValue();
  const reported = await runOperators(keyValue, { operators: 2, edits: 2 });
  const misreported = reported.map(({ edit, commit }) => ({
    edit,
    commit: commit.ending === EditOutcome.Accepted
      ? { ending: EditOutcome.Unreached as const, message: "" }
      : commit,
  }));
  expect(contradictions(keyValue, misreported).length).toBeGreaterThanOrEqual(
    1,
  );
  const moved = reported.map((one) => ({
    ...one,
    edit: { ...one.edit, on: one.edit.on + 1 },
  }));
  expect(contradictions(keyValue, moved).length).toBeGreaterThanOrEqual(1);
});
