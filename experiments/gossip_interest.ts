/**
 * Computes the bytes per second that the summaries of all shards cost each
 * daemon at the target size: flooded over every link, sent over a tree to all
 * daemons, and over trees pruned to the daemons that use the shard's pool.
 *
 * Calculated from the real neighbour graph and encoding; no daemons are run.
 *
 * Run: node dist/experiments/gossip_interest.js > FILE
 *
 * @module
 */

import type { ShardSummary } from "../src/dispatch/messages.ts";
import { codec } from "../src/peers/frame.ts";
import { hash, neighbours, rank } from "../src/peers/rendezvous.ts";

const DAEMON_COUNT = 410;
const UPSTREAM_COUNT = 850;
const UPSTREAMS_PER_SHARD = 16;
const POOL_COUNT = 12;
const ORGANISATION_COUNT = 8;
const SHARD_COUNT = Math.ceil(UPSTREAM_COUNT / UPSTREAMS_PER_SHARD);
/** Interval between two summaries of a shard, as in src/dispatch. */
const PUBLISH_INTERVAL_MS = SHARD_COUNT * 100;
/** Pools that a daemon uses, besides those of which it leads shards. */
const POOLS_USED = [1, 3, 6, 12];

interface ShardModel {
  readonly name: string;
  readonly pool: string;
  readonly leader: string;
  readonly bytes: number;
}

/** Bytes sent and received per second and daemon. */
interface Traffic {
  readonly mean: number;
  readonly worst: number;
}

const vms = Array.from({ length: DAEMON_COUNT }, (_, index) => ({
  vm: `entry-${index}`,
}));

const neighboursByVm = new Map(
  vms.map(({ vm }) =>
    [vm, [...neighbours(vm, vms.map((it) => it.vm))]] as const
  ),
);

function makeShards(
  options: { listUpstreams: boolean },
): readonly ShardModel[] {
  return Array.from({ length: SHARD_COUNT }, (_, index) => {
    const pool = `pool-${index % POOL_COUNT}`;
    const name = `shard/${pool}/${Math.floor(index / POOL_COUNT)}`;
    const leader = rank(vms, name)[0].vm;
    const summary = makeSummary(name, pool, leader);
    const sent = options.listUpstreams
      ? summary
      : { ...summary, upstreams: [] };
    return { name, pool, leader, bytes: codec.encode(sent).length };
  });
}

function makeSummary(shard: string, pool: string, vm: string): ShardSummary {
  const tenants = Array.from(
    { length: ORGANISATION_COUNT },
    (_, index) =>
      [`tenant-${index}`, { weight: 4, running: 17, waiting: 5 }] as const,
  );
  const upstreams = Array.from({ length: UPSTREAMS_PER_SHARD }, (_, index) => ({
    id: `${pool}-sampler-${index}`,
    running: 24,
    queued: 3,
    weightVersion: 1234,
  }));
  return {
    shard,
    pool,
    keeper: `${vm}/3f2b6c1e-55aa-4b0e-9a57-0c3d1e2f4a5b`,
    seq: 123456,
    running: 384,
    queued: 40,
    slots: 512,
    tenants: Object.fromEntries(tenants),
    upstreams,
  };
}

/** Returns the parent of each daemon on the shortest paths from `root`. */
function shortestPathTree(root: string): ReadonlyMap<string, string> {
  const parents = new Map<string, string>();
  const queue = [root];
  for (const vm of queue) {
    for (const next of neighboursByVm.get(vm)!) {
      if (next === root || parents.has(next)) continue;
      parents.set(next, vm);
      queue.push(next);
    }
  }
  return parents;
}

// Each daemon forwards a summary to all neighbours but the one it came from.
function floodTraffic(shards: readonly ShardModel[]): Traffic {
  const bytes = new Map<string, number>();
  for (const shard of shards) {
    const parents = shortestPathTree(shard.leader);
    for (const [vm, others] of neighboursByVm) {
      for (const other of others) {
        if (other !== parents.get(vm)) addBytes(bytes, vm, other, shard.bytes);
      }
    }
  }
  return summarizeTraffic(bytes);
}

// Only links on the path to a daemon that needs the shard carry its summary.
function prunedTreeTraffic(
  shards: readonly ShardModel[],
  needs: (vm: string, shard: ShardModel) => boolean,
): Traffic {
  const bytes = new Map<string, number>();
  for (const shard of shards) {
    const parents = shortestPathTree(shard.leader);
    const onPath = new Set<string>();
    for (const { vm } of vms) {
      if (!needs(vm, shard)) continue;
      let at = vm;
      while (at !== shard.leader && !onPath.has(at)) {
        onPath.add(at);
        at = parents.get(at)!;
      }
    }
    for (const vm of onPath) addBytes(bytes, parents.get(vm)!, vm, shard.bytes);
  }
  return summarizeTraffic(bytes);
}

function addBytes(
  bytes: Map<string, number>,
  from: string,
  to: string,
  count: number,
): void {
  for (const vm of [from, to]) bytes.set(vm, (bytes.get(vm) ?? 0) + count);
}

function summarizeTraffic(bytes: ReadonlyMap<string, number>): Traffic {
  const rates = vms.map(({ vm }) =>
    (bytes.get(vm) ?? 0) * 1000 / PUBLISH_INTERVAL_MS
  );
  const sum = rates.reduce((total, rate) => total + rate, 0);
  return {
    mean: Math.round(sum / rates.length),
    worst: Math.round(Math.max(...rates)),
  };
}

function measure(options: { listUpstreams: boolean }) {
  const shards = makeShards(options);
  const leads = new Set(shards.map((it) => `${it.leader} ${it.pool}`));
  const pools = Array.from(
    { length: POOL_COUNT },
    (_, index) => ({ vm: `pool-${index}` }),
  );
  const usesPool = (vm: string, pool: string, used: number) =>
    rank(pools, `${hash(vm)}`).slice(0, used).some((it) => it.vm === pool);
  const treeByInterest = POOLS_USED.map((used) => ({
    poolsUsed: used,
    bytesPerSecond: prunedTreeTraffic(
      shards,
      (vm, { pool }) => leads.has(`${vm} ${pool}`) || usesPool(vm, pool, used),
    ),
  }));
  return {
    ...options,
    bytesPerSummary: shards[0].bytes,
    everyLink: floodTraffic(shards),
    treeToAll: prunedTreeTraffic(shards, () => true),
    treeByInterest,
  };
}

function main(): void {
  const report = {
    daemons: DAEMON_COUNT,
    upstreams: UPSTREAM_COUNT,
    shards: SHARD_COUNT,
    pools: POOL_COUNT,
    publishMs: PUBLISH_INTERVAL_MS,
    summaries: [
      measure({ listUpstreams: true }),
      measure({ listUpstreams: false }),
    ],
  };
  console.log(JSON.stringify(report, null, 2));
}

main();
