/**
 * Draws the goodput of each organisation by window as an SVG chart.
 *
 * @module
 */

import type { BenchReport } from "./report.ts";

const WIDTH = 640;
const HEIGHT = 320;
const MARGIN = 56;
const COLOURS = ["#1b6ca8", "#c0392b", "#2e8b57", "#8e44ad", "#d68910"];

/** Draws goodput in tokens per second, one line per organisation. */
export function plotGoodput(report: BenchReport): string {
  const series = report.tenants.map(({ tenant, windows }) => ({
    tenant,
    values: windows.map(({ tokens }) => tokens * 1000 / report.windowMs),
  }));
  const highest = Math.max(1, ...series.flatMap(({ values }) => values));
  const lines = series.map(({ tenant, values }, at) => {
    const colour = COLOURS[at % COLOURS.length];
    const points = values.map((value, n) =>
      `${x(n, values.length)},${y(value / highest)}`
    );
    const label = text(WIDTH - MARGIN + 4, MARGIN + 16 * at, tenant);
    return `<polyline fill="none" stroke="${colour}" stroke-width="2" ` +
      `points="${points.join(" ")}"/><g fill="${colour}">${label}</g>`;
  });
  const axisLabels = [0, 0.5, 1].map((part) =>
    text(4, y(part), (part * highest).toFixed(0))
  );
  const seconds = text(WIDTH / 2, HEIGHT - 12, `0 to ${report.seconds} s`);
  const title = text(MARGIN, 20, "Tokens of complete answers per second");
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${HEIGHT}" font-family="sans-serif" font-size="12">`,
    `<path fill="none" stroke="#888" d="M${MARGIN},${MARGIN / 2}V${y(0)}` +
    `H${WIDTH - MARGIN}"/>`,
    title,
    seconds,
    ...axisLabels,
    ...lines,
    "</svg>",
    "",
  ].join("\n");
}

function x(n: number, count: number): string {
  const span = WIDTH - 2 * MARGIN;
  return (MARGIN + span * n / Math.max(1, count - 1)).toFixed(1);
}

function y(part: number): string {
  const span = HEIGHT - 1.5 * MARGIN;
  return (HEIGHT - MARGIN - span * part).toFixed(1);
}

function text(left: number, top: number | string, content: string): string {
  return `<text x="${left}" y="${top}">${escapeXml(content)}</text>`;
}

function escapeXml(value: string): string {
  return value.replaceAll("&", "&amp;").replaceAll("<", "&lt;");
}
