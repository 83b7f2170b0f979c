import { expect } from "earl";
import fc from "fast-check";
import { test } from "node:test";
import type { Member } from "./mod.ts";
import {
  Liveness,
  MembershipList,
  type MemberState,
} from "./membership_list.ts";

const member = (vm: string, incarnation = "1"): Member => ({
  vm,
  incarnation,
  address: `${vm}:1`,
  http: `${vm}:2`,
  availabilityZone: "az-1",
  leaving: false,
  cores: 1,
});

const state = (
  vm: string,
  counter: number,
  status = Liveness.Alive,
  incarnation = "1",
): MemberState => ({ member: member(vm, incarnation), counter, status });

const newList = () => new MembershipList({ self: member("vm-a"), now: 0 });

const live = (it: MembershipList) => it.live().map(({ vm }) => vm);

test("a suspect remains a member until its timeout", () => {
  const it = newList();
  it.merge([state("vm-b", 1)], 0);
  it.suspect("vm-b", 10);
  expect(it.expireSuspects(100, 109)).toEqual([]);
  expect(live(it)).toEqual(["vm-a", "vm-b"]);
  it.expireSuspects(100, 110);
  expect(live(it)).toEqual(["vm-a"]);
});

test("a suspect that incremented its counter is alive again", () => {
  const it = newList();
  it.merge([state("vm-b", 1)], 0);
  it.suspect("vm-b", 10);
  it.merge([state("vm-b", 2)], 20);
  expect(it.expireSuspects(100, 1000)).toEqual([]);
});

test("a daemon refutes its reported death by a higher counter", () => {
  const it = newList();
  const changes = it.merge([state("vm-a", 5, Liveness.Dead)], 0);
  expect(changes).toEqual([state("vm-a", 6)]);
});

test("a new incarnation continues the counter of the previous one", () => {
  const it = newList();
  it.merge([state("vm-a", 9, Liveness.Alive, "0")], 0);
  expect(it.self.counter).toEqual(10);
  expect(it.self.member.incarnation).toEqual("1");
});

test("a reported death makes a member suspect first", () => {
  const it = newList();
  it.merge([state("vm-b", 1)], 0);
  it.merge([state("vm-b", 1, Liveness.Dead)], 10);
  expect(live(it)).toEqual(["vm-a", "vm-b"]);
});

test("a member that has left is removed at once", () => {
  const it = newList();
  it.merge([state("vm-b", 1)], 0);
  it.merge([state("vm-b", 1, Liveness.Left)], 10);
  expect(live(it)).toEqual(["vm-a"]);
});

test("no side loses its own members after a partition", () => {
  const sides = [["vm-a", "vm-b"], ["vm-x", "vm-y"]];
  const all = sides.flat().map((vm) => {
    const it = new MembershipList({ self: member(vm), now: 0 });
    it.merge(sides.flat().map((vm) => state(vm, 1)), 0);
    for (const other of sides.find((side) => !side.includes(vm))!) {
      it.suspect(other, 1);
    }
    it.expireSuspects(100, 200);
    return it;
  });
  const [a, b, x] = all;
  // One link heals first; then all exchange their states twice.
  a.merge(x.states(), 300);
  x.merge(a.states(), 300);
  for (let round = 0; round < 2; round++) {
    for (const from of all) {
      for (const to of all) {
        to.merge(from.states(), 310);
        expect(live(a).includes("vm-b")).toEqual(true);
        expect(live(b).includes("vm-a")).toEqual(true);
      }
    }
  }
  for (const it of all) expect(it.expireSuspects(100, 1000)).toEqual([]);
  for (const it of all) expect(it.live().length).toEqual(4);
});

test("lists that merged the same states in any order agree", () => {
  const states = fc.array(
    fc.record({
      vm: fc.constantFrom("vm-b", "vm-c", "vm-d"),
      counter: fc.integer({ min: 1, max: 4 }),
      status: fc.constantFrom(Liveness.Alive, Liveness.Suspect, Liveness.Left),
    }),
  );
  const shuffled = states.chain((list) =>
    fc.tuple(
      fc.constant(list),
      fc.shuffledSubarray(list, { minLength: list.length }),
    )
  );
  const known = ["vm-b", "vm-c", "vm-d"].map((vm) => state(vm, 0));
  const listAfter = (
    list: { vm: string; counter: number; status: Liveness }[],
  ) => {
    const it = newList();
    it.merge(known, 0);
    it.merge(list.map((one) => state(one.vm, one.counter, one.status)), 1);
    return it;
  };
  fc.assert(
    fc.property(shuffled, ([one, other]) => {
      const [a, b] = [listAfter(one), listAfter(other)];
      expect(a.digests()).toEqual(b.digests());
      expect(live(a)).toEqual(live(b));
    }),
    { seed: 3 },
  );
});
