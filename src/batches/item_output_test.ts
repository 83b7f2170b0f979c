import { expect } from "earl";
import { test } from "node:test";
import { ItemOutput } from "./item_output.ts";

function event(number: number, weightVersion = 1) {
  return { number, text: `t${number}`, weightVersion, raw: "" };
}

test("an output has its events in order and each version once", () => {
  const output = [event(1), event(2, 2), event(3, 2)]
    .reduce((output, next) => output.with(next), new ItemOutput());
  expect(output.text).toEqual("t1\nt2\nt3");
  expect(output.versions).toEqual([1, 2]);
});

test("a duplicate event or one after a gap doesn't follow", () => {
  const output = new ItemOutput().with(event(1)).with(event(2));
  expect([2, 3, 4].map((n) => output.follows(event(n))))
    .toEqual([false, true, false]);
});

test("the first event may have any number", () => {
  expect(new ItemOutput().follows(event(0))).toEqual(true);
});

test("old or mixed versions don't satisfy the terms of a batch", () => {
  const mixed = new ItemOutput().with(event(1, 3)).with(event(2, 4));
  expect(mixed.satisfies({ minVersion: 3, singleVersion: false })).toEqual(
    true,
  );
  expect(mixed.satisfies({ minVersion: 4, singleVersion: false })).toEqual(
    false,
  );
  expect(mixed.satisfies({ minVersion: 3, singleVersion: true })).toEqual(
    false,
  );
});
