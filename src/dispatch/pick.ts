/**
 * Which of a pool's shards a request is asked for.
 *
 * @module
 */

import type { Shard } from "./fleet.ts";
import { hash } from "./shards.ts";

/** Load by which the shard that shares the prompt may exceed another's. */
const AFFINITY_MARGIN = 0.25;

/**
 * The less loaded of two shards. One is drawn, the other falls to the prompt
 * by rendezvous hashing and is preferred while it isn't much fuller.
 */
export function pickShard(
  shards: readonly Shard[],
  options: {
    /** The prompt's longest prefix, if it has any. */
    prefix: string | undefined;
    load: (shard: Shard) => number;
    random: () => number;
  },
): Shard | undefined {
  if (shards.length <= 1) return shards[0];
  const { prefix, load, random } = options;
  const draw = () => shards[Math.floor(random() * shards.length)];
  const other = draw();
  const near = prefix === undefined ? draw() : nearest(prefix, shards);
  const margin = prefix === undefined ? 0 : AFFINITY_MARGIN;
  return load(near) <= load(other) + margin ? near : other;
}

function nearest(prefix: string, shards: readonly Shard[]): Shard {
  const score = ({ name }: Shard) => hash(`${prefix}@${name}`);
  return shards.reduce((best, shard) =>
    score(shard) > score(best) ? shard : best
  );
}
