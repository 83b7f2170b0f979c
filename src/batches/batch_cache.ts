/**
 * What a daemon knows of batches that run elsewhere. Listed results never
 * change, so a view only grows.
 *
 * @module
 */

import type { Head } from "./batch_store.ts";
import type { BatchSubmission, ItemResult, Page } from "./mod.ts";

/** Most bytes of results that one answer holds; the protocol's bound. */
const MAX_PAGE_BYTES = 900_000;

/** Bytes of texts and bodies that are kept for readers. */
const MAX_BYTES = 48 * 1024 * 1024;

/** One batch as far as it is known here. */
export interface View {
  readonly head: Head;
  readonly results: readonly ItemResult[];
  /** Chunks that the results came from. */
  readonly chunks: number;
  readonly submission?: BatchSubmission;
}

/** The views of the batches that were asked for lately. */
export class Views {
  readonly #views = new Map<string, View>();
  readonly #maxBytes: number;

  constructor(options: { maxBytes?: number } = {}) {
    this.#maxBytes = options.maxBytes ?? MAX_BYTES;
  }

  get(id: string): View | undefined {
    return this.#views.get(id);
  }

  /** Takes in a view, unless one with more results is known. */
  put(view: View): View {
    const { id } = view.head;
    const known = this.#views.get(id);
    const longer = known !== undefined &&
      known.results.length > view.results.length;
    const kept = {
      ...longer ? known : view,
      head: view.head,
      submission: view.submission ?? known?.submission,
    };
    this.#views.delete(id);
    this.#views.set(id, kept);
    this.#prune();
    return kept;
  }

  forget(id: string): void {
    this.#views.delete(id);
  }

  /** Drops the batches that were not asked for the longest. */
  #prune(): void {
    let bytes = 0;
    for (const view of [...this.#views.values()].reverse()) {
      bytes += sizeOf(view);
      if (bytes > this.#maxBytes) this.#views.delete(view.head.id);
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

function sizeOf({ results, submission }: View): number {
  const texts = results.reduce((sum, { text }) => sum + text.length, 0);
  const bodies = submission?.items
    .reduce((sum, { body }) => sum + body.length + 512, 0) ?? 0;
  return texts + bodies;
}
