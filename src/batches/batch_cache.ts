/**
 * Cache of batches for readers, also of batches that run on other daemons.
 * Listed results never change, so cached results are only ever added to.
 *
 * @module
 */

import type { BatchHead } from "./batch_store.ts";
import type { BatchSubmission, ItemResult, Page } from "./mod.ts";

/** Limit on the results of one response, set by the protocol. */
const MAX_PAGE_BYTES = 900_000;

/** Limit on cached result texts and item bodies. */
const MAX_CACHE_BYTES = 48 * 1024 * 1024;

/** A batch as far as this daemon knows it. */
export interface CachedBatch {
  readonly head: BatchHead;
  readonly results: readonly ItemResult[];
  /** Number of stored chunks that the results came from. */
  readonly chunks: number;
  readonly submission?: BatchSubmission;
}

/** Least-recently-updated cache of batches, bounded by size. */
export class BatchCache {
  readonly #batches = new Map<string, CachedBatch>();
  readonly #maxBytes: number;

  constructor(options: { maxBytes?: number } = {}) {
    this.#maxBytes = options.maxBytes ?? MAX_CACHE_BYTES;
  }

  get(id: string): CachedBatch | undefined {
    return this.#batches.get(id);
  }

  /** Updates a batch; a cached list with more results is kept. */
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

  /** Evicts the batches updated longest ago until the rest fits. */
  #evict(): void {
    let bytes = 0;
    for (const batch of [...this.#batches.values()].reverse()) {
      bytes += sizeOf(batch);
      if (bytes > this.#maxBytes) this.#batches.delete(batch.head.id);
    }
  }
}

/** The results from `after` on that fit into one response, at least one. */
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
