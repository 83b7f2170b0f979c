/**
 * What became of a batch's groups, for operators: a group is of use only when all
 * its items are listed, and in time only before the batch's target.
 *
 * @module
 */

import {
  type BatchSubmission,
  type Item,
  ItemOutcome,
  type ItemResult,
} from "./mod.ts";

/** How a group of a batch ended. */
export enum GroupOutcome {
  /** All items were completed and listed before the batch's target. */
  InTime = "in_time",
  Late = "late",
  /** The batch ended first, or an item was given up. */
  Unfinished = "unfinished",
}

/** Numbers of groups at the end of a run. */
export interface GroupCounts {
  /** Groups that the trainer waits for. */
  readonly wanted: number;
  readonly inTime: number;
  readonly late: number;
  /** Groups that an earlier run had completed. */
  readonly earlier: number;
  /** Wanted groups less those that are complete. */
  readonly missing: number;
  readonly unfinished: number;
}

/** Counts the groups that a run completes. */
export class GroupOutcomes {
  readonly #wanted: number;
  readonly #groups: ReadonlyMap<string, string>;
  /** Items that are not completed and listed, by group. */
  readonly #open = new Map<string, number>();
  readonly #earlier: number;
  #inTime = 0;
  #late = 0;

  constructor(options: {
    submission: Pick<BatchSubmission, "items">;
    /** Number of groups that the trainer waits for. */
    wanted: number;
    /** Results listed before this run. */
    results: readonly ItemResult[];
  }) {
    const { items } = options.submission;
    this.#wanted = options.wanted;
    this.#groups = new Map(items.map(({ id, group }) => [id, group]));
    for (const { group } of items) this.#add(group, 1);
    this.#earlier = this.#close(options.results);
  }

  /** Records results that were listed when the batch had this age. */
  listed(
    results: readonly ItemResult[],
    { ageMs, targetMs }: { ageMs: number; targetMs: number },
  ): void {
    const completed = this.#close(results);
    if (ageMs <= targetMs) this.#inTime += completed;
    else this.#late += completed;
  }

  /** The numbers so far. */
  get counts(): GroupCounts {
    const unfinished = [...this.#open.values()].filter((n) => n > 0).length;
    const whole = this.#open.size - unfinished;
    return {
      wanted: this.#wanted,
      inTime: this.#inTime,
      late: this.#late,
      earlier: this.#earlier,
      missing: Math.max(0, this.#wanted - whole),
      unfinished,
    };
  }

  /** Counts listed items; returns the number of groups completed by them. */
  #close(results: readonly ItemResult[]): number {
    let completed = 0;
    for (const { id, end } of results) {
      const group = this.#groups.get(id);
      if (group === undefined || end !== ItemOutcome.Completed) continue;
      if (this.#add(group, -1) === 0) completed += 1;
    }
    return completed;
  }

  #add(group: Item["group"], by: number): number {
    const open = (this.#open.get(group) ?? 0) + by;
    this.#open.set(group, open);
    return open;
  }
}
