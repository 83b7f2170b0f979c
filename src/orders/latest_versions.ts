/**
 * The newest version of each model, as the weight store tells of it.
 *
 * @module
 */

import { type Kernel, logger } from "../kernel/mod.ts";
import type { WeightUpdateMetrics } from "./weight_update_metrics.ts";

const log = logger("weights");

/** The versions are read again after this if the store reports no change. */
const VERSION_POLL_TIMEOUT_MS = 2000;
/** Minimum time between two reads of the weight store. */
const MIN_VERSION_POLL_INTERVAL_MS = 100;

/** The newest versions that were seen. */
export class LatestVersions {
  readonly #kernel: Kernel;
  readonly #metrics: WeightUpdateMetrics;
  #versions: ReadonlyMap<string, number> = new Map();

  constructor(options: { kernel: Kernel; metrics: WeightUpdateMetrics }) {
    this.#kernel = options.kernel;
    this.#metrics = options.metrics;
  }

  /** A model's newest version; 0 if none is known. */
  of(model: string): number {
    return this.#versions.get(model) ?? 0;
  }

  /** The newest versions by model. */
  get all(): Readonly<Record<string, number>> {
    return Object.fromEntries(this.#versions);
  }

  /** Watches the versions of `models()`, if these are known, until the signal. */
  async watch(
    signal: AbortSignal,
    models: () => readonly string[] | undefined,
  ): Promise<void> {
    while (!signal.aborted) {
      const wanted = models();
      if (wanted !== undefined) await this.#read(wanted);
      await this.#kernel.clock.sleep(MIN_VERSION_POLL_INTERVAL_MS, signal);
      if (signal.aborted) return;
      await this.#kernel.platform.weights.changed({
        waitMs: VERSION_POLL_TIMEOUT_MS,
        signal,
      });
    }
  }

  async #read(models: readonly string[]): Promise<void> {
    const latest = await this.#kernel.platform.weights
      .latest([...new Set(models)]);
    if (latest.err) {
      this.#metrics.store.inc({ fault: latest.val.fault });
      log("reading newest weight versions failed", { ...latest.val });
      return;
    }
    for (const model of models) {
      this.#record(model, latest.val.get(model) ?? 0);
    }
  }

  // The store's answers may be stale: a version once seen is not withdrawn.
  #record(model: string, version: number): void {
    if (version <= this.of(model)) return;
    this.#versions = new Map([...this.#versions, [model, version]]);
    log("new weight version found", { model, version });
  }
}
