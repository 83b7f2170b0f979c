import { expect } from "earl";
import { test } from "node:test";
import { ManualClock, Reason } from "../kernel/mod.ts";
import { COLD_MS, ColdPlay, SLOTS } from "./cold_load_fixture.ts";
import { ticket, upstream } from "./fixtures_test.ts";
import { ShardLeader, type WaitResult } from "./shard_leader.ts";

const SEEDS = [1, 2, 3];

/** Whether each upstream stayed within the bound while it was cold. */
function expectWithinBound(play: ColdPlay): void {
  for (const { mostInSecond } of play.upstreams) {
    const { bound } = play;
    expect({ mostInSecond, bound, within: mostInSecond <= bound })
      .toEqual({ mostInSecond, bound, within: true });
  }
}

/** A play whose upstreams have just started; its list says so. */
function started(options: { perS?: number; seed?: number }): ColdPlay {
  const play = new ColdPlay(options);
  for (const one of play.upstreams) one.cold(play.now, play.now + COLD_MS);
  play.list({ coldMs: COLD_MS, bornAt: 2 });
  return play;
}

for (const perS of [1, 4, 12, 40]) {
  // Guards against a rate that is exceeded, or not used.
  test(`an upstream with ${perS} a second under 30 entries gets that, and no more`, () => {
    for (const seed of SEEDS) {
      const play = started({ perS, seed });
      play.ask(play.lead(0));
      play.play(COLD_MS);
      expectWithinBound(play);
      const used = play.upstreams[0].arrivedIn(0, COLD_MS) / (COLD_MS / 1000);
      // A bucket of one start loses what accrues until the leader looks again.
      expect(used >= perS * 0.75 && used <= perS).toEqual(true);
    }
  });
}

// Guards against a successor that starts with a second's worth of its own.
test("a leader that is killed and its successor keep the bound together", () => {
  for (const seed of SEEDS) {
    const play = started({ seed });
    let leader = play.lead(0);
    play.ask(leader);
    for (let n = 1; n <= 5; n++) {
      play.play(900);
      play.kill(leader);
      leader = play.lead(n);
      play.ask(leader);
    }
    play.play(1000);
    expectWithinBound(play);
  }
});

// Guards against two leaders that each use the whole rate.
test("a second leader that entries insist on keeps the bound with the first", () => {
  for (const seed of SEEDS) {
    const play = started({ seed });
    play.ask(play.lead(0));
    play.play(1500);
    play.ask(play.lead(1, { isLeader: false }), 15);
    play.play(COLD_MS - 1500);
    expectWithinBound(play);
  }
});

// Guards against a daemon that takes itself for the only one, and leads alone.
test("a daemon cut off with its own leader keeps the bound with the others", () => {
  for (const seed of SEEDS) {
    const play = started({ seed });
    play.ask(play.lead(0, { members: 29 }));
    play.play(1000);
    play.ask(play.lead(29, { members: 1 }), 29);
    play.play(COLD_MS - 1000);
    expectWithinBound(play);
  }
});

// Guards against a full load on an instance that the list doesn't show yet.
test("an upstream that starts anew keeps its pace while the list is late", () => {
  for (const seed of SEEDS) {
    const play = new ColdPlay({ seed });
    const [played] = play.upstreams;
    played.saysCold = false;
    play.ask(play.lead(0));
    play.play(2000);
    played.down = true;
    play.play(600);
    played.down = false;
    played.cold(play.now, play.now + COLD_MS);
    play.play(3000);
    play.list({ coldMs: COLD_MS, bornAt: 2 });
    play.play(COLD_MS);
    expectWithinBound(play);
    expect(played.arrivedIn(2600, 5600) > 10).toEqual(true);
  }
});

// Guards against news in answers that is read too late or not at all.
test("an upstream that becomes cold in full operation keeps the bound", () => {
  for (const workMs of [20, 100, 400]) {
    for (const seed of SEEDS) {
      const play = new ColdPlay({ seed });
      play.upstreams[0].workMs = workMs;
      play.ask(play.lead(0));
      play.play(2000);
      play.upstreams[0].cold(play.now, play.now + COLD_MS);
      play.play(COLD_MS);
      expectWithinBound(play);
    }
  }
});

// Guards against a list whose entries say nothing of the end of an evacuation.
test("a zone that comes back as a whole keeps the bound at each upstream", () => {
  for (const seed of SEEDS) {
    const play = new ColdPlay({ seed, upstreams: 5 });
    for (const one of play.upstreams) one.saysCold = false;
    play.list({ evacuated: true });
    play.play(2000);
    const endedAt = play.now;
    for (const one of play.upstreams) one.cold(endedAt, endedAt + COLD_MS);
    play.play(300);
    play.list({ evacuated: false });
    const leader = play.lead(0);
    play.ask(leader);
    play.play(1500);
    // The successor has learnt of the end when the first leader did.
    play.kill(leader);
    play.ask(play.lead(1));
    play.play(COLD_MS);
    expectWithinBound(play);
  }
});

// Guards against a pace that goes on after the cold time.
test("after the cold time all slots are used again", () => {
  const play = started({});
  play.ask(play.lead(0));
  play.play(COLD_MS + 1000);
  const from = play.now;
  play.play(1000);
  const [{ workMs }] = play.upstreams;
  const most = SLOTS * 1000 / (workMs + 15);
  const used = play.upstreams[0].arrivedIn(from, play.now);
  expect(used > most * 0.6).toEqual(true);
});

/** A leader of one upstream that is cold for so long, and its answers. */
function coldShard(coldMs: number) {
  const clock = new ManualClock();
  const leader = new ShardLeader({ clock });
  const coldStart = { durationMs: 6000, requestsPerS: 4 };
  leader.setUpstreams([upstream({ slots: 30, coldMs, coldStart })]);
  const ask = (remainingMs: number) => {
    const wait: { answer?: WaitResult } = {};
    const queued = { ...ticket({ remainingMs }), queuedAt: clock.now() };
    leader.submit(queued, (answer) => wait.answer = answer);
    return wait;
  };
  return { clock, leader, ask };
}

// Guards against callers that wait until their deadline for nothing.
test("callers are refused at once if the pace leaves them no time", () => {
  const { ask } = coldShard(60_000);
  const waits = Array.from({ length: 10 }, () => ask(2000));
  const refusals = waits.flatMap(({ answer }) =>
    answer && "refusal" in answer ? [answer.refusal] : []
  );
  expect(refusals.length).toEqual(4);
  for (const { reason, retryAfterMs } of refusals) {
    expect([reason, retryAfterMs > 0])
      .toEqual([Reason.UpstreamLimited, true]);
  }
});

// Guards against refusals of callers who can start after the cold time.
test("callers who have time until the end of the cold time are not refused", () => {
  const { ask } = coldShard(500);
  const waits = Array.from({ length: 30 }, () => ask(3000));
  expect(waits.filter(({ answer }) => answer !== undefined)).toEqual([]);
});

// Guards against health checks that come on top of the pace.
test("a health check takes from a cold upstream's starts", () => {
  const { clock, leader, ask } = coldShard(60_000);
  expect(leader.takeStart("up-1")).toEqual(false);
  clock.advance(250);
  expect(leader.takeStart("up-1")).toEqual(true);
  expect(ask(60_000).answer).toEqual(undefined);
});
