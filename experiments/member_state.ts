/**
 * Measures the cost of membership state for one daemon up to the target size:
 * memory, and the time of operations that depend on the number of members.
 *
 * Run: node --expose-gc dist/experiments/member_state.js > FILE
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { codec } from "../src/peers/frame.ts";
import type { Member } from "../src/peers/mod.ts";
import { neighbours, rank } from "../src/peers/rendezvous.ts";
import {
  Liveness,
  MembershipList,
  type MemberState,
} from "../src/peers/membership_list.ts";

const MEMBER_COUNTS = [8, 64, 410];
const REPETITIONS = 300;
/** Number of membership lists over which memory is averaged. */
const LIST_COPIES = 50;

function member(index: number): Member {
  return {
    vm: `tt-south-entry-${index}`,
    incarnation: randomUUID(),
    address: `10.1.${index >> 8}.${index & 255}:7100`,
    http: `10.1.${index >> 8}.${index & 255}:8080`,
    availabilityZone: `tt-south-${index % 5}`,
    leaving: false,
    cores: 1,
  };
}

function states(count: number): readonly MemberState[] {
  return Array.from({ length: count }, (_, index) => ({
    member: member(index),
    counter: 3,
    status: Liveness.Alive,
  }));
}

/** Returns the median time of `task` in microseconds. */
function medianMicros(task: (repeat: number) => void): number {
  const times = Array.from({ length: REPETITIONS }, (_, repeat) => {
    const from = performance.now();
    task(repeat);
    return performance.now() - from;
  }).sort((a, b) => a - b);
  return Math.round(1000 * times[REPETITIONS / 2]);
}

function heapBytes(): number {
  globalThis.gc?.();
  return process.memoryUsage().heapUsed;
}

function createMembershipList(wire: Buffer): MembershipList {
  const list = new MembershipList({ self: member(100_000), now: 0 });
  list.merge(codec.decode(wire), 0);
  list.live();
  return list;
}

function measure(members: number) {
  // Decoded for each list, so that the lists share no objects or strings.
  const wire = codec.encode(states(members));
  createMembershipList(wire);
  const before = heapBytes();
  const lists = Array.from(
    { length: LIST_COPIES },
    () => createMembershipList(wire),
  );
  const heap = Math.round((heapBytes() - before) / LIST_COPIES);
  const list = lists[0];
  const live = list.live();
  const vms = live.map(({ vm }) => vm);
  return {
    members,
    heapBytes: heap,
    heapBytesPerMember: Math.round(heap / members),
    wireBytes: wire.length,
    rankMicros: medianMicros((repeat) => rank(live, `shard/pool/${repeat}`)),
    neighboursMicros: medianMicros(() => neighbours(vms[0], vms)),
    digestMicros: medianMicros(() => {
      list.announce(list.self.member, 0);
      list.digest();
    }),
  };
}

console.log(JSON.stringify(MEMBER_COUNTS.map(measure), null, 2));
