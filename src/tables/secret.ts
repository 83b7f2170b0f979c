/**
 * Callers' keys. Only a key's hash is ever stored.
 *
 * @module
 */

import { createHash, randomBytes } from "node:crypto";

const SECRET_BYTES = 32;
const SECRET_PREFIX = "tw_";

/** The SHA-256 of a key in lower-case hexadecimal, as the tables hold it. */
export function hashKey(secret: string): string {
  return createHash("sha256").update(secret, "utf8").digest("hex");
}

/** A fresh key, from the system's random source. */
export function newSecret(): string {
  return SECRET_PREFIX + randomBytes(SECRET_BYTES).toString("base64url");
}
