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
  /** The model that it was assigned to before, if known. */
  readonly current?: string;
}

/**
 * A model keeps its number of upstreams if the ideal one differs by less, or by
 * less than this share of it: each change costs a load of weights.
 */
const HYSTERESIS_UPSTREAMS = 0.8;
const HYSTERESIS_SHARE = 0.15;

/** Minimum weight of a model relative to the largest one. */
const MIN_RELATIVE_WEIGHT = 0.2;

/**
 * Returns the upstreams assigned to each model, in proportion to `weights`. An
 * upstream stays with its current model, or else goes to the one whose newest
 * version in `latest` it lacks least, so that a new lease holder gets about the
 * same assignment without stored state.
 */
export function assignUpstreams(
  upstreams: readonly UpstreamModelVersions[],
  models: readonly string[],
  { weights = {}, latest = {} }: {
    weights?: Readonly<Record<string, number>>;
    /** The newest version of each model; else the newest of an upstream. */
    latest?: Readonly<Record<string, number>>;
  } = {},
): ReadonlyMap<string, readonly string[]> {
  if (models.length <= 1 || upstreams.length < models.length) {
    const all = upstreams.map(({ id }) => id);
    return new Map(models.map((model) => [model, all]));
  }
  const lagOf = lags(upstreams, models, latest);
  const kept = new Map(models.map((model) => [
    model,
    upstreams.filter((one) => homeOf(one, models, lagOf) === model)
      .sort((a, b) => lagOf(a, model) - lagOf(b, model) || byId(a, b)),
  ]));
  const shares = exactShares(upstreams.length, { models, weights, kept });
  const counts = targetCounts(shares, kept);
  const assigned = new Map(models.map((model) => [
    model,
    kept.get(model)?.slice(0, counts.get(model)).map(({ id }) => id) ?? [],
  ]));
  freeOneEach(assigned, upstreams.length);
  const taken = new Set([...assigned.values()].flat());
  let free = upstreams.filter(({ id }) => !taken.has(id)).sort(byId);
  while (free.length > 0) {
    const model = models.reduce((best, one) =>
      assignedShare(assigned, shares, one) <
          assignedShare(assigned, shares, best)
        ? one
        : best
    );
    const next = free.reduce((best, one) =>
      lagOf(one, model) < lagOf(best, model) ? one : best
    );
    assigned.get(model)?.push(next.id);
    free = free.filter((one) => one !== next);
  }
  return assigned;
}

/** How many versions an upstream is behind the newest one of a model. */
type Lag = (one: UpstreamModelVersions, model: string) => number;

function lags(
  upstreams: readonly UpstreamModelVersions[],
  models: readonly string[],
  latest: Readonly<Record<string, number>>,
): Lag {
  const newest = new Map(models.map((model) => [
    model,
    Math.max(
      latest[model] ?? 0,
      ...upstreams.map(({ versions }) => versions[model] ?? 0),
    ),
  ]));
  return ({ versions }, model) =>
    (newest.get(model) ?? 0) - (versions[model] ?? 0);
}

/** The model that an upstream belongs to; `undefined` if several suit it. */
function homeOf(
  one: UpstreamModelVersions,
  models: readonly string[],
  lagOf: Lag,
): string | undefined {
  if (one.current !== undefined && models.includes(one.current)) {
    return one.current;
  }
  // One that has loaded nothing would go to the model with the lowest version.
  if (models.every((model) => (one.versions[model] ?? 0) === 0)) {
    return undefined;
  }
  const least = Math.min(...models.map((model) => lagOf(one, model)));
  const best = models.filter((model) => lagOf(one, model) === least);
  return best.length === 1 ? best[0] : undefined;
}

/**
 * Leaves an upstream free for each model that has none. The tolerance lets other
 * models keep more than their share, together possibly all upstreams.
 */
function freeOneEach(
  assigned: ReadonlyMap<string, string[]>,
  upstreams: number,
): void {
  const parts = [...assigned.values()];
  const without = parts.filter((ids) => ids.length === 0).length;
  let free = upstreams - parts.flat().length;
  for (; free < without; free += 1) {
    parts.reduce((most, ids) => ids.length > most.length ? ids : most).pop();
  }
}

/** The part of a model's share of upstreams that is assigned yet. */
function assignedShare(
  assigned: ReadonlyMap<string, readonly string[]>,
  shares: ReadonlyMap<string, number>,
  model: string,
): number {
  return (assigned.get(model)?.length ?? 0) / (shares.get(model) ?? 1);
}

/**
 * Each model's share of the upstreams by `weights`, not rounded. Without any
 * weight, as for a new lease holder or while no leader answers, the split that is
 * found stays: an even one would cost loads of weights now and again once the
 * demand is known.
 */
function exactShares(
  count: number,
  { models, weights, kept }: {
    models: readonly string[];
    weights: Readonly<Record<string, number>>;
    kept: ReadonlyMap<string, readonly UpstreamModelVersions[]>;
  },
): ReadonlyMap<string, number> {
  const isSplit = models.every((model) => (kept.get(model)?.length ?? 0) > 0);
  const heaviest = Math.max(...models.map((model) => weights[model] ?? 0), 0);
  if (heaviest === 0 && isSplit) {
    return new Map(
      models.map((model) => [model, kept.get(model)?.length ?? 0]),
    );
  }
  const weightOf = (model: string) =>
    heaviest === 0
      ? 1
      : Math.max(weights[model] ?? 0, heaviest * MIN_RELATIVE_WEIGHT);
  const total = models.reduce((sum, model) => sum + weightOf(model), 0);
  return new Map(
    models.map((model) => [model, count * weightOf(model) / total]),
  );
}

/** Number of upstreams that each model may keep; at least one each. */
function targetCounts(
  shares: ReadonlyMap<string, number>,
  kept: ReadonlyMap<string, readonly UpstreamModelVersions[]>,
): ReadonlyMap<string, number> {
  return new Map([...shares].map(([model, exact]) => {
    const current = kept.get(model)?.length ?? 0;
    const tolerance = Math.max(HYSTERESIS_UPSTREAMS, exact * HYSTERESIS_SHARE);
    const keeps = current > 0 && Math.abs(current - exact) < tolerance;
    return [model, keeps ? current : Math.max(1, Math.round(exact))];
  }));
}

function byId(a: UpstreamModelVersions, b: UpstreamModelVersions): number {
  return a.id < b.id ? -1 : 1;
}
