import { expect } from "earl";
import { test } from "node:test";
import { Reason } from "../kernel/mod.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { Cluster, demand, vm } from "./fixtures_test.ts";
import { type Demand, Outcome, type Permit } from "./mod.ts";

const idle = new AbortController().signal;

/** Upstreams over several shards and availability zones, and three entries. */
async function cluster(
  run: (cluster: Cluster, entries: readonly Dispatcher[]) => Promise<void>,
): Promise<void> {
  const vms = Array.from(
    { length: 40 },
    (_, index) =>
      vm({ id: `up-${index}`, availabilityZone: `zone-${index % 4}` }),
  );
  const made = new Cluster({ vms });
  const entries = ["e1", "e2", "e3"].map((id) => made.add(id));
  await made.start();
  try {
    await run(made, entries);
  } finally {
    await made.stop();
  }
}

async function granted(
  entry: Dispatcher,
  part: Partial<Demand>,
): Promise<Permit> {
  return (await entry.acquire(demand(part), idle)).unwrap();
}

/** The upstream dies, and every request that ran there breaks. */
function crash(made: Cluster, upstream: string, permits: readonly Permit[]) {
  made.vms = made.vms.filter(({ id }) => id !== upstream);
  for (const permit of permits) {
    if (permit.target.id === upstream) permit.release(Outcome.Broken, 0);
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

for (const pauseMs of [0, 20, 700]) {
  test(`a request that crashes what runs it, sent again after ${pauseMs} ms`, () =>
    cluster(async (made, entries) => {
      const beside = await Promise.all(
        Array.from(
          { length: 20 },
          (_, index) =>
            granted(entries[index % 3], { fingerprint: `innocent-${index}` }),
        ),
      );
      const fallen = new Set<string>();
      let reason: Reason | undefined;
      for (let resend = 0; resend < 10 && reason === undefined; resend++) {
        const part = { fingerprint: "bad", remainingMs: 3000 };
        const entry = entries[resend % 3];
        const given = await entry.acquire(demand(part), idle);
        if (given.err) reason = given.val.reason;
        else {
          fallen.add(given.val.target.id);
          crash(made, given.val.target.id, [given.val, ...beside]);
        }
        await pause(pauseMs);
      }
      expect(reason).toEqual(Reason.Quarantined);
      expect(fallen.size).toEqual(2);
    }));
}

test("equal requests sent at once fell one upstream, then one more", () =>
  cluster(async (made, entries) => {
    const part = { fingerprint: "bad", remainingMs: 3000 };
    const permits = await Promise.all(
      entries.slice(1).map((entry) => granted(entry, part)),
    );
    const fallen = new Set(permits.map(({ target }) => target.id));
    for (const { target } of permits) crash(made, target.id, permits);
    await pause(0);
    const second = await granted(entries[0], part);
    fallen.add(second.target.id);
    crash(made, second.target.id, [second]);
    await pause(0);
    const third = await entries[1].acquire(demand(part), idle);
    expect(third.err && third.val.reason).toEqual(Reason.Quarantined);
    expect(fallen.size).toEqual(2);
  }));

test("a retry that overtakes the report of a crash is refused", () =>
  cluster(async (made, [one]) => {
    const first = await granted(one, { fingerprint: "bad" });
    crash(made, first.target.id, [first]);
    const second = await granted(one, { fingerprint: "bad", attempt: 1 });
    made.vms = made.vms.filter(({ id }) => id !== second.target.id);
    second.release(Outcome.Broken, 0);
    const third = await one.acquire(demand({ fingerprint: "bad" }), idle);
    expect(third.err && third.val.reason).toEqual(Reason.Quarantined);
  }));

test("a daemon that starts anew knows what is quarantined", () =>
  cluster(async (made, [one]) => {
    for (let resend = 0; resend < 2; resend++) {
      const permit = await granted(one, { fingerprint: "bad" });
      crash(made, permit.target.id, [permit]);
      await pause(0);
    }
    const fresh = made.add("e4");
    await made.nodes.get("e4")?.start();
    for (const index of [0, 1, 2, 3]) {
      const leader = made.leaderOf(`shard/lm/${index}`);
      for (const id of ["e2", "e3"]) if (leader === id) made.failDaemon(id);
    }
    await pause(50);
    const given = await fresh.acquire(demand({ fingerprint: "bad" }), idle);
    expect(given.err && given.val.reason).toEqual(Reason.Quarantined);
  }));
