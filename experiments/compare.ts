/**
 * Compares two result files of one scenario:
 * `node dist/experiments/compare.js A B`.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { HEADLINE_FIGURES, median } from "./headlines.ts";
import type { Results } from "./run.ts";

function main(): void {
  const [before, after] = process.argv.slice(2).map(readResults);
  const groups = new Set(
    [...before.rows, ...after.rows].map(({ policy, load }) =>
      JSON.stringify([policy, load])
    ),
  );
  for (const group of groups) {
    console.log(group);
    for (const [name, value] of Object.entries(HEADLINE_FIGURES)) {
      const texts = [before, after].map((results) => {
        const values = results.rows
          .filter(({ policy, load }) =>
            JSON.stringify([policy, load]) === group
          )
          .map(({ figures }) => value(figures));
        return values.length === 0 ? "-" : range(values);
      });
      if (texts[0] !== texts[1]) {
        console.log(`  ${name}: ${texts.join(" -> ")}`);
      }
    }
  }
}

/** Formats the median, minimum and maximum over the seeds. */
function range(values: readonly number[]): string {
  const round = (value: number) => Math.round(value * 10) / 10;
  const least = round(Math.min(...values));
  const most = round(Math.max(...values));
  return `${round(median(values))} (${least} to ${most})`;
}

function readResults(file: string): Results {
  return JSON.parse(readFileSync(file, "utf8")) as Results;
}

main();
