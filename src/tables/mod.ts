/**
 * The operators' two tables: their rows, their files, their checks, and the
 * configuration that carries both.
 *
 * @module
 */

export {
  decodeConfiguration,
  decodeStamp,
  encodeConfiguration,
  MAX_CONFIGURATION_BYTES,
  type Stamp,
} from "./configuration.ts";
export { checkTables } from "./check.ts";
export { type Change, Changed, diffTables, printChange } from "./diff.ts";
export { parseTables } from "./parse.ts";
export { canonical, printTables, sameTables } from "./print.ts";
export { hashKey, newSecret } from "./secret.ts";
export { File, printProblem, type Problem } from "./problem.ts";
export {
  type BatchTerms,
  type CallerLimits,
  type Configuration,
  CONFIGURATION_KEY,
  type Exchange,
  type Key,
  Kind,
  type Organisation,
  type Pool,
  type PoolShare,
  Priority,
  priorityOf,
  type Route,
  type Scaling,
  type Share,
  type Tables,
} from "./tables.ts";
