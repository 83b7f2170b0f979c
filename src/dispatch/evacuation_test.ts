import { expect } from "earl";
import { test } from "node:test";
import { ManualClock, Reason } from "../kernel/mod.ts";
import {
  demand,
  DispatchCluster,
  load,
  ticket,
  upstream,
  vm,
} from "./fixtures_test.ts";
import { ProbeResult } from "./crash_detector.ts";
import { Fleet } from "./fleet.ts";
import { type Demand, dispatchKey, Outcome } from "./mod.ts";
import { Quarantine, RunEnd } from "./quarantine.ts";
import { ShardLeader, type WaitResult } from "./shard_leader.ts";
import { partitionIntoShards, type Upstream } from "./shards.ts";

const idle = new AbortController().signal;

const inZone = (id: string, availabilityZone: string, evacuated = false) =>
  upstream({ id, availabilityZone, evacuated });

function shard(upstreams: readonly Upstream[]) {
  const clock = new ManualClock();
  const quarantine = new Quarantine({ clock });
  const leader = new ShardLeader({ clock, quarantine });
  leader.setUpstreams(upstreams);
  const ask = (part: Partial<Demand> = {}) => {
    const wait: { answer?: WaitResult } = {};
    leader.submit(ticket(part), (answer) => wait.answer = answer);
    return wait;
  };
  return { clock, quarantine, leader, ask };
}

function permitOf({ answer }: { answer?: WaitResult }): string {
  return answer !== undefined && "permit" in answer ? answer.permit : "";
}

function outcomeOf({ answer }: { answer?: WaitResult }): string | undefined {
  if (answer === undefined || "moved" in answer) return undefined;
  return "refusal" in answer ? answer.refusal.reason : answer.upstream.id;
}

test("a leader grants nothing on evacuated upstreams and counts no slot of theirs", () => {
  const { leader, ask } = shard([inZone("u", "x"), inZone("v", "y", true)]);
  const waits = Array.from({ length: 4 }, () => ask());
  expect(waits.map(outcomeOf)).toEqual(["u", "u", undefined, undefined]);
  expect(leader.pressure().slots).toEqual(2);
  leader.setUpstreams([inZone("u", "x"), inZone("v", "y")]);
  expect(waits.map(outcomeOf)).toEqual(["u", "u", "v", "v"]);
});

test("waiting and new requests are refused once all upstreams are evacuated, and running ones stay", () => {
  const { clock, leader, ask } = shard([inZone("u", "x")]);
  const [running] = [ask(), ask()];
  const waiting = ask();
  leader.setUpstreams([inZone("u", "x", true)]);
  clock.advance(100);
  leader.tick();
  expect([waiting, ask()].map(outcomeOf))
    .toEqual([Reason.NoUpstream, Reason.NoUpstream]);
  expect(leader.renew([permitOf(running)])).toEqual([]);
  expect(leader.pressure().running).toEqual(2);
});

test("equal requests don't follow their first one to an evacuated upstream", () => {
  const { leader, ask } = shard([inZone("u", "x")]);
  ask({ fingerprint: "f" });
  leader.setUpstreams([inZone("u", "x", true), inZone("v", "y")]);
  expect(outcomeOf(ask({ fingerprint: "f" }))).toEqual("v");
});

test("a suspect does not wait for the evacuated upstream that it had reserved", () => {
  const both = [inZone("u", "x"), inZone("v", "y")];
  const { quarantine, leader, ask } = shard(both);
  const running = [ask(), ask()];
  expect(running.map(outcomeOf)).toEqual(["u", "v"]);
  quarantine.record("f", {
    permit: "p",
    upstream: "w",
    end: RunEnd.Crashed,
    isolated: false,
    ranMs: 10,
  });
  const suspect = ask({ fingerprint: "f" });
  leader.setUpstreams([inZone("u", "x", true), inZone("v", "y")]);
  // The other upstream is reserved now, so that nothing else starts there.
  expect([suspect, ask()].map(outcomeOf)).toEqual([undefined, undefined]);
  leader.release(permitOf(running[1]), Outcome.Served, 1);
  expect(outcomeOf(suspect)).toEqual("v");
});

test("an evacuated upstream gets no health check, and is probed only while it runs requests", () => {
  const { leader, ask } = shard([inZone("u", "x")]);
  ask();
  leader.setUpstreams([inZone("u", "x", true), inZone("v", "y", true)]);
  expect(["u", "v"].map((id) => leader.takeStart(id))).toEqual([false, false]);
  expect(["u", "v"].map((id) => leader.mayProbe(id))).toEqual([true, false]);
});

test("load from before an evacuation does not count after it", () => {
  const { leader, ask } = shard([inZone("u", "x")]);
  const report = load({ running: 9, weightVersion: 7 });
  for (let n = 0; n < 5; n++) leader.probed("u", ProbeResult.Alive, report);
  leader.setUpstreams([inZone("u", "x", true)]);
  leader.setUpstreams([inZone("u", "x")]);
  expect(outcomeOf(ask())).toEqual("u");
  expect(leader.candidates[0].load).toEqual(undefined);
});

test("a fleet tells which zones are no longer evacuated", () => {
  const vms = [vm({ availabilityZone: "x" })];
  const before = new Fleet({ vms, evacuatedZones: new Set(["x", "y"]) });
  const after = new Fleet({ vms, evacuatedZones: new Set(["y", "z"]) });
  expect(before.evacuatedPools()).toEqual(["lm"]);
  expect(after.evacuatedPools()).toEqual([]);
  expect(after.restoredZones(before)).toEqual(["x"]);
});

async function cluster(
  run: (cluster: DispatchCluster) => Promise<void>,
  vms = [
    vm({ id: "u", availabilityZone: "x" }),
    vm({ id: "v", availabilityZone: "y" }),
  ],
): Promise<void> {
  // The list is read once: evacuations take effect without the next read.
  const sim = new DispatchCluster({ vms, directoryMs: 600_000 });
  for (const id of ["e1", "e2", "e3"]) sim.add(id);
  await sim.start();
  try {
    await run(sim);
  } finally {
    await sim.stop();
  }
}

function acquire(sim: DispatchCluster, daemon: string) {
  const dispatch = sim.nodes.get(daemon)?.get(dispatchKey);
  if (dispatch === undefined) throw new Error(`No daemon "${daemon}"`);
  return dispatch.acquire(demand(), idle);
}

test("a request asks an uninformed leader for nothing in an evacuated zone", () =>
  cluster(async (sim) => {
    const leader = sim.leaderOf("shard/lm/0");
    const entries = ["e1", "e2", "e3"].filter((id) => id !== leader);
    sim.evacuate(["y"], entries);
    const permits = await Promise.all(
      [0, 1].map(() => acquire(sim, entries[0])),
    );
    expect(permits.map((permit) => permit.unwrap().target.id))
      .toEqual(["u", "u"]);
  }));

test("a waiting request returns the permit that an uninformed leader grants in an evacuated zone", () =>
  cluster(async (sim) => {
    const leader = sim.leaderOf("shard/lm/0");
    const [entry] = ["e1", "e2", "e3"].filter((id) => id !== leader);
    const held = await Promise.all(
      Array.from({ length: 4 }, () => acquire(sim, entry)),
    );
    const waiting = acquire(sim, entry);
    const heldAt = (id: string) =>
      held.map((one) => one.unwrap()).filter(({ target }) => target.id === id);
    sim.evacuate(["y"], [entry]);
    heldAt("v")[0].release(Outcome.Served, 1);
    await new Promise((resolve) => setTimeout(resolve, 50));
    heldAt("u")[0].release(Outcome.Served, 1);
    expect((await waiting).unwrap().target.id).toEqual("u");
  }));

test("a request that waited during an evacuation uses the upstreams of the zone once it ends", () =>
  cluster(async (sim) => {
    sim.evacuate(["y"]);
    const held = await Promise.all([0, 1].map(() => acquire(sim, "e1")));
    expect(held.map((one) => one.unwrap().target.id)).toEqual(["u", "u"]);
    const waiting = acquire(sim, "e1");
    await new Promise((resolve) => setTimeout(resolve, 50));
    sim.evacuate([]);
    const permit = await Promise.race([
      waiting,
      new Promise<undefined>((resolve) =>
        setTimeout(() => resolve(undefined), 2000)
      ),
    ]);
    expect(permit?.unwrap().target.id).toEqual("v");
  }));

test("a waiting request is not refused when the next zone is evacuated as the first one comes back", () =>
  cluster(async (sim) => {
    sim.evacuate(["y"]);
    const held = await Promise.all([0, 1].map(() => acquire(sim, "e1")));
    expect(held.every(({ ok }) => ok)).toEqual(true);
    const waiting = acquire(sim, "e1");
    await new Promise((resolve) => setTimeout(resolve, 50));
    sim.evacuate(["x"]);
    expect((await waiting).unwrap().target.id).toEqual("v");
  }));

test("a running request is not told to move when its zone is evacuated", () =>
  cluster(async (sim) => {
    const permits = await Promise.all(
      Array.from({ length: 4 }, () => acquire(sim, "e1")),
    );
    sim.evacuate(["x", "y"]);
    expect(permits.some((permit) => permit.unwrap().leaving.aborted))
      .toEqual(false);
  }));

test("with all zones evacuated requests are refused at once, and served when it ends", () =>
  cluster(async (sim) => {
    sim.evacuate(["x", "y"]);
    const startedAt = performance.now();
    const refused = await acquire(sim, "e2");
    expect(performance.now() - startedAt < 200).toEqual(true);
    expect(refused.err && refused.val.reason).toEqual(Reason.NoUpstream);
    expect(refused.err && refused.val.retryAfterMs > 0).toEqual(true);
    sim.evacuate([]);
    expect((await acquire(sim, "e2")).ok).toEqual(true);
  }));

test("a request refused by a wholly evacuated shard goes on at another shard", () => {
  const ids = Array.from({ length: 24 }, (_, n) => `u${n}`);
  const [first] = partitionIntoShards(ids.map((id) => upstream({ id })));
  const evacuated = new Set(first.map(({ id }) => id));
  const vms = ids.map((id) =>
    vm({ id, availabilityZone: evacuated.has(id) ? "x" : "y" })
  );
  return cluster(async (sim) => {
    // Only the leaders know: the entry chooses the evacuated shard too.
    const leaders = new Set(
      ["shard/lm/0", "shard/lm/1"].map((name) => sim.leaderOf(name)),
    );
    const entry = ["e1", "e2", "e3"].find((id) => !leaders.has(id)) ?? "e1";
    sim.evacuate(["x"], [...leaders]);
    for (let n = 0; n < 12; n++) {
      const permit = (await acquire(sim, entry)).unwrap();
      expect(evacuated.has(permit.target.id)).toEqual(false);
      permit.release(Outcome.Served, 1);
    }
  }, vms);
});

test("a request is served by a shard that refused it before its zone came back", () => {
  const ids = Array.from({ length: 24 }, (_, n) => `u${n}`);
  const [first] = partitionIntoShards(ids.map((id) => upstream({ id })));
  const inX = new Set(first.map(({ id }) => id));
  const vms = ids.map((id) =>
    vm({ id, availabilityZone: inX.has(id) ? "x" : "y" })
  );
  return cluster(async (sim) => {
    const leaders = new Set(
      ["shard/lm/0", "shard/lm/1"].map((name) => sim.leaderOf(name)),
    );
    const entry = ["e1", "e2", "e3"].find((id) => !leaders.has(id)) ?? "e1";
    sim.evacuate(["x"], [...leaders]);
    const slots = 2 * (ids.length - inX.size);
    for (let n = 0; n < slots; n++) await acquire(sim, entry);
    const waits = Array.from({ length: 8 }, () => acquire(sim, entry));
    await new Promise((resolve) => setTimeout(resolve, 50));
    sim.evacuate(["x"], [entry]);
    sim.evacuate(["y"]);
    for (const permit of await Promise.all(waits)) {
      expect(inX.has(permit.unwrap().target.id)).toEqual(true);
    }
  }, vms);
});
