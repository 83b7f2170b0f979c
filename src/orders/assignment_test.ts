import { expect } from "earl";
import { test } from "node:test";
import { assignUpstreams, type UpstreamModelVersions } from "./assignment.ts";

function upstream(id: string, m = 1, n = 1): UpstreamModelVersions {
  return { id, versions: { m, n } };
}

test("all upstreams follow a single model", () => {
  const parts = assignUpstreams([upstream("a"), upstream("b")], ["m"]);
  expect(parts.get("m")).toEqual(["a", "b"]);
});

test("two models share the upstreams evenly", () => {
  const all = ["a", "b", "c", "d", "e"].map((id) => upstream(id));
  const parts = assignUpstreams(all, ["m", "n"]);
  expect(parts.get("m")?.length).toEqual(3);
  expect(parts.get("n")?.length).toEqual(2);
});

test("an upstream stays with the model in which it is ahead", () => {
  const all = [
    upstream("a", 1, 5),
    upstream("b", 5, 1),
    upstream("c", 1, 4),
    upstream("d", 4, 1),
  ];
  const parts = assignUpstreams(all, ["m", "n"]);
  expect([...parts.get("m") ?? []].sort()).toEqual(["b", "d"]);
  expect([...parts.get("n") ?? []].sort()).toEqual(["a", "c"]);
});

test("a single upstream follows every model", () => {
  const parts = assignUpstreams([upstream("a")], ["m", "n"]);
  expect([parts.get("m"), parts.get("n")]).toEqual([["a"], ["a"]]);
});

test("a model with more demand gets more upstreams, but not all", () => {
  const all = ["a", "b", "c", "d", "e", "f"].map((id) => upstream(id));
  const sizes = (weights: Record<string, number>) => {
    const parts = assignUpstreams(all, ["m", "n"], { weights });
    return ["m", "n"].map((model) => parts.get(model)?.length);
  };
  expect(sizes({ m: 20, n: 10 })).toEqual([4, 2]);
  expect(sizes({ m: 20, n: 0 })).toEqual([5, 1]);
  expect(sizes({})).toEqual([3, 3]);
});

test("small changes in demand do not change the parts", () => {
  const all = [
    upstream("a", 5, 1),
    upstream("b", 5, 1),
    upstream("c", 5, 1),
    upstream("d", 5, 1),
    upstream("e", 1, 5),
    upstream("f", 1, 5),
  ];
  const size = (m: number) =>
    assignUpstreams(all, ["m", "n"], { weights: { m, n: 10 } }).get("m");
  expect([size(15)?.length, size(25)?.length]).toEqual([4, 4]);
});

test("an upstream that loads its first version keeps its model", () => {
  const names = ["a", "b", "c", "d", "e", "f"];
  const first = assignUpstreams(names.map((id) => upstream(id)), ["m", "n"]);
  const modelOf = (id: string) => first.get("m")?.includes(id) ? "m" : "n";
  // One more upstream, and other weights: nobody has loaded anything yet.
  const later = ["0", ...names].map((id) => ({
    ...upstream(id),
    ...id === "0" ? {} : { current: modelOf(id) },
  }));
  const second = assignUpstreams(later, ["m", "n"], {
    weights: { m: 10, n: 11 },
  });
  for (const model of ["m", "n"]) {
    const stayed = first.get(model)?.filter((id) =>
      second.get(model)?.includes(id)
    );
    expect(stayed).toEqual([...first.get(model) ?? []]);
  }
});

test("an upstream with old weights of its model is the first to change", () => {
  const all = [
    { ...upstream("a", 9, 1), current: "m" },
    { ...upstream("b", 8, 1), current: "m" },
    { ...upstream("c", 4, 1), current: "m" },
    { ...upstream("d", 9, 1), current: "m" },
    { ...upstream("e", 1, 3), current: "n" },
  ];
  const parts = assignUpstreams(all, ["m", "n"], {
    weights: { m: 10, n: 10 },
    latest: { m: 9, n: 3 },
  });
  expect(parts.get("n")?.includes("c")).toEqual(true);
  expect(parts.get("m")?.includes("a")).toEqual(true);
});

test("models are compared by what an upstream lacks, not by their numbers", () => {
  const all = ["a", "b", "c", "d"].map((id) => upstream(id, 7, 3));
  const parts = assignUpstreams(all, ["m", "n"], { latest: { m: 9, n: 3 } });
  expect([parts.get("m")?.length, parts.get("n")?.length]).toEqual([2, 2]);
  const [fresh] = all;
  const newcomer = [fresh, ...["b", "c", "d"].map((id) => upstream(id, 9, 1))];
  const next = assignUpstreams(newcomer, ["m", "n"], {
    latest: { m: 9, n: 3 },
  });
  expect(next.get("n")?.includes("a")).toEqual(true);
});

test("a model without upstreams gets one also if the others keep theirs", () => {
  // The only upstream of n ended; the share of m is within its tolerance.
  const all = ["a", "b"].map((id) => ({ ...upstream(id), current: "m" }));
  const parts = assignUpstreams(all, ["m", "n"], { weights: { m: 20, n: 4 } });
  expect(["m", "n"].map((model) => parts.get(model)?.length)).toEqual([1, 1]);
});

test("a new lease holder that knows no demand keeps the split that it finds", () => {
  const all = ["a", "b", "c", "d", "e", "f"].map((id) =>
    id < "e" ? upstream(id, 9, 1) : upstream(id, 1, 3)
  );
  const latest = { m: 9, n: 3 };
  const parts = assignUpstreams(all, ["m", "n"], { latest });
  expect(parts.get("n")).toEqual(["e", "f"]);
  // Known to be the same for both, the demand decides.
  const even = assignUpstreams(all, ["m", "n"], {
    latest,
    weights: { m: 5, n: 5 },
  });
  expect(even.get("n")?.length).toEqual(3);
});

test("an upstream that has loaded nothing goes to the model furthest below its share", () => {
  const all = ["a", "b", "c", "d", "e", "f", "g", "h", "i"].map((id) =>
    id < "g"
      ? { ...upstream(id, 9, 1), current: "m" }
      : { ...upstream(id, 1, 3), current: "n" }
  );
  const parts = assignUpstreams([...all, upstream("j", 0, 0)], ["n", "m"], {
    weights: { m: 69, n: 31 },
    latest: { m: 9, n: 3 },
  });
  expect([parts.get("m")?.includes("j"), parts.get("n")?.length])
    .toEqual([true, 3]);
});

test("the split stays while no leader tells of any demand", () => {
  const all = ["a", "b", "c", "d", "e", "f"].map((id) => ({
    ...upstream(id),
    current: id < "f" ? "m" : "n",
  }));
  const parts = assignUpstreams(all, ["m", "n"], { weights: { m: 0, n: 0 } });
  expect(parts.get("n")).toEqual(["f"]);
});
