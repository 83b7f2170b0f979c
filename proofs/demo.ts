/**
 * The main job, end to end: three daemons, the command-line tool and the
 * stand-ins as processes; tables applied, an upstream started by order, a
 * streamed request served, a step of samples collected, a usage report sent.
 * Prints what happened as a table and exits with 0 if all of it did.
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
import { Caller } from "./caller.ts";
import { select } from "./events.ts";
import { Recorder } from "./recorder.ts";
import { train } from "./trainers.ts";

const COMMAND = join(__dirname, "../src/bin/toucanwind.js");
const CALLER = "demo-secret-of-a-caller";
const TRAINER = "demo-secret-of-a-trainer";
const STAGE_TIMEOUT_MS = 15_000;
const WINDOW_MS = 3_000;

/** A line of the printed table. */
interface Line {
  readonly stage: string;
  readonly what: string;
  readonly ok: boolean;
}

/** Runs the main job; `report` gets a line for each stage. */
export async function runMainJob(
  report: (line: Line) => void,
): Promise<boolean> {
  const cluster = new Cluster({
    daemons: 0,
    timing: { usage_window_ms: WINDOW_MS, usage_grace_ms: 500 },
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
      (what) => ({ stage: name, what, ok: true }),
      (error) => ({ stage: name, what: String(error), ok: false }),
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
  const { code, text } = await command([
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

async function command(
  args: readonly string[],
): Promise<{ code: number; text: string }> {
  const child = spawn(process.execPath, [COMMAND, ...args]);
  let text = "";
  child.stdout.on("data", (part) => text += part);
  child.stderr.on("data", (part) => text += part);
  const [code] = await once(child, "close");
  return { code, text };
}

async function awaitOrder(cluster: Cluster): Promise<string> {
  await until(() => cluster.engines.size > 0, "no upstream was started");
  const [ordered] = select(cluster.history, "ordered");
  const { holder, count, availabilityZone, term } = ordered.order;
  return `${holder} ordered ${count} in zone ${availabilityZone}, term ${term}`;
}

async function serveRequest(cluster: Cluster): Promise<string> {
  const recorder = new Recorder({ history: cluster.history });
  const caller = new Caller({ name: "caller", recorder });
  const badge = { tenant: "one", keyId: "", secret: CALLER };
  const ask = { route: "chat", model: "model", tokens: 20, stream: true };
  await until(async () => {
    await caller.complete(cluster.daemons[1].url, { badge, ask });
    return select(cluster.history, "answered").length > 0;
  }, "no request was answered");
  await caller.close();
  const [asked] = select(cluster.history, "asked").slice(-1);
  const [answered] = select(cluster.history, "answered");
  if (answered.text !== asked.expected) throw new Error("Another answer");
  return `${answered.outputTokens} tokens streamed, text as made`;
}

async function collectStep(cluster: Cluster): Promise<string> {
  const last = new AbortController();
  const training = train({
    name: "demo",
    entries: cluster.daemons.map(({ url }) => url),
    key: TRAINER,
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
  await until(
    () => select(cluster.history, "pulled").some(({ done }) => done),
    "the step did not end",
  );
  last.abort();
  await training;
  const first = select(cluster.history, "pulled")
    .filter(({ step }) => step === "demo.0");
  const samples = first.flatMap(({ samples }) => samples);
  const versions = samples.flatMap((sample) => sample.versions);
  const named = [...new Set(versions.map(({ version }) => version))];
  return `${samples.length} samples, weight versions ${named.join(", ")}`;
}

async function awaitReport(cluster: Cluster): Promise<string> {
  const tenants = () =>
    new Set(
      select(cluster.history, "reported").map(({ id }) => id.split("/")[0]),
    );
  await until(() => tenants().size === 2, "usage was not reported");
  const [first] = select(cluster.history, "reported");
  return `${first.id}: ${first.body.length} bytes, sealed before sent`;
}

async function until(
  holds: () => boolean | Promise<boolean>,
  failure: string,
): Promise<void> {
  const end = performance.now() + STAGE_TIMEOUT_MS;
  while (!await holds()) {
    if (performance.now() > end) throw new Error(failure);
    await sleep(100);
  }
}

function demoTables(): Tables {
  return tables({
    pools: [pool({ minUpstreams: 1, maxUpstreams: 2 })],
    routes: [
      route({ keys: [key(CALLER, "one")] }),
      route({
        name: "train",
        model: "model",
        kind: RouteKind.Training,
        priority: Priority.Training,
        tenants: [{ tenant: "trainer", weight: 1 }],
        keys: [key(TRAINER, "trainer")],
      }),
    ],
  });
}

if (require.main === module) {
  const width = 8;
  void runMainJob(({ stage, what, ok }) => {
    console.log(`${ok ? "ok  " : "FAIL"} ${stage.padEnd(width)} ${what}`);
  }).then((ok) => {
    process.exitCode = ok ? 0 : 1;
  });
}
