/**
 * Load generator for running daemons, and reports of what it measured.
 *
 * @module
 */

export { runBench } from "./bench.ts";
export {
  type BenchPlan,
  type CallerPlan,
  parsePlan,
  type TrainerPlan,
} from "./bench_plan.ts";
export { plotGoodput } from "./goodput_chart.ts";
export type {
  BenchReport,
  CallerReport,
  TimeDistribution,
  TrainerReport,
} from "./report.ts";
export {
  compareReports,
  type FigureDifference,
  formatDifferences,
  headlineFigures,
} from "./report_comparison.ts";
