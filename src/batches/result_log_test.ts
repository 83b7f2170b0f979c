import { expect } from "earl";
import { test } from "node:test";
import { SystemClock } from "../kernel/mod.ts";
import { archive, created, OWNER, result, submission } from "./fixture_test.ts";
import { Listing } from "./result_log.ts";

async function listing() {
  const { archive: on } = archive();
  const state = await created(on);
  const abort = new AbortController();
  const listing = new Listing({
    clock: new SystemClock(),
    archive: on,
    state,
    submission: submission(),
    results: [],
    signal: abort.signal,
  });
  return { on, state, abort, listing };
}

const { signal } = new AbortController();

test("a whole group is listed in one change", async () => {
  const { listing: on } = await listing();
  const ended = on.run();
  on.add(result("one"));
  on.add(result("two"));
  expect(await ended).toEqual("complete");
  expect(on.state.head.chunks).toEqual(1);
});

test("a part of a group is listed after a while", async () => {
  const { abort, listing: on } = await listing();
  const ended = on.run();
  on.add(result("one"));
  const startedAt = Date.now();
  await on.more(0, { waitMs: 3000, signal });
  expect(on.results.map(({ id }) => id)).toEqual(["one"]);
  expect(Date.now() - startedAt >= 200).toEqual(true);
  abort.abort();
  expect(await ended).toEqual("ended");
});

test("an owner that was replaced lists nothing and says so", async () => {
  const { on: archive, state, listing: on } = await listing();
  const ended = on.run();
  await archive.take(state, { ...OWNER, owner: "b" });
  on.add(result("one"));
  on.add(result("two"));
  expect(await ended).toEqual("overtaken");
  expect(on.results).toEqual([]);
});

test("who waits for a result is let go when the run ends", async () => {
  const { abort, listing: on } = await listing();
  const waits = on.more(0, { waitMs: 60_000, signal });
  abort.abort();
  await waits;
});
