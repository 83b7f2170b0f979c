/**
 * The stored form of a configuration: JSON, at most a megabyte. The decoder
 * trusts nothing, since what it lets through comes into force.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import { checkTables } from "./check.ts";
import { type Problem, TableFile } from "./problem.ts";
import { configurationRow, stampRow } from "./schema.ts";
import type { Configuration } from "./tables.ts";
import { canonical } from "./print.ts";

/** Most bytes of a stored configuration; the service holds no more. */
export const MAX_CONFIGURATION_BYTES = 1_000_000;

/** The text to store; refused when it is at fault or too large. */
export function encodeConfiguration(
  configuration: Configuration,
): Result<string, readonly Problem[]> {
  const tables = canonical(configuration.tables);
  const text = JSON.stringify({ ...configuration, tables });
  return decodeConfiguration(text).map(() => text);
}

/** Reads a stored configuration; anything unexpected is refused. */
export function decodeConfiguration(
  text: string,
): Result<Configuration, readonly Problem[]> {
  const bytes = Buffer.byteLength(text, "utf8");
  if (bytes > MAX_CONFIGURATION_BYTES) {
    const most = `at most "${MAX_CONFIGURATION_BYTES}" are held`;
    return Err([problem("", `"${bytes}" bytes, but ${most}`)]);
  }
  const json = parseJson(text);
  if (json.err) return Err([json.val]);
  const parsed = configurationRow.safeParse(json.val);
  if (!parsed.success) {
    return Err(
      parsed.error.issues.map((issue) =>
        problem(issue.path.join("."), issue.message)
      ),
    );
  }
  const problems = checkTables(parsed.data.tables);
  return problems.length > 0 ? Err(problems) : Ok(parsed.data);
}

/** A configuration without its tables. */
export type RevisionMetadata = Omit<Configuration, "tables">;

/**
 * Reads what a stored configuration says of itself. Works also where its
 * tables don't pass today's checks, so that they can be replaced.
 */
export function decodeRevisionMetadata(
  text: string,
): Result<RevisionMetadata, readonly Problem[]> {
  const json = parseJson(text);
  if (json.err) return Err([json.val]);
  const parsed = stampRow.safeParse(json.val);
  if (parsed.success) return Ok(parsed.data);
  return Err(
    parsed.error.issues.map((issue) =>
      problem(issue.path.join("."), issue.message)
    ),
  );
}

function parseJson(text: string): Result<unknown, Problem> {
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    return Err(problem("", "is not JSON"));
  }
}

function problem(key: string, message: string): Problem {
  return { file: TableFile.Configuration, table: "", key, message };
}
