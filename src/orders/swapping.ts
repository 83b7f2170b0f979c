/**
 * Orders the newest weights on all upstreams, a part of each pool at a time.
 *
 * @module
 */

import { isNone, toUndefined } from "fp-ts/Option";
import { type Clock, type Kernel, logger } from "../kernel/mod.ts";
import { type Config, configKey } from "../config/mod.ts";
import { type Dispatch, dispatchKey } from "../dispatch/mod.ts";
import { Fault, Role, Standing, type Vm } from "../outside/mod.ts";
import type { Pool } from "../tables/mod.ts";
import { assign } from "./assignment.ts";
import type { HeldLease } from "./duty_lease.ts";
import { Concurrency } from "./concurrency.ts";
import { Swaps, type Versioned } from "./swaps.ts";

const log = logger("weights");

/** A change of the newest versions that nobody told of is found after this. */
const REREAD_MS = 2000;
/** Least time between two looks at the weight store. */
const LOOK_MS = 100;

/** How often the models' work is looked at, and what the newest look counts. */
const WEIGH_MS = 500;
const NEWEST_WEIGHT = 0.04;
/** What an engine itself told goes before what its keeper told this long. */
const TOLD_MS = 5000;

/** A model on the upstreams of a pool, which may serve several. */
interface Line {
  readonly pool: Pool;
  readonly model: string;
}

/** What an engine itself told of one model. */
interface Told {
  readonly version: number;
  /** Orders that the engine had accepted by then, if it tells. */
  readonly orders: number | undefined;
  readonly at: number;
}

/** Swaps weights within one tenure. */
export class Swapping {
  readonly #kernel: Kernel;
  readonly #clock: Clock;
  readonly #config: Config;
  readonly #dispatch: Dispatch;
  readonly #tenure: HeldLease;
  readonly #meters: SwapMeters;
  readonly #lines = new Map<string, Swaps>();
  readonly #concurrency = new Map<string, Concurrency>();
  readonly #told = new Map<string, Told>();
  /** Calls to engines that weren't answered yet, by upstream. */
  readonly #asked = new Map<string, Promise<unknown>>();
  /** Requests that ran or waited lately, by model. */
  readonly #weights = new Map<string, number>();
  #turn = 0;
  #weighedAt = -Infinity;
  #latest: ReadonlyMap<string, number> = new Map();
  #vms: readonly Vm[] = [];
  #listedAt = -Infinity;

  constructor(options: {
    kernel: Kernel;
    tenure: HeldLease;
    meters: SwapMeters;
  }) {
    this.#kernel = options.kernel;
    this.#clock = options.kernel.clock;
    this.#config = options.kernel.get(configKey);
    this.#dispatch = options.kernel.get(dispatchKey);
    this.#tenure = options.tenure;
    this.#meters = options.meters;
  }

  /** Looks once at all pools. */
  async round(): Promise<void> {
    const tables = toUndefined(this.#config.current())?.tables;
    if (tables === undefined || !this.#config.fresh()) return;
    const lines = tables.pools.flatMap(linesOf);
    await Promise.all([this.#list(), this.#weigh(lines)]);
    // Each model has its turn at being the first that there is room for.
    this.#turn += 1;
    const first = this.#turn % Math.max(1, lines.length);
    for (const line of [...lines.slice(first), ...lines.slice(0, first)]) {
      this.#line(line);
    }
  }

  /** Waits for the engines that were asked something. */
  async end(): Promise<void> {
    await Promise.all(this.#asked.values());
  }

  /** Follows the newest versions until the tenure ends. */
  async follow(): Promise<void> {
    const { signal } = this.#tenure;
    while (!signal.aborted) {
      await this.#look();
      await this.#clock.sleep(LOOK_MS, signal);
      if (signal.aborted) return;
      await this.#kernel.platform.weights.changed({
        waitMs: REREAD_MS,
        signal,
      });
    }
  }

  async #look(): Promise<void> {
    const tables = toUndefined(this.#config.current())?.tables;
    if (tables === undefined) return;
    const models = tables.pools.flatMap(linesOf).map(({ model }) => model);
    const latest = await this.#kernel.platform.weights
      .latest([...new Set(models)]);
    if (latest.err) {
      this.#meters.store.inc({ fault: latest.val.fault });
      log("versions unread", { ...latest.val });
      return;
    }
    for (const model of models) {
      this.#publish(model, latest.val.get(model) ?? 0);
    }
  }

  // The store's answers may be stale; a version once seen is there.
  #publish(model: string, version: number): void {
    const before = this.#latest.get(model) ?? 0;
    if (version <= before) return;
    this.#latest = new Map([...this.#latest, [model, version]]);
    log("published", { model, version });
  }

  async #list(): Promise<void> {
    const now = this.#clock.now();
    const { directoryMs } = this.#kernel.settings.timing;
    if (now - this.#listedAt < directoryMs) return;
    const vms = await this.#kernel.platform.directory.list();
    if (vms.err) return;
    this.#listedAt = now;
    this.#vms = vms.val;
  }

  #line(line: Line): void {
    const { model } = line;
    const latest = this.#latest.get(model) ?? 0;
    if (latest === 0) return;
    const swaps = this.#swapsOf(line);
    const vms = this.#following(line);
    this.#settle(swaps, { line, upstreams: this.#versions(line, vms) });
    const due = swaps.due(this.#versions(line, vms), {
      latest,
      now: this.#clock.now(),
    });
    const awaited = new Set(swaps.awaited(this.#clock.now()));
    let room = this.#room(line.pool);
    for (const vm of vms) {
      if (awaited.has(vm.id)) this.#ask(vm, () => this.#tell(vm, model));
      if (!due.includes(vm.id) || this.#asked.has(vm.id)) continue;
      // An engine carries out one order at a time, for whichever model.
      if (this.#loading(vm.id) || room <= 0) continue;
      room -= 1;
      const swap = { vm, model, version: latest };
      swaps.started(vm.id, { version: latest, now: this.#clock.now() });
      this.#ask(vm, () => this.#swap(swaps, swap));
    }
  }

  #swapsOf({ pool, model }: Line): Swaps {
    const name = nameOf({ pool, model });
    const known = this.#lines.get(name);
    if (known !== undefined) return known;
    const concurrency = this.#concurrencyOf(pool);
    const swaps = new Swaps({
      lag: pool.versionLag,
      onDone: (ended) => concurrency.ended(ended, this.#clock.now()),
    });
    this.#lines.set(name, swaps);
    return swaps;
  }

  #concurrencyOf({ name }: Pool): Concurrency {
    const known = this.#concurrency.get(name);
    if (known !== undefined) return known;
    const concurrency = new Concurrency();
    this.#concurrency.set(name, concurrency);
    return concurrency;
  }

  /** Swaps of any model that go on in a pool. */
  #pending(pool: Pool): number {
    return linesOf(pool)
      .map((line) => this.#lines.get(nameOf(line))?.pending.length ?? 0)
      .reduce((sum, count) => sum + count, 0);
  }

  /** Swaps that may begin in a pool now. */
  #room(pool: Pool): number {
    const upstreams = this.#vms
      .filter((vm) => vm.role === Role.Upstream && vm.pool === pool.name);
    const limit = this.#concurrencyOf(pool).limit(upstreams.length);
    return limit - this.#pending(pool);
  }

  /** Follows how much work each of several models has. */
  async #weigh(lines: readonly Line[]): Promise<void> {
    const now = this.#clock.now();
    if (now - this.#weighedAt < WEIGH_MS) return;
    this.#weighedAt = now;
    const pools = new Set(
      lines.filter(({ pool }) => linesOf(pool).length > 1)
        .map(({ pool }) => pool.name),
    );
    for (const pool of pools) {
      const { models = {} } = await this.#dispatch.pressure(pool);
      for (const { model } of lines.filter((line) => line.pool.name === pool)) {
        const before = this.#weights.get(model) ?? 0;
        const count = models[model] ?? 0;
        this.#weights.set(model, before + (count - before) * NEWEST_WEIGHT);
      }
    }
  }

  /** The live upstreams that follow the line's model. */
  #following({ pool, model }: Line): readonly Vm[] {
    const vms = this.#vms.filter((vm) =>
      vm.role === Role.Upstream && vm.pool === pool.name &&
      vm.standing === Standing.Live
    );
    const models = linesOf(pool).map((line) => line.model);
    const parts = assign(
      vms.map((vm) => ({
        id: vm.id,
        versions: Object.fromEntries(
          models.map((name) => [name, this.#version(pool, name, vm)]),
        ),
      })),
      models,
      Object.fromEntries(this.#weights),
    );
    const part = new Set(parts.get(model));
    return vms.filter(({ id }) => part.has(id));
  }

  /** Whether an engine loads weights of any model. */
  #loading(id: string): boolean {
    return [...this.#lines.values()].some(({ pending }) =>
      pending.includes(id)
    );
  }

  /** Asks something of an engine, unless it didn't answer to the last yet. */
  #ask({ id }: Vm, ask: () => Promise<unknown>): void {
    if (this.#asked.has(id)) return;
    const answered = ask()
      .catch((error) => this.#fail(error))
      .finally(() => this.#asked.delete(id));
    this.#asked.set(id, answered);
  }

  // Not a call's failure, which is a value: a fault of this daemon. The swap
  // gets overdue and is tried again.
  #fail(error: unknown): void {
    this.#meters.swaps.inc({ outcome: "internal" });
    log("failed", { error: String(error) });
  }

  #settle(
    swaps: Swaps,
    { line, upstreams }: { line: Line; upstreams: readonly Versioned[] },
  ): void {
    for (const [id, end] of swaps.settle(upstreams, this.#clock.now())) {
      this.#meters.swaps.inc({ outcome: end });
      log(end, { upstream: id, pool: line.pool.name, model: line.model });
    }
  }

  async #swap(
    swaps: Swaps,
    { vm, model, version }: { vm: Vm; model: string; version: number },
  ): Promise<void> {
    // What the keeper told lags: the engine itself says if it is behind.
    const current = await this.#tell(vm, model);
    if (current === undefined) return swaps.failed(vm.id, this.#clock.now());
    if (current.version >= version) return swaps.forget(vm.id);
    const { term } = this.#tenure;
    const answer = await this.#tenure.runWhileHeld((signal) =>
      this.#kernel.platform.engine.loadWeights(vm, {
        model,
        version,
        term,
        holder: this.#kernel.settings.vm,
        orders: current.orders,
        signal,
      })
    );
    if (isNone(answer)) return swaps.forget(vm.id);
    const { value } = answer;
    log("ordered", {
      upstream: vm.id,
      model,
      version,
      from: current.version,
      orders: current.orders,
      term,
      outcome: value.err ? value.val.message : "accepted",
    });
    this.#meters.swaps.inc({
      outcome: value.err ? `order_${value.val.fault}` : "ordered",
    });
    // Without an answer the engine may load it: what it tells next decides.
    const started = value.ok || value.val.fault === Fault.Unknown;
    if (!started) swaps.failed(vm.id, this.#clock.now());
  }

  /** Asks an engine for a model's version. */
  async #tell(vm: Vm, model: string): Promise<Told | undefined> {
    const load = await this.#kernel.platform.engine.load(vm);
    if (load.err) return undefined;
    const { weightVersion, weightVersions, orders } = load.val;
    const version = weightVersions?.[model] ?? weightVersion;
    const told = { version, orders, at: this.#clock.now() };
    this.#told.set(`${vm.id}/${model}`, told);
    return told;
  }

  #versions({ pool, model }: Line, vms: readonly Vm[]): readonly Versioned[] {
    return vms.map((vm) => ({
      id: vm.id,
      version: this.#version(pool, model, vm),
    }));
  }

  /** A model's version as the engine itself told, or else its keeper or list. */
  #version(
    pool: Pool,
    model: string,
    { id, weightVersions }: Vm,
  ): number {
    const told = this.#told.get(`${id}/${model}`);
    const recent = told !== undefined &&
      this.#clock.now() - told.at < TOLD_MS;
    if (recent) return told.version;
    if (weightVersions !== undefined) return weightVersions[model] ?? 0;
    return this.#dispatch.upstreams(pool.name)
      .find((upstream) => upstream.id === id)?.weightVersion ?? 0;
  }
}

/** The models that a pool's upstreams serve. */
function linesOf(pool: Pool): readonly Line[] {
  const models = pool.models ?? [pool.model];
  return models.filter((model) => model !== "")
    .map((model) => ({ pool, model }));
}

function nameOf({ pool, model }: Line): string {
  return `${pool.name}/${model}`;
}

/** Counters of weight swaps. */
export class SwapMeters {
  readonly swaps;
  readonly store;

  constructor(kernel: Kernel) {
    this.swaps = kernel.counter(
      "toucanwind_weight_swaps_total",
      "Weight swaps by outcome; order_* are orders that failed",
      ["outcome"],
    );
    this.store = kernel.counter(
      "toucanwind_weight_store_failures_total",
      "Failed looks at the weight store",
      ["fault"],
    );
  }
}
