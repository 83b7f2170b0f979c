/**
 * Runs one generation to its end over as many upstreams as it takes.
 *
 * @module
 */

import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";
import type { Chunk, Generation } from "../outside/mod.ts";
import type { Demand } from "../dispatch/mod.ts";
import { Priority } from "../tables/mod.ts";

/** Runs generations; used for callers' requests and for samples. */
export abstract class Generator extends Plugin {
  /**
   * Streams a generation. A broken attempt resumes on another upstream from
   * the text so far, unless `once` is set and it may have run. Ends with a
   * chunk that has a finish reason, or with one refusal; never ends clean
   * without either.
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

/** What an engine is told of a route's priority; higher runs first. */
export const ENGINE_PRIORITY: Readonly<Record<Priority, number>> = {
  [Priority.Interactive]: 3,
  [Priority.Standard]: 2,
  [Priority.Training]: 1,
  [Priority.Batch]: 0,
};
