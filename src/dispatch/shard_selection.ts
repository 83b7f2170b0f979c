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

/**
 * Selects among shards that can serve a request: the one assigned to its key, if
 * it has a free slot and is not much fuller, otherwise the least loaded.
 */
export function selectSuitableShard(
  shards: readonly Shard[],
  options: {
    /** Equal for requests that should go to the same leader. */
    key: string;
    load: (shard: Shard) => number;
    random: () => number;
  },
): Shard | undefined {
  const { key, load } = options;
  const preferred = preferredShard(key, shards);
  const least = leastLoadedShard(shards, options);
  if (preferred === undefined || least === undefined) return least;
  const preferredLoad = load(preferred);
  const takesIt = preferredLoad < 1 &&
    preferredLoad <= load(least) + AFFINITY_MARGIN;
  return takesIt ? preferred : least;
}

/** By which another shard's load must be lower for a wait to move there. */
const MOVE_MARGIN = 0.5;

/** Share of the waits that move at once, so that not all go to one shard. */
const MOVING_SHARE = 0.5;

/**
 * The shard with the lowest load, one of them at random if several have it;
 * `undefined` if the load of all is infinite.
 */
export function leastLoadedShard(
  shards: readonly Shard[],
  { load, random }: {
    load: (shard: Shard) => number;
    random: () => number;
  },
): Shard | undefined {
  const loads = shards.map((shard) => ({ shard, load: load(shard) }))
    .filter((one) => one.load < Infinity);
  const least = Math.min(...loads.map((one) => one.load));
  const best = loads.filter((one) => one.load === least);
  return best[Math.floor(random() * best.length)]?.shard;
}

/** Whether a wait should move from a shard to another one, by their loads. */
export function isBetterElsewhere({ here, there, random }: {
  here: number;
  there: number;
  random: () => number;
}): boolean {
  if (there === Infinity) return false;
  if (here === Infinity) return true;
  return here > there + MOVE_MARGIN && random() < MOVING_SHARE;
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
