import { expect } from "earl";
import { fromNullable } from "fp-ts/Option";
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
import { RouteKind } from "../tables/mod.ts";
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
  kind: RouteKind.Batch,
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
  /** The route that the batch's host and path select; undefined for none. */
  routeInForce?: () => ExchangeRoute | undefined;
  countGroups?: (outcome: GroupOutcome, count: number) => void;
} = {}) {
  const clock = new ManualClock();
  const { records, store } = createStore({ clock });
  const state = await createBatch(store);
  const { transport, aborted, finish } = upstream();
  const { dispatch: all, outcomes } = dispatchAll();
  const dispatch = options.dispatch ?? all;
  const { routeInForce = () => ROUTE } = options;
  const changed = new Set<() => void>();
  const relay = {
    route: () => fromNullable(routeInForce()),
    onChange: (listener: () => void) => {
      changed.add(listener);
      return () => changed.delete(listener);
    },
  };
  const changeRoutes = () => {
    for (const listener of changed) listener();
  };
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
    repeatedGroups: 0,
    countGroups: options.countGroups,
    results: [],
    histories,
    partialOutputs: new PartialOutputs(),
  });
  run.start();
  return {
    run,
    records,
    clock,
    aborted,
    finish,
    outcomes,
    histories,
    changeRoutes,
  };
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
  const { run, clock, changeRoutes } = await startRun({
    transport,
    dispatch,
    routeInForce: () => route,
  });
  await pass(clock, 200);
  const before = sent.length;
  route = routeOver({ new: 1 });
  changeRoutes();
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
  const { run, clock, changeRoutes } = await startRun({
    transport,
    dispatch,
    routeInForce: () => route,
  });
  await pass(clock, 100);
  route = routeOver({ new: 1 });
  changeRoutes();
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

/** A batch whose route is removed after a while, with its sends by time. */
async function removeRoute(options: { backAfterMs: number }) {
  const { transport, sent } = losingTransport(Loss.NotRun);
  let route: ExchangeRoute | undefined = ROUTE;
  const { run, clock, changeRoutes } = await startRun({
    transport,
    routeInForce: () => route,
  });
  await pass(clock, 300);
  route = undefined;
  changeRoutes();
  const before = sent.length;
  await pass(clock, options.backAfterMs);
  const meanwhile = sent.length - before;
  route = ROUTE;
  changeRoutes();
  await pass(clock, 500);
  await run.stop("ended");
  const after = sent.length - before - meanwhile;
  return { before, meanwhile, after, results: run.results };
}

// Items went on by the last route that the owner had seen.
test("no item is sent while the route of its batch is removed", async () => {
  const { before, meanwhile, after, results } = await removeRoute({
    backAfterMs: 1500,
  });
  expect([before > 0, meanwhile, after > 0]).toEqual([true, 0, true]);
  expect(results).toEqual([]);
});

test("items whose route stays removed are given up", async () => {
  const { meanwhile, after, results } = await removeRoute({
    backAfterMs: 5000,
  });
  expect([meanwhile, after]).toEqual([0, 0]);
  expect(results.map(({ end }) => end))
    .toEqual([ItemOutcome.GivenUp, ItemOutcome.GivenUp]);
});

test("a route that takes no batches any more gets no items", async () => {
  const { transport, sent } = losingTransport(Loss.NotRun);
  const plain = { ...ROUTE, kind: RouteKind.Exchange } as ExchangeRoute;
  const { run, clock } = await startRun({
    transport,
    routeInForce: () => plain,
  });
  await pass(clock, 5000);
  await run.stop("ended");
  expect([sent, run.results.length]).toEqual([[], 2]);
});

test("items that wait for a permit stop waiting when their route is removed", async () => {
  const waiting = new Set<string>();
  const dispatch = {
    acquire: async ({ id }: Demand, signal: AbortSignal) => {
      waiting.add(id);
      await new Promise((resolve) =>
        signal.addEventListener("abort", resolve, { once: true })
      );
      waiting.delete(id);
      return Err(
        new Refusal({
          verdict: Verdict.NotRun,
          reason: Reason.Cancelled,
          message: "Cancelled",
        }),
      );
    },
  } as unknown as Dispatch;
  let route: ExchangeRoute | undefined = ROUTE;
  const { run, clock, changeRoutes } = await startRun({
    dispatch,
    routeInForce: () => route,
  });
  await pass(clock, 100);
  const before = waiting.size;
  route = undefined;
  changeRoutes();
  await pass(clock, 100);
  expect([before, waiting.size]).toEqual([2, 0]);
  await run.stop("ended");
});
