/**
 * Parsing of JSON from untrusted sources.
 *
 * @module
 */

/** The parsed value; `undefined`, which schemas refuse, for invalid JSON. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
