/**
 * All links of this daemon: it listens, dials, and finds the link to a peer.
 *
 * @module
 */

import { connect, createServer, type Server, type Socket } from "node:net";
import { Err, Ok, type Result } from "ts-results";
import { type Kernel, type Refusal, Verdict } from "../kernel/mod.ts";
import type { ListenAddress } from "../settings/mod.ts";
import { Side } from "./handshake.ts";
import { type Link, openLink, unreachable } from "./link.ts";
import {
  Closing,
  DialFault,
  Opening,
  type PeerMetrics,
} from "./peer_metrics.ts";

/** Longest time for a connection, for its handshake, and for a probe. */
const DIAL_TIMEOUT_MS = 400;
/** Most connections from peers, proven or not. */
const MAX_CONNECTIONS = 4096;

/** What the links are for. */
export interface Use {
  /** Where a peer listens, if that is known. */
  addressOf(vm: string): string | undefined;
  /** Uses a new link until it ends. */
  attend(link: Link): Promise<void>;
  /** The digest that goes with a probe. */
  digest(): number;
}

/** The links of this daemon. */
export class LinkManager {
  readonly #kernel: Kernel;
  readonly #traffic: PeerMetrics;
  readonly #use: Use;
  readonly #links = new Map<string, readonly Link[]>();
  readonly #dials = new Map<string, Promise<Result<Link, Refusal>>>();
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #stopped = false;

  constructor(options: { kernel: Kernel; traffic: PeerMetrics; use: Use }) {
    this.#kernel = options.kernel;
    this.#traffic = options.traffic;
    this.#use = options.use;
  }

  /** All links that have not ended. */
  all(): readonly Link[] {
    return [...this.#links.values()].flat();
  }

  /**
   * The link to a peer, if there is one. Both ends pick the same of two: the
   * one from the lesser VM id.
   */
  to(vm: string): Link | undefined {
    const preferred = this.#vm < vm ? Side.Dialler : Side.Acceptor;
    const links = (this.#links.get(vm) ?? []).filter((link) => link.open);
    return links.findLast((link) => link.side === preferred) ?? links.at(-1);
  }

  /** The link to a peer, if it was heard so lately that it needs no proof. */
  lately(vm: string): Link | undefined {
    const link = this.to(vm);
    if (link === undefined) return undefined;
    const quietMs = this.#kernel.clock.now() - link.heardAt;
    const { heartbeatMs } = this.#kernel.settings.timing;
    return quietMs <= 2 * heartbeatMs ? link : undefined;
  }

  /** A link to a peer that is proven alive; an old one is probed first. */
  async proven(vm: string): Promise<Result<Link, Refusal>> {
    const lately = this.lately(vm);
    if (lately !== undefined) return Ok(lately);
    const link = this.to(vm);
    if (link === undefined) return await this.connect(vm, Opening.Request);
    const alive = await link.prove(DIAL_TIMEOUT_MS, this.#use.digest());
    if (alive) return Ok(link);
    link.close(Closing.Silent);
    return await this.connect(vm, Opening.Request);
  }

  /** The link to a peer, a new one if there is none. */
  async connect(
    vm: string,
    opening: Opening,
  ): Promise<Result<Link, Refusal>> {
    const link = this.to(vm);
    if (link !== undefined) return Ok(link);
    const under = this.#dials.get(vm);
    if (under !== undefined) return await under;
    const dial = this.#dial(vm, opening);
    this.#dials.set(vm, dial);
    try {
      return await dial;
    } finally {
      this.#dials.delete(vm);
    }
  }

  /** Listens for peers; answers with the port. */
  async listen(listener: ListenAddress): Promise<number> {
    const server = createServer((socket) => void this.#accept(socket));
    server.maxConnections = MAX_CONNECTIONS;
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(listener.port, listener.host, resolve);
    });
    const address = server.address();
    return address !== null && typeof address === "object"
      ? address.port
      : listener.port;
  }

  /** Ends all links, and listens no more. */
  async stop(): Promise<void> {
    this.#stopped = true;
    for (const link of this.all()) link.close(Closing.Stopping);
    await this.#closeServer();
  }

  get #vm(): string {
    return this.#kernel.settings.vm;
  }

  async #closeServer(): Promise<void> {
    const server = this.#server;
    if (server === undefined) return;
    const closed = new Promise<void>((resolve) =>
      server.close(() => resolve())
    );
    const cancel = this.#kernel.clock.after(DIAL_TIMEOUT_MS, () => {
      for (const socket of this.#sockets) socket.destroy();
    });
    await closed;
    cancel();
  }

  async #accept(socket: Socket): Promise<void> {
    try {
      await this.#open(socket, { opening: Opening.Inbound });
    } catch {
      // Whoever it was did not prove itself and nothing ran.
      this.#traffic.dialFailed(DialFault.Handshake);
    }
  }

  async #open(socket: Socket, options: {
    opening: Opening;
    expected?: string;
  }): Promise<Link> {
    const { settings, incarnation, clock } = this.#kernel;
    const { opening, expected } = options;
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    const link = await openLink(socket, {
      side: opening === Opening.Inbound ? Side.Acceptor : Side.Dialler,
      secret: settings.peerSecret,
      vm: settings.vm,
      incarnation,
      expected,
      timeoutMs: DIAL_TIMEOUT_MS,
      clock,
      traffic: this.#traffic,
    });
    this.#traffic.opened(opening);
    void this.#tend(link);
    return link;
  }

  // The task of one link, from its handshake to its end.
  async #tend(link: Link): Promise<void> {
    const { vm } = link.peer;
    if (this.#stopped) return link.close(Closing.Stopping);
    this.#links.set(vm, [...this.#links.get(vm) ?? [], link]);
    await this.#use.attend(link);
    const rest = (this.#links.get(vm) ?? []).filter((it) => it !== link);
    if (rest.length > 0) this.#links.set(vm, rest);
    else this.#links.delete(vm);
  }

  async #dial(vm: string, opening: Opening): Promise<Result<Link, Refusal>> {
    const address = this.#use.addressOf(vm);
    if (address === undefined || this.#stopped) {
      return Err(unreachable(Verdict.NotRun, `Peer "${vm}" is not known`));
    }
    try {
      const socket = await this.#connectTo(address);
      return Ok(await this.#open(socket, { opening, expected: vm }));
    } catch (error) {
      // No request is sent before the handshake is over.
      const fault = error instanceof DialError
        ? error.fault
        : DialFault.Handshake;
      this.#traffic.dialFailed(fault);
      return Err(unreachable(Verdict.NotRun, "The peer can't be reached"));
    }
  }

  #connectTo(address: string): Promise<Socket> {
    const colon = address.lastIndexOf(":");
    const socket = connect({
      host: address.slice(0, colon),
      port: Number(address.slice(colon + 1)),
    });
    return new Promise((resolve, reject) => {
      const cancel = this.#kernel.clock.after(DIAL_TIMEOUT_MS, () => {
        socket.destroy();
        reject(new DialError(DialFault.TimedOut));
      });
      socket.once("connect", () => {
        cancel();
        resolve(socket);
      });
      socket.on("error", () => {
        cancel();
        reject(new DialError(DialFault.Unreachable));
      });
    });
  }
}

class DialError extends Error {
  readonly fault: DialFault;

  constructor(fault: DialFault) {
    super(fault);
    this.fault = fault;
  }
}
