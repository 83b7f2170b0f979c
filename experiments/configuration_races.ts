/**
 * Runs many seeds of concurrent configuration edits by several operators:
 * `node dist/experiments/configuration_races.js [first seed] [seeds]`.
 * Exits with 1 if the stored history contradicts an outcome reported to an
 * operator.
 *
 * @module
 */

import {
  checkHistory,
  readHistory,
  regrantedKeys,
  type ReportedOutcome,
} from "../src/cli/history_check.ts";
import { EditOutcome } from "../src/cli/mod.ts";
import { runConcurrentEdits } from "../src/cli/concurrent_edits.ts";

async function main(first: number, seeds: number): Promise<number> {
  let contradictions = 0;
  for (let seed = first; seed < first + seeds; seed++) {
    const { entries, outcomes, unreported } = await runConcurrentEdits({
      seed,
      operators: 4,
      edits: 8,
      answerLossProbability: 0.35,
      callFailureProbability: 0.2,
      killProbability: 0.2,
    });
    const faults = [
      ...checkHistory(entries, outcomes),
      ...regrantedKeys(entries),
    ];
    contradictions += faults.length;
    const reported = Object.values(EditOutcome)
      .map((ending) => `${ending} ${count(outcomes, ending)}`);
    const revisions = readHistory(entries).length;
    console.log(
      `seed ${seed}: ${revisions} revisions; reported: ${
        reported.join(", ")
      }; ` +
        `killed ${unreported}; contradictions ${faults.length}`,
    );
    for (const fault of faults) console.log(`  ${fault}`);
  }
  return contradictions === 0 ? 0 : 1;
}

function count(
  outcomes: readonly ReportedOutcome[],
  ending: EditOutcome,
): number {
  return outcomes.filter((outcome) => outcome.ending === ending).length;
}

const [first = "1", seeds = "5"] = process.argv.slice(2);
main(Number(first), Number(seeds)).then((code) => {
  process.exitCode = code;
});
