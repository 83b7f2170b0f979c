import { expect } from "earl";
import { test } from "node:test";
import { ManualClock } from "../kernel/mod.ts";
import type { UpstreamNotice } from "../outside/mod.ts";
import { HEARD_HERE, KnownNotices } from "./known_notices.ts";

function notice(part: Partial<UpstreamNotice> = {}): UpstreamNotice {
  return { upstream: "up-1", leaving: false, requestAgeMs: 0, ...part };
}

/** What two daemons know, on one clock. */
function daemons() {
  const clock = new ManualClock();
  const here = new KnownNotices({ clock });
  const there = new KnownNotices({ clock });
  const tell = () => {
    for (const one of here.all()) there.merge(one, "here");
  };
  return { clock, here, there, tell };
}

test("a limit holds until an answer names none", () => {
  const { clock, here } = daemons();
  here.heard(notice({ limitPerS: 2 }));
  clock.advance(600_000);
  expect(here.limitOf("up-1")).toEqual(2);
  here.heard(notice());
  expect(here.limitOf("up-1")).toEqual(Infinity);
});

test("an answer to a request from before a limit was named doesn't end it", () => {
  const { clock, here } = daemons();
  clock.advance(1000);
  here.heard(notice({ limitPerS: 2 }));
  clock.advance(50);
  here.heard(notice({ requestAgeMs: 60 }));
  expect(here.limitOf("up-1")).toEqual(2);
  here.heard(notice({ requestAgeMs: 40 }));
  expect(here.limitOf("up-1")).toEqual(Infinity);
});

test("what a peer knows replaces older notices only", () => {
  const { clock, here, there, tell } = daemons();
  here.heard(notice({ limitPerS: 2 }));
  clock.advance(100);
  there.heard(notice({ limitPerS: 3 }));
  tell();
  expect(there.limitOf("up-1")).toEqual(3);
  clock.advance(100);
  here.heard(notice());
  tell();
  expect(there.limitOf("up-1")).toEqual(Infinity);
});

test("the end of a limit reaches a daemon that knows of it", () => {
  const { clock, here, there, tell } = daemons();
  here.heard(notice({ limitPerS: 2 }));
  tell();
  clock.advance(100);
  here.heard(notice());
  tell();
  expect(there.limitOf("up-1")).toEqual(Infinity);
});

test("only changes are told, with where they came from", () => {
  const { clock, here, there, tell } = daemons();
  const changes: string[] = [];
  for (const one of [here, there]) {
    one.onChange(({ limitPerS }, origin) =>
      changes.push(`${limitPerS} ${origin}`)
    );
  }
  here.heard(notice());
  here.heard(notice({ limitPerS: 2 }));
  here.heard(notice({ limitPerS: 2 }));
  tell();
  clock.advance(1);
  tell();
  expect(changes).toEqual([`2 ${HEARD_HERE}`, "2 here"]);
});

test("an instance that leaves never stays, and its successor does", () => {
  const { here } = daemons();
  here.heard(notice({ leaving: true }), 1000);
  here.heard(notice(), 1000);
  expect(here.isLeaving("up-1", 1000)).toEqual(true);
  expect(here.isLeaving("up-1")).toEqual(true);
  expect(here.isLeaving("up-1", 2000)).toEqual(false);
  here.heard(notice(), 2000);
  expect(here.isLeaving("up-1", 2000)).toEqual(false);
  here.heard(notice({ leaving: true }), 2000);
  expect(here.isLeaving("up-1", 2000)).toEqual(true);
});

test("an instance that says that it leaves once it isn't listed has successors", () => {
  const { here } = daemons();
  here.heard(notice({ leaving: true }), 1000);
  here.heard(notice({ leaving: true }));
  expect(here.isLeaving("up-1", 1000)).toEqual(true);
  expect(here.isLeaving("up-1", 2000)).toEqual(false);
  here.heard(notice(), 2000);
  expect(here.isLeaving("up-1", 2000)).toEqual(false);
});

test("an older notice that an upstream leaves counts beside a newer limit", () => {
  const { clock, here, there, tell } = daemons();
  here.heard(notice({ leaving: true }), 1000);
  clock.advance(100);
  there.heard(notice({ limitPerS: 2 }), 1000);
  tell();
  expect(there.isLeaving("up-1", 1000)).toEqual(true);
});

test("memory of notices is bounded", () => {
  const { here } = daemons();
  for (let n = 0; n < 5000; n++) {
    here.heard(notice({ upstream: `up-${n}`, limitPerS: 1 }));
  }
  expect(here.all().length).toEqual(4096);
  expect(here.limitOf("up-4999")).toEqual(1);
});

test("the latest end of a cold time counts, also among daemons", () => {
  const { clock, here, there, tell } = daemons();
  here.heard(notice({ coldMs: 5000 }));
  clock.advance(1000);
  here.heard(notice({ coldMs: 2000 }));
  there.heard(notice({ coldMs: 1000 }));
  tell();
  expect([here, there].map((one) => one.coldUntil("up-1")))
    .toEqual([5000, 5000]);
  clock.advance(5000);
  expect(here.all().map(({ cold }) => cold)).toEqual([undefined]);
});

test("answers that confirm a cold time are no change", () => {
  const { clock, here } = daemons();
  let changes = 0;
  here.onChange(() => changes += 1);
  for (let coldMs = 5000; coldMs > 0; coldMs -= 100) {
    here.heard(notice({ coldMs: coldMs + coldMs % 300 / 3 }));
    clock.advance(100);
  }
  expect(changes).toEqual(1);
});

test("an answer that is older than a limit still says that its upstream is cold", () => {
  const { clock, here } = daemons();
  clock.advance(1000);
  here.heard(notice({ limitPerS: 2 }));
  here.heard(notice({ coldMs: 3000, requestAgeMs: 500 }));
  expect(here.limitOf("up-1")).toEqual(2);
  expect(here.coldUntil("up-1")).toEqual(4000);
});

test("the cold time of an instance doesn't outlast its successor's birth", () => {
  const { here, there, tell } = daemons();
  here.heard(notice({ coldMs: 60_000 }), 1000);
  expect(here.coldUntil("up-1", 2000)).toEqual(-Infinity);
  here.heard(notice({ coldMs: 3000 }), 2000);
  tell();
  expect([here, there].map((one) => one.coldUntil("up-1", 2000)))
    .toEqual([3000, 3000]);
});
