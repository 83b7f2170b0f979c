import { expect } from "earl";
import { test } from "node:test";
import { ManualClock } from "../kernel/mod.ts";
import { Outcome } from "./mod.ts";
import { releaseBody } from "./messages.ts";
import { loadOf, StatedLoads } from "./stated_loads.ts";

const END = {
  shard: "lm/0",
  permit: "p",
  outcome: Outcome.Served,
  tokens: 1,
};

test("a release carries the newest load with its age, but no old one", () => {
  const clock = new ManualClock();
  const loads = new StatedLoads({ clock });
  const heard = (pacePercent?: number) =>
    loads.heard({
      upstream: "up-1",
      leaving: false,
      requestAgeMs: 1,
      load: { running: 2, waiting: 1, slots: 6, pacePercent },
    });
  expect(loads.reported("up-1")).toEqual(undefined);
  heard(250);
  heard(100);
  clock.advance(40);
  const load = loads.reported("up-1");
  expect(load).toEqual({ figures: [2, 1, 6, 100], ageMs: 40 });
  const [end] = releaseBody.parse({ ends: [{ ...END, load }] }).ends;
  expect(end.load && loadOf(end.load)).toEqual({
    running: 2,
    waiting: 1,
    slots: 6,
    pacePercent: 100,
  });
  clock.advance(2000);
  expect(loads.reported("up-1")).toEqual(undefined);
});

test("a release counts without a load, and with one that can't be read", () => {
  expect(releaseBody.parse({ ends: [END] }).ends).toEqual([END]);
  for (const load of [7, {}, { figures: [-1, 0, 6], ageMs: 0 }]) {
    const [end] = releaseBody.parse({ ends: [{ ...END, load }] }).ends;
    expect(end.permit).toEqual("p");
    expect(end.load).toEqual(undefined);
  }
});
