import { expect } from "earl";
import { test } from "node:test";
import { assign, type Follower } from "./assignment.ts";

function follower(id: string, m = 1, n = 1): Follower {
  return { id, versions: { m, n } };
}

test("one model is followed by all", () => {
  const parts = assign([follower("a"), follower("b")], ["m"]);
  expect(parts.get("m")).toEqual(["a", "b"]);
});

test("two models share the upstreams alike", () => {
  const all = ["a", "b", "c", "d", "e"].map((id) => follower(id));
  const parts = assign(all, ["m", "n"]);
  expect(parts.get("m")?.length).toEqual(3);
  expect(parts.get("n")?.length).toEqual(2);
});

test("an upstream stays with the model of which it is ahead", () => {
  const all = [
    follower("a", 1, 5),
    follower("b", 5, 1),
    follower("c", 1, 4),
    follower("d", 4, 1),
  ];
  const parts = assign(all, ["m", "n"]);
  expect([...parts.get("m") ?? []].sort()).toEqual(["b", "d"]);
  expect([...parts.get("n") ?? []].sort()).toEqual(["a", "c"]);
});

test("a single upstream follows every model", () => {
  const parts = assign([follower("a")], ["m", "n"]);
  expect([parts.get("m"), parts.get("n")]).toEqual([["a"], ["a"]]);
});
