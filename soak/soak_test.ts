import { expect } from "earl";
import { test } from "node:test";
import { drawPlan, Kind } from "./plan.ts";
import { Soak } from "./soak.ts";

const RUN_MS = 5000;

/** What a short run with these faults breaks. */
async function broken(options: {
  seed: number;
  count: number;
  kinds?: readonly Kind[];
}): Promise<readonly string[]> {
  const plan = drawPlan({ ...options, runMs: RUN_MS });
  return (await new Soak().run(plan, RUN_MS)).violations;
}

test("a plan is the same for the same seed", () => {
  const plan = () => drawPlan({ seed: 3, count: 5, runMs: RUN_MS });
  expect(plan()).toEqual(plan());
});

test("daemons that are killed, paused and restarted break nothing", async () => {
  const kinds = [Kind.KillDaemon, Kind.PauseDaemon, Kind.RestartDaemon];
  expect(await broken({ seed: 1, count: 3, kinds })).toEqual([]);
});

test("a store that is cut, slow or loses answers breaks nothing", async () => {
  const kinds = [Kind.CutStore, Kind.StoreLosesAnswers, Kind.StoreOneWay];
  expect(await broken({ seed: 2, count: 3, kinds })).toEqual([]);
});

test("upstreams that spoil answers and go silent break nothing", async () => {
  const kinds = [Kind.BrokenAnswers, Kind.SilentUpstream, Kind.ResetUpstream];
  expect(await broken({ seed: 3, count: 3, kinds })).toEqual([]);
});
