import { expect } from "earl";
import { test } from "node:test";
import { RetryBudget } from "./retry_budget.ts";

test("retries stay within a tenth of new requests", () => {
  const budget = new RetryBudget();
  let retries = 0;
  for (let request = 0; request < 1000; request++) {
    budget.fresh("chat");
    while (budget.spend("chat")) retries += 1;
  }
  expect(retries).toBeLessThanOrEqual(101);
  expect(retries).toBeGreaterThanOrEqual(99);
});

test("one route's retries don't spend another's budget", () => {
  const budget = new RetryBudget();
  while (budget.spend("chat"));
  expect(budget.spend("search")).toEqual(true);
});
