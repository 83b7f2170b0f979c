/**
 * Assigns the upstreams of a pool to models. Each load of weights costs an
 * upstream its prompt cache and about a second of work, so in a pool shared by
 * trainers each upstream loads the versions of one model only.
 *
 * @module
 */

/** An upstream with its version of each model. */
export interface UpstreamModelVersions {
  readonly id: string;
  readonly versions: Readonly<Record<string, number>>;
}

/** A model keeps its number of upstreams if the ideal one differs by less. */
const HYSTERESIS_UPSTREAMS = 0.8;

/** Minimum weight of a model relative to the largest one. */
const MIN_RELATIVE_WEIGHT = 0.2;

/**
 * Returns the upstreams assigned to each model, in proportion to `weights`. An
 * upstream stays with the model in which its version is furthest ahead, so that
 * every daemon computes the same assignment without stored state.
 */
export function assignUpstreams(
  upstreams: readonly UpstreamModelVersions[],
  models: readonly string[],
  weights: Readonly<Record<string, number>> = {},
): ReadonlyMap<string, readonly string[]> {
  if (models.length <= 1 || upstreams.length < models.length) {
    const all = upstreams.map(({ id }) => id);
    return new Map(models.map((model) => [model, all]));
  }
  const counts = targetCounts(upstreams, models, weights);
  const assigned = new Map(models.map((model) => [model, [] as string[]]));
  let unassigned = [...upstreams].sort((a, b) => a.id < b.id ? -1 : 1);
  while (unassigned.length > 0) {
    const model = models.reduce((best, one) =>
      assignedShare(assigned, counts, one) <
          assignedShare(assigned, counts, best)
        ? one
        : best
    );
    const next = unassigned.reduce((best, one) =>
      versionLead(one, model, models) > versionLead(best, model, models)
        ? one
        : best
    );
    assigned.get(model)?.push(next.id);
    unassigned = unassigned.filter((one) => one !== next);
  }
  return assigned;
}

/** The share of a model's upstreams that are assigned yet, from 0 to 1. */
function assignedShare(
  assigned: ReadonlyMap<string, readonly string[]>,
  counts: ReadonlyMap<string, number>,
  model: string,
): number {
  return (assigned.get(model)?.length ?? 0) / (counts.get(model) ?? 1);
}

/** Number of upstreams for each model, by `weights`; at least one each. */
function targetCounts(
  upstreams: readonly UpstreamModelVersions[],
  models: readonly string[],
  weights: Readonly<Record<string, number>>,
): ReadonlyMap<string, number> {
  const heaviest = Math.max(...models.map((model) => weights[model] ?? 0), 0);
  const weightOf = (model: string) =>
    heaviest === 0
      ? 1
      : Math.max(weights[model] ?? 0, heaviest * MIN_RELATIVE_WEIGHT);
  const total = models.reduce((sum, model) => sum + weightOf(model), 0);
  const count = upstreams.length;
  const counts = new Map<string, number>();
  for (const model of models) {
    const exact = count * weightOf(model) / total;
    const current = countAhead(upstreams, model, models);
    const kept = current > 0 &&
      Math.abs(current - exact) < HYSTERESIS_UPSTREAMS;
    counts.set(model, kept ? current : Math.max(1, Math.round(exact)));
  }
  return counts;
}

/** Number of upstreams that are further ahead in `model` than in any other. */
function countAhead(
  upstreams: readonly UpstreamModelVersions[],
  model: string,
  models: readonly string[],
): number {
  return upstreams.filter((one) => versionLead(one, model, models) > 0).length;
}

/** Versions by which an upstream is further ahead in `model` than in others. */
function versionLead(
  { versions }: UpstreamModelVersions,
  model: string,
  models: readonly string[],
): number {
  const own = versions[model] ?? 0;
  const others = models.filter((other) => other !== model)
    .map((other) => versions[other] ?? 0);
  return own - Math.max(...others);
}
