import { expect } from "earl";
import { getEventListeners } from "node:events";
import { test } from "node:test";
import { Err, Ok, type Result } from "ts-results";
import {
  type Kernel,
  ManualClock,
  Reason,
  type Refusal,
} from "../kernel/mod.ts";
import type { Member, Peers } from "../peers/mod.ts";
import { EntryClient } from "./entry.ts";
import { demand, upstream, vm } from "./fixtures_test.ts";
import { Fleet } from "./fleet.ts";
import { HeldPermits } from "./held_permits.ts";
import {
  type AcquireAnswer,
  AcquireEnding,
  Message,
  notRun,
} from "./messages.ts";
import { type Demand, Outcome } from "./mod.ts";
import { Quarantine } from "./quarantine.ts";
import { ShardLeader } from "./shard_leader.ts";
import { MoveReason } from "./shard_selector.ts";
import { ShardSummaries } from "./summaries.ts";

const MODEL = "m";
const SELF = { vm: "self", availabilityZone: "zone-1" } as Member;

/** What an entry asked a leader to do. */
interface Asked {
  readonly kind: string;
  readonly shard: string;
  readonly ticket: string;
  readonly demand?: Demand;
  readonly waitedMs?: number;
}

/**
 * An entry with the leaders of two shards, each with one upstream of one slot
 * for the requests. The shards' names are those of the first two of a fleet.
 */
function world() {
  const clock = new ManualClock();
  const ids = Array.from({ length: 30 }, (_, n) => `up-${n}`);
  const fleet = new Fleet({ vms: ids.map((id) => vm({ id })) });
  const [from, to] = fleet.shards;
  const quarantine = new Quarantine({ clock });
  const asked: Asked[] = [];
  const leaders = new Map([from, to].map(({ name, upstreams }) => {
    const leader = new ShardLeader({ clock, prefix: `${name}.` });
    leader.setUpstreams([upstream({ id: upstreams[0].id, slots: 1 })]);
    return [name, leader];
  }));
  const leaderOf = (name: string) => leaders.get(name) as ShardLeader;
  const state = {
    /** Time that a granted permit takes to arrive. */
    answerMs: 0,
    /** Shards that refuse requests at once. */
    refusing: new Set<string>(),
    draws: 0,
  };
  const acquire = (
    { shard, ticket, demand }: Asked & { demand: Demand },
    answer: (answer: AcquireAnswer) => void,
  ): void => {
    if (state.refusing.has(shard)) {
      answer({
        ending: AcquireEnding.Refused,
        reason: Reason.TenantOverShare,
        message: "The tenant's share is in use",
        retryAfterMs: 100,
      });
      return;
    }
    const waits = {
      id: ticket,
      entry: SELF.vm,
      availabilityZone: "zone-1",
      demand,
      queuedAt: clock.now(),
    };
    leaderOf(shard).submit(waits, (result) => {
      if (!("permit" in result)) return;
      const { permit, upstream: { id, address }, isolated } = result;
      const grant = () =>
        answer({
          ending: AcquireEnding.Granted,
          permit,
          ticket,
          upstream: id,
          address,
          isolated,
        });
      if (state.answerMs === 0) grant();
      else clock.after(state.answerMs, grant);
    });
  };
  const peers = {
    self: SELF,
    members: () => [SELF],
    rankedForDuty: () => [SELF],
    ask: (
      _vm: string,
      kind: string,
      body: Asked,
      { signal }: { signal?: AbortSignal },
    ): Promise<Result<unknown, Refusal>> => {
      asked.push({ ...body, kind });
      if (kind === Message.Cancel) {
        return Promise.resolve(Ok(leaderOf(body.shard).cancel(body.ticket)));
      }
      const cancelled = Err(notRun(Reason.Cancelled, "Aborted"));
      return new Promise((resolve) => {
        signal?.addEventListener("abort", () => resolve(cancelled));
        acquire(
          body as Asked & { demand: Demand },
          (answer) => resolve(Ok(answer)),
        );
      });
    },
  } as unknown as Peers;
  const summaries = new ShardSummaries({ clock, peers });
  let seq = 0;
  const publish = (shard: string, slots: number, queued = 0) =>
    summaries.publish({
      shard,
      pool: "lm",
      keeper: shard,
      seq: ++seq,
      running: 0,
      queued,
      slots: 10,
      tenants: {},
      upstreams: [],
      models: { [MODEL]: { versions: [[1, slots, 0]], queued } },
    });
  const moves: MoveReason[] = [];
  const entry = new EntryClient({
    kernel: { clock, incarnation: "self-1" } as unknown as Kernel,
    peers,
    quarantine,
    summaries,
    heldPermits: new HeldPermits({ clock, peers, quarantine, fleet }),
    fleet,
    random: () => {
      state.draws += 1;
      return 0;
    },
    onMove: (reason) => moves.push(reason),
  });
  /** Occupies the slot of a shard. */
  const occupy = (shard: string) => {
    let permit = "";
    const holder = {
      id: `holder-${shard}`,
      entry: "other",
      availabilityZone: "zone-1",
      demand: demand(),
      queuedAt: clock.now(),
    };
    leaderOf(shard).submit(holder, (answer) => {
      if ("permit" in answer) permit = answer.permit;
    });
    return permit;
  };
  const pass = async (ms: number) => {
    clock.advance(ms);
    for (let turn = 0; turn < 20; turn++) await Promise.resolve();
  };
  const names = { from: from.name, to: to.name };
  return {
    ...names,
    clock,
    entry,
    state,
    asked,
    moves,
    leaderOf,
    publish,
    occupy,
    pass,
  };
}

function running(leader: ShardLeader): number {
  return leader.pressure().running;
}

test("a moved wait keeps its deadline and the time by which it must start", async () => {
  const { entry, asked, moves, pass, publish, occupy, from, to } = world();
  publish(from, 4);
  publish(to, 0);
  occupy(from);
  occupy(to);
  const wanted = demand({ model: MODEL, remainingMs: 9000, startInMs: 700 });
  void entry.acquire(wanted, new AbortController().signal);
  await pass(400);
  publish(from, 0);
  publish(to, 4);
  await pass(100);
  expect(moves).toEqual([MoveReason.NoSlots]);
  expect(asked.map(({ kind, shard }) => [kind, shard])).toEqual([
    [Message.Acquire, from],
    [Message.Cancel, from],
    [Message.Acquire, to],
  ]);
  expect(asked[1].ticket).toEqual(asked[0].ticket);
  expect(asked[2].ticket === asked[0].ticket).toEqual(false);
  expect(asked[2].demand?.remainingMs).toEqual(8500);
  expect(asked[2].demand?.startInMs).toEqual(200);
  expect(asked.map(({ waitedMs }) => waitedMs))
    .toEqual([undefined, undefined, 500]);
});

test("a permit granted while its wait is moved comes back at once", async () => {
  const { entry, leaderOf, state, pass, publish, occupy, from, to } = world();
  publish(from, 4);
  publish(to, 0);
  const holder = occupy(from);
  state.answerMs = 300;
  const given = entry
    .acquire(demand({ model: MODEL }), new AbortController().signal);
  await pass(400);
  leaderOf(from).release(holder, Outcome.Served, 1);
  expect(running(leaderOf(from))).toEqual(1);
  publish(from, 0);
  publish(to, 4);
  await pass(100);
  expect(running(leaderOf(from))).toEqual(0);
  expect(running(leaderOf(to))).toEqual(1);
  await pass(1000);
  expect((await given).ok).toEqual(true);
  expect(running(leaderOf(from)) + running(leaderOf(to))).toEqual(1);
});

test("a permit that arrives before the wait is to be moved is used", async () => {
  const { entry, leaderOf, moves, pass, publish, from, to } = world();
  publish(from, 4);
  publish(to, 0);
  const given = entry
    .acquire(demand({ model: MODEL }), new AbortController().signal);
  publish(from, 0);
  publish(to, 4);
  await pass(500);
  expect((await given).ok).toEqual(true);
  expect([running(leaderOf(from)), running(leaderOf(to))]).toEqual([1, 0]);
  expect(moves).toEqual([]);
});

test("a wait leaves no listener and no timer behind", async () => {
  const { entry, state, pass, publish, occupy, from, to } = world();
  publish(from, 4);
  publish(to, 0);
  occupy(to);
  const granted = new AbortController();
  await entry.acquire(demand({ model: MODEL }), granted.signal);
  const given = new AbortController();
  const waits = entry.acquire(demand({ model: MODEL }), given.signal);
  await pass(0);
  publish(from, 0);
  publish(to, 4);
  await pass(600);
  given.abort();
  expect((await waits).err).toEqual(true);
  for (const { signal } of [granted, given]) {
    expect(getEventListeners(signal, "abort").length).toEqual(0);
  }
  publish(from, 4, 0);
  const before = state.draws;
  await pass(5000);
  expect(state.draws).toEqual(before);
});

test("a wait that the next shard refuses goes on where it was", async () => {
  const { entry, state, asked, pass, publish, occupy, from, to } = world();
  publish(from, 4, 40);
  publish(to, 0);
  occupy(from);
  state.refusing.add(to);
  void entry.acquire(demand({ model: MODEL }), new AbortController().signal);
  await pass(100);
  publish(to, 4);
  await pass(400);
  await pass(2000);
  const acquires = asked.filter(({ kind }) => kind === Message.Acquire);
  expect(acquires.map(({ shard }) => shard)).toEqual([from, to, from]);
});
