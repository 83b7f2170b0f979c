/**
 * Hashes of a prompt's leading blocks, as engines use them in cache events.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Size of a block of a prompt in characters. */
export const BLOCK_CHARS = 256;

/**
 * Hashes of the prompt's leading blocks, at most `limit`, the shortest prefix
 * first. Each hash covers all earlier blocks too; a partial block has none.
 */
export function prefixHashes(prompt: string, limit = 64): readonly string[] {
  const hashes: string[] = [];
  let before = "";
  const count = Math.min(limit, Math.floor(prompt.length / BLOCK_CHARS));
  for (let n = 0; n < count; n++) {
    const block = prompt.slice(n * BLOCK_CHARS, (n + 1) * BLOCK_CHARS);
    before = createHash("sha256").update(before).update(block)
      .digest("base64url").slice(0, 16);
    hashes.push(before);
  }
  return hashes;
}
