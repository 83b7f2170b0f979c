import { expect } from "earl";
import { test } from "node:test";
import { ManualClock, Reason } from "../kernel/mod.ts";
import { Priority } from "../tables/mod.ts";
import { ProbeResult } from "./crash_detector.ts";
import { load, ticket, upstream } from "./fixtures_test.ts";
import { Headroom } from "./headroom.ts";
import { ShardLeader, type WaitResult } from "./shard_leader.ts";
import { type Demand, NO_CRASH_LIMIT, Outcome } from "./mod.ts";
import { Quarantine, RunEnd, Suspicion } from "./quarantine.ts";
import type { Upstream } from "./shards.ts";

const TICK_MS = 100;

function shard(upstreams: readonly Upstream[], headroom?: Headroom) {
  const clock = new ManualClock();
  const quarantine = new Quarantine({ clock });
  const leader = new ShardLeader({ clock, quarantine, headroom });
  leader.setUpstreams(upstreams);
  const ask = (part: Partial<Demand> = {}) => {
    const wait: { answer?: WaitResult } = {};
    leader.submit(ticket(part), (answer) => wait.answer = answer);
    return wait;
  };
  return { clock, quarantine, leader, ask };
}

/** Lets time pass with the ticks of a running daemon. */
function pass(leader: ShardLeader, clock: ManualClock, ms: number): void {
  for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
    clock.advance(TICK_MS);
    leader.tick();
  }
}

/** Records that a request ran beside others on an upstream that crashed. */
function suspect(
  quarantine: Quarantine,
  fingerprint: string,
  part: { upstream?: string; ranMs?: number; isolated?: boolean } = {},
): void {
  const { upstream = "up-0", ranMs = 10, isolated = false } = part;
  const permit = `${fingerprint}@${upstream}`;
  const run = { permit, upstream, ranMs, isolated, end: RunEnd.Crashed };
  quarantine.record(fingerprint, run);
}

function permit(wait: { answer?: WaitResult }): string {
  return wait.answer && "permit" in wait.answer ? wait.answer.permit : "";
}

function upstreamOf(wait: { answer?: WaitResult }): string {
  return wait.answer && "permit" in wait.answer ? wait.answer.upstream.id : "";
}

function reason(wait: { answer?: WaitResult }): Reason | undefined {
  return wait.answer && "refusal" in wait.answer
    ? wait.answer.refusal.reason
    : undefined;
}

test("a wait that is cancelled is answered", () => {
  const { leader } = shard([upstream({ slots: 1 })]);
  leader.submit(ticket({}), () => {});
  const wait: { answer?: WaitResult } = {};
  const second = ticket({});
  leader.submit(second, (answer) => wait.answer = answer);
  expect(leader.cancel(second.id)).toEqual(true);
  expect(reason(wait)).toEqual(Reason.Cancelled);
  expect(leader.cancel(second.id)).toEqual(false);
});

test("a permit that is not renewed expires", () => {
  const { clock, leader, ask } = shard([upstream({ slots: 1 })]);
  ask();
  const second = ask();
  pass(leader, clock, 4900);
  expect(upstreamOf(second)).toEqual("");
  pass(leader, clock, 1100);
  expect(upstreamOf(second)).toEqual("up-1");
});

test("a leader that was paused does not grant the slots in use again", () => {
  const { clock, leader, ask } = shard([upstream({ slots: 1 })]);
  const first = ask();
  const second = ask();
  pass(leader, clock, 1000);
  clock.advance(6000);
  leader.tick();
  expect(upstreamOf(second)).toEqual("");
  expect(leader.renew([permit(first)])).toEqual([]);
  pass(leader, clock, 5200);
  expect(upstreamOf(second)).toEqual("up-1");
});

test("a request whose deadline passes while it waits is refused", () => {
  const { clock, leader, ask } = shard([upstream({ slots: 1 })]);
  ask();
  const second = ask({ remainingMs: 100 });
  clock.advance(100);
  leader.tick();
  expect(reason(second)).toEqual(Reason.DeadlineExceeded);
});

test("a wait with too little time left for a whole answer is refused", () => {
  const { clock, leader, ask } = shard([upstream({ slots: 1 })]);
  const first = ask();
  clock.advance(1000);
  leader.release(permit(first), Outcome.Served, 10);
  ask();
  const second = ask({ remainingMs: 6000 });
  clock.advance(3900);
  leader.tick();
  expect(reason(second)).toEqual(undefined);
  clock.advance(200);
  leader.tick();
  expect(reason(second)).toEqual(Reason.DeadlineTooShort);
});

test("reported requests beyond our permits occupy slots", () => {
  const { leader, ask } = shard([upstream()]);
  leader.probed("up-1", ProbeResult.Alive, load({ running: 2 }));
  leader.probed("up-1", ProbeResult.Alive, load({ running: 2 }));
  expect(upstreamOf(ask())).toEqual("");
});

test("a request waits for the weight version that it needs", () => {
  const { leader, ask } = shard([upstream()]);
  const wait = ask({ minVersion: 2 });
  leader.probed("up-1", ProbeResult.Alive, load({ weightVersion: 1 }));
  expect(upstreamOf(wait)).toEqual("");
  leader.probed("up-1", ProbeResult.Alive, load({ weightVersion: 2 }));
  expect(upstreamOf(wait)).toEqual("up-1");
});

test("a slot is reserved after earlier interactive requests", () => {
  const { leader, ask } = shard([upstream({ slots: 4 })], new Headroom());
  const urgent = ask({ priority: Priority.Interactive });
  leader.release(permit(urgent), Outcome.Served, 100);
  const batch = [1, 2, 3, 4].map(() => ask({ priority: Priority.Batch }));
  expect(batch.map(upstreamOf)).toEqual(["up-1", "up-1", "up-1", ""]);
  expect(upstreamOf(ask({ priority: Priority.Interactive }))).toEqual("up-1");
});

test("a crash makes suspects, which run isolated next", () => {
  const { leader, ask, quarantine } = shard([
    upstream({ id: "up-1" }),
    upstream({ id: "up-2", availabilityZone: "zone-2" }),
  ]);
  const first = ask({ fingerprint: "bad" });
  leader.probed(upstreamOf(first), ProbeResult.Alive, load());
  leader.release(permit(first), Outcome.Broken, 0);
  leader.probed("up-1", ProbeResult.Gone);
  expect(quarantine.suspicion("bad")).toEqual(Suspicion.Suspect);
  const again = ask({ fingerprint: "bad", exclude: ["up-1"] });
  expect(upstreamOf(again)).toEqual("up-2");
  expect(upstreamOf(ask({ exclude: ["up-1"] }))).toEqual("");
  leader.release(permit(again), Outcome.Broken, 0);
  expect(reason(ask({ fingerprint: "bad" }))).toEqual(Reason.Quarantined);
});

test("a suspect that ran isolated for long shares its upstream again", () => {
  const { clock, leader, ask, quarantine } = shard([upstream()]);
  suspect(quarantine, "maybe", { ranMs: 100 });
  ask({ fingerprint: "maybe" });
  const beside = ask();
  expect(upstreamOf(beside)).toEqual("");
  clock.advance(1000);
  leader.tick();
  expect(upstreamOf(beside)).toEqual("up-1");
  expect(quarantine.crashes("maybe")).toEqual(1);
});

test("equal requests start on one upstream until one has run a while", () => {
  const { clock, leader, ask } = shard([
    upstream({ id: "up-1" }),
    upstream({ id: "up-2" }),
  ]);
  const waits = [1, 2, 3].map(() => ask({ fingerprint: "group" }));
  expect(waits.map(upstreamOf)).toEqual(["up-1", "up-1", ""]);
  clock.advance(1000);
  leader.tick();
  expect(upstreamOf(waits[2])).toEqual("up-2");
});

test("equal suspects run one at a time until one is served", () => {
  const { leader, ask, quarantine } = shard(upstreams(6));
  suspect(quarantine, "maybe", { upstream: "gone" });
  const waits = [1, 2, 3].map(() => ask({ fingerprint: "maybe" }));
  const granted = () => waits.filter((wait) => upstreamOf(wait) !== "");
  expect(granted().length).toEqual(1);
  expect(upstreamOf(ask())).not.toEqual("");
  leader.release(permit(waits[0]), Outcome.Served, 10);
  expect(granted().length).toEqual(3);
});

test("a suspect whose upstream answers with a failure stays suspected", () => {
  const { leader, ask, quarantine } = shard([upstream()]);
  suspect(quarantine, "maybe");
  const alone = ask({ fingerprint: "maybe" });
  leader.release(permit(alone), Outcome.Failed, 0);
  expect(quarantine.suspicion("maybe")).toEqual(Suspicion.Suspect);
});

test("a run that began before a crash doesn't clear its request when served", () => {
  const { clock, leader, ask, quarantine } = shard(upstreams(2));
  const earlier = ask({ fingerprint: "maybe" });
  clock.advance(10);
  suspect(quarantine, "maybe", { upstream: "up-1" });
  leader.release(permit(earlier), Outcome.Served, 10);
  expect(quarantine.suspicion("maybe")).toEqual(Suspicion.Suspect);
});

/** One run of "bad" that ends with its upstream silent for `silentMs`. */
function silentRun(silentMs: number, part: Partial<Demand> = {}) {
  const fixture = shard(upstreams(2));
  const { clock, leader, ask, quarantine } = fixture;
  const bad = ask({ fingerprint: "bad", ...part });
  clock.advance(1000 - silentMs);
  leader.probed(upstreamOf(bad), ProbeResult.Alive, load());
  clock.advance(silentMs);
  leader.release(permit(bad), Outcome.Cancelled, 0);
  return { ...fixture, bad, suspicion: () => quarantine.suspicion("bad") };
}

test("a request without an answer is suspected if its upstream was silent", () => {
  expect(silentRun(700).suspicion()).toEqual(Suspicion.Suspect);
  expect(silentRun(200).suspicion()).toEqual(Suspicion.None);
});

test("owed work without an answer is not suspected", () => {
  const part = { crashLimit: NO_CRASH_LIMIT };
  expect(silentRun(700, part).suspicion()).toEqual(Suspicion.None);
});

test("silence of all upstreams suspects nobody, as this daemon may be cut off", () => {
  const { clock, leader, ask, quarantine } = shard(upstreams(2));
  const wait = ask({ fingerprint: "bad" });
  clock.advance(1000);
  leader.release(permit(wait), Outcome.Silent, 0);
  expect(quarantine.suspicion("bad")).toEqual(Suspicion.None);
  clock.advance(3000);
  leader.probed("up-1", ProbeResult.Alive, load());
  expect(quarantine.suspicion("bad")).toEqual(Suspicion.None);
});

test("an unanswered run whose upstream is then found gone counts as a crash", () => {
  const { leader, bad, quarantine } = silentRun(700);
  leader.probed(upstreamOf(bad), ProbeResult.Gone);
  expect(quarantine.finding("bad")?.runs.map(({ end }) => end))
    .toEqual([RunEnd.Crashed]);
});

test("an upstream that accepts connections may be the successor of a crashed one", () => {
  const { leader, ask, quarantine } = shard(upstreams(2));
  const bad = ask({ fingerprint: "bad" });
  leader.release(permit(bad), Outcome.Broken, 0);
  leader.probed(upstreamOf(bad), ProbeResult.Reachable);
  leader.probed(upstreamOf(bad), ProbeResult.NotAsked);
  expect(quarantine.suspicion("bad")).toEqual(Suspicion.Suspect);
});

test("a late answer doesn't show that an upstream survived its only request", () => {
  const { clock, leader, ask, quarantine } = shard(upstreams(2));
  const bad = ask({ fingerprint: "bad" });
  leader.release(permit(bad), Outcome.Broken, 0);
  clock.advance(1500);
  leader.probed(upstreamOf(bad), ProbeResult.Alive, load());
  clock.advance(3000);
  leader.tick();
  leader.probed(upstreamOf(bad), ProbeResult.Alive, load());
  expect(quarantine.suspicion("bad")).toEqual(Suspicion.Suspect);
});

test("an upstream that answers after a long silence may have been restarted", () => {
  const { clock, leader, ask, quarantine } = shard(upstreams(2));
  const bad = ask({ fingerprint: "bad" });
  clock.advance(600);
  leader.release(permit(bad), Outcome.Broken, 0);
  leader.probed(upstreamOf(bad), ProbeResult.Alive, load());
  expect(quarantine.suspicion("bad")).toEqual(Suspicion.Suspect);
});

test("a connection broken long after the last answer is explained by what runs on", () => {
  const { clock, leader, ask, quarantine } = shard([upstream()]);
  const broken = ask({ fingerprint: "unlucky" });
  ask();
  clock.advance(600);
  leader.release(permit(broken), Outcome.Broken, 0);
  leader.probed("up-1", ProbeResult.Alive, load());
  expect(quarantine.suspicion("unlucky")).toEqual(Suspicion.Suspect);
  clock.advance(500);
  leader.probed("up-1", ProbeResult.Alive, load());
  expect(quarantine.suspicion("unlucky")).toEqual(Suspicion.None);
});

test("a request that crashes all upstreams of a shard stays suspected", () => {
  const { leader, ask, quarantine } = shard(upstreams(3));
  const names = ["up-0", "up-1", "up-2"];
  for (const exclude of names.map((own) => names.filter((id) => id !== own))) {
    const run = ask({ fingerprint: "bad", exclude });
    if (permit(run) !== "") leader.release(permit(run), Outcome.Broken, 0);
    leader.probed(upstreamOf(run), ProbeResult.Gone);
  }
  expect(quarantine.suspicion("bad")).toEqual(Suspicion.Quarantined);
});

test("a new leader knows which of the runs that it adopts were isolated", () => {
  const { leader, ask, quarantine } = shard(upstreams(2));
  const adopted = (fingerprint: string, isolated: boolean) => ({
    permit: fingerprint,
    ticket: fingerprint,
    upstream: "up-0",
    entry: "entry-1",
    demand: ticket({ fingerprint }).demand,
    grantedAt: 0,
    isolated,
  });
  leader.adopt([adopted("alone", true), adopted("beside", false)]);
  for (const name of ["alone", "beside"]) {
    suspect(quarantine, name, { upstream: "gone" });
    leader.release(name, Outcome.Broken, 0);
  }
  expect(quarantine.suspicion("alone")).toEqual(Suspicion.Quarantined);
  expect(quarantine.suspicion("beside")).toEqual(Suspicion.Suspect);
  expect(reason(ask({ fingerprint: "alone" }))).toEqual(Reason.Quarantined);
});

test("a request that never reached a crashed upstream isn't suspected", () => {
  const { leader, ask, quarantine } = shard([upstream()]);
  const late = ask({ fingerprint: "late" });
  leader.probed("up-1", ProbeResult.Gone);
  leader.release(permit(late), Outcome.Unreachable, 0);
  expect(quarantine.suspicion("late")).toEqual(Suspicion.None);
});

test("a suspect that is served is cleared", () => {
  const { leader, ask, quarantine } = shard([upstream()]);
  suspect(quarantine, "maybe");
  const alone = ask({ fingerprint: "maybe" });
  leader.release(permit(alone), Outcome.Served, 10);
  expect(quarantine.suspicion("maybe")).toEqual(Suspicion.None);
});

/** Upstreams of one shard, each in its own availability zone. */
function upstreams(count: number): readonly Upstream[] {
  return Array.from(
    { length: count },
    (_, n) => upstream({ id: `up-${n}`, availabilityZone: `zone-${n}` }),
  );
}

/** Findings as after a crash beside other requests and an isolated one. */
function quarantineAll(
  quarantine: Quarantine,
  fingerprints: readonly string[],
): void {
  for (const fingerprint of fingerprints) {
    suspect(quarantine, fingerprint, { upstream: "gone" });
    suspect(quarantine, fingerprint, { upstream: "gone-too", isolated: true });
  }
}

test("owed work that is quarantined runs isolated after its back-off", () => {
  const { clock, leader, ask, quarantine } = shard(upstreams(1));
  quarantineAll(quarantine, ["owed"]);
  const owed = ask({ fingerprint: "owed", crashLimit: NO_CRASH_LIMIT });
  expect(owed.answer).toEqual(undefined);
  clock.advance(500);
  leader.tick();
  expect(upstreamOf(owed)).toEqual("up-0");
  const beside = ask();
  expect(upstreamOf(beside)).toEqual("");
  leader.release(permit(owed), Outcome.Served, 10);
  expect(quarantine.suspicion("owed")).toEqual(Suspicion.None);
  expect(upstreamOf(beside)).toEqual("up-0");
});

test("requests behind many quarantined ones start without them", () => {
  const { leader, ask, quarantine } = shard(upstreams(3));
  const names = Array.from({ length: 20 }, (_, n) => `owed-${n}`);
  quarantineAll(quarantine, names);
  for (const fingerprint of names) {
    ask({ fingerprint, crashLimit: NO_CRASH_LIMIT });
  }
  expect(upstreamOf(ask())).not.toEqual("");
  leader.tick();
  expect(upstreamOf(ask())).not.toEqual("");
});

test("quarantined requests and what they crash take a third of a shard", () => {
  const { clock, leader, ask, quarantine } = shard(upstreams(9));
  const names = Array.from({ length: 20 }, (_, n) => `owed-${n}`);
  quarantineAll(quarantine, names);
  const waits = names.map((fingerprint) =>
    ask({ fingerprint, crashLimit: NO_CRASH_LIMIT })
  );
  const granted = () => waits.filter((wait) => upstreamOf(wait) !== "");
  clock.advance(500);
  leader.tick();
  expect(granted().length).toEqual(3);
  for (const wait of granted()) {
    leader.release(permit(wait), Outcome.Broken, 0);
    leader.probed(upstreamOf(wait), ProbeResult.Gone);
  }
  clock.advance(900);
  leader.tick();
  expect(granted().length).toEqual(3);
  leader.probed(upstreamOf(granted()[0]), ProbeResult.Alive, load());
  expect(granted().length).toEqual(4);
  clock.advance(200);
  leader.tick();
  expect(granted().length).toEqual(6);
});

test("a poison item in a small shard leaves other owed items a turn", () => {
  const { clock, leader, ask, quarantine } = shard(upstreams(2));
  quarantineAll(quarantine, ["poison"]);
  for (let crash = 0; crash < 4; crash++) {
    suspect(quarantine, "poison", {
      upstream: `gone-${crash}`,
      isolated: true,
    });
    clock.advance(3000);
  }
  quarantineAll(quarantine, ["owed"]);
  const part = { crashLimit: NO_CRASH_LIMIT };
  const poison = ask({ ...part, fingerprint: "poison" });
  expect(upstreamOf(poison)).not.toEqual("");
  leader.release(permit(poison), Outcome.Broken, 0);
  ask({ ...part, fingerprint: "poison" });
  const owed = ask({ ...part, fingerprint: "owed" });
  clock.advance(900);
  leader.tick();
  expect(upstreamOf(owed)).toEqual("");
  clock.advance(200);
  leader.tick();
  expect(upstreamOf(owed)).not.toEqual("");
});

test("a request that waits while its fingerprint is quarantined is refused", () => {
  const { leader, ask, quarantine } = shard([upstream({ slots: 1 })]);
  ask();
  const waiting = ask({ fingerprint: "bad" });
  quarantineAll(quarantine, ["bad"]);
  leader.tick();
  expect(reason(waiting)).toEqual(Reason.Quarantined);
});

test("one broken connection beside a running request suspects nobody", () => {
  const { leader, ask, quarantine } = shard([upstream()]);
  const first = ask({ fingerprint: "unlucky" });
  ask();
  leader.release(permit(first), Outcome.Broken, 0);
  leader.probed("up-1", ProbeResult.Alive, load());
  expect(quarantine.suspicion("unlucky")).toEqual(Suspicion.None);
});

test("a release that crosses a crash doesn't clear what caused it", () => {
  const { leader, ask, quarantine } = shard([upstream({ slots: 3 })]);
  const finished = ask();
  ask();
  const bad = ask({ fingerprint: "bad" });
  leader.release(permit(bad), Outcome.Broken, 0);
  leader.release(permit(finished), Outcome.Served, 10);
  leader.probed("up-1", ProbeResult.Gone);
  expect(quarantine.suspicion("bad")).toEqual(Suspicion.Suspect);
});

test("a connection broken beside a served request suspects nobody", () => {
  const { leader, ask, quarantine } = shard([upstream()]);
  const broken = ask({ fingerprint: "unlucky" });
  const served = ask({ fingerprint: "served" });
  leader.release(permit(broken), Outcome.Broken, 0);
  leader.release(permit(served), Outcome.Served, 10);
  leader.probed("up-1", ProbeResult.Alive, load());
  expect(["unlucky", "served"].map((one) => quarantine.suspicion(one)))
    .toEqual([Suspicion.None, Suspicion.None]);
});

/** Two upstreams crash, each with its own request. */
function crashTogether(reclaimable: boolean) {
  const { leader, ask, quarantine } = shard([
    upstream({ id: "up-1", slots: 1, reclaimable }),
    upstream({ id: "up-2", slots: 1, reclaimable }),
    upstream({ id: "up-3", availabilityZone: "zone-2", reclaimable }),
  ]);
  const waits = ["x", "y"].map((fingerprint) =>
    ask({ fingerprint, exclude: ["up-3"] })
  );
  for (const wait of waits) {
    leader.release(permit(wait), Outcome.Broken, 0);
    leader.probed(upstreamOf(wait), ProbeResult.Gone);
  }
  return ["x", "y"].map((fingerprint) => quarantine.suspicion(fingerprint));
}

test("no request is suspected when an availability zone is reclaimed", () => {
  expect(crashTogether(true)).toEqual([Suspicion.None, Suspicion.None]);
});

test("two requests that crash upstreams at once are still suspected", () => {
  expect(crashTogether(false)).toEqual([Suspicion.Suspect, Suspicion.Suspect]);
});

test("what ran on a lost upstream is suspected, even if not reported", () => {
  const { leader, ask, quarantine } = shard([upstream()]);
  ask({ fingerprint: "unreported" });
  leader.probed("up-1", ProbeResult.Gone);
  expect(quarantine.suspicion("unreported")).toEqual(Suspicion.Suspect);
});

test("failures to connect open the circuit until a report is read", () => {
  const { leader, ask } = shard([upstream({ slots: 8 })]);
  for (let failure = 0; failure < 3; failure++) {
    leader.release(permit(ask()), Outcome.Unreachable, 0);
  }
  const wait = ask();
  expect(upstreamOf(wait)).toEqual("");
  leader.probed("up-1", ProbeResult.Alive, load({ slots: 8 }));
  expect(upstreamOf(wait)).toEqual("up-1");
});

test("an upstream that was not asked doesn't close its circuit", () => {
  const { leader, ask } = shard([upstream({ slots: 8 })]);
  for (let failure = 0; failure < 3; failure++) {
    leader.release(permit(ask()), Outcome.Unreachable, 0);
  }
  const wait = ask();
  leader.probed("up-1", ProbeResult.NotAsked);
  expect(upstreamOf(wait)).toEqual("");
  expect(leader.isTripped("up-1")).toEqual(true);
  leader.probed("up-1", ProbeResult.Reachable);
  expect(upstreamOf(wait)).toEqual("up-1");
});

test("an upstream that refused a model gets none of it for a while", () => {
  const { clock, leader, ask } = shard([
    upstream({ id: "up-1", weightVersions: { m: 1, n: 1 } }),
    upstream({ id: "up-2", weightVersions: { m: 1, n: 1 } }),
  ]);
  const first = ask({ model: "m" });
  const loading = upstreamOf(first);
  leader.release(permit(first), Outcome.Refused, 0);
  const next = [ask({ model: "m" }), ask({ model: "m" })];
  expect(next.map(upstreamOf).includes(loading)).toEqual(false);
  expect(upstreamOf(ask({ model: "n" }))).toEqual(loading);
  const waits = ask({ model: "m" });
  expect(upstreamOf(waits)).toEqual("");
  clock.advance(300);
  leader.tick();
  expect(upstreamOf(waits)).toEqual(loading);
});

test("a request goes only where its model has the minimum version", () => {
  const { ask } = shard([
    upstream({ id: "up-1", weightVersions: { m: 1, n: 5 } }),
    upstream({ id: "up-2", weightVersions: { m: 3, n: 1 } }),
  ]);
  expect(upstreamOf(ask({ model: "m", minVersion: 2 }))).toEqual("up-2");
  expect(upstreamOf(ask({ model: "n", minVersion: 2 }))).toEqual("up-1");
});

test("the capacity of a model leaves out an engine while its weights load", () => {
  const { clock, leader, ask } = shard([
    upstream({ weightVersions: { m: 1, n: 1 } }),
  ]);
  const reported = { weightVersions: { m: 1, n: 1 } };
  leader.release(permit(ask({ model: "m" })), Outcome.Refused, 0);
  leader.probed("up-1", ProbeResult.Alive, load({ ...reported, busy: true }));
  clock.advance(900);
  expect(leader.modelCapacities().m.versions).toEqual([]);
  expect(leader.modelCapacities().n.versions).toEqual([[1, 2, 0]]);
  leader.probed("up-1", ProbeResult.Alive, load(reported));
  expect(leader.modelCapacities().m.versions).toEqual([[1, 2, 0]]);
});

test("the capacity of a model leaves out an engine that is only tried", () => {
  const { clock, leader, ask } = shard([upstream({ slots: 8 })]);
  leader.setUpstreams([upstream({ slots: 8, weightVersions: { m: 1 } })]);
  for (let failure = 0; failure < 3; failure++) {
    leader.release(permit(ask({ model: "m" })), Outcome.Broken, 0);
  }
  clock.advance(1000);
  expect(leader.pressure().slots).toEqual(8);
  expect(leader.modelCapacities()).toEqual({});
});

test("a model's name that objects inherit spoils no message", () => {
  const { leader, ask } = shard([
    upstream({ slots: 1, weightVersions: { m: 1 } }),
  ]);
  ask({ model: "constructor" });
  ask({ model: "constructor" });
  expect(Object.entries(leader.pressure().models ?? {}))
    .toEqual([["constructor", 2]]);
  expect(Object.keys(leader.modelCapacities())).toEqual(["m"]);
});

test("requests that wait for weights don't hold back those of other models", () => {
  const { ask } = shard([
    upstream({ id: "up-1", slots: 1, weightVersions: { m: 1, n: 1 } }),
    upstream({ id: "up-2", slots: 4, weightVersions: { m: 0, n: 1 } }),
  ]);
  for (let n = 0; n < 20; n++) {
    ask({ model: "m", minVersion: 1, startInMs: -1000 });
  }
  expect(upstreamOf(ask({ model: "n", minVersion: 1, startInMs: 1000 })))
    .toEqual("up-2");
});

test("an upstream's reports are read often while its state changes", () => {
  const { clock, leader, ask } = shard([upstream({ slots: 2 })]);
  const report = (busy: boolean) =>
    leader.probed(
      "up-1",
      ProbeResult.Alive,
      load({ busy, weightVersions: { m: 2 } }),
    );
  expect(leader.isSteady("up-1")).toEqual(false);
  report(false);
  expect(leader.isSteady("up-1")).toEqual(true);
  report(true);
  expect(leader.isSteady("up-1")).toEqual(false);
  report(false);
  const refused = permit(ask({ model: "m", minVersion: 1 }));
  leader.release(refused, Outcome.Refused, 0);
  expect(leader.isSteady("up-1")).toEqual(false);
  clock.advance(1000);
  expect(leader.isSteady("up-1")).toEqual(true);
  leader.probed("up-1", ProbeResult.Silent);
  leader.probed("up-1", ProbeResult.Silent);
  leader.probed("up-1", ProbeResult.Silent);
  expect(leader.isSteady("up-1")).toEqual(false);
});
