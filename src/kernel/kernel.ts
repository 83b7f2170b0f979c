/**
 * The kernel creates, starts, drains and stops the plug-ins and gives them
 * access to clock, settings, platform and metrics. It depends on no particular
 * plug-in.
 *
 * @module
 */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Platform } from "../outside/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { type Clock, SystemClock } from "./clock.ts";
import { logger } from "./log.ts";
import {
  type Plugin,
  type PluginKey,
  registeredPlugins,
  type Registration,
} from "./plugin.ts";

const log = logger("daemon");

/** The core of the daemon: the plug-ins and the resources they share. */
export class Kernel {
  readonly settings: Settings;
  readonly platform: Platform;
  readonly clock: Clock;
  readonly metrics = new Registry();
  /** Unique to this run of the daemon, also among runs on the same VM. */
  readonly incarnation: string;
  readonly #plugins = new Map<PluginKey, Plugin>();
  #draining = false;

  constructor(options: {
    settings: Settings;
    platform: Platform;
    incarnation: string;
    clock?: Clock;
    registrations?: readonly Registration[];
  }) {
    this.settings = options.settings;
    this.platform = options.platform;
    this.incarnation = options.incarnation;
    this.clock = options.clock ?? new SystemClock();
    for (const registration of options.registrations ?? registeredPlugins()) {
      this.#plugins.set(registration.key, registration.create(this));
    }
  }

  /** The plug-in with this key; throws if it has not been created. */
  get<T extends Plugin>(key: PluginKey<T>): T {
    const plugin = this.#plugins.get(key);
    if (plugin === undefined) {
      throw new RangeError(`Plug-in "${key.name}" has not been created`);
    }
    return plugin as T;
  }

  /** Every plug-in with its name, in start order. */
  get plugins(): readonly (readonly [string, Plugin])[] {
    return [...this.#plugins].map(([key, plugin]) =>
      [key.name, plugin] as const
    );
  }

  /** Whether a graceful shutdown has begun. */
  get draining(): boolean {
    return this.#draining;
  }

  /** Starts all plug-ins in order, then opens them for callers' requests. */
  async start(): Promise<void> {
    for (const plugin of this.#plugins.values()) await plugin.start();
    for (const plugin of this.#plugins.values()) await plugin.open();
  }

  /**
   * Shuts down gracefully: announces that this daemon leaves, closes all
   * plug-ins while everything that running requests need is still available,
   * then drains and then stops them. Leaving calls other services, which may not
   * answer; it has the drain period at most.
   */
  async shutdown(): Promise<void> {
    this.#draining = true;
    const plugins = [...this.#plugins.values()];
    for (const plugin of plugins) plugin.beginShutdown();
    const left = new AbortController();
    const overdue = this.clock
      .sleep(this.settings.timing.drainMs, left.signal);
    const leaving = this.#leave()
      .catch((error) => log("hand-over failed", { reason: String(error) }))
      .finally(() => left.abort());
    const reversed = [...plugins].reverse();
    for (const plugin of reversed) await plugin.close();
    await Promise.race([leaving, overdue]);
    for (const plugin of reversed) await plugin.drain();
    for (const plugin of reversed) await plugin.stop();
  }

  async #leave(): Promise<void> {
    for (const plugin of this.#plugins.values()) await plugin.leave();
  }

  /** Creates a counter in this daemon's metrics registry. */
  counter<L extends string>(
    name: string,
    help: string,
    labelNames: readonly L[] = [],
  ): Counter<L> {
    return new Counter({
      name,
      help,
      labelNames: [...labelNames],
      registers: [this.metrics],
    });
  }

  /** Creates a gauge in this daemon's metrics registry. */
  gauge<L extends string>(
    name: string,
    help: string,
    labelNames: readonly L[] = [],
  ): Gauge<L> {
    return new Gauge({
      name,
      help,
      labelNames: [...labelNames],
      registers: [this.metrics],
    });
  }

  /** Creates a histogram in this daemon's metrics registry. */
  histogram<L extends string>(
    name: string,
    help: string,
    buckets: readonly number[],
    labelNames: readonly L[] = [],
  ): Histogram<L> {
    return new Histogram({
      name,
      help,
      buckets: [...buckets],
      labelNames: [...labelNames],
      registers: [this.metrics],
    });
  }
}
