/**
 * The cursor of a trainer: the set of samples that it holds. The cursor is
 * self-contained, so that a daemon that has never seen the step knows which
 * samples are missing, and delivery does not depend on a write to a store. A
 * trainer stores the samples of a pull and their cursor together or not at
 * all. A pull that is repeated with the old cursor therefore returns only
 * samples that the trainer does not hold.
 *
 * @module
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { decode, encode } from "cbor-x";
import { Err, Ok, type Result } from "ts-results";

/** Samples returned with a cursor; billed once the cursor comes back. */
export interface Handover {
  /** Unique to the handover. */
  readonly id: string;
  readonly samples: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Which samples of a step a trainer holds. */
export interface Cursor {
  /** The step's name. */
  readonly name: string;
  readonly held: Bitmap;
  /** Absent before the first handover. */
  readonly handover?: Handover;
}

const MAC_BYTES = 16;

/** An immutable set of sample numbers. */
export class Bitmap {
  readonly bytes: Uint8Array;

  constructor(options: { bytes?: Uint8Array } = {}) {
    this.bytes = options.bytes ?? new Uint8Array();
  }

  /** Whether `n` is in the set. */
  has(n: number): boolean {
    return ((this.bytes[n >> 3] ?? 0) & (1 << (n & 7))) !== 0;
  }

  /** The set with `numbers` added. */
  with(numbers: readonly number[]): Bitmap {
    const top = numbers.reduce((max, n) => Math.max(max, n), -1);
    const size = Math.max(this.bytes.length, (top >> 3) + 1);
    const bytes = new Uint8Array(size);
    bytes.set(this.bytes);
    for (const n of numbers) bytes[n >> 3] |= 1 << (n & 7);
    return new Bitmap({ bytes });
  }

  /** Number of elements below `limit`. */
  count(limit: number): number {
    let count = 0;
    for (let n = 0; n < limit; n++) if (this.has(n)) count++;
    return count;
  }
}

/** Signs and verifies cursors with a secret that all daemons share. */
export class CursorCodec {
  readonly #secret: Buffer;

  constructor(options: { secret: string }) {
    this.#secret = createHmac("sha256", options.secret)
      .update("step cursor")
      .digest();
  }

  /** Encodes and signs a cursor. */
  encode(cursor: Cursor): string {
    const body = encode([
      1,
      cursor.name,
      cursor.held.bytes,
      cursor.handover ?? null,
    ]);
    return Buffer.concat([this.#mac(body), body]).toString("base64url");
  }

  /** Verifies and decodes a cursor; the error is a message for the trainer. */
  decode(text: string): Result<Cursor, string> {
    const raw = Buffer.from(text, "base64url");
    const mac = raw.subarray(0, MAC_BYTES);
    const body = raw.subarray(MAC_BYTES);
    const valid = mac.length === MAC_BYTES &&
      timingSafeEqual(mac, this.#mac(body));
    if (!valid) return Err("The cursor is not one that was handed out");
    const [version, name, bytes, handover] = decode(body) as [
      number,
      string,
      Uint8Array,
      Handover | null,
    ];
    if (version !== 1) return Err(`Unknown cursor version "${version}"`);
    const held = new Bitmap({ bytes: Uint8Array.from(bytes) });
    return Ok(handover === null ? { name, held } : { name, held, handover });
  }

  #mac(body: Uint8Array): Buffer {
    return createHmac("sha256", this.#secret)
      .update(body)
      .digest()
      .subarray(0, MAC_BYTES);
  }
}
