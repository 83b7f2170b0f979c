import { expect } from "earl";
import { test } from "node:test";
import { Plugin, PluginKey, register, registeredPlugins } from "./mod.ts";

class EmptyPlugin extends Plugin {}

const innerKey = new PluginKey<EmptyPlugin>("test-inner");
const outerKey = new PluginKey<EmptyPlugin>("test-outer");

test("plug-ins are listed after those that they require", () => {
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

test("registering a plug-in twice throws", () => {
  const again = () =>
    register({ key: innerKey, requires: [], create: () => new EmptyPlugin() });
  expect(again).toThrow(RangeError);
});
