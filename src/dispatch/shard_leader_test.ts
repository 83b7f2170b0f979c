import { expect } from "earl";
import { test } from "node:test";
import { ManualClock, Reason } from "../kernel/mod.ts";
import { Priority } from "../tables/mod.ts";
import { ProbeResult } from "./crash_detector.ts";
import { load, ticket, upstream } from "./fixtures_test.ts";
import { Headroom } from "./headroom.ts";
import { ShardLeader, type WaitResult } from "./shard_leader.ts";
import { type Demand, Outcome } from "./mod.ts";
import { Quarantine, Suspicion } from "./quarantine.ts";
import type { Upstream } from "./shards.ts";

function shard(upstreams: readonly Upstream[], headroom?: Headroom) {
  const clock = new ManualClock();
  const quarantine = new Quarantine({ clock });
  const keeper = new ShardLeader({ clock, quarantine, headroom });
  keeper.setUpstreams(upstreams);
  const ask = (part: Partial<Demand> = {}) => {
    const wait: { answer?: WaitResult } = {};
    keeper.submit(ticket(part), (answer) => wait.answer = answer);
    return wait;
  };
  return { clock, quarantine, keeper, ask };
}

function permit(wait: { answer?: WaitResult }): string {
  return wait.answer && "permit" in wait.answer ? wait.answer.permit : "";
}

function place(wait: { answer?: WaitResult }): string {
  return wait.answer && "permit" in wait.answer ? wait.answer.upstream.id : "";
}

function reason(wait: { answer?: WaitResult }): Reason | undefined {
  return wait.answer && "refusal" in wait.answer
    ? wait.answer.refusal.reason
    : undefined;
}

test("a permit that is not renewed comes back", () => {
  const { clock, keeper, ask } = shard([upstream({ slots: 1 })]);
  ask();
  const second = ask();
  clock.advance(6000);
  keeper.tick();
  expect(place(second)).toEqual("up-1");
});

test("a request whose deadline passes while it waits is refused", () => {
  const { clock, keeper, ask } = shard([upstream({ slots: 1 })]);
  ask();
  const second = ask({ remainingMs: 100 });
  clock.advance(100);
  keeper.tick();
  expect(reason(second)).toEqual(Reason.DeadlineExceeded);
});

test("a wait that could only end in part of an answer is refused", () => {
  const { clock, keeper, ask } = shard([upstream({ slots: 1 })]);
  const first = ask();
  clock.advance(1000);
  keeper.release(permit(first), Outcome.Served, 10);
  ask();
  const second = ask({ remainingMs: 6000 });
  clock.advance(3900);
  keeper.tick();
  expect(reason(second)).toEqual(undefined);
  clock.advance(200);
  keeper.tick();
  expect(reason(second)).toEqual(Reason.DeadlineTooShort);
});

test("what the report tells beyond our permits takes slots", () => {
  const { keeper, ask } = shard([upstream()]);
  keeper.probed("up-1", ProbeResult.Alive, load({ running: 2 }));
  keeper.probed("up-1", ProbeResult.Alive, load({ running: 2 }));
  expect(place(ask())).toEqual("");
});

test("a request waits for the weight version that it needs", () => {
  const { keeper, ask } = shard([upstream()]);
  const wait = ask({ minVersion: 2 });
  keeper.probed("up-1", ProbeResult.Alive, load({ weightVersion: 1 }));
  expect(place(wait)).toEqual("");
  keeper.probed("up-1", ProbeResult.Alive, load({ weightVersion: 2 }));
  expect(place(wait)).toEqual("up-1");
});

test("a slot stays free for the interactive requests of before", () => {
  const { keeper, ask } = shard([upstream({ slots: 4 })], new Headroom());
  const urgent = ask({ priority: Priority.Interactive });
  keeper.release(permit(urgent), Outcome.Served, 100);
  const batch = [1, 2, 3, 4].map(() => ask({ priority: Priority.Batch }));
  expect(batch.map(place)).toEqual(["up-1", "up-1", "up-1", ""]);
  expect(place(ask({ priority: Priority.Interactive }))).toEqual("up-1");
});

test("a crash makes suspects, which run alone next", () => {
  const { keeper, ask, quarantine } = shard([
    upstream({ id: "up-1" }),
    upstream({ id: "up-2", availabilityZone: "zone-2" }),
  ]);
  const first = ask({ fingerprint: "bad" });
  keeper.probed(place(first), ProbeResult.Alive, load());
  keeper.release(permit(first), Outcome.Broken, 0);
  keeper.probed("up-1", ProbeResult.Gone);
  expect(quarantine.suspicion("bad")).toEqual(Suspicion.Suspect);
  const again = ask({ fingerprint: "bad", exclude: ["up-1"] });
  expect(place(again)).toEqual("up-2");
  expect(place(ask({ exclude: ["up-1"] }))).toEqual("");
  keeper.release(permit(again), Outcome.Broken, 0);
  expect(reason(ask({ fingerprint: "bad" }))).toEqual(Reason.Quarantined);
});

test("a suspect that outlives its crash alone shares its upstream again", () => {
  const { clock, keeper, ask, quarantine } = shard([upstream()]);
  quarantine.suspect("maybe", { upstream: "up-0", ranMs: 100 });
  ask({ fingerprint: "maybe" });
  const beside = ask();
  expect(place(beside)).toEqual("");
  clock.advance(1000);
  keeper.tick();
  expect(place(beside)).toEqual("up-1");
  expect(quarantine.suspicion("maybe")).toEqual(Suspicion.None);
});

test("equal requests start on one upstream until one has run a while", () => {
  const { clock, keeper, ask } = shard([
    upstream({ id: "up-1" }),
    upstream({ id: "up-2" }),
  ]);
  const waits = [1, 2, 3].map(() => ask({ fingerprint: "group" }));
  expect(waits.map(place)).toEqual(["up-1", "up-1", ""]);
  clock.advance(1000);
  keeper.tick();
  expect(place(waits[2])).toEqual("up-2");
});

test("a suspect that is served is cleared", () => {
  const { keeper, ask, quarantine } = shard([upstream()]);
  quarantine.suspect("maybe", { upstream: "up-0", ranMs: 10 });
  const alone = ask({ fingerprint: "maybe" });
  keeper.release(permit(alone), Outcome.Served, 10);
  expect(quarantine.suspicion("maybe")).toEqual(Suspicion.None);
});

test("one broken connection beside a running request blames nobody", () => {
  const { keeper, ask, quarantine } = shard([upstream()]);
  const first = ask({ fingerprint: "unlucky" });
  ask();
  keeper.release(permit(first), Outcome.Broken, 0);
  keeper.probed("up-1", ProbeResult.Alive, load());
  expect(quarantine.suspicion("unlucky")).toEqual(Suspicion.None);
});

/** Two upstreams fall, each with a request of its own. */
function fallTogether(reclaimable: boolean) {
  const { keeper, ask, quarantine } = shard([
    upstream({ id: "up-1", slots: 1, reclaimable }),
    upstream({ id: "up-2", slots: 1, reclaimable }),
    upstream({ id: "up-3", availabilityZone: "zone-2", reclaimable }),
  ]);
  const waits = ["x", "y"].map((fingerprint) =>
    ask({ fingerprint, exclude: ["up-3"] })
  );
  for (const wait of waits) {
    keeper.release(permit(wait), Outcome.Broken, 0);
    keeper.probed(place(wait), ProbeResult.Gone);
  }
  return ["x", "y"].map((fingerprint) => quarantine.suspicion(fingerprint));
}

test("an availability zone that is reclaimed blames nobody", () => {
  expect(fallTogether(true)).toEqual([Suspicion.None, Suspicion.None]);
});

test("two requests that crash upstreams at once are not taken for it", () => {
  expect(fallTogether(false)).toEqual([Suspicion.Suspect, Suspicion.Suspect]);
});

test("what ran on an upstream that is gone is suspected, told or not", () => {
  const { keeper, ask, quarantine } = shard([upstream()]);
  ask({ fingerprint: "untold" });
  keeper.probed("up-1", ProbeResult.Gone);
  expect(quarantine.suspicion("untold")).toEqual(Suspicion.Suspect);
});

test("failures to connect open the circuit until a report is read", () => {
  const { keeper, ask } = shard([upstream({ slots: 8 })]);
  for (let failure = 0; failure < 3; failure++) {
    keeper.release(permit(ask()), Outcome.Unreachable, 0);
  }
  const wait = ask();
  expect(place(wait)).toEqual("");
  keeper.probed("up-1", ProbeResult.Alive, load({ slots: 8 }));
  expect(place(wait)).toEqual("up-1");
});

test("an upstream that refused a model's request gets none for a while", () => {
  const { clock, keeper, ask } = shard([
    upstream({ id: "up-1", weightVersions: { m: 1, n: 1 } }),
    upstream({ id: "up-2", weightVersions: { m: 1, n: 1 } }),
  ]);
  const first = ask({ model: "m" });
  const loading = place(first);
  keeper.release(permit(first), Outcome.Refused, 0);
  const next = [ask({ model: "m" }), ask({ model: "m" })];
  expect(next.map(place).includes(loading)).toEqual(false);
  expect(place(ask({ model: "n" }))).toEqual(loading);
  const waits = ask({ model: "m" });
  expect(place(waits)).toEqual("");
  clock.advance(300);
  keeper.tick();
  expect(place(waits)).toEqual(loading);
});

test("a request goes only where its model's version will do", () => {
  const { ask } = shard([
    upstream({ id: "up-1", weightVersions: { m: 1, n: 5 } }),
    upstream({ id: "up-2", weightVersions: { m: 3, n: 1 } }),
  ]);
  expect(place(ask({ model: "m", minVersion: 2 }))).toEqual("up-2");
  expect(place(ask({ model: "n", minVersion: 2 }))).toEqual("up-1");
});
