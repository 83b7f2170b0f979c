/**
 * Cuts a pool's upstreams into shards. Every daemon with the same list cuts
 * alike, and one more upstream moves few of the others.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Most upstreams of one shard. */
export const SHARD_CAPACITY = 16;

/** Upstreams per shard that the number of shards is chosen for. */
const SHARD_TARGET = 12;

/** How much larger than the mean a shard may be. */
const SPREAD = 1.25;

/** An upstream as the platform's list and the pools table describe it. */
export interface Upstream {
  readonly id: string;
  readonly address: string;
  readonly pool: string;
  readonly availabilityZone: string;
  readonly reclaimable: boolean;
  readonly leaving: boolean;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Weight version by model, as the platform's list has it. */
  readonly weightVersions?: Readonly<Record<string, number>>;
}

/** The name under which a shard's keeper is ranked. */
export function shardName(pool: string, index: number): string {
  return `shard/${pool}/${index}`;
}

/** A number from 0 up to 2^32 that is equal for equal texts. */
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

/** A pool's upstreams by shard; a shard may be empty. */
export function partitionIntoShards(
  upstreams: readonly Upstream[],
): readonly (readonly Upstream[])[] {
  if (upstreams.length === 0) return [];
  const count = upstreams.length <= SHARD_CAPACITY
    ? 1
    : Math.ceil(upstreams.length / SHARD_TARGET);
  const capacity = Math.min(
    SHARD_CAPACITY,
    Math.ceil(upstreams.length / count * SPREAD),
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
