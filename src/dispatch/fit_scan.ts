/**
 * Which waiting requests are checked for an upstream that suits them.
 *
 * Answers pools of several models, where engines have fresh weights of one each:
 * late items of one model, which wait for its engines at the front of the queue,
 * kept items of another from engines that were idle.
 *
 * @module
 */

import type { Demand } from "./mod.ts";

/** Requests that are checked of those that need the same weights. */
const MAX_CHECKED_PER_KIND = 8;

/** Kinds of request of which any are checked. */
const MAX_KINDS = 8;

/** Requests that are looked at, checked or not. */
const MAX_SEEN = 128;

/** Requests that need the same weights. */
interface Kind {
  readonly model: string | undefined;
  readonly minVersion: number;
  checked: number;
}

/** Bounds the checks of one scan, so that no kind of request uses them all. */
export class FitScan {
  readonly #kinds: Kind[] = [];
  #seen = 0;

  /** Whether no more requests need to be looked at. */
  get isOver(): boolean {
    return this.#seen >= MAX_SEEN;
  }

  /** Whether a request is to be checked; counts it. */
  admits({ model, minVersion }: Demand): boolean {
    this.#seen += 1;
    const known = this.#kinds.find((kind) =>
      kind.model === model && kind.minVersion === minVersion
    );
    if (known === undefined) {
      if (this.#kinds.length >= MAX_KINDS) return false;
      this.#kinds.push({ model, minVersion, checked: 1 });
      return true;
    }
    if (known.checked >= MAX_CHECKED_PER_KIND) return false;
    known.checked += 1;
    return true;
  }
}
