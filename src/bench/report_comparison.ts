/**
 * Compares the headline figures of two bench reports.
 *
 * @module
 */

import type {
  BenchReport,
  OrganisationReport,
  TrainerReport,
} from "./report.ts";

/** One headline figure in two runs. */
export interface FigureDifference {
  readonly figure: string;
  readonly a: number;
  readonly b: number;
}

/** Returns the headline figures of a run by name. */
export function headlineFigures(
  report: BenchReport,
): ReadonlyMap<string, number> {
  const callers = report.callers.flatMap((caller) => {
    const figure = (name: string, value: number) =>
      [`${caller.name} ${name}`, value] as const;
    return [
      figure("sent", caller.sent),
      figure("answered", caller.answered),
      figure("first token p50 ms", caller.firstToken.p50),
      figure("first token p99 ms", caller.firstToken.p99),
      figure("whole answer p50 ms", caller.wholeAnswer.p50),
      figure("whole answer p99 ms", caller.wholeAnswer.p99),
      figure("refusal p99 ms", caller.refusal.p99),
      ...caller.refusals.map(({ reason, verdict, count }) =>
        figure(`refused ${reason} (${verdict})`, count)
      ),
    ];
  });
  const organisations = report.tenants.map((organisation) =>
    [`tenant ${organisation.tenant} tokens`, totalTokens(organisation)] as const
  );
  const trainers = report.trainers.flatMap((trainer) => [
    [`trainer ${trainer.name} steps`, completeSteps(trainer).length] as const,
    [`trainer ${trainer.name} idle ms per step`, meanIdleMs(trainer)] as const,
  ]);
  return new Map([...callers, ...organisations, ...trainers]);
}

/** Compares all figures of either run; a missing figure counts as 0. */
export function compareReports(
  a: BenchReport,
  b: BenchReport,
): readonly FigureDifference[] {
  const [left, right] = [headlineFigures(a), headlineFigures(b)];
  const names = [...new Set([...left.keys(), ...right.keys()])];
  return names.map((figure) => ({
    figure,
    a: left.get(figure) ?? 0,
    b: right.get(figure) ?? 0,
  }));
}

/** Formats the comparison as a text table. */
export function formatDifferences(rows: readonly FigureDifference[]): string {
  const width = Math.max(6, ...rows.map(({ figure }) => figure.length));
  const line = (cells: readonly string[]) =>
    cells.map((cell, at) => at === 0 ? cell.padEnd(width) : cell.padStart(12))
      .join(" ");
  const body = rows.map(({ figure, a, b }) =>
    line([figure, String(a), String(b), change(a, b)])
  );
  return [line(["figure", "A", "B", "change"]), ...body, ""].join("\n");
}

function change(a: number, b: number): string {
  if (a === b) return "0.0 %";
  if (a === 0) return "new";
  const percent = (100 * (b - a) / a).toFixed(1);
  return `${b > a ? "+" : ""}${percent} %`;
}

function totalTokens(organisation: OrganisationReport): number {
  return organisation.windows.reduce((sum, { tokens }) => sum + tokens, 0);
}

function completeSteps(trainer: TrainerReport) {
  return trainer.steps.filter(({ whole }) => whole);
}

function meanIdleMs(trainer: TrainerReport): number {
  const steps = completeSteps(trainer);
  const total = steps.reduce((sum, { idleMs }) => sum + idleMs, 0);
  return steps.length === 0 ? 0 : Math.round(total / steps.length);
}
