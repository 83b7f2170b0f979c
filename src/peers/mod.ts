/**
 * The other daemons: who they are, and requests to them.
 *
 * @module
 */

import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";

/** Another daemon, or this one. */
export interface Member {
  readonly vm: string;
  readonly incarnation: string;
  /** Host and port for peers. */
  readonly address: string;
  /** Host and port for callers. */
  readonly http: string;
  readonly availabilityZone: string;
  /** Whether it is starting or shutting down: owns nothing new. */
  readonly leaving: boolean;
}

/** The daemons and the links between them. */
export abstract class Peers extends Plugin {
  /** This daemon as the others see it. */
  abstract readonly self: Member;

  /** All daemons that are thought alive, this one included, by VM id. */
  abstract members(): readonly Member[];

  /**
   * The live, not leaving daemons ranked for `name` by rendezvous hashing;
   * the first owns it. Every daemon with the same members ranks alike. Never
   * empty: when all are leaving, all are ranked.
   */
  abstract ranked(name: string): readonly Member[];

  /**
   * Asks `vm`; answers from this daemon itself without a link. A refusal's
   * verdict is `NotRun` only if the request surely never reached the peer.
   */
  abstract ask(
    vm: string,
    kind: string,
    body: unknown,
    options: { timeoutMs: number; signal?: AbortSignal },
  ): Promise<Result<unknown, Refusal>>;

  /** Calls `listener` after each change of members; returns its removal. */
  abstract onChange(listener: () => void): () => void;

  /** Offers a gossip section to all neighbours at once, not at the next turn. */
  gossipNow(_section: string): void {}

  /**
   * Whether this daemon's view of the members is current: false from a pause
   * longer than the bound on silence until a peer has been heard again.
   */
  settled(): boolean {
    return true;
  }
}

/** The key of the peers plug-in. */
export const peersKey = new PluginKey<Peers>("peers");
