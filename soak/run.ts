/**
 * Runs the soak test with one seed after the other:
 * `node dist/soak/run.js --from 1 --count 5 [--seconds 12] [--faults 6]
 * [--daemons 3] [--kinds KillOwner,CutOffOwner]`. Exits with 1 on any violation.
 *
 * @module
 */

import { parseArgs } from "node:util";
import { drawFaultPlan, SoakFault } from "./fault_plan.ts";
import { Soak } from "./soak.ts";

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      from: { type: "string", default: "1" },
      count: { type: "string", default: "1" },
      seconds: { type: "string", default: "12" },
      faults: { type: "string", default: "6" },
      daemons: { type: "string", default: "3" },
      kinds: { type: "string" },
    },
  });
  const runMs = Number(values.seconds) * 1000;
  const first = Number(values.from);
  const kinds = values.kinds?.split(",")
    .map((name) => SoakFault[name as keyof typeof SoakFault]);
  for (let seed = first; seed < first + Number(values.count); seed++) {
    const count = Number(values.faults);
    const plan = drawFaultPlan({ seed, count, runMs, kinds });
    const soak = new Soak({ daemons: Number(values.daemons), seed });
    const { violations, ...outcome } = await soak.run(plan, runMs);
    const faults = plan.map(({ kind }) => kind);
    console.log(JSON.stringify({ seed, ...outcome, faults, violations }));
    if (violations.length > 0) process.exitCode = 1;
  }
}

void main().then(() => process.exit());
