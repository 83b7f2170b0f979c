import { expect } from "earl";
import { isNone } from "fp-ts/Option";
import { test } from "node:test";
import { Ok } from "ts-results";
import { ManualClock } from "../kernel/mod.ts";
import type { Peers } from "../peers/mod.ts";
import { BatchCache } from "./batch_cache.ts";
import { BatchReader, type ReadableRun } from "./batch_reader.ts";
import type { VersionedHead } from "./batch_store.ts";
import {
  createBatch,
  createStore,
  OWNER,
  ownership,
  result,
  submission,
} from "./fixture_test.ts";
import type { ItemResult } from "./mod.ts";

const { signal } = new AbortController();
const BATCH = { id: "batch", organisation: submission().organisation };

/** A batch that daemon "a" runs, and a reader on daemon "r". */
async function createReader(options: { isEarlierBuild?: boolean } = {}) {
  const clock = new ManualClock();
  const { records, store } = createStore({ clock });
  /** Reads of heads, and results sent by owners. */
  const reads = { heads: 0, results: 0 };
  const get = records.get.bind(records);
  records.get = (key) => {
    reads.heads += 1;
    return get(key);
  };
  const daemons = new Map<string, BatchReader>();
  const peers = {
    ask: async (vm: string, _kind: string, body: unknown) => {
      const answer = await daemons.get(vm)?.handleRead(body, "r", signal);
      const copy = JSON.parse(JSON.stringify(answer));
      reads.results += copy.results.length;
      if (options.isEarlierBuild) delete copy.provenMsAgo;
      return Ok(copy);
    },
  } as unknown as Peers;
  const add = (vm: string, runs: ReadonlyMap<string, ReadableRun>) => {
    const reader = new BatchReader({
      store,
      cache: new BatchCache(),
      peers,
      runs,
      runnerOf: ({ owner }) => owner,
      signal,
    });
    daemons.set(vm, reader);
    return reader;
  };
  const addOwner = (vm: string, run: ReadableRun) =>
    add(vm, new Map([[BATCH.id, run]]));
  const state = await createBatch(store);
  const owned = ownership({ clock });
  addOwner(OWNER.owner, runOf(state, [], () => owned.ageMs));
  const reader = add("r", new Map());
  const readFrom = async (after: number) =>
    (await reader.read(BATCH, { after, waitMs: 0, signal })).unwrap();
  const poll = async () => (await readFrom(0)).results.map(({ id }) => id);
  // The first read finds the batch.
  await poll();
  reads.heads = 0;
  return { clock, store, state, owned, addOwner, poll, readFrom, reads };
}

function runOf(
  state: VersionedHead,
  results: readonly ItemResult[],
  provenMsAgo: () => number | undefined,
): ReadableRun {
  return {
    state,
    results,
    get provenMsAgo() {
      return provenMsAgo();
    },
    waitForMore: () => Promise.resolve(),
  };
}

test("readers that poll read no heads while the owner proves its ownership", async () => {
  const { clock, owned, poll, reads } = await createReader();
  for (let n = 0; n < 20; n++) {
    clock.advance(600);
    owned.confirm(clock.moment());
    clock.advance(200);
    expect(await poll()).toEqual([]);
  }
  expect(reads.heads).toEqual(0);
});

test("an owner of an earlier build, which states no proof, isn't believed", async () => {
  const { poll, reads } = await createReader({ isEarlierBuild: true });
  for (let n = 0; n < 20; n++) await poll();
  expect(reads.heads).toEqual(20);
});

test("an owner that was replaced isn't believed by readers for long", async () => {
  const { clock, store, state, addOwner, poll, reads } = await createReader();
  const taken = await store.takeOwnership(state, { owner: "b", run: "b1" });
  if (isNone(taken.now)) throw new Error("Not taken");
  const results = [result("one")];
  const listed = await store.append(taken.now.value, results, signal);
  if (isNone(listed.now)) throw new Error("Not listed");
  addOwner("b", runOf(listed.now.value, results, () => 0));
  clock.advance(899);
  expect([await poll(), reads.heads]).toEqual([[], 0]);
  clock.advance(1);
  expect([await poll(), reads.heads]).toEqual([["one"], 1]);
});

test("an owner whose run has stopped isn't believed", async () => {
  const { state, addOwner, poll, reads } = await createReader();
  addOwner(OWNER.owner, runOf(state, [], () => undefined));
  await poll();
  expect(reads.heads).toEqual(1);
});

test("a reader at a later position doesn't make the owner send all results again", async () => {
  const { store, state, addOwner, reads, readFrom } = await createReader();
  const results = ["one", "two", "three"].map((id) => result(id));
  const listed = await store.append(state, results, signal);
  if (isNone(listed.now)) throw new Error("Not listed");
  addOwner(OWNER.owner, runOf(listed.now.value, results, () => 0));
  const page = await readFrom(2);
  expect(page.results.map(({ id }) => id)).toEqual(["three"]);
  expect([page.next, reads.results]).toEqual([3, 1]);
  // Nothing before that position is known here yet.
  expect((await readFrom(0)).results.map(({ id }) => id))
    .toEqual(["one", "two", "three"]);
});

test("results that are listed while a reader at a later position waits keep their positions", async () => {
  const { store, state, addOwner, readFrom } = await createReader();
  const results = ["one", "two"].map((id) => result(id));
  const listed = await store.append(state, results, signal);
  if (isNone(listed.now)) throw new Error("Not listed");
  let reads = 0;
  addOwner(OWNER.owner, {
    // Without proof, as while the key-value service does not answer.
    ...runOf(listed.now.value, results, () => undefined),
    provenMsAgo: undefined,
    waitForMore: () => {
      reads += 1;
      if (reads === 2) results.push(result("three"));
      return Promise.resolve();
    },
  });
  await readFrom(2);
  expect((await readFrom(0)).results.map(({ id }) => id))
    .toEqual(["one", "two", "three"]);
});
