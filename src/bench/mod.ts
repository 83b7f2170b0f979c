/**
 * Load and measurement of running daemons.
 *
 * @module
 */

export { runBench } from "./bench.ts";
export {
  type Difference,
  differences,
  figures,
  printDifferences,
} from "./compare.ts";
export {
  type CallerPlan,
  parsePlan,
  type Plan,
  type TrainerPlan,
} from "./plan.ts";
export { plotGoodput } from "./plot.ts";
export type { CallerReport, Report, Times, TrainerReport } from "./report.ts";
