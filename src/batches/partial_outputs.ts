/**
 * Texts that were begun and not finished, by item. An item that comes again,
 * in a later batch or at another owner, goes on where its draft ends.
 *
 * @module
 */

import { z } from "zod";
import { ItemOutput } from "./item_output.ts";

/** Bytes of texts that are kept. */
const MAX_OUTPUT_BYTES = 16 * 1024 * 1024;

/** Drafts as they are stored. */
export const partialOutputsSchema = z.record(
  z.string(),
  z.object({
    lines: z.array(z.string()),
    last: z.number(),
    versions: z.array(z.number()),
  }),
);

/** The name of an item's draft, the same over all batches. */
export function partialOutputKey(
  batch: { organisation: string; route: string },
  item: string,
): string {
  return `${batch.organisation}/${batch.route}/${item}`;
}

/** The drafts that a daemon knows. */
export class PartialOutputs {
  readonly #kept = new Map<string, ItemOutput>();
  readonly #maxBytes: number;
  #bytes = 0;

  constructor(options: { maxBytes?: number } = {}) {
    this.#maxBytes = options.maxBytes ?? MAX_OUTPUT_BYTES;
  }

  /** Keeps an item's text, unless a longer one is known. */
  put(key: string, output: ItemOutput): void {
    const known = this.#kept.get(key);
    if (output.lines.length <= (known?.lines.length ?? 0)) return;
    this.delete(key);
    this.#kept.set(key, output);
    this.#bytes += sizeOf(output);
    for (const [oldest] of this.#kept) {
      if (this.#bytes <= this.#maxBytes) return;
      this.delete(oldest);
    }
  }

  /** An item's text, if every version that made it will do. */
  outputToResume(key: string, terms: {
    minVersion: number;
    singleVersion: boolean;
  }): ItemOutput {
    const output = this.#kept.get(key);
    return output?.satisfies(terms) ? output : new ItemOutput();
  }

  delete(key: string): void {
    const output = this.#kept.get(key);
    if (output === undefined) return;
    this.#kept.delete(key);
    this.#bytes -= sizeOf(output);
  }
}

function sizeOf({ text }: ItemOutput): number {
  return text.length;
}
