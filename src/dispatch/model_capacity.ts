/**
 * The slots of a shard for each model. In a pool that serves several models an
 * engine has fresh weights of one of them only, so a shard with free slots may
 * have none for a given request, which would wait there in vain.
 *
 * @module
 */

import type { Candidate } from "./upstream_selector.ts";
import type { Demand } from "./mod.ts";

/** Slots of the upstreams that serve one weight version of a model. */
export interface VersionSlots {
  readonly version: number;
  readonly slots: number;
  /** Those in use, by requests of any model. */
  readonly busy: number;
}

/** What a shard offers for one model. */
export interface ModelCapacity {
  readonly versions: readonly VersionSlots[];
  /** Requests of the model that wait in the shard. */
  readonly queued: number;
}

/** The capacities by model; absent from daemons of earlier builds. */
export type ModelCapacities = Readonly<Record<string, ModelCapacity>>;

/** The weight versions of an upstream, by model. */
export function weightVersionsOf(
  { upstream, load }: Pick<Candidate, "upstream" | "load">,
): Readonly<Record<string, number>> {
  // Before the first report, the versions from the platform's list are used.
  return load?.weightVersions ?? upstream.weightVersions ?? {};
}

/** The capacities of a shard from its usable upstreams and waiting requests. */
export function modelCapacitiesOf(
  usable: readonly Candidate[],
  options: {
    /** Waiting requests by model. */
    queued: Readonly<Record<string, number>>;
    /** Whether an upstream refused requests of a model just now. */
    refuses: (upstream: string, model: string) => boolean;
  },
): ModelCapacities {
  const versions = new Map<string, Map<number, VersionSlots>>();
  for (const candidate of usable) {
    const { upstream, inFlight, foreign } = candidate;
    const { slots } = upstream;
    const busy = Math.min(slots, inFlight + foreign);
    for (
      const [model, version] of Object.entries(weightVersionsOf(candidate))
    ) {
      if (options.refuses(upstream.id, model)) continue;
      const byVersion = versions.get(model) ?? new Map<number, VersionSlots>();
      versions.set(model, byVersion);
      const known = byVersion.get(version);
      byVersion.set(version, {
        version,
        slots: slots + (known?.slots ?? 0),
        busy: busy + (known?.busy ?? 0),
      });
    }
  }
  const models = new Set([...versions.keys(), ...Object.keys(options.queued)]);
  return Object.fromEntries([...models].map((model) => [model, {
    versions: [...versions.get(model)?.values() ?? []],
    queued: options.queued[model] ?? 0,
  }]));
}

/**
 * The load of a shard for a request with a model: 1 if all slots that suit it
 * are in use, infinite without such slots. `asked` are this daemon's requests of
 * the model that wait there, which the capacity may not include yet.
 */
export function loadForModel(
  capacity: ModelCapacity | undefined,
  { minVersion }: Pick<Demand, "minVersion">,
  asked: number,
): number {
  const suitable = (capacity?.versions ?? [])
    .filter(({ version }) => version >= minVersion);
  const slots = suitable.reduce((sum, one) => sum + one.slots, 0);
  if (capacity === undefined || slots === 0) return Infinity;
  const busy = suitable.reduce((sum, one) => sum + one.busy, 0);
  return (busy + Math.max(capacity.queued, asked)) / slots;
}
