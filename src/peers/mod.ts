/**
 * Interface to the other daemons: cluster membership, ownership of names by
 * rendezvous hashing, and requests to peers.
 *
 * @module
 */

import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";

/** A daemon of the cluster, possibly this one. */
export interface Member {
  readonly vm: string;
  readonly incarnation: string;
  /** Host and port of the listener for peers. */
  readonly address: string;
  /** Host and port of the listener for callers. */
  readonly http: string;
  readonly availabilityZone: string;
  /** Whether it is starting or shutting down, so must not own anything new. */
  readonly leaving: boolean;
  /** Processor time that the daemon may use, in cores. */
  readonly cores: number;
}

/** Membership of the cluster and requests between its daemons. */
export abstract class Peers extends Plugin {
  /** This daemon's own entry, as published to the others. */
  abstract readonly self: Member;

  /** All live and suspected daemons, including this one, sorted by VM id. */
  abstract members(): readonly Member[];

  /**
   * The members that are not leaving, ranked for `name` by rendezvous hashing;
   * the first one owns it. Daemons with the same members get the same ranking.
   * Never empty: if all members are leaving, all are ranked.
   */
  abstract ranked(name: string): readonly Member[];

  /**
   * The same for a duty that one daemon performs for many: members with far
   * fewer cores than the strongest one come last.
   */
  rankedForDuty(name: string): readonly Member[] {
    return this.ranked(name);
  }

  /**
   * Sends a request to `vm`; a request to this daemon is handled locally. A
   * refusal's verdict is `NotRun` only if the request certainly did not run: it
   * never reached the peer, or the peer says so.
   */
  abstract ask(
    vm: string,
    kind: string,
    body: unknown,
    options: { timeoutMs: number; signal?: AbortSignal },
  ): Promise<Result<unknown, Refusal>>;

  /**
   * Calls `listener` after each change of the members; returns a function that
   * removes it.
   */
  abstract onChange(listener: () => void): () => void;

  /** Gossips a section to all neighbours now, not in the next round. */
  gossipNow(_section: string): void {}

  /**
   * Whether this daemon's view of the members is current. False at the start
   * and after a pause longer than `peerSilenceMs`, until the view has been
   * compared with a peer's or all attempts to reach a peer have failed.
   */
  settled(): boolean {
    return true;
  }
}

/** Key of the peers plug-in. */
export const peersKey = new PluginKey<Peers>("peers");
