/**
 * Which groups of a batch were part of an earlier one. A trainer puts those that
 * were not complete first in a later batch, under the same ids, and always waits
 * for them.
 *
 * Answers steps that go on until the groups of an earlier step are whole.
 *
 * @module
 */

import type { BatchSubmission } from "./mod.ts";

/** Batches that are remembered; a trainer submits one every few seconds. */
const MAX_BATCHES = 64;

/** The part of a submission that tells its groups. */
type Groups = Pick<
  BatchSubmission,
  "id" | "organisation" | "route" | "wantedGroups" | "items"
>;

/** A batch that ran on this daemon. */
interface EarlierBatch {
  readonly id: string;
  readonly organisation: string;
  readonly route: string;
  readonly items: ReadonlySet<string>;
}

/** The batches that ran on this daemon last. */
export class RepeatedGroups {
  #batches: readonly EarlierBatch[] = [];

  /** Remembers a batch, and returns how many of its groups came again. */
  record(submission: Groups): number {
    const { id, organisation, route, items } = submission;
    const known = this.#batches.findIndex((batch) => batch.id === id);
    // A batch that runs again is compared only with those before it.
    const before = known < 0 ? this.#batches : this.#batches.slice(0, known);
    const earlier = before.filter((batch) =>
      batch.organisation === organisation && batch.route === route
    );
    if (known < 0) {
      const ids = new Set(items.map((item) => item.id));
      const batch = { id, organisation, route, items: ids };
      this.#batches = [...this.#batches.slice(1 - MAX_BATCHES), batch];
    }
    return earlier.length === 0
      ? mayBeRepeated(submission)
      : repeated(submission, earlier);
  }
}

/** All groups up to the last one with an item of an earlier batch. */
function repeated(
  { items }: Groups,
  earlier: readonly EarlierBatch[],
): number {
  const last = items.findLastIndex(({ id }) =>
    earlier.some((batch) => batch.items.has(id))
  );
  return new Set(items.slice(0, last + 1).map(({ group }) => group)).size;
}

/**
 * Without an earlier batch, as many as an earlier step may have left out if it
 * was like this one: a new owner can't tell, and new ones cost little first.
 */
function mayBeRepeated({ items, wantedGroups }: Groups): number {
  const groups = new Set(items.map(({ group }) => group)).size;
  if (!Number.isFinite(wantedGroups) || wantedGroups < 1) return 0;
  return Math.max(0, groups - Math.ceil(wantedGroups));
}
