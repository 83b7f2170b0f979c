/**
 * The order in which a step's samples are started. A step is whole when its
 * last sample is, so samples that will run long should start early.
 *
 * @module
 */

/** What is known of a group while its step runs. */
export interface GroupProgress {
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
export abstract class GroupSequence {
  /**
   * One of `groups`, of which each has pending samples. A sample begun now is
   * stale before its end if it has more than `lifeTokens`.
   */
  abstract next(
    groups: readonly GroupProgress[],
    lifeTokens?: number,
  ): GroupProgress;
}

/** Starts groups in the order in which the trainer listed them. */
export class SubmissionOrder extends GroupSequence {
  next(groups: readonly GroupProgress[]): GroupProgress {
    return groups[0];
  }
}

/**
 * Starts one sample of each group as a probe, then the rest of the groups
 * that proved long. Samples of one prompt have similar lengths. Groups too
 * long to end before they are stale wait for the next weights, as long as
 * there are others.
 */
export class LongestFirst extends GroupSequence {
  next(groups: readonly GroupProgress[], lifeTokens = Infinity): GroupProgress {
    const fits = (group: GroupProgress) =>
      !isStarted(group) || expectedTokens(group) <= lifeTokens;
    return groups.reduce((best, group) => {
      if (fits(group) !== fits(best)) return fits(group) ? group : best;
      return expectedTokens(group) > expectedTokens(best) ? group : best;
    });
  }
}

/** Tokens that the group's next sample will probably have. */
export function expectedTokens(group: GroupProgress): number {
  if (!isStarted(group)) return Infinity;
  const mean = group.whole === 0 ? 0 : group.wholeTokens / group.whole;
  return Math.max(mean, group.longestRunning);
}

function isStarted(group: GroupProgress): boolean {
  return group.whole > 0 || group.longestRunning > 0;
}
