/**
 * The order in which a step's samples are started. A step is whole when its
 * last sample is, so samples that will run long should start early.
 *
 * @module
 */

/** What is known of a group while its step runs. */
export interface GroupRecord {
  readonly group: number;
  /** Samples not started yet. */
  readonly pending: number;
  /** Whole samples, and their tokens together. */
  readonly whole: number;
  readonly wholeTokens: number;
  /** Tokens so far of the longest running sample. */
  readonly longestRunning: number;
}

/** Picks the group whose next sample starts. */
export abstract class Sequence {
  /** One of `groups`, of which each has pending samples. */
  abstract next(groups: readonly GroupRecord[]): GroupRecord;
}

/** Starts groups in the order in which the trainer listed them. */
export class ListedOrder extends Sequence {
  next(groups: readonly GroupRecord[]): GroupRecord {
    return groups[0];
  }
}

/**
 * Starts one sample of each group as a probe, then the rest of the groups
 * that proved long. Samples of one prompt have similar lengths.
 */
export class LongestFirst extends Sequence {
  next(groups: readonly GroupRecord[]): GroupRecord {
    return groups.reduce((best, group) =>
      expectedTokens(group) > expectedTokens(best) ? group : best
    );
  }
}

/** Tokens that the group's next sample will probably have. */
export function expectedTokens(group: GroupRecord): number {
  const started = group.whole > 0 || group.longestRunning > 0;
  if (!started) return Infinity;
  const mean = group.whole === 0 ? 0 : group.wholeTokens / group.whole;
  return Math.max(mean, group.longestRunning);
}
