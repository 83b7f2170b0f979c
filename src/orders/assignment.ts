/**
 * Which upstreams of a pool follow which model. Every load of weights costs an
 * upstream its stored prompts and a second's work, so where trainers share a
 * pool, each upstream follows one model's versions only.
 *
 * @module
 */

/** An upstream with the version of each model that it has. */
export interface Follower {
  readonly id: string;
  readonly versions: Readonly<Record<string, number>>;
}

/**
 * The upstreams that follow each model, alike in number. An upstream stays
 * with the model of which it has the newest version, so that any daemon that
 * looks comes to the same parts.
 */
export function assign(
  upstreams: readonly Follower[],
  models: readonly string[],
): ReadonlyMap<string, readonly string[]> {
  if (models.length <= 1 || upstreams.length < models.length) {
    const all = upstreams.map(({ id }) => id);
    return new Map(models.map((model) => [model, all]));
  }
  const parts = new Map(models.map((model) => [model, [] as string[]]));
  let left = [...upstreams].sort((a, b) => a.id < b.id ? -1 : 1);
  for (let turn = 0; left.length > 0; turn++) {
    const model = models[turn % models.length];
    const next = left.reduce((best, one) =>
      lead(one, model, models) > lead(best, model, models) ? one : best
    );
    parts.get(model)?.push(next.id);
    left = left.filter((one) => one !== next);
  }
  return parts;
}

/** How much further an upstream is with a model than with the others. */
function lead(
  { versions }: Follower,
  model: string,
  models: readonly string[],
): number {
  const own = versions[model] ?? 0;
  const others = models.filter((other) => other !== model)
    .map((other) => versions[other] ?? 0);
  return own - Math.max(...others);
}
