/**
 * Problems found in the tables, with their location.
 *
 * @module
 */

/** The file or stored text in which a problem was found. */
export enum TableFile {
  Routes = "routes.toml",
  Pools = "pools.toml",
  Configuration = "configuration",
}

/** One problem of the tables; all problems are reported together. */
export interface Problem {
  readonly file: TableFile;
  /** The row's name; empty if the problem concerns the whole file. */
  readonly table: string;
  /** The column, as named in the file; empty for the whole row. */
  readonly key: string;
  readonly message: string;
}

const MAX_PART_CHARS = 200;
const CONTROL_CHARACTERS = /\p{Cc}/gu;

/** Formats a problem as one line: file, row, column, message. */
export function printProblem(problem: Problem): string {
  const { file, table, key, message } = problem;
  const location = [
    file,
    ...(table === "" ? [] : [`table "${sanitized(table)}"`]),
    ...(key === "" ? [] : [`key "${sanitized(key)}"`]),
  ];
  return `${location.join(", ")}: ${sanitized(message)}`;
}

/** The text, truncated and without control characters. */
function sanitized(text: string): string {
  return text.slice(0, MAX_PART_CHARS).replace(CONTROL_CHARACTERS, " ");
}
