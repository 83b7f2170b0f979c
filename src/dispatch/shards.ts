/**
 * Partitions a pool's upstreams into shards. All daemons with the same list get
 * the same shards, and adding an upstream moves few of the others.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { ColdStart } from "../tables/mod.ts";

/** Most upstreams in one shard. */
export const MAX_SHARD_UPSTREAMS = 16;

/** Mean upstreams per shard for which the number of shards is chosen. */
const TARGET_SHARD_UPSTREAMS = 12;

/** Largest size of a shard relative to the mean. */
const MAX_SIZE_OVER_MEAN = 1.25;

/** An upstream as the platform's list and the pools table describe it. */
export interface Upstream {
  readonly id: string;
  readonly address: string;
  readonly pool: string;
  readonly availabilityZone: string;
  readonly reclaimable: boolean;
  readonly leaving: boolean;
  /**
   * Whether its zone is evacuated: no more requests are sent there, and those
   * that run go on, unlike those on an upstream that leaves.
   */
  readonly evacuated: boolean;
  /** Requests that it can run concurrently. */
  readonly slots: number;
  /** Path of its health check, if its pool has one. */
  readonly healthPath?: string;
  /** Start time in milliseconds since the Unix epoch, if the list has it. */
  readonly bornAt?: number;
  /** Weight version by model, according to the platform's list. */
  readonly weightVersions?: Readonly<Record<string, number>>;
  /** For how long it stays cold, if the list says so. */
  readonly coldMs?: number;
  /** How it is cold after a start; absent if its pool never is. */
  readonly coldStart?: ColdStart;
}

/** Whether requests may be sent to an upstream as far as operators decide. */
export function isInUse(
  { leaving, evacuated }: Pick<Upstream, "leaving" | "evacuated">,
): boolean {
  return !leaving && !evacuated;
}

/** The name of a shard, by which daemons are ranked as its leader. */
export function shardName(pool: string, index: number): string {
  return `shard/${pool}/${index}`;
}

/** A number below 2^32, equal for equal texts. */
export function hash(text: string): number {
  return createHash("sha256").update(text).digest().readUInt32BE(0);
}

/** Indices from 0 to `count - 1`, ranked for `name` by rendezvous hashing. */
export function rankedIndices(name: string, count: number): readonly number[] {
  const scores = Array.from({ length: count }, (_, index) => ({
    index,
    score: hash(`${name}#${index}`),
  }));
  return scores
    .sort((a, b) => b.score - a.score || a.index - b.index)
    .map(({ index }) => index);
}

/** A pool's upstreams by shard; shards may be empty. */
export function partitionIntoShards(
  upstreams: readonly Upstream[],
): readonly (readonly Upstream[])[] {
  if (upstreams.length === 0) return [];
  const count = upstreams.length <= MAX_SHARD_UPSTREAMS
    ? 1
    : Math.ceil(upstreams.length / TARGET_SHARD_UPSTREAMS);
  const capacity = Math.min(
    MAX_SHARD_UPSTREAMS,
    Math.ceil(upstreams.length / count * MAX_SIZE_OVER_MEAN),
  );
  const shards: Upstream[][] = Array.from({ length: count }, () => []);
  const ordered = [...upstreams].sort((a, b) => a.id < b.id ? -1 : 1);
  for (const upstream of ordered) {
    const index = rankedIndices(upstream.id, count)
      .find((index) => shards[index].length < capacity);
    shards[index ?? 0].push(upstream);
  }
  return shards;
}
