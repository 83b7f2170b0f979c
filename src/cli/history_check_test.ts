import { expect } from "earl";
import { some } from "fp-ts/Option";
import { test } from "node:test";
import { key, route, tables } from "../../stand_ins/builders.ts";
import type { KeyValueEntry } from "../outside/mod.ts";
import type { Configuration } from "../tables/mod.ts";
import { checkHistory, regrantedKeys } from "./history_check.ts";
import { ARCHIVE_PREFIX, EditOutcome } from "./revision_store.ts";

function revision(
  number: number,
  fields: Partial<Configuration> = {},
): Configuration {
  return {
    revision: number,
    attempt: `a${number}`,
    author: "",
    note: "",
    at: "2026-12-04T00:00:00.000Z",
    tables: tables(),
    ...fields,
  };
}

function stored(...chain: readonly Configuration[]): readonly KeyValueEntry[] {
  return chain.map((one, at) => ({
    key: `${ARCHIVE_PREFIX}${at}`,
    value: JSON.stringify(one),
    revision: at + 1,
  }));
}

test("finds a gap, a duplicate edit and two edits of one revision", () => {
  const good = stored(revision(1), revision(2));
  expect(checkHistory(good, [])).toEqual([]);
  const gap = stored(revision(1), revision(3));
  expect(checkHistory(gap, []).length).toEqual(1);
  const doubled = stored(revision(1), revision(2, { attempt: "a1" }));
  expect(checkHistory(doubled, []).length).toEqual(1);
  const forked = stored(revision(1), revision(2), revision(2, { note: "x" }));
  expect(checkHistory(forked, []).length).toBeGreaterThanOrEqual(1);
});

test("finds a wrongly reported winner", () => {
  const chain = stored(revision(1), revision(2), revision(3));
  const lostTo = (winner: Configuration) => [{
    attempt: "mine",
    on: 1,
    ending: EditOutcome.Lost,
    winner: some(winner),
  }];
  expect(checkHistory(chain, lostTo(revision(2)))).toEqual([]);
  expect(checkHistory(chain, lostTo(revision(3))).length).toEqual(1);
});

test("finds a withdrawn key that was granted again", () => {
  const held = tables();
  const without = tables({ routes: [route({ keys: [key("k2", "one")] })] });
  const withdrawn = stored(revision(1), revision(2, { tables: without }));
  expect(regrantedKeys(withdrawn)).toEqual([]);
  const back = revision(3, { tables: held });
  expect(regrantedKeys([...withdrawn, ...stored(back)]).length).toEqual(1);
});
