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

test("a model with more work has more upstreams, but not all", () => {
  const all = ["a", "b", "c", "d", "e", "f"].map((id) => follower(id));
  const sizes = (weights: Record<string, number>) => {
    const parts = assign(all, ["m", "n"], weights);
    return ["m", "n"].map((model) => parts.get(model)?.length);
  };
  expect(sizes({ m: 20, n: 10 })).toEqual([4, 2]);
  expect(sizes({ m: 20, n: 0 })).toEqual([5, 1]);
  expect(sizes({})).toEqual([3, 3]);
});

test("parts stay as they are while the work changes little", () => {
  const all = [
    follower("a", 5, 1),
    follower("b", 5, 1),
    follower("c", 5, 1),
    follower("d", 5, 1),
    follower("e", 1, 5),
    follower("f", 1, 5),
  ];
  const size = (m: number) => assign(all, ["m", "n"], { m, n: 10 }).get("m");
  expect([size(15)?.length, size(25)?.length]).toEqual([4, 4]);
});
