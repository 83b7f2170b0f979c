/**
 * Who is alive, as far as this daemon has heard. Each daemon counts its own
 * states up; what others say of it is bound to the count they speak of, so a
 * daemon refutes a false word by a higher count.
 *
 * @module
 */

import { hash } from "./rendezvous.ts";
import type { Member } from "./mod.ts";

/** What is said of a member; at one count, the later in this list wins. */
export enum Liveness {
  Alive = 0,
  /** A neighbour can't reach it; dead soon unless it refutes. */
  Suspect = 1,
  Dead = 2,
  /** It said itself that it stops. */
  Left = 3,
}

/** A member with what is said of it. */
export interface MemberState {
  readonly member: Member;
  /** Raised by the member itself only. */
  readonly counter: number;
  readonly status: Liveness;
}

/** Parts of the roster whose digests are compared one by one. */
export const DIGEST_BUCKET_COUNT = 16;

/** How long a dead member is remembered, in milliseconds. */
export const DEAD_RETENTION_MS = 10 * 60 * 1000;

interface TrackedState {
  readonly state: MemberState;
  /** When it took this status here, on the monotonic clock. */
  readonly since: number;
}

/** The states of all members, this daemon's own included. */
export class MembershipList {
  readonly #vm: string;
  readonly #held = new Map<string, TrackedState>();
  /** Grows whenever `live` changes. */
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
    return this.#held.get(this.#vm)!.state;
  }

  /** What is said of a VM, if anything. */
  get(vm: string): MemberState | undefined {
    return this.#held.get(vm)?.state;
  }

  /** All states, the dead included. */
  states(): readonly MemberState[] {
    return [...this.#held.values()].map(({ state }) => state);
  }

  /** Members thought alive, suspects included, by VM id. */
  live(): readonly Member[] {
    this.#live ??= this.states()
      .filter(isLive)
      .map((state) => state.member)
      .sort((a, b) => a.vm < b.vm ? -1 : 1);
    return this.#live;
  }

  /** Changes this daemon's own part; raises its count. */
  announce(member: Member, now: number): MemberState {
    const { counter } = this.self;
    return this.#set(
      { member, counter: counter + 1, status: Liveness.Alive },
      now,
    );
  }

  /** This daemon stops: says so, and refutes nothing from now on. */
  leave(now: number): MemberState {
    this.#stopped = true;
    return this.#set({ ...this.self, status: Liveness.Left }, now);
  }

  /** Takes in what a peer says; returns the changes to pass on. */
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

  /** Suspects a live member; returns the change, if it is one. */
  suspect(vm: string, now: number): MemberState | undefined {
    const state = this.get(vm);
    if (vm === this.#vm || state?.status !== Liveness.Alive) return undefined;
    return this.#set({ ...state, status: Liveness.Suspect }, now);
  }

  /** Declares dead who has been suspect for `boundMs`; returns the changes. */
  expireSuspects(timeoutMs: number, now: number): readonly MemberState[] {
    const changes: MemberState[] = [];
    for (const [vm, { state, since }] of this.#held) {
      if (state.status === Liveness.Suspect && now - since >= timeoutMs) {
        changes.push(this.#set({ ...state, status: Liveness.Dead }, now));
      }
      if (state.status >= Liveness.Dead && now - since >= DEAD_RETENTION_MS) {
        if (vm !== this.#vm) this.#held.delete(vm);
      }
    }
    return changes;
  }

  /** Starts every suspicion anew, after a time in which none was heard out. */
  restartSuspicions(now: number): void {
    for (const [vm, { state }] of this.#held) {
      if (state.status !== Liveness.Suspect) continue;
      this.#held.set(vm, { state, since: now });
    }
  }

  /** One digest over the live members of each bucket. */
  digests(): readonly number[] {
    this.#digests ??= this.#computeDigests();
    return this.#digests;
  }

  /** One number over all live members, to compare with another daemon's. */
  digest(): number {
    return this.digests().reduce((sum, digest) => sum ^ digest, 0);
  }

  /** The states in the buckets whose digest differs from `theirs`. */
  differingStates(remote: readonly number[]): readonly MemberState[] {
    const local = this.digests();
    return this.states().filter(({ member }) => {
      const bucket = bucketOf(member.vm);
      return local[bucket] !== remote[bucket];
    });
  }

  #mergeOther(state: MemberState, now: number): MemberState | undefined {
    const held = this.get(state.member.vm);
    if (held === undefined) {
      // The death of somebody unknown is no news.
      return state.status >= Liveness.Dead ? undefined : this.#set(state, now);
    }
    if (!supersedes(state, held)) return undefined;
    // Another's word alone doesn't bury a member that looks alive from here:
    // it gets the time to refute. Else a healed partition would for a moment
    // leave each side without members.
    const status =
      state.status === Liveness.Dead && held.status === Liveness.Alive
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
    this.#held.set(state.member.vm, { state, since: now });
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

function supersedes(state: MemberState, held: MemberState): boolean {
  if (state.counter !== held.counter) return state.counter > held.counter;
  if (state.status !== held.status) return state.status > held.status;
  return state.member.incarnation > held.member.incarnation;
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
