import { expect } from "earl";
import { test } from "node:test";
import { chainIn, checkChain, returnedKeys } from "./chain.ts";
import { race } from "./races.ts";

const SEED = 7;

test("racing processes leave one chain and are told the truth", async () => {
  const { entries, messages } = await race({
    seed: SEED,
    operators: 3,
    edits: 4,
    lost: 0.2,
    cut: 0.1,
    killed: 0.2,
  });
  expect(checkChain(entries, messages)).toEqual([]);
  expect(returnedKeys(entries)).toEqual([]);
  expect(chainIn(entries).length).toBeGreaterThanOrEqual(3);
});
