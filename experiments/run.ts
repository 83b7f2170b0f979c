/**
 * Simulates one scenario with all policies and writes a result file:
 * `node dist/experiments/run.js --scenario flood --seeds 5 --out FILE`.
 *
 * @module
 */

import { writeFileSync } from "node:fs";
import { parseArgs } from "node:util";
import { HEADLINE_FIGURES, median } from "./headlines.ts";
import type { Figures } from "./run_figures.ts";
import { POLICIES, run, SCENARIOS } from "./scenarios.ts";

/** Parameters and figures of one run. */
export interface ResultRow {
  readonly policy: string;
  readonly load: number;
  readonly seed: number;
  readonly figures: Figures;
}

/** Content of a result file. */
export interface Results {
  readonly scenario: string;
  readonly rows: readonly ResultRow[];
}

function main(): void {
  const { values } = parseArgs({
    options: {
      scenario: { type: "string", default: "flood" },
      seeds: { type: "string", default: "5" },
      out: { type: "string", default: "" },
      policy: { type: "string", default: "" },
      load: { type: "string", default: "" },
    },
  });
  const scenario = SCENARIOS[values.scenario];
  if (scenario === undefined) {
    throw new RangeError(`Unknown scenario "${values.scenario}"`);
  }
  const rows: ResultRow[] = [];
  const seeds = Array.from({ length: Number(values.seeds) }, (_, n) => n + 1);
  for (const [name, policy] of Object.entries(POLICIES)) {
    if (!name.includes(values.policy)) continue;
    for (const load of scenario.loads) {
      if (values.load !== "" && load !== Number(values.load)) continue;
      for (const seed of seeds) {
        const figures = run({ scenario, policy, load, seed });
        rows.push({ policy: name, load, seed, figures });
      }
      summarize(rows.filter((row) => row.policy === name && row.load === load));
    }
  }
  const results: Results = { scenario: values.scenario, rows };
  if (values.out !== "") {
    writeFileSync(values.out, JSON.stringify(results, roundNumber) + "\n");
  }
}

/** Prints the median of each headline figure over the seeds. */
function summarize(rows: readonly ResultRow[]): void {
  const texts = Object.entries(HEADLINE_FIGURES).map(([name, value]) => {
    const middle = median(rows.map(({ figures }) => value(figures)));
    return `${name} ${Math.round(middle * 10) / 10}`;
  });
  console.log(`${rows[0].policy} @ ${rows[0].load}\n  ${texts.join(", ")}`);
}

/** JSON replacer that rounds numbers to keep result files small. */
function roundNumber(_key: string, value: unknown): unknown {
  return typeof value === "number" ? Number(value.toPrecision(5)) : value;
}

if (require.main === module) main();
