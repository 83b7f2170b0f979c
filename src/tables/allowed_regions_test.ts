import { expect } from "earl";
import { test } from "node:test";
import { DeploymentRegions, intersectRegions } from "./allowed_regions.ts";

const deployment = new DeploymentRegions({
  availabilityZone: "a",
  region: "r",
  regionsByZone: { a: "r", b: "s" },
});

test("both lists bind, and none restricts nothing", () => {
  expect(intersectRegions(undefined, undefined)).toEqual(undefined);
  expect(intersectRegions(["r"], undefined)).toEqual(["r"]);
  expect(intersectRegions(undefined, ["s"])).toEqual(["s"]);
  expect(intersectRegions(["r", "s"], ["s", "t"])).toEqual(["s"]);
  expect(intersectRegions(["r"], ["s"])).toEqual([]);
});

test("a restricted request runs in no zone of another or an unknown region", () => {
  const zones = ["a", "b", "unknown", "__proto__"];
  const allowed = (list?: readonly string[]) =>
    zones.filter((zone) => deployment.allowsZone(list, zone));
  expect(allowed()).toEqual(zones);
  expect(allowed(["r"])).toEqual(["a"]);
  expect(allowed(["", "undefined"])).toEqual([]);
});

test("a request is allowed in some, all or none of the deployment's regions", () => {
  const answers = [undefined, ["r", "s"], ["r", "t"], ["t"], []].map((list) => [
    deployment.allowsAny(list),
    deployment.allowsAll(list),
  ]);
  expect(answers).toEqual([
    [true, true],
    [true, true],
    [true, false],
    [false, false],
    [false, false],
  ]);
});

test("a daemon without zones in its settings knows the region of its own", () => {
  const own = new DeploymentRegions({ availabilityZone: "a", region: "r" });
  expect([own.allowsZone(["r"], "a"), own.allowsAll(["r"])])
    .toEqual([true, true]);
  const none = new DeploymentRegions();
  expect([none.allowsZone([""], ""), none.allowsAny(["r"])])
    .toEqual([false, false]);
});
