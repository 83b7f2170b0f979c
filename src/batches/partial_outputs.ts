/**
 * Texts that were begun and not finished, by item. An item that comes again,
 * in a later batch or at another owner, goes on where its draft ends.
 *
 * @module
 */

import { z } from "zod";
import { Generation } from "./item_output.ts";

/** Bytes of texts that are kept. */
const MAX_BYTES = 16 * 1024 * 1024;

/** Drafts as they are stored. */
export const draftsSchema = z.record(
  z.string(),
  z.object({
    lines: z.array(z.string()),
    last: z.number(),
    versions: z.array(z.number()),
  }),
);

/** The name of an item's draft, the same over all batches. */
export function draftName(
  batch: { organisation: string; route: string },
  item: string,
): string {
  return `${batch.organisation}/${batch.route}/${item}`;
}

/** The drafts that a daemon knows. */
export class Drafts {
  readonly #kept = new Map<string, Generation>();
  readonly #maxBytes: number;
  #bytes = 0;

  constructor(options: { maxBytes?: number } = {}) {
    this.#maxBytes = options.maxBytes ?? MAX_BYTES;
  }

  /** Keeps an item's text, unless a longer one is known. */
  keep(item: string, draft: Generation): void {
    const known = this.#kept.get(item);
    if (draft.lines.length <= (known?.lines.length ?? 0)) return;
    this.drop(item);
    this.#kept.set(item, draft);
    this.#bytes += sizeOf(draft);
    for (const [oldest] of this.#kept) {
      if (this.#bytes <= this.#maxBytes) return;
      this.drop(oldest);
    }
  }

  /** An item's text, if every version that made it will do. */
  fitting(item: string, terms: {
    minVersion: number;
    singleVersion: boolean;
  }): Generation {
    const draft = this.#kept.get(item);
    return draft?.fits(terms) ? draft : new Generation();
  }

  drop(item: string): void {
    const draft = this.#kept.get(item);
    if (draft === undefined) return;
    this.#kept.delete(item);
    this.#bytes -= sizeOf(draft);
  }
}

function sizeOf({ text }: Generation): number {
  return text.length;
}
