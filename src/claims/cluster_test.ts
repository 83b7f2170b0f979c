import { expect } from "earl";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Verdict } from "../kernel/mod.ts";
import { RouteKind } from "../tables/mod.ts";
import { key, pool, route, tables } from "../../stand_ins/builders.ts";
import { type Cluster, startCluster } from "../../stand_ins/cluster.ts";
import { FaultKind } from "../../stand_ins/faults.ts";
import { vm } from "../../stand_ins/platform.ts";

const SECRET = "insurer-secret-of-the-test";
const SEED = 20261204;

/** Above the route's deadline, so that a daemon that is silent is noticed. */
const ANSWER_TIMEOUT_MS = 10_000;

const TABLES = tables({
  routes: [route({
    name: "releases",
    kind: RouteKind.Service,
    path: "/releases",
    model: "",
    pool: "services",
    repeatable: false,
    keys: [key(SECRET, "one")],
    deadlineMs: 5_000,
  })],
  pools: [pool({ name: "services", model: "" })],
});

/** A service without load headers; `ran` gets the keys of executed requests. */
async function listen(ran: string[]): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
    if (request.url === "/releases/1") {
      ran.push(String(request.headers["idempotency-key"]));
      response.end(`run ${ran.length}`);
    } else response.writeHead(404).end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  return server;
}

/** Runs `body` against three daemons and a service. */
async function withCluster(
  body: (cluster: Cluster, ran: readonly string[]) => Promise<void>,
): Promise<void> {
  const ran: string[] = [];
  const service = await listen(ran);
  const { port } = service.address() as AddressInfo;
  const cluster = await startCluster({ tables: TABLES });
  try {
    cluster.platform.putVm(
      vm({ id: "s1", pool: "services", address: `127.0.0.1:${port}` }),
    );
    await waitUntil(async () => (await post(cluster, "warm")).status === 200);
    await body(cluster, ran);
  } finally {
    await cluster.stop();
    service.closeAllConnections();
    await new Promise((resolve) => service.close(resolve));
  }
}

async function waitUntil(done: () => Promise<boolean>): Promise<void> {
  for (let n = 0; n < 100; n++) {
    if (await done()) return;
    await sleep(50);
  }
  throw new Error("condition not met after 100 checks");
}

/** Posts with an idempotency key through the entry with this number. */
async function post(
  cluster: Cluster,
  id: string,
  entry = 0,
): Promise<{ status: number; text: string }> {
  const headers = { "x-api-key": SECRET, "idempotency-key": id };
  const response = await fetch(`${cluster.daemons[entry].url}/releases/1`, {
    method: "POST",
    headers,
    body: "release",
    signal: AbortSignal.timeout(ANSWER_TIMEOUT_MS),
  });
  return { status: response.status, text: await response.text() };
}

function duplicates(ids: readonly string[]): readonly string[] {
  return ids.filter((id, n) => ids.indexOf(id) !== n);
}

test("a retry through any entry gets the first response", async () => {
  await withCluster(async (cluster, ran) => {
    const first = await post(cluster, "a", 0);
    expect(first.status).toEqual(200);
    for (const entry of [1, 2, 0]) {
      expect(await post(cluster, "a", entry)).toEqual(first);
    }
    expect(ran.filter((id) => id === "a").length)
      .toEqual(1);
  });
});

/** Waits until an id has a response, or an entry died while it held the id. */
async function waitForDecision(
  cluster: Cluster,
  ran: readonly string[],
  id: string,
): Promise<void> {
  await waitUntil(async () => {
    const { status, text } = await post(cluster, id);
    if (status === 200) return ran.includes(id);
    return status === 409 && text.includes(Verdict.MayHaveRun);
  });
}

test("nothing runs twice with lost responses and a killed entry", async () => {
  await withCluster(async (cluster, ran) => {
    cluster.platform.inject([{
      kind: FaultKind.Lost,
      operation: "swap",
      probability: 0.3,
      seed: SEED,
    }]);
    const caller = async (id: string, first: number) => {
      for (let n = 0; n < 6; n++) {
        const entry = (first + n) % 3;
        const answer = await post(cluster, id, entry).catch(() => undefined);
        if (answer?.status === 200) return;
        await sleep(150);
      }
    };
    const callers = Array.from(
      { length: 60 },
      (_, n) => caller(`id-${n % 20}`, n),
    );
    await sleep(200);
    await cluster.daemons[2].kill();
    await Promise.all(callers);
    cluster.platform.inject([]);
    for (let n = 0; n < 20; n++) await waitForDecision(cluster, ran, `id-${n}`);
    expect(duplicates(ran)).toEqual([]);
  });
});

test("requests in an outage are refused at once and do not run", async () => {
  await withCluster(async (cluster, ran) => {
    cluster.platform.inject([{ kind: FaultKind.Outage, operation: "*" }]);
    const at = performance.now();
    const answer = await post(cluster, "b");
    expect(answer.status).toEqual(503);
    expect(answer.text.includes(Verdict.NotRun)).toEqual(true);
    expect(performance.now() - at < 2_500).toEqual(true);
    expect(ran.includes("b")).toEqual(false);
    cluster.platform.inject([]);
    await waitUntil(async () => (await post(cluster, "b")).status === 200);
    expect(duplicates(ran)).toEqual([]);
  });
});
