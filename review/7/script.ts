/**
 * The manifest drops a route while a batch submission of it is open. The tenant
 * and its key stay.
 *
 * @module
 */

import { call, HAS_TROUBLE, runCase, sleep } from "../lib-2/deployment.ts";
import { ModelServer } from "../lib-2/engine.ts";

const HOST = "ficu95.example";
const MODEL = "daka510000";
const SERVICE = "palette-lm";
const KEY = "i9n73hh2b9wu3fexd9dn";
const BATCH = "7c41e09b52d6a3f8";
const EVENT_INTERVAL_MS = 25;
const EVENTS = 60;
const ITEMS = 96;
const DROPPED_AFTER_MS = 1500;
const CONFIG_APPLY_MS = 2000;
const SETTLE_MS = 1000;
const WATCH_MS = 8000;

void runCase("7", async (deployment, record) => {
  await deployment.start();
  const terms = {
    host: HOST,
    timeout_ms: 10_000,
    latency_goal_ms: 500,
    priority: 1,
    service: SERVICE,
    max_attempts: 3,
    public: false,
  };
  const lookup = {
    ...terms,
    name: "r-lookup",
    prefix: "/lookup/",
    type: "idempotent",
  };
  const rollout = {
    ...terms,
    name: "r-sample",
    prefix: "/sample/",
    type: "rollout",
    result_target_ms: 7500,
    retention_s: 60,
  };
  const publish = (version: number, routes: readonly unknown[]) => {
    deployment.put("op/config", {
      version,
      routes,
      services: [{
        name: SERVICE,
        health_path: "/health",
        engine: {
          slots: 8,
          kv_cache_tokens: 83_744,
          models: [{ name: MODEL }],
        },
      }],
      limits: {},
      tenants: [{ name: "kaje80", api_keys: [KEY], priority: 1 }],
    });
    record.add(
      `the store confirms version ${version}: ${routes.length} routes`,
    );
  };
  publish(1, [lookup, rollout]);
  const servers = ["i-1", "i-2"].map((id) =>
    new ModelServer({
      id,
      service: SERVICE,
      model: MODEL,
      record,
      eventIntervalMs: EVENT_INTERVAL_MS,
    })
  );
  for (const server of servers) {
    await server.start();
    deployment.put(`servers/${server.id}`, server.entry);
  }
  const daemons = [
    await deployment.startDaemon("front-a-1", "127.0.0.1"),
    await deployment.startDaemon("front-a-2", "127.0.0.1"),
  ];
  await sleep(2500);

  const headers = { host: HOST, "x-api-key": KEY };
  const items = Array.from({ length: ITEMS }, (_, number) => ({
    id: `item-${number}`,
    path: `/sample/${number}`,
    headers: { "X-Model": MODEL, "X-Token-Usage": `16,${EVENTS}` },
    body: "q83vEjRWeJA=",
    tokens: 16 + EVENTS,
    group: `group-${Math.floor(number / 4)}`,
  }));
  const { status } = await call(daemons[0].front, {
    method: "POST",
    path: "/sample/batch",
    headers: {
      ...headers,
      "x-request-id": BATCH,
      "content-type": "application/json",
    },
    body: JSON.stringify({ step: 0, model: MODEL, desired: 22, items }),
  });
  record.add(`the batch submission gets ${status}`);
  if (status !== 202) throw new Error("The batch was not accepted");
  await sleep(DROPPED_AFTER_MS);
  if (HAS_TROUBLE) publish(2, [lookup]);
  const droppedAt = Date.now();

  let notFound = 0;
  while (Date.now() < droppedAt + WATCH_MS) {
    await sleep(1000);
    for (const { name, front } of daemons) {
      const path = `/-/lots/${BATCH}?after=0`;
      const answer = await call(front, { path, headers });
      const { results } = answer.status === 200
        ? JSON.parse(answer.body)
        : { results: [] };
      record.add(
        `${name} answers ${answer.status} for the batch submission, ` +
          `${results.length} results`,
      );
      const isSettled = Date.now() > droppedAt + SETTLE_MS;
      if (isSettled && [404, 410].includes(answer.status)) notFound += 1;
    }
  }
  const ended = await call(daemons[0].front, {
    method: "DELETE",
    path: `/-/lots/${BATCH}`,
    headers,
  });
  record.add(`the end of the batch submission gets ${ended.status}`);
  const late = servers.flatMap(({ runs }) => runs)
    .filter(({ at }) => at > droppedAt + CONFIG_APPLY_MS);
  const lateCount = HAS_TROUBLE ? late.length : 0;
  record.add(`LOST: ${notFound} answers 404 for the batch submission`);
  record.add(
    `Not judged: ${lateCount} items reached servers later than ` +
      `${CONFIG_APPLY_MS} ms after their route was dropped`,
  );
  return notFound === 0;
});
