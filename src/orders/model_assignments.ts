/**
 * The models that engines are assigned to, over the rounds of a held lease.
 * Engines of a pool with several models load the versions of one model each, as
 * every load costs an engine its prompt cache and about a second of work.
 *
 * @module
 */

import { logger } from "../kernel/mod.ts";
import { assignUpstreams, type UpstreamModelVersions } from "./assignment.ts";
import { ModelDemands } from "./model_demands.ts";

const log = logger("weights");

/** A pool with its models and its live upstreams. */
export interface AssignablePool {
  readonly name: string;
  readonly models: readonly string[];
  readonly upstreams: readonly Omit<UpstreamModelVersions, "current">[];
}

/** Assigns engines to models; the state is lost with the lease. */
export class ModelAssignments {
  /** By pool, as several pools may serve the same model. */
  readonly #demands = new Map<string, ModelDemands>();
  /** The model of each upstream, by pool, as last assigned. */
  readonly #modelsOf = new Map<string, ReadonlyMap<string, string>>();

  /** Records how many requests of a pool's models run or wait. */
  recordDemand(
    pool: string,
    counts: Readonly<Record<string, number>>,
    now: number,
  ): void {
    const demands = this.#demands.get(pool) ?? new ModelDemands();
    this.#demands.set(pool, demands);
    demands.record(counts, now);
  }

  /** Assigns a pool's upstreams anew; returns how many changed their model. */
  assign(
    { name, models, upstreams }: AssignablePool,
    { latest, now }: {
      /** The newest version of each model. */
      latest: Readonly<Record<string, number>>;
      now: number;
    },
  ): number {
    if (models.length <= 1 || upstreams.length < models.length) {
      this.#modelsOf.delete(name);
      return 0;
    }
    const before = this.#modelsOf.get(name);
    const assigned = assignUpstreams(
      upstreams.map((one) => ({ ...one, current: before?.get(one.id) })),
      models,
      { weights: this.#demands.get(name)?.peaks(now), latest },
    );
    const modelOf = new Map(
      [...assigned].flatMap(([model, ids]) =>
        ids.map((id) => [id, model] as const)
      ),
    );
    this.#modelsOf.set(name, modelOf);
    return logChanges(name, { before, modelOf });
  }

  /** Whether an upstream loads a model; any does while none is assigned. */
  loads(upstream: string, { pool, model }: {
    pool: string;
    model: string;
  }): boolean {
    const modelOf = this.#modelsOf.get(pool);
    return modelOf === undefined || modelOf.get(upstream) === model;
  }
}

/** Logs the upstreams that changed their model; returns their number. */
function logChanges(pool: string, { before, modelOf }: {
  before: ReadonlyMap<string, string> | undefined;
  modelOf: ReadonlyMap<string, string>;
}): number {
  const changed = [...modelOf].filter(([id, model]) =>
    (before?.get(id) ?? model) !== model
  );
  for (const [upstream, to] of changed) {
    const from = before?.get(upstream);
    log("upstream reassigned", { upstream, pool, from, to });
  }
  return changed.length;
}
