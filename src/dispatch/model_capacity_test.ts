import { expect } from "earl";
import { test } from "node:test";
import { codec } from "../peers/frame.ts";
import { load, upstream } from "./fixtures_test.ts";
import { loadForModel, modelCapacitiesOf } from "./model_capacity.ts";
import type { Shard } from "./fleet.ts";
import { isBetterElsewhere, leastLoadedShard } from "./shard_selection.ts";
import type { Candidate } from "./upstream_selector.ts";

function candidate(
  id: string,
  weightVersions: Record<string, number>,
  part: Partial<Candidate> = {},
): Candidate {
  return {
    upstream: upstream({ id, slots: 6 }),
    inFlight: 0,
    foreign: 0,
    load: load({ slots: 6, weightVersions }),
    readyForMs: 60_000,
    startsLeft: Infinity,
    ...part,
  };
}

function capacities(
  usable: readonly Candidate[],
  options: { queued?: Record<string, number>; refusing?: string } = {},
) {
  return modelCapacitiesOf(usable, {
    queued: new Map(Object.entries(options.queued ?? {})),
    refuses: (id) => id === options.refusing,
  });
}

function shard(name: string): Shard {
  return { name, pool: "lm", upstreams: [] };
}

test("a shard whose engines have old weights has no room for a request", () => {
  const { a } = capacities([candidate("up-1", { a: 2, b: 5 })]);
  expect(loadForModel(a, { minVersion: 2 })).toEqual(0);
  expect(loadForModel(a, { minVersion: 3 })).toEqual(Infinity);
});

test("only slots of a suitable version count, and those in use", () => {
  const { a } = capacities([
    candidate("up-1", { a: 4 }, { inFlight: 3 }),
    candidate("up-2", { a: 5 }, { inFlight: 4, foreign: 5 }),
    candidate("up-3", { a: 1 }, { inFlight: 6 }),
  ], { queued: { a: 3 } });
  expect(loadForModel(a, { minVersion: 4 })).toEqual(1);
  const own = { waiting: 9, included: 3 };
  expect(loadForModel(a, { minVersion: 4, own })).toEqual(1.5);
});

test("an engine that refuses a model while it loads offers none of it", () => {
  const engines = [candidate("up-1", { a: 4 })];
  const { a } = capacities(engines, { refusing: "up-1", queued: { a: 1 } });
  expect(loadForModel(a, { minVersion: 0 })).toEqual(Infinity);
});

test("an engine that runs fewer requests than listed offers no more", () => {
  const { a } = capacities([
    candidate("up-1", {}, {
      load: load({ slots: 2, weightVersions: { a: 1 } }),
    }),
  ]);
  expect(a.versions).toEqual([[1, 2, 0]]);
});

test("an engine without weights of a model counts as its version 0, as at its leader", () => {
  const { a } = capacities([
    candidate("up-1", { a: 1 }),
    candidate("up-2", { b: 1 }),
  ]);
  expect(a.versions).toEqual([[1, 6, 0], [0, 6, 0]]);
});

test("old versions take no room in a summary", () => {
  const engines = Array.from(
    { length: 16 },
    (_, n) => candidate(`up-${n}`, { a: n }),
  );
  const { a } = capacities(engines);
  expect(a.versions.length).toEqual(8);
  expect(a.versions.at(-1)).toEqual([0, 54, 0]);
});

test("models that callers or engines name take no room in a summary", () => {
  const many = Array.from({ length: 500 }, (_, n) => [`model-${n}`, 1]);
  const names = Object.fromEntries([...many, ["x".repeat(201), 1]]);
  const published = capacities([candidate("up-1", names)], {
    queued: { "model-400": 1, unknown: 9 },
  });
  expect(Object.keys(published).length).toEqual(64);
  expect(published["model-400"].queued).toEqual(1);
  expect(Object.hasOwn(published, "unknown")).toEqual(false);
});

test("a summary of full size stays small, as it goes to all daemons", () => {
  const engines = Array.from(
    { length: 16 },
    (_, n) =>
      candidate(`up-${n}`, {
        "model-with-long-name-a": n,
        "model-with-long-name-b": 2 * n,
        "model-with-long-name-c": 300 - n,
        "model-with-long-name-d": 1000 + n,
      }),
  );
  const models = capacities(engines);
  expect(codec.encode(models).length < 512).toEqual(true);
});

test("requests go to a shard that can serve them, however full it is", () => {
  const loads: Record<string, number> = { one: Infinity, two: 7 };
  const load = ({ name }: Shard) => loads[name];
  const shards = [shard("one"), shard("two")];
  for (const draw of [0, 0.5, 0.99]) {
    const best = leastLoadedShard(shards, { load, random: () => draw });
    expect(best?.name).toEqual("two");
  }
  loads.two = Infinity;
  expect(leastLoadedShard(shards, { load, random: () => 0 })).toEqual(
    undefined,
  );
});

test("a wait leaves a shard that can't serve it, and not all leave a full one", () => {
  const moves = (here: number, there: number, draw: number) =>
    isBetterElsewhere({ here, there, random: () => draw });
  expect(moves(Infinity, 3, 0.9)).toEqual(true);
  expect(moves(Infinity, Infinity, 0)).toEqual(false);
  expect(moves(2, 1.6, 0)).toEqual(false);
  expect(moves(2, 1, 0.4)).toEqual(true);
  expect(moves(2, 1, 0.6)).toEqual(false);
});
