import { expect } from "earl";
import { test } from "node:test";
import { SystemClock } from "../kernel/mod.ts";
import {
  createBatch,
  createStore,
  OWNER,
  ownership,
  result,
  submission,
} from "./fixture_test.ts";
import { ResultLog } from "./result_log.ts";

async function createResultLog() {
  const { store: batches } = createStore();
  const state = await createBatch(batches);
  const abort = new AbortController();
  const resultLog = new ResultLog({
    clock: new SystemClock(),
    store: batches,
    ownership: ownership({ signal: abort.signal }),
    state,
    submission: submission(),
    results: [],
    signal: abort.signal,
  });
  return { batches, state, abort, resultLog };
}

const { signal } = new AbortController();

test("a complete group is listed in one change", async () => {
  const { resultLog: log } = await createResultLog();
  const ended = log.run();
  log.add(result("one"));
  log.add(result("two"));
  expect(await ended).toEqual("complete");
  expect(log.state.head.chunks).toEqual(1);
});

test("part of a group is listed after the wait for the rest", async () => {
  const { abort, resultLog: log } = await createResultLog();
  const ended = log.run();
  log.add(result("one"));
  const startedAt = Date.now();
  await log.waitForMore(0, { waitMs: 3000, signal });
  expect(log.results.map(({ id }) => id)).toEqual(["one"]);
  expect(Date.now() - startedAt >= 200).toEqual(true);
  abort.abort();
  expect(await ended).toEqual("ended");
});

test("a replaced owner lists nothing and returns the conflict", async () => {
  const { batches: store, state, resultLog: log } = await createResultLog();
  const ended = log.run();
  await store.takeOwnership(state, { ...OWNER, owner: "b" });
  log.add(result("one"));
  log.add(result("two"));
  expect(await ended).toEqual("overtaken");
  expect(log.results).toEqual([]);
});

test("an owner that lists into an ended batch learns of the end", async () => {
  const { batches: store, state, resultLog: log } = await createResultLog();
  const ended = log.run();
  await store.end(state);
  log.add(result("one"));
  log.add(result("two"));
  expect([await ended, log.results.length]).toEqual(["ended", 0]);
});

test("the end of a run ends waits for results", async () => {
  const { abort, resultLog: log } = await createResultLog();
  const waits = log.waitForMore(0, { waitMs: 60_000, signal });
  abort.abort();
  await waits;
});
