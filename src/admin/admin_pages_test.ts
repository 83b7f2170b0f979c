import { expect } from "earl";
import { test } from "node:test";
import { Reason } from "../kernel/mod.ts";
import { hashKey } from "../tables/mod.ts";
import { startAdmin } from "./admin_fixture.ts";

test("in-force lists members that are behind, unreachable or missing", async () => {
  const { server, peers } = await startAdmin({
    members: ["a", "b", "c"],
    listed: ["a", "b", "c", "d"],
    revision: 7,
  });
  peers.answers = {
    a: { revision: 7, ageMs: 3 },
    b: { revision: 6, ageMs: null },
  };
  const answer = await server.inject("/admin/in-force");
  expect(answer.json()).toEqual({
    revision: 7,
    members: [
      { vm: "a", revision: 7, ageMs: 3 },
      { vm: "b", revision: 6, ageMs: null },
      { vm: "c", revision: null, ageMs: null },
    ],
    missing: ["d"],
  });
});

test("members known to have the revision are not queried again", async () => {
  const { server, peers } = await startAdmin({ members: ["a", "b"] });
  peers.answers = {
    a: { revision: 7, ageMs: 3 },
    b: { revision: 6, ageMs: 3 },
  };
  await server.inject("/admin/in-force?revision=7");
  await server.inject("/admin/in-force?revision=7");
  const requests = peers.sentRequests.filter((kind) =>
    kind === "a admin.revision"
  );
  expect(requests.length).toEqual(1);
  expect(peers.sentRequests.length).toEqual(3);
});

test("an invalid query is refused", async () => {
  const { server } = await startAdmin({ members: ["a"] });
  const answer = await server.inject("/admin/in-force?revision=newest");
  expect(answer.json().reason).toEqual(Reason.BadRequest);
});

test("missing daemons are null when the list of VMs is unreadable", async () => {
  const { server } = await startAdmin({ members: ["a"] });
  const answer = await server.inject("/admin/in-force");
  expect(answer.json().missing).toEqual(null);
});

test("status has every part, limits its size and tolerates a failing part", async () => {
  const { server } = await startAdmin({
    members: ["a"],
    parts: {
      well: () => ({ running: 3 }),
      large: () => "x".repeat(300_000),
      broken: () => {
        throw new Error("broken");
      },
    },
  });
  const { parts } = (await server.inject("/admin/status")).json();
  expect(parts).toEqual({
    upstreams: [],
    tenants: [],
    well: { running: 3 },
    large: { tooLarge: true },
    broken: { failed: true },
  });
  const one = (await server.inject("/admin/status?part=well")).json();
  expect(Object.keys(one.parts)).toEqual(["well"]);
});

test("status lists upstreams and organisations, but no keys", async () => {
  const { server } = await startAdmin({ members: ["a"], revision: 1 });
  const answer = await server.inject("/admin/status");
  const { upstreams, tenants } = answer.json().parts;
  expect(upstreams[0].id).toEqual("lm-1");
  expect(tenants).toEqual([{
    tenant: "one",
    route: "chat",
    pool: "lm",
    priority: "interactive",
    weight: 1,
    keys: 1,
  }]);
  expect(answer.body.includes("sha256")).toEqual(false);
});

test("cluster status shows a member without a valid answer as null", async () => {
  const { server, peers } = await startAdmin({ members: ["a", "b", "c"] });
  peers.answers = { a: `{"vm":"a","parts":{}}`, b: "{" };
  const answer = await server.inject("/admin/status?all=1");
  expect(answer.json().members).toEqual([
    { vm: "a", parts: {} },
    { vm: "b", parts: null },
    { vm: "c", parts: null },
  ]);
});

test("without a configured token, only loopback clients are authorized", async () => {
  const { server } = await startAdmin({ members: ["a"] });
  const from = async (remoteAddress: string) =>
    (await server.inject({ url: "/admin/status", remoteAddress })).statusCode;
  expect(await from("127.0.0.1")).toEqual(200);
  expect(await from("::1")).toEqual(200);
  expect(await from("10.0.0.9")).toEqual(401);
});

test("with a configured token, only that token is authorized", async () => {
  const { server } = await startAdmin({
    members: ["a"],
    operatorSha256: hashKey("operator-token"),
  });
  const status = async (headers: Record<string, string>) =>
    (await server.inject({ url: "/admin/in-force", headers })).statusCode;
  expect(await status({ authorization: "Bearer operator-token" })).toEqual(200);
  expect(await status({ authorization: "Bearer other" })).toEqual(401);
  expect(await status({ authorization: hashKey("operator-token") }))
    .toEqual(401);
  expect(await status({})).toEqual(401);
});
