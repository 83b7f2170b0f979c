/**
 * An authenticated connection to another daemon. A link is never repaired: on
 * any fault it is closed, and a new one replaces it.
 *
 * @module
 */

import { timingSafeEqual } from "node:crypto";
import { setMaxListeners } from "node:events";
import type { Socket } from "node:net";
import { Err, Ok, type Result } from "ts-results";
import { type Clock, Reason, Refusal, Verdict } from "../kernel/mod.ts";
import {
  codec,
  encodeFrame,
  FrameError,
  FrameReader,
  HEADER_BYTES,
  MAX_FRAME_BYTES,
} from "./frame.ts";
import {
  decode,
  type Hello,
  MAC_BYTES,
  performHandshake,
  type Session,
  Side,
  sign,
} from "./handshake.ts";
import type { MemberState } from "./membership_list.ts";
import { EndReason, FrameKind, type PeerMetrics } from "./peer_metrics.ts";

/** A link with more unsent bytes is closed, as its peer reads too slowly. */
export const MAX_UNSENT_BYTES = 16 * 1024 * 1024;

/** A refusal as encoded in a frame. */
export interface EncodedRefusal {
  readonly verdict: Verdict;
  readonly reason: Reason;
  readonly message: string;
  readonly retryAfterMs: number;
}

/** The decoded content of a frame. */
export type LinkMessage =
  | { readonly kind: FrameKind.Ping; readonly digest: number }
  | { readonly kind: FrameKind.Pong; readonly digest: number }
  | {
    readonly kind: FrameKind.Ask;
    readonly id: number;
    readonly name: string;
    readonly body: unknown;
  }
  | {
    readonly kind: FrameKind.Answer;
    readonly id: number;
    readonly body: unknown;
  }
  | {
    readonly kind: FrameKind.Refuse;
    readonly id: number;
    readonly refusal: EncodedRefusal;
  }
  | {
    readonly kind: FrameKind.Members;
    readonly states: readonly MemberState[];
  }
  | { readonly kind: FrameKind.Sync; readonly digests: readonly number[] }
  | {
    readonly kind: FrameKind.Gossip;
    readonly digest: number;
    readonly sections: Readonly<Record<string, unknown>>;
  };

type Settle = (result: Result<unknown, Refusal>) => void;

/** An authenticated connection to one peer. */
export class Link {
  readonly peer: Hello;
  readonly side: Side;
  /** When a frame was last received, on the monotonic clock. */
  lastReceivedAt: number;
  /** When a request last used the link, from either end; not for heartbeats. */
  lastUsedAt: number;
  /** When this end last sent gossip. */
  lastGossipAt = -Infinity;
  /** When this end last sent a ping. */
  lastPingAt = -Infinity;
  /** When the peer's last ping or gossip showed that it monitors this link. */
  lastMonitoredByPeerAt = -Infinity;
  /** Silence before this time is not counted; idle links may be silent. */
  silenceBaselineAt: number;
  /** Whether silence is counted also while no request is pending. */
  isMonitored = false;
  /** Aborts when the link is closed. */
  readonly signal: AbortSignal;
  /** Resolves when the link is closed. */
  readonly closed: Promise<EndReason>;
  readonly #socket: Socket;
  readonly #source: FrameSource;
  readonly #session: Session;
  readonly #clock: Clock;
  readonly #metrics: PeerMetrics;
  readonly #pending = new Map<number, Settle>();
  #receiveWaiters: (() => void)[] = [];
  #lastRequestId = 0;
  #sent = 0;
  #received = 0;
  #endReason: EndReason | undefined;
  readonly #end = new AbortController();
  #resolveClosed!: (reason: EndReason) => void;

  constructor(options: {
    socket: Socket;
    source: FrameSource;
    session: Session;
    side: Side;
    clock: Clock;
    metrics: PeerMetrics;
  }) {
    this.peer = options.session.peer;
    this.side = options.side;
    this.#socket = options.socket;
    this.#source = options.source;
    this.#session = options.session;
    this.#clock = options.clock;
    this.#metrics = options.metrics;
    this.lastReceivedAt = this.#clock.now();
    this.lastUsedAt = this.lastReceivedAt;
    this.silenceBaselineAt = this.lastReceivedAt;
    this.closed = new Promise((resolve) => this.#resolveClosed = resolve);
    this.signal = this.#end.signal;
    // Each request that a peer waits for may add a listener.
    setMaxListeners(0, this.signal);
    this.#source.reader.maxBytes = MAX_FRAME_BYTES + MAC_BYTES;
  }

  /** Whether the link is not closed yet. */
  get open(): boolean {
    return this.#endReason === undefined && !this.#socket.destroyed;
  }

  /** Number of requests that await an answer. */
  get pending(): number {
    return this.#pending.size;
  }

  /** Reads messages until the link is closed; passes on all but answers. */
  async run(receive: (message: LinkMessage) => void): Promise<void> {
    try {
      for (;;) {
        const signed = await this.#source.next();
        // Frames buffered behind the one that closed the link are not acted on:
        // their sender is notified that the link has ended.
        if (signed === undefined || this.#endReason !== undefined) break;
        const message = this.#verify(signed);
        this.lastReceivedAt = this.#clock.now();
        for (const resolve of this.#receiveWaiters.splice(0)) resolve();
        if (!this.#settleRequest(message)) receive(message);
      }
      this.close(EndReason.Remote);
    } catch (error) {
      this.close(
        error instanceof FrameError ? EndReason.Protocol : EndReason.Remote,
      );
    }
  }

  /** Sends a message; false if the link is closed and nothing was sent. */
  send(message: LinkMessage): boolean {
    if (!this.open) return false;
    if (this.#socket.writableLength > MAX_UNSENT_BYTES) {
      this.close(EndReason.Backlog);
      return false;
    }
    const content = codec.encode(message);
    if (content.length > MAX_FRAME_BYTES) {
      throw new FrameError(`Message of "${content.length}" bytes is too long`);
    }
    const mac = sign(this.#session.sendKey, this.#sent++, content);
    this.#socket.write(encodeFrame(mac, content));
    this.#metrics.sent(message.kind, HEADER_BYTES + MAC_BYTES + content.length);
    return true;
  }

  /** Sends a request; once it is written to the socket it may have run. */
  ask(name: string, body: unknown, options: {
    timeoutMs: number;
    signal?: AbortSignal;
  }): Promise<Result<unknown, Refusal>> {
    const { timeoutMs, signal } = options;
    const id = ++this.#lastRequestId;
    this.lastUsedAt = this.#clock.now();
    // On a monitored link, requests must not extend the time to detect silence.
    const idle = !this.isMonitored && this.#pending.size === 0;
    if (idle) this.silenceBaselineAt = this.lastUsedAt;
    if (signal?.aborted) {
      return Promise.resolve(Err(cancelled(Verdict.NotRun)));
    }
    return new Promise((resolve) => {
      const settle: Settle = (result) => {
        if (!this.#pending.delete(id)) return;
        cancelTimer();
        signal?.removeEventListener("abort", abort);
        this.lastUsedAt = this.#clock.now();
        resolve(result);
      };
      const abort = () => settle(Err(cancelled(Verdict.MayHaveRun)));
      const cancelTimer = this.#clock.after(timeoutMs, () =>
        settle(Err(
          unreachable(Verdict.MayHaveRun, "The peer did not answer in time"),
        )));
      this.#pending.set(id, settle);
      signal?.addEventListener("abort", abort, { once: true });
      const failure = this.#trySend({ kind: FrameKind.Ask, id, name, body });
      if (failure !== undefined) settle(Err(failure));
    });
  }

  /** Requests a heartbeat from the peer. */
  ping(digest: number): void {
    this.lastPingAt = this.#clock.now();
    this.send({ kind: FrameKind.Ping, digest });
  }

  /** Pings the peer; whether any frame arrives within `timeoutMs`. */
  async probe(timeoutMs: number, digest: number): Promise<boolean> {
    const abort = new AbortController();
    const received = new Promise<boolean>((resolve) =>
      this.#receiveWaiters.push(() => resolve(true))
    );
    this.ping(digest);
    const late = this.#clock.sleep(timeoutMs, abort.signal).then(() => false);
    const alive = await Promise.race([
      received,
      late,
      this.closed.then(() => false),
    ]);
    abort.abort();
    return alive;
  }

  /** How long the peer has been silent although frames are expected from it. */
  silentMs(now: number): number {
    if (!this.isMonitored && this.#pending.size === 0) return 0;
    return now - Math.max(this.lastReceivedAt, this.silenceBaselineAt);
  }

  /** Closes the link; fails pending requests, which may have run. */
  close(reason: EndReason): void {
    if (this.#endReason !== undefined) return;
    this.#endReason = reason;
    if (reason === EndReason.Stopping || reason === EndReason.Idle) {
      this.#socket.end();
      this.#socket.destroySoon();
    } else {
      this.#socket.destroy();
    }
    const failure = unreachable(
      Verdict.MayHaveRun,
      `The link to the peer ended, reason "${reason}"`,
    );
    for (const settle of [...this.#pending.values()]) settle(Err(failure));
    this.#metrics.closed(reason);
    this.#resolveClosed(reason);
    this.#end.abort();
  }

  #trySend(message: LinkMessage): Refusal | undefined {
    try {
      if (this.send(message)) return undefined;
      return unreachable(Verdict.NotRun, "The link to the peer has ended");
    } catch (error) {
      // Encoding failed, so nothing was written to the socket.
      return new Refusal({
        verdict: Verdict.NotRun,
        reason: Reason.Internal,
        message: `The request can't be sent: ${String(error)}`,
      });
    }
  }

  #verify(signed: Buffer): LinkMessage {
    const mac = signed.subarray(0, MAC_BYTES);
    const content = signed.subarray(MAC_BYTES);
    const wanted = sign(this.#session.receiveKey, this.#received++, content);
    if (mac.length !== MAC_BYTES || !timingSafeEqual(mac, wanted)) {
      this.close(EndReason.Forged);
      throw new FrameError(
        "Frame signature is invalid: frame is forged or out of order",
      );
    }
    const message = decode(content) as LinkMessage;
    if (typeof message?.kind !== "number") {
      throw new FrameError("Frame has no kind");
    }
    this.#metrics.received(message.kind, HEADER_BYTES + signed.length);
    return message;
  }

  // Settles the request that the message answers, if it is an answer; an answer
  // without a pending request is dropped.
  #settleRequest(message: LinkMessage): boolean {
    if (message.kind === FrameKind.Answer) {
      this.#resolvePending(message.id, Ok(message.body));
      return true;
    }
    if (message.kind === FrameKind.Refuse) {
      this.#resolvePending(message.id, Err(decodeRefusal(message.refusal)));
      return true;
    }
    return false;
  }

  #resolvePending(id: number, result: Result<unknown, Refusal>): void {
    const settle = this.#pending.get(id);
    if (settle === undefined) return this.#metrics.late();
    settle(result);
  }
}

/** Reads frames from a socket. */
export class FrameSource {
  readonly reader = new FrameReader();
  readonly #chunks: AsyncIterator<Buffer>;

  constructor(socket: Socket) {
    this.#chunks = socket[Symbol.asyncIterator]();
  }

  /** The next frame's content, or `undefined` at the end of the stream. */
  async next(): Promise<Buffer | undefined> {
    for (;;) {
      const content = this.reader.next();
      if (content !== undefined) return content;
      const { done, value } = await this.#chunks.next();
      if (done) return undefined;
      this.reader.push(value);
    }
  }
}

/** Opens a link on a connected socket; throws if the handshake fails. */
export async function openLink(socket: Socket, options: {
  side: Side;
  secret: string;
  vm: string;
  incarnation: string;
  expected?: string;
  versions?: { readonly min: number; readonly max: number };
  timeoutMs: number;
  clock: Clock;
  metrics: PeerMetrics;
}): Promise<Link> {
  const { clock, metrics, side } = options;
  const source = new FrameSource(socket);
  const cancel = clock.after(options.timeoutMs, () => socket.destroy());
  try {
    const channel = {
      send: (bytes: Buffer) => void socket.write(bytes),
      receive: async () => {
        const content = await source.next();
        if (content === undefined) throw new FrameError("Connection ended");
        return content;
      },
    };
    const session = await performHandshake(channel, options);
    return new Link({ socket, source, session, side, clock, metrics });
  } catch (error) {
    socket.destroy();
    throw error;
  } finally {
    cancel();
  }
}

// An unknown verdict is treated as `MayHaveRun`, the worse one.
function decodeRefusal(sent: EncodedRefusal): Refusal {
  return new Refusal({
    verdict: sent.verdict === Verdict.NotRun
      ? Verdict.NotRun
      : Verdict.MayHaveRun,
    reason: sent.reason,
    message: sent.message,
    retryAfterMs: sent.retryAfterMs,
  });
}

/** The refusal of a request whose peer can't be reached. */
export function unreachable(verdict: Verdict, message: string): Refusal {
  return new Refusal({ verdict, reason: Reason.PeerUnreachable, message });
}

/** The refusal of a request that was cancelled by its sender. */
export function cancelled(verdict: Verdict): Refusal {
  return new Refusal({
    verdict,
    reason: Reason.Cancelled,
    message: "The request was cancelled",
  });
}
