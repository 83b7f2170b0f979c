/**
 * Which upstreams of a pool follow which model. Every load of weights costs an
 * upstream its stored prompts and a second's work, so where trainers share a
 * pool, each upstream follows one model's versions only.
 *
 * @module
 */

/** An upstream with the version of each model that it has. */
export interface UpstreamModelVersions {
  readonly id: string;
  readonly versions: Readonly<Record<string, number>>;
}

/** A model's part of a pool changes only by more than this of an upstream. */
const HYSTERESIS_UPSTREAMS = 0.8;

/** Least weight of a model against the heaviest one. */
const MIN_RELATIVE_WEIGHT = 0.2;

/**
 * The upstreams that follow each model, in number by the models' weights. An
 * upstream stays with the model of which it has the newest version, so that
 * any daemon that looks comes to the same parts.
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
  const sizes = partSizes(upstreams, models, weights);
  const parts = new Map(models.map((model) => [model, [] as string[]]));
  let unassigned = [...upstreams].sort((a, b) => a.id < b.id ? -1 : 1);
  while (unassigned.length > 0) {
    const model = models.reduce((best, one) =>
      filledShare(parts, sizes, one) < filledShare(parts, sizes, best)
        ? one
        : best
    );
    const next = unassigned.reduce((best, one) =>
      versionLead(one, model, models) > versionLead(best, model, models)
        ? one
        : best
    );
    parts.get(model)?.push(next.id);
    unassigned = unassigned.filter((one) => one !== next);
  }
  return parts;
}

/** How much of a model's part is there, from 0 to 1. */
function filledShare(
  parts: ReadonlyMap<string, readonly string[]>,
  sizes: ReadonlyMap<string, number>,
  model: string,
): number {
  return (parts.get(model)?.length ?? 0) / (sizes.get(model) ?? 1);
}

/** Whole numbers of upstreams, one at least, near what the weights ask for. */
function partSizes(
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
  const sizes = new Map<string, number>();
  for (const model of models) {
    const exact = count * weightOf(model) / total;
    const current = countAhead(upstreams, model, models);
    const kept = current > 0 &&
      Math.abs(current - exact) < HYSTERESIS_UPSTREAMS;
    sizes.set(model, kept ? current : Math.max(1, Math.round(exact)));
  }
  return sizes;
}

/** Upstreams that are further with this model than with any other. */
function countAhead(
  upstreams: readonly UpstreamModelVersions[],
  model: string,
  models: readonly string[],
): number {
  return upstreams.filter((one) => versionLead(one, model, models) > 0).length;
}

/** How much further an upstream is with a model than with the others. */
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
