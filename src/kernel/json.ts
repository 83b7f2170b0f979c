/**
 * JSON of others, which may be anything.
 *
 * @module
 */

/** The value, or `undefined` where the text is no JSON; schemas refuse that. */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
