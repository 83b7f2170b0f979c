import { expect } from "earl";
import { test } from "node:test";
import { PrefixCacheModel, thinPrefixes } from "./prefixes.ts";

test("the overlap is the leading part that is cached", () => {
  const prefixes = new PrefixCacheModel();
  prefixes.use(["a", "ab"]);
  expect(prefixes.overlap(["a", "ab", "abc", "abcd"])).toEqual(0.5);
});

test("an eviction is applied, and a gap lowers the confidence", () => {
  const prefixes = new PrefixCacheModel();
  prefixes.applyEvents([{ seq: 1, prefix: "a", cached: true }]);
  prefixes.applyEvents([{ seq: 2, prefix: "a", cached: false }]);
  expect(prefixes.overlap(["a"])).toEqual(0);
  prefixes.applyEvents([{ seq: 30, prefix: "b", cached: true }]);
  expect(prefixes.confidence).toBeLessThan(0.7);
  expect(prefixes.overlap(["b"])).toEqual(prefixes.confidence);
});

test("prompts with a common beginning keep the same prefixes", () => {
  const blocks = Array.from({ length: 64 }, (_, index) => `${index + 1}`);
  const long = thinPrefixes(blocks);
  const short = thinPrefixes(blocks.slice(0, 20));
  expect(long.length).toEqual(20);
  expect(long.slice(0, short.length)).toEqual([...short]);
});
