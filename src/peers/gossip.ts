/**
 * Gossip with the neighbours: sends the plug-ins' sections in periodic rounds,
 * and single sections at once on request.
 *
 * @module
 */

import { setImmediate } from "node:timers/promises";
import { type GossipSection, logger } from "../kernel/mod.ts";
import type { Link } from "./link.ts";
import { FrameKind } from "./peer_metrics.ts";

const log = logger("peers");

/**
 * Gossip sent to a neighbour less than this fraction of the interval before a
 * round replaces that round's message.
 */
const MIN_ROUND_GAP_RATIO = 0.7;

/** Exchanges gossip sections; each message serves as a heartbeat as well. */
export class Gossip {
  readonly #sections = new Map<string, GossipSection>();
  readonly #pendingSections = new Set<string>();
  readonly #neighbours: () => readonly Link[];
  readonly #digest: () => number;
  readonly #now: () => number;

  constructor(options: {
    neighbours: () => readonly Link[];
    digest: () => number;
    now: () => number;
  }) {
    this.#neighbours = options.neighbours;
    this.#digest = options.digest;
    this.#now = options.now;
  }

  add(name: string, section: GossipSection): void {
    this.#sections.set(name, section);
  }

  /** Sends gossip to each neighbour that was not sent any recently. */
  runRound(intervalMs: number): void {
    const lastSentBefore = this.#now() - MIN_ROUND_GAP_RATIO * intervalMs;
    for (const link of this.#neighbours()) {
      if (link.lastGossipAt <= lastSentBefore) this.#send(link);
    }
  }

  /** Sends a section's updates to all neighbours, without awaiting a round. */
  sendNow(section: string): void {
    const first = this.#pendingSections.size === 0;
    this.#pendingSections.add(section);
    if (first) void this.#sendPending();
  }

  /** Sends all sections anew: gossip on an earlier link may have been lost. */
  onNewLink(link: Link): void {
    for (const section of this.#sections.values()) {
      section.forget?.(link.peer.vm);
    }
    this.#send(link);
  }

  /** Passes the sections received from a peer to their plug-ins. */
  receive(peer: string, sections: Readonly<Record<string, unknown>>): void {
    for (const [name, body] of Object.entries(sections)) {
      try {
        this.#sections.get(name)?.accept(body, peer);
      } catch (error) {
        // A malformed section must not affect the others.
        log("gossip_failed", { section: name, error: String(error) });
      }
    }
  }

  async #sendPending(): Promise<void> {
    await setImmediate();
    const names = [...this.#pendingSections];
    this.#pendingSections.clear();
    for (const link of this.#neighbours()) {
      const offers = this.#collectOffers(link, names);
      if (Object.keys(offers).length === 0) continue;
      // A frame is sent anyway, so updates of the other sections are added.
      this.#send(link, offers);
    }
  }

  #collectOffers(link: Link, names: Iterable<string>): Record<string, unknown> {
    const offers: Record<string, unknown> = {};
    for (const name of names) {
      try {
        const body = this.#sections.get(name)?.offer(link.peer.vm);
        if (body !== undefined) offers[name] = body;
      } catch (error) {
        // A failing section must not suppress the heartbeat.
        log("offer_failed", { section: name, error: String(error) });
      }
    }
    return offers;
  }

  // Sends all updates for a neighbour, or an empty message as a heartbeat.
  #send(link: Link, collected: Readonly<Record<string, unknown>> = {}): void {
    const remaining = [...this.#sections.keys()].filter((name) =>
      !(name in collected)
    );
    const sections = { ...collected, ...this.#collectOffers(link, remaining) };
    link.lastGossipAt = this.#now();
    const digest = this.#digest();
    try {
      link.send({ kind: FrameKind.Gossip, digest, sections });
    } catch (error) {
      // Over the frame limit or not encodable, so nothing was sent. A
      // heartbeat is still needed.
      log("gossip_not_sent", { error: String(error) });
      link.send({ kind: FrameKind.Gossip, digest, sections: {} });
    }
  }
}
