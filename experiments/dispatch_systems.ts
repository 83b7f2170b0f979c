/**
 * Simulated ways of dispatching requests to engines: by each entry from its
 * own delayed view of the load, or by one leader per shard. Both run the
 * production selection and queueing code.
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
import type { EngineJob, EngineModel } from "./engine_model.ts";
import { Random } from "../src/bench/random.ts";
import type { Timeline } from "./timeline.ts";
import { ORGANISATION_WEIGHTS, type SimulatedRequest } from "./workload.ts";

/** Network delay between two VMs, in one direction. */
const ONE_WAY_DELAY_MS = 1;

/** Ages of a load report and of a cache event on arrival. */
const REPORT_LAG_MS = 500;
const CACHE_EVENT_LAG_MS = 1000;

/** Intervals of load reads, summaries, permit renewals and leader ticks. */
const LOAD_READ_INTERVAL_MS = 500;
const SUMMARY_INTERVAL_MS = 500;
const RENEWAL_INTERVAL_MS = 1000;
const TICK_INTERVAL_MS = 100;

/** Maximum attempts of a request when engines crash. */
const MAX_ATTEMPTS = 4;

/** Times and outcome of a request; times are NaN until they are known. */
export interface RequestRecord {
  readonly request: SimulatedRequest;
  startedAt: number;
  firstAt: number;
  doneAt: number;
  refused: Reason | undefined;
  refusedAt: number;
  tokens: number;
  attempts: number;
}

/** Returns the record of a request that has not started. */
export function newRequestRecord(request: SimulatedRequest): RequestRecord {
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

/** A way of dispatching requests to engines. */
export abstract class DispatchSystem {
  /** Number of messages between the VMs of the system. */
  messages = 0;
  /** Number of load and cache event reads from engines. */
  reads = 0;

  /** Submits a request at its entry. */
  abstract submit(record: RequestRecord): void;

  /** Handles an engine that the platform lists as leaving. */
  abstract leaving(engine: string): void;
}

/** State of a simulation that all systems share. */
export interface SimulationContext {
  readonly timeline: Timeline;
  readonly engines: readonly EngineModel[];
  readonly entries: number;
  readonly seed: number;
  /** Called as tokens are generated for an organisation. */
  readonly onTokens: (organisation: string, tokens: number) => void;
}

/** Each entry picks an engine by itself, using the last load reports. */
export class EntryDispatch extends DispatchSystem {
  readonly #context: SimulationContext;
  readonly #selectors: readonly UpstreamSelector[];
  readonly #inFlight: readonly Map<string, number>[];
  readonly #loads = new Map<string, Load>();
  readonly #leaving = new Set<string>();

  constructor(
    context: SimulationContext,
    options: { selector: (entry: number) => UpstreamSelector },
  ) {
    super();
    this.#context = context;
    const entries = Array.from(
      { length: context.entries },
      (_, entry) => entry,
    );
    this.#selectors = entries.map((entry) => options.selector(entry));
    this.#inFlight = entries.map(() => new Map<string, number>());
    const { timeline, engines } = context;
    timeline.every(LOAD_READ_INTERVAL_MS, () => {
      this.reads += context.entries * engines.length;
      for (const engine of engines) {
        const load = engine.load();
        timeline.after(REPORT_LAG_MS, () => this.#loads.set(engine.id, load));
      }
    });
  }

  submit(record: RequestRecord): void {
    const { engines, timeline } = this.#context;
    const { entry } = record.request;
    const live = engines.filter(({ id }) => !this.#leaving.has(id));
    const picked = this.#selectors[entry].pick(
      {
        id: record.request.id,
        entry: `${entry}`,
        availabilityZone: `zone-${entry % 4}`,
        demand: demandOf(record),
        queuedAt: timeline.now,
      },
      live.map((engine) => ({
        upstream: upstreamOf(engine, false),
        inFlight: this.#inFlight[entry].get(engine.id) ?? 0,
        foreign: 0,
        load: this.#loads.get(engine.id),
        readyForMs: Infinity,
        startsLeft: Infinity,
      })),
    );
    const engine = engines.find(({ id }) => id === picked.upstream.id);
    if (engine !== undefined) this.#send(record, engine);
  }

  leaving(engine: string): void {
    this.#leaving.add(engine);
  }

  #send(record: RequestRecord, engine: EngineModel): void {
    const { timeline } = this.#context;
    const { request } = record;
    const inFlight = this.#inFlight[request.entry];
    const count = (by: number) =>
      inFlight.set(engine.id, (inFlight.get(engine.id) ?? 0) + by);
    record.attempts += 1;
    count(1);
    const job = jobOf(record, this.#context, (completed) => {
      count(-1);
      if (completed || record.attempts >= MAX_ATTEMPTS) return;
      timeline.after(ONE_WAY_DELAY_MS, () => this.submit(record));
    });
    const leftMs = request.at + request.deadlineMs - timeline.now;
    timeline.after(ONE_WAY_DELAY_MS, () => engine.submit(job));
    timeline.after(leftMs, () => {
      if (!engine.cancelQueued(job)) return;
      count(-1);
      refuse(record, Reason.DeadlineExceeded, timeline.now);
    });
  }
}

/** One leader per shard grants permits for its engines. */
export class ShardLeaderDispatch extends DispatchSystem {
  readonly #context: SimulationContext;
  readonly #random: Random;
  readonly #shards: readonly Shard[];
  readonly #leaders: ReadonlyMap<string, ShardLeader>;
  readonly #summaries = new Map<string, number>();
  readonly #leaving = new Set<string>();
  readonly #held = new Map<string, Set<string>>();
  #tickets = 0;

  constructor(context: SimulationContext, options: {
    queue: () => Queue;
    selector: (clock: Clock) => UpstreamSelector;
    headroom?: () => Headroom;
  }) {
    super();
    this.#context = context;
    this.#random = new Random({ seed: context.seed + 77 });
    const upstreams = context.engines.map((engine) =>
      upstreamOf(engine, false)
    );
    this.#shards = partitionIntoShards(upstreams).map((members, index) => ({
      name: shardName("lm", index),
      pool: "lm",
      upstreams: members,
    }));
    this.#leaders = new Map(this.#shards.map((shard) => {
      const leader = new ShardLeader({
        clock: context.timeline.clock,
        prefix: `${shard.name}.`,
        queue: options.queue(),
        selector: options.selector(context.timeline.clock),
        headroom: options.headroom?.(),
      });
      leader.setUpstreams(shard.upstreams);
      return [shard.name, leader] as const;
    }));
    this.#schedulePeriodicTasks();
  }

  submit(record: RequestRecord): void {
    const { timeline } = this.#context;
    const shard = selectShard(this.#shards, {
      key: record.request.prefixes.at(-1) ?? record.request.fingerprint,
      load: ({ name }) => this.#summaries.get(name) ?? 0,
      random: () => this.#random.next(),
    });
    const leader = shard && this.#leaders.get(shard.name);
    if (shard === undefined || leader === undefined) return;
    this.#tickets += 1;
    const ticket = {
      id: `${this.#tickets}`,
      entry: `${record.request.entry}`,
      availabilityZone: `zone-${record.request.entry % 4}`,
    };
    this.messages += 2;
    timeline.after(ONE_WAY_DELAY_MS, () => {
      const demand = demandOf(record, timeline.now);
      leader.submit(
        { ...ticket, demand, queuedAt: timeline.now },
        (answer) =>
          timeline.after(
            ONE_WAY_DELAY_MS,
            () => this.#answered(record, leader, answer),
          ),
      );
    });
  }

  leaving(engine: string): void {
    this.#leaving.add(engine);
    for (const shard of this.#shards) {
      this.#leaders.get(shard.name)?.setUpstreams(
        shard.upstreams.map((upstream) => ({
          ...upstream,
          leaving: this.#leaving.has(upstream.id),
        })),
      );
    }
  }

  #answered(
    record: RequestRecord,
    leader: ShardLeader,
    answer: WaitResult,
  ): void {
    const { timeline, engines } = this.#context;
    if ("refusal" in answer) {
      return refuse(record, answer.refusal.reason, timeline.now);
    }
    if ("moved" in answer) return;
    const { permit, upstream } = answer;
    const engine = engines.find(({ id }) => id === upstream.id);
    if (engine === undefined) return;
    const before = record.tokens;
    const held = this.#held.get(permit.split(".")[0]) ?? new Set<string>();
    this.#held.set(permit.split(".")[0], held);
    held.add(permit);
    record.attempts += 1;
    const job = jobOf(record, this.#context, (completed) => {
      held.delete(permit);
      this.messages += 1;
      const outcome = completed ? Outcome.Served : Outcome.Broken;
      const tokens = Math.round(record.tokens - before);
      timeline.after(
        ONE_WAY_DELAY_MS,
        () => leader.release(permit, outcome, tokens),
      );
      if (completed || record.attempts >= MAX_ATTEMPTS) return;
      timeline.after(ONE_WAY_DELAY_MS, () => this.submit(record));
    });
    timeline.after(ONE_WAY_DELAY_MS, () => engine.submit(job));
  }

  /** Schedules load reads, leader ticks, permit renewals and summaries. */
  #schedulePeriodicTasks(): void {
    const { timeline, engines, entries } = this.#context;
    const seqs = new Map<string, number>();
    timeline.every(LOAD_READ_INTERVAL_MS, () => {
      for (const engine of engines) {
        this.reads += 2;
        this.#readEngine(engine, seqs);
      }
    });
    timeline.every(TICK_INTERVAL_MS, () => {
      for (const leader of this.#leaders.values()) leader.tick();
    });
    timeline.every(RENEWAL_INTERVAL_MS, () => {
      this.messages += entries * this.#leaders.size;
      for (const [shard, held] of this.#held) {
        this.#leaders.get(shard)?.renew([...held]);
      }
    });
    timeline.every(SUMMARY_INTERVAL_MS, () => this.#exchange());
  }

  #readEngine(engine: EngineModel, seqs: Map<string, number>): void {
    const { timeline } = this.#context;
    const leader = this.#leaderOf(engine.id);
    if (engine.crashed) return leader?.probed(engine.id, ProbeResult.Gone);
    const load = engine.load();
    const seq = seqs.get(engine.id) ?? 0;
    const events = engine.events(seq);
    seqs.set(
      engine.id,
      events.reduce((last, event) => Math.max(last, event.seq), seq),
    );
    timeline.after(
      REPORT_LAG_MS,
      () => leader?.probed(engine.id, ProbeResult.Alive, load),
    );
    timeline.after(CACHE_EVENT_LAG_MS, () => leader?.cached(engine.id, events));
  }

  #exchange(): void {
    const { timeline } = this.#context;
    const summaries = [...this.#leaders].map(([name, leader]) => ({
      name,
      ...leader.pressure(),
      tenants: Object.fromEntries(leader.organisations),
    }));
    timeline.after(SUMMARY_INTERVAL_MS, () => {
      for (const { name, running, queued, slots } of summaries) {
        this.#summaries.set(name, (running + queued) / Math.max(1, slots));
        const others = summaries.filter((other) => other.name !== name);
        this.#leaders.get(name)?.setOtherShards(loadOfOtherShards(others));
      }
    });
  }

  #leaderOf(engine: string): ShardLeader | undefined {
    const shard = this.#shards.find(({ upstreams }) =>
      upstreams.some(({ id }) => id === engine)
    );
    return shard && this.#leaders.get(shard.name);
  }
}

function refuse(record: RequestRecord, reason: Reason, now: number): void {
  record.refused = reason;
  record.refusedAt = now;
}

function jobOf(
  record: RequestRecord,
  context: SimulationContext,
  onEnd: (completed: boolean) => void,
): EngineJob {
  const { request } = record;
  const { timeline } = context;
  const generated = Math.floor(record.tokens);
  return {
    organisation: request.organisation,
    prefixes: request.prefixes,
    promptTokens: request.promptTokens + generated,
    outputTokens: Math.max(1, request.outputTokens - generated),
    onStart: () => {
      if (Number.isNaN(record.startedAt)) record.startedAt = timeline.now;
    },
    onTokens: (tokens) => {
      record.tokens += tokens;
      context.onTokens(request.organisation, tokens);
    },
    onFirst: () => {
      if (Number.isNaN(record.firstAt)) record.firstAt = timeline.now;
    },
    onEnd: (completed) => {
      if (completed) record.doneAt = timeline.now;
      onEnd(completed);
    },
  };
}

function demandOf(record: RequestRecord, now = record.request.at): Demand {
  const { request } = record;
  return {
    id: request.id,
    pool: "lm",
    route: request.priority,
    tenant: request.organisation,
    priority: request.priority,
    weight: ORGANISATION_WEIGHTS[request.organisation],
    tokens: request.promptTokens + request.maxTokens,
    prefixes: request.prefixes,
    remainingMs: request.at + request.deadlineMs - now,
    minVersion: 0,
    exclude: [],
    fingerprint: request.fingerprint,
    attempt: record.attempts,
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
    evacuated: false,
    slots: engine.slots,
  };
}
