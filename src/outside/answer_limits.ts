/**
 * Limits on the answers of other programs: on what is held of one, and of all
 * that are being read. An answer beyond a limit is cut, and its connection
 * closed.
 *
 * @module
 */

import type { Readable } from "node:stream";
import { errors } from "undici";
import { logger } from "../kernel/mod.ts";

const log = logger("outside");

/**
 * Memory for all answers that are being read, below that of the smallest VM. A
 * body counts twice, as it is copied once it is complete.
 */
const MAX_HELD_BYTES = 64 * 1024 * 1024;

/** Pieces that are kept apart: a small one takes more memory than its bytes. */
const MAX_PIECES = 1024;

/** Limits on the unread rest of an answer, to keep its connection. */
const MAX_DISCARDED_BYTES = 128 * 1024;
const DISCARD_TIMEOUT_MS = 200;

/** What an answer had too much of. */
export enum Excess {
  /** Bytes of one body. */
  Body = "body",
  /** Bytes without a complete event. */
  Event = "event",
  /** Bytes of all answers together, of which this one had most. */
  Memory = "memory",
  /** Bytes of its head or its trailers. */
  Head = "head",
  /** Interim responses before its head. */
  Interim = "interim",
}

/** An answer that exceeded a limit. */
export class ExcessiveAnswerError extends Error {
  readonly excess: Excess;
  /** Bytes read of what there was too much of; characters of an event. */
  readonly size: number;

  constructor({ excess, size }: { excess: Excess; size: number }) {
    super(`Answer exceeds the limit of "${excess}" with size ${size}`);
    this.excess = excess;
    this.size = size;
  }
}

/** Told of each answer that was cut. */
export type CutListener = (error: ExcessiveAnswerError) => void;

/** The limits for all answers that a daemon reads. */
export class AnswerLimits {
  readonly #maxHeldBytes: number;
  readonly #heldBytes = new Map<Readable, number>();
  readonly #listeners = new Set<CutListener>();
  #totalBytes = 0;

  constructor({ maxHeldBytes = MAX_HELD_BYTES } = {}) {
    this.#maxHeldBytes = maxHeldBytes;
  }

  /**
   * Reads a body to its end. Throws an `ExcessiveAnswerError` if it has more
   * than `maxBytes`, or most of too much that is held in all.
   */
  async read(body: Readable, maxBytes: number): Promise<Buffer> {
    const pieces = new Pieces();
    try {
      for await (const piece of body) {
        pieces.add(piece);
        const { bytes } = pieces;
        if (bytes > maxBytes) {
          throw new ExcessiveAnswerError({ excess: Excess.Body, size: bytes });
        }
        this.hold(body, 2 * bytes);
      }
      return pieces.join();
    } finally {
      this.release(body);
    }
  }

  /** Sets what is held of a body; destroys the largest if all exceed the limit. */
  hold(body: Readable, bytes: number): void {
    this.#totalBytes += bytes - (this.#heldBytes.get(body) ?? 0);
    this.#heldBytes.set(body, bytes);
    while (this.#totalBytes > this.#maxHeldBytes) this.#cutLargest();
  }

  /** Nothing is held of a body any more. */
  release(body: Readable): void {
    this.#totalBytes -= this.#heldBytes.get(body) ?? 0;
    this.#heldBytes.delete(body);
  }

  /** Calls `listener` for each answer that is cut. */
  onCut(listener: CutListener): void {
    this.#listeners.add(listener);
  }

  /** Reports the error of a reader if it shows that the answer was cut. */
  report(error: unknown, from: string): void {
    const excessive = excessOf(error);
    if (excessive === undefined) return;
    const { excess, size } = excessive;
    log("answer cut", { from, excess, size });
    for (const listener of this.#listeners) listener(excessive);
  }

  #cutLargest(): void {
    const [[body, bytes]] = [...this.#heldBytes]
      .sort(([, a], [, b]) => b - a);
    this.release(body);
    body.destroy(
      new ExcessiveAnswerError({ excess: Excess.Memory, size: bytes }),
    );
  }
}

/** The error as that of an answer beyond a limit, if it is one. */
export function excessOf(error: unknown): ExcessiveAnswerError | undefined {
  if (error instanceof ExcessiveAnswerError) return error;
  if (!(error instanceof errors.HeadersOverflowError)) return undefined;
  return new ExcessiveAnswerError({ excess: Excess.Head, size: 0 });
}

/** A body of which the rest is not read. */
interface UnreadBody {
  dump(options: { limit: number; signal: AbortSignal }): Promise<unknown>;
}

/** Reads a short rest of a body in the background; closes at a longer one. */
export function discard(body: UnreadBody): void {
  const signal = AbortSignal.timeout(DISCARD_TIMEOUT_MS);
  // A rest that breaks off or is too long closes its connection; that is all.
  body.dump({ limit: MAX_DISCARDED_BYTES, signal }).catch(() => undefined);
}

/**
 * The start of a body as text: its first bytes, or what arrived of them in a
 * short time. Closes the connection of a longer body.
 */
export async function readStart(
  body: Readable,
  maxBytes: number,
): Promise<string> {
  const pieces = new Pieces();
  const timer = setTimeout(() => body.destroy(), DISCARD_TIMEOUT_MS);
  try {
    for await (const piece of body) {
      pieces.add(piece);
      if (pieces.bytes >= maxBytes) break;
    }
  } catch {
    // What arrived before the body broke off is enough for a message.
  } finally {
    clearTimeout(timer);
  }
  return pieces.join().subarray(0, maxBytes).toString();
}

/** The pieces of a body. */
class Pieces {
  bytes = 0;
  #joined: Buffer[] = [];
  #recent: Buffer[] = [];

  add(piece: Buffer): void {
    this.bytes += piece.length;
    this.#recent.push(piece);
    if (this.#recent.length < MAX_PIECES) return;
    this.#joined.push(Buffer.concat(this.#recent));
    this.#recent = [];
  }

  join(): Buffer {
    return Buffer.concat([...this.#joined, ...this.#recent]);
  }
}

/** Text in pieces until its end arrives. */
export class IncompleteText {
  #pieces: string[] = [];
  #chars = 0;

  get chars(): number {
    return this.#chars;
  }

  add(text: string): void {
    if (text === "") return;
    this.#chars += text.length;
    this.#pieces.push(text);
    if (this.#pieces.length === MAX_PIECES) this.#pieces = [this.toString()];
  }

  /** Removes and returns the text. */
  take(): string {
    const text = this.toString();
    this.#pieces = [];
    this.#chars = 0;
    return text;
  }

  toString(): string {
    return this.#pieces.join("");
  }
}
