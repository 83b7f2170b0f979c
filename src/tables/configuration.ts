/**
 * The stored form of a configuration: JSON of at most a megabyte. The decoder
 * validates everything, since a configuration that it accepts comes into force.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import { checkTables } from "./check.ts";
import { type Problem, TableFile } from "./problem.ts";
import { configurationRow, revisionMetadataRow } from "./schema.ts";
import type { Configuration } from "./tables.ts";
import { canonicalTables } from "./print.ts";

/** Size limit of a stored configuration; the service accepts no more. */
export const MAX_CONFIGURATION_BYTES = 1_000_000;

/** The text to store; refused if it is invalid or too large. */
export function encodeConfiguration(
  configuration: Configuration,
): Result<string, readonly Problem[]> {
  const tables = canonicalTables(configuration.tables);
  const text = JSON.stringify({ ...configuration, tables });
  return decodeConfiguration(text).map(() => text);
}

/** Decodes a stored configuration; anything unexpected is refused. */
export function decodeConfiguration(
  text: string,
): Result<Configuration, readonly Problem[]> {
  const bytes = Buffer.byteLength(text, "utf8");
  if (bytes > MAX_CONFIGURATION_BYTES) {
    const limit = `at most "${MAX_CONFIGURATION_BYTES}" are held`;
    return Err([configurationProblem("", `"${bytes}" bytes, but ${limit}`)]);
  }
  const json = decodeJson(text);
  if (json.err) return Err([json.val]);
  const parsed = configurationRow.safeParse(json.val);
  if (!parsed.success) {
    return Err(
      parsed.error.issues.map((issue) =>
        configurationProblem(issue.path.join("."), issue.message)
      ),
    );
  }
  const problems = checkTables(parsed.data.tables);
  return problems.length > 0 ? Err(problems) : Ok(parsed.data);
}

/** The metadata of a configuration, without its tables. */
export type RevisionMetadata = Omit<Configuration, "tables">;

/**
 * Decodes the metadata of a stored configuration. Succeeds even if its tables
 * fail the current checks, so that they can be replaced.
 */
export function decodeRevisionMetadata(
  text: string,
): Result<RevisionMetadata, readonly Problem[]> {
  const json = decodeJson(text);
  if (json.err) return Err([json.val]);
  const parsed = revisionMetadataRow.safeParse(json.val);
  if (parsed.success) return Ok(parsed.data);
  return Err(
    parsed.error.issues.map((issue) =>
      configurationProblem(issue.path.join("."), issue.message)
    ),
  );
}

function decodeJson(text: string): Result<unknown, Problem> {
  try {
    return Ok(JSON.parse(text) as unknown);
  } catch {
    return Err(configurationProblem("", "is not JSON"));
  }
}

function configurationProblem(key: string, message: string): Problem {
  return { file: TableFile.Configuration, table: "", key, message };
}
