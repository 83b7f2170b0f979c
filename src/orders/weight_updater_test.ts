import { expect } from "earl";
import { test } from "node:test";
import { EngineStandIn, WeightSite } from "./weights_fixture.ts";

test("an engine that never accepts an order doesn't hold up the others", async () => {
  const engines = ["u", "v", "w"].map((id) => new EngineStandIn(id, { m: 1 }));
  engines[0].losesOrders = true;
  const site = new WeightSite({ engines, pool: { model: "m" } });
  site.latest.set("m", 2);
  const others = engines.slice(1);
  const done = () => others.every(({ versions }) => versions.m === 2);
  expect(await site.runUntil(done, 4500)).toEqual(true);
});

test("an engine whose load of a removed model got lost loads other models", async () => {
  const one = new EngineStandIn("u", { m: 1, n: 1 });
  one.losesOrders = true;
  const site = new WeightSite({ engines: [one], pool: { model: "m" } });
  site.latest.set("m", 2).set("n", 2);
  await site.runUntil(() => site.orders.length > 0, 2000);
  one.losesOrders = false;
  site.changePool({ model: "n" });
  expect(await site.runUntil(() => one.versions.n === 2, 3000)).toEqual(true);
});

test("an engine that is reassigned while it loads gets no further order yet", async () => {
  const engines = ["u", "v", "w"].map((id) =>
    new EngineStandIn(id, { m: 1, n: 1 })
  );
  for (const one of engines) one.loadMs = 800;
  const site = new WeightSite({ engines, pool: { models: ["m"] } });
  site.latest.set("m", 2).set("n", 2);
  await site.runUntil(() => site.orders.length > 0, 2000);
  // The engines are assigned for the first time, the loading one perhaps to n.
  site.changePool({ models: ["n", "m"] });
  const isDone = () =>
    engines.some(({ versions }) => versions.n === 2) &&
    engines.every(({ versions }) => versions.n === 2 || versions.m === 2);
  expect(await site.runUntil(isDone, 9000)).toEqual(true);
  expect(engines.map(({ refused }) => refused)).toEqual([0, 0, 0]);
});

test("a report from before an order was accepted doesn't show that it got lost", async () => {
  const one = new EngineStandIn("u", { m: 1 });
  one.loadMs = 4000;
  one.answerMs = 1200;
  one.acceptsAfterMs = 300;
  const site = new WeightSite({ engines: [one], pool: { model: "m" } });
  site.latest.set("m", 2);
  await site.runUntil(() => one.versions.m === 2, 8000);
  expect(site.orders.length).toEqual(1);
});

test("a new lease holder sends no order to an engine that carries one out", async () => {
  const one = new EngineStandIn("u", { m: 1 });
  one.loadMs = 800;
  one.order("m", 2);
  const site = new WeightSite({ engines: [one], pool: { model: "m" } });
  site.latest.set("m", 2);
  await site.runUntil(() => one.versions.m === 2, 3000);
  expect([one.accepted, one.refused]).toEqual([1, 0]);
});

test("a smaller version lag of a pool takes effect while the lease is held", async () => {
  const engines = ["u", "v", "w"].map((id) => new EngineStandIn(id, { m: 1 }));
  const site = new WeightSite({
    engines,
    pool: { model: "m", versionLag: 1 },
  });
  site.latest.set("m", 2);
  const isDone = () => engines.every(({ versions }) => versions.m === 2);
  expect(await site.runUntil(isDone, 1500)).toEqual(false);
  site.changePool({ model: "m", versionLag: 0 });
  expect(await site.runUntil(isDone, 3000)).toEqual(true);
});
