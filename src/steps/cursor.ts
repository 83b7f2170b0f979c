/**
 * A trainer's cursor: which samples it holds. The cursor carries the whole
 * answer itself, so that a daemon that never saw the step before knows what
 * is still wanted, and no write to any store decides what was delivered. A
 * trainer that takes the samples of a pull takes the cursor with them, or
 * neither; a repeated pull with the old cursor then hands out only samples
 * that the trainer does not hold.
 *
 * @module
 */

import { createHmac, timingSafeEqual } from "node:crypto";
import { decode, encode } from "cbor-x";
import { Err, Ok, type Result } from "ts-results";

/** What was handed out with a cursor, and is billed when it comes back. */
export interface Handover {
  /** Unique to the hand-over. */
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
  /** Absent before the first hand-over. */
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

  /** How many of the numbers below `limit` are in the set. */
  count(limit: number): number {
    let count = 0;
    for (let n = 0; n < limit; n++) if (this.has(n)) count++;
    return count;
  }
}

/** Signs and checks cursors with a secret that all daemons share. */
export class CursorCodec {
  readonly #secret: Buffer;

  constructor(options: { secret: string }) {
    this.#secret = createHmac("sha256", options.secret)
      .update("step cursor")
      .digest();
  }

  /** The cursor as text for the trainer. */
  encode(cursor: Cursor): string {
    const body = encode([
      1,
      cursor.name,
      cursor.held.bytes,
      cursor.handover ?? null,
    ]);
    return Buffer.concat([this.#mac(body), body]).toString("base64url");
  }

  /** Reads a cursor; the error is one sentence for the trainer. */
  decode(text: string): Result<Cursor, string> {
    const raw = Buffer.from(text, "base64url");
    const mac = raw.subarray(0, MAC_BYTES);
    const body = raw.subarray(MAC_BYTES);
    const good = mac.length === MAC_BYTES &&
      timingSafeEqual(mac, this.#mac(body));
    if (!good) return Err("The cursor is not one that was handed out");
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
