/**
 * What a daemon knows of batches that run elsewhere. Listed results never
 * change, so a view only grows.
 *
 * @module
 */

import type { BatchHead } from "./batch_store.ts";
import type { BatchSubmission, ItemResult, Page } from "./mod.ts";

/** Most bytes of results that one answer holds; the protocol's bound. */
const MAX_PAGE_BYTES = 900_000;

/** Bytes of texts and bodies that are kept for readers. */
const MAX_CACHE_BYTES = 48 * 1024 * 1024;

/** One batch as far as it is known here. */
export interface CachedBatch {
  readonly head: BatchHead;
  readonly results: readonly ItemResult[];
  /** Chunks that the results came from. */
  readonly chunks: number;
  readonly submission?: BatchSubmission;
}

/** The views of the batches that were asked for lately. */
export class BatchCache {
  readonly #batches = new Map<string, CachedBatch>();
  readonly #maxBytes: number;

  constructor(options: { maxBytes?: number } = {}) {
    this.#maxBytes = options.maxBytes ?? MAX_CACHE_BYTES;
  }

  get(id: string): CachedBatch | undefined {
    return this.#batches.get(id);
  }

  /** Takes in a view, unless one with more results is known. */
  put(batch: CachedBatch): CachedBatch {
    const { id } = batch.head;
    const known = this.#batches.get(id);
    const longer = known !== undefined &&
      known.results.length > batch.results.length;
    const kept = {
      ...longer ? known : batch,
      head: batch.head,
      submission: batch.submission ?? known?.submission,
    };
    this.#batches.delete(id);
    this.#batches.set(id, kept);
    this.#evict();
    return kept;
  }

  delete(id: string): void {
    this.#batches.delete(id);
  }

  /** Drops the batches that were not asked for the longest. */
  #evict(): void {
    let bytes = 0;
    for (const batch of [...this.#batches.values()].reverse()) {
      bytes += sizeOf(batch);
      if (bytes > this.#maxBytes) this.#batches.delete(batch.head.id);
    }
  }
}

/** The results from `after` on that fit one answer; one at least. */
export function pageOf(
  total: number,
  results: readonly ItemResult[],
  after: number,
): Page {
  const page: ItemResult[] = [];
  let bytes = 0;
  for (const result of results.slice(after)) {
    bytes += result.text.length + 256;
    if (page.length > 0 && bytes > MAX_PAGE_BYTES) break;
    page.push(result);
  }
  return { total, results: page, next: after + page.length };
}

function sizeOf({ results, submission }: CachedBatch): number {
  const texts = results.reduce((sum, { text }) => sum + text.length, 0);
  const bodies = submission?.items
    .reduce((sum, { body }) => sum + body.length + 512, 0) ?? 0;
  return texts + bodies;
}
