/**
 * A demo of the main functions, end to end: starts three daemons as processes
 * with the stand-ins, applies tables with the command-line tool, and waits for
 * an ordered upstream, a streamed answer, a step of samples and a usage report.
 * Prints a line per stage and exits with 0 if all stages succeed.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { once } from "node:events";
import { mkdirSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import {
  printTables,
  Priority,
  RouteKind,
  type Tables,
} from "../src/tables/mod.ts";
import { key, pool, route, tables } from "../stand_ins/builders.ts";
import { Cluster } from "../stand_ins/cluster.ts";
import { RecordingCaller } from "./recording_caller.ts";
import { eventsOf } from "./events.ts";
import { Recorder } from "./recorder.ts";
import { runTrainer } from "./trainers.ts";

const COMMAND_FILE = join(__dirname, "../src/bin/toucanwind.js");
const CALLER_SECRET = "demo-secret-of-a-caller";
const TRAINER_SECRET = "demo-secret-of-a-trainer";
const STAGE_TIMEOUT_MS = 15_000;
const USAGE_WINDOW_MS = 3_000;

/** A line of the printed table. */
interface StageResult {
  readonly stage: string;
  readonly detail: string;
  readonly ok: boolean;
}

/** Runs all stages; `report` gets the result of each. */
export async function runDemo(
  report: (line: StageResult) => void,
): Promise<boolean> {
  const cluster = new Cluster({
    daemons: 0,
    timing: { usage_window_ms: USAGE_WINDOW_MS, usage_grace_ms: 500 },
    platform: {
      startMs: 200,
      offers: [{
        pool: "lm",
        availabilityZone: "a",
        reclaimable: false,
        pricePerHour: 3,
        available: 2,
      }],
    },
    orderedEngines: { tokenMs: 2, slots: 8 },
  });
  let ok = true;
  const stage = async (name: string, run: () => Promise<string>) => {
    const line = await run().then(
      (detail) => ({ stage: name, detail, ok: true }),
      (error) => ({ stage: name, detail: String(error), ok: false }),
    );
    ok &&= line.ok;
    report(line);
  };
  try {
    await cluster.start();
    await stage("daemons", () => startDaemons(cluster));
    await stage("tables", () => applyTables(cluster));
    await stage("order", () => awaitOrder(cluster));
    await stage("request", () => serveRequest(cluster));
    await stage("step", () => collectStep(cluster));
    await stage("usage", () => awaitReport(cluster));
    return ok;
  } finally {
    await cluster.stop();
  }
}

async function startDaemons(cluster: Cluster): Promise<string> {
  for (const id of ["entry-1", "entry-2", "entry-3"]) {
    await cluster.addDaemon(id);
  }
  return `${cluster.daemons.length} daemons started`;
}

async function applyTables(cluster: Cluster): Promise<string> {
  const folder = join(cluster.folder, "tables");
  mkdirSync(folder);
  const { routes, pools } = printTables(demoTables());
  writeFileSync(join(folder, "routes.toml"), routes);
  writeFileSync(join(folder, "pools.toml"), pools);
  const { code, text } = await runCommand([
    "apply",
    folder,
    "--platform",
    cluster.platform.url,
    "--entry",
    cluster.daemons[0].url,
    "--wait-ms",
    String(STAGE_TIMEOUT_MS),
  ]);
  if (code !== 0) throw new Error(text);
  await Promise.all(cluster.daemons.map((daemon) => daemon.ready()));
  return text.trim().split("\n").at(-1) ?? "";
}

async function runCommand(
  args: readonly string[],
): Promise<{ code: number; text: string }> {
  const child = spawn(process.execPath, [COMMAND_FILE, ...args]);
  let text = "";
  child.stdout.on("data", (part) => text += part);
  child.stderr.on("data", (part) => text += part);
  const [code] = await once(child, "close");
  return { code, text };
}

async function awaitOrder(cluster: Cluster): Promise<string> {
  await waitUntil(() => cluster.engines.size > 0, "no upstream was started");
  const [ordered] = eventsOf(cluster.history, "ordered");
  const { holder, count, availabilityZone, term } = ordered.order;
  return `${holder} ordered ${count} in zone ${availabilityZone}, term ${term}`;
}

async function serveRequest(cluster: Cluster): Promise<string> {
  const recorder = new Recorder({ history: cluster.history });
  const caller = new RecordingCaller({ name: "caller", recorder });
  const credentials = { organisation: "one", keyId: "", secret: CALLER_SECRET };
  const completion = {
    route: "chat",
    model: "model",
    tokens: 20,
    stream: true,
  };
  await waitUntil(async () => {
    await caller.complete(cluster.daemons[1].url, { credentials, completion });
    return eventsOf(cluster.history, "answered").length > 0;
  }, "no request was answered");
  await caller.close();
  const [asked] = eventsOf(cluster.history, "asked").slice(-1);
  const [answered] = eventsOf(cluster.history, "answered");
  if (answered.text !== asked.expected) throw new Error("Unexpected answer");
  return `${answered.outputTokens} tokens streamed, text as expected`;
}

async function collectStep(cluster: Cluster): Promise<string> {
  const last = new AbortController();
  const training = runTrainer({
    name: "demo",
    entries: cluster.daemons.map(({ url }) => url),
    key: TRAINER_SECRET,
    recorder: new Recorder({ history: cluster.history }),
    shape: {
      groups: 4,
      samplesPerGroup: 4,
      tokens: (group) => 10 + 10 * group,
      stalenessBound: 1,
    },
    version: () => 1,
    last: last.signal,
    signal: AbortSignal.timeout(STAGE_TIMEOUT_MS),
  });
  await waitUntil(
    () => eventsOf(cluster.history, "pulled").some(({ done }) => done),
    "the step did not end",
  );
  last.abort();
  await training;
  const first = eventsOf(cluster.history, "pulled")
    .filter(({ step }) => step === "demo.0");
  const samples = first.flatMap(({ samples }) => samples);
  const versions = samples.flatMap((sample) => sample.versions);
  const named = [...new Set(versions.map(({ version }) => version))];
  return `${samples.length} samples, weight versions ${named.join(", ")}`;
}

async function awaitReport(cluster: Cluster): Promise<string> {
  const organisations = () =>
    new Set(
      eventsOf(cluster.history, "reported").map(({ id }) => id.split("/")[0]),
    );
  await waitUntil(() => organisations().size === 2, "usage was not reported");
  const [first] = eventsOf(cluster.history, "reported");
  return `${first.id}: ${first.body.length} bytes, sealed before sent`;
}

async function waitUntil(
  condition: () => boolean | Promise<boolean>,
  failure: string,
): Promise<void> {
  const end = performance.now() + STAGE_TIMEOUT_MS;
  while (!await condition()) {
    if (performance.now() > end) throw new Error(failure);
    await sleep(100);
  }
}

function demoTables(): Tables {
  return tables({
    pools: [pool({ minUpstreams: 1, maxUpstreams: 2 })],
    routes: [
      route({ keys: [key(CALLER_SECRET, "one")] }),
      route({
        name: "train",
        model: "model",
        kind: RouteKind.Training,
        priority: Priority.Training,
        tenants: [{ tenant: "trainer", weight: 1 }],
        keys: [key(TRAINER_SECRET, "trainer")],
      }),
    ],
  });
}

if (require.main === module) {
  const width = 8;
  void runDemo(({ stage, detail, ok }) => {
    console.log(`${ok ? "ok  " : "FAIL"} ${stage.padEnd(width)} ${detail}`);
  }).then((ok) => {
    process.exitCode = ok ? 0 : 1;
  });
}
