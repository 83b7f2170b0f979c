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
const EARLY_TURN = 0.7;

/** Gossip with the neighbours; each frame proves life as well. */
export class Gossip {
  readonly #sections = new Map<string, GossipSection>();
  readonly #poked = new Set<string>();
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
  turn(turnMs: number): void {
    const dueAt = this.#now() - EARLY_TURN * turnMs;
    for (const link of this.#neighbours()) {
      if (link.gossipedAt <= dueAt) this.#tell(link);
    }
  }

  /** Tells a section's news to all neighbours at once. */
  poke(section: string): void {
    const first = this.#poked.size === 0;
    this.#poked.add(section);
    if (first) void this.#tellPoked();
  }

  /** Tells a new link everything: what an earlier one took may be lost. */
  greet(link: Link): void {
    for (const section of this.#sections.values()) {
      section.forget?.(link.peer.vm);
    }
    this.#tell(link);
  }

  /** Takes in what a peer told. */
  hear(peer: string, sections: Readonly<Record<string, unknown>>): void {
    for (const [name, body] of Object.entries(sections)) {
      try {
        this.#sections.get(name)?.accept(body, peer);
      } catch (error) {
        // What a peer offers can't harm more than its own section.
        log("gossip_failed", { section: name, error: String(error) });
      }
    }
  }

  async #tellPoked(): Promise<void> {
    await setImmediate();
    const poked = [...this.#poked];
    this.#poked.clear();
    for (const link of this.#neighbours()) {
      const news = this.#offers(link, poked);
      if (Object.keys(news).length === 0) continue;
      // The frame is sent anyway: what else is new goes with it.
      this.#tell(link, news);
    }
  }

  #offers(link: Link, names: Iterable<string>): Record<string, unknown> {
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
  #tell(link: Link, news: Readonly<Record<string, unknown>> = {}): void {
    const rest = [...this.#sections.keys()].filter((name) => !(name in news));
    const sections = { ...news, ...this.#offers(link, rest) };
    link.gossipedAt = this.#now();
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
