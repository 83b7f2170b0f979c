import { expect } from "earl";
import { test } from "node:test";
import { drawFaultPlan, SoakFault } from "./fault_plan.ts";
import { Soak } from "./soak.ts";

const RUN_MS = 5000;

/** What a short run with these faults breaks. */
async function broken(options: {
  seed: number;
  count: number;
  kinds?: readonly SoakFault[];
}): Promise<readonly string[]> {
  const plan = drawFaultPlan({ ...options, runMs: RUN_MS });
  return (await new Soak().run(plan, RUN_MS)).violations;
}

test("a plan is the same for the same seed", () => {
  const plan = () => drawFaultPlan({ seed: 3, count: 5, runMs: RUN_MS });
  expect(plan()).toEqual(plan());
});

test("daemons that are killed, paused and restarted break nothing", async () => {
  const kinds = [
    SoakFault.KillDaemon,
    SoakFault.PauseDaemon,
    SoakFault.RestartDaemon,
  ];
  expect(await broken({ seed: 1, count: 3, kinds })).toEqual([]);
});

test("a store that is cut, slow or loses answers breaks nothing", async () => {
  const kinds = [
    SoakFault.CutStore,
    SoakFault.StoreLosesAnswers,
    SoakFault.StoreOneWay,
  ];
  expect(await broken({ seed: 2, count: 3, kinds })).toEqual([]);
});

test("upstreams that spoil answers and go silent break nothing", async () => {
  const kinds = [
    SoakFault.BrokenAnswers,
    SoakFault.SilentUpstream,
    SoakFault.ResetUpstream,
  ];
  expect(await broken({ seed: 3, count: 3, kinds })).toEqual([]);
});
