/**
 * Parsing of JSON from untrusted sources.
 *
 * @module
 */

/**
 * Longest entry of another program in characters. Parsing a long one that is
 * deeply nested at each read of a list would delay all others.
 */
export const MAX_ENTRY_CHARS = 65_536;

/**
 * The parsed value; `undefined`, which schemas refuse, for invalid JSON and for
 * a text of more than `maxChars`.
 */
export function parseJson(
  text: string,
  { maxChars = Infinity } = {},
): unknown {
  if (text.length > maxChars) return undefined;
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
