/**
 * Selects the shards at which the requests of this daemon wait, by what the
 * leaders publish and what this daemon itself has waiting.
 *
 * @module
 */

import type { Fleet, Shard } from "./fleet.ts";
import type { ShardSummary } from "./messages.ts";
import type { Demand } from "./mod.ts";
import { type ExcludedSlots, loadForModel } from "./model_capacity.ts";
import { OwnWaits } from "./own_waits.ts";
import { Admission, type Quarantine } from "./quarantine.ts";
import {
  isBetterElsewhere,
  leastLoadedShard,
  preferredShard,
  selectShard,
  selectSuitableShard,
} from "./shard_selection.ts";
import { isInUse } from "./shards.ts";
import type { ShardSummaries } from "./summaries.ts";

/** Load added to a shard that has no upstream in this availability zone. */
const CROSS_ZONE_COST = 0.05;

/** Why a wait is moved to another shard. */
export enum MoveReason {
  /** Its shard has no slots that suit the request, and the other one has. */
  NoSlots = "no_slots",
  /** The other shard is much less loaded for the request. */
  LessLoaded = "less_loaded",
}

/** The shard to which a wait is moved, and why. */
export interface Move {
  readonly shard: Shard;
  readonly reason: MoveReason;
}

/** Selects shards by their loads as known here. */
export class ShardSelector {
  readonly #availabilityZone: string;
  readonly #quarantine: Quarantine;
  readonly #summaries: ShardSummaries;
  readonly #random: () => number;
  readonly #ownWaits = new OwnWaits();
  #fleet: Fleet;

  constructor(options: {
    /** Availability zone of this daemon. */
    availabilityZone: string;
    quarantine: Quarantine;
    summaries: ShardSummaries;
    fleet: Fleet;
    random: () => number;
  }) {
    this.#availabilityZone = options.availabilityZone;
    this.#quarantine = options.quarantine;
    this.#summaries = options.summaries;
    this.#fleet = options.fleet;
    this.#random = options.random;
  }

  /** Replaces the view of the upstreams. */
  setFleet(fleet: Fleet): void {
    this.#fleet = fleet;
  }

  /** Counts a wait for a model at a shard until the returned function is called. */
  addWait(shard: Shard, model: string): () => void {
    const summary = this.#summaries.latest(shard.name);
    return this.#ownWaits.add(shard.name, model, identityOf(summary));
  }

  /** Selects a shard among those with an upstream that the request may use. */
  select(demand: Demand, { refusedBy = new Set() }: {
    /** Names of shards that refused this request. */
    refusedBy?: ReadonlySet<string>;
  } = {}): Shard | undefined {
    const shards = this.#usableShards(demand)
      .filter(({ name }) => !refusedBy.has(name));
    const suitable = this.#suitable(shards, demand);
    const { fingerprint, prefixes } = demand;
    // Equal suspects meet at one leader, which runs them one at a time.
    if (!this.#isShared(demand)) {
      return preferredShard(
        fingerprint,
        suitable.length > 0 ? suitable : shards,
      );
    }
    const key = prefixes.at(-1) ?? fingerprint;
    const random = this.#random;
    if (suitable.length > 0) {
      const load = (shard: Shard) => this.#modelLoad(shard, demand);
      return selectSuitableShard(suitable, { key, load, random });
    }
    return selectShard(shards, {
      key,
      load: (shard) => this.#load(shard),
      random,
    });
  }

  /** Where a request that waits at `shard` should wait instead, if anywhere. */
  betterThan(
    shard: Shard,
    demand: Demand,
    { refusedBy }: {
      /** Names of shards that refused this request. */
      refusedBy: ReadonlySet<string>;
    },
  ): Move | undefined {
    const current = this.#fleet.shard(shard.name) ?? shard;
    const shards = this.#usableShards(demand);
    const others = this.#suitable(shards, demand)
      .filter(({ name }) => name !== shard.name && !refusedBy.has(name));
    const here = shards.includes(current)
      ? this.#modelLoad(current, demand)
      : Infinity;
    // Suspects stay where equal ones meet as long as they can run there.
    if (!this.#isShared(demand)) {
      if (here !== Infinity) return undefined;
      const next = preferredShard(demand.fingerprint, others);
      return next && { shard: next, reason: MoveReason.NoSlots };
    }
    // The wait counts where it is; compared is what the load would be there.
    const load = (one: Shard) => this.#modelLoad(one, demand, { joining: 1 });
    const random = this.#random;
    const best = leastLoadedShard(others, { load, random });
    if (best === undefined) return undefined;
    if (!isBetterElsewhere({ here, there: load(best), random })) {
      return undefined;
    }
    const reason = here === Infinity
      ? MoveReason.NoSlots
      : MoveReason.LessLoaded;
    return { shard: best, reason };
  }

  #isShared(demand: Demand): boolean {
    return this.#quarantine.admission(demand) === Admission.Shared;
  }

  /** The shards of a pool with an upstream that a request may use. */
  #usableShards(demand: Demand): readonly Shard[] {
    return this.#fleet.shardsOfPool(demand.pool).filter((shard) =>
      shard.upstreams.some((upstream) =>
        isInUse(upstream) && !demand.exclude.includes(upstream.id)
      )
    );
  }

  /**
   * The shards with slots for the demand's model and version; none if no leader
   * publishes figures of the model.
   */
  #suitable(shards: readonly Shard[], demand: Demand): readonly Shard[] {
    const { model } = demand;
    if (model === undefined) return [];
    const published = shards.some(({ name }) =>
      capacityOf(this.#summaries.latest(name), model) !== undefined
    );
    if (!published) return [];
    return shards
      .filter((shard) => this.#modelLoad(shard, demand) < Infinity);
  }

  /** Load of a shard for the demand's model; infinite if it can't serve it. */
  #modelLoad(shard: Shard, demand: Demand, { joining = 0 } = {}): number {
    const { model = "", minVersion } = demand;
    const summary = this.#summaries.latest(shard.name);
    if (summary === undefined) return Infinity;
    const capacity = capacityOf(summary, model);
    if (capacity === undefined) {
      // Leaders of earlier builds publish no figures by model. Elsewhere a model
      // that no upstream lists has its version 0 on all.
      const maySuit = summary.models === undefined || minVersion <= 0;
      const { running, queued, slots } = summary;
      return maySuit && slots > 0
        ? (running + queued + joining) / slots
        : Infinity;
    }
    return loadForModel(capacity, {
      minVersion,
      own: this.#ownWaits.count(shard.name, model, identityOf(summary)),
      excluded: excludedSlots(shard, demand, summary),
      joining,
    });
  }

  /** Load of a shard as known by gossip; 1 if all slots are in use. */
  #load(shard: Shard): number {
    const far = shard.upstreams.every(({ availabilityZone }) =>
      availabilityZone !== this.#availabilityZone
    );
    const summary = this.#summaries.latest(shard.name);
    if (summary === undefined) return far ? CROSS_ZONE_COST : 0;
    const { running, queued, slots } = summary;
    return (running + queued) / Math.max(1, slots) +
      (far ? CROSS_ZONE_COST : 0);
  }
}

function identityOf(summary: ShardSummary | undefined): string {
  return summary === undefined ? "" : `${summary.keeper} ${summary.seq}`;
}

/** What a shard's leader publishes for a model, of which callers choose names. */
function capacityOf(summary: ShardSummary | undefined, model: string) {
  const models = summary?.models;
  return models !== undefined && Object.hasOwn(models, model)
    ? models[model]
    : undefined;
}

/**
 * The slots of excluded upstreams that the shard's figures include: of those
 * whose listed version suits the request, or is not known here.
 */
function excludedSlots(
  shard: Shard,
  { exclude, model = "", minVersion }: Demand,
  summary: ShardSummary,
): ExcludedSlots {
  let slots = 0;
  let busy = 0;
  if (exclude.length === 0) return { slots, busy };
  for (const upstream of shard.upstreams) {
    if (!isInUse(upstream) || !exclude.includes(upstream.id)) continue;
    const { weightVersions } = upstream;
    if (weightVersions && (weightVersions[model] ?? 0) < minVersion) continue;
    const running = summary.upstreams
      .find(({ id }) => id === upstream.id)?.running ?? 0;
    slots += upstream.slots;
    busy += Math.min(upstream.slots, running);
  }
  return { slots, busy };
}
