import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import type { Report } from "../outside/mod.ts";
import {
  UsageLog,
  type UsageLogEntry,
  type UsageLogSummary,
} from "./usage_log.ts";
import type { UsageRecord } from "./mod.ts";
import { createSeal, longestSummaries } from "./seal.ts";

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

function summaryOf(
  incarnation: string,
  ...uses: UsageRecord[]
): UsageLogSummary {
  const usageLog = new UsageLog({ incarnation, window: 0 });
  for (const use of uses) usageLog.add(use, 0);
  return usageLog.summary;
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

test("a copy ignores entries after a gap", () => {
  const usageLog = new UsageLog({ incarnation: "a", window: 0 });
  const entry = (seq: number): UsageLogEntry => ({
    seq,
    use: use(),
    lateFrom: 0,
  });
  expect(usageLog.merge([entry(1), entry(3)])).toEqual(1);
  expect(usageLog.merge([entry(1), entry(2), entry(3)])).toEqual(3);
});

test("only the longest copy of a log counts", () => {
  const copies = [
    summaryOf("a", use()),
    summaryOf("a", use(), use()),
    summaryOf("b", use()),
  ];
  expect(longestSummaries(copies).length).toEqual(2);
  expect(outputTokens(sealed(copies).reports.one)).toEqual(30);
  expect(sealed(copies).included).toEqual({ a: 2, b: 1 });
});

test("a shared record counts once over daemons and windows", () => {
  const shared = use({ id: "s", shared: true });
  const copies = [summaryOf("a", shared), summaryOf("b", shared)];
  expect(outputTokens(sealed(copies).reports.one)).toEqual(10);
  expect(sealed(copies, ["s"]).reports).toEqual({});
});

test("late usage is reported with the window it belongs to", () => {
  const usageLog = new UsageLog({ incarnation: "a", window: 0 });
  usageLog.add(use(), 60_000);
  const text = sealed([usageLog.summary]).reports.one;
  const { lines } = JSON.parse(text) as Report;
  expect(lines.map(({ lateFrom }) => lateFrom))
    .toEqual(["1970-01-01T00:01:00.000Z"]);
});

test("figures do not depend on the order of the copies", () => {
  const one = summaryOf("a", use(), use({ tenant: "two" }));
  const two = summaryOf("b", use({ route: "batch" }));
  fc.assert(fc.property(
    fc.shuffledSubarray([one, two, one], { minLength: 3 }),
    (copies) => {
      expect(sealed(copies).reports).toEqual(sealed([one, two]).reports);
    },
  ));
});
