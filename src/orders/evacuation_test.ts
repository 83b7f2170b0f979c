import { expect } from "earl";
import { test } from "node:test";
import { engine, lease, metrics, offer, Site } from "./evacuation_fixture.ts";
import { FixedScalingPolicy } from "./scaling_policies.ts";
import {
  type OrderMetrics,
  UpstreamReconciler,
} from "./upstream_reconciler.ts";

test("upstreams are placed in other zones, and evacuated ones are left as they are", async () => {
  const site = new Site();
  site.offers = [offer("a", 3), offer("b", 1), offer("c", 1)];
  site.evacuate("a");
  const availabilityZones = ["a", "b", "c"];
  const started = site.kernel({ availabilityZones, maxUpstreams: 6 });
  await new UpstreamReconciler({
    kernel: started,
    lease,
    policy: new FixedScalingPolicy(),
    metrics: metrics as unknown as OrderMetrics,
  }).reconcile();
  expect(site.placed.map(({ availabilityZone, count }) => [
    availabilityZone,
    count,
  ])).toEqual([["b", 3], ["c", 3]]);
});

test("nothing is ordered while all zones of a pool are evacuated", async () => {
  const site = new Site();
  site.offers = [offer("a", 3), offer("b", 1)];
  site.evacuate("a", "b");
  const started = site.kernel({ availabilityZones: ["a", "b"] });
  await new UpstreamReconciler({
    kernel: started,
    lease,
    policy: new FixedScalingPolicy(),
    metrics: metrics as unknown as OrderMetrics,
  }).reconcile();
  expect(site.placed).toEqual([]);
});

test("no engine of an evacuated zone is asked for its version or ordered to load one", async () => {
  const site = new Site();
  site.vms = [engine("u", "a"), engine("v", "b")];
  site.evacuate("a");
  await site.updateWeights();
  expect(new Set(site.read)).toEqual(new Set(["v"]));
  expect(site.loaded).toEqual(["v"]);
});

test("an engine is not ordered to load if its zone was evacuated while it was asked", async () => {
  const site = new Site();
  site.vms = [engine("u", "a")];
  site.onRead = () => site.evacuate("a");
  await site.updateWeights();
  expect([site.read, site.loaded]).toEqual([["u"], []]);
});
