/**
 * A book: what one run of one daemon recorded in one usage window. Entries
 * are numbered from 1 and never change, so two copies of a book differ only
 * in how far they go, and the longer one holds the shorter.
 *
 * @module
 */

import type { Use } from "./mod.ts";

/** A use with its place in the book. */
export interface BookEntry {
  readonly seq: number;
  readonly use: Use;
  /** Start of the window in which it happened, where that was closed. */
  readonly lateFrom: number;
}

/** Which book: a run of a daemon and the start of a window. */
export interface BookId {
  readonly incarnation: string;
  /** Wall time in milliseconds. */
  readonly window: number;
}

/** The entries of one daemon's run in one window. */
export class Book {
  readonly id: BookId;
  readonly #entries: BookEntry[] = [];

  constructor(options: BookId) {
    this.id = { incarnation: options.incarnation, window: options.window };
  }

  /** Number of the last entry; 0 for an empty book. */
  get seq(): number {
    return this.#entries.length;
  }

  /** Writes a use down and returns its number. */
  add(use: Use, lateFrom: number): number {
    const seq = this.seq + 1;
    this.#entries.push({ seq, use, lateFrom });
    return seq;
  }

  /**
   * Takes in entries of another copy. Entries that would leave a gap are
   * refused: the answer is the last number that this copy holds.
   */
  merge(entries: readonly BookEntry[]): number {
    for (const entry of entries) {
      if (entry.seq === this.seq + 1) this.#entries.push(entry);
    }
    return this.seq;
  }

  /** The entries after number `seq`. */
  after(seq: number): readonly BookEntry[] {
    return this.#entries.slice(seq);
  }
}

/** Books by run and window. */
export class Shelf {
  readonly #books = new Map<string, Book>();

  /** The book, made empty if it isn't there. */
  open(id: BookId): Book {
    const key = shelfKey(id);
    const found = this.#books.get(key);
    if (found !== undefined) return found;
    const book = new Book(id);
    this.#books.set(key, book);
    return book;
  }

  /** The book, if it is there. */
  find(id: BookId): Book | undefined {
    return this.#books.get(shelfKey(id));
  }

  /** Takes a book away. */
  remove(id: BookId): void {
    this.#books.delete(shelfKey(id));
  }

  /** All books, the oldest window first. */
  get books(): readonly Book[] {
    return [...this.#books.values()]
      .sort((a, b) => a.id.window - b.id.window);
  }
}

function shelfKey(id: BookId): string {
  return `${id.incarnation}/${id.window}`;
}
