/**
 * Which of a pool's shards a request is asked for.
 *
 * @module
 */

import type { Shard } from "./fleet.ts";
import { hash } from "./shards.ts";

/** Load by which the key's shard may exceed the one that is drawn. */
const AFFINITY_MARGIN = 0.25;

/**
 * The less loaded of two shards. One falls to the request's key by rendezvous
 * hashing and is preferred while it isn't much fuller; the other is drawn.
 */
export function selectShard(
  shards: readonly Shard[],
  options: {
    /** Equal for requests that should meet at one keeper. */
    key: string;
    load: (shard: Shard) => number;
    random: () => number;
  },
): Shard | undefined {
  if (shards.length <= 1) return shards[0];
  const { key, load, random } = options;
  const near = nearest(key, shards);
  const other = shards[Math.floor(random() * shards.length)];
  return load(near) <= load(other) + AFFINITY_MARGIN ? near : other;
}

function nearest(key: string, shards: readonly Shard[]): Shard {
  const score = ({ name }: Shard) => hash(`${key}@${name}`);
  return shards.reduce((best, shard) =>
    score(shard) > score(best) ? shard : best
  );
}
