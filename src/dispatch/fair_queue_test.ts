import { expect } from "earl";
import { test } from "node:test";
import { Reason } from "../kernel/mod.ts";
import { Priority } from "../tables/mod.ts";
import { FairQueue } from "./fair_queue.ts";
import { ticket } from "./fixtures_test.ts";
import type { Demand } from "./mod.ts";
import type { Capacity } from "./queue.ts";

function at(now: number, slots = 12): Capacity {
  return { now, slots, freeSlots: 0 };
}

const anything = { open: () => true, ready: () => true, fits: () => true };

function push(queue: FairQueue, times: number, part: Partial<Demand>): void {
  for (let i = 0; i < times; i++) queue.push(ticket(part), at(0));
}

/** Grants requests without releasing them; returns their organisations. */
function taken(queue: FairQueue, times: number): string {
  return Array.from({ length: times }, () => {
    const taken = queue.take(at(0), anything);
    if (taken !== undefined) queue.started(taken.demand, 0);
    return taken?.demand.tenant ?? "-";
  }).join("");
}

function count(order: string, organisation: string): number {
  return [...order].filter((one) => one === organisation).length;
}

test("organisations are served by weight, not in order of arrival", () => {
  const queue = new FairQueue();
  push(queue, 12, { tenant: "a" });
  push(queue, 12, { tenant: "b", weight: 2 });
  expect(count(taken(queue, 12), "b")).toEqual(8);
});

test("a request that was moved keeps its place among those without a start time", () => {
  const queue = new FairQueue();
  const arrive = (id: string, queuedAt: number, waitedMs?: number) =>
    queue.push({ ...ticket({ id }), queuedAt, waitedMs }, at(queuedAt));
  arrive("first", 1000);
  arrive("last", 1600);
  arrive("moved", 2000, 500);
  arrive("newest", 2000);
  const order = Array.from(
    { length: 4 },
    () => queue.take(at(2000), anything)?.demand.id,
  );
  expect(order).toEqual(["first", "moved", "last", "newest"]);
});

test("an organisation alone gets all slots, and returns them to others", () => {
  const queue = new FairQueue();
  push(queue, 24, { tenant: "a", priority: Priority.Interactive });
  expect(taken(queue, 12)).toEqual("a".repeat(12));
  push(queue, 6, { tenant: "b", priority: Priority.Batch });
  expect(taken(queue, 6)).toEqual("b".repeat(6));
});

test("interactive goes before another organisation's standard requests", () => {
  const queue = new FairQueue();
  push(queue, 4, { tenant: "b", priority: Priority.Standard });
  push(queue, 1, { tenant: "a", priority: Priority.Interactive });
  expect(taken(queue, 2)).toEqual("ab");
});

test("an organisation's batch requests keep their guaranteed slots", () => {
  const queue = new FairQueue();
  push(queue, 12, { tenant: "a", priority: Priority.Interactive });
  push(queue, 12, { tenant: "a", priority: Priority.Batch });
  const batches = Array.from({ length: 12 }, () => {
    const taken = queue.take(at(0), anything);
    if (taken !== undefined) queue.started(taken.demand, 0);
    return taken?.demand.priority === Priority.Batch;
  }).filter((batch) => batch);
  expect(batches.length).toEqual(2);
});

test("slots in use in other shards count", () => {
  const queue = new FairQueue();
  push(queue, 12, { tenant: "a" });
  push(queue, 12, { tenant: "b" });
  const load = { weight: 1, running: 6, waiting: 0 };
  queue.setOtherShards({ slots: 6, organisations: new Map([["a", load]]) });
  expect(count(taken(queue, 12), "b")).toEqual(9);
});

test("a request that can't end before its deadline is refused at once", () => {
  const queue = new FairQueue();
  const { demand } = ticket({ tenant: "a" });
  queue.started(demand, 0);
  queue.ended(demand, { now: 0, heldMs: 1000, tokens: 100 });
  push(queue, 30, { tenant: "a" });
  const late = queue.push(ticket({ remainingMs: 2000 }), at(0));
  expect(late.err && late.val.reason).toEqual(Reason.TenantOverShare);
  expect(late.err && late.val.retryAfterMs).toEqual(1500);
  const other = queue.push(ticket({ tenant: "b", remainingMs: 2000 }), at(0));
  expect(other.ok).toEqual(true);
});

test("an organisation's waiting requests are limited", () => {
  const queue = new FairQueue({ organisationLimit: 1 });
  queue.push(ticket(), at(0));
  const second = queue.push(ticket(), at(0));
  expect(second.err && second.val.reason).toEqual(Reason.TenantOverShare);
});

/** Requests in the order in which they start. */
function started(queue: FairQueue, times: number): readonly string[] {
  return Array.from(
    { length: times },
    () => queue.take(at(0), anything)?.demand.id ?? "-",
  );
}

test("requests go by their latest start, and those without one last", () => {
  const queue = new FairQueue();
  push(queue, 1, { id: "whenever" });
  push(queue, 1, { id: "late", startInMs: 5000 });
  push(queue, 1, { id: "soon", startInMs: 100 });
  push(queue, 1, { id: "overdue", startInMs: -10 });
  expect(started(queue, 4)).toEqual(["overdue", "soon", "late", "whenever"]);
});

test("a resent request goes before those of the next step", () => {
  const queue = new FairQueue();
  push(queue, 1, { id: "back", startInMs: 3000 });
  push(queue, 1, { id: "next-1", startInMs: 7000 });
  push(queue, 1, { id: "next-2", startInMs: 7000 });
  const [first] = started(queue, 1);
  push(queue, 1, { id: `${first} again`, startInMs: 2900 });
  expect(started(queue, 3)).toEqual(["back again", "next-1", "next-2"]);
});

test("items that no upstream suits don't block those of other weights", () => {
  for (const other of [{ model: "b" }, { model: "a", minVersion: 1 }]) {
    const queue = new FairQueue();
    push(queue, 40, { model: "a", minVersion: 2, startInMs: -9000 });
    push(queue, 1, { id: "other", ...other, startInMs: 3000 });
    const next = queue.take(at(0), {
      ...anything,
      fits: ({ demand: { model, minVersion } }) =>
        model === other.model && minVersion < 2,
    });
    expect(next?.demand.id).toEqual("other");
  }
});

test("the checks for a fit are bounded, however many models wait", () => {
  const queue = new FairQueue();
  for (let n = 0; n < 400; n++) push(queue, 1, { model: `${n % 40}` });
  let checks = 0;
  const fits = () => {
    checks += 1;
    return false;
  };
  queue.take(at(0), { ...anything, fits });
  expect(checks <= 64).toEqual(true);
});

test("steps in time: least slack first compared with order of arrival", () => {
  /** Items in time of two steps on 6 slots; the second arrives 1 s later. */
  const inTime = (slack: boolean) => {
    const queue = new FairQueue();
    const lengths = [6, 1, 1, 1, 5, 1, 1, 1, 1, 1, 4, 1].map((n) => n * 1000);
    const due = 8000;
    const push = (id: string, arrivedMs: number) => {
      for (const [n, lengthMs] of lengths.entries()) {
        const demand = { id: `${id}.${n}`, priority: Priority.Interactive };
        const startInMs = slack ? due - lengthMs : undefined;
        queue.push({
          ...ticket({ ...demand, startInMs, remainingMs: 1e6 }),
          queuedAt: arrivedMs,
        }, at(arrivedMs, 6));
      }
    };
    push("a", 0);
    push("b", 1000);
    const free = Array.from({ length: 6 }, () => 1000);
    let count = 0;
    for (let n = 0; n < 2 * lengths.length; n++) {
      const slot = free.indexOf(Math.min(...free));
      const next = queue.take(at(free[slot], 6), anything);
      if (next === undefined) break;
      const [step, index] = next.demand.id.split(".");
      free[slot] += lengths[Number(index)];
      if (free[slot] <= (step === "a" ? 0 : 1000) + due) count += 1;
    }
    return count;
  };
  expect([inTime(true), inTime(false)]).toEqual([24, 22]);
});
