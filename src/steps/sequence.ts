/**
 * The order in which a step's samples start. A step ends with its last sample,
 * so samples that will probably be long should start early.
 *
 * @module
 */

/** Progress of a group of a running step. */
export interface GroupProgress {
  readonly group: number;
  /** Samples that wait to be started. */
  readonly pending: number;
  /** Complete samples, and the sum of their tokens. */
  readonly whole: number;
  readonly wholeTokens: number;
  /** Tokens so far of the longest running sample; 0 without one. */
  readonly longestRunning: number;
}

/** Selects the group whose next sample starts. */
export abstract class GroupSequence {
  /**
   * Selects one of `groups`, each of which has pending samples. A sample that
   * starts now becomes stale if it has more than `tokensUntilStale` tokens.
   */
  abstract next(
    groups: readonly GroupProgress[],
    tokensUntilStale?: number,
  ): GroupProgress;
}

/** Starts groups in the order of the submission. */
export class SubmissionOrder extends GroupSequence {
  next(groups: readonly GroupProgress[]): GroupProgress {
    return groups[0];
  }
}

/**
 * Starts one sample of each group as a probe, then the remaining samples of
 * the groups with the longest ones, as samples of one prompt have similar
 * lengths. Groups whose samples would become stale before they end wait for the
 * next weight version, as long as there are other groups.
 */
export class LongestFirst extends GroupSequence {
  next(
    groups: readonly GroupProgress[],
    tokensUntilStale = Infinity,
  ): GroupProgress {
    const fits = (group: GroupProgress) =>
      !isStarted(group) || expectedTokens(group) <= tokensUntilStale;
    return groups.reduce((best, group) => {
      if (fits(group) !== fits(best)) return fits(group) ? group : best;
      return expectedTokens(group) > expectedTokens(best) ? group : best;
    });
  }
}

/** Estimated length of the group's next sample. */
export function expectedTokens(group: GroupProgress): number {
  if (!isStarted(group)) return Infinity;
  const mean = group.whole === 0 ? 0 : group.wholeTokens / group.whole;
  return Math.max(mean, group.longestRunning);
}

function isStarted(group: GroupProgress): boolean {
  return group.whole > 0 || group.longestRunning > 0;
}
