import { expect } from "earl";
import { test } from "node:test";
import { ModelAssignments } from "./model_assignments.ts";

const MODELS = ["m", "n", "o"];
const ROUND_MS = 250;

/** Engines that load the newest version of their model after each round. */
class Engines {
  readonly versions = new Map<string, Record<string, number>>();
  readonly latest: Record<string, number> = { m: 40, n: 7, o: 19 };

  add(id: string): void {
    this.versions.set(id, { m: 0, n: 0, o: 0 });
  }

  /** Publishes the next version of one of the models each second. */
  publish(now: number): void {
    if (now % 1000 === 0) this.latest[MODELS[now / 1000 % 3]] += 1;
  }

  assign(assignments: ModelAssignments, now: number): number {
    const upstreams = [...this.versions]
      .map(([id, versions]) => ({ id, versions: { ...versions } }));
    const pool = { name: "lm", models: MODELS, upstreams };
    const { latest } = this;
    const changes = assignments.assign(pool, { latest, now });
    for (const [id, versions] of this.versions) {
      versions[modelOf(assignments, id)] = latest[modelOf(assignments, id)];
    }
    return changes;
  }

  /** Number of engines of each model. */
  counts(assignments: ModelAssignments): readonly number[] {
    return MODELS.map((model) =>
      [...this.versions.keys()]
        .filter((id) => modelOf(assignments, id) === model).length
    );
  }
}

function modelOf(assignments: ModelAssignments, id: string): string {
  return MODELS.find((model) => assignments.loads(id, { pool: "lm", model })) ??
    "none";
}

/** Requests of a trainer with a step each 4 s and nothing between two steps. */
function stepDemand(now: number, size: number): number {
  return Math.max(0, size - size * (now % 4000) / 3000);
}

function recordSteps(assignments: ModelAssignments, now: number): void {
  const counts = {
    m: stepDemand(now, 120),
    n: stepDemand(now + 1300, 60),
    o: stepDemand(now + 2600, 60),
  };
  assignments.recordDemand("lm", counts, now);
}

test("engines keep their model while demand swings and engines come and go", () => {
  const assignments = new ModelAssignments();
  const engines = new Engines();
  for (let n = 10; n < 50; n++) engines.add(`u${n}`);
  let changes = 0;
  let earlyChanges = 0;
  for (let round = 0; round < 480; round++) {
    const now = round * ROUND_MS;
    recordSteps(assignments, now);
    engines.publish(now);
    // Every 5 s an engine ends, and another one starts 1 s later.
    if (round % 20 === 10) engines.versions.delete(`u${10 + round % 37}`);
    if (round % 20 === 14) engines.add(`v${round}`);
    changes += engines.assign(assignments, now);
    if (now === 15_000) earlyChanges = changes;
  }
  // Some engines change from the even split once the demand is known.
  expect(earlyChanges <= 8).toEqual(true);
  expect(changes - earlyChanges <= 6).toEqual(true);
  const [m, n, o] = engines.counts(assignments);
  expect(m > n + 4 && m > o + 4 && n >= 7 && o >= 7).toEqual(true);
});

test("a change of the lease holder moves few engines", () => {
  const engines = new Engines();
  for (let n = 10; n < 50; n++) engines.add(`u${n}`);
  const first = new ModelAssignments();
  for (let now = 0; now < 30_000; now += ROUND_MS) {
    recordSteps(first, now);
    engines.publish(now);
    engines.assign(first, now);
  }
  const before = [...engines.versions.keys()].map((id) => modelOf(first, id));
  const second = new ModelAssignments();
  let changes = 0;
  for (let now = 30_000; now < 60_000; now += ROUND_MS) {
    recordSteps(second, now);
    engines.publish(now);
    changes += engines.assign(second, now);
    if (now > 30_000) continue;
    const after = [...engines.versions.keys()].map((id) => modelOf(second, id));
    expect(after).toEqual(before);
  }
  expect(changes).toEqual(0);
});

test("engines of a model that was removed go to those that remain", () => {
  const assignments = new ModelAssignments();
  const upstreams = ["a", "b", "c", "d", "e", "f"]
    .map((id) => ({ id, versions: { m: 1, n: 1, o: 1 } }));
  const latest = { m: 1, n: 1, o: 1 };
  assignments.assign({ name: "lm", models: MODELS, upstreams }, {
    latest,
    now: 0,
  });
  const models = ["m", "n"];
  assignments.assign({ name: "lm", models, upstreams }, { latest, now: 250 });
  const counts = models.map((model) =>
    upstreams.filter(({ id }) => assignments.loads(id, { pool: "lm", model }))
      .length
  );
  expect(counts).toEqual([3, 3]);
});

test("the demand in one pool doesn't assign the engines of another", () => {
  const assignments = new ModelAssignments();
  const models = ["m", "n"];
  const upstreams = ["a", "b", "c", "d", "e", "f"]
    .map((id) => ({ id, versions: { m: 1, n: 1 } }));
  for (let now = 0; now <= 13_000; now += 500) {
    assignments.recordDemand("busy", { m: 100, n: 10 }, now);
    assignments.recordDemand("lm", { m: 10, n: 10 }, now);
  }
  assignments.assign({ name: "lm", models, upstreams }, {
    latest: { m: 1, n: 1 },
    now: 13_000,
  });
  const counts = models.map((model) =>
    upstreams.filter(({ id }) => assignments.loads(id, { pool: "lm", model }))
      .length
  );
  expect(counts).toEqual([3, 3]);
});
