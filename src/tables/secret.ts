/**
 * Callers' keys, of which only the hashes are stored.
 *
 * @module
 */

import { createHash, randomBytes } from "node:crypto";

const SECRET_BYTES = 32;
const SECRET_PREFIX = "tw_";

/** The SHA-256 of a key in lower-case hexadecimal, as in the tables. */
export function hashKey(secret: string): string {
  return createHash("sha256").update(secret, "utf8").digest("hex");
}

/** Generates a key from the system's secure random source. */
export function newSecret(): string {
  return SECRET_PREFIX + randomBytes(SECRET_BYTES).toString("base64url");
}
