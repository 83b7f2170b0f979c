/**
 * Where the command finds the platform and the daemons: its options first,
 * then the environment, then a TOML file.
 *
 * @module
 */

import { readFileSync } from "node:fs";
import { parse } from "smol-toml";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";

/** The command's settings; empty where none were given. */
export interface CommandSettings {
  /** URL of the platform's key-value service. */
  readonly platform: string;
  /** URLs of daemons, asked in turn until one answers. */
  readonly entries: readonly string[];
  /** The operators' token for the daemons' admin pages. */
  readonly token: string;
  readonly author: string;
}

/** The settings that options of the command may bring. */
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

/** Reads the settings; a fault names its source. */
export function readCommandSettings(
  options: SettingsOptions,
  env: Readonly<Record<string, string | undefined>>,
): Result<CommandSettings, string> {
  const path = options.settings ?? env.TOUCANWIND_SETTINGS;
  const kept = path === undefined ? Ok({}) : readSettingsFile(path);
  if (kept.err) return kept;
  const listed = options.entry ?? env.TOUCANWIND_ENTRY;
  const merged = file.safeParse({
    ...kept.val,
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

/** Reads a text file; a fault names it. */
export function readText(path: string): Result<string, string> {
  try {
    return Ok(readFileSync(path, "utf8"));
  } catch (error) {
    const code = error instanceof Error && "code" in error ? error.code : "";
    return Err(`The file "${path}" can't be read (${String(code)})`);
  }
}

/** `null` where the text is not TOML; no settings are `null`. */
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
