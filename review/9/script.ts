/**
 * A planned stop of a machine, with streams on kept connections. Streams of the
 * last minute were short; one that is sent during the stop is a straggler.
 *
 * @module
 */

import { Agent, request } from "node:http";
import {
  HAS_TROUBLE,
  runCase,
  type RunRecord,
  sleep,
} from "../lib-2/deployment.ts";
import { ModelServer } from "../lib-2/engine.ts";

const HOST = "ficu95.example";
const MODEL = "daka510000";
const SERVICE = "palette-lm";
const EVENT_INTERVAL_MS = 25;
/** Mean and maximum of a stream's events in the site file. */
const USUAL_EVENTS = 28;
const STRAGGLER_EVENTS = 205;
const TIMEOUT_MS = 10_000;
const DEADLINE_MS = 12_000;
const GRACE_MS = 8000;
/** Requests that are sent up to then may still be cut at the end. */
const EXCUSED_MS = 3000;

/** When streams are sent, from SIGTERM on, each on a connection of its own. */
const USUAL_AT_MS = [500, 1000, 1500, 2000, 2400, 2800, 3200, 3600];
const STRAGGLERS_AT_MS = [3300, 3700, 4100];

/** How a stream ended for its client. */
interface StreamEnd {
  readonly id: string;
  readonly status: number;
  readonly events: number;
  readonly isComplete: boolean;
  readonly sentAt: number;
  readonly endedAt: number;
}

/** A client with one kept connection. */
class Client {
  readonly #agent = new Agent({ keepAlive: true, maxSockets: 1 });
  readonly #address: readonly string[];
  readonly #record: RunRecord;

  constructor(options: { address: string; record: RunRecord }) {
    this.#address = options.address.split(":");
    this.#record = options.record;
  }

  close(): void {
    this.#agent.destroy();
  }

  /** Sends a request for a stream and reads it to its end. */
  stream(id: string, events: number): Promise<StreamEnd> {
    const sentAt = Date.now();
    const [host, port] = this.#address;
    this.#record.add(`client sends ${id} for ${events} events`);
    return new Promise((resolve) => {
      let status = 0;
      let text = "";
      const end = (isComplete: boolean) => {
        const read = text.split("\n\n").length - 1;
        this.#record.add(
          `client's answer to ${id} ends ${isComplete ? "" : "in"}complete, ` +
            `status ${status}, ${read} events`,
        );
        const endedAt = Date.now();
        resolve({ id, status, events: read, isComplete, sentAt, endedAt });
      };
      const sent = request({
        host,
        port,
        method: "POST",
        path: "/sample/1",
        agent: this.#agent,
        headers: {
          "host": HOST,
          "x-request-id": id,
          "x-deadline-ms": `${DEADLINE_MS}`,
          "x-model": MODEL,
          "x-token-usage": `16,${events}`,
        },
      }, (message) => {
        status = message.statusCode ?? 0;
        message.setEncoding("utf8").on("data", (part) => text += part);
        message.on("error", () => {});
        message.on("close", () => end(message.complete));
      });
      sent.on("error", () => {
        if (status === 0) end(false);
      });
      sent.end(id);
    });
  }
}

void runCase("9", async (deployment, record) => {
  await deployment.start();
  deployment.put("op/config", {
    version: 1,
    routes: [{
      name: "r-sample",
      host: HOST,
      prefix: "/sample/",
      type: "stream",
      timeout_ms: TIMEOUT_MS,
      latency_goal_ms: 500,
      priority: 1,
      service: SERVICE,
      max_attempts: 3,
      public: true,
    }],
    services: [{
      name: SERVICE,
      health_path: "/health",
      engine: { slots: 8, kv_cache_tokens: 83_744, models: [{ name: MODEL }] },
    }],
    limits: { idle_timeout_ms: 15_000 },
  });
  const servers = ["i-1", "i-2", "i-3"].map((id) =>
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
  await deployment.startDaemon("front-a-2", "127.0.0.1");
  const daemon = await deployment.startDaemon("front-a-1", "127.0.0.1");
  await sleep(2000);

  const plan = [
    ...USUAL_AT_MS.map((atMs) => ({ atMs, events: USUAL_EVENTS })),
    ...STRAGGLERS_AT_MS.map((atMs) => ({ atMs, events: STRAGGLER_EVENTS })),
  ].map((entry, index) => ({
    ...entry,
    id: `s${index.toString().padStart(2, "0")}`,
    client: new Client({ address: daemon.front, record }),
  }));
  // Each client has used its connection before.
  const before = await Promise.all(
    plan.map(({ client, id }) => client.stream(`${id}-before`, USUAL_EVENTS)),
  );
  if (before.some(({ status }) => status !== 200)) {
    throw new Error("Streams before the stop were not served");
  }
  await sleep(500);

  daemon.process.on(
    "exit",
    (code, signal) =>
      record.add(`front-a-1 ended with code ${code}, signal ${signal}`),
  );
  const stoppedAt = Date.now();
  if (HAS_TROUBLE) {
    record.add("SIGTERM to front-a-1");
    daemon.process.kill("SIGTERM");
    setTimeout(() => daemon.process.kill("SIGKILL"), GRACE_MS).unref();
  }
  const ends = await Promise.all(
    plan.map(async ({ atMs, id, events, client }) => {
      await sleep(atMs);
      return await client.stream(id, events);
    }),
  );
  for (const { client } of plan) client.close();

  const lost = ends.filter(({ id, isComplete, sentAt, endedAt }) =>
    !isComplete && sentAt > stoppedAt + EXCUSED_MS &&
    endedAt < stoppedAt + GRACE_MS + 1000 &&
    endedAt - sentAt < TIMEOUT_MS && servers.some((server) => server.hasRun(id))
  );
  const served = ends.filter(({ status, isComplete }) =>
    status === 200 && isComplete
  );
  record.add(`${ends.length} streams, ${served.length} served whole`);
  for (const { id, sentAt, endedAt, events } of lost) {
    record.add(
      `LOST: ${id} was sent ${
        sentAt - stoppedAt
      } ms after SIGTERM, passed on ` +
        `and cut ${endedAt - stoppedAt} ms after it, with ${events} events`,
    );
  }
  return lost.length === 0;
});
