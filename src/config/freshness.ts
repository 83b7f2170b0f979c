/**
 * How current this daemon's view of the configuration surely is.
 *
 * Everything counts on this daemon's own monotonic clock. A view is current as
 * of a moment before a question was sent, never as of when its answer came: an
 * answer may lie in a buffer for as long as this daemon is paused.
 *
 * @module
 */

import { FULL_MESH_MAX_MEMBERS, RING_COUNT } from "../peers/rendezvous.ts";

/** A peer's word counts as lately heard for so long, in milliseconds. */
export const EVIDENCE_MS = 1500;

/** The freshness of one daemon's view. */
export class Freshness {
  readonly #boundMs: number;
  readonly #heard = new Map<string, number>();
  #freshAt = -Infinity;
  #known: ReadonlySet<string> = new Set();
  #members: readonly string[] = [];
  #changedAt = -Infinity;

  constructor(options: { boundMs: number }) {
    this.#boundMs = options.boundMs;
  }

  /** The latest moment as of which the view is known to be current. */
  get freshAt(): number {
    return this.#freshAt;
  }

  /** The view was current as of `at`; says whether that is news. */
  prove(at: number): boolean {
    if (at <= this.#freshAt) return false;
    this.#freshAt = at;
    return true;
  }

  /** A peer's word surely was said after `at`. */
  heard(peer: string, at: number): void {
    const before = this.#heard.get(peer) ?? -Infinity;
    this.#heard.set(peer, Math.max(at, before));
  }

  /** Age of the view in milliseconds. */
  ageMs(now: number): number {
    return now - this.#freshAt;
  }

  /**
   * Takes note of the members. Whoever vanished still counts for the majority
   * until the view is proven current as of a later moment: a daemon that was
   * cut off sees the others vanish, but has no such proof.
   */
  observe(members: readonly string[], now: number): void {
    if (!sameMembers(members, this.#members)) {
      this.#members = members;
      this.#changedAt = now;
    }
    this.#known = this.#freshAt > this.#changedAt
      ? new Set(members)
      : new Set([...this.#known, ...members]);
    for (const vm of this.#heard.keys()) {
      if (!this.#known.has(vm)) this.#heard.delete(vm);
    }
  }

  /** Whether the view is current within the bound. */
  current(now: number): boolean {
    return this.ageMs(now) <= this.#boundMs;
  }

  /**
   * Whether this daemon is with the majority of those last known, so that a
   * view which is not current here isn't so anywhere: whoever among them had a
   * current one would have passed it on.
   */
  outageShared(self: string, members: readonly string[], now: number): boolean {
    const alive = members.filter((vm) => this.#known.has(vm)).length;
    if (2 * alive <= this.#known.size) return false;
    const lately = [...this.#heard].filter(([vm, at]) =>
      vm !== self && this.#known.has(vm) && now - at <= EVIDENCE_MS
    );
    return 2 * (lately.length + 1) > watchers(this.#known.size);
  }
}

function sameMembers(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((vm, index) => vm === b[index]);
}

// How many daemons tell each other directly, one of them included.
function watchers(members: number): number {
  return members <= FULL_MESH_MAX_MEMBERS ? members : 2 * RING_COUNT + 1;
}
