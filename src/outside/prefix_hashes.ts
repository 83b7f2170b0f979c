/**
 * Names of a prompt's leading blocks, as engines name them in cache events.
 *
 * @module
 */

import { createHash } from "node:crypto";

/** Characters of one block of a prompt. */
export const BLOCK_CHARS = 256;

/**
 * Hashes of the prompt's whole leading blocks, the shortest prefix first.
 * Each covers all the blocks before it too. At most `limit` blocks.
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
