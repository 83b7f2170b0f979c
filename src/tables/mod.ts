/**
 * The operators' two tables: their rows, their files, their checks, and the
 * configuration that carries both.
 *
 * @module
 */

export {
  decodeConfiguration,
  decodeRevisionMetadata as decodeRevisionMetadata,
  encodeConfiguration,
  MAX_CONFIGURATION_BYTES,
  type RevisionMetadata as RevisionMetadata,
} from "./configuration.ts";
export { checkTables } from "./check.ts";
export {
  ChangeKind as ChangeKind,
  diffTables,
  printChange,
  type TableChange as TableChange,
} from "./diff.ts";
export { parseTables } from "./parse.ts";
export { canonical, printTables, sameTables } from "./print.ts";
export { hashKey, newSecret } from "./secret.ts";
export {
  printProblem,
  type Problem,
  TableFile as TableFile,
} from "./problem.ts";
export {
  type BatchTerms,
  type CallerKey as CallerKey,
  type CallerLimits,
  type Configuration,
  CONFIGURATION_KEY,
  type ExchangeTerms as ExchangeTerms,
  type Organisation,
  type OrganisationShare as OrganisationShare,
  type Pool,
  type PoolShare,
  Priority,
  priorityOf,
  type Route,
  RouteKind as RouteKind,
  type Scaling,
  type Tables,
} from "./tables.ts";
