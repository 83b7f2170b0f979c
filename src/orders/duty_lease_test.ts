import { expect } from "earl";
import fc from "fast-check";
import { fromNullable, type Option } from "fp-ts/Option";
import { test } from "node:test";
import { Err, Ok, type Result } from "ts-results";
import { Clock, ManualClock } from "../kernel/mod.ts";
import {
  type Entry,
  type Failure,
  Fault,
  type Grant,
  KeyValue,
  type Swap,
} from "../outside/mod.ts";
import { DutyLease, type HeldLease } from "./duty_lease.ts";

const LEASE_MS = 1000;
const MARGIN_MS = 200;
/** Longest time that an act stays under way once it was sent. */
const FLIGHT_MS = 190;
const STEP_MS = 20;

/** A process's clock: its time goes on while the process is paused. */
class ProcessClock extends Clock {
  readonly #world: ManualClock;
  #paused = false;
  #due: (() => void)[] = [];

  constructor(world: ManualClock) {
    super();
    this.#world = world;
  }

  now(): number {
    return this.#world.now();
  }

  wall(): number {
    return this.#world.wall();
  }

  after(delayMs: number, task: () => void): () => void {
    let cancelled = false;
    const run = () => {
      if (!cancelled) task();
    };
    this.#world.after(delayMs, () => this.deliver(run));
    return () => cancelled = true;
  }

  /** Runs `task` now, or once the process goes on. */
  deliver(task: () => void): void {
    if (this.#paused) this.#due.push(task);
    else task();
  }

  pause(): void {
    this.#paused = true;
  }

  /** Goes on; what is due runs in order, or the latest first. */
  resume(options: { reversed: boolean }): void {
    this.#paused = false;
    const due = options.reversed ? this.#due.reverse() : this.#due;
    this.#due = [];
    for (const task of due) task();
  }
}

/** How the next call of the key-value service goes. */
interface Weather {
  readonly thereMs: number;
  readonly backMs: number;
  /** Its caller gives up after `backMs`, perhaps before it takes effect. */
  readonly lost: boolean;
  readonly down: boolean;
}

const UNANSWERED = Err({ fault: Fault.Unknown, message: "No answer" });
const FAIR: Weather = { thereMs: 1, backMs: 1, lost: false, down: false };

const LATE: Weather = { thereMs: 30, backMs: 1, lost: true, down: false };

/** One value behind a slow connection that loses answers. */
class World {
  readonly clock = new ManualClock();
  weather = FAIR;
  /** Goes before `weather` for the next calls, one each. */
  next: Weather[] = [];
  #entry: Entry | null = null;
  #revision = 0;

  /** Carries a call there and its answer back to the process. */
  call<T>(process: ProcessClock, run: () => T): Promise<Result<T, Failure>> {
    const { thereMs, backMs, lost, down } = this.next.shift() ?? this.weather;
    return new Promise((resolve) => {
      const answer = (result: Result<T, Failure>) =>
        process.deliver(() => resolve(result));
      if (lost || down) this.clock.after(backMs, () => answer(UNANSWERED));
      if (down) return;
      this.clock.after(thereMs, () => {
        const result = Ok(run());
        if (!lost) this.clock.after(backMs, () => answer(result));
      });
    });
  }

  read(): Option<Entry> {
    return fromNullable(this.#entry);
  }

  swap(key: string, value: string, expected: number): Swap {
    if ((this.#entry?.revision ?? 0) !== expected) {
      return { applied: false, current: this.read() };
    }
    const revision = ++this.#revision;
    this.#entry = { key, value, revision };
    return { applied: true, revision };
  }
}

class FakeKeyValue extends KeyValue {
  readonly #world: World;
  readonly #process: ProcessClock;

  constructor(world: World, process: ProcessClock) {
    super();
    this.#world = world;
    this.#process = process;
  }

  get(): Promise<Result<Option<Entry>, Failure>> {
    return this.#world.call(this.#process, () => this.#world.read());
  }

  swap(
    key: string,
    { value, expected }: { value: string; expected: number },
  ): Promise<Result<Swap, Failure>> {
    return this.#world.call(
      this.#process,
      () => this.#world.swap(key, value, expected),
    );
  }

  range(): Promise<Result<readonly Entry[], Failure>> {
    throw new Error("Not used");
  }

  remove(): Promise<Result<Swap, Failure>> {
    throw new Error("Not used");
  }

  grant(): Promise<Result<Grant, Failure>> {
    throw new Error("Not used");
  }

  renew(): Promise<Result<Grant, Failure>> {
    throw new Error("Not used");
  }

  revoke(): Promise<Result<true, Failure>> {
    throw new Error("Not used");
  }

  watch(): Promise<Result<Option<Entry>, Failure>> {
    throw new Error("Not used");
  }
}

interface Arrival {
  readonly holder: string;
  readonly term: number;
}

/** Three processes that all want the charge and act as often as they may. */
class Race {
  readonly world = new World();
  readonly arrivals: Arrival[] = [];
  readonly processes: readonly ProcessClock[];
  /** How long the next act stays under way. */
  flightMs = 0;
  /** Most processes that held the charge at one moment. */
  holders = 0;
  readonly #stop = new AbortController();
  readonly #tenures = new Map<string, HeldLease>();
  readonly #tasks: readonly Promise<void>[];

  constructor(options: { marginMs?: number } = {}) {
    const marginMs = options.marginMs ?? MARGIN_MS;
    this.processes = [0, 1, 2].map(() => new ProcessClock(this.world.clock));
    this.#tasks = this.processes.map((process, n) =>
      this.#compete(process, { holder: "abc"[n], marginMs })
    );
  }

  async run(ms: number): Promise<void> {
    for (let t = 0; t < ms; t += STEP_MS) {
      this.world.clock.advance(STEP_MS);
      await settle();
      const held = [...this.#tenures.values()].filter(({ held }) => held);
      this.holders = Math.max(this.holders, held.length);
    }
  }

  async stop(): Promise<void> {
    this.world.weather = FAIR;
    for (const process of this.processes) process.resume({ reversed: false });
    this.#stop.abort();
    await this.run(LEASE_MS);
    await Promise.all(this.#tasks);
  }

  /** Acts that arrived under an old term after one under a newer. */
  overtaken(): readonly Arrival[] {
    let newest = 0;
    return this.arrivals.filter(({ term }) => {
      newest = Math.max(newest, term);
      return term < newest;
    });
  }

  /** Acts under a term that more than one process used. */
  shared(): readonly Arrival[] {
    const holders = new Map<number, string>();
    return this.arrivals.filter(({ term, holder }) => {
      const first = holders.get(term) ?? holder;
      holders.set(term, first);
      return first !== holder;
    });
  }

  /** Who acted, in order, each once in a row. */
  turns(): string {
    return this.arrivals.map(({ holder }) => holder).join("")
      .replace(/(.)\1+/g, "$1");
  }

  async #compete(
    process: ProcessClock,
    options: { holder: string; marginMs: number },
  ): Promise<void> {
    const charge = new DutyLease({
      keyValue: new FakeKeyValue(this.world, process),
      clock: process,
      name: "test",
      leaseMs: LEASE_MS,
      ...options,
    });
    while (!this.#stop.signal.aborted) {
      await charge.hold(this.#stop.signal, async (tenure) => {
        this.#tenures.set(options.holder, tenure);
        while (!tenure.signal.aborted) {
          await tenure.runWhileHeld(async (signal) => {
            await process.sleep(STEP_MS, signal);
            if (!signal.aborted && tenure.held) this.#send(options, tenure);
          });
          await process.sleep(STEP_MS, tenure.signal);
        }
      });
    }
  }

  #send({ holder }: { holder: string }, { term }: HeldLease): void {
    const arrive = () => this.arrivals.push({ holder, term });
    this.world.clock.after(this.flightMs, () => arrive());
  }
}

async function settle(): Promise<void> {
  for (let n = 0; n < 3; n++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test("one process acts while the others wait", async () => {
  const race = new Race();
  await race.run(3 * LEASE_MS);
  expect(race.turns()).toEqual("a");
  await race.stop();
});

test("a process that ends gives the charge up", async () => {
  const race = new Race();
  await race.run(LEASE_MS);
  await race.stop();
  const entry = race.world.read();
  expect(entry._tag === "Some" && JSON.parse(entry.value.value).released)
    .toEqual(true);
});

test("a paused holder is succeeded and doesn't act when it goes on", async () => {
  const race = new Race();
  await race.run(LEASE_MS);
  race.processes[0].pause();
  await race.run(3 * LEASE_MS);
  race.processes[0].resume({ reversed: true });
  await race.run(LEASE_MS);
  expect(race.turns()).toEqual("ab");
  expect(race.overtaken()).toEqual([]);
  await race.stop();
});

test("a holder whose renewals' answers are lost stays the holder", async () => {
  const race = new Race();
  await race.run(LEASE_MS);
  const answered = race.world.weather;
  for (let n = 0; n < 20; n++) {
    race.world.weather = { ...answered, lost: n % 2 === 0 };
    await race.run(LEASE_MS / 10);
  }
  expect(race.turns()).toEqual("a");
  expect(race.shared()).toEqual([]);
  await race.stop();
});

test("an outage ends the tenure; the same holder goes on after it", async () => {
  const race = new Race();
  await race.run(LEASE_MS);
  race.world.weather = { ...FAIR, down: true };
  await race.run(LEASE_MS);
  const before = race.arrivals.length;
  await race.run(2 * LEASE_MS);
  expect(race.arrivals.length).toEqual(before);
  race.world.weather = FAIR;
  await race.run(LEASE_MS);
  expect(race.arrivals.length > before).toEqual(true);
  expect(race.overtaken()).toEqual([]);
  await race.stop();
});

test("a release that lands late doesn't pass for a renewal", async () => {
  const world = new World();
  const process = new ProcessClock(world.clock);
  const charge = new DutyLease({
    keyValue: new FakeKeyValue(world, process),
    clock: process,
    name: "test",
    holder: "a",
    leaseMs: LEASE_MS,
    marginMs: MARGIN_MS,
  });
  const terms: number[] = [];
  const hold = () =>
    charge.hold(new AbortController().signal, ({ term }) => {
      terms.push(term);
      // The release, the look after it, the next look, and a renewal that
      // the release overtakes.
      world.next = [LATE, LATE, FAIR, { ...FAIR, thereMs: 60 }];
      return Promise.resolve();
    });
  const both = hold().then(hold);
  for (let t = 0; t < LEASE_MS; t += 1) {
    world.clock.advance(1);
    await settle();
  }
  await both;
  expect(terms).toEqual([1, 2]);
});

const weather = fc.record({
  thereMs: fc.nat({ max: 400 }),
  backMs: fc.nat({ max: 400 }),
  lost: fc.boolean(),
  down: fc.boolean(),
}).map((drawn) => ({ ...drawn, down: drawn.down && drawn.lost }));

const disturbance = fc.record({
  process: fc.nat({ max: 2 }),
  action: fc.constantFrom("pause", "resume", "reversed", "none"),
  weather: fc.oneof(fc.constant(FAIR), weather),
  flightMs: fc.constantFrom(0, FLIGHT_MS),
  forMs: fc.integer({ min: 1, max: 30 }).map((steps) => steps * STEP_MS),
});

/** Whether no act under an old term arrived after one under a new. */
async function ordered(
  disturbances: readonly (typeof disturbance extends fc.Arbitrary<infer T> ? T
    : never)[],
  options: { marginMs?: number },
): Promise<boolean> {
  const race = new Race(options);
  for (const { process, action, weather, flightMs, forMs } of disturbances) {
    const hit = race.processes[process];
    if (action === "pause") hit.pause();
    if (action === "resume") hit.resume({ reversed: false });
    if (action === "reversed") hit.resume({ reversed: true });
    race.world.weather = weather;
    race.flightMs = flightMs;
    await race.run(forMs);
  }
  await race.stop();
  return race.overtaken().length === 0 && race.shared().length === 0 &&
    race.holders <= 1;
}

const disturbances = fc.array(disturbance, { minLength: 10, maxLength: 40 });

test("no act is overtaken under pauses, delays and lost answers", async () => {
  await fc.assert(
    fc.asyncProperty(disturbances, (drawn) => ordered(drawn, {})),
    { seed: 1, numRuns: 200 },
  );
});

test("without the margin an act is overtaken", async () => {
  const found = await fc.check(
    fc.asyncProperty(disturbances, (drawn) => ordered(drawn, { marginMs: 0 })),
    { seed: 1, numRuns: 300, endOnFailure: true },
  );
  expect(found.failed).toEqual(true);
});

test("a holder that gave the charge up lets a lease pass before it returns", async () => {
  const world = new World();
  const turns: { holder: string; at: number }[] = [];
  const hold = (holder: string, heldMs: number) => {
    const process = new ProcessClock(world.clock);
    const charge = new DutyLease({
      keyValue: new FakeKeyValue(world, process),
      clock: process,
      name: "test",
      leaseMs: LEASE_MS,
      marginMs: MARGIN_MS,
      holder,
    });
    return charge.hold(new AbortController().signal, async (tenure) => {
      turns.push({ holder, at: world.clock.now() });
      await process.sleep(heldMs, tenure.signal);
    });
  };
  const pass = async (ms: number) => {
    for (let t = 0; t < ms; t += STEP_MS) {
      world.clock.advance(STEP_MS);
      await settle();
    }
  };
  void hold("a/1", 100);
  await pass(400);
  void hold("b/1", 100);
  await pass(400);
  void hold("a/2", 100);
  await pass(2 * LEASE_MS);
  expect(turns.map(({ holder }) => holder)).toEqual(["a/1", "b/1", "a/2"]);
  expect(turns[2].at - turns[1].at >= LEASE_MS).toEqual(true);
});
