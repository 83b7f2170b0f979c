/**
 * Orders the newest weights on all upstreams, a part of each pool at a time.
 *
 * @module
 */

import { isNone, toUndefined } from "fp-ts/Option";
import { type Clock, type Kernel, logger } from "../kernel/mod.ts";
import { type Config, configKey } from "../config/mod.ts";
import { type Dispatch, dispatchKey } from "../dispatch/mod.ts";
import { Fault, Role, Standing, type Vm } from "../platform/mod.ts";
import type { Pool } from "../tables/mod.ts";
import type { Tenure } from "./charge.ts";
import { SwapEnd, Swaps, type Versioned } from "./swaps.ts";

const log = logger("weights");

/** How often the weight store is asked for a model's newest version. */
const LATEST_MS = 1000;
/** What an engine itself told goes before what its keeper told this long. */
const TOLD_MS = 5000;

/** Swaps weights within one tenure. */
export class Swapping {
  readonly #kernel: Kernel;
  readonly #clock: Clock;
  readonly #config: Config;
  readonly #dispatch: Dispatch;
  readonly #tenure: Tenure;
  readonly #meters: SwapMeters;
  readonly #pools = new Map<string, Swaps>();
  readonly #told = new Map<string, { version: number; at: number }>();
  /** Calls to engines that weren't answered yet, by upstream. */
  readonly #asked = new Map<string, Promise<unknown>>();
  #latest: ReadonlyMap<string, number> = new Map();
  #vms: readonly Vm[] = [];
  #askedAt = -Infinity;
  #listedAt = -Infinity;

  constructor(options: {
    kernel: Kernel;
    tenure: Tenure;
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
    const pools = tables.pools.filter(({ model }) => model !== "");
    await Promise.all([this.#look(pools), this.#list()]);
    for (const pool of pools) this.#pool(pool);
  }

  /** Waits for the engines that were asked something. */
  async end(): Promise<void> {
    await Promise.all(this.#asked.values());
  }

  async #look(pools: readonly Pool[]): Promise<void> {
    const now = this.#clock.now();
    if (now - this.#askedAt < LATEST_MS) return;
    this.#askedAt = now;
    const models = [...new Set(pools.map(({ model }) => model))];
    const versions = await Promise.all(
      models.map((model) => this.#kernel.platform.weights.latest(model)),
    );
    for (const [n, version] of versions.entries()) {
      if (version.err) this.#meters.store.inc({ fault: version.val.fault });
      else this.#publish(models[n], version.val);
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

  #pool(pool: Pool): void {
    const latest = this.#latest.get(pool.model) ?? 0;
    if (latest === 0) return;
    const swaps = this.#pools.get(pool.name) ?? new Swaps();
    this.#pools.set(pool.name, swaps);
    const vms = this.#vms.filter((vm) =>
      vm.role === Role.Upstream && vm.pool === pool.name &&
      vm.standing === Standing.Live
    );
    this.#settle(swaps, { pool, upstreams: this.#versions(pool, vms) });
    const due = swaps.due(this.#versions(pool, vms), {
      latest,
      now: this.#clock.now(),
    });
    const awaited = new Set(swaps.awaited(this.#clock.now()));
    for (const vm of vms) {
      if (awaited.has(vm.id)) this.#ask(vm, () => this.#tell(vm));
      if (!due.includes(vm.id) || this.#asked.has(vm.id)) continue;
      const swap = { vm, pool, version: latest };
      swaps.started(vm.id, { version: latest, now: this.#clock.now() });
      this.#ask(vm, () => this.#swap(swaps, swap));
    }
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
    { pool, upstreams }: { pool: Pool; upstreams: readonly Versioned[] },
  ): void {
    for (const [id, end] of swaps.settle(upstreams, this.#clock.now())) {
      this.#meters.swaps.inc({ outcome: end });
      if (end !== SwapEnd.Done) {
        log("overdue", { upstream: id, pool: pool.name });
      }
    }
  }

  async #swap(
    swaps: Swaps,
    { vm, pool, version }: { vm: Vm; pool: Pool; version: number },
  ): Promise<void> {
    // What the keeper told lags: the engine itself says if it is behind.
    const current = await this.#tell(vm);
    if (current === undefined) return swaps.failed(vm.id, this.#clock.now());
    if (current >= version) return swaps.forget(vm.id);
    const { model } = pool;
    const { term } = this.#tenure;
    const answer = await this.#tenure.act((signal) =>
      this.#kernel.platform.engine.loadWeights(vm, {
        model,
        version,
        term,
        signal,
      })
    );
    if (isNone(answer)) return swaps.forget(vm.id);
    const { value } = answer;
    this.#meters.swaps.inc({
      outcome: value.err ? `order_${value.val.fault}` : "ordered",
    });
    // Without an answer the engine may load it: what it tells next decides.
    const started = value.ok || value.val.fault === Fault.Unknown;
    if (!started) swaps.failed(vm.id, this.#clock.now());
  }

  /** Asks an engine for its version. */
  async #tell(vm: Vm): Promise<number | undefined> {
    const load = await this.#kernel.platform.engine.load(vm);
    if (load.err) return undefined;
    const version = load.val.weightVersion;
    this.#told.set(vm.id, { version, at: this.#clock.now() });
    return version;
  }

  #versions(pool: Pool, vms: readonly Vm[]): readonly Versioned[] {
    const now = this.#clock.now();
    const kept = new Map(
      this.#dispatch.upstreams(pool.name)
        .map(({ id, weightVersion }) => [id, weightVersion]),
    );
    return vms.map(({ id }) => {
      const told = this.#told.get(id);
      const recent = told !== undefined && now - told.at < TOLD_MS;
      return { id, version: recent ? told.version : kept.get(id) ?? 0 };
    });
  }
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
