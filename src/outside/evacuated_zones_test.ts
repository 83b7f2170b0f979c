import { expect } from "earl";
import { test } from "node:test";
import { ManualClock } from "../kernel/mod.ts";
import { Evacuations, MAX_EVACUATED_ZONES } from "./evacuated_zones.ts";

function create() {
  const clock = new ManualClock();
  const evacuations = new Evacuations({ clock });
  const changes: unknown[] = [];
  evacuations.onChange((change) => changes.push(change));
  const merge = (revision: number, zones: readonly string[], ageMs = 0) =>
    evacuations.merge({ revision, zones, ageMs });
  return { clock, evacuations, changes, merge };
}

test("a late message with an older revision neither begins nor ends an evacuation", () => {
  const { evacuations, merge } = create();
  merge(5, ["x"]);
  merge(4, []);
  expect([...evacuations.zones]).toEqual(["x"]);
  merge(6, []);
  merge(5, ["x"]);
  expect([...evacuations.zones]).toEqual([]);
});

test("each zone's evacuation is told once when it begins and once when it ends", () => {
  const { changes, merge } = create();
  merge(1, ["x", "y"]);
  merge(1, ["x", "y"]);
  merge(2, ["y", "z"]);
  expect(changes).toEqual([
    { started: ["x", "y"], ended: [] },
    { started: ["z"], ended: ["x"] },
  ]);
});

test("two daemons with different zones of one revision agree on the newer ones", () => {
  const { clock, evacuations, merge } = create();
  merge(5, ["x"]);
  merge(5, [], 90);
  expect([...evacuations.zones]).toEqual(["x"]);
  clock.advance(500);
  merge(5, []);
  expect([...evacuations.zones]).toEqual([]);
});

test("an old confirmation does not make the zones look newer", () => {
  const { clock, evacuations, merge } = create();
  merge(5, ["x"]);
  clock.advance(3000);
  merge(5, ["x"], 2500);
  expect(evacuations.ageMs).toEqual(2500);
  merge(5, ["x"], 9000);
  expect(evacuations.ageMs).toEqual(2500);
});

test("memory of zones is bounded", () => {
  const { evacuations, merge } = create();
  merge(1, Array.from({ length: 10_000 }, (_, n) => `zone-${n}`));
  expect(evacuations.zones.size).toEqual(MAX_EVACUATED_ZONES);
});
