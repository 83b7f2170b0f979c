/**
 * What is wrong with a table, and where.
 *
 * @module
 */

/** The text in which a problem was found. */
export enum TableFile {
  Routes = "routes.toml",
  Pools = "pools.toml",
  Configuration = "configuration",
}

/** One fault of the tables; all of them are reported together. */
export interface Problem {
  readonly file: TableFile;
  /** The row's name; empty when the file as a whole is at fault. */
  readonly table: string;
  /** The column, as written in the file; empty for the whole row. */
  readonly key: string;
  readonly message: string;
}

const MAX_PART = 200;
const CONTROL = /\p{Cc}/gu;

/** The problem on one line: file, row, column, then what is wrong. */
export function printProblem(problem: Problem): string {
  const { file, table, key, message } = problem;
  const place = [
    file,
    ...(table === "" ? [] : [`table "${shown(table)}"`]),
    ...(key === "" ? [] : [`key "${shown(key)}"`]),
  ];
  return `${place.join(", ")}: ${shown(message)}`;
}

/** A part of the line, bounded and without control characters. */
function shown(text: string): string {
  return text.slice(0, MAX_PART).replace(CONTROL, " ");
}
