/**
 * Frames on a link: four bytes of length, big-endian, then as many bytes. A
 * frame longer than the bound ends the link before any of it is kept.
 *
 * @module
 */

import { Encoder } from "cbor-x";

/** Bytes of a frame's length. */
export const HEADER_BYTES = 4;

/** Most bytes of one frame; a configuration has at most a megabyte. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Most bytes of a frame from a peer that has not proved itself yet. */
export const MAX_HELLO_BYTES = 4096;

/** The codec of frames; what it makes is plain CBOR without extensions. */
export const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
});

/** A frame that breaks the rules of the protocol. */
export class FrameError extends Error {}

/** Cuts a stream of bytes into frames; holds at most one frame's bytes. */
export class FrameReader {
  /** Bound on the next frame; raised once the peer has proved itself. */
  maxBytes: number;
  #chunks: Buffer[] = [];
  #held = 0;

  constructor(options: { maxBytes?: number } = {}) {
    this.maxBytes = options.maxBytes ?? MAX_HELLO_BYTES;
  }

  /** Takes in bytes as they came. */
  push(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#held += chunk.length;
  }

  /** The next whole frame's content, or `undefined` until more bytes come. */
  next(): Buffer | undefined {
    if (this.#held < HEADER_BYTES) return undefined;
    const length = this.#coalesce(HEADER_BYTES).readUInt32BE(0);
    if (length > this.maxBytes) {
      throw new FrameError(`Frame of "${length}" bytes is too long`);
    }
    const whole = HEADER_BYTES + length;
    if (this.#held < whole) return undefined;
    const first = this.#coalesce(whole);
    this.#chunks[0] = first.subarray(whole);
    if (first.length === whole) this.#chunks.shift();
    this.#held -= whole;
    return first.subarray(HEADER_BYTES, whole);
  }

  // Makes the first chunk hold at least `bytes`.
  #coalesce(bytes: number): Buffer {
    if (this.#chunks[0].length < bytes) {
      this.#chunks = [Buffer.concat(this.#chunks)];
    }
    return this.#chunks[0];
  }
}

/** One frame from the parts of its content. */
export function encodeFrame(...parts: readonly Uint8Array[]): Buffer {
  const length = parts.reduce((sum, part) => sum + part.length, 0);
  const bytes = Buffer.allocUnsafe(HEADER_BYTES + length);
  bytes.writeUInt32BE(length, 0);
  let at = HEADER_BYTES;
  for (const part of parts) {
    bytes.set(part, at);
    at += part.length;
  }
  return bytes;
}
