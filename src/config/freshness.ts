/**
 * Tracks how old this daemon's view of the configuration can be at most.
 *
 * All times are of this daemon's monotonic clock. An answer confirms the view
 * as of the time before its request was sent, never as of its arrival: while
 * this daemon is paused, an answer may wait in a buffer.
 *
 * @module
 */

import { FULL_MESH_MAX_MEMBERS, RING_COUNT } from "../peers/rendezvous.ts";

/** How long after its last message a peer counts as in contact. */
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

  /** The latest time as of which the view is known to be current. */
  get freshAt(): number {
    return this.#freshAt;
  }

  /** Records that the view was current at `at`; false if not a later time. */
  confirmCurrent(at: number): boolean {
    if (at <= this.#freshAt) return false;
    this.#freshAt = at;
    return true;
  }

  /** Records that `peer` sent a message after `at`. */
  recordContact(peer: string, at: number): void {
    const before = this.#lastContacts.get(peer) ?? -Infinity;
    this.#lastContacts.set(peer, Math.max(at, before));
  }

  /** Age of the view in milliseconds. */
  ageMs(now: number): number {
    return now - this.#freshAt;
  }

  /**
   * Updates the members. A removed member still counts for the majority until
   * the view is confirmed as of a later time: a partitioned daemon also sees
   * the others removed, but gets no such confirmation.
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
   * Whether this daemon is in contact with the majority of the last known
   * members. If so, a stale view here means that no member has a current one,
   * as it would have gossiped it.
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

// Number of daemons that a daemon gossips with directly, itself included.
function neighbourhoodSize(members: number): number {
  return members <= FULL_MESH_MAX_MEMBERS ? members : 2 * RING_COUNT + 1;
}
