import { expect } from "earl";
import { test } from "node:test";
import { Plugin, PluginKey, register, registeredPlugins } from "./mod.ts";

class Empty extends Plugin {}

const innerKey = new PluginKey<Empty>("test-inner");
const outerKey = new PluginKey<Empty>("test-outer");

test("plug-ins are ordered after those that they require", () => {
  register({ key: outerKey, requires: [innerKey], create: () => new Empty() });
  register({ key: innerKey, requires: [], create: () => new Empty() });
  const names = registeredPlugins().map((registration) =>
    registration.key.name
  );
  expect(names).toEqual(["test-inner", "test-outer"]);
});

test("a plug-in registers once", () => {
  const again = () =>
    register({ key: innerKey, requires: [], create: () => new Empty() });
  expect(again).toThrow(RangeError);
});
