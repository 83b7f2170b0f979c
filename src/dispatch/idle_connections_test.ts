import { expect } from "earl";
import { test } from "node:test";
import { Random } from "../bench/random.ts";
import { ManualClock } from "../kernel/mod.ts";
import { AffinitySelector } from "./affinity_selector.ts";
import { IdleConnections } from "./idle_connections.ts";
import { ticket, upstream } from "./fixtures_test.ts";
import { SwitchingSelector } from "./switching_selector.ts";
import { ShardLeader, type WaitResult } from "./shard_leader.ts";
import { Outcome } from "./mod.ts";

const ENTRIES = 40;
const REQUESTS = 2400;
const SLOTS = 6;

/** A running request. */
interface Running {
  readonly entry: string;
  readonly upstream: string;
  readonly permit: string;
  readonly endsAt: number;
}

/**
 * Simulates short requests from many entries on five upstreams that are a third
 * full, and counts the connections that the entries had to open.
 */
function simulate(options: {
  connection?: number;
  seed: number;
  /** Whether upstreams state a usual pace, so that expected finish is used. */
  stated?: boolean;
}): {
  opened: number;
  waited: number;
  fullest: number;
} {
  const clock = new ManualClock();
  const random = new Random({ seed: options.seed });
  const selector = options.stated
    ? new SwitchingSelector({ clock, random: () => random.next() })
    : new AffinitySelector({ clock, openConnection: options.connection });
  const leader = new ShardLeader({ clock, selector });
  leader.setUpstreams(["1", "2", "3", "4", "5"].map((n) =>
    upstream({
      id: `up-${n}`,
      slots: SLOTS,
      availabilityZone: `zone-${Number(n) % 4}`,
    })
  ));
  clock.advance(10_000);
  const idle = new Map<string, number>();
  let running: readonly Running[] = [];
  let opened = 0;
  let waited = 0;
  let fullest = 0;
  for (let count = 0; count < REQUESTS; count++) {
    clock.advance(10);
    const over = running.filter(({ endsAt }) => endsAt <= clock.now());
    running = running.filter(({ endsAt }) => endsAt > clock.now());
    for (const { permit, entry, upstream } of over) {
      if (options.stated) {
        const load = { running: 1, waiting: 0, slots: SLOTS, pacePercent: 100 };
        leader.stated(permit, load, 0);
      }
      leader.release(permit, Outcome.Served, 1);
      const link = `${entry} ${upstream}`;
      idle.set(link, (idle.get(link) ?? 0) + 1);
    }
    const number = Math.floor(random.next() * ENTRIES);
    const entry = `entry-${number}`;
    const asked = {
      ...ticket(),
      entry,
      availabilityZone: `zone-${number % 4}`,
    };
    let answer: WaitResult | undefined;
    leader.submit(asked, (given) => answer = given);
    if (answer === undefined || !("permit" in answer)) {
      waited += 1;
      leader.cancel(asked.id);
      continue;
    }
    const { permit, upstream: { id } } = answer;
    const link = `${entry} ${id}`;
    const open = idle.get(link) ?? 0;
    if (open === 0) opened += 1;
    else idle.set(link, open - 1);
    const endsAt = clock.now() + 50 + random.next() * 100;
    running = [...running, { entry, upstream: id, permit, endsAt }];
    for (const { inFlight } of leader.candidates) {
      fullest = Math.max(fullest, inFlight);
    }
  }
  return { opened, waited, fullest };
}

test("entries reuse open connections, and no request waits for one", () => {
  for (const seed of [1, 2, 3]) {
    const baseline = simulate({ connection: 0, seed });
    const affine = simulate({ seed });
    expect(affine.opened * 2 < baseline.opened).toEqual(true);
    expect([affine.waited, baseline.waited]).toEqual([0, 0]);
    expect(affine.fullest < SLOTS).toEqual(true);
  }
});

test("entries reuse them as much where expected finish decides", () => {
  for (const seed of [1, 2, 3]) {
    const baseline = simulate({ seed });
    const stated = simulate({ seed, stated: true });
    expect(stated.opened <= baseline.opened * 1.25).toEqual(true);
    expect(stated.waited).toEqual(0);
  }
});

test("a connection that was idle for too long is not counted", () => {
  const clock = new ManualClock();
  const connections = new IdleConnections({ clock });
  connections.freed("entry-1", "up-1");
  clock.advance(8000);
  expect(connections.has("entry-1", "up-1")).toEqual(true);
  clock.advance(2000);
  expect(connections.has("entry-1", "up-1")).toEqual(false);
});

test("a connection serves one request at a time", () => {
  const connections = new IdleConnections({ clock: new ManualClock() });
  connections.freed("entry-1", "up-1");
  connections.taken("entry-1", "up-1");
  expect(connections.has("entry-1", "up-1")).toEqual(false);
});
