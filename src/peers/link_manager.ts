/**
 * Manages the links of this daemon: accepts and dials connections, and looks up
 * the link to a peer.
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
  DialFault,
  EndReason,
  OpenReason,
  type PeerMetrics,
} from "./peer_metrics.ts";

/** Timeout for connecting, a handshake, a probe, and sockets on stop, each. */
const DIAL_TIMEOUT_MS = 400;
/** Maximum number of inbound connections, authenticated or not. */
const MAX_PEER_CONNECTIONS = 4096;

/** What the link manager needs of the mesh. */
export interface LinkUser {
  /** Host and port of a peer's listener, if known. */
  addressOf(vm: string): string | undefined;
  /** Serves a new link until it is closed. */
  serveLink(link: Link): Promise<void>;
  /** The membership digest to send with a probe. */
  digest(): number;
}

/** The open links of this daemon by peer. */
export class LinkManager {
  readonly #kernel: Kernel;
  readonly #metrics: PeerMetrics;
  readonly #use: LinkUser;
  readonly #links = new Map<string, readonly Link[]>();
  readonly #dialsInFlight = new Map<string, Promise<Result<Link, Refusal>>>();
  readonly #sockets = new Set<Socket>();
  #server: Server | undefined;
  #stopped = false;

  constructor(
    options: { kernel: Kernel; metrics: PeerMetrics; use: LinkUser },
  ) {
    this.#kernel = options.kernel;
    this.#metrics = options.metrics;
    this.#use = options.use;
  }

  /** All links being served; a peer may have several. */
  all(): readonly Link[] {
    return [...this.#links.values()].flat();
  }

  /**
   * The open link to a peer, if there is one. If both ends dialled, they both
   * select the link that the lesser VM id dialled.
   */
  to(vm: string): Link | undefined {
    const preferred = this.#vm < vm ? Side.Dialler : Side.Acceptor;
    const links = (this.#links.get(vm) ?? []).filter((link) => link.open);
    return links.findLast((link) => link.side === preferred) ?? links.at(-1);
  }

  /** The link to a peer, if a recent frame makes a probe unnecessary. */
  recentlyActive(vm: string): Link | undefined {
    const link = this.to(vm);
    if (link === undefined) return undefined;
    const silentMs = this.#kernel.clock.now() - link.lastReceivedAt;
    const { heartbeatMs } = this.#kernel.settings.timing;
    return silentMs <= 2 * heartbeatMs ? link : undefined;
  }

  /** A link to a live peer: recently active, successfully probed or new. */
  async ensureAlive(vm: string): Promise<Result<Link, Refusal>> {
    const recent = this.recentlyActive(vm);
    if (recent !== undefined) return Ok(recent);
    const link = this.to(vm);
    if (link === undefined) return await this.connect(vm, OpenReason.Request);
    const alive = await link.probe(DIAL_TIMEOUT_MS, this.#use.digest());
    if (alive) return Ok(link);
    link.close(EndReason.Silent);
    return await this.connect(vm, OpenReason.Request);
  }

  /** The link to a peer; dials if there is none. */
  async connect(
    vm: string,
    opening: OpenReason,
  ): Promise<Result<Link, Refusal>> {
    const link = this.to(vm);
    if (link !== undefined) return Ok(link);
    const inFlight = this.#dialsInFlight.get(vm);
    if (inFlight !== undefined) return await inFlight;
    const dial = this.#dial(vm, opening);
    this.#dialsInFlight.set(vm, dial);
    try {
      return await dial;
    } finally {
      this.#dialsInFlight.delete(vm);
    }
  }

  /** Listens for peers; answers with the port. */
  async listen(listener: ListenAddress): Promise<number> {
    const server = createServer((socket) => void this.#accept(socket));
    server.maxConnections = MAX_PEER_CONNECTIONS;
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

  /** Closes all links and the listener. */
  async stop(): Promise<void> {
    this.#stopped = true;
    for (const link of this.all()) link.close(EndReason.Stopping);
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
      await this.#open(socket, { opening: OpenReason.Inbound });
    } catch {
      // The peer was not authenticated, and none of its requests has run.
      this.#metrics.dialFailed(DialFault.Handshake);
    }
  }

  async #open(socket: Socket, options: {
    opening: OpenReason;
    expected?: string;
  }): Promise<Link> {
    const { settings, incarnation, clock } = this.#kernel;
    const { opening, expected } = options;
    this.#sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("close", () => this.#sockets.delete(socket));
    const link = await openLink(socket, {
      side: opening === OpenReason.Inbound ? Side.Acceptor : Side.Dialler,
      secret: settings.peerSecret,
      vm: settings.vm,
      incarnation,
      expected,
      timeoutMs: DIAL_TIMEOUT_MS,
      clock,
      metrics: this.#metrics,
    });
    this.#metrics.linkOpened(opening);
    void this.#manage(link);
    return link;
  }

  // Registers a link after its handshake and serves it until it is closed.
  async #manage(link: Link): Promise<void> {
    const { vm } = link.peer;
    if (this.#stopped) return link.close(EndReason.Stopping);
    this.#links.set(vm, [...this.#links.get(vm) ?? [], link]);
    await this.#use.serveLink(link);
    const remaining = (this.#links.get(vm) ?? []).filter((it) => it !== link);
    if (remaining.length > 0) this.#links.set(vm, remaining);
    else this.#links.delete(vm);
  }

  async #dial(vm: string, opening: OpenReason): Promise<Result<Link, Refusal>> {
    const address = this.#use.addressOf(vm);
    if (address === undefined || this.#stopped) {
      return Err(unreachable(Verdict.NotRun, `Peer "${vm}" is not known`));
    }
    try {
      const socket = await this.#connectTo(address);
      return Ok(await this.#open(socket, { opening, expected: vm }));
    } catch (error) {
      // No request is sent before the handshake completes, hence `NotRun`.
      const fault = error instanceof DialError
        ? error.fault
        : DialFault.Handshake;
      this.#metrics.dialFailed(fault);
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
