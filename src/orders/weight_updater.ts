/**
 * Updates all upstreams to the newest weights, a share of each pool at a time.
 *
 * @module
 */

import { isNone, toUndefined } from "fp-ts/Option";
import { type Clock, type Kernel, logger } from "../kernel/mod.ts";
import {
  type ActiveConfiguration,
  activeConfigurationKey,
} from "../config/mod.ts";
import { type Dispatch, dispatchKey } from "../dispatch/mod.ts";
import { Fault, Role, type Vm, VmState } from "../outside/mod.ts";
import type { Pool } from "../tables/mod.ts";
import type { HeldLease } from "./duty_lease.ts";
import { LatestVersions } from "./latest_versions.ts";
import { ModelAssignments } from "./model_assignments.ts";
import type { WeightUpdateMetrics } from "./weight_update_metrics.ts";
import { WeightLoadLimiter } from "./weight_load_limiter.ts";
import {
  type VersionedVm,
  WeightUpdateSchedule,
} from "./weight_update_schedule.ts";

const log = logger("weights");

/** Interval at which each model's demand is sampled. */
const DEMAND_SAMPLE_INTERVAL_MS = 500;
/**
 * Reports lag behind by some hundred milliseconds; after this time a report
 * without an order shows that the engine has not accepted it.
 */
const ORDER_VISIBLE_AFTER_MS = 1000;
/** An engine's own report takes precedence over its leader's for this long. */
const REPORTED_VERSION_MAX_AGE_MS = 5000;

/** A model and a pool that serves it; a pool may serve several. */
interface PoolModel {
  readonly pool: Pool;
  readonly model: string;
}

/** A model's version as reported by the engine itself. */
interface ReportedVersion {
  readonly version: number;
  /** Orders that the engine had accepted, if it reports them. */
  readonly orders: number | undefined;
  /** Whether it carries out an order. */
  readonly busy: boolean;
  /** When it was asked for. */
  readonly at: number;
}

/** An order that was sent, and the number of those accepted before it. */
interface SentOrder {
  readonly orders: number;
  readonly at: number;
}

/** Updates weights while the lease is held. */
export class WeightUpdater {
  readonly #kernel: Kernel;
  readonly #clock: Clock;
  readonly #config: ActiveConfiguration;
  readonly #dispatch: Dispatch;
  readonly #lease: HeldLease;
  readonly #metrics: WeightUpdateMetrics;
  /** By pool and model. */
  readonly #schedules = new Map<string, WeightUpdateSchedule>();
  readonly #limiters = new Map<string, WeightLoadLimiter>();
  readonly #reportedVersions = new Map<string, ReportedVersion>();
  /** The last order to each upstream. */
  readonly #sentOrders = new Map<string, SentOrder>();
  /** Unanswered calls to engines, by upstream. */
  readonly #inFlight = new Map<string, Promise<unknown>>();
  readonly #assignments = new ModelAssignments();
  readonly #latestVersions: LatestVersions;
  #roundCount = 0;
  #demandSampledAt = -Infinity;
  #vms: readonly Vm[] = [];
  #listedAt = -Infinity;

  constructor(options: {
    kernel: Kernel;
    lease: HeldLease;
    metrics: WeightUpdateMetrics;
  }) {
    this.#kernel = options.kernel;
    this.#clock = options.kernel.clock;
    this.#config = options.kernel.get(activeConfigurationKey);
    this.#dispatch = options.kernel.get(dispatchKey);
    this.#lease = options.lease;
    this.#metrics = options.metrics;
    this.#latestVersions = new LatestVersions(options);
  }

  /** Starts due updates in all pools once. */
  async updateAll(): Promise<void> {
    const tables = toUndefined(this.#config.current())?.tables;
    if (tables === undefined || !this.#config.fresh()) return;
    const pairs = tables.pools.flatMap(poolModelsOf);
    this.#dropRemoved(pairs);
    await Promise.all([this.#refreshVms(), this.#sampleDemand(pairs)]);
    this.#assignAll(pairs);
    // Models take turns at being first, as a pool's models share its limit.
    this.#roundCount += 1;
    const first = this.#roundCount % Math.max(1, pairs.length);
    const inTurn = [...pairs.slice(first), ...pairs.slice(0, first)];
    for (const pair of inTurn) this.#settleModel(pair);
    // Engines that can't serve go before those that only have an older version.
    for (const pair of inTurn) this.#startUpdates(pair, { staleOnly: true });
    for (const pair of inTurn) this.#startUpdates(pair, { staleOnly: false });
  }

  /** Waits for the calls in flight. */
  async end(): Promise<void> {
    await Promise.all(this.#inFlight.values());
  }

  /** Watches the newest versions until the lease ends. */
  watchVersions(): Promise<void> {
    return this.#latestVersions.watch(this.#lease.signal, () => {
      const tables = toUndefined(this.#config.current())?.tables;
      return tables?.pools.flatMap(poolModelsOf).map(({ model }) => model);
    });
  }

  async #refreshVms(): Promise<void> {
    const now = this.#clock.now();
    const { directoryMs } = this.#kernel.settings.timing;
    if (now - this.#listedAt < directoryMs) return;
    const vms = await this.#kernel.platform.directory.list();
    if (vms.err) return;
    this.#listedAt = now;
    this.#vms = vms.val;
  }

  /** Ends updates that are done, and polls engines that may be. */
  #settleModel(pair: PoolModel): void {
    const { model } = pair;
    if (this.#latestVersions.of(model) === 0) return;
    const schedule = this.#scheduleOf(pair);
    // An engine may have been assigned to another model while it loads this one.
    const vms = this.#liveVms(pair.pool);
    this.#settleUpdates(schedule, {
      pair,
      upstreams: this.#versions(pair, vms),
    });
    const toPoll = new Set(schedule.possiblyDone(this.#clock.now()));
    for (const vm of vms) {
      if (!toPoll.has(vm.id)) continue;
      this.#call(vm, () => this.#pollUpdate(schedule, { vm, model }));
    }
  }

  /** Starts due updates as far as the pool's limit allows. */
  #startUpdates(pair: PoolModel, options: { staleOnly: boolean }): void {
    const { model } = pair;
    const latest = this.#latestVersions.of(model);
    if (latest === 0) return;
    const schedule = this.#scheduleOf(pair);
    const vms = this.#assignedVms(pair);
    const due = schedule.due(this.#versions(pair, vms), {
      latest,
      now: this.#clock.now(),
      ...options,
    });
    let startsLeft = this.#startsAllowed(pair.pool);
    for (const vm of vms) {
      if (!due.includes(vm.id) || this.#inFlight.has(vm.id)) continue;
      // An engine carries out one order at a time, for any of its models.
      if (this.#isLoading(vm.id) || startsLeft <= 0) continue;
      startsLeft -= 1;
      const update = { vm, model, version: latest };
      schedule.recordStart(vm.id, { version: latest, now: this.#clock.now() });
      this.#call(vm, () => this.#update(schedule, update));
    }
  }

  #scheduleOf({ pool, model }: PoolModel): WeightUpdateSchedule {
    const name = keyOf({ pool, model });
    const known = this.#schedules.get(name);
    if (known !== undefined) {
      known.maxVersionLag = pool.versionLag ?? 0;
      return known;
    }
    const limiter = this.#limiterOf(pool);
    const schedule = new WeightUpdateSchedule({
      maxVersionLag: pool.versionLag,
      onDone: (ended) => limiter.ended(ended, this.#clock.now()),
    });
    this.#schedules.set(name, schedule);
    return schedule;
  }

  /** A removed model's updates must not keep its engines from loading others. */
  #dropRemoved(pairs: readonly PoolModel[]): void {
    const names = new Set(pairs.map(keyOf));
    for (const name of this.#schedules.keys()) {
      if (!names.has(name)) this.#schedules.delete(name);
    }
  }

  #limiterOf({ name }: Pool): WeightLoadLimiter {
    const known = this.#limiters.get(name);
    if (known !== undefined) return known;
    const limiter = new WeightLoadLimiter();
    this.#limiters.set(name, limiter);
    return limiter;
  }

  /** Number of updates in progress in a pool, for all its models. */
  #pending(pool: Pool): number {
    return poolModelsOf(pool)
      .map((pair) => this.#schedules.get(keyOf(pair))?.pending.length ?? 0)
      .reduce((sum, count) => sum + count, 0);
  }

  /** Number of updates that may start in a pool now. */
  #startsAllowed(pool: Pool): number {
    const upstreams = this.#vms.filter((vm) =>
      vm.role === Role.Upstream && vm.pool === pool.name &&
      !this.#isEvacuated(vm)
    );
    const limit = this.#limiterOf(pool).limit(upstreams.length);
    return limit - this.#pending(pool);
  }

  /** Samples the demand for each model in pools that serve several. */
  async #sampleDemand(pairs: readonly PoolModel[]): Promise<void> {
    const now = this.#clock.now();
    if (now - this.#demandSampledAt < DEMAND_SAMPLE_INTERVAL_MS) return;
    this.#demandSampledAt = now;
    const pools = new Set(
      pairs.filter(({ pool }) => poolModelsOf(pool).length > 1)
        .map(({ pool }) => pool.name),
    );
    for (const pool of pools) {
      const { models = {} } = await this.#dispatch.pressure(pool);
      const counts = pairs.filter((pair) => pair.pool.name === pool)
        .map(({ model }) => [model, models[model] ?? 0]);
      const byModel = Object.fromEntries(counts);
      this.#assignments.recordDemand(pool, byModel, now);
    }
  }

  /** Assigns the live upstreams of pools that serve several models. */
  #assignAll(pairs: readonly PoolModel[]): void {
    const pools = new Set(pairs.map(({ pool }) => pool));
    for (const pool of pools) this.#assign(pool);
  }

  #assign(pool: Pool): void {
    const models = poolModelsOf(pool).map(({ model }) => model);
    const upstreams = this.#liveVms(pool).map((vm) => ({
      id: vm.id,
      versions: Object.fromEntries(
        models.map((name) => [name, this.#version(pool, name, vm)]),
      ),
    }));
    this.#assignments.assign({ name: pool.name, models, upstreams }, {
      latest: this.#latestVersions.all,
      now: this.#clock.now(),
    });
  }

  #isEvacuated({ availabilityZone }: Vm): boolean {
    const { evacuations } = this.#kernel.platform;
    return evacuations?.has(availabilityZone) === true;
  }

  /** The live upstreams of a pool, without evacuated zones. */
  #liveVms(pool: Pool): readonly Vm[] {
    return this.#vms.filter((vm) =>
      vm.role === Role.Upstream && vm.pool === pool.name &&
      vm.standing === VmState.Live && !this.#isEvacuated(vm)
    );
  }

  /** The live upstreams assigned to the model; all, if none is assigned. */
  #assignedVms({ pool, model }: PoolModel): readonly Vm[] {
    return this.#liveVms(pool).filter(({ id }) =>
      this.#assignments.loads(id, { pool: pool.name, model })
    );
  }

  /** Whether the engine is loading weights of any model. */
  #isLoading(id: string): boolean {
    return [...this.#schedules.values()].some(({ pending }) =>
      pending.includes(id)
    );
  }

  /** Calls an engine unless an earlier call to it is still in flight. */
  #call({ id }: Vm, call: () => Promise<unknown>): void {
    if (this.#inFlight.has(id)) return;
    const answered = call()
      .catch((error) => this.#fail(error))
      .finally(() => this.#inFlight.delete(id));
    this.#inFlight.set(id, answered);
  }

  // An internal error, as failed calls are returned as values. The update
  // becomes overdue and is retried.
  #fail(error: unknown): void {
    this.#metrics.updates.inc({ outcome: "internal" });
    log("weight update failed", { error: String(error) });
  }

  #settleUpdates(
    schedule: WeightUpdateSchedule,
    { pair, upstreams }: { pair: PoolModel; upstreams: readonly VersionedVm[] },
  ): void {
    for (const [id, end] of schedule.settle(upstreams, this.#clock.now())) {
      this.#metrics.updates.inc({ outcome: end });
      log(end, { upstream: id, pool: pair.pool.name, model: pair.model });
    }
  }

  async #update(
    schedule: WeightUpdateSchedule,
    { vm, model, version }: { vm: Vm; model: string; version: number },
  ): Promise<void> {
    // The leader's report may be stale: the engine itself knows its version.
    const current = await this.#readVersion(vm, model);
    if (current === undefined) return schedule.failed(vm.id, this.#clock.now());
    if (current.version >= version) return schedule.forget(vm.id);
    // It carries out an order of an earlier lease holder, or one without an answer.
    if (current.busy) return schedule.failed(vm.id, this.#clock.now());
    // Its zone may have been evacuated since the update was due.
    if (this.#isEvacuated(vm)) return schedule.forget(vm.id);
    const { term } = this.#lease;
    const sentAt = this.#clock.now();
    const answer = await this.#lease.runWhileHeld((signal) =>
      this.#kernel.platform.engine.loadWeights(vm, {
        model,
        version,
        term,
        holder: this.#kernel.settings.vm,
        orders: current.orders,
        signal,
      })
    );
    if (isNone(answer)) return schedule.forget(vm.id);
    const { value } = answer;
    if (current.orders !== undefined) {
      this.#sentOrders.set(vm.id, { orders: current.orders, at: sentAt });
    }
    log("weight update ordered", {
      upstream: vm.id,
      model,
      version,
      from: current.version,
      orders: current.orders,
      term,
      outcome: value.err ? value.val.message : "accepted",
    });
    this.#metrics.updates.inc({
      outcome: value.err ? `order_${value.val.fault}` : "ordered",
    });
    // Without an answer the engine may be loading; its next report decides.
    const started = value.ok || value.val.fault === Fault.Unknown;
    if (!started) schedule.failed(vm.id, this.#clock.now());
  }

  /**
   * Reads whether an update is done. An order that the engine has not accepted
   * is placed again: it carries the number of orders before it, so if it arrives
   * late as well, only one of the two is carried out.
   */
  async #pollUpdate(
    schedule: WeightUpdateSchedule,
    { vm, model }: { vm: Vm; model: string },
  ): Promise<void> {
    const reported = await this.#readVersion(vm, model);
    const sent = this.#sentOrders.get(vm.id);
    const missed = reported !== undefined && sent !== undefined &&
      !reported.busy && reported.orders === sent.orders &&
      reported.at - sent.at >= ORDER_VISIBLE_AFTER_MS;
    if (!missed) return;
    this.#sentOrders.delete(vm.id);
    this.#metrics.updates.inc({ outcome: "missed" });
    log("order not accepted, placed again", {
      upstream: vm.id,
      model,
      orders: sent.orders,
      sentMsAgo: Math.round(reported.at - sent.at),
    });
    schedule.missed(vm.id, this.#clock.now());
  }

  /** Reads a model's version from the engine. */
  async #readVersion(
    vm: Vm,
    model: string,
  ): Promise<ReportedVersion | undefined> {
    // The answer may be older than its arrival, never older than the question.
    const at = this.#clock.now();
    const load = await this.#kernel.platform.engine.load(vm);
    if (load.err) return undefined;
    const { weightVersion, weightVersions, orders, busy = false } = load.val;
    const version = weightVersions?.[model] ?? weightVersion;
    const reported = { version, orders, busy, at };
    this.#reportedVersions.set(`${vm.id}/${model}`, reported);
    return reported;
  }

  #versions(
    { pool, model }: PoolModel,
    vms: readonly Vm[],
  ): readonly VersionedVm[] {
    return vms.map((vm) => ({
      id: vm.id,
      version: this.#version(pool, model, vm),
    }));
  }

  /** A model's version by the engine's recent report, directory or leader. */
  #version(
    pool: Pool,
    model: string,
    { id, weightVersions }: Vm,
  ): number {
    const reported = this.#reportedVersions.get(`${id}/${model}`);
    const recent = reported !== undefined &&
      this.#clock.now() - reported.at < REPORTED_VERSION_MAX_AGE_MS;
    if (recent) return reported.version;
    if (weightVersions !== undefined) return weightVersions[model] ?? 0;
    return this.#dispatch.upstreams(pool.name)
      .find((upstream) => upstream.id === id)?.weightVersion ?? 0;
  }
}

function poolModelsOf(pool: Pool): readonly PoolModel[] {
  const models = pool.models ?? [pool.model];
  return models.filter((model) => model !== "")
    .map((model) => ({ pool, model }));
}

function keyOf({ pool, model }: PoolModel): string {
  return `${pool.name}/${model}`;
}
