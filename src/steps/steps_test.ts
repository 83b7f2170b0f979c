import { expect } from "earl";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import {
  InProcessPeers,
  PeerNetwork,
} from "../../stand_ins/in_process_peers.ts";
import { activeConfigurationKey } from "../config/mod.ts";
import { dispatchKey } from "../dispatch/mod.ts";
import {
  FakeConfig,
  FakeDispatch,
  FakeEngine,
  FakeUsage,
  KEY,
  modelRoute,
  plugin,
  settings,
} from "../gateway/fixture.ts";
import { HttpGateway } from "../gateway/http_gateway.ts";
import { gatewayKey, generatorKey } from "../gateway/mod.ts";
import { ResumingGenerator } from "../gateway/resuming_generator.ts";
import { Kernel } from "../kernel/mod.ts";
import type { Platform } from "../outside/mod.ts";
import { peersKey } from "../peers/mod.ts";
import { RouteKind } from "../tables/mod.ts";
import { usageKey } from "../usage/mod.ts";
import { Steps, stepsKey } from "./steps.ts";

const ROUTE = modelRoute({ name: "train", kind: RouteKind.Training });

const SAMPLES = 2;

/** Longer than the interval at which owners look for steps to transfer. */
const SWEEP_MS = 1300;

/** A daemon whose engine never finishes a sample. */
interface Daemon {
  readonly url: string;
  readonly config: FakeConfig;
  /** Signals of the generations that it started. */
  readonly generations: AbortSignal[];
}

async function startDaemon(
  t: TestContext,
  options: { vm: string; network: PeerNetwork },
): Promise<Daemon> {
  const generations: AbortSignal[] = [];
  const engine = new FakeEngine();
  // deno-lint-ignore require-yield
  engine.scripts = [async function* (_generation, signal) {
    generations.push(signal);
    await new Promise((resolve) => signal.addEventListener("abort", resolve));
  }];
  const dispatch = new FakeDispatch();
  dispatch.targets = [{ id: "u1", address: "127.0.0.1:1" }];
  const config = new FakeConfig([ROUTE]);
  const peers = new InProcessPeers(options);
  const kernel = new Kernel({
    settings: settings({ vm: options.vm }),
    platform: { engine } as unknown as Platform,
    incarnation: options.vm,
    registrations: [
      plugin(peersKey, () => peers),
      plugin(activeConfigurationKey, () => config),
      plugin(dispatchKey, () => dispatch),
      plugin(usageKey, () => new FakeUsage()),
      plugin(gatewayKey, (kernel) => new HttpGateway({ kernel })),
      plugin(generatorKey, (kernel) => new ResumingGenerator({ kernel })),
      plugin(stepsKey, (kernel) => new Steps(kernel)),
    ],
  });
  await kernel.start();
  t.after(() => kernel.shutdown());
  peers.serve(kernel.get(stepsKey));
  const { port } = kernel.get(gatewayKey) as HttpGateway;
  return { url: `http://127.0.0.1:${port}`, config, generations };
}

async function call(
  { url }: Daemon,
  method: string,
  options: { step?: string; body?: unknown } = {},
): Promise<number> {
  const step = options.step === undefined ? "" : `/${options.step}`;
  const answer = await fetch(`${url}/v1/training/${ROUTE.name}/steps${step}`, {
    method,
    headers: {
      authorization: `Bearer ${KEY}`,
      ...options.body === undefined
        ? {}
        : { "content-type": "application/json" },
    },
    body: options.body === undefined ? undefined : JSON.stringify(options.body),
  });
  await answer.text();
  return answer.status;
}

function submission(step: string) {
  return {
    step,
    groups: [{ prompt: "p", samples: SAMPLES }],
    max_tokens: 10,
    version: 1,
  };
}

function running({ generations }: Daemon): number {
  return generations.filter(({ aborted }) => !aborted).length;
}

/** Two daemons with steps whose owner changes from the first to the second. */
async function startMovedSteps(t: TestContext) {
  const network = new PeerNetwork();
  const first = await startDaemon(t, { vm: "a", network });
  const steps = ["s1", "s4", "s6", "s7"];
  for (const step of steps) {
    const body = submission(step);
    expect(await call(first, "POST", { body })).toEqual(202);
  }
  const second = await startDaemon(t, { vm: "b", network });
  return { first, second, steps };
}

/** The steps that run once the first daemon looked for those to transfer. */
async function stepsAfterTransfer(
  { first, second, steps }: Awaited<ReturnType<typeof startMovedSteps>>,
): Promise<readonly string[]> {
  await sleep(SWEEP_MS);
  const known = [];
  for (const step of steps) {
    if (await call(second, "GET", { step }) !== 404) known.push(step);
  }
  expect(running(first)).toEqual(0);
  expect(running(second)).toEqual(known.length * SAMPLES);
  return known;
}

test("a new owner resumes the steps of the former one", async (t) => {
  const moved = await startMovedSteps(t);
  expect(await stepsAfterTransfer(moved)).toEqual(moved.steps);
});

test("a cancelled step is not resumed from a former owner's copy", async (t) => {
  const moved = await startMovedSteps(t);
  for (const step of moved.steps) {
    await call(moved.second, "POST", { body: submission(step) });
    expect(await call(moved.second, "DELETE", { step })).toEqual(200);
  }
  expect(await stepsAfterTransfer(moved)).toEqual([]);
});

test("a step cancelled before its new owner has it is not resumed", async (t) => {
  const moved = await startMovedSteps(t);
  for (const step of moved.steps) {
    expect(await call(moved.second, "DELETE", { step })).toEqual(404);
  }
  expect(await stepsAfterTransfer(moved)).toEqual([]);
});

test("a step is not resumed once its key is withdrawn", async (t) => {
  const moved = await startMovedSteps(t);
  moved.second.config.withdraw();
  await sleep(SWEEP_MS);
  expect([running(moved.first), running(moved.second)]).toEqual([0, 0]);
});

test("a cancelled step that is submitted again runs", async (t) => {
  const moved = await startMovedSteps(t);
  const [step] = moved.steps;
  await call(moved.second, "POST", { body: submission(step) });
  await call(moved.second, "DELETE", { step });
  const body = submission(step);
  expect(await call(moved.second, "POST", { body })).toEqual(202);
  expect((await stepsAfterTransfer(moved)).includes(step)).toEqual(true);
});
