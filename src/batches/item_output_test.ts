import { expect } from "earl";
import { test } from "node:test";
import { ItemOutput } from "./item_output.ts";

function piece(number: number, weightVersion = 1) {
  return { number, text: `t${number}`, weightVersion, raw: "" };
}

test("an output has its events in order and each version once", () => {
  const whole = [piece(1), piece(2, 2), piece(3, 2)]
    .reduce((made, next) => made.with(next), new ItemOutput());
  expect(whole.text).toEqual("t1\nt2\nt3");
  expect(whole.versions).toEqual([1, 2]);
});

test("a duplicate event or one after a gap doesn't follow", () => {
  const made = new ItemOutput().with(piece(1)).with(piece(2));
  expect([2, 3, 4].map((n) => made.follows(piece(n))))
    .toEqual([false, true, false]);
});

test("the first event may have any number", () => {
  expect(new ItemOutput().follows(piece(0))).toEqual(true);
});

test("old or mixed versions don't satisfy the terms of a batch", () => {
  const mixed = new ItemOutput().with(piece(1, 3)).with(piece(2, 4));
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
