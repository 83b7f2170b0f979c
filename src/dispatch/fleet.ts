/**
 * The upstreams of all pools, as described by the platform's list of VMs and
 * the configuration in force, partitioned into shards.
 *
 * @module
 */

import type { Configuration } from "../tables/mod.ts";
import { Role, type Vm, VmState } from "../outside/mod.ts";
import { partitionIntoShards, shardName, type Upstream } from "./shards.ts";

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
  /** Ids of the daemons on the platform's list. */
  readonly daemons: readonly string[];
  readonly #byName: ReadonlyMap<string, Shard>;
  readonly #byUpstream: ReadonlyMap<string, Shard>;

  constructor(options: {
    vms?: readonly Vm[];
    configuration?: Configuration;
    /** Whether an instance has said itself that it leaves. */
    saysLeaving?: (id: string, bornAt?: number) => boolean;
  } = {}) {
    const { saysLeaving = () => false } = options;
    const upstreams = (options.vms ?? [])
      .filter(({ role }) => role === Role.Upstream)
      .map((vm) => upstreamOf(vm, options.configuration))
      .map((upstream) => ({
        ...upstream,
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

  /** Ids of a pool's upstreams that leave. */
  leaving(pool: string): readonly string[] {
    return this.shardsOfPool(pool)
      .flatMap(({ upstreams }) => upstreams)
      .filter(({ leaving }) => leaving)
      .map(({ id }) => id);
  }

  /** An upstream by id. */
  upstream(id: string): Upstream | undefined {
    return this.shardOf(id)?.upstreams.find((upstream) => upstream.id === id);
  }
}

function upstreamOf(vm: Vm, configuration?: Configuration): Upstream {
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
