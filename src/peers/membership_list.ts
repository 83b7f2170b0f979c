/**
 * The membership list, in the manner of SWIM. Only a daemon itself increments
 * the counter of its state; suspicion or death reported by others refers to one
 * value of the counter, so a daemon refutes it with a higher value.
 *
 * @module
 */

import { hash } from "./rendezvous.ts";
import type { Member } from "./mod.ts";

/** Status of a member; of two with equal counters, the higher value wins. */
export enum Liveness {
  Alive = 0,
  /** Unreachable for a neighbour; declared dead unless it refutes in time. */
  Suspect = 1,
  Dead = 2,
  /** It has announced its own stop. */
  Left = 3,
}

/** A member with its status. */
export interface MemberState {
  readonly member: Member;
  /** Incremented by the member itself only. */
  readonly counter: number;
  readonly status: Liveness;
}

/** Number of buckets of members; only those whose digests differ are sent. */
export const DIGEST_BUCKET_COUNT = 16;

/** How long the state of a member that is dead or has left is retained. */
export const DEAD_RETENTION_MS = 10 * 60 * 1000;

interface TrackedState {
  readonly state: MemberState;
  /** When the state was recorded here, on the monotonic clock. */
  readonly since: number;
}

/** The states of all members, this daemon's own included. */
export class MembershipList {
  readonly #vm: string;
  readonly #states = new Map<string, TrackedState>();
  /** Incremented whenever `live` changes. */
  generation = 0;
  #live: readonly Member[] | undefined;
  #digests: readonly number[] | undefined;
  #stopped = false;

  constructor(options: { self: Member; now: number }) {
    this.#vm = options.self.vm;
    this.#set(
      { member: options.self, counter: 1, status: Liveness.Alive },
      options.now,
    );
  }

  /** This daemon's own state. */
  get self(): MemberState {
    return this.#states.get(this.#vm)!.state;
  }

  /** The state of a VM, if known. */
  get(vm: string): MemberState | undefined {
    return this.#states.get(vm)?.state;
  }

  /** All states, including those of dead members. */
  states(): readonly MemberState[] {
    return [...this.#states.values()].map(({ state }) => state);
  }

  /** Live members, including suspects, sorted by VM id. */
  live(): readonly Member[] {
    this.#live ??= this.states()
      .filter(isLive)
      .map((state) => state.member)
      .sort((a, b) => a.vm < b.vm ? -1 : 1);
    return this.#live;
  }

  /** Replaces this daemon's own entry and increments its counter. */
  announce(member: Member, now: number): MemberState {
    const { counter } = this.self;
    return this.#set(
      { member, counter: counter + 1, status: Liveness.Alive },
      now,
    );
  }

  /** Marks this daemon as having left; it refutes nothing from now on. */
  leave(now: number): MemberState {
    this.#stopped = true;
    return this.#set({ ...this.self, status: Liveness.Left }, now);
  }

  /** Merges states received from a peer; returns the changes to pass on. */
  merge(
    states: readonly MemberState[],
    now: number,
  ): readonly MemberState[] {
    const changes: MemberState[] = [];
    for (const state of states) {
      const change = state.member.vm === this.#vm
        ? this.#refute(state, now)
        : this.#mergeOther(state, now);
      if (change !== undefined) changes.push(change);
    }
    return changes;
  }

  /** Marks an alive member as suspect; returns the change, if any. */
  suspect(vm: string, now: number): MemberState | undefined {
    const state = this.get(vm);
    if (vm === this.#vm || state?.status !== Liveness.Alive) return undefined;
    return this.#set({ ...state, status: Liveness.Suspect }, now);
  }

  /**
   * Declares members dead that have been suspect for `timeoutMs`, and forgets
   * those dead for longer than the retention; returns the changes.
   */
  expireSuspects(timeoutMs: number, now: number): readonly MemberState[] {
    const changes: MemberState[] = [];
    for (const [vm, { state, since }] of this.#states) {
      if (state.status === Liveness.Suspect && now - since >= timeoutMs) {
        changes.push(this.#set({ ...state, status: Liveness.Dead }, now));
      }
      if (state.status >= Liveness.Dead && now - since >= DEAD_RETENTION_MS) {
        if (vm !== this.#vm) this.#states.delete(vm);
      }
    }
    return changes;
  }

  /** Restarts all suspicion timeouts, after a pause without refutations. */
  restartSuspicions(now: number): void {
    for (const [vm, { state }] of this.#states) {
      if (state.status !== Liveness.Suspect) continue;
      this.#states.set(vm, { state, since: now });
    }
  }

  /** The digest of each bucket's live members. */
  digests(): readonly number[] {
    this.#digests ??= this.#computeDigests();
    return this.#digests;
  }

  /** The digest of all live members, to compare with a peer's. */
  digest(): number {
    return this.digests().reduce((sum, digest) => sum ^ digest, 0);
  }

  /** The states in the buckets whose digest differs from that in `remote`. */
  differingStates(remote: readonly number[]): readonly MemberState[] {
    const local = this.digests();
    return this.states().filter(({ member }) => {
      const bucket = bucketOf(member.vm);
      return local[bucket] !== remote[bucket];
    });
  }

  #mergeOther(state: MemberState, now: number): MemberState | undefined {
    const known = this.get(state.member.vm);
    if (known === undefined) {
      // The death of an unknown member is not recorded.
      return state.status >= Liveness.Dead ? undefined : this.#set(state, now);
    }
    if (!supersedes(state, known)) return undefined;
    // A member that is alive here but reported dead becomes suspect first, to
    // leave it time to refute. Otherwise a healed partition would briefly leave
    // each side without members.
    const status =
      state.status === Liveness.Dead && known.status === Liveness.Alive
        ? Liveness.Suspect
        : state.status;
    return this.#set({ ...state, status }, now);
  }

  #refute(state: MemberState, now: number): MemberState | undefined {
    const { self } = this;
    if (this.#stopped || state.counter < self.counter) return undefined;
    const same = state.counter === self.counter &&
      state.status === Liveness.Alive &&
      state.member.incarnation === self.member.incarnation;
    if (same) return undefined;
    return this.#set({ ...self, counter: state.counter + 1 }, now);
  }

  #set(state: MemberState, now: number): MemberState {
    const before = this.get(state.member.vm);
    this.#states.set(state.member.vm, { state, since: now });
    this.#digests = undefined;
    if (before === undefined || !sameForListeners(before, state)) {
      this.#live = undefined;
      this.generation++;
    }
    return state;
  }

  #computeDigests(): readonly number[] {
    const digests = new Array<number>(DIGEST_BUCKET_COUNT).fill(0);
    for (const { member, counter } of this.states().filter(isLive)) {
      const text = `${member.vm} ${member.incarnation} ${counter}`;
      digests[bucketOf(member.vm)] ^= hash(text) | 0;
    }
    return digests;
  }
}

function supersedes(state: MemberState, known: MemberState): boolean {
  if (state.counter !== known.counter) return state.counter > known.counter;
  if (state.status !== known.status) return state.status > known.status;
  return state.member.incarnation > known.member.incarnation;
}

function sameForListeners(a: MemberState, b: MemberState): boolean {
  return isLive(a) === isLive(b) &&
    a.member.incarnation === b.member.incarnation &&
    a.member.address === b.member.address &&
    a.member.http === b.member.http &&
    a.member.leaving === b.member.leaving;
}

function isLive(state: MemberState): boolean {
  return state.status <= Liveness.Suspect;
}

function bucketOf(vm: string): number {
  return hash(vm) % DIGEST_BUCKET_COUNT;
}
