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
