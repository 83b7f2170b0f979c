import { expect } from "earl";
import { test } from "node:test";
import { Reason } from "../kernel/mod.ts";
import { Priority } from "../tables/mod.ts";
import { FairQueue } from "./fair_queue.ts";
import { ticket } from "./fixtures_test.ts";
import type { Capacity } from "./queue.ts";

const busy: Capacity = {
  tokensPerSecond: 1000,
  freeSlots: 0,
  slots: 2,
  holdMs: 1000,
};

function taken(queue: FairQueue, times: number): string {
  return Array.from(
    { length: times },
    () => queue.take(() => true)?.demand.tenant ?? "-",
  ).join("");
}

test("tenants are served by weight, whoever came first", () => {
  const queue = new FairQueue();
  for (let i = 0; i < 9; i++) queue.push(ticket({ tenant: "a" }), busy);
  for (let i = 0; i < 9; i++) {
    queue.push(ticket({ tenant: "b", weight: 2 }), busy);
  }
  const order = taken(queue, 9);
  expect([...order].filter((tenant) => tenant === "b").length).toEqual(6);
});

test("a tenant alone gets everything", () => {
  const queue = new FairQueue();
  for (let i = 0; i < 3; i++) queue.push(ticket(), busy);
  expect(taken(queue, 3)).toEqual("aaa");
});

test("an interactive request goes before a batch of another tenant", () => {
  const queue = new FairQueue();
  queue.push(ticket({ tenant: "b", priority: Priority.Batch }), busy);
  queue.push(ticket({ priority: Priority.Interactive }), busy);
  expect(taken(queue, 2)).toEqual("ab");
});

test("urgency doesn't starve another tenant", () => {
  const queue = new FairQueue();
  for (let i = 0; i < 200; i++) {
    queue.push(ticket({ priority: Priority.Interactive }), busy);
    queue.push(ticket({ tenant: "b", priority: Priority.Batch }), busy);
  }
  const later = taken(queue, 200).slice(-100);
  expect([...later].filter((tenant) => tenant === "b").length)
    .toEqual(50);
});

test("a tenant pays for what the estimate missed", () => {
  const queue = new FairQueue();
  const long = ticket({ tenant: "a" });
  queue.push(long, busy);
  queue.push(ticket({ tenant: "a" }), busy);
  for (let i = 0; i < 9; i++) queue.push(ticket({ tenant: "b" }), busy);
  expect(taken(queue, 1)).toEqual("a");
  queue.settle(long.demand, 500);
  expect(taken(queue, 5)).toEqual("bbbbb");
});

test("what can't start before its deadline is refused at once", () => {
  const queue = new FairQueue();
  for (let i = 0; i < 30; i++) queue.push(ticket(), busy);
  const late = queue.push(ticket({ remainingMs: 2000 }), busy);
  expect(late.err && late.val.reason).toEqual(Reason.TenantOverShare);
  expect(late.err && late.val.retryAfterMs).toEqual(2000);
  const other = queue.push(ticket({ tenant: "b", remainingMs: 2000 }), busy);
  expect(other.ok).toEqual(true);
});

test("a tenant's waiting requests are bounded", () => {
  const queue = new FairQueue({ tenantLimit: 1 });
  queue.push(ticket(), busy);
  const second = queue.push(ticket(), busy);
  expect(second.err && second.val.reason).toEqual(Reason.TenantOverShare);
});
