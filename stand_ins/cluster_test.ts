import { expect } from "earl";
import { test } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import type { Order } from "../src/platform/mod.ts";
import { pool, tables } from "./builders.ts";
import { type Cluster, type Daemon, startCluster } from "./cluster.ts";

const LEASE_MS = 900;

/** A cluster whose orders start engines in two availability zones. */
function start(): Promise<Cluster> {
  const availabilityZones = ["a", "b"];
  return startCluster({
    availabilityZones,
    timing: { lease_ms: LEASE_MS },
    tables: tables({
      pools: [pool({ availabilityZones, minUpstreams: 3 })],
    }),
    ordered: { tokenMs: 2, loadMs: 30 },
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

async function until(done: () => boolean, timeoutMs = 15_000): Promise<void> {
  const end = performance.now() + timeoutMs;
  while (!done()) {
    if (performance.now() > end) throw new Error("It didn't come about");
    await sleep(20);
  }
}

function orders({ history }: Cluster): readonly Order[] {
  return history.filter(({ kind }) => kind === "ordered")
    .map(({ order }) => order as Order);
}

function holder(cluster: Cluster): Daemon | undefined {
  const last = orders(cluster).at(-1)?.holder;
  return cluster.daemons.find(({ id }) => id === last);
}

test("daemons order upstreams and weights; a frozen holder is succeeded", async () => {
  const cluster = await start();
  try {
    const live = () => cluster.platform.vms().filter(({ pool }) => pool).length;
    const swapped = () =>
      cluster.history.filter(({ kind }) => kind === "swapped").length;
    await until(() => live() === 3);
    cluster.platform.publish("model", 2);
    await until(() => swapped() === 3);
    const frozen = holder(cluster);
    frozen?.pause();
    cluster.platform.publish("model", 3);
    await until(() => swapped() === 6);
    frozen?.resume();
    await sleep(LEASE_MS);
    const terms = cluster.history
      .filter(({ kind }) => kind === "ordered" || kind === "loading")
      .map(({ order, term }) => (order as Order | undefined)?.term ?? term);
    expect(terms).toEqual([...terms].sort());
    expect(new Set(terms).size).toEqual(2);
  } finally {
    await cluster.stop();
  }
});

test("a daemon ends at its signal and hands its charge over", async () => {
  const cluster = await start();
  try {
    await until(() => orders(cluster).length > 0);
    const first = holder(cluster);
    expect(await first?.terminate()).toEqual(0);
    const before = cluster.history.length;
    cluster.platform.publish("model", 2);
    await until(() =>
      cluster.history.slice(before).some(({ kind }) => kind === "loading")
    );
    await Promise.all(cluster.daemons.map((daemon) => daemon.terminate()));
  } finally {
    await cluster.stop();
  }
});
