/**
 * Measures how long new weights take to reach all upstreams, and the cost for
 * the daemon that orders the swaps. The engines run in a separate process; all
 * plug-ins of that daemon other than the orders are fixtures.
 *
 *     node dist/experiments/weight_swaps.js UPSTREAMS LOAD_MS [ROUNDS]
 *
 * @module
 */

import { fork } from "node:child_process";
import { setTimeout as sleep } from "node:timers/promises";
import { pool, tables } from "../stand_ins/builders.ts";
import { startEngine } from "../stand_ins/engine.ts";
import { startPlatform, vm } from "../stand_ins/platform.ts";
import { kernel } from "../src/orders/fixtures_test.ts";
import { FixedScalingPolicy } from "../src/orders/scaling_policies.ts";

/** Message of the engine process: its platform URL, or a swap's result. */
interface EngineProcessMessage {
  readonly url?: string;
  readonly tookMs?: number;
  readonly mostLoading?: number;
}

const [upstreams, loadMs, rounds] = process.argv.slice(2).map(Number);

/** Runs the platform and the engines; publishes a version on each message. */
async function serve(): Promise<void> {
  const platform = await startPlatform();
  let swapped = 0;
  let loading = 0;
  let mostLoading = 0;
  const sink = ({ kind }: { kind: string }) => {
    if (kind === "loading") loading += 1;
    if (kind === "swapped") [swapped, loading] = [swapped + 1, loading - 1];
    mostLoading = Math.max(mostLoading, loading);
  };
  for (let n = 0; n < upstreams; n++) {
    const engine = await startEngine({ tokenMs: 1000, loadMs, sink });
    const address = new URL(engine.url).host;
    platform.putVm(vm({ id: `u${n}`, pool: "lm", address }));
  }
  process.send?.({ url: platform.url });
  process.on("message", async (version: number) => {
    [swapped, mostLoading] = [0, 0];
    const startedAt = performance.now();
    platform.publish("model", version);
    while (swapped < upstreams) await sleep(5);
    process.send?.({ tookMs: performance.now() - startedAt, mostLoading });
  });
}

async function measureSwaps(): Promise<void> {
  const child = fork(__filename, process.argv.slice(2), {
    env: { ...process.env, ROLE: "engines" },
  });
  const message = () =>
    new Promise<EngineProcessMessage>((resolve) =>
      child.once("message", resolve)
    );
  const { url = "" } = await message();
  const daemon = kernel({
    vm: "one",
    url,
    tables: tables({ pools: [pool({ maxUpstreams: 0 })] }),
    pressure: () => ({ running: 0, queued: 0, urgent: 0, slots: 1 }),
    policy: () => new FixedScalingPolicy(),
    leaseMs: 3000,
  });
  await daemon.start();
  await sleep(2000);
  for (let round = 0; round < (rounds || 5); round++) {
    const before = process.cpuUsage();
    child.send(round + 2);
    const { tookMs = 0, mostLoading } = await message();
    const { user, system } = process.cpuUsage(before);
    const cpuMs = (user + system) / 1000;
    const memory = Math.round(process.memoryUsage().rss / 2 ** 20);
    console.log(
      `${upstreams} upstreams: ${Math.round(tookMs)} ms, ` +
        `${mostLoading} at once, ${Math.round(cpuMs)} ms of a core, ` +
        `${memory} MB resident`,
    );
    await sleep(6000);
  }
  child.kill();
  process.exit(0);
}

if (process.env.ROLE === "engines") void serve();
else void measureSwaps();
