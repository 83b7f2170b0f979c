/**
 * The operators' two tables, routes and pools: their rows, files and checks,
 * and the configuration that contains both.
 *
 * @module
 */

export {
  decodeConfiguration,
  decodeRevisionMetadata,
  encodeConfiguration,
  MAX_CONFIGURATION_BYTES,
  type RevisionMetadata,
} from "./configuration.ts";
export {
  type AllowedRegions,
  DeploymentRegions,
  intersectRegions,
} from "./allowed_regions.ts";
export { checkTables } from "./check.ts";
export { MAX_ALLOWED_REGIONS, MAX_REGION_CHARS } from "./schema.ts";
export {
  ChangeKind,
  diffTables,
  printChange,
  type TableChange,
} from "./diff.ts";
export { parseTables } from "./parse.ts";
export { canonicalTables, printTables, sameTables } from "./print.ts";
export { hashKey, newSecret } from "./secret.ts";
export { printProblem, type Problem, TableFile } from "./problem.ts";
export {
  type BatchTerms,
  type CallerKey,
  type CallerLimits,
  type ColdStart,
  type Configuration,
  CONFIGURATION_KEY,
  type ExchangeTerms,
  type Organisation,
  type OrganisationShare,
  type Pool,
  type PoolShare,
  Priority,
  priorityOf,
  type Route,
  RouteKind,
  type Scaling,
  type Tables,
} from "./tables.ts";
