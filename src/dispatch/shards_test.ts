import { expect } from "earl";
import { test } from "node:test";
import { upstream } from "./fixtures_test.ts";
import { MAX_SHARD_UPSTREAMS, partitionIntoShards } from "./shards.ts";

function upstreams(count: number) {
  return Array.from(
    { length: count },
    (_, index) => upstream({ id: `up-${index}` }),
  );
}

function shardIndices(count: number): ReadonlyMap<string, number> {
  return new Map(
    partitionIntoShards(upstreams(count)).flatMap((shard, index) =>
      shard.map(({ id }) => [id, index] as const)
    ),
  );
}

test("every upstream is in one shard, and no shard is too large", () => {
  for (const count of [0, 1, 16, 17, 40, 850]) {
    const shards = partitionIntoShards(upstreams(count));
    expect(shards.flat().length).toEqual(count);
    expect(shards.every(({ length }) => length <= MAX_SHARD_UPSTREAMS))
      .toEqual(true);
  }
});

test("one more upstream moves few of the others", () => {
  const before = shardIndices(850);
  const after = shardIndices(851);
  const moved = [...before].filter(([id, index]) => after.get(id) !== index);
  expect(moved.length).toBeLessThan(85);
});
