import { expect } from "earl";
import { isNone } from "fp-ts/Option";
import { test } from "node:test";
import { Priority, type Route, RouteKind } from "../tables/mod.ts";
import { drawPool, Routing } from "./routing.ts";

function route(name: string, host: string, prefix: string): Route {
  return {
    name,
    path: "",
    model: "",
    kind: RouteKind.Exchange,
    pool: "p",
    priority: Priority.Standard,
    open: true,
    repeatable: true,
    tenants: [],
    keys: [],
    deadlineMs: 1000,
    maxBodyBytes: 1000,
    stalenessBound: 0,
    exchange: {
      host,
      prefix,
      pools: [{ pool: "p", weight: 9 }, { pool: "q", weight: 1 }],
      latencyGoalMs: 100,
      maxAttempts: 2,
      rank: 0,
      streamed: false,
      resumable: false,
    },
  };
}

function foundRouteName(routes: readonly Route[], host: string, path: string) {
  const match = new Routing(routes).find(host, path);
  return isNone(match) ? undefined : match.value.name;
}

test("the route with the longest matching prefix of the host wins", () => {
  const routes = [
    route("all", "a.example", "/"),
    route("lots", "a.example", "/lots/"),
    route("other", "b.example", "/lots/new/"),
  ];
  expect(foundRouteName(routes, "a.example", "/lots/new/1")).toEqual("lots");
  expect(foundRouteName(routes, "A.example:80", "/lost")).toEqual("all");
  expect(foundRouteName(routes, "c.example", "/lots/")).toEqual(undefined);
});

test("the query string is not matched against route prefixes", () => {
  const routes = [route("lots", "a.example", "/lots/")];
  expect(foundRouteName(routes, "a.example", "/x?y=/lots/")).toEqual(undefined);
});

test("pools are drawn in proportion to their weights", () => {
  const { exchange } = route("r", "h", "/");
  if (exchange === undefined) throw new Error("The route has no exchange");
  expect([0, 0.89, 0.91, 0.999].map((at) => drawPool(exchange, at)))
    .toEqual(["p", "p", "q", "q"]);
});
