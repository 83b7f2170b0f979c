import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import type { Report } from "../outside/mod.ts";
import { type BookEntry, UsageLog, type UsageLogSummary } from "./usage_log.ts";
import type { UsageRecord } from "./mod.ts";
import { createSeal, longestCopies } from "./seal.ts";

function use(fields: Partial<UsageRecord> = {}): UsageRecord {
  return {
    id: "u",
    tenant: "one",
    route: "chat",
    promptTokens: 1,
    outputTokens: 10,
    ...fields,
  };
}

function copy(incarnation: string, ...uses: UsageRecord[]): UsageLogSummary {
  const book = new UsageLog({ incarnation, window: 0 });
  for (const use of uses) book.add(use, 0);
  return book.summary;
}

function sealed(
  copies: readonly UsageLogSummary[],
  shared: readonly string[] = [],
) {
  return createSeal(copies, {
    window: 0,
    holder: "a",
    term: 1,
    attempt: "x",
    sealedShared: new Set(shared),
  });
}

function outputTokens(text: string): number {
  return (JSON.parse(text) as Report).lines
    .reduce((sum, line) => sum + line.outputTokens, 0);
}

test("a copy with a gap is not extended beyond it", () => {
  const book = new UsageLog({ incarnation: "a", window: 0 });
  const entry = (seq: number): BookEntry => ({ seq, use: use(), lateFrom: 0 });
  expect(book.merge([entry(1), entry(3)])).toEqual(1);
  expect(book.merge([entry(1), entry(2), entry(3)])).toEqual(3);
});

test("the longest copy of a book counts, once", () => {
  const copies = [copy("a", use()), copy("a", use(), use()), copy("b", use())];
  expect(longestCopies(copies).length).toEqual(2);
  expect(outputTokens(sealed(copies).reports.one)).toEqual(30);
  expect(sealed(copies).included).toEqual({ a: 2, b: 1 });
});

test("a shared use counts once over daemons and windows", () => {
  const shared = use({ id: "s", shared: true });
  const copies = [copy("a", shared), copy("b", shared)];
  expect(outputTokens(sealed(copies).reports.one)).toEqual(10);
  expect(sealed(copies, ["s"]).reports).toEqual({});
});

test("late use stands under the window that it is from", () => {
  const book = new UsageLog({ incarnation: "a", window: 0 });
  book.add(use(), 60_000);
  const text = sealed([book.summary]).reports.one;
  const { lines } = JSON.parse(text) as Report;
  expect(lines.map(({ lateFrom }) => lateFrom))
    .toEqual(["1970-01-01T00:01:00.000Z"]);
});

test("figures do not depend on the order in which copies come", () => {
  const one = copy("a", use(), use({ tenant: "two" }));
  const two = copy("b", use({ route: "batch" }));
  fc.assert(fc.property(
    fc.shuffledSubarray([one, two, one], { minLength: 3 }),
    (copies) => {
      expect(sealed(copies).reports).toEqual(sealed([one, two]).reports);
    },
  ));
});
