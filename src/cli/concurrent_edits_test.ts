import { expect } from "earl";
import { test } from "node:test";
import { checkHistory, readHistory, regrantedKeys } from "./history_check.ts";
import { runConcurrentEdits } from "./concurrent_edits.ts";

const SEED = 7;

test("concurrent edits leave one history that matches all reports", async () => {
  const { entries, outcomes } = await runConcurrentEdits({
    seed: SEED,
    operators: 3,
    edits: 4,
    answerLossProbability: 0.2,
    callFailureProbability: 0.1,
    killProbability: 0.2,
  });
  expect(checkHistory(entries, outcomes)).toEqual([]);
  expect(regrantedKeys(entries)).toEqual([]);
  expect(readHistory(entries).length).toBeGreaterThanOrEqual(3);
});
