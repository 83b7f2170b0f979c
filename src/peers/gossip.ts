/**
 * What plug-ins' gossip sections tell the neighbours, in turns and at once.
 *
 * @module
 */

import { setImmediate } from "node:timers/promises";
import { type GossipSection, logger } from "../kernel/mod.ts";
import type { Link } from "./link.ts";
import { FrameKind } from "./peer_metrics.ts";

const log = logger("peers");

/** Part of a turn after which gossip that was sent early counts as the turn. */
const MIN_ROUND_GAP_RATIO = 0.7;

/** Gossip with the neighbours; each frame proves life as well. */
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

  /** Adds a section. */
  add(name: string, section: GossipSection): void {
    this.#sections.set(name, section);
  }

  /** Tells each neighbour that wasn't told lately. */
  runRound(intervalMs: number): void {
    const lastSentBefore = this.#now() - MIN_ROUND_GAP_RATIO * intervalMs;
    for (const link of this.#neighbours()) {
      if (link.lastGossipAt <= lastSentBefore) this.#send(link);
    }
  }

  /** Tells a section's news to all neighbours at once. */
  sendNow(section: string): void {
    const first = this.#pendingSections.size === 0;
    this.#pendingSections.add(section);
    if (first) void this.#sendPending();
  }

  /** Tells a new link everything: what an earlier one took may be lost. */
  onNewLink(link: Link): void {
    for (const section of this.#sections.values()) {
      section.forget?.(link.peer.vm);
    }
    this.#send(link);
  }

  /** Takes in what a peer told. */
  receive(peer: string, sections: Readonly<Record<string, unknown>>): void {
    for (const [name, body] of Object.entries(sections)) {
      try {
        this.#sections.get(name)?.accept(body, peer);
      } catch (error) {
        // What a peer offers can't harm more than its own section.
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
      // The frame is sent anyway: what else is new goes with it.
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
        // One section at fault must not silence the proof of life.
        log("offer_failed", { section: name, error: String(error) });
      }
    }
    return offers;
  }

  // A neighbour's turn: everything that is new to it, and a proof of life.
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
      // Too much to tell at once; nothing of it was sent.
      log("gossip_not_sent", { error: String(error) });
      link.send({ kind: FrameKind.Gossip, digest, sections: {} });
    }
  }
}
