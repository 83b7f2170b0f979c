import { expect } from "earl";
import { test } from "node:test";
import { submission } from "./fixture_test.ts";
import { GroupOrder } from "./group_order.ts";
import {
  type OrderRule,
  playTrainers,
  type StepFigures,
} from "./trainer_play_test.ts";

/** The order before: the longest items of the whole batch first. */
const longestFirst: OrderRule = ({ items }) => ({
  items: items.toSorted((a, b) => b.expectedTokens - a.expectedTokens),
  leadTokens: ({ expectedTokens }) => expectedTokens,
  delayMs: () => 0,
});

const byGroups: OrderRule = ({ repeatedGroups, ...submission }) => {
  const order = new GroupOrder({ submission, repeatedGroups });
  return {
    items: order.items,
    leadTokens: ({ id }) => order.place(id).leadTokens,
    delayMs: ({ id }) => order.place(id).delayMs,
  };
};

const SEEDS = [1, 2, 3, 4];

function playAll(rule: OrderRule, slots: number) {
  const plays = SEEDS
    .map((seed) => playTrainers({ seed, trainers: 4, slots, rule }));
  const sum = (part: (figures: StepFigures) => number) =>
    plays.reduce((total, figures) => total + part(figures), 0);
  const steps = plays.flatMap(({ stepMs }) => stepMs);
  return {
    inTime: sum(({ inTime }) => inTime),
    shareInTime: sum(({ inTime }) => inTime) / sum(({ groups }) => groups),
    stepMs: steps.reduce((total, ms) => total + ms, 0) / steps.length,
  };
}

test("more groups are whole in time where slots are scarce", () => {
  const before = playAll(longestFirst, 24);
  const now = playAll(byGroups, 24);
  expect(now.inTime > 1.2 * before.inTime).toEqual(true);
  expect(now.shareInTime > 1.2 * before.shareInTime).toEqual(true);
  expect(now.stepMs < 1.02 * before.stepMs).toEqual(true);
});

test("no fewer groups are whole in time where there are enough slots", () => {
  const before = playAll(longestFirst, 60);
  const now = playAll(byGroups, 60);
  expect(now.shareInTime > 0.98 * before.shareInTime).toEqual(true);
  // Without the longest items first, steps take a little longer.
  expect(now.stepMs < 1.08 * before.stepMs).toEqual(true);
});

test("with enough slots the longest items of needed groups go first", () => {
  const items = itemsOf({ z: [1, 90], a: [40, 2], b: [30, 30], c: [50, 95] });
  const order = new GroupOrder({
    submission: { items, wantedGroups: 3 },
    repeatedGroups: 1,
    scarceSlots: false,
  });
  expect(order.items.map(({ id }) => id))
    .toEqual(["z1", "a0", "b0", "b1", "a1", "z0", "c1", "c0"]);
  const places = order.items.map(({ id }) => order.place(id));
  expect(places.map(({ leadTokens }) => leadTokens))
    .toEqual([90, 40, 30, 30, 2, 1, 95, 50]);
  expect(places.map(({ delayMs }) => delayMs))
    .toEqual([0, 0, 0, 0, 0, 0, 4000, 4000]);
});

test("steps are no longer than before where slots are sufficient", () => {
  const enough: OrderRule = ({ repeatedGroups, ...submission }) => {
    const order = new GroupOrder({
      submission,
      repeatedGroups,
      scarceSlots: false,
    });
    return {
      items: order.items,
      leadTokens: ({ id }) => order.place(id).leadTokens,
      delayMs: ({ id }) => order.place(id).delayMs,
    };
  };
  const before = playAll(longestFirst, 60);
  const now = playAll(enough, 60);
  expect(now.shareInTime > 0.98 * before.shareInTime).toEqual(true);
  expect(now.stepMs < 1.02 * before.stepMs).toEqual(true);
});

/** Items of groups, by the hints of each group's items. */
function itemsOf(groups: Readonly<Record<string, readonly number[]>>) {
  const [template] = submission().items;
  return Object.entries(groups).flatMap(([group, hints]) =>
    hints.map((expectedTokens, n) => ({
      ...template,
      id: `${group}${n}`,
      group,
      expectedTokens,
    }))
  );
}

test("a repeated group is needed and first, however long it is", () => {
  const items = itemsOf({ z: [1, 90], a: [40, 2], b: [30, 30], c: [50, 1] });
  const order = new GroupOrder({
    submission: { items, wantedGroups: 3 },
    repeatedGroups: 1,
  });
  expect(order.items.map(({ id }) => id))
    .toEqual(["z1", "z0", "b0", "b1", "a0", "a1", "c0", "c1"]);
  expect(order.neededGroups).toEqual(["z", "b", "a"]);
  // The batch as a whole is as urgent as with the longest items first.
  const places = order.items.map(({ id }) => order.place(id));
  expect(places.map(({ leadTokens }) => leadTokens))
    .toEqual([90, 50, 40, 30, 30, 2, 1, 1]);
  expect(places.map(({ delayMs }) => delayMs))
    .toEqual([0, 0, 0, 0, 0, 0, 4000, 4000]);
});

test("all groups are needed unless the trainer named fewer of several items", () => {
  const needed = (
    groups: Readonly<Record<string, readonly number[]>>,
    wantedGroups: number,
    repeatedGroups = 0,
  ) =>
    new GroupOrder({
      submission: { items: itemsOf(groups), wantedGroups },
      repeatedGroups,
    }).neededGroups.length;
  const groups = { a: [1, 2], b: [3, 4], c: [5, 6] };
  // Stored submissions have null for an infinite number.
  const unnamed = JSON.parse(JSON.stringify(Infinity)) as number;
  expect([2, 1.5, 3, 9, Infinity, unnamed, 0, -1].map((n) => needed(groups, n)))
    .toEqual([2, 2, 3, 3, 3, 3, 3, 3]);
  expect(needed({ a: [1], b: [2], c: [3] }, 2)).toEqual(3);
  expect(needed(groups, 1, 2)).toEqual(2);
  expect(needed({}, 2)).toEqual(0);
});
