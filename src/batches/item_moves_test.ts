import { expect } from "earl";
import { test } from "node:test";
import { Random } from "../bench/random.ts";
import { ManualClock } from "../kernel/mod.ts";
import { type RunningItem, shouldMove } from "./item_moves.ts";
import { PoolHistory } from "./pool_history.ts";

const EVENT_MS = 50;
const UPSTREAMS = 6;
const STREAMS = 24;

/** When an upstream turns slow, if it does; all histories are full by then. */
const TURN_AT_MS = 70_000;

/** Further events from which on an item should leave a slow upstream. */
const LONG_REST = 25;

interface PlayOptions {
  readonly seed: number;
  /** How much longer an event takes there at this time. */
  readonly factor: (upstream: number, now: number) => number;
  readonly rule?: typeof shouldMove;
}

/** Plays 24 streams over six upstreams for 90 s of events. */
function play({ seed, factor, rule = shouldMove }: PlayOptions) {
  const clock = new ManualClock();
  const random = new Random({ seed });
  const history = new PoolHistory({ clock });
  let moves = 0;
  /** Time from the turn to the end of long items on the first upstream. */
  const longTookMs: number[] = [];
  const draw = () => {
    const slow = history.speeds.slowUpstreams();
    for (;;) {
      const drawn = random.integerBelow(UPSTREAMS);
      if (!slow.includes(`${drawn}`)) return drawn;
    }
  };
  const start = () => {
    const fiveTimes = random.next() < 1 / 12 ? 5 : 1;
    const expectedTokens = random.lognormal(150, 0.5);
    const total = Math.ceil(
      expectedTokens / 10 * random.lognormal(1, 0.4) * fiveTimes,
    );
    let upstream = draw();
    let events = 0;
    let ranMs = 0;
    let isLong = false;
    const next = () => {
      const now = clock.now();
      isLong ||= upstream === 0 && total - events >= LONG_REST &&
        now > TURN_AT_MS - 100 && now < TURN_AT_MS;
      const tookMs = EVENT_MS * factor(upstream, now) *
        random.lognormal(1, 0.3);
      clock.after(tookMs, () => {
        events += 1;
        ranMs += tookMs;
        if (events > 1) history.speeds.recordInterval(`${upstream}`, tookMs);
        if (events >= total) {
          if (isLong) longTookMs.push(clock.now() - TURN_AT_MS);
          history.completed(expectedTokens, { events, ranMs });
          return start();
        }
        const item = { expectedTokens, tokens: 1000 };
        const running: RunningItem = { item, upstream: `${upstream}`, events };
        if (rule(running, history)) {
          moves += 1;
          upstream = draw();
        }
        next();
      });
    };
    next();
  };
  for (let n = 0; n < STREAMS; n++) start();
  for (let ms = 0; ms < 90_000; ms += 1000) clock.advance(1000);
  return { moves, longTookMs };
}

/** The rule before: off any upstream far above the median. */
const moveOffSlower: typeof shouldMove = ({ upstream }, { speeds }) =>
  (speeds.intervalMs(upstream) ?? 0) >
    1.8 * (speeds.medianIntervalMs() ?? Infinity);

const stay = () => false;

const mean = (values: readonly number[]) =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

test("items don't move off upstreams that have always been 2.4 times slower", () => {
  for (const seed of [1, 2, 3]) {
    const factor = (upstream: number) => upstream < UPSTREAMS / 3 ? 2.4 : 1;
    const { moves } = play({ seed, factor });
    const before = play({ seed, factor, rule: moveOffSlower });
    expect([moves, before.moves > 100]).toEqual([0, true]);
  }
});

test("long items leave an upstream that turns four times slower", () => {
  const plays = [1, 2, 3, 4, 5].map((seed) => {
    const factor = (upstream: number, now: number) =>
      upstream === 0 && now >= TURN_AT_MS ? 4 : 1;
    return {
      moving: play({ seed, factor }),
      staying: play({ seed, factor, rule: stay }),
    };
  });
  const moving = plays.flatMap(({ moving }) => moving.longTookMs);
  const staying = plays.flatMap(({ staying }) => staying.longTookMs);
  expect(moving.length > 3).toEqual(true);
  expect(mean(moving) < 0.7 * mean(staying)).toEqual(true);
});

test("an item that is about to end stays, as the move costs more", () => {
  const clock = new ManualClock();
  const history = new PoolHistory({ clock });
  const { speeds, lengths, waits } = history;
  const record = (upstream: string, gapMs: number, count: number) => {
    for (let n = 0; n < count; n++) speeds.recordInterval(upstream, gapMs);
  };
  for (const upstream of ["a", "b", "c"]) record(upstream, EVENT_MS, 200);
  record("a", 4 * EVENT_MS, 60);
  for (let n = 0; n < 20; n++) lengths.record(100, 10);
  const at = (events: number, tokens = 1000) =>
    shouldMove(
      { item: { expectedTokens: 100, tokens }, upstream: "a", events },
      history,
    );
  // Each event left gains 150 ms, less 5 ms for the prompt.
  expect([at(7), at(8), at(11)]).toEqual([true, false, false]);
  expect(at(7, 100_000)).toEqual(false);
  waits.start();
  clock.advance(1000);
  record("a", 4 * EVENT_MS, 1);
  expect([at(7), at(1)]).toEqual([false, true]);
});
