import { expect } from "earl";
import { test } from "node:test";
import { VmState } from "../src/outside/mod.ts";
import { vm } from "../stand_ins/platform.ts";
import type { EventHistory, KindFields, PulledSample } from "./events.ts";
import {
  billedTokens,
  configuration,
  leavingUpstream,
  oneOrderer,
  oneReport,
  quarantine,
} from "./platform_checkers.ts";
import {
  atMostOnce,
  gracefulShutdown,
  keySecrecy,
  notRun,
  ownKey,
  wholeAnswer,
  withdrawal,
} from "./request_checkers.ts";
import { exactlyOnce, staleness, versionLabels } from "./sample_checkers.ts";

function at<K extends keyof KindFields>(
  t: number,
  kind: K,
  fields: Partial<KindFields[K]> & { at?: string },
): EventHistory[number] {
  return { t, kind, ...fields, at: fields.at ?? "somewhere" };
}

function asked(
  t: number,
  fields: Partial<KindFields["asked"]>,
): EventHistory[number] {
  return at(t, "asked", { tenant: "one", keyId: "k", expected: "", ...fields });
}

function sample(fields: Partial<PulledSample> = {}): PulledSample {
  return {
    group: 0,
    index: 0,
    tokens: 4,
    versions: [{ version: 1, from: 0, to: 4 }],
    text: "text",
    expected: "text",
    quarantined: false,
    ...fields,
  };
}

function pulled(t: number, ...samples: PulledSample[]): EventHistory[number] {
  return at(t, "pulled", { step: "s", version: 1, samples, done: false });
}

const SUBMITTED = at(0, "submitted", {
  step: "s",
  groups: [1],
  stalenessBound: 0,
});

function run(
  t: number,
  versions: { version: number; tokens: number }[],
  resumed = 0,
): EventHistory {
  const id = `step/t/r/s/0/${t}`;
  return [
    at(t, "received", { at: "e", id, prompt: "[s/0+0]", resumed }),
    at(t + 1, "finished", { at: "e", id, versions, ran: true }),
  ];
}

test("version labels: correct labels are accepted", () => {
  const history = [...run(1, [{ version: 1, tokens: 4 }]), pulled(5, sample())];
  expect(versionLabels(history)).toEqual([]);
});

test("version labels: a resumed sample names both versions", () => {
  const versions = [
    { version: 1, from: 0, to: 2 },
    { version: 2, from: 2, to: 4 },
  ];
  const history = [
    ...run(1, [{ version: 1, tokens: 3 }]),
    ...run(3, [{ version: 2, tokens: 2 }], 10),
    pulled(9, sample({ versions })),
  ];
  expect(versionLabels(history)).toEqual([]);
});

test("version labels: a swap that the label omits is found", () => {
  const versions = [{ version: 1, tokens: 2 }, { version: 2, tokens: 2 }];
  const history = [...run(1, versions), pulled(5, sample())];
  expect(versionLabels(history).length).toEqual(1);
});

test("staleness: a sample beyond the bound is found", () => {
  const old = { version: 0, from: 0, to: 4 };
  const history = [SUBMITTED, pulled(5, sample({ versions: [old] }))];
  expect(staleness(history).length).toEqual(1);
  expect(staleness([SUBMITTED, pulled(5, sample())])).toEqual([]);
});

test("exactly once: a duplicate and a missing sample are found", () => {
  const doubled = [SUBMITTED, pulled(1, sample()), pulled(2, sample())];
  expect(exactlyOnce(doubled).length).toEqual(1);
  const done = at(3, "pulled", { step: "s", samples: [], done: true });
  expect(exactlyOnce([SUBMITTED, done]).length).toEqual(1);
});

test("exactly once: a sample with a wrong text is found", () => {
  const history = [SUBMITTED, pulled(1, sample({ text: "other" }))];
  expect(exactlyOnce(history).length).toEqual(1);
});

test("own key: a run without a valid key is found", () => {
  const ran = at(2, "received", { id: "x", prompt: "[req:a]" });
  expect(ownKey([asked(1, { id: "a", tenant: "" }), ran]).length).toEqual(1);
  expect(ownKey([asked(1, { id: "a" }), ran])).toEqual([]);
});

test("key secrecy: a key in a header is found", () => {
  const ran = at(1, "ran", { rawHeaders: ["x", "secret"], path: "/" });
  expect(keySecrecy([ran], ["secret"]).length).toEqual(1);
});

test("withdrawal: a run after the bound is found", () => {
  const accepted = at(0, "accepted", { revision: 2, withdraws: ["k"] });
  const late = asked(4000, { id: "a" });
  const ran = at(4001, "received", { id: "x", prompt: "[req:a]" });
  expect(withdrawal([accepted, late, ran], 3000).length).toEqual(1);
  expect(withdrawal([accepted, late], 3000)).toEqual([]);
});

test("whole answer: another request's text is found", () => {
  const history = [
    asked(1, { id: "a", expected: "mine" }),
    at(2, "answered", { id: "a", text: "yours" }),
  ];
  expect(wholeAnswer(history).length).toEqual(1);
});

test("whole answer: an incomplete answer with a clean end is found", () => {
  const cut = at(2, "cut", { id: "a", why: "no end", clean: true });
  expect(wholeAnswer([asked(1, { id: "a" }), cut]).length).toEqual(1);
});

test("graceful shutdown: an interrupted and a refused request are found", () => {
  const cut = at(1, "cut", { id: "a", why: "reset", clean: false });
  const refused = at(2, "refused", { id: "b", reason: "draining" });
  const unrelated = at(3, "refused", { id: "c", reason: "no_key" });
  expect(gracefulShutdown([cut, refused, unrelated]).length).toEqual(2);
});

test("not run: a run of a refused request is found", () => {
  const refused = at(3, "refused", { id: "a", verdict: "not run" });
  const ran = at(2, "ran", { path: "/x/[req:a]", idempotencyKey: "" });
  expect(notRun([refused, ran]).length).toEqual(1);
  expect(notRun([refused])).toEqual([]);
});

test("at most once: a second run of a key is found", () => {
  const ran = at(2, "ran", { path: "/", idempotencyKey: "k" });
  expect(atMostOnce([ran, ran]).length).toEqual(1);
  expect(atMostOnce([ran])).toEqual([]);
});

function order(t: number, term: number, holder: string): EventHistory[number] {
  const fields = { term, holder } as KindFields["ordered"]["order"];
  return at(t, "ordered", { order: fields, accepted: true });
}

test("one orderer: an order under an old term is found", () => {
  const history = [order(1, 1, "a"), order(2, 2, "b"), order(3, 1, "a")];
  expect(oneOrderer(history).length).toEqual(1);
  expect(oneOrderer([order(1, 1, "a"), order(2, 1, "b")]).length).toEqual(1);
  expect(oneOrderer([order(1, 1, "a"), order(2, 2, "b")])).toEqual([]);
});

test("one report: two contents under one id are found", () => {
  const first = at(1, "reported", { id: "one/w", body: "{}" });
  const other = at(2, "reported", { id: "one/w", body: "{ }" });
  expect(oneReport([first, other]).length).toEqual(1);
  expect(oneReport([first, first])).toEqual([]);
});

test("billed tokens count each report once", () => {
  const body = JSON.stringify({ tenant: "one", lines: [{ outputTokens: 5 }] });
  const report = at(1, "reported", { id: "one/w", body });
  expect(billedTokens([report, report], "one")).toEqual(5);
});

test("leaving upstream: work after the bound is found", () => {
  const vms = [vm({ id: "e", standing: VmState.Leaving })];
  const left = at(0, "vms", { vms });
  const work = at(4000, "received", { at: "e", id: "x", prompt: "" });
  expect(leavingUpstream([left, work], 3000).length).toEqual(1);
  expect(leavingUpstream([left, work], 5000)).toEqual([]);
});

test("leaving upstream: the bound counts from the end of an outage", () => {
  const vms = [vm({ id: "e", standing: VmState.Leaving })];
  const fault = (t: number, phase: "begin" | "end") =>
    at(t, "fault", { fault: "platform outage", phase });
  const left = at(1000, "vms", { vms });
  const outage = [fault(900, "begin"), left, fault(3000, "end")];
  const work = (t: number) =>
    at(t, "received", { at: "e", id: "x", prompt: "" });
  expect(leavingUpstream([...outage, work(5500)], 3000)).toEqual([]);
  expect(leavingUpstream([...outage, work(6500)], 3000).length).toEqual(1);
});

test("configuration: a reverted and a delayed revision are found", () => {
  const options = { boundMs: 6000, daemons: ["d"] };
  const seen = (t: number, revision: number) =>
    at(t, "in force", { daemon: "d", revision });
  const accepted = at(0, "accepted", { revision: 2, withdraws: [] });
  expect(configuration([seen(1, 2), seen(2, 1)], options).length).toEqual(1);
  expect(configuration([accepted, seen(7000, 1)], options).length).toEqual(1);
  expect(configuration([accepted, seen(7000, 2)], options)).toEqual([]);
});

test("quarantine: a third crashed upstream is found", () => {
  const crash = (t: number, engine: string) => [
    at(t, "received", { at: engine, id: "x", prompt: "poison" }),
    at(t + 1, "crashed", { at: engine, id: "x" }),
    at(t + 1, "down", { at: engine }),
  ];
  const options = { marker: "poison", bound: 2 };
  const two = [...crash(1, "a"), ...crash(11, "b")];
  expect(quarantine(two, options)).toEqual([]);
  expect(quarantine([...two, ...crash(21, "c")], options).length).toEqual(1);
});
