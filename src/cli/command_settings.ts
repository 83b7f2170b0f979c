/**
 * The command's settings, from its options, the environment and a TOML file, in
 * this order of precedence.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";

/** The command's settings; those not given are empty. */
export interface CommandSettings {
  /** URL of the platform's key-value service. */
  readonly platform: string;
  /** URLs of daemons, tried in turn until one answers. */
  readonly entries: readonly string[];
  /** The operators' token for the daemons' admin pages. */
  readonly token: string;
  readonly author: string;
}

/** Settings given as options of the command. */
export interface SettingsOptions {
  readonly platform?: string;
  readonly entry?: string;
  readonly settings?: string;
  readonly author?: string;
}

const url = z.url({ protocol: /^https?$/ });
const file = z.strictObject({
  platform: url.optional(),
  entries: z.array(url).optional(),
  token: z.string().optional(),
  author: z.string().max(200).optional(),
});

/** Reads the settings; an error names its source. */
export function readCommandSettings(
  options: SettingsOptions,
  env: Readonly<Record<string, string | undefined>>,
): Result<CommandSettings, string> {
  const path = options.settings ?? env.TOUCANWIND_SETTINGS;
  const fromFile = path === undefined ? Ok({}) : readSettingsFile(path);
  if (fromFile.err) return fromFile;
  const listed = options.entry ?? env.TOUCANWIND_ENTRY;
  const merged = file.safeParse({
    ...fromFile.val,
    ...definedProperty("platform", options.platform ?? env.TOUCANWIND_PLATFORM),
    ...definedProperty(
      "entries",
      listed?.split(",").map((entry) => entry.trim()),
    ),
    ...definedProperty("token", env.TOUCANWIND_TOKEN),
    ...definedProperty("author", options.author ?? env.TOUCANWIND_AUTHOR),
  });
  if (!merged.success) return Err(printIssues("The settings", merged.error));
  return Ok({
    platform: merged.data.platform ?? "",
    entries: merged.data.entries ?? [],
    token: merged.data.token ?? "",
    author: merged.data.author ?? env.USER ?? "",
  });
}

function definedProperty<T>(
  key: string,
  value: T | undefined,
): Readonly<Record<string, T>> {
  return value === undefined ? {} : { [key]: value };
}

function readSettingsFile(path: string): Result<z.infer<typeof file>, string> {
  const text = readText(path);
  if (text.err) return text;
  const parsed = file.safeParse(parseToml(text.val));
  return parsed.success
    ? Ok(parsed.data)
    : Err(printIssues(`The file "${path}"`, parsed.error));
}

/** Reads a text file; an error names the file. */
export function readText(path: string): Result<string, string> {
  try {
    return Ok(readFileSync(path, "utf8"));
  } catch (error) {
    const code = error instanceof Error && "code" in error ? error.code : "";
    return Err(`The file "${path}" can't be read (${String(code)})`);
  }
}

/** Parses TOML; `null`, which the schema rejects, if the text isn't TOML. */
function parseToml(text: string): unknown {
  try {
    return parse(text);
  } catch {
    return null;
  }
}

function printIssues(source: string, error: z.ZodError): string {
  const issues = error.issues.map((issue) =>
    `${issue.path.join(".")} ${issue.message}`.trim()
  );
  return `${source} can't be used: ${issues.join("; ")}`;
}
