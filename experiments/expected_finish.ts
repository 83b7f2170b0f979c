/**
 * Compares selections of upstreams on the same load and seeds: round robin, two
 * choices, slots in use and expected finish. The production leader, queue and
 * selectors run on a manual clock; upstreams work on each slot at their pace,
 * which for some changes every 600 ms.
 * `node dist/experiments/expected_finish.js FILE [LOAD...]`
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { Random } from "../src/bench/random.ts";
import { AffinitySelector } from "../src/dispatch/affinity_selector.ts";
import { Outcome } from "../src/dispatch/mod.ts";
import type { Ticket } from "../src/dispatch/queue.ts";
import { ShardLeader } from "../src/dispatch/shard_leader.ts";
import { SwitchingSelector } from "../src/dispatch/switching_selector.ts";
import {
  type Candidate,
  RoundRobin,
  UpstreamSelector,
} from "../src/dispatch/upstream_selector.ts";
import { ManualClock } from "../src/kernel/mod.ts";
import { Priority } from "../src/tables/mod.ts";

const SEEDS = [1, 2, 3];
const UPSTREAMS = 15;
const SLOTS = 6;
const ENTRIES = 8;
const REQUESTS = 60_000;
/** Requests before this are not measured: the selectors learn. */
const WARM_UP = 12_000;
const UTILISATION = 0.8;
const SHORT_MS = 10;
const LONG_MS = 200;
const LONG_SHARE = 0.2;
const LONG_ID = "long";
const NOISE_INTERVAL_MS = 600;
const NOISE_SHARE = 0.15;
const NOISE_FACTOR = 2.5;
const DEADLINE_MS = 60_000;

/** A load to compare the selections on. */
interface LoadModel {
  readonly name: string;
  /** Paces of the upstreams, in turn. */
  readonly paces: readonly number[];
  readonly noise: boolean;
  /** Whether short and long requests have different routes. */
  readonly apart: boolean;
  /** Age of the stated figures; undefined if none are stated. */
  readonly statedAgeMs?: number;
  /** Spread of the work within a kind. */
  readonly sigma: number;
}

const EQUAL = [1];
const DIFFERING = [0.7, 0.7, 1.7];

const STATED_AGES_MS = [0, 100, 500];

/** Work of 1:20 exactly, spread around it, and in requests that look alike. */
const KINDS = [
  { kinds: "two kinds", apart: true, sigma: 0 },
  { kinds: "two spread kinds", apart: true, sigma: 0.2 },
  { kinds: "alike", apart: false, sigma: 0.2 },
];

const LOADS: readonly LoadModel[] = KINDS.flatMap(({ kinds, ...kind }) => {
  const load = (
    name: string,
    paces: readonly number[],
    noise: boolean,
    statedAgeMs?: number,
  ) => ({
    ...kind,
    name: statedAgeMs === undefined
      ? `${kinds}, ${name}`
      : `${kinds}, ${name}, stated ${statedAgeMs} ms ago`,
    paces,
    noise,
    statedAgeMs,
  });
  return [
    load("equal speeds", EQUAL, false),
    load("equal speeds", EQUAL, false, 0),
    load("speeds", DIFFERING, false),
    ...STATED_AGES_MS.flatMap((ageMs) => [
      load("speeds", DIFFERING, false, ageMs),
      load("noise", EQUAL, true, ageMs),
      load("speeds and noise", DIFFERING, true, ageMs),
    ]),
  ];
});

/** Draws two upstreams and selects the one with fewer slots in use. */
class TwoChoices extends UpstreamSelector {
  readonly #random: Random;

  constructor(random: Random) {
    super();
    this.#random = random;
  }

  pick(_ticket: Ticket, candidates: readonly Candidate[]): Candidate {
    const draw = () => candidates[this.#random.integerBelow(candidates.length)];
    const [one, other] = [draw(), draw()];
    return one.inFlight <= other.inFlight ? one : other;
  }
}

/** What selections are made of. */
interface SelectionParts {
  readonly clock: ManualClock;
  readonly random: Random;
  readonly paces: PaceModel;
}

/**
 * Knows the work of each request and all paces of this moment: what selection
 * can reach at most without knowing the next change.
 */
class TruePaces extends UpstreamSelector {
  readonly #paces: PaceModel;
  readonly #clock: ManualClock;

  constructor(clock: ManualClock, paces: PaceModel) {
    super();
    this.#clock = clock;
    this.#paces = paces;
  }

  pick({ demand }: Ticket, candidates: readonly Candidate[]): Candidate {
    // Short requests leave the fast slots to long ones.
    const sign = demand.id.startsWith(LONG_ID) ? 1 : -1;
    const now = this.#clock.now();
    const cost = ({ upstream, inFlight }: Candidate) =>
      sign * this.#paces.at(Number(upstream.id), now) + inFlight / 100;
    return candidates.reduce((best, one) =>
      cost(one) < cost(best) ? one : best
    );
  }
}

const SELECTIONS: Readonly<
  Record<string, (parts: SelectionParts) => UpstreamSelector>
> = {
  "round robin": () => new RoundRobin(),
  "two choices": ({ random }) => new TwoChoices(random),
  "slots in use": ({ clock }) => new AffinitySelector({ clock }),
  "expected finish": ({ clock, random }) =>
    new SwitchingSelector({ clock, random: () => random.next() }),
  "true paces": ({ clock, paces }) => new TruePaces(clock, paces),
};

/** The pace of each upstream over time. */
class PaceModel {
  readonly #load: LoadModel;
  /** The noisy upstreams of each interval. */
  readonly #noisy: ReadonlySet<number>[] = [];
  readonly #random: Random;

  constructor(load: LoadModel, seed: number) {
    this.#load = load;
    this.#random = new Random({ seed: seed + 1000 });
  }

  /** Work that all slots do in a millisecond. */
  get capacity(): number {
    const usual = Array.from(
      { length: UPSTREAMS },
      (_, index) => SLOTS / this.usual(index),
    ).reduce((sum, one) => sum + one, 0);
    return this.#load.noise
      ? usual * (1 - NOISE_SHARE + NOISE_SHARE / NOISE_FACTOR)
      : usual;
  }

  usual(upstream: number): number {
    return this.#load.paces[upstream % this.#load.paces.length];
  }

  at(upstream: number, ms: number): number {
    if (!this.#load.noise) return this.usual(upstream);
    const window = Math.max(0, Math.floor(ms / NOISE_INTERVAL_MS));
    while (this.#noisy.length <= window) this.#noisy.push(this.#draw());
    const factor = this.#noisy[window].has(upstream) ? NOISE_FACTOR : 1;
    return this.usual(upstream) * factor;
  }

  #draw(): ReadonlySet<number> {
    const share = UPSTREAMS * NOISE_SHARE;
    const count = Math.floor(share + this.#random.next());
    const noisy = new Set<number>();
    while (noisy.size < count) noisy.add(this.#random.integerBelow(UPSTREAMS));
    return noisy;
  }

  /** When work that starts at a time is done. */
  end(upstream: number, startMs: number, workMs: number): number {
    if (!this.#load.noise) return startMs + workMs * this.usual(upstream);
    let at = startMs;
    let left = workMs;
    for (;;) {
      const pace = this.at(upstream, at);
      const next = (Math.floor(at / NOISE_INTERVAL_MS) + 1) *
        NOISE_INTERVAL_MS;
      if (at + left * pace <= next) return at + left * pace;
      left -= (next - at) / pace;
      at = next;
    }
  }
}

interface RequestModel {
  readonly arrivedAt: number;
  readonly long: boolean;
  readonly workMs: number;
  readonly entry: number;
}

interface Running extends RequestModel {
  readonly permit: string;
  readonly upstream: number;
  readonly endsAt: number;
}

interface Figures {
  readonly load: string;
  readonly selection: string;
  readonly seed: number;
  readonly p99: number;
  readonly mean: number;
  readonly shortP99: number;
  readonly longP99: number;
  /** Most expected work of an upstream to the mean over upstreams. */
  readonly busiest: number;
  /** Share of the run in which expected finish was used. */
  readonly switchedOn: boolean;
  readonly refused: number;
}

function simulate(load: LoadModel, selection: string, seed: number): Figures {
  const clock = new ManualClock();
  const paces = new PaceModel(load, seed);
  const random = new Random({ seed });
  const selector = SELECTIONS[selection]({
    clock,
    paces,
    random: new Random({ seed: seed + 2000 }),
  });
  const leader = new ShardLeader({ clock, selector });
  leader.setUpstreams(Array.from({ length: UPSTREAMS }, (_, index) => ({
    id: `${index}`,
    address: "",
    pool: "web",
    availabilityZone: "zone-1",
    reclaimable: false,
    leaving: false,
    evacuated: false,
    slots: SLOTS,
  })));
  clock.advance(10_000);
  const meanWork = SHORT_MS * (1 - LONG_SHARE) + LONG_MS * LONG_SHARE;
  const intervalMs = meanWork / (paces.capacity * UTILISATION);
  const running = new Set<Running>();
  const given = new Array<number>(UPSTREAMS).fill(0);
  const times: { ms: number; long: boolean }[] = [];
  let refused = 0;
  const submit = (number: number) => {
    const long = random.next() < LONG_SHARE;
    const request: RequestModel = {
      arrivedAt: clock.now(),
      long,
      workMs: (long ? LONG_MS : SHORT_MS) *
        (load.sigma === 0 ? 1 : random.lognormal(1, load.sigma)),
      entry: random.integerBelow(ENTRIES),
    };
    leader.submit(ticketOf(number, request, load), (answer) => {
      if (!("permit" in answer)) {
        refused += 1;
        return;
      }
      const upstream = Number(answer.upstream.id);
      given[upstream] += long ? LONG_MS : SHORT_MS;
      const endsAt = paces.end(upstream, clock.now(), request.workMs);
      running.add({ ...request, permit: answer.permit, upstream, endsAt });
    });
  };
  const release = (one: Running) => {
    running.delete(one);
    if (times.length + WARM_UP < REQUESTS) {
      times.push({ ms: clock.now() - one.arrivedAt, long: one.long });
    }
    const { statedAgeMs } = load;
    if (statedAgeMs !== undefined) {
      const pace = paces.at(one.upstream, clock.now() - statedAgeMs);
      leader.stated(one.permit, {
        running: 0,
        waiting: 0,
        slots: SLOTS,
        pacePercent: Math.round(pace * 100),
      }, statedAgeMs);
    }
    leader.release(one.permit, Outcome.Served, 1);
  };
  let count = 0;
  let nextAt = clock.now();
  while (count < REQUESTS || running.size > 0) {
    let first: Running | undefined;
    for (const one of running) {
      if (first === undefined || one.endsAt < first.endsAt) first = one;
    }
    if (first !== undefined && (count >= REQUESTS || first.endsAt <= nextAt)) {
      clock.advance(Math.max(0, first.endsAt - clock.now()));
      release(first);
      if (count <= WARM_UP) times.length = 0;
      continue;
    }
    clock.advance(Math.max(0, nextAt - clock.now()));
    nextAt += random.exponential(intervalMs);
    count += 1;
    submit(count);
  }
  const sum = given.reduce((a, b) => a + b, 0);
  const all = times.map(({ ms }) => ms);
  return {
    load: load.name,
    selection,
    seed,
    p99: quantile(all, 0.99),
    mean: all.reduce((a, b) => a + b, 0) / all.length,
    shortP99: quantile(times.filter(({ long }) => !long).map(msOf), 0.99),
    longP99: quantile(times.filter(({ long }) => long).map(msOf), 0.99),
    busiest: Math.max(...given) / (sum / UPSTREAMS),
    switchedOn: leader.selection?.expectedFinish ?? false,
    refused,
  };
}

function ticketOf(
  number: number,
  request: RequestModel,
  { apart }: LoadModel,
): Ticket {
  const id = `${request.long ? LONG_ID : "short"}-${number}`;
  return {
    id,
    entry: `entry-${request.entry}`,
    availabilityZone: "zone-1",
    queuedAt: request.arrivedAt,
    demand: {
      id,
      pool: "web",
      route: apart && request.long ? "reward" : "lookup",
      tenant: "a",
      priority: Priority.Standard,
      weight: 1,
      tokens: 1,
      prefixes: [],
      remainingMs: DEADLINE_MS,
      minVersion: 0,
      exclude: [],
      fingerprint: id,
      attempt: 0,
    },
  };
}

function msOf({ ms }: { ms: number }): number {
  return ms;
}

function quantile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * share)];
}

function median(values: readonly number[]): number {
  return quantile(values, 0.5);
}

/** Medians over the seeds, against slots in use. */
function summaryOf(load: LoadModel, runs: readonly Figures[]) {
  const of = (
    selection: string,
    key: "p99" | "mean" | "shortP99" | "longP99" | "busiest",
  ) =>
    median(
      runs.filter((run) => run.selection === selection).map((run) => run[key]),
    );
  return Object.keys(SELECTIONS).map((selection) => {
    const ratio = (key: "p99" | "mean" | "shortP99" | "longP99") =>
      round(of(selection, key) / of("slots in use", key));
    const own = runs.filter((run) => run.selection === selection);
    return {
      load: load.name,
      selection,
      p99Ms: round(of(selection, "p99")),
      p99Ratio: ratio("p99"),
      meanMs: round(of(selection, "mean")),
      meanRatio: ratio("mean"),
      shortP99Ms: round(of(selection, "shortP99")),
      shortP99Ratio: ratio("shortP99"),
      longP99Ms: round(of(selection, "longP99")),
      longP99Ratio: ratio("longP99"),
      busiest: round(of(selection, "busiest")),
      busiestWorst: round(Math.max(...own.map(({ busiest }) => busiest))),
      switchedOn: own.filter(({ switchedOn }) => switchedOn).length,
      refused: own.reduce((sum, { refused }) => sum + refused, 0),
    };
  });
}

function round(value: number): number {
  return Math.round(value * 1000) / 1000;
}

const [file, ...wanted] = process.argv.slice(2);
const results = [];
for (const load of LOADS) {
  if (wanted.length > 0 && !wanted.some((part) => load.name.includes(part))) {
    continue;
  }
  const runs = Object.keys(SELECTIONS).flatMap((selection) =>
    SEEDS.map((seed) => simulate(load, selection, seed))
  );
  for (const row of summaryOf(load, runs)) {
    results.push(row);
    console.log(JSON.stringify(row));
  }
}
if (file !== undefined && file !== "-") {
  writeFileSync(file, JSON.stringify(results, null, 1) + "\n");
}
