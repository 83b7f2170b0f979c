/**
 * Outputs that are not complete yet, by item. An item that is submitted again
 * in a later batch, or run by another owner, resumes after its partial output.
 *
 * @module
 */

import { z } from "zod";
import { ItemOutput } from "./item_output.ts";

/** Limit on the text of all partial outputs. */
const MAX_OUTPUT_BYTES = 16 * 1024 * 1024;

/** Partial outputs by item, as stored. */
export const partialOutputsSchema = z.record(
  z.string(),
  z.object({
    lines: z.array(z.string()),
    last: z.number(),
    versions: z.array(z.number()),
  }),
);

/** The key of an item's partial output; the same in all batches. */
export function partialOutputKey(
  batch: { organisation: string; route: string },
  item: string,
): string {
  return `${batch.organisation}/${batch.route}/${item}`;
}

/** The partial outputs that a daemon holds, bounded by size. */
export class PartialOutputs {
  readonly #outputs = new Map<string, ItemOutput>();
  readonly #maxBytes: number;
  #bytes = 0;

  constructor(options: { maxBytes?: number } = {}) {
    this.#maxBytes = options.maxBytes ?? MAX_OUTPUT_BYTES;
  }

  /** Stores an output unless a longer one is stored; evicts the oldest. */
  put(key: string, output: ItemOutput): void {
    const known = this.#outputs.get(key);
    if (output.lines.length <= (known?.lines.length ?? 0)) return;
    this.delete(key);
    this.#outputs.set(key, output);
    this.#bytes += sizeOf(output);
    for (const [oldest] of this.#outputs) {
      if (this.#bytes <= this.#maxBytes) return;
      this.delete(oldest);
    }
  }

  /** The partial output to resume from; empty if its versions don't suit. */
  outputToResume(key: string, terms: {
    minVersion: number;
    singleVersion: boolean;
  }): ItemOutput {
    const output = this.#outputs.get(key);
    return output?.satisfies(terms) ? output : new ItemOutput();
  }

  delete(key: string): void {
    const output = this.#outputs.get(key);
    if (output === undefined) return;
    this.#outputs.delete(key);
    this.#bytes -= sizeOf(output);
  }
}

function sizeOf({ text }: ItemOutput): number {
  return text.length;
}
