import { expect } from "earl";
import { test } from "node:test";
import { Err, Ok } from "ts-results";
import { CallOutcome } from "../../stand_ins/memory_transactional_key_value.ts";
import {
  type Demand,
  type Dispatch,
  dispatchKey,
  Outcome,
} from "../dispatch/mod.ts";
import {
  Kernel,
  ManualClock,
  type PluginKey,
  Reason,
  Refusal,
  Verdict,
} from "../kernel/mod.ts";
import { Loss, type Platform, type UpstreamTransport } from "../outside/mod.ts";
import { type ExchangeRoute, relayKey } from "../relay/mod.ts";
import { DEFAULT_TIMING } from "../settings/load.ts";
import type { Settings } from "../settings/mod.ts";
import { BatchRun } from "./batch_run.ts";
import type { GroupOutcome } from "./group_outcomes.ts";
import { ItemOutcome } from "./mod.ts";
import { createBatch, createStore, submission } from "./fixture_test.ts";
import { PartialOutputs } from "./partial_outputs.ts";
import { PoolHistories } from "./pool_history.ts";

const GRACE_MS = 3000;

/** Two thirds of the grace. */
const TTL_MS = 2000;

/** Time that the key-value service takes for a read. */
const READ_MS = 100;

const ROUTE = {
  name: "rollouts",
  deadlineMs: 12_000,
  exchange: { pools: [{ pool: "p", weight: 1 }], rank: 0, maxAttempts: 2 },
} as unknown as ExchangeRoute;

const { signal: never } = new AbortController();

/** Grants a permit to every demand; records how permits are returned. */
function dispatchAll() {
  const outcomes: Outcome[] = [];
  const dispatch = {
    acquire: () =>
      Promise.resolve(Ok({
        target: { id: "up", address: "" },
        leaving: never,
        release: (outcome: Outcome) => outcomes.push(outcome),
      })),
  } as unknown as Dispatch;
  return { dispatch, outcomes };
}

/** A transport on which each request is lost like this. */
function losingTransport(loss: Loss) {
  const sent: string[] = [];
  const transport = {
    stream: (_target: unknown, { id }: { id: string }) => {
      sent.push(id);
      return Promise.resolve(Err({ loss, message: "Lost" }));
    },
  } as unknown as UpstreamTransport;
  return { transport, sent };
}

/** An upstream at which item "one" ends when asked to and others never do. */
function upstream() {
  let finish = () => {};
  const finished = new Promise<void>((resolve) => finish = resolve);
  const aborted = { count: 0 };
  const transport = {
    stream: async (
      _target: unknown,
      { id }: { id: string },
      signal: AbortSignal,
    ) => {
      if (id === "one") {
        await finished;
        return Ok({ events: (async function* () {})() });
      }
      await new Promise((resolve) =>
        signal.addEventListener("abort", resolve, { once: true })
      );
      aborted.count += 1;
      return Err({ loss: Loss.Cancelled, message: "Aborted" });
    },
  } as unknown as UpstreamTransport;
  return { transport, aborted, finish };
}

/** A batch of two groups that runs since now. */
async function startRun(options: {
  transport?: UpstreamTransport;
  dispatch?: Dispatch;
  routeInForce?: () => ExchangeRoute;
  countGroups?: (outcome: GroupOutcome, count: number) => void;
} = {}) {
  const clock = new ManualClock();
  const { records, store } = createStore({ clock });
  const state = await createBatch(store);
  const { transport, aborted, finish } = upstream();
  const { dispatch: all, outcomes } = dispatchAll();
  const dispatch = options.dispatch ?? all;
  const relay = { routes: () => [options.routeInForce?.() ?? ROUTE] };
  const plugin = <T>(key: PluginKey, value: T) => ({
    key,
    requires: [],
    create: () => value as never,
  });
  const kernel = new Kernel({
    settings: {
      vm: "a",
      timing: { ...DEFAULT_TIMING, batchEndGraceMs: GRACE_MS },
    } as Settings,
    platform: {
      upstreamTransport: options.transport ?? transport,
    } as Platform,
    incarnation: "a1",
    clock,
    registrations: [plugin(dispatchKey, dispatch), plugin(relayKey, relay)],
  });
  const { items } = submission();
  const histories = new PoolHistories({ clock });
  const run = new BatchRun({
    kernel,
    store,
    state,
    confirmedAt: clock.moment(),
    submission: submission({
      items: items.map((item) => ({ ...item, group: item.id })),
    }),
    route: options.routeInForce?.() ?? ROUTE,
    repeatedGroups: 0,
    countGroups: options.countGroups,
    results: [],
    histories,
    partialOutputs: new PartialOutputs(),
  });
  run.start();
  return { run, records, clock, aborted, finish, outcomes, histories };
}

/** Advances the time in steps in which calls are answered. */
async function pass(clock: ManualClock, ms: number): Promise<void> {
  for (let passed = 0; passed < ms; passed += 10) {
    clock.advance(10);
    for (let turn = 0; turn < 5; turn++) {
      await new Promise((resolve) => setImmediate(resolve));
    }
  }
}

test("one lost read after a listing doesn't let ownership lapse", async () => {
  const { run, records, clock, aborted, finish } = await startRun();
  const get = records.get.bind(records);
  records.get = async (key) => {
    await clock.sleep(READ_MS);
    return await get(key);
  };
  let reads = 0;
  records.outcomeFor = (call) =>
    call === "get" && ++reads === 1 ? CallOutcome.Silent : CallOutcome.Answered;
  finish();
  await pass(clock, 50);
  const listed = run.results.length;
  await pass(clock, 2 * TTL_MS);
  const lapses = aborted.count;
  await run.stop("ended");
  expect({ listed, lapses, lost: reads > 1 })
    .toEqual({ listed: 1, lapses: 0, lost: true });
});

test("groups that a later owner may complete aren't counted as unfinished", async () => {
  const countFor = async (reason: string) => {
    const counted: string[] = [];
    const { run, clock, finish } = await startRun({
      countGroups: (outcome, count) => counted.push(`${count} ${outcome}`),
    });
    finish();
    await pass(clock, 50);
    await run.stop(reason);
    return counted;
  };
  expect(await countFor("replaced")).toEqual(["1 in_time", "0 late"]);
  expect(await countFor("ended"))
    .toEqual(["1 in_time", "0 late", "1 unfinished"]);
});

test("an item that can't be sent is given up and blames no upstream", async () => {
  const { transport, sent } = losingTransport(Loss.Unsendable);
  const { run, clock, outcomes } = await startRun({ transport });
  await pass(clock, 2000);
  await run.stop("ended");
  expect(run.results.map(({ end }) => end))
    .toEqual([ItemOutcome.GivenUp, ItemOutcome.GivenUp]);
  expect(sent).toEqual(["one", "two"]);
  expect(outcomes).toEqual([Outcome.Cancelled, Outcome.Cancelled]);
});

test("an item that is misdirected again and again is sent ever more rarely", async () => {
  const { transport, sent } = losingTransport(Loss.Misdirected);
  const { run, clock } = await startRun({ transport });
  await pass(clock, 10_000);
  await run.stop("ended");
  const sends = sent.filter((id) => id === "one").length;
  expect([sends > 15, sends <= 25]).toEqual([true, true]);
});

test("an item that busy upstreams refuse is sent again without growing delays", async () => {
  const { transport, sent } = losingTransport(Loss.NotRun);
  const { run, clock } = await startRun({ transport });
  await pass(clock, 2000);
  await run.stop("ended");
  expect(sent.filter((id) => id === "one").length > 40).toEqual(true);
});

/** The route with these pools. */
function routeOver(pools: Readonly<Record<string, number>>): ExchangeRoute {
  const weighted = Object.entries(pools)
    .map(([pool, weight]) => ({ pool, weight }));
  const exchange = { ...ROUTE.exchange, pools: weighted };
  return { ...ROUTE, exchange } as ExchangeRoute;
}

/** Finds an upstream only in the pools that `isServed` accepts. */
function dispatchTo(isServed: (pool: string) => boolean) {
  const asked: string[] = [];
  const { dispatch: all } = dispatchAll();
  const dispatch = {
    acquire: (demand: Demand, signal: AbortSignal) => {
      asked.push(demand.pool);
      if (isServed(demand.pool)) return all.acquire(demand, signal);
      return Promise.resolve(Err(
        new Refusal({
          verdict: Verdict.NotRun,
          reason: Reason.NoUpstream,
          message: "No upstream",
        }),
      ));
    },
  } as unknown as Dispatch;
  return { dispatch, asked };
}

test("waits for slots are measured, as they count against moves", async () => {
  const { dispatch: all } = dispatchAll();
  let grant = () => {};
  const granted = new Promise<void>((resolve) => grant = resolve);
  const dispatch = {
    acquire: async (demand: Demand, signal: AbortSignal) => {
      await granted;
      return await all.acquire(demand, signal);
    },
  } as unknown as Dispatch;
  const { run, clock, histories, finish } = await startRun({ dispatch });
  await pass(clock, 500);
  finish();
  grant();
  await pass(clock, 100);
  await run.stop("ended");
  expect(histories.of("p").waits.expectedMs() >= 500).toEqual(true);
});

test("items whose pool has no upstream left run on the route's other pool", async () => {
  const { transport, sent } = losingTransport(Loss.Unsendable);
  const { dispatch } = dispatchTo((pool) => pool === "p");
  const { run, clock } = await startRun({
    transport,
    dispatch,
    routeInForce: () => routeOver({ gone: 1_000_000, p: 1 }),
  });
  await pass(clock, 500);
  await run.stop("ended");
  expect([...sent].sort()).toEqual(["one", "two"]);
});

test("items that wait follow their route to another pool", async () => {
  const { transport, sent } = losingTransport(Loss.Unsendable);
  const { dispatch } = dispatchTo((pool) => pool === "new");
  let route = routeOver({ gone: 1 });
  const { run, clock } = await startRun({
    transport,
    dispatch,
    routeInForce: () => route,
  });
  await pass(clock, 200);
  const before = sent.length;
  route = routeOver({ new: 1 });
  await pass(clock, 500);
  await run.stop("ended");
  expect([before, [...sent].sort()]).toEqual([0, ["one", "two"]]);
});

test("a permit of a pool that the route left meanwhile is returned unused", async () => {
  const { transport, sent } = losingTransport(Loss.Unsendable);
  const { dispatch: all, outcomes } = dispatchAll();
  let route = routeOver({ old: 1 });
  let grant = () => {};
  const granted = new Promise<void>((resolve) => grant = resolve);
  const dispatch = {
    acquire: async (demand: Demand, signal: AbortSignal) => {
      if (demand.pool === "old") await granted;
      return await all.acquire(demand, signal);
    },
  } as unknown as Dispatch;
  const { run, clock } = await startRun({
    transport,
    dispatch,
    routeInForce: () => route,
  });
  await pass(clock, 100);
  route = routeOver({ new: 1 });
  grant();
  await pass(clock, 500);
  await run.stop("ended");
  expect([...sent].sort()).toEqual(["one", "two"]);
  expect(outcomes.length).toEqual(4);
});

test("a pool without upstreams is asked again once the others were", async () => {
  const { dispatch, asked } = dispatchTo(() => false);
  const { run, clock } = await startRun({
    dispatch,
    routeInForce: () => routeOver({ a: 1, b: 1 }),
  });
  await pass(clock, 5000);
  await run.stop("ended");
  const counts = ["a", "b"]
    .map((pool) => asked.filter((one) => one === pool).length);
  expect(counts.every((count) => count > 5)).toEqual(true);
});

test("an item that waits when its batch's timeout passes is placed anew once", async () => {
  const starts: number[] = [];
  const dispatch = {
    acquire: (demand: Demand, signal: AbortSignal) => {
      if (demand.id === "one") starts.push(demand.startInMs ?? NaN);
      return new Promise((resolve) =>
        signal.addEventListener("abort", () =>
          resolve(Err(
            new Refusal({
              verdict: Verdict.NotRun,
              reason: Reason.Cancelled,
              message: "Cancelled",
            }),
          )), { once: true })
      );
    },
  } as unknown as Dispatch;
  const exchange = { ...ROUTE.exchange, batch: { resultTargetMs: 1000 } };
  const route = { ...ROUTE, deadlineMs: 4000, exchange } as ExchangeRoute;
  const { run, clock } = await startRun({
    dispatch,
    routeInForce: () => route,
  });
  await pass(clock, 8000);
  await run.stop("ended");
  expect([starts.length, starts[1] > 20_000]).toEqual([2, true]);
});
