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
export const CONTACT_WINDOW_MS = 1500;

/** The freshness of one daemon's view. */
export class Freshness {
  readonly #boundMs: number;
  readonly #lastContacts = new Map<string, number>();
  #freshAt = -Infinity;
  #quorumMembers: ReadonlySet<string> = new Set();
  #members: readonly string[] = [];
  #membersChangedAt = -Infinity;

  constructor(options: { boundMs: number }) {
    this.#boundMs = options.boundMs;
  }

  /** The latest moment as of which the view is known to be current. */
  get freshAt(): number {
    return this.#freshAt;
  }

  /** The view was current as of `at`; says whether that is news. */
  confirmCurrent(at: number): boolean {
    if (at <= this.#freshAt) return false;
    this.#freshAt = at;
    return true;
  }

  /** A peer's word surely was said after `at`. */
  recordContact(peer: string, at: number): void {
    const before = this.#lastContacts.get(peer) ?? -Infinity;
    this.#lastContacts.set(peer, Math.max(at, before));
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
  updateMembers(members: readonly string[], now: number): void {
    if (!sameMembers(members, this.#members)) {
      this.#members = members;
      this.#membersChangedAt = now;
    }
    this.#quorumMembers = this.#freshAt > this.#membersChangedAt
      ? new Set(members)
      : new Set([...this.#quorumMembers, ...members]);
    for (const vm of this.#lastContacts.keys()) {
      if (!this.#quorumMembers.has(vm)) this.#lastContacts.delete(vm);
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
  isOutageShared(
    self: string,
    members: readonly string[],
    now: number,
  ): boolean {
    const alive = members.filter((vm) => this.#quorumMembers.has(vm)).length;
    if (2 * alive <= this.#quorumMembers.size) return false;
    const recentContacts = [...this.#lastContacts].filter(([vm, at]) =>
      vm !== self && this.#quorumMembers.has(vm) &&
      now - at <= CONTACT_WINDOW_MS
    );
    return 2 * (recentContacts.length + 1) >
      neighbourhoodSize(this.#quorumMembers.size);
  }
}

function sameMembers(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((vm, index) => vm === b[index]);
}

// How many daemons tell each other directly, one of them included.
function neighbourhoodSize(members: number): number {
  return members <= FULL_MESH_MAX_MEMBERS ? members : 2 * RING_COUNT + 1;
}
