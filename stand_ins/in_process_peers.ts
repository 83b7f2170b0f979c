/**
 * Peers without sockets: a single daemon, or several in one process.
 *
 * @module
 */

import { Err, Ok, type Result } from "ts-results";
import {
  type GossipSection,
  type PeerHandler,
  type Plugin,
  Reason,
  Refusal,
  Verdict,
} from "../src/kernel/mod.ts";
import { type Member, Peers } from "../src/peers/mod.ts";
import { rank } from "../src/peers/rendezvous.ts";

/** Calls in one process use no link. */
const NO_LINK_END = new AbortController().signal;

/** Daemons in one process; requests between them are function calls. */
export class PeerNetwork {
  readonly #joined = new Map<string, InProcessPeers>();
  readonly #cuts = new Set<string>();

  /** Daemons that joined and did not leave. */
  get joined(): readonly InProcessPeers[] {
    return [...this.#joined.values()];
  }

  /** The daemon on this VM. */
  get(vm: string): InProcessPeers | undefined {
    return this.#joined.get(vm);
  }

  /** Adds a daemon, which all members see immediately. */
  join(peers: InProcessPeers): void {
    this.#joined.set(peers.self.vm, peers);
    this.#notify();
  }

  /** Removes a daemon, as after a crash. */
  leave(vm: string): void {
    this.#joined.delete(vm);
    this.#notify();
  }

  /** Cuts two daemons off from each other; both remain in the member list. */
  cut(a: string, b: string): void {
    this.#cuts.add(`${a} ${b}`).add(`${b} ${a}`);
  }

  /** Reconnects all daemons. */
  heal(): void {
    this.#cuts.clear();
  }

  /** Whether requests from `a` reach `b`. */
  reaches(a: string, b: string): boolean {
    return this.#joined.has(b) && !this.#cuts.has(`${a} ${b}`);
  }

  /** Runs one round of gossip between all daemons that reach each other. */
  exchange(): void {
    for (const from of this.joined) {
      for (const to of this.joined) {
        if (from === to || !this.reaches(from.self.vm, to.self.vm)) continue;
        from.offerTo(to);
      }
    }
  }

  #notify(): void {
    for (const peers of this.joined) peers.notify();
  }
}

/** Peers of one daemon; without a network it is the only member. */
export class InProcessPeers extends Peers {
  self: Member;
  readonly #network: PeerNetwork;
  readonly #handlers = new Map<string, PeerHandler>();
  readonly #sections = new Map<string, GossipSection>();
  readonly #listeners = new Set<() => void>();

  constructor(options: {
    vm?: string;
    availabilityZone?: string;
    network?: PeerNetwork;
    handlers?: Readonly<Record<string, PeerHandler>>;
  } = {}) {
    super();
    const vm = options.vm ?? "vm-1";
    this.self = {
      vm,
      incarnation: `${vm}-run`,
      address: "127.0.0.1:0",
      http: "127.0.0.1:0",
      availabilityZone: options.availabilityZone ?? "az-1",
      leaving: false,
      cores: 1,
    };
    this.#network = options.network ?? new PeerNetwork();
    for (const [kind, handler] of Object.entries(options.handlers ?? {})) {
      this.#handlers.set(kind, handler);
    }
    this.#network.join(this);
  }

  /** Registers a plug-in's peer handlers and gossip sections. */
  serve(plugin: Plugin): void {
    for (
      const [kind, handler] of Object.entries(plugin.props.peerHandlers ?? {})
    ) {
      this.#handlers.set(kind, handler);
    }
    for (const [name, section] of Object.entries(plugin.props.gossip ?? {})) {
      this.#sections.set(name, section);
    }
  }

  /** Marks this daemon as leaving and notifies all members. */
  override leave(): Promise<void> {
    this.self = { ...this.self, leaving: true };
    for (const peers of this.#network.joined) peers.notify();
    return Promise.resolve();
  }

  members(): readonly Member[] {
    return this.#network.joined.map((peers) => peers.self)
      .sort((a, b) => a.vm < b.vm ? -1 : 1);
  }

  ranked(name: string): readonly Member[] {
    const staying = this.members().filter((member) => !member.leaving);
    return rank(staying.length > 0 ? staying : this.members(), name);
  }

  async ask(vm: string, kind: string, body: unknown, options: {
    timeoutMs: number;
    signal?: AbortSignal;
  }): Promise<Result<unknown, Refusal>> {
    const peer = this.#network.get(vm);
    if (options.signal?.aborted) {
      return Err(refusal(Verdict.NotRun, Reason.Cancelled));
    }
    if (peer === undefined || !this.#network.reaches(this.self.vm, vm)) {
      return Err(refusal(Verdict.NotRun, Reason.PeerUnreachable));
    }
    const timeout = new Promise<Result<unknown, Refusal>>((resolve) => {
      const late = refusal(Verdict.MayHaveRun, Reason.PeerUnreachable);
      setTimeout(() => resolve(Err(late)), options.timeoutMs).unref();
    });
    const answer = peer.answer(kind, structuredClone(body), this.self.vm);
    return await Promise.race([answer, timeout]);
  }

  /** Runs the handler for a request from `from`. */
  async answer(
    kind: string,
    body: unknown,
    from: string,
  ): Promise<Result<unknown, Refusal>> {
    const handler = this.#handlers.get(kind);
    if (handler === undefined) {
      return Err(refusal(Verdict.NotRun, Reason.PeerFailed));
    }
    try {
      return Ok(structuredClone(await handler(body, from, NO_LINK_END)));
    } catch (error) {
      if (error instanceof Refusal) return Err(error);
      return Err(refusal(Verdict.MayHaveRun, Reason.PeerFailed));
    }
  }

  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  override gossipNow(section: string): void {
    for (const peer of this.#network.joined) {
      if (peer === this) continue;
      if (!this.#network.reaches(this.self.vm, peer.self.vm)) continue;
      this.offerTo(peer, section);
    }
  }

  /** Calls the listeners for membership changes. */
  notify(): void {
    for (const listener of this.#listeners) listener();
  }

  /** Offers one gossip section, or all, to a peer. */
  offerTo(peer: InProcessPeers, only?: string): void {
    for (const [name, section] of this.#sections) {
      if (only !== undefined && only !== name) continue;
      const body = section.offer(peer.self.vm);
      if (body === undefined) continue;
      peer.#sections.get(name)?.accept(structuredClone(body), this.self.vm);
    }
  }
}

function refusal(verdict: Verdict, reason: Reason): Refusal {
  return new Refusal({ verdict, reason, message: `Peer: "${reason}"` });
}
