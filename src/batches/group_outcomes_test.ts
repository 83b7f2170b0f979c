import { expect } from "earl";
import { test } from "node:test";
import { result, submission } from "./fixture_test.ts";
import { GroupOutcomes } from "./group_outcomes.ts";
import { ItemOutcome } from "./mod.ts";

const TARGET_MS = 1000;

/** Four groups of two items. */
const items = ["a", "b", "c", "d"].flatMap((group) =>
  submission().items.map((item) => ({
    ...item,
    id: `${group}-${item.id}`,
    group,
  }))
);

/** Results of all items of these groups. */
const resultsOf = (groups: string) =>
  [...groups].flatMap((
    group,
  ) => [result(`${group}-one`), result(`${group}-two`)]);

function outcomesOf(wanted: number, results = resultsOf("")) {
  const outcomes = new GroupOutcomes({
    submission: { items },
    wanted,
    results,
  });
  const list = (listed: typeof results, ageMs: number) =>
    outcomes.listed(listed, { ageMs, targetMs: TARGET_MS });
  return { outcomes, list };
}

test("a group counts when its last item is listed, in time or late", () => {
  const { outcomes, list } = outcomesOf(3);
  list([...resultsOf("a"), result("b-one")], TARGET_MS);
  list([result("b-two"), result("c-one")], TARGET_MS + 1);
  expect(outcomes.counts).toEqual({
    wanted: 3,
    inTime: 1,
    late: 1,
    earlier: 0,
    missing: 1,
    unfinished: 2,
  });
});

test("a group with an item that was given up is unfinished", () => {
  const { outcomes, list } = outcomesOf(4);
  const givenUp = { ...result("a-one"), end: ItemOutcome.GivenUp };
  list([givenUp, result("a-two"), ...resultsOf("bcd")], 0);
  const { inTime, missing, unfinished } = outcomes.counts;
  expect({ inTime, missing, unfinished })
    .toEqual({ inTime: 3, missing: 1, unfinished: 1 });
});

test("a successor doesn't count again what the earlier owner completed", () => {
  const before = [...resultsOf("a"), result("b-one")];
  const { outcomes, list } = outcomesOf(3, before);
  list([result("b-two"), ...resultsOf("cd")], 0);
  expect(outcomes.counts).toEqual({
    wanted: 3,
    inTime: 3,
    late: 0,
    earlier: 1,
    missing: 0,
    unfinished: 0,
  });
});
