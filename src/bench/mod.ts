/**
 * Load and measurement of running daemons.
 *
 * @module
 */

export { runBench } from "./bench.ts";
export {
  compareReports as compareReports,
  type Difference,
  figures,
  formatDifferences as formatDifferences,
} from "./compare.ts";
export {
  type CallerPlan,
  parsePlan,
  type Plan,
  type TrainerPlan,
} from "./plan.ts";
export { plotGoodput } from "./plot.ts";
export type {
  BenchReport as BenchReport,
  CallerReport,
  Times,
  TrainerReport,
} from "./report.ts";
