import { expect } from "earl";
import { test } from "node:test";
import { DeploymentRegions } from "../tables/mod.ts";
import { demand, DispatchCluster, vm } from "./fixtures_test.ts";
import { Fleet } from "./fleet.ts";
import { dispatchKey } from "./mod.ts";

const regions = new DeploymentRegions({ regionsByZone: { x: "r", y: "s" } });

const vms = ["x", "y", "z"].map((availabilityZone) =>
  vm({ id: `in-${availabilityZone}`, availabilityZone })
);

test("upstreams in other regions are barred for a restricted request only", () => {
  const fleet = new Fleet({ vms, regions });
  const barred = (allowedRegions?: readonly string[]) =>
    fleet.barred({ pool: "lm", allowedRegions });
  expect(barred()).toEqual([]);
  expect([...barred(["r"])].sort()).toEqual(["in-y", "in-z"]);
  expect(fleet.mayStart("in-x", { allowedRegions: ["r"] })).toEqual(true);
  expect(fleet.mayStart("in-y", { allowedRegions: ["r"] })).toEqual(false);
});

test("a restricted request is not sent to an upstream that only its leader lists", async () => {
  const sim = new DispatchCluster({
    vms: [vm({ id: "u", availabilityZone: "zone-1" })],
    directoryMs: 600_000,
  });
  for (const id of ["e1", "e2"]) sim.add(id);
  const leader = sim.leaderOf("shard/lm/0");
  const entry = sim.nodes.get(leader === "e1" ? "e2" : "e1");
  await entry?.start();
  sim.vms = [...sim.vms, vm({ id: "v", availabilityZone: "zone-1" })];
  await sim.nodes.get(leader)?.start();
  const part = { allowedRegions: ["r"], remainingMs: 300 };
  const permits = await Promise.all(
    [0, 1, 2].map(() =>
      entry?.get(dispatchKey).acquire(
        demand(part),
        new AbortController().signal,
      )
    ),
  );
  await sim.stop();
  expect(permits.map((permit) => permit?.ok && permit.val.target.id))
    .toEqual(["u", "u", false]);
});
