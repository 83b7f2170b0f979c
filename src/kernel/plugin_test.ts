import { expect } from "earl";
import { test } from "node:test";
import { Plugin, PluginKey, register, registeredPlugins } from "./mod.ts";

class EmptyPlugin extends Plugin {}

const innerKey = new PluginKey<EmptyPlugin>("test-inner");
const outerKey = new PluginKey<EmptyPlugin>("test-outer");

test("plug-ins are ordered after those that they require", () => {
  register({
    key: outerKey,
    requires: [innerKey],
    create: () => new EmptyPlugin(),
  });
  register({ key: innerKey, requires: [], create: () => new EmptyPlugin() });
  const names = registeredPlugins().map((registration) =>
    registration.key.name
  );
  expect(names).toEqual(["test-inner", "test-outer"]);
});

test("a plug-in registers once", () => {
  const again = () =>
    register({ key: innerKey, requires: [], create: () => new EmptyPlugin() });
  expect(again).toThrow(RangeError);
});
