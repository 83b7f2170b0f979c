import { expect } from "earl";
import { test } from "node:test";
import { checkHistory, readHistory, regrantedKeys } from "./history_check.ts";
import { runConcurrentEdits } from "./concurrent_edits.ts";

const SEED = 7;

test("concurrent edits leave one history that matches all reports", async () => {
  const { entries, messages } = await runConcurrentEdits({
    seed: SEED,
    operators: 3,
    edits: 4,
    lost: 0.2,
    cut: 0.1,
    killed: 0.2,
  });
  expect(checkHistory(entries, messages)).toEqual([]);
  expect(regrantedKeys(entries)).toEqual([]);
  expect(readHistory(entries).length).toBeGreaterThanOrEqual(3);
});
