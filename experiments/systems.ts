/**
 * Ways of bringing requests to engines: each entry on its own lagging view,
 * or one keeper for each shard. Both drive the product's decision code.
 *
 * @module
 */

import { type Clock, Reason } from "../src/kernel/mod.ts";
import type { Load } from "../src/outside/mod.ts";
import { ProbeResult } from "../src/dispatch/crash_detector.ts";
import type { UpstreamSelector } from "../src/dispatch/upstream_selector.ts";

import type { Shard } from "../src/dispatch/fleet.ts";
import type { Headroom } from "../src/dispatch/headroom.ts";
import { ShardLeader, type WaitResult } from "../src/dispatch/shard_leader.ts";
import { type Demand, Outcome } from "../src/dispatch/mod.ts";
import { selectShard } from "../src/dispatch/shard_selection.ts";
import type { Queue } from "../src/dispatch/queue.ts";
import { loadOfOtherShards } from "../src/dispatch/summaries.ts";
import {
  partitionIntoShards,
  shardName,
  type Upstream,
} from "../src/dispatch/shards.ts";
import type { EngineModel, Job } from "./engine_model.ts";
import { Random } from "../src/bench/random.ts";
import type { Timeline } from "./timeline.ts";
import { type Request, WEIGHTS } from "./workload.ts";

/** One way between two VMs. */
const HOP_MS = 1;

/** Age of a load report or cache event when it arrives. */
const REPORT_LAG_MS = 500;
const EVENT_LAG_MS = 1000;

/** How often loads are read, summaries told and permits renewed. */
const LOAD_MS = 500;
const SUMMARY_MS = 500;
const RENEWAL_MS = 1000;
const TICK_MS = 100;

/** Attempts of one request over engines that crash. */
const MAX_ATTEMPTS = 4;

/** What became of a request. */
export interface Trip {
  readonly request: Request;
  startedAt: number;
  firstAt: number;
  doneAt: number;
  refused: Reason | undefined;
  refusedAt: number;
  tokens: number;
  attempts: number;
}

/** A trip that has not begun. */
export function trip(request: Request): Trip {
  return {
    request,
    startedAt: NaN,
    firstAt: NaN,
    doneAt: NaN,
    refused: undefined,
    refusedAt: NaN,
    tokens: 0,
    attempts: 0,
  };
}

/** A way of bringing requests to engines. */
export abstract class System {
  /** Messages between the system's own VMs. */
  messages = 0;
  /** Load and event reads from engines. */
  reads = 0;

  /** Takes a request in at its entry. */
  abstract submit(trip: Trip): void;

  /** The platform's list says that an engine is leaving. */
  abstract leaving(engine: string): void;
}

/** What both ways are built on. */
export interface Ground {
  readonly timeline: Timeline;
  readonly engines: readonly EngineModel[];
  readonly entries: number;
  readonly seed: number;
  /** Called as tokens are made for a tenant. */
  readonly onTokens: (tenant: string, tokens: number) => void;
}

/** Each entry sends straight to an engine, by the last load report. */
export class EntrySystem extends System {
  readonly #ground: Ground;
  readonly #choices: readonly UpstreamSelector[];
  readonly #inFlight: readonly Map<string, number>[];
  readonly #loads = new Map<string, Load>();
  readonly #leaving = new Set<string>();

  constructor(
    ground: Ground,
    options: { choice: (entry: number) => UpstreamSelector },
  ) {
    super();
    this.#ground = ground;
    const entries = Array.from({ length: ground.entries }, (_, entry) => entry);
    this.#choices = entries.map((entry) => options.choice(entry));
    this.#inFlight = entries.map(() => new Map<string, number>());
    const { timeline, engines } = ground;
    timeline.every(LOAD_MS, () => {
      this.reads += ground.entries * engines.length;
      for (const engine of engines) {
        const load = engine.load();
        timeline.after(REPORT_LAG_MS, () => this.#loads.set(engine.id, load));
      }
    });
  }

  submit(trip: Trip): void {
    const { engines, timeline } = this.#ground;
    const { entry } = trip.request;
    const live = engines.filter(({ id }) => !this.#leaving.has(id));
    const picked = this.#choices[entry].pick(
      {
        id: trip.request.id,
        entry: `${entry}`,
        availabilityZone: `zone-${entry % 4}`,
        demand: demandOf(trip),
        queuedAt: timeline.now,
      },
      live.map((engine) => ({
        upstream: upstreamOf(engine, false),
        inFlight: this.#inFlight[entry].get(engine.id) ?? 0,
        foreign: 0,
        load: this.#loads.get(engine.id),
        readyForMs: Infinity,
      })),
    );
    const engine = engines.find(({ id }) => id === picked.upstream.id);
    if (engine !== undefined) this.#send(trip, engine);
  }

  leaving(engine: string): void {
    this.#leaving.add(engine);
  }

  #send(trip: Trip, engine: EngineModel): void {
    const { timeline } = this.#ground;
    const { request } = trip;
    const inFlight = this.#inFlight[request.entry];
    const count = (by: number) =>
      inFlight.set(engine.id, (inFlight.get(engine.id) ?? 0) + by);
    trip.attempts += 1;
    count(1);
    const job = jobOf(trip, this.#ground, (whole) => {
      count(-1);
      if (whole || trip.attempts >= MAX_ATTEMPTS) return;
      timeline.after(HOP_MS, () => this.submit(trip));
    });
    const leftMs = request.at + request.deadlineMs - timeline.now;
    timeline.after(HOP_MS, () => engine.submit(job));
    timeline.after(leftMs, () => {
      if (!engine.withdraw(job)) return;
      count(-1);
      refuse(trip, Reason.DeadlineExceeded, timeline.now);
    });
  }
}

/** Permits from one keeper for each shard. */
export class KeeperSystem extends System {
  readonly #ground: Ground;
  readonly #random: Random;
  readonly #shards: readonly Shard[];
  readonly #keepers: ReadonlyMap<string, ShardLeader>;
  readonly #summaries = new Map<string, number>();
  readonly #leaving = new Set<string>();
  readonly #held = new Map<string, Set<string>>();
  #tickets = 0;

  constructor(ground: Ground, options: {
    queue: () => Queue;
    choice: (clock: Clock) => UpstreamSelector;
    headroom?: () => Headroom;
  }) {
    super();
    this.#ground = ground;
    this.#random = new Random({ seed: ground.seed + 77 });
    const upstreams = ground.engines.map((engine) => upstreamOf(engine, false));
    this.#shards = partitionIntoShards(upstreams).map((part, index) => ({
      name: shardName("lm", index),
      pool: "lm",
      upstreams: part,
    }));
    this.#keepers = new Map(this.#shards.map((shard) => {
      const keeper = new ShardLeader({
        clock: ground.timeline.clock,
        prefix: `${shard.name}.`,
        queue: options.queue(),
        selector: options.choice(ground.timeline.clock),
        headroom: options.headroom?.(),
      });
      keeper.setUpstreams(shard.upstreams);
      return [shard.name, keeper] as const;
    }));
    this.#start();
  }

  submit(trip: Trip): void {
    const { timeline } = this.#ground;
    const shard = selectShard(this.#shards, {
      key: trip.request.prefixes.at(-1) ?? trip.request.fingerprint,
      load: ({ name }) => this.#summaries.get(name) ?? 0,
      random: () => this.#random.next(),
    });
    const keeper = shard && this.#keepers.get(shard.name);
    if (shard === undefined || keeper === undefined) return;
    this.#tickets += 1;
    const ticket = {
      id: `${this.#tickets}`,
      entry: `${trip.request.entry}`,
      availabilityZone: `zone-${trip.request.entry % 4}`,
    };
    this.messages += 2;
    timeline.after(HOP_MS, () => {
      const demand = demandOf(trip, timeline.now);
      keeper.submit(
        { ...ticket, demand, queuedAt: timeline.now },
        (answer) =>
          timeline.after(HOP_MS, () => this.#answered(trip, keeper, answer)),
      );
    });
  }

  leaving(engine: string): void {
    this.#leaving.add(engine);
    for (const shard of this.#shards) {
      this.#keepers.get(shard.name)?.setUpstreams(
        shard.upstreams.map((upstream) => ({
          ...upstream,
          leaving: this.#leaving.has(upstream.id),
        })),
      );
    }
  }

  #answered(trip: Trip, keeper: ShardLeader, answer: WaitResult): void {
    const { timeline, engines } = this.#ground;
    if ("refusal" in answer) {
      return refuse(trip, answer.refusal.reason, timeline.now);
    }
    if ("moved" in answer) return;
    const { permit, upstream } = answer;
    const engine = engines.find(({ id }) => id === upstream.id);
    if (engine === undefined) return;
    const before = trip.tokens;
    const held = this.#held.get(permit.split(".")[0]) ?? new Set<string>();
    this.#held.set(permit.split(".")[0], held);
    held.add(permit);
    trip.attempts += 1;
    const job = jobOf(trip, this.#ground, (whole) => {
      held.delete(permit);
      this.messages += 1;
      const outcome = whole ? Outcome.Served : Outcome.Broken;
      const tokens = Math.round(trip.tokens - before);
      timeline.after(HOP_MS, () => keeper.release(permit, outcome, tokens));
      if (whole || trip.attempts >= MAX_ATTEMPTS) return;
      timeline.after(HOP_MS, () => this.submit(trip));
    });
    timeline.after(HOP_MS, () => engine.submit(job));
  }

  /** Reads loads and events, renews permits, and exchanges service. */
  #start(): void {
    const { timeline, engines, entries } = this.#ground;
    const seqs = new Map<string, number>();
    timeline.every(LOAD_MS, () => {
      for (const engine of engines) {
        this.reads += 2;
        this.#read(engine, seqs);
      }
    });
    timeline.every(TICK_MS, () => {
      for (const keeper of this.#keepers.values()) keeper.tick();
    });
    timeline.every(RENEWAL_MS, () => {
      this.messages += entries * this.#keepers.size;
      for (const [shard, held] of this.#held) {
        this.#keepers.get(shard)?.renew([...held]);
      }
    });
    timeline.every(SUMMARY_MS, () => this.#exchange());
  }

  #read(engine: EngineModel, seqs: Map<string, number>): void {
    const { timeline } = this.#ground;
    const keeper = this.#keeperOf(engine.id);
    if (engine.dead) return keeper?.probed(engine.id, ProbeResult.Gone);
    const load = engine.load();
    const seq = seqs.get(engine.id) ?? 0;
    const events = engine.events(seq);
    seqs.set(
      engine.id,
      events.reduce((last, event) => Math.max(last, event.seq), seq),
    );
    timeline.after(
      REPORT_LAG_MS,
      () => keeper?.probed(engine.id, ProbeResult.Alive, load),
    );
    timeline.after(EVENT_LAG_MS, () => keeper?.cached(engine.id, events));
  }

  #exchange(): void {
    const { timeline } = this.#ground;
    const summaries = [...this.#keepers].map(([name, keeper]) => ({
      name,
      ...keeper.pressure(),
      tenants: Object.fromEntries(keeper.organisations),
    }));
    timeline.after(SUMMARY_MS, () => {
      for (const { name, running, queued, slots } of summaries) {
        this.#summaries.set(name, (running + queued) / Math.max(1, slots));
        const others = summaries.filter((other) => other.name !== name);
        this.#keepers.get(name)?.setOtherShards(loadOfOtherShards(others));
      }
    });
  }

  #keeperOf(engine: string): ShardLeader | undefined {
    const shard = this.#shards.find(({ upstreams }) =>
      upstreams.some(({ id }) => id === engine)
    );
    return shard && this.#keepers.get(shard.name);
  }
}

function refuse(trip: Trip, reason: Reason, now: number): void {
  trip.refused = reason;
  trip.refusedAt = now;
}

function jobOf(
  trip: Trip,
  ground: Ground,
  onEnd: (whole: boolean) => void,
): Job {
  const { request } = trip;
  const { timeline } = ground;
  const made = Math.floor(trip.tokens);
  return {
    tenant: request.tenant,
    prefixes: request.prefixes,
    promptTokens: request.promptTokens + made,
    outputTokens: Math.max(1, request.outputTokens - made),
    onStart: () => {
      if (Number.isNaN(trip.startedAt)) trip.startedAt = timeline.now;
    },
    onTokens: (tokens) => {
      trip.tokens += tokens;
      ground.onTokens(request.tenant, tokens);
    },
    onFirst: () => {
      if (Number.isNaN(trip.firstAt)) trip.firstAt = timeline.now;
    },
    onEnd: (whole) => {
      if (whole) trip.doneAt = timeline.now;
      onEnd(whole);
    },
  };
}

function demandOf(trip: Trip, now = trip.request.at): Demand {
  const { request } = trip;
  return {
    id: request.id,
    pool: "lm",
    route: request.priority,
    tenant: request.tenant,
    priority: request.priority,
    weight: WEIGHTS[request.tenant],
    tokens: request.promptTokens + request.maxTokens,
    prefixes: request.prefixes,
    remainingMs: request.at + request.deadlineMs - now,
    minVersion: 0,
    exclude: [],
    fingerprint: request.fingerprint,
    attempt: trip.attempts,
  };
}

function upstreamOf(engine: EngineModel, leaving: boolean): Upstream {
  return {
    id: engine.id,
    address: engine.id,
    pool: "lm",
    availabilityZone: engine.availabilityZone,
    reclaimable: false,
    leaving,
    slots: engine.slots,
  };
}
