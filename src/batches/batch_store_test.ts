import { expect } from "earl";
import { isNone } from "fp-ts/Option";
import { test } from "node:test";
import { CallOutcome } from "../../stand_ins/memory_transactional_key_value.ts";
import { ChangeStatus } from "./batch_store.ts";
import {
  createBatch,
  createStore,
  OWNER,
  result,
  submission,
} from "./fixture_test.ts";

test("a batch that is submitted twice is stored once", async () => {
  const { store: batches } = createStore();
  expect((await createBatch(batches)).head.total).toEqual(2);
  const again = await batches.create(submission(), {
    ...OWNER,
    timeoutMs: 100,
  });
  expect(again.changed).toEqual(ChangeStatus.Conflict);
});

test("a submission whose answer is lost is recognized when sent again", async () => {
  const { store: batches, records } = createStore();
  let calls = 0;
  records.outcomeFor = () =>
    ++calls === 1 ? CallOutcome.Lost : CallOutcome.Answered;
  const outcome = await batches.create(submission(), {
    ...OWNER,
    timeoutMs: 2000,
  });
  expect(outcome.changed).toEqual(ChangeStatus.Applied);
});

test("a submission that may take effect later has an unknown outcome", async () => {
  const { store: batches, records } = createStore();
  let calls = 0;
  records.outcomeFor = () =>
    ++calls === 1 ? CallOutcome.Late : CallOutcome.Refused;
  const outcome = await batches.create(submission(), {
    ...OWNER,
    timeoutMs: 50,
  });
  expect(outcome.changed).toEqual(ChangeStatus.Unknown);
});

test("a submission that had no effect is refused", async () => {
  const { store: batches, records } = createStore();
  records.outcomeFor = () => CallOutcome.Refused;
  const outcome = await batches.create(submission(), {
    ...OWNER,
    timeoutMs: 50,
  });
  expect(outcome.changed).toEqual(ChangeStatus.Refused);
  expect(records.entriesUnder("")).toEqual([]);
});

test("only the current owner can list results", async () => {
  const { store: batches } = createStore();
  const first = await createBatch(batches);
  const taken = await batches.takeOwnership(first, { owner: "b", run: "b1" });
  const signal = new AbortController().signal;
  const late = await batches.append(first, [result("one")], signal);
  expect(late.changed).toEqual(ChangeStatus.Conflict);
  if (isNone(taken.now)) throw new Error("Not taken");
  const listed = await batches.append(taken.now.value, [result("one")], signal);
  expect(listed.changed).toEqual(ChangeStatus.Applied);
  expect(
    (await batches.results("batch", 0)).unwrap().flat().map(({ id }) => id),
  )
    .toEqual(["one"]);
});

test("an append whose answer is lost is listed once", async () => {
  const { store: batches, records } = createStore();
  const first = await createBatch(batches);
  let calls = 0;
  records.outcomeFor = () =>
    ++calls === 1 ? CallOutcome.Late : CallOutcome.Answered;
  const signal = new AbortController().signal;
  const listed = await batches.append(first, [result("one")], signal);
  expect(listed.changed).toEqual(ChangeStatus.Applied);
  await new Promise((resolve) => setTimeout(resolve, 120));
  expect((await batches.results("batch", 0)).unwrap().flat().length).toEqual(1);
});

test("no results can be listed after the end of a batch", async () => {
  const { store: batches } = createStore();
  const first = await createBatch(batches);
  await batches.end(first);
  const signal = new AbortController().signal;
  const late = await batches.append(first, [result("one")], signal);
  expect(late.changed).toEqual(ChangeStatus.Conflict);
});

test("items that are split over several values are read as submitted", async () => {
  const { store: batches, records } = createStore();
  const body = "A".repeat(400_000);
  const large = submission();
  const items = large.items.map((item) => ({ ...item, body }));
  await batches.create({ ...large, items }, { ...OWNER, timeoutMs: 100 });
  expect(records.entriesUnder("toucanwind/batches/items/").length).toEqual(3);
  const head = (await batches.head("batch")).unwrap();
  if (isNone(head)) throw new Error("No head");
  expect(
    (await batches.submission(head.value.head)).unwrap().items.map((i) =>
      i.body
    ),
  )
    .toEqual([body, body]);
});

test("removing a batch removes all of its keys", async () => {
  const { store: batches, records } = createStore();
  const first = await createBatch(batches);
  const signal = new AbortController().signal;
  const listed = await batches.append(first, [result("one")], signal);
  if (isNone(listed.now)) throw new Error("Not listed");
  await batches.remove(listed.now.value);
  expect(records.entriesUnder("")).toEqual([]);
});
