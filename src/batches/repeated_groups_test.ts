import { expect } from "earl";
import { test } from "node:test";
import { submission } from "./fixture_test.ts";
import { RepeatedGroups } from "./repeated_groups.ts";

/** A batch of groups of two items, named in order. */
function batchOf(id: string, groups: string, wantedGroups = Infinity) {
  const items = [...groups].flatMap((group) =>
    submission().items.map((item) => ({
      ...item,
      id: `${group}-${item.id}`,
      group,
    }))
  );
  return submission({ id, items, wantedGroups });
}

test("all groups up to the last that came again are repeated", () => {
  const groups = new RepeatedGroups();
  groups.record(batchOf("1", "abcd"));
  // Of "x" this daemon knows nothing: another owner ran its batch.
  expect(groups.record(batchOf("2", "cxdef"))).toEqual(3);
  expect(groups.record(batchOf("3", "ghi"))).toEqual(0);
});

test("a batch that runs again isn't compared with itself or later ones", () => {
  const groups = new RepeatedGroups();
  groups.record(batchOf("1", "ab"));
  groups.record(batchOf("2", "cd"));
  groups.record(batchOf("3", "de"));
  expect(groups.record(batchOf("2", "cd"))).toEqual(0);
});

test("equal ids of other routes and organisations don't count", () => {
  const groups = new RepeatedGroups();
  groups.record(batchOf("1", "ab"));
  const other = batchOf("2", "ab");
  expect(groups.record({ ...other, route: "other" })).toEqual(0);
  expect(groups.record({ ...other, id: "3", organisation: "other" }))
    .toEqual(0);
});

test("a new owner takes as many groups for repeated as a step may leave out", () => {
  const first = (wanted: number) =>
    new RepeatedGroups().record(batchOf("1", "abcdefgh", wanted));
  expect([7, 7.2, 8, 20, Infinity, 0].map(first))
    .toEqual([1, 0, 0, 0, 0, 0]);
});
