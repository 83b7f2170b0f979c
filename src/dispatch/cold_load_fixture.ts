/**
 * Plays a full load on upstreams that are cold at times: entries that ask leaders
 * for permits and use them, without a network and on a manual clock.
 *
 * @module
 */

import { ManualClock } from "../kernel/mod.ts";
import { Random } from "../bench/random.ts";
import { ColdPeriods } from "./cold_periods.ts";
import { ticket, upstream } from "./fixtures_test.ts";
import { KnownNotices } from "./known_notices.ts";
import { limitShareOf } from "./limit_share.ts";
import { Outcome } from "./mod.ts";
import { ShardLeader, type WaitResult } from "./shard_leader.ts";
import type { Upstream } from "./shards.ts";

const STEP_MS = 5;
const TICK_MS = 100;

/** Longest time of a message or a request on its way. */
const MAX_LATENCY_MS = 15;

/** Requests that each entry has waiting or running at least. */
const ASKED_PER_ENTRY = 4;

export const SLOTS = 6;

/** Time for which an upstream of these plays is cold after a start. */
export const COLD_MS = 6000;

/** An upstream as it is; times are those of the play's clock. */
export class PlayedUpstream {
  readonly id: string;
  readonly arrivals: number[] = [];
  /** Requests that run now, and the most so far. */
  running = 0;
  down = false;
  /** Whether its answers say that it is cold. */
  saysCold = true;
  workMs = 20;
  #coldFrom = Infinity;
  #coldUntil = -Infinity;

  constructor(id: string) {
    this.id = id;
  }

  cold(from: number, until: number): void {
    this.#coldFrom = from;
    this.#coldUntil = until;
  }

  coldMsAt(now: number): number {
    return now < this.#coldFrom ? 0 : Math.max(0, this.#coldUntil - now);
  }

  /** Most requests in any second that arrived while it was cold. */
  get mostInSecond(): number {
    const times = this.arrivals
      .filter((at) => at >= this.#coldFrom && at < this.#coldUntil);
    return Math.max(
      0,
      ...times.map((end) =>
        times.filter((at) => end - 1000 < at && at <= end).length
      ),
    );
  }

  /** Requests that arrived from one time to another. */
  arrivedIn(from: number, to: number): number {
    return this.arrivals.filter((at) => at >= from && at < to).length;
  }
}

/** A daemon that may lead the shard. */
interface PlayedDaemon {
  readonly name: string;
  readonly notices: KnownNotices;
  readonly periods: ColdPeriods;
  leader: ShardLeader | undefined;
}

/** An entry and the leader that it asks. */
interface PlayedEntry {
  readonly name: string;
  readonly daemon: PlayedDaemon;
  leader: PlayedDaemon | undefined;
  asked: number;
}

/** A play; its leaders obey the pace, its upstreams say what they see. */
export class ColdPlay {
  readonly clock = new ManualClock();
  readonly upstreams: readonly PlayedUpstream[];
  readonly daemons = new Map<string, PlayedDaemon>();
  readonly entries: PlayedEntry[] = [];
  readonly #random: Random;
  readonly #perS: number;
  #count = 0;
  #listed: readonly Upstream[] = [];

  constructor({ perS = 12, upstreams = 1, seed = 1, entries = 30 } = {}) {
    this.#perS = perS;
    this.#random = new Random({ seed });
    this.upstreams = Array.from(
      { length: upstreams },
      (_, n) => new PlayedUpstream(`up-${n}`),
    );
    this.list();
    for (let n = 0; n < entries; n++) {
      const name = `entry-${n}`;
      const daemon = this.#daemon(name);
      this.entries.push({ name, daemon, leader: undefined, asked: 0 });
    }
  }

  get now(): number {
    return this.clock.now();
  }

  /** Most requests that a cold upstream may get in a second. */
  get bound(): number {
    return this.#perS * 1.5 + 5;
  }

  /** Publishes a list with these fields to all daemons. */
  list(part: Partial<Upstream> = {}): void {
    const coldStart = { durationMs: COLD_MS, requestsPerS: this.#perS };
    this.#listed = this.upstreams.map(({ id }) =>
      upstream({ id, slots: SLOTS, bornAt: 1, coldMs: 0, coldStart, ...part })
    );
    for (const { leader, periods } of this.daemons.values()) {
      for (const one of this.#listed) periods.observe(one);
      leader?.setUpstreams(this.#listed);
    }
  }

  /** Makes entry `n`'s daemon a leader, with the share that its view gives. */
  lead(
    n: number,
    options: { isLeader?: boolean; members?: number; of?: number } = {},
  ): PlayedDaemon {
    const { isLeader = true, members = 30, of = 30 } = options;
    const { daemon } = this.entries[n];
    const names = this.entries.map(({ name }) => name);
    const { clock } = this;
    const leader = new ShardLeader({
      clock,
      notices: daemon.notices,
      coldPeriods: daemon.periods,
      prefix: `${daemon.name}.`,
    });
    leader.limitShare = limitShareOf({
      isLeader,
      members: names.slice(0, members),
      listed: names.slice(0, of),
    });
    leader.setUpstreams(this.#listed);
    daemon.leader = leader;
    return daemon;
  }

  /** Lets entries from `first` to before `end` ask this leader from now on. */
  ask(leader: PlayedDaemon, first = 0, end = this.entries.length): void {
    for (const entry of this.entries.slice(first, end)) {
      entry.leader = leader;
      entry.asked = 0;
    }
  }

  /** Ends a leader as if its process were killed. */
  kill(daemon: PlayedDaemon): void {
    daemon.leader = undefined;
    for (const entry of this.entries) {
      if (entry.leader !== daemon) continue;
      entry.leader = undefined;
      entry.asked = 0;
    }
  }

  /** Lets this much time pass under full load. */
  play(ms: number): void {
    const end = this.now + ms;
    while (this.now < end) {
      this.clock.advance(STEP_MS);
      if (this.now % TICK_MS === 0) {
        for (const { leader } of this.daemons.values()) leader?.tick();
      }
      for (const entry of this.entries) this.#askMore(entry);
    }
  }

  #daemon(name: string): PlayedDaemon {
    const notices = new KnownNotices(this);
    const periods = new ColdPeriods({ clock: this.clock, notices });
    for (const one of this.#listed) periods.observe(one);
    const daemon = { name, notices, periods, leader: undefined };
    this.daemons.set(name, daemon);
    return daemon;
  }

  #askMore(entry: PlayedEntry): void {
    const { leader } = entry;
    if (leader?.leader === undefined) return;
    // Refused requests are asked for again in the next step.
    for (let left = ASKED_PER_ENTRY - entry.asked; left > 0; left--) {
      entry.asked += 1;
      this.#count += 1;
      const queued = {
        ...ticket(),
        id: `ticket-${this.#count}`,
        entry: entry.name,
        queuedAt: this.now,
      };
      leader.leader.submit(queued, (answer) => {
        if (entry.leader === leader) entry.asked -= 1;
        this.#granted(entry, leader, answer);
      });
    }
  }

  #granted(
    entry: PlayedEntry,
    leader: PlayedDaemon,
    answer: WaitResult,
  ): void {
    if (!("permit" in answer)) return;
    const { permit } = answer;
    const played = this.upstreams.find(({ id }) => id === answer.upstream.id);
    if (played === undefined) return;
    this.#later(() => {
      const end = (outcome: Outcome) =>
        this.#later(() => leader.leader?.release(permit, outcome, 1));
      if (played.down) return end(Outcome.Unreachable);
      played.arrivals.push(this.now);
      played.running += 1;
      this.clock.after(played.workMs, () => {
        played.running -= 1;
        if (played.down) return end(Outcome.Broken);
        this.#later(() => this.#hear(entry, leader, played));
        end(Outcome.Served);
      });
    });
  }

  /** An answer tells its entry, which tells the leader, what it says. */
  #hear(entry: PlayedEntry, leader: PlayedDaemon, played: PlayedUpstream) {
    const coldMs = played.saysCold ? played.coldMsAt(this.now) : 0;
    entry.daemon.notices.heard({
      upstream: played.id,
      leaving: false,
      requestAgeMs: played.workMs,
      ...coldMs > 0 ? { coldMs } : {},
    }, this.#listed[0].bornAt);
    this.#later(() => {
      for (const one of entry.daemon.notices.all()) {
        leader.notices.merge(one, entry.name);
      }
      leader.leader?.limitsChanged();
    });
  }

  #later(task: () => void): void {
    this.clock.after(this.#random.next() * MAX_LATENCY_MS, task);
  }
}
