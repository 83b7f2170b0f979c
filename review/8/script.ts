/**
 * The manifest gives a rollout route another name while a batch submission of it
 * is open; then the machine that runs the batch is stopped as planned.
 *
 * @module
 */

import { rankForDuty } from "../../src/peers/rendezvous.ts";
import { call, HAS_TROUBLE, runCase, sleep } from "../lib-2/deployment.ts";
import { ModelServer } from "../lib-2/engine.ts";

const HOST = "ficu95.example";
const MODEL = "daka510000";
const SERVICE = "palette-lm";
const KEY = "i9n73hh2b9wu3fexd9dn";
const BATCH = "7c41e09b52d6a3f8";
const EVENT_INTERVAL_MS = 25;
const EVENTS = 100;
const ITEMS = 48;
const SLOTS = 16;
const RENAMED_AFTER_MS = 100;
const STOPPED_AFTER_MS = 200;
/** When the trainer gives up, as its sheet has it. */
const STEP_MS = 12_000;
const IDLE_LIMIT_MS = 5000;
/** A machine is in touch this long after it was disturbed. */
const CONTACT_MS = 3000;

const NAMES = ["front-a-1", "front-a-2", "front-a-3"];

void runCase("8", async (deployment, record) => {
  await deployment.start();
  const members = NAMES.map((vm) => ({ vm, cores: 1 }));
  const [owner] = rankForDuty(members, "batches/r-sample");
  const publish = (version: number, name: string) => {
    deployment.put("op/config", {
      version,
      routes: [{
        name,
        host: HOST,
        prefix: "/sample/",
        type: "rollout",
        timeout_ms: 10_000,
        latency_goal_ms: 500,
        priority: 1,
        service: SERVICE,
        max_attempts: 3,
        public: false,
        result_target_ms: 7500,
        retention_s: 60,
      }],
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
    record.add(`the store confirms version ${version}, its route is ${name}`);
  };
  publish(1, "r-sample");
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
  const daemons = await Promise.all(
    NAMES.map((name) => deployment.startDaemon(name, "127.0.0.1")),
  );
  await sleep(3000);
  const headers = { host: HOST, "x-api-key": KEY };
  const items = Array.from({ length: ITEMS }, (_, number) => ({
    id: `item-${number}`,
    path: `/sample/${number}`,
    headers: { "X-Model": MODEL, "X-Token-Usage": `16,${EVENTS}` },
    body: "q83vEjRWeJA=",
    tokens: 16 + EVENTS,
    group: `group-${Math.floor(number / 4)}`,
  }));
  const reader = daemons[NAMES.findIndex((name) => name !== owner.vm)];
  const { status } = await call(reader.front, {
    method: "POST",
    path: "/sample/batch",
    headers: {
      ...headers,
      "x-request-id": BATCH,
      "content-type": "application/json",
    },
    body: JSON.stringify({ step: 0, model: MODEL, desired: 10, items }),
  });
  const acceptedAt = Date.now();
  record.add(`the batch submission gets ${status}`);
  if (status !== 202) throw new Error("The batch was not accepted");
  await sleep(RENAMED_AFTER_MS);
  if (HAS_TROUBLE) publish(2, "r-sample-2");
  await sleep(STOPPED_AFTER_MS);
  const stopped = daemons[NAMES.indexOf(owner.vm)];
  let stoppedAt = Infinity;
  stopped.process.on("exit", (code, signal) => {
    stoppedAt = Date.now();
    record.add(`${stopped.name} ended, ${signal ?? code}`);
  });
  const begun = servers.flatMap(({ runs }) => runs).length;
  record.add(`${begun} items had begun`);
  record.add(`SIGTERM to ${stopped.name}, which runs the batch`);
  stopped.process.kill("SIGTERM");
  let listed = 0;
  while (Date.now() < acceptedAt + STEP_MS) {
    await sleep(500);
    const running = servers.flatMap(({ runs }) => runs)
      .filter(({ endedAt }) => endedAt === Infinity).length;
    const answer = await call(reader.front, {
      path: `/-/lots/${BATCH}?after=0`,
      headers,
    });
    listed = answer.status === 200
      ? JSON.parse(answer.body).results.length
      : listed;
    record.add(
      `${running} of ${SLOTS} slots are in use; ${reader.name} answers ${answer.status}, ${listed} results`,
    );
  }
  // What had an item last, and the stop of the machine with its aftermath.
  const runs = servers.flatMap((server) => server.runs);
  const whole = new Set(
    runs.filter(({ isWhole }) => isWhole).map(({ id }) => id),
  );
  const left = items.filter(({ id }) => !whole.has(id));
  const lastAt = Math.max(
    stoppedAt + CONTACT_MS,
    ...runs.map(({ endedAt }) => endedAt),
  );
  const steadyMs = Date.now() - lastAt;
  record.add(
    `LOST: ${left.length} of ${ITEMS} items are not finished, and no server ` +
      `had an item for ${steadyMs} ms of steady state`,
  );
  return begun === 0 || left.length === 0 || steadyMs < IDLE_LIMIT_MS;
});
