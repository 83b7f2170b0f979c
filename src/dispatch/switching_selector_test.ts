import { expect } from "earl";
import { test } from "node:test";
import { Random } from "../bench/random.ts";
import { ManualClock } from "../kernel/mod.ts";
import { AffinitySelector } from "./affinity_selector.ts";
import { ticket, upstream } from "./fixtures_test.ts";
import { type Demand, Outcome } from "./mod.ts";
import { ShardLeader, type WaitResult } from "./shard_leader.ts";
import { SwitchingSelector } from "./switching_selector.ts";
import { PaceDifference } from "./upstream_paces.ts";
import type { UpstreamSelector } from "./upstream_selector.ts";

const SLOTS = 6;

interface RunningRequest {
  readonly permit: string;
  readonly upstream: string;
  readonly endsAt: number;
}

/** A shard whose upstreams take a given time for each route. */
class Shard {
  readonly clock = new ManualClock();
  readonly leader: ShardLeader;
  readonly durationMs: (upstream: string, route: string) => number;
  running: readonly RunningRequest[] = [];

  constructor(options: {
    ids: readonly string[];
    durationMs: (upstream: string, route: string) => number;
    selector?: (clock: ManualClock) => UpstreamSelector;
    seed?: number;
  }) {
    this.durationMs = options.durationMs;
    const random = new Random({ seed: options.seed ?? 3 });
    this.leader = new ShardLeader({
      clock: this.clock,
      selector: options.selector?.(this.clock) ??
        new SwitchingSelector({
          clock: this.clock,
          random: () => random.next(),
        }),
    });
    this.leader.setUpstreams(
      options.ids.map((id, index) =>
        upstream({ id, slots: SLOTS, availabilityZone: `zone-${index % 3}` })
      ),
    );
    this.clock.advance(10_000);
  }

  /** Lets time pass and releases what has ended. */
  pass(ms: number): void {
    this.clock.advance(ms);
    const now = this.clock.now();
    const over = this.running.filter(({ endsAt }) => endsAt <= now);
    this.running = this.running.filter(({ endsAt }) => endsAt > now);
    for (const { permit } of over) {
      this.leader.release(permit, Outcome.Served, 1);
    }
  }

  /** Asks for a permit; returns the upstream, or `undefined` if none is free. */
  ask(part: Partial<Demand>): string | undefined {
    const asked = ticket(part);
    let answer: WaitResult | undefined;
    this.leader.submit(asked, (given) => answer = given);
    if (answer === undefined || !("permit" in answer)) {
      this.leader.cancel(asked.id);
      return undefined;
    }
    const { permit, upstream: { id } } = answer;
    const endsAt = this.clock.now() + this.durationMs(id, asked.demand.route);
    this.running = [...this.running, { permit, upstream: id, endsAt }];
    return id;
  }

  state(id: string, pacePercent: number): void {
    const load = { running: 0, waiting: 0, slots: SLOTS, pacePercent };
    this.leader.statedHere(id, load);
  }

  get switchedOn(): boolean {
    return this.leader.selection?.expectedFinish ?? false;
  }
}

const IDS = ["up-1", "up-2", "up-3"];

/** Routes whose work differs by 1:20. */
function workMs(route: string): number {
  return route === "long" ? 200 : 10;
}

test("while upstreams are alike, every choice is that of slots in use", () => {
  const choices = (selector?: (clock: ManualClock) => UpstreamSelector) => {
    const random = new Random({ seed: 5 });
    // As uneven as noise makes it, but below what the switch asks for.
    const shard = new Shard({
      ids: IDS,
      selector,
      durationMs: (id, route) =>
        workMs(route) * (id === "up-2" ? 1.2 : 1) * (0.5 + random.next()),
    });
    const chosen: (string | undefined)[] = [];
    const asks = new Random({ seed: 6 });
    for (let count = 0; count < 3000; count++) {
      shard.pass(3 + asks.integerBelow(8));
      const entry = asks.integerBelow(5);
      chosen.push(shard.ask({
        route: asks.next() < 0.2 ? "long" : "short",
        prefixes: [`p-${asks.integerBelow(3)}`, `q-${entry}`],
        avoid: asks.next() < 0.1 ? ["up-1"] : [],
      }));
    }
    return { chosen, switchedOn: shard.switchedOn };
  };
  const expected = choices((clock) => new AffinitySelector({ clock }));
  const actual = choices();
  expect(actual.switchedOn).toEqual(false);
  expect(actual.chosen).toEqual(expected.chosen);
  expect(new Set(actual.chosen).size > 2).toEqual(true);
});

test("with measured paces, long requests leave slow upstreams", () => {
  const shard = new Shard({
    ids: IDS,
    durationMs: (id, route) => workMs(route) * (id === "up-3" ? 2.4 : 1),
  });
  const random = new Random({ seed: 1 });
  const long = new Map<string, number>();
  for (let count = 0; count < 4000; count++) {
    shard.pass(6);
    const route = random.next() < 0.2 ? "long" : "short";
    const id = shard.ask({ route });
    if (count < 2000 || id === undefined || route !== "long") continue;
    long.set(id, (long.get(id) ?? 0) + 1);
  }
  expect(shard.switchedOn).toEqual(true);
  const all = [...long.values()].reduce((a, b) => a + b, 0);
  expect((long.get("up-3") ?? 0) < all * 0.1).toEqual(true);
  expect(shard.leader.selection?.reason).toEqual(
    PaceDifference.Measured,
  );
});

test("many requests at once don't all follow one stale figure", () => {
  const shard = new Shard({ ids: IDS, durationMs: () => 1000 });
  for (const id of IDS) shard.state(id, 100);
  shard.state("up-2", 70);
  const chosen = Array.from({ length: 9 }, () => shard.ask({}));
  expect(shard.switchedOn).toEqual(true);
  const most = Math.max(
    ...IDS.map((id) => chosen.filter((one) => one === id).length),
  );
  expect(most <= 5).toEqual(true);
});

test("leaders that know the same don't all choose the same upstream", () => {
  const ids = Array.from({ length: 8 }, (_, index) => `up-${index}`);
  const chosen = new Set<string | undefined>();
  for (let seed = 1; seed <= 24; seed++) {
    const shard = new Shard({ ids, seed, durationMs: () => 20 });
    for (const id of ids) shard.state(id, 100);
    chosen.add(shard.ask({}));
  }
  expect(chosen.size >= 6).toEqual(true);
});

test("an avoided upstream is used only if no other is free", () => {
  const shard = new Shard({ ids: IDS, durationMs: () => 1000 });
  shard.state("up-1", 20);
  const avoid = ["up-1"];
  const chosen = Array.from({ length: 13 }, () => shard.ask({ avoid }));
  expect(chosen.slice(0, 12).includes("up-1")).toEqual(false);
  expect(chosen[12]).toEqual("up-1");
});

test("without new figures the choice is by slots in use again", () => {
  const shard = new Shard({ ids: IDS, durationMs: () => 20 });
  shard.state("up-1", 300);
  shard.ask({});
  expect(shard.switchedOn).toEqual(true);
  shard.pass(11_000);
  shard.ask({});
  expect(shard.switchedOn).toEqual(false);
});

test("figures of an upstream that is gone are not kept", () => {
  const shard = new Shard({ ids: IDS, durationMs: () => 20 });
  shard.state("up-1", 300);
  shard.leader.setUpstreams([upstream({ id: "up-2" })]);
  shard.state("up-1", 300);
  const known = shard.leader.selection?.upstreams ?? [];
  expect(known.map(({ id, statedPace }) => [id, statedPace])).toEqual([
    ["up-2", undefined],
  ]);
  expect(shard.switchedOn).toEqual(false);
});

test("only served requests are measured, and adopted ones count as work", () => {
  const shard = new Shard({ ids: IDS, durationMs: () => 20 });
  const { demand } = ticket();
  const adopt = (permit: string) =>
    shard.leader.adopt([{
      permit,
      ticket: permit,
      upstream: "up-1",
      entry: "entry-1",
      demand,
      grantedAt: shard.clock.now() - 100,
      isolated: false,
    }]);
  adopt("p");
  const work = () => shard.leader.selection?.upstreams[0];
  expect(work()?.running).toEqual(1);
  expect((work()?.workLeftMs ?? 0) > 0).toEqual(true);
  for (const outcome of [Outcome.Cancelled, Outcome.Broken, Outcome.Refused]) {
    adopt(outcome);
    shard.leader.release(outcome, outcome, 0);
  }
  expect(work()?.measurements).toEqual(0);
  shard.leader.release("p", Outcome.Served, 0);
  expect(work()?.measurements).toEqual(1);
});
