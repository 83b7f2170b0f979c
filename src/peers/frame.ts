/**
 * Framing of messages on a link: a four-byte big-endian length, then as many
 * bytes of content. A frame over the limit ends the link by its length alone,
 * before its content is buffered.
 *
 * @module
 */

import { Encoder } from "cbor-x";

/** Size of the length prefix. */
export const HEADER_BYTES = 4;

/** Maximum size of a frame; a configuration takes at most 1 MB of it. */
export const MAX_FRAME_BYTES = 4 * 1024 * 1024;

/** Maximum size of a frame from a peer that is not authenticated yet. */
export const MAX_HELLO_BYTES = 4096;

/** Codec of frame contents: plain CBOR without extensions. */
export const codec = new Encoder({
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
});

/** Thrown when a peer violates the protocol or a frame exceeds its limit. */
export class FrameError extends Error {}

/** Splits a byte stream into frames; buffers at most one of them. */
export class FrameReader {
  /** Limit for the next frame; raised once the peer is authenticated. */
  maxBytes: number;
  #chunks: Buffer[] = [];
  #bufferedBytes = 0;

  constructor(options: { maxBytes?: number } = {}) {
    this.maxBytes = options.maxBytes ?? MAX_HELLO_BYTES;
  }

  /** Appends received bytes, split in any way. */
  push(chunk: Buffer): void {
    this.#chunks.push(chunk);
    this.#bufferedBytes += chunk.length;
  }

  /** The next complete frame's content, or `undefined` if there is none yet. */
  next(): Buffer | undefined {
    if (this.#bufferedBytes < HEADER_BYTES) return undefined;
    const length = this.#coalesce(HEADER_BYTES).readUInt32BE(0);
    if (length > this.maxBytes) {
      throw new FrameError(`Frame of "${length}" bytes exceeds the limit`);
    }
    const frameBytes = HEADER_BYTES + length;
    if (this.#bufferedBytes < frameBytes) return undefined;
    const first = this.#coalesce(frameBytes);
    this.#chunks[0] = first.subarray(frameBytes);
    if (first.length === frameBytes) this.#chunks.shift();
    this.#bufferedBytes -= frameBytes;
    return first.subarray(HEADER_BYTES, frameBytes);
  }

  // Joins the chunks if the first one has less than `bytes`.
  #coalesce(bytes: number): Buffer {
    if (this.#chunks[0].length < bytes) {
      this.#chunks = [Buffer.concat(this.#chunks)];
    }
    return this.#chunks[0];
  }
}

/** Encodes a frame; its content is the concatenation of `parts`. */
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
