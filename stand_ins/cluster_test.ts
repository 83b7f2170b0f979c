import { expect } from "earl";
import { once } from "node:events";
import { createServer } from "node:net";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { DUTY_LEASE_PREFIX } from "../src/orders/duty_lease.ts";
import type { Order } from "../src/outside/mod.ts";
import { pool, tables } from "./builders.ts";
import {
  type Cluster,
  type Daemon,
  freePorts,
  startCluster,
} from "./cluster.ts";

const LEASE_MS = 900;

/** A cluster whose orders start engines in two availability zones. */
function startScalingCluster(): Promise<Cluster> {
  const availabilityZones = ["a", "b"];
  return startCluster({
    availabilityZones,
    timing: { lease_ms: LEASE_MS },
    tables: tables({
      pools: [pool({ availabilityZones, minUpstreams: 3 })],
    }),
    orderedEngines: { tokenMs: 2, loadMs: 30 },
    platform: {
      offers: availabilityZones.map((availabilityZone) => ({
        pool: "lm",
        availabilityZone,
        reclaimable: false,
        pricePerHour: 1,
        available: 8,
      })),
    },
  });
}

async function waitUntil(
  done: () => boolean,
  timeoutMs = 15_000,
): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (!done()) {
    if (performance.now() > end) throw new Error("Condition not met in time");
    await sleep(20);
  }
}

function orders({ history }: Cluster): readonly Order[] {
  return history.filter(({ kind }) => kind === "ordered")
    .map(({ order }) => order as Order);
}

/** The terms of all orders, for upstreams and weights, in order of arrival. */
function terms({ history }: Cluster): readonly number[] {
  return history
    .filter(({ kind }) => kind === "ordered" || kind === "loading")
    .map(({ order, term }) => (order as Order | undefined)?.term ?? term)
    .map(Number);
}

/** The daemon that holds the duty lease, as stored by the platform. */
async function holder(cluster: Cluster): Promise<Daemon | undefined> {
  const { url } = cluster.platform;
  const answer = await fetch(`${url}/kv?key=${DUTY_LEASE_PREFIX}orders`);
  const { entry } = await answer.json() as { entry: { value: string } };
  const held = JSON.parse(entry.value) as { holder: string };
  return cluster.daemons.find(({ id }) => held.holder.startsWith(`${id}/`));
}

test("daemons order upstreams and weights; a frozen lease holder is replaced", async () => {
  const cluster = await startScalingCluster();
  try {
    const live = () => cluster.platform.vms().filter(({ pool }) => pool).length;
    const swapped = () =>
      cluster.history.filter(({ kind }) => kind === "swapped").length;
    await waitUntil(() => live() === 3);
    cluster.platform.publish("model", 2);
    await waitUntil(() => swapped() >= 3);
    const frozen = await holder(cluster);
    const before = Math.max(...terms(cluster));
    frozen?.pause();
    cluster.platform.publish("model", 3);
    await waitUntil(() => swapped() >= 6);
    frozen?.resume();
    await sleep(LEASE_MS);
    // On an overloaded machine further leases may expire: more terms than two
    // are correct, but an earlier term must not come back.
    const after = terms(cluster);
    expect(after).toEqual([...after].sort((a, b) => a - b));
    expect(after[after.length - 1] > before).toEqual(true);
  } finally {
    await cluster.stop();
  }
});

test("a daemon exits on SIGTERM and hands its duty lease over", async () => {
  const cluster = await startScalingCluster();
  try {
    await waitUntil(() => orders(cluster).length > 0);
    const first = await holder(cluster);
    expect(await first?.terminate()).toEqual(0);
    const before = cluster.history.length;
    cluster.platform.publish("model", 2);
    await waitUntil(() =>
      cluster.history.slice(before).some(({ kind }) => kind === "loading")
    );
    await Promise.all(cluster.daemons.map((daemon) => daemon.terminate()));
  } finally {
    await cluster.stop();
  }
});

test("ports that are taken are passed over", async (t) => {
  const [port] = await freePorts(1);
  const server = createServer();
  t.after(() => server.close());
  server.listen(port + 1, "127.0.0.1");
  await once(server, "listening");
  expect((await freePorts(2)).includes(port + 1)).toEqual(false);
});
