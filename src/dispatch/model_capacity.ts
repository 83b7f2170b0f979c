/**
 * The slots of a shard for each model. In a pool that serves several models an
 * engine has fresh weights of one of them only, so a shard with free slots may
 * have none for a given request, which would wait there in vain.
 *
 * @module
 */

import type { Demand } from "./mod.ts";
import type { WaitCount } from "./own_waits.ts";
import { type Candidate, slotsOf } from "./upstream_selector.ts";

/**
 * Most models in a summary, and the longest name. Engines report names of any
 * length and number, and every summary goes to all daemons.
 */
const MAX_MODELS = 64;
const MAX_NAME_LENGTH = 200;

/** Most versions of a model in a summary; older ones count as the oldest. */
const MAX_VERSIONS = 8;

/**
 * Slots of the upstreams that serve one weight version of a model: the version,
 * the slots, and those of them in use by requests of any model.
 */
export type VersionSlots = readonly [
  version: number,
  slots: number,
  busy: number,
];

/** What a shard offers for one model. */
export interface ModelCapacity {
  /** The newest version first. */
  readonly versions: readonly VersionSlots[];
  /** Requests of the model that wait in the shard. */
  readonly queued: number;
}

/** The capacities by model. */
export type ModelCapacities = Readonly<Record<string, ModelCapacity>>;

/** The weight versions of an upstream, by model. */
export function weightVersionsOf(
  { upstream, load }: Pick<Candidate, "upstream" | "load">,
): Readonly<Record<string, number>> {
  // Before the first report, the versions from the platform's list are used.
  return load?.weightVersions ?? upstream.weightVersions ?? {};
}

/**
 * The capacities of a shard from its usable upstreams and waiting requests, for
 * each model that an upstream lists. One that doesn't list it has its version 0.
 */
export function modelCapacitiesOf(
  usable: readonly Candidate[],
  options: {
    /** Waiting requests by model, of which callers choose the names. */
    queued: ReadonlyMap<string, number>;
    /** Whether an upstream refused requests of a model just now. */
    refuses: (upstream: string, model: string) => boolean;
  },
): ModelCapacities {
  const queuedOf = (model: string) => options.queued.get(model) ?? 0;
  const engines = usable.map((candidate) => ({
    candidate,
    versions: new Map(Object.entries(weightVersionsOf(candidate))),
  }));
  const names = new Set(
    engines.flatMap(({ versions }) => [...versions.keys()]),
  );
  const models = [...names]
    .filter((model) => model.length <= MAX_NAME_LENGTH)
    .sort((a, b) => queuedOf(b) - queuedOf(a))
    .slice(0, MAX_MODELS);
  return Object.fromEntries(models.map((model) => {
    const slots = engines
      .filter(({ candidate }) => !options.refuses(candidate.upstream.id, model))
      .map(({ candidate, versions }) => {
        const { inFlight, foreign } = candidate;
        const slots = slotsOf(candidate);
        const busy = Math.min(slots, inFlight + foreign);
        return [versions.get(model) ?? 0, slots, busy] as const;
      });
    return [model, {
      versions: mergedVersions(slots),
      queued: queuedOf(model),
    }];
  }));
}

/**
 * The newest weights among the upstreams that can take a request now. A queue
 * tries only some requests with each upstream; those that wait for weights must
 * not hold back the others.
 */
export class FreeWeights {
  readonly #free: readonly Candidate[];
  readonly #refuses: (upstream: string, model: string) => boolean;
  readonly #newest = new Map<string, number>();

  constructor(free: readonly Candidate[], options: {
    /** Whether an upstream refused requests of a model just now. */
    refuses: (upstream: string, model: string) => boolean;
  }) {
    this.#free = free;
    this.#refuses = options.refuses;
  }

  /** Whether one of the upstreams has a request's weights. */
  suit({ model, minVersion }: Pick<Demand, "model" | "minVersion">): boolean {
    return model === undefined || this.#newestOf(model) >= minVersion;
  }

  #newestOf(model: string): number {
    const known = this.#newest.get(model);
    if (known !== undefined) return known;
    let newest = -Infinity;
    for (const candidate of this.#free) {
      if (this.#refuses(candidate.upstream.id, model)) continue;
      newest = Math.max(newest, weightVersionsOf(candidate)[model] ?? 0);
    }
    this.#newest.set(model, newest);
    return newest;
  }
}

/** Adds up the slots of equal versions. */
function mergedVersions(
  slots: readonly VersionSlots[],
): readonly VersionSlots[] {
  const merged: [version: number, slots: number, busy: number][] = [];
  for (const [version, slotCount, busy] of slots.toSorted(newestFirst)) {
    const last = merged.at(-1);
    const joins = last !== undefined &&
      (last[0] === version || merged.length === MAX_VERSIONS);
    if (!joins) {
      merged.push([version, slotCount, busy]);
      continue;
    }
    last[0] = version;
    last[1] += slotCount;
    last[2] += busy;
  }
  return merged;
}

function newestFirst([a]: VersionSlots, [b]: VersionSlots): number {
  return b - a;
}

/** Slots of upstreams that a request must not be sent to, and those in use. */
export interface ExcludedSlots {
  readonly slots: number;
  readonly busy: number;
}

/**
 * The load of a shard for a request with a model: 1 if all slots that suit it
 * are in use, infinite without such slots.
 */
export function loadForModel(
  { versions, queued }: ModelCapacity,
  options: Pick<Demand, "minVersion"> & {
    /** This daemon's waits for the model there. */
    own?: WaitCount;
    /** Suitable slots that the request must not use. */
    excluded?: ExcludedSlots;
    /** Requests of this daemon that are about to wait there. */
    joining?: number;
  },
): number {
  const { minVersion, own, excluded, joining = 0 } = options;
  let slots = -(excluded?.slots ?? 0);
  let busy = -(excluded?.busy ?? 0);
  for (const [version, versionSlots, versionBusy] of versions) {
    if (version < minVersion) continue;
    slots += versionSlots;
    busy += versionBusy;
  }
  if (slots <= 0) return Infinity;
  const others = Math.max(0, queued - (own?.included ?? 0));
  return (Math.max(0, busy) + others + (own?.waiting ?? 0) + joining) / slots;
}

/** Counts requests by model; those without one are left out. */
export function countByModel(
  demands: readonly Demand[],
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const { model } of demands) {
    if (model !== undefined) counts.set(model, (counts.get(model) ?? 0) + 1);
  }
  return counts;
}
