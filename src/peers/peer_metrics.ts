/**
 * Metrics of the links to peers, and the enumerations that label them.
 *
 * @module
 */

import type { Counter } from "prom-client";
import type { Kernel } from "../kernel/mod.ts";

/** Kind of a frame's message; frames of unknown kind are ignored. */
export enum FrameKind {
  Ping = 1,
  Pong = 2,
  Ask = 3,
  Answer = 4,
  Refuse = 5,
  Members = 6,
  Sync = 7,
  Gossip = 8,
}

/** Why a link was closed. */
export enum EndReason {
  /** The peer was silent beyond its timeout or did not answer a probe. */
  Silent = "silent",
  /** Neither end used the link within the idle timeout. */
  Idle = "idle",
  /** The peer closed the connection or the connection broke. */
  Remote = "remote",
  /** A frame's signature was invalid: forged, replayed or out of order. */
  Forged = "forged",
  /** A frame was over the limit or malformed. */
  Protocol = "protocol",
  /** The peer reads too slowly: too many bytes are unsent. */
  Backlog = "backlog",
  /** This daemon was paused for longer than the peer silence timeout. */
  Paused = "away",
  /** This daemon is stopping. */
  Stopping = "stopping",
}

/** Why a link was opened. */
export enum OpenReason {
  /** The peer dialled it. */
  Inbound = "inbound",
  /** The peer is a neighbour. */
  Neighbour = "neighbour",
  /** A request to the peer needs it. */
  Request = "request",
  /** Discovery dialled a listed or dead daemon, or made first contact. */
  Candidate = "candidate",
}

/** Why an attempt to open a link failed. */
export enum DialFault {
  Unreachable = "unreachable",
  Handshake = "handshake",
  TimedOut = "timed_out",
}

/** Counts frames, bytes, links and membership changes. */
export class PeerMetrics {
  readonly #frames: Counter<"direction" | "kind">;
  readonly #bytes: Counter<"direction">;
  readonly #opened: Counter<"reason">;
  readonly #closed: Counter<"reason">;
  readonly #dialFailures: Counter<"reason">;
  readonly #late: Counter;
  readonly #pauses: Counter;
  readonly #changes: Counter<"status">;
  // Children by label values: looking them up costs more than counting a frame.
  readonly #frameCounters = new Map<string, { inc(): void }>();

  constructor(kernel: Kernel) {
    this.#frames = kernel.counter(
      "toucanwind_peer_frames_total",
      "Frames exchanged with peers",
      ["direction", "kind"],
    );
    this.#bytes = kernel.counter(
      "toucanwind_peer_bytes_total",
      "Bytes exchanged with peers",
      ["direction"],
    );
    this.#opened = kernel.counter(
      "toucanwind_peer_links_opened_total",
      "Links to peers opened",
      ["reason"],
    );
    this.#closed = kernel.counter(
      "toucanwind_peer_links_closed_total",
      "Links to peers closed",
      ["reason"],
    );
    this.#dialFailures = kernel.counter(
      "toucanwind_peer_dial_failures_total",
      "Links to peers that could not be opened",
      ["reason"],
    );
    this.#late = kernel.counter(
      "toucanwind_peer_late_answers_total",
      "Answers that came after their request was given up on",
    );
    this.#pauses = kernel.counter(
      "toucanwind_peer_wakes_total",
      "Pauses of this daemon longer than the bound on silence",
    );
    this.#changes = kernel.counter(
      "toucanwind_peer_member_changes_total",
      "Changes in what is known of members",
      ["status"],
    );
  }

  sent(kind: FrameKind, bytes: number): void {
    this.#count("out", kind, bytes);
  }

  /** Counts a received frame; an unknown kind is counted as `other`. */
  received(kind: FrameKind, bytes: number): void {
    this.#count("in", kind, bytes);
  }

  linkOpened(reason: OpenReason): void {
    this.#opened.inc({ reason });
  }

  closed(reason: EndReason): void {
    this.#closed.inc({ reason });
  }

  dialFailed(reason: DialFault): void {
    this.#dialFailures.inc({ reason });
  }

  late(): void {
    this.#late.inc();
  }

  resumedAfterPause(): void {
    this.#pauses.inc();
  }

  changed(status: string): void {
    this.#changes.inc({ status });
  }

  #count(direction: string, kind: FrameKind, bytes: number): void {
    const name = (FrameKind[kind] ?? "other").toLowerCase();
    const label = `${direction} ${name}`;
    let frames = this.#frameCounters.get(label);
    if (frames === undefined) {
      frames = this.#frames.labels(direction, name);
      this.#frameCounters.set(label, frames);
    }
    frames.inc();
    this.#bytes.inc({ direction }, bytes);
  }
}
