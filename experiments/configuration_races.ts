/**
 * Longer sweeps of operators racing each other's edits:
 * `node dist/experiments/configuration_races.js [first seed] [seeds]`.
 * Exits with 1 when the chain contradicts what an operator was told.
 *
 * @module
 */

import {
  chainIn,
  checkChain,
  type Message,
  returnedKeys,
} from "../src/cli/chain.ts";
import { Ending } from "../src/cli/mod.ts";
import { race } from "../src/cli/races.ts";

async function main(first: number, seeds: number): Promise<number> {
  let contradicted = 0;
  for (let seed = first; seed < first + seeds; seed++) {
    const { entries, messages, silent } = await race({
      seed,
      operators: 4,
      edits: 8,
      lost: 0.35,
      cut: 0.2,
      killed: 0.2,
    });
    const faults = [...checkChain(entries, messages), ...returnedKeys(entries)];
    contradicted += faults.length;
    const told = Object.values(Ending)
      .map((ending) => `${ending} ${count(messages, ending)}`);
    const revisions = chainIn(entries).length;
    console.log(
      `seed ${seed}: ${revisions} revisions; told: ${told.join(", ")}; ` +
        `killed ${silent}; contradictions ${faults.length}`,
    );
    for (const fault of faults) console.log(`  ${fault}`);
  }
  return contradicted === 0 ? 0 : 1;
}

function count(messages: readonly Message[], ending: Ending): number {
  return messages.filter((message) => message.ending === ending).length;
}

const [first = "1", seeds = "5"] = process.argv.slice(2);
main(Number(first), Number(seeds)).then((code) => {
  process.exitCode = code;
});
