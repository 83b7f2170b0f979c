/**
 * The order of a batch's items by what completes groups: a group counts only when
 * all its items are listed, and a trainer waits for some of the groups only.
 *
 * Answers steps for which slots are scarce. With the longest items of the whole
 * batch first, all groups end late together; and the groups that a trainer can do
 * without take slots from those that other batches need.
 *
 * @module
 */

import type { BatchSubmission, Item } from "./mod.ts";

/** Added to the start time of items in groups that nobody waits for. */
const SPARE_GROUP_DELAY_MS = 4000;

/** The items of one group. */
interface Group {
  readonly name: string;
  /** The item with the longest hint first. */
  readonly items: readonly Item[];
  /** Whether it was part of an earlier batch. */
  readonly isRepeated: boolean;
}

/** Where an item stands in its batch. */
export interface ItemPlace {
  /** Its start is due as long before the target as this output takes. */
  readonly leadTokens: number;
  /** Time by which its start may be later still. */
  readonly delayMs: number;
}

/** The groups that a trainer needs, and the order of all items. */
export class GroupOrder {
  /** All items, the first to start first. */
  readonly items: readonly Item[];
  /** Names of the groups that the trainer waits for, in order. */
  readonly neededGroups: readonly string[];
  /** Number of groups that came again from earlier batches. */
  readonly repeatedGroups: number;
  readonly #places: ReadonlyMap<string, ItemPlace>;

  constructor(options: {
    submission: Pick<BatchSubmission, "items" | "wantedGroups">;
    /** Number of groups at the front of the list that came again. */
    repeatedGroups: number;
    /**
     * Whether items wait long for slots. Without it the longest items go first,
     * as the last one ends the step; only spare groups come later.
     */
    scarceSlots?: boolean;
  }) {
    const { scarceSlots = true } = options;
    const { items, wantedGroups } = options.submission;
    const groups = groupsOf(items, options.repeatedGroups).sort(byNeed);
    this.repeatedGroups = groups.filter(isRepeated).length;
    const needed = neededOf(groups, wantedGroups);
    this.neededGroups = groups.slice(0, needed).map(({ name }) => name);
    const isNeeded = new Set(this.neededGroups);
    this.items = scarceSlots
      ? groups.flatMap((group) => group.items)
      : longestFirst(items, isNeeded);
    // The items take each other's start times, so that the batch as a whole is
    // as urgent beside others as the lengths of its items make it.
    const leads = items.map(({ expectedTokens }) => expectedTokens)
      .sort((a, b) => b - a);
    this.#places = new Map(this.items.map((
      { id, group, expectedTokens },
      index,
    ) => [id, {
      leadTokens: scarceSlots ? leads[index] : expectedTokens,
      delayMs: isNeeded.has(group) ? 0 : SPARE_GROUP_DELAY_MS,
    }]));
  }

  /** The place of an item of the batch. */
  place(id: string): ItemPlace {
    return this.#places.get(id) ?? { leadTokens: 0, delayMs: 0 };
  }
}

/** Groups in list order. */
function groupsOf(items: readonly Item[], repeatedGroups: number): Group[] {
  const byName = new Map<string, Item[]>();
  for (const item of items) {
    const known = byName.get(item.group);
    if (known === undefined) byName.set(item.group, [item]);
    else known.push(item);
  }
  return [...byName].map(([name, members], index) => ({
    name,
    items: members.sort((a, b) => b.expectedTokens - a.expectedTokens),
    isRepeated: index < repeatedGroups,
  }));
}

/** The items of needed groups before the others, and the longest of each first. */
function longestFirst(
  items: readonly Item[],
  needed: ReadonlySet<string>,
): readonly Item[] {
  const rank = ({ group }: Item) => needed.has(group) ? 0 : 1;
  return [...items].sort((a, b) =>
    rank(a) - rank(b) || b.expectedTokens - a.expectedTokens
  );
}

function isRepeated(group: Group): boolean {
  return group.isRepeated;
}

/** Repeated groups first, then those whose longest item is the shortest. */
function byNeed(a: Group, b: Group): number {
  if (a.isRepeated !== b.isRepeated) return a.isRepeated ? -1 : 1;
  return a.items[0].expectedTokens - b.items[0].expectedTokens;
}

/**
 * Number of groups that the trainer waits for: all if it named no number that
 * leaves some out, or if each item is a group of its own.
 */
function neededOf(groups: readonly Group[], wantedGroups: number): number {
  const areSingle = groups.every(({ items }) => items.length === 1);
  // Stored submissions have null for an infinite number.
  if (areSingle || !Number.isFinite(wantedGroups) || wantedGroups < 1) {
    return groups.length;
  }
  const repeated = groups.filter(isRepeated).length;
  return Math.min(groups.length, Math.max(repeated, Math.ceil(wantedGroups)));
}
