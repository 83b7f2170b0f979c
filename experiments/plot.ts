/**
 * Draws one headline figure of a result file, one row per policy with a mark
 * per seed: `node dist/experiments/plot.js FILE FIGURE OUT.svg`.
 *
 * @module
 */

import { readFileSync, writeFileSync } from "node:fs";
import { HEADLINE_FIGURES, median } from "./headlines.ts";
import type { Results } from "./run.ts";

const WIDTH = 820;
const LABEL_WIDTH = 320;
const ROW_HEIGHT = 26;
const MARGIN = 40;

function main(): void {
  const [file, figure, out] = process.argv.slice(2);
  const value = HEADLINE_FIGURES[figure];
  if (value === undefined) {
    throw new RangeError(`Unknown figure "${figure}"`);
  }
  const results = JSON.parse(readFileSync(file, "utf8")) as Results;
  const rows = new Map<string, number[]>();
  for (const { policy, load, figures } of results.rows) {
    const name = `${policy} @ ${load}`;
    rows.set(name, [...rows.get(name) ?? [], value(figures)]);
  }
  writeFileSync(out, svg(`${results.scenario}: ${figure}`, rows));
}

function svg(title: string, rows: ReadonlyMap<string, number[]>): string {
  const maxValue = Math.max(1e-9, ...[...rows.values()].flat());
  const x = (value: number) =>
    Math.round(LABEL_WIDTH + value / maxValue * (WIDTH - LABEL_WIDTH - MARGIN));
  const lines = [...rows].map(([name, values], index) => {
    const y = MARGIN + 20 + index * ROW_HEIGHT;
    const marks = values
      .map((value) => `<circle cx="${x(value)}" cy="${y}" r="3"/>`)
      .join("");
    const middle = median(values);
    return `<text x="4" y="${y + 4}">${escapeXml(name)}</text>${marks}` +
      `<text x="${x(middle) + 8}" y="${y - 5}">${middle.toFixed(1)}</text>`;
  });
  const height = MARGIN + 30 + rows.size * ROW_HEIGHT;
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${height}" font-family="sans-serif" font-size="12">` +
    `<text x="4" y="20" font-size="15">${escapeXml(title)}</text>` +
    `${lines.join("\n")}</svg>\n`;
}

function escapeXml(text: string): string {
  return text.replace(/[&<>]/g, (char) => `&#${char.charCodeAt(0)};`);
}

main();
