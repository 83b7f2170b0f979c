import { expect } from "earl";
import { test } from "node:test";
import { StartBudget, StartForecast } from "./start_budget.ts";

/** Takes all starts as they become free; returns when, in milliseconds. */
function startTimes(
  budget: StartBudget,
  { limitPerS, from = 0, to }: { limitPerS: number; from?: number; to: number },
): readonly number[] {
  const times: number[] = [];
  for (let now = from; now <= to; now += 10) {
    budget.update(limitPerS, now);
    while (budget.left > 0 && times.length < 1000) {
      budget.take();
      times.push(now);
    }
  }
  return times;
}

test("without a limit any number of requests may start", () => {
  const budget = new StartBudget();
  budget.update(Infinity, 0);
  expect(budget.left).toEqual(Infinity);
});

test("starts are spaced by the limit from its begin on", () => {
  const budget = new StartBudget();
  budget.update(Infinity, 0);
  const times = startTimes(budget, { limitPerS: 2, from: 1000, to: 3000 });
  expect(times).toEqual([1500, 2000, 2500, 3000]);
});

test("unused starts are kept for a second at most", () => {
  const budget = new StartBudget();
  budget.update(3, 0);
  budget.update(3, 60_000);
  expect(budget.left).toEqual(3);
});

test("a limit below one a second lets single requests start", () => {
  const budget = new StartBudget();
  budget.update(0.5, 0);
  budget.update(0.5, 60_000);
  expect(budget.left).toEqual(1);
  budget.take();
  expect([budget.leftAfter(1990), budget.leftAfter(2000)]).toEqual([0, 1]);
});

test("a limit of zero is tried now and then, as only an answer ends it", () => {
  const times = startTimes(new StartBudget(), { limitPerS: 0, to: 20_000 });
  expect(times).toEqual([4000, 8000, 12_000, 16_000, 20_000]);
});

test("a lower limit takes effect at once", () => {
  const budget = new StartBudget();
  budget.update(100, 0);
  budget.update(100, 1000);
  budget.update(2, 1000);
  expect(budget.left).toEqual(2);
});

test("a limit of any size is a limit", () => {
  const budget = new StartBudget();
  budget.update(1e9, 0);
  budget.update(1e9, 1);
  expect(budget.left).toEqual(1e6);
});

test("the forecast adds up the starts of all limited upstreams", () => {
  const budgets = [2, 2, 4].map((limitPerS) => {
    const budget = new StartBudget();
    budget.update(limitPerS, 0);
    return budget;
  });
  const forecast = new StartForecast({ budgets });
  const startMs = (count: number) => Math.round(forecast.msUntil(count) / 10);
  expect([1, 2, 3, 4, 5, 8].map(startMs)).toEqual([25, 50, 50, 50, 75, 100]);
  for (const budget of budgets) budget.update(2, 500);
  expect(forecast.msUntil(3)).toEqual(0);
});

/** Most starts that a budget lets pass at once after a long rest. */
function burstOf(ratePerS: number, limitPerS = Infinity): number {
  const budget = new StartBudget();
  budget.update(limitPerS, 0, { ratePerS, until: Infinity });
  budget.update(limitPerS, 60_000, { ratePerS, until: Infinity });
  return budget.left;
}

test("a cold upstream's unused starts are few, so that bursts stay small", () => {
  expect([40, 12, 8, 6, 4, 1].map((ratePerS) => burstOf(ratePerS)))
    .toEqual([2, 2, 2, 1, 1, 1]);
});

test("a cold time begins without starts, also where a limit left some", () => {
  const budget = new StartBudget();
  budget.update(100, 0);
  budget.update(100, 1000);
  budget.update(100, 1000, { ratePerS: 12, until: 6000 });
  expect(budget.left).toEqual(0);
  budget.update(100, 1084, { ratePerS: 12, until: 6000 });
  expect(budget.left).toEqual(1);
});

test("of a limit and a cold time the lower rate counts", () => {
  const budget = new StartBudget();
  const cold = { ratePerS: 12, until: 6000 };
  budget.update(3, 0, cold);
  expect(budget.ratePerS).toEqual(3);
  budget.update(30, 1, cold);
  expect(budget.ratePerS).toEqual(12);
});

test("the rate is doubled for a second after the cold time, then unlimited", () => {
  const budget = new StartBudget();
  const rates = [5999, 6000, 6999, 7000].map((now) => {
    budget.update(Infinity, now, { ratePerS: 12, until: 6000 });
    return budget.ratePerS;
  });
  expect(rates).toEqual([12, 24, 24, Infinity]);
});

test("the forecast knows when cold times end", () => {
  const budget = new StartBudget();
  budget.update(Infinity, 0, { ratePerS: 4, until: 1000 });
  expect([1000, 1500, 1999, 2001].map((ms) => budget.leftAfter(ms)))
    .toEqual([4, 8, 11, Infinity]);
  const forecast = new StartForecast({ budgets: [budget] });
  expect(Math.round(forecast.msUntil(500) / 10)).toEqual(200);
});
