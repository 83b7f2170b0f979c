import { expect } from "earl";
import fc from "fast-check";
import { fromNullable, type Option } from "fp-ts/Option";
import { test } from "node:test";
import { Err, Ok, type Result } from "ts-results";
import { Clock, ManualClock } from "../kernel/mod.ts";
import {
  type Failure,
  Fault,
  KeyValue,
  type KeyValueEntry,
  type KeyValueLease,
  type SwapResult,
} from "../outside/mod.ts";
import { DutyLease, type HeldLease } from "./duty_lease.ts";

const LEASE_MS = 1000;
const MARGIN_MS = 200;
/** Maximum time from sending an action to its arrival. */
const MAX_DELIVERY_MS = 190;
const STEP_MS = 20;

/**
 * A process's clock, which keeps running while the process is paused. While its
 * VM is suspended, only the wall clock runs.
 */
class ProcessClock extends Clock {
  readonly #worldClock: ManualClock;
  #paused = false;
  #due: (() => void)[] = [];
  /** Start of the present suspension, in the world's time. */
  #suspendedAt: number | undefined;
  #suspendedMs = 0;
  /** By how much the wall clock was set forward. */
  wallOffsetMs = 0;

  constructor(worldClock: ManualClock) {
    super();
    this.#worldClock = worldClock;
  }

  now(): number {
    return (this.#suspendedAt ?? this.#worldClock.now()) - this.#suspendedMs;
  }

  wall(): number {
    return this.#worldClock.wall() + this.wallOffsetMs;
  }

  after(delayMs: number, task: () => void): () => void {
    let cancelled = false;
    const at = this.now() + delayMs;
    const run = () => {
      if (cancelled) return;
      const leftMs = at - this.now();
      if (leftMs > 0) wait(leftMs);
      else task();
    };
    const wait = (ms: number) =>
      this.#worldClock.after(ms, () => this.deliver(run));
    wait(delayMs);
    return () => cancelled = true;
  }

  /** Runs `task` now, or when the process is resumed. */
  deliver(task: () => void): void {
    if (this.#paused) this.#due.push(task);
    else task();
  }

  pause(): void {
    this.#paused = true;
  }

  suspend(): void {
    this.pause();
    this.#suspendedAt ??= this.#worldClock.now();
  }

  /** Resumes; due tasks run in order, or in reverse order. */
  resume(options: { reversed: boolean }): void {
    const suspendedAt = this.#suspendedAt ?? this.#worldClock.now();
    this.#suspendedMs += this.#worldClock.now() - suspendedAt;
    this.#suspendedAt = undefined;
    this.#paused = false;
    const due = options.reversed ? this.#due.reverse() : this.#due;
    this.#due = [];
    for (const task of due) task();
  }
}

/** Conditions of a call to the key-value service. */
interface CallConditions {
  readonly requestMs: number;
  readonly responseMs: number;
  /** The caller times out after `responseMs`, maybe before the call applies. */
  readonly lost: boolean;
  readonly down: boolean;
}

const NO_ANSWER = Err({ fault: Fault.Unknown, message: "No answer" });
const NORMAL: CallConditions = {
  requestMs: 1,
  responseMs: 1,
  lost: false,
  down: false,
};

const APPLIED_LATE: CallConditions = {
  requestMs: 30,
  responseMs: 1,
  lost: true,
  down: false,
};

/** A service with one value behind a slow connection that loses answers. */
class SimulatedService {
  readonly clock = new ManualClock();
  conditions = NORMAL;
  /** Conditions of the next calls, one each; `conditions` apply after them. */
  next: CallConditions[] = [];
  #entry: KeyValueEntry | null = null;
  #revision = 0;

  /** Delivers a call to the service and its answer to the process. */
  call<T>(process: ProcessClock, run: () => T): Promise<Result<T, Failure>> {
    const { requestMs, responseMs, lost, down } = this.next.shift() ??
      this.conditions;
    return new Promise((resolve) => {
      const answer = (result: Result<T, Failure>) =>
        process.deliver(() => resolve(result));
      if (lost || down) this.clock.after(responseMs, () => answer(NO_ANSWER));
      if (down) return;
      this.clock.after(requestMs, () => {
        const result = Ok(run());
        if (!lost) this.clock.after(responseMs, () => answer(result));
      });
    });
  }

  read(): Option<KeyValueEntry> {
    return fromNullable(this.#entry);
  }

  swap(key: string, value: string, expected: number): SwapResult {
    if ((this.#entry?.revision ?? 0) !== expected) {
      return { applied: false, current: this.read() };
    }
    const revision = ++this.#revision;
    this.#entry = { key, value, revision };
    return { applied: true, revision };
  }
}

class DelayedKeyValue extends KeyValue {
  readonly #service: SimulatedService;
  readonly #process: ProcessClock;

  constructor(service: SimulatedService, process: ProcessClock) {
    super();
    this.#service = service;
    this.#process = process;
  }

  get(): Promise<Result<Option<KeyValueEntry>, Failure>> {
    return this.#service.call(this.#process, () => this.#service.read());
  }

  swap(
    key: string,
    { value, expected }: { value: string; expected: number },
  ): Promise<Result<SwapResult, Failure>> {
    return this.#service.call(
      this.#process,
      () => this.#service.swap(key, value, expected),
    );
  }

  range(): Promise<Result<readonly KeyValueEntry[], Failure>> {
    throw new Error("Not used");
  }

  remove(): Promise<Result<SwapResult, Failure>> {
    throw new Error("Not used");
  }

  grant(): Promise<Result<KeyValueLease, Failure>> {
    throw new Error("Not used");
  }

  renew(): Promise<Result<KeyValueLease, Failure>> {
    throw new Error("Not used");
  }

  revoke(): Promise<Result<true, Failure>> {
    throw new Error("Not used");
  }

  watch(): Promise<Result<Option<KeyValueEntry>, Failure>> {
    throw new Error("Not used");
  }
}

interface Arrival {
  readonly holder: string;
  readonly term: number;
}

/** Three processes that compete for the lease and act whenever they hold it. */
class Contenders {
  readonly service = new SimulatedService();
  readonly arrivals: Arrival[] = [];
  readonly processes: readonly ProcessClock[];
  /** Time from sending the next action to its arrival. */
  deliveryMs = 0;
  /** Maximum number of processes that held the lease at once. */
  maxHolders = 0;
  readonly #stop = new AbortController();
  readonly #leases = new Map<string, HeldLease>();
  readonly #tasks: readonly Promise<void>[];

  constructor(options: { marginMs?: number } = {}) {
    const marginMs = options.marginMs ?? MARGIN_MS;
    this.processes = [0, 1, 2].map(() => new ProcessClock(this.service.clock));
    this.#tasks = this.processes.map((process, n) =>
      this.#compete(process, { holder: "abc"[n], marginMs })
    );
  }

  async run(ms: number): Promise<void> {
    for (let t = 0; t < ms; t += STEP_MS) {
      this.service.clock.advance(STEP_MS);
      await settle();
      const held = [...this.#leases.values()].filter(({ held }) => held);
      this.maxHolders = Math.max(this.maxHolders, held.length);
    }
  }

  async stop(): Promise<void> {
    this.service.conditions = NORMAL;
    for (const process of this.processes) process.resume({ reversed: false });
    this.#stop.abort();
    await this.run(LEASE_MS);
    await Promise.all(this.#tasks);
  }

  /** Actions that arrived after one under a newer term. */
  overtaken(): readonly Arrival[] {
    let newest = 0;
    return this.arrivals.filter(({ term }) => {
      newest = Math.max(newest, term);
      return term < newest;
    });
  }

  /** Actions under a term that another process used before. */
  shared(): readonly Arrival[] {
    const firstHolders = new Map<number, string>();
    return this.arrivals.filter(({ term, holder }) => {
      const first = firstHolders.get(term) ?? holder;
      firstHolders.set(term, first);
      return first !== holder;
    });
  }

  /** Holders in order of their actions, with repetitions collapsed. */
  turns(): string {
    return this.arrivals.map(({ holder }) => holder).join("")
      .replace(/(.)\1+/g, "$1");
  }

  async #compete(
    process: ProcessClock,
    options: { holder: string; marginMs: number },
  ): Promise<void> {
    const dutyLease = new DutyLease({
      keyValue: new DelayedKeyValue(this.service, process),
      clock: process,
      name: "test",
      leaseMs: LEASE_MS,
      ...options,
    });
    while (!this.#stop.signal.aborted) {
      await dutyLease.hold(this.#stop.signal, async (lease) => {
        this.#leases.set(options.holder, lease);
        while (!lease.signal.aborted) {
          await lease.runWhileHeld(async (signal) => {
            await process.sleep(STEP_MS, signal);
            if (!signal.aborted && lease.held) this.#send(options, lease);
          });
          await process.sleep(STEP_MS, lease.signal);
        }
      });
    }
  }

  #send({ holder }: { holder: string }, { term }: HeldLease): void {
    const arrive = () => this.arrivals.push({ holder, term });
    this.service.clock.after(this.deliveryMs, () => arrive());
  }
}

async function settle(): Promise<void> {
  for (let n = 0; n < 3; n++) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}

test("only one process acts at a time", async () => {
  const contenders = new Contenders();
  await contenders.run(3 * LEASE_MS);
  expect(contenders.turns()).toEqual("a");
  await contenders.stop();
});

test("a process that ends releases the lease", async () => {
  const contenders = new Contenders();
  await contenders.run(LEASE_MS);
  await contenders.stop();
  const entry = contenders.service.read();
  expect(entry._tag === "Some" && JSON.parse(entry.value.value).released)
    .toEqual(true);
});

test("a paused holder is replaced and does not act when resumed", async () => {
  const contenders = new Contenders();
  await contenders.run(LEASE_MS);
  contenders.processes[0].pause();
  await contenders.run(3 * LEASE_MS);
  contenders.processes[0].resume({ reversed: true });
  await contenders.run(LEASE_MS);
  expect(contenders.turns()).toEqual("ab");
  expect(contenders.overtaken()).toEqual([]);
  await contenders.stop();
});

test("a holder whose VM was suspended does not act on its old lease", async () => {
  const contenders = new Contenders();
  await contenders.run(LEASE_MS);
  contenders.processes[0].suspend();
  await contenders.run(3 * LEASE_MS);
  contenders.processes[0].resume({ reversed: true });
  await contenders.run(LEASE_MS);
  expect(contenders.turns()).toEqual("ab");
  expect(contenders.overtaken()).toEqual([]);
  await contenders.stop();
});

test("a wall clock that is set keeps one holder at a time", async () => {
  for (const offsetMs of [-10 * LEASE_MS, 10 * LEASE_MS]) {
    const contenders = new Contenders();
    await contenders.run(LEASE_MS);
    contenders.processes[0].wallOffsetMs = offsetMs;
    await contenders.run(3 * LEASE_MS);
    contenders.processes[0].pause();
    await contenders.run(3 * LEASE_MS);
    contenders.processes[0].resume({ reversed: true });
    await contenders.run(LEASE_MS);
    expect(contenders.overtaken()).toEqual([]);
    expect(contenders.shared()).toEqual([]);
    expect([contenders.maxHolders, contenders.turns()]).toEqual([1, "ab"]);
    await contenders.stop();
  }
});

test("a holder keeps the lease when answers to renewals are lost", async () => {
  const contenders = new Contenders();
  await contenders.run(LEASE_MS);
  const answered = contenders.service.conditions;
  for (let n = 0; n < 20; n++) {
    contenders.service.conditions = { ...answered, lost: n % 2 === 0 };
    await contenders.run(LEASE_MS / 10);
  }
  expect(contenders.turns()).toEqual("a");
  expect(contenders.shared()).toEqual([]);
  await contenders.stop();
});

test("an outage ends the lease; its holder acquires it again", async () => {
  const contenders = new Contenders();
  await contenders.run(LEASE_MS);
  contenders.service.conditions = { ...NORMAL, down: true };
  await contenders.run(LEASE_MS);
  const before = contenders.arrivals.length;
  await contenders.run(2 * LEASE_MS);
  expect(contenders.arrivals.length).toEqual(before);
  contenders.service.conditions = NORMAL;
  await contenders.run(LEASE_MS);
  expect(contenders.arrivals.length > before).toEqual(true);
  expect(contenders.overtaken()).toEqual([]);
  await contenders.stop();
});

test("a release that is applied late is not mistaken for a renewal", async () => {
  const service = new SimulatedService();
  const process = new ProcessClock(service.clock);
  const dutyLease = new DutyLease({
    keyValue: new DelayedKeyValue(service, process),
    clock: process,
    name: "test",
    holder: "a",
    leaseMs: LEASE_MS,
    marginMs: MARGIN_MS,
  });
  const terms: number[] = [];
  const hold = () =>
    dutyLease.hold(new AbortController().signal, ({ term }) => {
      terms.push(term);
      // The release, the read of its outcome, the next poll, and a renewal that
      // reaches the service after the release.
      service.next = [APPLIED_LATE, APPLIED_LATE, NORMAL, {
        ...NORMAL,
        requestMs: 60,
      }];
      return Promise.resolve();
    });
  const both = hold().then(hold);
  for (let t = 0; t < LEASE_MS; t += 1) {
    service.clock.advance(1);
    await settle();
  }
  await both;
  expect(terms).toEqual([1, 2]);
});

const callConditions = fc.record({
  requestMs: fc.nat({ max: 400 }),
  responseMs: fc.nat({ max: 400 }),
  lost: fc.boolean(),
  down: fc.boolean(),
}).map((drawn) => ({ ...drawn, down: drawn.down && drawn.lost }));

/** What may happen to a process. */
type Action = "pause" | "suspend" | "resume" | "reversed" | "none";

interface Disturbance {
  readonly process: number;
  readonly action: Action;
  readonly conditions: CallConditions;
  readonly deliveryMs: number;
  readonly forMs: number;
}

function disturbancesOf(
  actions: readonly Action[],
): fc.Arbitrary<readonly Disturbance[]> {
  const disturbance = fc.record({
    process: fc.nat({ max: 2 }),
    action: fc.constantFrom(...actions),
    conditions: fc.oneof(fc.constant(NORMAL), callConditions),
    deliveryMs: fc.constantFrom(0, MAX_DELIVERY_MS),
    forMs: fc.integer({ min: 1, max: 30 }).map((steps) => steps * STEP_MS),
  });
  return fc.array(disturbance, { minLength: 10, maxLength: 40 });
}

/** Whether actions arrived in term order, one holder per term and at a time. */
async function arriveInOrder(
  disturbances: readonly Disturbance[],
  options: { marginMs?: number },
): Promise<boolean> {
  const contenders = new Contenders(options);
  for (
    const { process, action, conditions, deliveryMs, forMs } of disturbances
  ) {
    const hit = contenders.processes[process];
    if (action === "pause") hit.pause();
    if (action === "suspend") hit.suspend();
    if (action === "resume") hit.resume({ reversed: false });
    if (action === "reversed") hit.resume({ reversed: true });
    contenders.service.conditions = conditions;
    contenders.deliveryMs = deliveryMs;
    await contenders.run(forMs);
  }
  await contenders.stop();
  return contenders.overtaken().length === 0 &&
    contenders.shared().length === 0 &&
    contenders.maxHolders <= 1;
}

const disturbances = disturbancesOf(["pause", "resume", "reversed", "none"]);

test("actions arrive in term order under pauses, delays and lost answers", async () => {
  await fc.assert(
    fc.asyncProperty(disturbances, (drawn) => arriveInOrder(drawn, {})),
    { seed: 1, numRuns: 200 },
  );
});

test("actions arrive in term order when VMs are suspended", async () => {
  const drawn = disturbancesOf(["suspend", "pause", "resume", "reversed"]);
  await fc.assert(
    fc.asyncProperty(drawn, (list) => arriveInOrder(list, {})),
    { seed: 1, numRuns: 200 },
  );
});

test("without the margin an action arrives after its successor's", async () => {
  const found = await fc.check(
    fc.asyncProperty(
      disturbances,
      (drawn) => arriveInOrder(drawn, { marginMs: 0 }),
    ),
    { seed: 1, numRuns: 300, endOnFailure: true },
  );
  expect(found.failed).toEqual(true);
});

test("a previous holder waits for a lease before it acquires again", async () => {
  const service = new SimulatedService();
  const turns: { holder: string; at: number }[] = [];
  const hold = (holder: string, heldMs: number) => {
    const process = new ProcessClock(service.clock);
    const dutyLease = new DutyLease({
      keyValue: new DelayedKeyValue(service, process),
      clock: process,
      name: "test",
      leaseMs: LEASE_MS,
      marginMs: MARGIN_MS,
      holder,
    });
    return dutyLease.hold(new AbortController().signal, async (lease) => {
      turns.push({ holder, at: service.clock.now() });
      await process.sleep(heldMs, lease.signal);
    });
  };
  const pass = async (ms: number) => {
    for (let t = 0; t < ms; t += STEP_MS) {
      service.clock.advance(STEP_MS);
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
