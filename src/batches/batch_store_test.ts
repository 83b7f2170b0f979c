import { expect } from "earl";
import { isNone } from "fp-ts/Option";
import { test } from "node:test";
import { Conduct } from "../../stand_ins/records.ts";
import { Changed } from "./batch_store.ts";
import { archive, created, OWNER, result, submission } from "./fixture_test.ts";

test("a batch is kept once, whoever submits it again", async () => {
  const { archive: on } = archive();
  expect((await created(on)).head.total).toEqual(2);
  const again = await on.create(submission(), { ...OWNER, patienceMs: 100 });
  expect(again.changed).toEqual(Changed.Overtaken);
});

test("a submission whose answer is lost is recognized as its own", async () => {
  const { archive: on, records } = archive();
  let calls = 0;
  records.conduct = () => ++calls === 1 ? Conduct.Lost : Conduct.Answered;
  const outcome = await on.create(submission(), { ...OWNER, patienceMs: 2000 });
  expect(outcome.changed).toEqual(Changed.Applied);
});

test("a submission that may take effect later is not refused", async () => {
  const { archive: on, records } = archive();
  let calls = 0;
  records.conduct = () => ++calls === 1 ? Conduct.Late : Conduct.Refused;
  const outcome = await on.create(submission(), { ...OWNER, patienceMs: 50 });
  expect(outcome.changed).toEqual(Changed.Unknown);
});

test("a submission that surely had no effect is refused", async () => {
  const { archive: on, records } = archive();
  records.conduct = () => Conduct.Refused;
  const outcome = await on.create(submission(), { ...OWNER, patienceMs: 50 });
  expect(outcome.changed).toEqual(Changed.Refused);
  expect(records.under("")).toEqual([]);
});

test("only the present owner lists results", async () => {
  const { archive: on } = archive();
  const first = await created(on);
  const taken = await on.take(first, { owner: "b", run: "b1" });
  const signal = new AbortController().signal;
  const late = await on.append(first, [result("one")], signal);
  expect(late.changed).toEqual(Changed.Overtaken);
  if (isNone(taken.now)) throw new Error("Not taken");
  const listed = await on.append(taken.now.value, [result("one")], signal);
  expect(listed.changed).toEqual(Changed.Applied);
  expect((await on.results("batch", 0)).unwrap().flat().map(({ id }) => id))
    .toEqual(["one"]);
});

test("an append whose answer is lost is listed once", async () => {
  const { archive: on, records } = archive();
  const first = await created(on);
  let calls = 0;
  records.conduct = () => ++calls === 1 ? Conduct.Late : Conduct.Answered;
  const signal = new AbortController().signal;
  const listed = await on.append(first, [result("one")], signal);
  expect(listed.changed).toEqual(Changed.Applied);
  await new Promise((resolve) => setTimeout(resolve, 120));
  expect((await on.results("batch", 0)).unwrap().flat().length).toEqual(1);
});

test("a batch that has ended takes no more results", async () => {
  const { archive: on } = archive();
  const first = await created(on);
  await on.end(first);
  const signal = new AbortController().signal;
  const late = await on.append(first, [result("one")], signal);
  expect(late.changed).toEqual(Changed.Overtaken);
});

test("items come back as they were submitted, in several values", async () => {
  const { archive: on, records } = archive();
  const body = "A".repeat(400_000);
  const large = submission();
  const items = large.items.map((item) => ({ ...item, body }));
  await on.create({ ...large, items }, { ...OWNER, patienceMs: 100 });
  expect(records.under("toucanwind/batches/items/").length).toEqual(3);
  const head = (await on.head("batch")).unwrap();
  if (isNone(head)) throw new Error("No head");
  expect(
    (await on.submission(head.value.head)).unwrap().items.map((i) => i.body),
  )
    .toEqual([body, body]);
});

test("nothing of a removed batch is left", async () => {
  const { archive: on, records } = archive();
  const first = await created(on);
  const signal = new AbortController().signal;
  const listed = await on.append(first, [result("one")], signal);
  if (isNone(listed.now)) throw new Error("Not listed");
  await on.remove(listed.now.value);
  expect(records.under("")).toEqual([]);
});
