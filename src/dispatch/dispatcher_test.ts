import { expect } from "earl";
import { test } from "node:test";
import { Reason } from "../kernel/mod.ts";
import { peersKey } from "../peers/mod.ts";
import { VmState } from "../outside/mod.ts";
import { demand, DispatchCluster, vm } from "./fixtures_test.ts";
import { type Demand, Outcome, type Permit } from "./mod.ts";
import type { Dispatcher } from "./dispatcher.ts";
import type { SelectionStatus } from "./selection_status.ts";
import { PaceDifference } from "./upstream_paces.ts";

const idle = new AbortController().signal;

async function granted(
  entry: Dispatcher,
  part: Partial<Demand> = {},
): Promise<Permit> {
  return (await entry.acquire(demand(part), idle)).unwrap();
}

async function cluster(
  run: (
    cluster: DispatchCluster,
    entries: readonly Dispatcher[],
  ) => Promise<void>,
): Promise<void> {
  const sim = new DispatchCluster({ vms: [vm()] });
  const entries = ["e1", "e2", "e3"].map((id) => sim.add(id));
  await sim.start();
  try {
    await run(sim, entries);
  } finally {
    await sim.stop();
  }
}

function pause(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

test("slots are counted across all entries", () =>
  cluster(async (_, [one, two, three]) => {
    const first = await granted(one);
    await granted(two);
    let third: Permit | undefined;
    const waiting = granted(three).then((permit) => third = permit);
    await pause(50);
    expect(third).toEqual(undefined);
    first.release(Outcome.Served, 10);
    await waiting;
    expect(third?.target.id).toEqual("up-1");
  }));

test("a wait survives its leader, and permits in use stay counted", () =>
  cluster(async (sim, entries) => {
    const leader = sim.leaderOf("shard/lm/0");
    const others = entries.filter((_, index) => `e${index + 1}` !== leader);
    const first = await granted(others[0]);
    await granted(others[1]);
    let third: Permit | undefined;
    const waiting = granted(others[1]).then((permit) => third = permit);
    await pause(20);
    sim.failDaemon(leader);
    await pause(300);
    expect(third).toEqual(undefined);
    first.release(Outcome.Served, 10);
    await waiting;
    expect(third?.target.id).toEqual("up-1");
  }));

test("a wait that its caller cancelled holds no slot", () =>
  cluster(async (_, [one, two]) => {
    const first = await granted(one);
    await granted(one);
    const abort = new AbortController();
    const given = two.acquire(demand(), abort.signal);
    await pause(20);
    abort.abort();
    expect((await given).err).toEqual(true);
    first.release(Outcome.Served, 10);
    await granted(one);
  }));

test("a wait ends with its link, so that no slot is granted to an entry cut off", () =>
  cluster(async (sim, entries) => {
    const leader = sim.leaderOf("shard/lm/0");
    const [cut, other] = entries.filter((_, n) => `e${n + 1}` !== leader);
    const held = [await granted(other), await granted(other)];
    for (let n = 0; n < 6; n++) void cut.acquire(demand(), idle);
    await pause(50);
    sim.cutOff(`e${entries.indexOf(cut) + 1}`);
    for (const permit of held) permit.release(Outcome.Served, 10);
    const startedAt = performance.now();
    await granted(other);
    await granted(other);
    expect(performance.now() - startedAt < 1000).toEqual(true);
  }));

test("a permit is released if the answer that grants it is lost", () =>
  cluster(async (sim, [one]) => {
    sim.droppedAnswers.add("dispatch.acquire");
    await granted(one);
    await granted(one);
  }));

test("a draining leader hands over its waits", () =>
  cluster(async (sim, entries) => {
    const leader = sim.leaderOf("shard/lm/0");
    const others = entries.filter((_, index) => `e${index + 1}` !== leader);
    const first = await granted(others[0]);
    await granted(others[0]);
    const waiting = granted(others[1]);
    await pause(20);
    await entries[Number(leader.slice(1)) - 1].drain();
    first.release(Outcome.Served, 10);
    expect((await waiting).target.id).toEqual("up-1");
  }));

test("a leaving upstream signals its users and gets no more requests", () =>
  cluster(async (sim, [one]) => {
    const permit = await granted(one);
    sim.vms = [vm({ standing: VmState.Leaving }), vm({ id: "up-2" })];
    await pause(60);
    expect(permit.leaving.aborted).toEqual(true);
    expect((await granted(one)).target.id).toEqual("up-2");
  }));

test("what an upstream says of leaving reaches the leader that grants", () =>
  cluster(async (sim, entries) => {
    sim.vms = [vm(), vm({ id: "up-2" })];
    await pause(60);
    const leader = sim.leaderOf("shard/lm/0");
    const [one, other] = entries.filter((_, n) => `e${n + 1}` !== leader);
    sim.announceLeaving(`e${entries.indexOf(one) + 1}`, "up-1");
    await pause(20);
    for (let n = 0; n < 2; n++) {
      expect((await granted(other)).target.id).toEqual("up-2");
    }
    const third = await other.acquire(demand({ remainingMs: 200 }), idle);
    expect(third.err).toEqual(true);
  }));

/** The limit of an upstream as a daemon knows it. */
function limitOf(daemon: Dispatcher, id: string): number | undefined {
  return daemon.upstreams("lm").find((one) => one.id === id)?.limitPerS;
}

test("gossip carries limits and their end to all daemons", () =>
  cluster(async (sim, [one, two, three]) => {
    const pass = (from: Dispatcher, to: Dispatcher) => {
      const section = (daemon: Dispatcher) =>
        daemon.props.gossip?.["dispatch.notices"];
      const offered = section(from)?.offer("peer");
      if (offered !== undefined) section(to)?.accept(offered, "peer");
    };
    sim.droppedMessages.add("dispatch.notices");
    sim.announceLimit("e1", "up-1", "2");
    pass(one, two);
    pass(two, three);
    expect([limitOf(two, "up-1"), limitOf(three, "up-1")]).toEqual([2, 2]);
    await pause(5);
    sim.announceLimit("e3", "up-1");
    pass(three, two);
    pass(two, one);
    expect([limitOf(two, "up-1"), limitOf(one, "up-1")])
      .toEqual([undefined, undefined]);
  }));

test("a new leader learns limits from the daemons that know of them", () =>
  cluster(async (sim, entries) => {
    const daemonOf = (id: string) => entries[Number(id.slice(1)) - 1];
    const leader = sim.leaderOf("shard/lm/0");
    const ids = ["e1", "e2", "e3"].filter((id) => id !== leader);
    sim.droppedMessages.add("dispatch.notices");
    for (const id of ids) sim.announceLimit(id, "up-1");
    const [successor] = [...sim.nodes.values()]
      .map((kernel) => kernel.get(peersKey).ranked("shard/lm/0")[1].vm);
    const other = ids.find((id) => id !== successor) ?? "";
    sim.announceLimit(other, "up-1", "2");
    expect(limitOf(daemonOf(successor), "up-1")).toEqual(undefined);
    sim.failDaemon(leader);
    await pause(100);
    expect(limitOf(daemonOf(successor), "up-1")).toEqual(2);
  }));

test("a daemon sends nothing to an upstream that told it of leaving, whatever its leader knows", () =>
  cluster(async (sim, entries) => {
    const leader = sim.leaderOf("shard/lm/0");
    const [one] = entries.filter((_, n) => `e${n + 1}` !== leader);
    const held = [await granted(one), await granted(one)];
    const waiting = one.acquire(demand({ remainingMs: 1000 }), idle);
    await pause(20);
    sim.droppedMessages.add("dispatch.notices");
    sim.announceLeaving(`e${entries.indexOf(one) + 1}`, "up-1");
    expect(held.every(({ leaving }) => leaving.aborted)).toEqual(true);
    for (const permit of held) permit.release(Outcome.Served, 10);
    const refused = await waiting;
    expect(refused.err && refused.val.reason).toEqual(Reason.NoUpstream);
    const startedAt = performance.now();
    const next = await one.acquire(demand(), idle);
    expect(next.err && next.val.retryAfterMs > 0).toEqual(true);
    expect(performance.now() - startedAt < 500).toEqual(true);
  }));

test("an upstream that said that it leaves stays out of use while it is listed", () =>
  cluster(async (sim, [one]) => {
    sim.announceLeaving("e1", "up-1");
    await pause(100);
    expect((await one.acquire(demand(), idle)).err).toEqual(true);
    sim.vms = [];
    await pause(60);
    sim.vms = [vm()];
    await pause(60);
    expect((await one.acquire(demand(), idle)).err).toEqual(true);
    sim.vms = [vm({ id: "up-2", address: "up-1:80" })];
    await pause(60);
    expect((await granted(one)).target.id).toEqual("up-2");
  }));

test("requests that wait are refused at once when all upstreams leave", () =>
  cluster(async (sim, [one, two]) => {
    await granted(one);
    await granted(one);
    const waiting = two.acquire(demand(), idle);
    await pause(20);
    const startedAt = performance.now();
    sim.announceLeaving("e1", "up-1");
    const refused = await waiting;
    expect(refused.err && refused.val.reason).toEqual(Reason.NoUpstream);
    expect(refused.err && refused.val.retryAfterMs > 0).toEqual(true);
    expect(performance.now() - startedAt < 500).toEqual(true);
  }));

test("a request to a pool without upstreams is refused at once", () =>
  cluster(async (_, [one]) => {
    const refused = await one.acquire(demand({ pool: "none" }), idle);
    expect(refused.err && refused.val.reason).toEqual(Reason.NoUpstream);
  }));

test("pressure covers a pool across all daemons", () =>
  cluster(async (_, [one, two]) => {
    await granted(one);
    await granted(two);
    void two.acquire(demand({ remainingMs: 200 }), idle);
    await pause(20);
    const pressure = await one.pressure("lm");
    expect(pressure).toEqual({
      running: 2,
      queued: 1,
      urgent: 1,
      slots: 2,
      models: {},
    });
  }));

test("a leader learns with a release what the entry heard, and shows it", () =>
  cluster(async (sim, entries) => {
    const leader = sim.leaderOf("shard/lm/0");
    const entry = leader === "e1" ? "e2" : "e1";
    const permit = await granted(entries[Number(entry.slice(1)) - 1]);
    sim.announceLoad(entry, "up-1", "1,0,2,250");
    const kernel = sim.nodes.get(leader);
    const selection = () => {
      const { kept } = entries[Number(leader.slice(1)) - 1].props
        .status?.() as { kept: readonly { selection: SelectionStatus }[] };
      return kept[0].selection;
    };
    // No message of its own for each answer.
    await pause(20);
    expect(selection().upstreams[0].statedPace).toEqual(undefined);
    permit.release(Outcome.Served, 1);
    // The selection is reviewed every 250 ms.
    await pause(300);
    expect(selection().upstreams[0].statedPace).toEqual(2.5);
    expect(selection().reason).toEqual(PaceDifference.Stated);
    // Metrics are published at least every 600 ms with one shard.
    await pause(800);
    const metrics = await kernel?.metrics.metrics() ?? "";
    expect(metrics.includes(
      'expected_finish_shards{pool="lm",reason="stated"} 1',
    )).toEqual(true);
    expect(/upstream_pace\{pool="lm",upstream="up-1"\} [1-2]/.test(metrics))
      .toEqual(true);
  }));

test("what the leader's own daemon hears counts without a release", () =>
  cluster(async (sim, entries) => {
    const leader = sim.leaderOf("shard/lm/0");
    sim.announceLoad(leader, "up-1", "0,0,2,300");
    await pause(0);
    const { kept } = entries[Number(leader.slice(1)) - 1].props
      .status?.() as { kept: readonly { selection: SelectionStatus }[] };
    expect(kept[0].selection.upstreams[0].statedPace).toEqual(3);
  }));
