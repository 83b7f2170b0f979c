/**
 * Test fixture: trainers that submit steps, and the slots that run their items.
 *
 * @module
 */

import { Random } from "../bench/random.ts";
import type { Item } from "./mod.ts";
import { submission } from "./fixture_test.ts";
import { SlotPlay } from "./slot_play_test.ts";
import { startInMs } from "./start_times.ts";

const TARGET_MS = 7500;
const TIMEOUT_MS = 12_000;
const STEP_INTERVAL_MS = 4000;
const TRAINING_MS = 750;
const EVENT_MS = 50;
/** Longest text, 5 s. */
const MAX_EVENTS = 100;

const GROUP_SIZE = 8;
const MIN_GROUPS = 4;
const MAX_GROUPS = 12;

/** The order of a step's items, and when each must start. */
export type OrderRule = (step: {
  readonly items: readonly Item[];
  readonly wantedGroups: number;
  readonly repeatedGroups: number;
}) => {
  readonly items: readonly Item[];
  readonly leadTokens: (item: Item) => number;
  readonly delayMs: (item: Item) => number;
};

/** What trainers got. */
export interface StepFigures {
  /** Groups submitted, counted again with each submission. */
  readonly groups: number;
  readonly inTime: number;
  /** From each submission until the trainer had enough or gave up. */
  readonly stepMs: readonly number[];
}

/** A group of items with their true lengths. */
interface PlayGroup {
  readonly items: readonly Item[];
  /** Events that each item has left; partial outputs are resumed. */
  readonly events: Map<string, number>;
}

/**
 * Plays trainers for some time. Each waits for 90 % of its groups and all that it
 * submitted again, trains, and submits the next step.
 */
export function playTrainers(options: {
  seed: number;
  trainers: number;
  slots: number;
  rule: OrderRule;
  playMs?: number;
}): StepFigures {
  const play = new SlotPlay({ upstreams: options.slots / 6, slots: 6 });
  const figures = { groups: 0, inTime: 0, stepMs: [] as number[] };
  const { clock } = play;
  let count = 0;

  const submit = (random: Random, repeated: readonly PlayGroup[]) => {
    const submittedAt = clock.now();
    const fresh = Array.from(
      { length: MIN_GROUPS + random.integerBelow(MAX_GROUPS - MIN_GROUPS + 1) },
      () => newGroup(random, `${count++}`),
    );
    const groups = [...repeated, ...fresh];
    const wantedGroups = Math.ceil(0.9 * groups.length);
    const step = {
      items: groups.flatMap(({ items }) => items),
      wantedGroups,
      repeatedGroups: repeated.length,
    };
    const open = new Map(groups.map((group) => [group, GROUP_SIZE]));
    const cancels: (() => void)[] = [];
    const finish = () => {
      figures.stepMs.push(clock.now() - submittedAt);
      stopTimer();
      for (const cancel of cancels) cancel();
      const again = [...open.keys()];
      const nextAt = Math.max(
        clock.now() + TRAINING_MS,
        submittedAt + STEP_INTERVAL_MS,
      );
      clock.after(nextAt - clock.now(), () => submit(random, again));
    };
    const stopTimer = clock.after(TIMEOUT_MS, finish);
    figures.groups += groups.length;
    const { items, leadTokens, delayMs } = options.rule(step);
    for (const item of items) {
      const group = groups.find((one) => one.items.includes(item)) as PlayGroup;
      const events = group.events.get(item.id) ?? 0;
      const times = { ageMs: 0, targetMs: TARGET_MS, timeoutMs: TIMEOUT_MS };
      cancels.push(play.submit({
        startInMs: startInMs(times, leadTokens(item) * EVENT_MS) +
          delayMs(item),
        runMs: events * EVENT_MS,
        cancelled: (ranMs) =>
          group.events.set(item.id, events - Math.floor(ranMs / EVENT_MS)),
        ended: () => {
          open.set(group, (open.get(group) ?? 0) - 1);
          if (open.get(group) !== 0) return;
          open.delete(group);
          if (clock.now() - submittedAt <= TARGET_MS) figures.inTime += 1;
          const enough = groups.length - open.size >= wantedGroups &&
            repeated.every((one) => !open.has(one));
          if (enough) finish();
        },
      }));
    }
  };
  for (let trainer = 0; trainer < options.trainers; trainer++) {
    // Each trainer has its own numbers, so that rules meet the same steps.
    const random = new Random({ seed: 100 * options.seed + trainer });
    clock.after(random.next() * STEP_INTERVAL_MS, () => submit(random, []));
  }
  clock.advance(options.playMs ?? 120_000);
  return figures;
}

/** Log-normal lengths; 1 in 12 five times as long; hints know the median. */
function newGroup(random: Random, name: string): PlayGroup {
  const [template] = submission().items;
  const events = new Map<string, number>();
  const medianEvents = random.lognormal(11, 0.4);
  const items = Array.from({ length: GROUP_SIZE }, (_, n) => {
    const id = `${name}-${n}`;
    const expectedTokens = medianEvents * random.lognormal(1, 0.3);
    const factor = random.next() < 1 / 12 ? 5 : 1;
    events.set(
      id,
      Math.min(
        MAX_EVENTS,
        Math.ceil(expectedTokens * random.lognormal(1, 0.4) * factor),
      ),
    );
    return { ...template, id, group: name, expectedTokens };
  });
  return { items, events };
}
