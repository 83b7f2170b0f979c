import { expect } from "earl";
import { test } from "node:test";
import { hash, neighbours, rank, rankForDuty } from "./rendezvous.ts";

const vms = (count: number) =>
  Array.from({ length: count }, (_, index) => `vm-${index}`);

const members = (count: number) => vms(count).map((vm) => ({ vm }));

function hops(count: number): number {
  const all = vms(count);
  const near = new Map(all.map((vm) => [vm, neighbours(vm, all)]));
  let reached = new Set(["vm-0"]);
  for (let hops = 0;; hops++) {
    if (reached.size === count) return hops;
    reached = new Set(
      [...reached].flatMap((vm) => [vm, ...near.get(vm)!]),
    );
  }
}

test("names are distributed evenly among the members", () => {
  const owned = new Map<string, number>();
  for (let name = 0; name < 20_000; name++) {
    const { vm } = rank(members(20), `shard/${name}`)[0];
    owned.set(vm, (owned.get(vm) ?? 0) + 1);
  }
  for (const count of owned.values()) {
    expect(Math.abs(count - 1000) < 150).toEqual(true);
  }
});

test("the loss of a member moves only the names that it owned", () => {
  const before = members(10);
  const after = before.filter(({ vm }) => vm !== "vm-3");
  for (let name = 0; name < 1000; name++) {
    const [first, second] = rank(before, `${name}`);
    const heir = first.vm === "vm-3" ? second.vm : first.vm;
    expect(rank(after, `${name}`)[0].vm).toEqual(heir);
  }
});

test("up to 8 members are all neighbours of each other", () => {
  expect([...neighbours("vm-0", vms(8))].length).toEqual(7);
});

test("410 members have at most 6 neighbours, mutual, and 6 hops apart", () => {
  const all = vms(410);
  for (const vm of all) {
    const near = neighbours(vm, all);
    expect(near.size <= 6).toEqual(true);
    for (const other of near) {
      expect(neighbours(other, all).has(vm)).toEqual(true);
    }
  }
  expect(hops(410) <= 6).toEqual(true);
});

test("hashes of similar texts differ", () => {
  const hashes = new Set(vms(100_000).map((vm) => hash(vm)));
  expect(hashes.size).toEqual(100_000);
});

test("a duty goes to a small member only if no other is left", () => {
  const cores = (vm: string) => vm < "vm-2" ? 1.35 : vm < "vm-3" ? 0.8 : 0.324;
  const mixed = members(10).map(({ vm }) => ({ vm, cores: cores(vm) }));
  const strong = mixed.filter(({ cores }) => cores > 0.5);
  const owners = new Set<string>();
  for (let name = 0; name < 1000; name++) {
    const ranked = rankForDuty(mixed, `${name}`);
    owners.add(ranked[0].vm);
    expect(ranked.length).toEqual(mixed.length);
    expect(ranked.slice(0, strong.length)).toEqual([
      ...rank(strong, `${name}`),
    ]);
    expect(ranked[strong.length].cores).toEqual(0.324);
  }
  expect(owners.size).toEqual(strong.length);
});

test("equal members share duties as they share names", () => {
  const equal = members(10).map(({ vm }) => ({ vm, cores: 0.675 }));
  for (let name = 0; name < 100; name++) {
    expect(rankForDuty(equal, `${name}`)).toEqual(rank(equal, `${name}`));
  }
});
