import { expect } from "earl";
import { test } from "node:test";
import {
  CallOutcome,
  MemoryTransactionalKeyValue,
} from "../../stand_ins/memory_transactional_key_value.ts";
import { ManualClock } from "../kernel/mod.ts";
import { FINDINGS_PREFIX, FindingStore } from "./finding_store.ts";
import { type Finding, RunEnd } from "./quarantine.ts";

const idle = new AbortController().signal;

function finding(fingerprint: string): Finding {
  const run = {
    permit: "run-1",
    upstream: "up-1",
    end: RunEnd.Crashed,
    isolated: true,
    ranMs: 10,
    ageMs: 100,
  };
  return { fingerprint, runs: [run] };
}

function fixture() {
  const clock = new ManualClock();
  const keyValue = new MemoryTransactionalKeyValue();
  const store = () => new FindingStore({ clock, keyValue });
  return { clock, keyValue, store };
}

test("a finding that was written is read with its age", async () => {
  const { clock, store } = fixture();
  await store().write(finding("bad"));
  clock.advance(2000);
  const read = await store().read(idle);
  expect(read).toEqual([{
    ...finding("bad"),
    runs: [{ ...finding("bad").runs[0], ageMs: 2100 }],
  }]);
});

test("a finding that another daemon wrote is kept, and written once", async () => {
  const { clock, keyValue, store } = fixture();
  await store().write(finding("bad"));
  const second = store();
  await second.write(finding("bad"));
  const revision = keyValue.revision;
  clock.advance(1000);
  await second.write(finding("bad"));
  expect(keyValue.revision).toEqual(revision);
  expect(keyValue.entriesUnder(FINDINGS_PREFIX).length).toEqual(1);
});

test("a finding that could not be written is written at the next refusal", async () => {
  const { clock, keyValue, store } = fixture();
  const one = store();
  keyValue.outcomeFor = () => CallOutcome.Refused;
  await one.write(finding("bad"));
  keyValue.outcomeFor = () => CallOutcome.Answered;
  clock.advance(1000);
  await one.write(finding("bad"));
  expect(keyValue.entriesUnder(FINDINGS_PREFIX).length).toEqual(1);
});

test("many refusals in a second write one finding", async () => {
  const { clock, keyValue, store } = fixture();
  const one = store();
  for (let number = 0; number < 100; number++) {
    await one.write(finding(`bad-${number}`));
    clock.advance(10);
  }
  expect(keyValue.entriesUnder(FINDINGS_PREFIX).length).toEqual(1);
});
