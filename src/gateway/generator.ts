/**
 * Interface of the generator plug-in, which runs one generation to its end,
 * on several upstreams if attempts fail.
 *
 * @module
 */

import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";
import type { Chunk, Generation } from "../outside/mod.ts";
import type { Demand } from "../dispatch/mod.ts";
import { Priority } from "../tables/mod.ts";

/** Runs generations for callers' requests and for samples. */
export abstract class Generator extends Plugin {
  /**
   * Streams a generation. After a failed attempt it resumes on another upstream
   * from the text so far, unless `atMostOnce` is set and the attempt may have
   * run. The last item is always a chunk with a finish reason or a refusal.
   */
  abstract run(
    demand: Demand,
    generation: Generation,
    signal: AbortSignal,
    options?: { atMostOnce?: boolean },
  ): AsyncGenerator<Result<Chunk, Refusal>, void, void>;
}

/** The key of the generator plug-in. */
export const generatorKey = new PluginKey<Generator>("generator");

/** Priorities as sent to engines; higher values run first. */
export const ENGINE_PRIORITY: Readonly<Record<Priority, number>> = {
  [Priority.Interactive]: 3,
  [Priority.Standard]: 2,
  [Priority.Training]: 1,
  [Priority.Batch]: 0,
};
