/**
 * Selects the shard of a pool at which a request asks for its permit.
 *
 * @module
 */

import type { Shard } from "./fleet.ts";
import { hash } from "./shards.ts";

/** Load by which the preferred shard may exceed the randomly drawn one. */
const AFFINITY_MARGIN = 0.25;

/**
 * The less loaded of two shards. One is assigned to the request's key by
 * rendezvous hashing and preferred unless it is much fuller; the other is drawn
 * at random.
 */
export function selectShard(
  shards: readonly Shard[],
  options: {
    /** Equal for requests that should go to the same leader. */
    key: string;
    load: (shard: Shard) => number;
    random: () => number;
  },
): Shard | undefined {
  if (shards.length <= 1) return shards[0];
  const { key, load, random } = options;
  const preferred = preferredShard(key, shards) ?? shards[0];
  const drawn = shards[Math.floor(random() * shards.length)];
  return load(preferred) <= load(drawn) + AFFINITY_MARGIN ? preferred : drawn;
}

/** The shard assigned to a key by rendezvous hashing, if there is one. */
export function preferredShard(
  key: string,
  shards: readonly Shard[],
): Shard | undefined {
  const score = ({ name }: Shard) => hash(`${key}@${name}`);
  return shards.reduce<Shard | undefined>(
    (best, shard) =>
      best === undefined || score(shard) > score(best) ? shard : best,
    undefined,
  );
}
