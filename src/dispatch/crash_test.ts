import { expect } from "earl";
import { test } from "node:test";
import { Reason } from "../kernel/mod.ts";
import type { Dispatcher } from "./dispatcher.ts";
import { demand, DispatchCluster, vm } from "./fixtures_test.ts";
import { type Demand, NO_CRASH_LIMIT, Outcome, type Permit } from "./mod.ts";

const idle = new AbortController().signal;

/** Runs with upstreams in several shards and zones, and three entries. */
async function cluster(
  run: (
    cluster: DispatchCluster,
    entries: readonly Dispatcher[],
  ) => Promise<void>,
  options: { directoryMs?: number } = {},
): Promise<void> {
  const vms = Array.from(
    { length: 40 },
    (_, index) =>
      vm({ id: `up-${index}`, availabilityZone: `zone-${index % 4}` }),
  );
  const sim = new DispatchCluster({ vms, ...options });
  const entries = ["e1", "e2", "e3"].map((id) => sim.add(id));
  await sim.start();
  try {
    await run(sim, entries);
  } finally {
    await sim.stop();
  }
}

async function granted(
  entry: Dispatcher,
  part: Partial<Demand>,
): Promise<Permit> {
  return (await entry.acquire(demand(part), idle)).unwrap();
}

/**
 * Removes an upstream, and breaks every request that runs on it. None runs on
 * one that is gone, which a leader may grant until it reads the list again.
 */
function crash(
  sim: DispatchCluster,
  upstream: string,
  permits: readonly Permit[],
) {
  const gone = sim.vms.every(({ id }) => id !== upstream);
  const outcome = gone ? Outcome.Unreachable : Outcome.Broken;
  sim.vms = sim.vms.filter(({ id }) => id !== upstream);
  for (const permit of permits) {
    if (permit.target.id === upstream) permit.release(outcome, 0);
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Resends one request through all entries until it is refused. */
async function resend(
  sim: DispatchCluster,
  options: { entries: readonly Dispatcher[]; pauseMs: number },
): Promise<void> {
  const { entries, pauseMs } = options;
  const beside = await Promise.all(
    Array.from(
      { length: 20 },
      (_, index) =>
        granted(entries[index % 3], { fingerprint: `innocent-${index}` }),
    ),
  );
  const crashed = new Set<string>();
  let reason: Reason | undefined;
  for (let resend = 0; resend < 10 && reason === undefined; resend++) {
    const part = { fingerprint: "bad", remainingMs: 3000 };
    const entry = entries[resend % 3];
    const given = await entry.acquire(demand(part), idle);
    if (given.err) reason = given.val.reason;
    else {
      crashed.add(given.val.target.id);
      crash(sim, given.val.target.id, [given.val, ...beside]);
    }
    await pause(pauseMs);
  }
  expect(reason).toEqual(Reason.Quarantined);
  expect(crashed.size).toEqual(2);
}

for (const pauseMs of [0, 20, 700]) {
  test(`a request resent after ${pauseMs} ms crashes two upstreams at most`, () =>
    cluster((sim, entries) => resend(sim, { entries, pauseMs })));
}

test("a request resent before the list changes crashes two upstreams at most", () =>
  cluster((sim, entries) => resend(sim, { entries, pauseMs: 0 }), {
    directoryMs: 60_000,
  }));

test("equal requests sent at once crash one upstream, then one more", () =>
  cluster(async (sim, entries) => {
    const part = { fingerprint: "bad", remainingMs: 3000 };
    const permits = await Promise.all(
      entries.slice(1).map((entry) => granted(entry, part)),
    );
    const crashed = new Set(permits.map(({ target }) => target.id));
    for (const { target } of permits) crash(sim, target.id, permits);
    await pause(0);
    const second = await granted(entries[0], part);
    crashed.add(second.target.id);
    crash(sim, second.target.id, [second]);
    await pause(0);
    const third = await entries[1].acquire(demand(part), idle);
    expect(third.err && third.val.reason).toEqual(Reason.Quarantined);
    expect(crashed.size).toEqual(2);
  }));

test("equal suspects of several entries run one at a time over all shards", () =>
  cluster(async (sim, entries) => {
    const part = { fingerprint: "bad", remainingMs: 3000 };
    const first = await granted(entries[0], part);
    crash(sim, first.target.id, [first]);
    await pause(20);
    const running: Permit[] = [];
    const waits = [...entries, ...entries, ...entries].map(async (entry) => {
      const given = await entry.acquire(demand(part), idle);
      if (given.ok) running.push(given.val);
      return given;
    });
    await pause(100);
    expect(running.length).toEqual(1);
    crash(sim, running[0].target.id, running);
    const ends = await Promise.all(waits);
    expect(ends.filter(({ err }) => err).length).toEqual(8);
  }));

test("a retry that overtakes the report of a crash is refused", () =>
  cluster(async (sim, [one]) => {
    const first = await granted(one, { fingerprint: "bad" });
    crash(sim, first.target.id, [first]);
    const second = await granted(one, { fingerprint: "bad", attempt: 1 });
    sim.vms = sim.vms.filter(({ id }) => id !== second.target.id);
    second.release(Outcome.Broken, 0);
    const third = await one.acquire(demand({ fingerprint: "bad" }), idle);
    expect(third.err && third.val.reason).toEqual(Reason.Quarantined);
  }));

test("a newly started daemon knows which requests are quarantined", () =>
  cluster(async (sim, [one]) => {
    for (let resend = 0; resend < 2; resend++) {
      const permit = await granted(one, { fingerprint: "bad" });
      crash(sim, permit.target.id, [permit]);
      await pause(0);
    }
    const fresh = sim.add("e4");
    await sim.nodes.get("e4")?.start();
    for (const index of [0, 1, 2, 3]) {
      const leader = sim.leaderOf(`shard/lm/${index}`);
      for (const id of ["e2", "e3"]) if (leader === id) sim.failDaemon(id);
    }
    await pause(50);
    const given = await fresh.acquire(demand({ fingerprint: "bad" }), idle);
    expect(given.err && given.val.reason).toEqual(Reason.Quarantined);
  }));

test("owed work runs again after two crashes, isolated, and equal requests don't", () =>
  cluster(async (sim, entries) => {
    const owed = { fingerprint: "owed", crashLimit: NO_CRASH_LIMIT };
    let crashedAt = 0;
    for (const entry of entries.slice(0, 2)) {
      const permit = await granted(entry, owed);
      crashedAt = Date.now();
      crash(sim, permit.target.id, [permit]);
      await pause(20);
    }
    const again = granted(entries[2], owed);
    const equal = await entries[0].acquire(
      demand({ fingerprint: "owed" }),
      idle,
    );
    expect(equal.err && equal.val.reason).toEqual(Reason.Quarantined);
    (await again).release(Outcome.Served, 1);
    const waitedMs = Date.now() - crashedAt;
    expect(waitedMs).toBeGreaterThanOrEqual(450);
    expect(waitedMs).toBeLessThan(3000);
  }));
