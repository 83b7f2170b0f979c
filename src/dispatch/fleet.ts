/**
 * The upstreams of all pools, as described by the platform's list of VMs and
 * the configuration in force, partitioned into shards.
 *
 * @module
 */

import {
  type AllowedRegions,
  type Configuration,
  DeploymentRegions,
} from "../tables/mod.ts";
import { Role, type Vm, VmState } from "../outside/mod.ts";
import type { Demand } from "./mod.ts";
import {
  isInUse,
  partitionIntoShards,
  shardName,
  type Upstream,
} from "./shards.ts";

/** Slots of an upstream whose pool is not in the pools table. */
const DEFAULT_SLOTS = 1;

/** One shard of a pool. */
export interface Shard {
  readonly name: string;
  readonly pool: string;
  readonly upstreams: readonly Upstream[];
}

/** An immutable snapshot of all upstreams. */
export class Fleet {
  readonly shards: readonly Shard[];
  /** The evacuated zones, whether they have upstreams or not. */
  readonly evacuatedZones: ReadonlySet<string>;
  readonly #regions: DeploymentRegions;
  /** Ids of the daemons on the platform's list. */
  readonly daemons: readonly string[];
  readonly #byName: ReadonlyMap<string, Shard>;
  readonly #byUpstream: ReadonlyMap<string, Shard>;

  constructor(options: {
    vms?: readonly Vm[];
    configuration?: Configuration;
    /** Whether an instance has said itself that it leaves. */
    saysLeaving?: (id: string, bornAt?: number) => boolean;
    evacuatedZones?: ReadonlySet<string>;
    regions?: DeploymentRegions;
  } = {}) {
    this.#regions = options.regions ?? new DeploymentRegions();
    const { saysLeaving = () => false } = options;
    this.evacuatedZones = options.evacuatedZones ?? new Set();
    const upstreams = (options.vms ?? [])
      .filter(({ role }) => role === Role.Upstream)
      .map((vm) => upstreamOf(vm, options.configuration))
      .map((upstream) => ({
        ...upstream,
        evacuated: this.evacuatedZones.has(upstream.availabilityZone),
        leaving: upstream.leaving || saysLeaving(upstream.id, upstream.bornAt),
      }));
    this.daemons = (options.vms ?? [])
      .filter(({ role, standing }) =>
        role === Role.Entry && standing === VmState.Live
      )
      .map(({ id }) => id);
    const pools = [...new Set(upstreams.map(({ pool }) => pool))].sort();
    this.shards = pools.flatMap((pool) =>
      partitionIntoShards(
        upstreams.filter((upstream) => upstream.pool === pool),
      )
        .map((part, index) => ({
          name: shardName(pool, index),
          pool,
          upstreams: part,
        }))
    );
    this.#byName = new Map(this.shards.map((shard) => [shard.name, shard]));
    this.#byUpstream = new Map(
      this.shards.flatMap((shard) =>
        shard.upstreams.map(({ id }) => [id, shard] as const)
      ),
    );
  }

  /** The shard with this name. */
  shard(name: string): Shard | undefined {
    return this.#byName.get(name);
  }

  /** The shard that an upstream belongs to. */
  shardOf(upstream: string): Shard | undefined {
    return this.#byUpstream.get(upstream);
  }

  /** The shards of a pool. */
  shardsOfPool(pool: string): readonly Shard[] {
    return this.shards.filter((shard) => shard.pool === pool);
  }

  /** Number of evacuated upstreams, for each pool that has upstreams. */
  evacuatedByPool(): ReadonlyMap<string, number> {
    const pools = [...new Set(this.shards.map(({ pool }) => pool))];
    return new Map(pools.map((pool) => [
      pool,
      this.#upstreamsOf(pool).filter(({ evacuated }) => evacuated).length,
    ]));
  }

  /** Pools whose upstreams are all out of use, some of them evacuated. */
  evacuatedPools(): readonly string[] {
    return [...this.evacuatedByPool()].flatMap(([pool, count]) =>
      count > 0 && !this.#upstreamsOf(pool).some(isInUse) ? [pool] : []
    );
  }

  /** Ids of a pool's upstreams that a demand may not be sent to. */
  barred(
    { pool, allowedRegions }: Pick<Demand, "pool" | "allowedRegions">,
  ): readonly string[] {
    return this.#upstreamsOf(pool)
      .filter((upstream) =>
        !isInUse(upstream) || !this.#isInRegion(upstream, allowedRegions)
      )
      .map(({ id }) => id);
  }

  /** Whether a demand that did not have to move may start on an upstream. */
  mayStart(
    id: string,
    { allowedRegions }: Pick<Demand, "allowedRegions">,
  ): boolean {
    const upstream = this.upstream(id);
    if (upstream === undefined) return allowedRegions === undefined;
    return !upstream.evacuated && this.#isInRegion(upstream, allowedRegions);
  }

  #isInRegion(
    { availabilityZone }: Upstream,
    allowed: AllowedRegions,
  ): boolean {
    return this.#regions.allowsZone(allowed, availabilityZone);
  }

  /** Zones that were evacuated in an earlier snapshot and no longer are. */
  restoredZones(before: Fleet): readonly string[] {
    return [...before.evacuatedZones]
      .filter((zone) => !this.evacuatedZones.has(zone));
  }

  /** Pools with upstreams in such zones. */
  restoredPools(before: Fleet): ReadonlySet<string> {
    const zones = this.restoredZones(before);
    if (zones.length === 0) return new Set();
    return new Set(
      this.shards.filter(({ upstreams }) =>
        upstreams.some(({ availabilityZone }) =>
          zones.includes(availabilityZone)
        )
      ).map(({ pool }) => pool),
    );
  }

  #upstreamsOf(pool: string): readonly Upstream[] {
    return this.shardsOfPool(pool).flatMap(({ upstreams }) => upstreams);
  }

  /** An upstream by id. */
  upstream(id: string): Upstream | undefined {
    return this.shardOf(id)?.upstreams.find((upstream) => upstream.id === id);
  }
}

function upstreamOf(
  vm: Vm,
  configuration?: Configuration,
): Omit<Upstream, "evacuated"> {
  const pool = configuration?.tables.pools
    .find(({ name }) => name === vm.pool);
  return {
    id: vm.id,
    address: vm.address,
    pool: vm.pool,
    availabilityZone: vm.availabilityZone,
    reclaimable: vm.reclaimable,
    leaving: vm.standing === VmState.Leaving,
    slots: vm.slots ?? pool?.slots ?? DEFAULT_SLOTS,
    healthPath: pool?.healthPath,
    bornAt: vm.bornAt,
    weightVersions: vm.weightVersions,
    coldMs: vm.coldMs,
    coldStart: pool?.coldStart,
  };
}
