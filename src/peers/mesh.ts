/**
 * The mesh of daemons. Each keeps links to a few neighbours, watches them, and
 * passes on what changes among the members; links to others are opened when a
 * request needs them and closed when idle.
 *
 * @module
 */

import { Err, type Result } from "ts-results";
import { z } from "zod";
import {
  type Kernel,
  logger,
  type Props,
  type Refusal,
  register,
  Verdict,
} from "../kernel/mod.ts";
import { Role, type Vm } from "../outside/mod.ts";
import { Gossip } from "./gossip.ts";
import { RequestHandlers } from "./request_handlers.ts";
import { cancelled, type Link, type Message, unreachable } from "./link.ts";
import { LinkManager } from "./link_manager.ts";
import { type Member, Peers, peersKey } from "./mod.ts";
import { hash, neighbours, rank } from "./rendezvous.ts";
import {
  Liveness,
  MembershipList,
  type MemberState,
} from "./membership_list.ts";
import { Closing, FrameKind, Opening, PeerMetrics } from "./peer_metrics.ts";
import { withTimeout } from "./with_timeout.ts";

const log = logger("peers");

const TICK_MS = 100;
/** Wait between attempts to reach a lost neighbour. */
const REDIAL_MS = 250;
/** Time that a suspect has to refute. */
const SUSPICION_MS = 600;
/** A link unused for so long is closed. */
const IDLE_MS = 60_000;
/** Turns of gossip missed before a proof of life is asked for. */
const PING_TURNS = 1.5;
/** Wait that lets changes of members leave in one message. */
const SPREAD_MS = 10;
/** How often daemons that are listed or dead are tried. */
const SEEK_MS = 1000;
/** Attempts a second at one absent daemon, over all daemons. */
const SEEKERS = 8;
/** Daemons with whom the platform's list is read ever more seldom. */
const LISTERS = 8;
/** Successive pings with another digest before the rosters are compared. */
const PATIENT_PINGS = 3;
/** First wait before a daemon that refuted is accused again; doubles. */
const ACCUSE_AGAIN_MS = 5000;
const MAX_ACCUSE_AGAIN_MS = 60_000;
/** Most names whose ranking is kept. */
const MAX_RANKINGS = 20_000;
/** Longest that the start waits for first contact. */
const FIRST_CONTACT_MS = 1500;

const memberStateSchema: z.ZodType<MemberState> = z.object({
  member: z.object({
    vm: z.string(),
    incarnation: z.string(),
    address: z.string(),
    http: z.string(),
    availabilityZone: z.string(),
    leaving: z.boolean(),
  }),
  counter: z.number().int().nonnegative(),
  status: z.number().int().min(Liveness.Alive).max(Liveness.Left),
});

interface Accusation {
  readonly counter: number;
  readonly waitMs: number;
  readonly until: number;
}

interface Change {
  readonly state: MemberState;
  /** The peer that told of it; empty for this daemon's own finding. */
  readonly from: string;
}

/** Membership and links among the daemons. */
export class Mesh extends Peers {
  override readonly props = {
    status: () => ({
      self: this.self,
      members: this.members(),
      neighbours: [...this.#keeping.keys()],
      settled: this.settled(),
    }),
    ready: () => this.#started,
  };
  readonly #kernel: Kernel;
  readonly #traffic: PeerMetrics;
  readonly #links: LinkManager;
  readonly #gossip: Gossip;
  readonly #handlers = new RequestHandlers();
  readonly #keeping = new Map<string, AbortController>();
  readonly #accusations = new Map<string, Accusation>();
  readonly #unlike = new Map<string, number>();
  readonly #listeners = new Set<() => void>();
  readonly #rankings = new Map<string, readonly Member[]>();
  readonly #stopping = new AbortController();
  readonly #spreading = new Map<string, Change>();
  #listed: ReadonlyMap<string, Vm> = new Map();
  #roster: MembershipList;
  #generation = 0;
  #tickedAt = 0;
  #settled = false;
  #started = false;

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
    this.#traffic = new PeerMetrics(kernel);
    this.#roster = this.#makeRoster(kernel.settings.peer.port);
    const digest = () => this.#roster.digest();
    const use = {
      addressOf: (vm: string) => this.#addressOf(vm),
      attend: (link: Link) => this.#attend(link),
      digest,
    };
    this.#links = new LinkManager({ kernel, traffic: this.#traffic, use });
    this.#gossip = new Gossip({
      neighbours: () => this.#neighbourLinks(),
      digest,
      now: () => this.#now(),
    });
    const members = kernel.gauge(
      "toucanwind_peer_members",
      "Daemons thought alive, this one included",
    );
    members.set(1);
    this.onChange(() => members.set(this.members().length));
  }

  get self(): Member {
    return this.#roster.self.member;
  }

  members(): readonly Member[] {
    return this.#roster.live();
  }

  ranked(name: string): readonly Member[] {
    let ranking = this.#rankings.get(name);
    if (ranking === undefined) {
      if (this.#rankings.size >= MAX_RANKINGS) this.#rankings.clear();
      const staying = this.members().filter((member) => !member.leaving);
      ranking = rank(staying.length > 0 ? staying : this.members(), name);
      this.#rankings.set(name, ranking);
    }
    return ranking;
  }

  async ask(vm: string, kind: string, body: unknown, options: {
    timeoutMs: number;
    signal?: AbortSignal;
  }): Promise<Result<unknown, Refusal>> {
    if (options.signal?.aborted) return Err(cancelled(Verdict.NotRun));
    if (vm === this.self.vm) return await this.#askSelf(kind, body, options);
    const ready = this.#links.lately(vm);
    if (ready !== undefined) return await ready.ask(kind, body, options);
    const deadline = this.#now() + options.timeoutMs;
    const { clock } = this.#kernel;
    const link = await withTimeout(this.#links.proven(vm), {
      ...options,
      clock,
    });
    if (link === undefined) {
      return Err(unreachable(Verdict.NotRun, "The peer can't be reached"));
    }
    if (link.err) return Err(link.val);
    return await link.val.ask(kind, body, {
      ...options,
      timeoutMs: Math.max(0, deadline - this.#now()),
    });
  }

  onChange(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  override gossipNow(section: string): void {
    this.#gossip.poke(section);
  }

  override settled(): boolean {
    return this.#settled && !this.#pausedLong();
  }

  override async start(): Promise<void> {
    for (const [, plugin] of this.#kernel.plugins) this.#serve(plugin.props);
    const port = await this.#links.listen(this.#kernel.settings.peer);
    this.#roster = this.#makeRoster(port);
    this.#tickedAt = this.#now();
    void this.#tick();
    void this.#takeTurns();
    const contact = this.#seekFirst();
    void contact.then(() => this.#seek());
    await Promise.race([contact, this.#sleep(FIRST_CONTACT_MS)]);
    this.#started = true;
  }

  override open(): Promise<void> {
    this.#announce(false);
    return Promise.resolve();
  }

  override leave(): Promise<void> {
    this.#announce(true);
    return Promise.resolve();
  }

  override async stop(): Promise<void> {
    this.#record([this.#roster.leave(this.#now())], "");
    this.#flush();
    this.#stopping.abort();
    for (const keep of this.#keeping.values()) keep.abort();
    await this.#links.stop();
  }

  get #timing() {
    return this.#kernel.settings.timing;
  }

  #now(): number {
    return this.#kernel.clock.now();
  }

  #sleep(delayMs: number): Promise<void> {
    return this.#kernel.clock.sleep(delayMs, this.#stopping.signal);
  }

  #makeRoster(port: number): MembershipList {
    const { settings, incarnation } = this.#kernel;
    const self = {
      vm: settings.vm,
      incarnation,
      address: `${settings.peer.host}:${port}`,
      http: `${settings.http.host}:${settings.http.port}`,
      availabilityZone: settings.availabilityZone,
      // Owns nothing before all plug-ins can serve what is owned.
      leaving: true,
    };
    return new MembershipList({ self, now: this.#now() });
  }

  // Requests

  #serve(props: Props): void {
    for (const [kind, handler] of Object.entries(props.peerHandlers ?? {})) {
      this.#handlers.add(kind, handler);
    }
    for (const [name, section] of Object.entries(props.gossip ?? {})) {
      this.#gossip.add(name, section);
    }
  }

  async #askSelf(kind: string, body: unknown, options: {
    timeoutMs: number;
    signal?: AbortSignal;
  }): Promise<Result<unknown, Refusal>> {
    const run = this.#handlers.run(kind, body, this.self.vm);
    const { clock } = this.#kernel;
    const answer = await withTimeout(run, { ...options, clock });
    if (answer !== undefined) return answer;
    if (options.signal?.aborted) return Err(cancelled(Verdict.MayHaveRun));
    return Err(
      unreachable(Verdict.MayHaveRun, "The daemon did not answer in time"),
    );
  }

  // Links

  // Uses a link until it ends.
  async #attend(link: Link): Promise<void> {
    link.send({ kind: FrameKind.Sync, digests: this.#roster.digests() });
    this.#gossip.greet(link);
    await link.run((message) => this.#receive(link, message));
  }

  #neighbourLinks(): readonly Link[] {
    return [...this.#keeping.keys()].flatMap((vm) => {
      const link = this.#links.to(vm);
      return link === undefined ? [] : [link];
    });
  }

  #receive(link: Link, message: Message): void {
    // What lay in a buffer while this daemon was paused is not acted on: its
    // sender has given up on it.
    if (this.#pausedLong()) return this.#noticePause(this.#now());
    switch (message.kind) {
      case FrameKind.Ping:
        link.watcherHeardAt = this.#now();
        link.send({ kind: FrameKind.Pong, digest: this.#roster.digest() });
        this.#compare(link, message.digest);
        break;
      case FrameKind.Pong:
        this.#compare(link, message.digest);
        break;
      case FrameKind.Ask:
        link.usedAt = this.#now();
        void this.#handlers.answer(link, message);
        break;
      case FrameKind.Sync:
        this.#sync(link, message.digests);
        break;
      case FrameKind.Members:
        this.#hear(link, message.states);
        break;
      case FrameKind.Gossip:
        link.watcherHeardAt = this.#now();
        this.#compare(link, message.digest);
        this.#gossip.hear(link.peer.vm, message.sections);
        break;
    }
  }

  // Time

  async #takeTurns(): Promise<void> {
    const { heartbeatMs } = this.#timing;
    // Daemons started together don't gossip in step.
    await this.#sleep(hash(this.#kernel.incarnation) % heartbeatMs);
    while (!this.#stopping.signal.aborted) {
      this.#gossip.turn(heartbeatMs);
      await this.#sleep(heartbeatMs);
    }
  }

  async #tick(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      await this.#sleep(TICK_MS);
      const now = this.#now();
      this.#noticePause(now);
      for (const link of this.#links.all()) this.#watch(link, now);
      this.#record(this.#roster.expire(SUSPICION_MS, now), "");
    }
  }

  #pausedLong(): boolean {
    return this.#now() - this.#tickedAt > this.#timing.peerSilenceMs;
  }

  // After a pause, silence is this daemon's own and accuses nobody.
  #noticePause(now: number): void {
    const pauseMs = now - this.#tickedAt;
    this.#tickedAt = now;
    if (pauseMs < this.#timing.heartbeatMs) return;
    this.#roster.postpone(now);
    for (const link of this.#links.all()) link.watchedAt = now;
    if (pauseMs <= this.#timing.peerSilenceMs) return;
    log("woke", { pauseMs: Math.round(pauseMs) });
    this.#traffic.woke();
    this.#settled = false;
    for (const link of this.#links.all()) link.close(Closing.Away);
    void this.#seekFirst();
  }

  #watch(link: Link, now: number): void {
    const { vm } = link.peer;
    const { heartbeatMs, peerSilenceMs } = this.#timing;
    const watched = this.#keeping.has(vm) && this.#links.to(vm) === link;
    if (watched && !link.watched) link.watchedAt = now;
    link.watched = watched;
    if (link.silenceMs(now) > peerSilenceMs) return link.close(Closing.Silent);
    const used = Math.max(link.usedAt, link.watcherHeardAt);
    if (!watched && link.pending === 0) {
      if (now - used > IDLE_MS) link.close(Closing.Idle);
      return;
    }
    // Neighbours gossip each turn, which proves enough; what is left are links
    // that only this end cares for.
    const provenAt = Math.max(link.pingedAt, link.heardAt);
    if (now - provenAt > PING_TURNS * heartbeatMs) {
      link.ping(this.#roster.digest());
    }
  }

  // Neighbours

  #chooseNeighbours(): void {
    const vms = this.members().map((member) => member.vm);
    const wanted = neighbours(this.self.vm, vms);
    for (const [vm, keep] of this.#keeping) {
      if (wanted.has(vm)) continue;
      keep.abort();
      this.#keeping.delete(vm);
    }
    if (this.#stopping.signal.aborted) return;
    for (const vm of wanted) {
      if (this.#keeping.has(vm)) continue;
      const keep = new AbortController();
      this.#keeping.set(vm, keep);
      void this.#keep(vm, keep.signal);
    }
  }

  // The task of one neighbour: a link to it, and a word when there is none.
  async #keep(vm: string, signal: AbortSignal): Promise<void> {
    const ended = new Promise<void>((resolve) =>
      signal.addEventListener("abort", () => resolve(), { once: true })
    );
    while (!signal.aborted) {
      const link = await this.#links.connect(vm, Opening.Neighbour);
      if (signal.aborted) return;
      if (link.ok) {
        const openedAt = this.#now();
        await Promise.race([link.val.closed, ended]);
        if (this.#now() - openedAt > REDIAL_MS) continue;
      } else {
        this.#accuse(vm);
      }
      await this.#kernel.clock.sleep(REDIAL_MS, signal);
    }
  }

  #accuse(vm: string): void {
    const now = this.#now();
    const state = this.#roster.get(vm);
    const past = this.#accusations.get(vm);
    const refuted = past !== undefined && state !== undefined &&
      state.counter > past.counter;
    if (refuted && now < past.until) return;
    const change = this.#roster.suspect(vm, now);
    if (change === undefined) return;
    const waitMs = refuted
      ? Math.min(2 * past.waitMs, MAX_ACCUSE_AGAIN_MS)
      : ACCUSE_AGAIN_MS;
    this.#accusations.set(vm, {
      counter: change.counter,
      waitMs,
      until: now + waitMs,
    });
    this.#record([change], "");
  }

  // Members

  #announce(leaving: boolean): void {
    if (this.self.leaving === leaving) return;
    const self = { ...this.self, leaving };
    this.#record([this.#roster.announce(self, this.#now())], "");
    this.#flush();
  }

  #hear(link: Link, states: unknown): void {
    const parsed = z.array(memberStateSchema).safeParse(states);
    if (!parsed.success) return link.close(Closing.Protocol);
    this.#settled = true;
    const changes = this.#roster.merge(parsed.data, this.#now());
    this.#record(changes, link.peer.vm);
  }

  #sync(link: Link, digests: readonly number[]): void {
    const states = this.#roster.differing(digests);
    if (states.length === 0) this.#settled = true;
    // Sent also when empty buckets differ, so that the peer may settle.
    link.send({ kind: FrameKind.Members, states });
  }

  #compare(link: Link, digest: number): void {
    const { vm } = link.peer;
    if (digest === this.#roster.digest()) {
      this.#unlike.delete(vm);
      return;
    }
    const pings = (this.#unlike.get(vm) ?? 0) + 1;
    this.#unlike.set(vm, pings % PATIENT_PINGS);
    if (pings < PATIENT_PINGS) return;
    link.send({ kind: FrameKind.Sync, digests: this.#roster.digests() });
  }

  // Takes note of changes and lets the neighbours know shortly.
  #record(changes: readonly MemberState[], from: string): void {
    if (changes.length === 0) return;
    if (this.#spreading.size === 0) {
      this.#kernel.clock.after(SPREAD_MS, () => this.#flush());
    }
    for (const state of changes) {
      this.#spreading.set(state.member.vm, { state, from });
      const status = Liveness[state.status].toLowerCase();
      this.#traffic.changed(status);
      log("member", { vm: state.member.vm, status });
    }
    this.#noticeMembers();
  }

  #noticeMembers(): void {
    if (this.#roster.generation === this.#generation) return;
    this.#generation = this.#roster.generation;
    this.#rankings.clear();
    for (const known of [this.#accusations, this.#unlike]) {
      for (const vm of known.keys()) {
        if (this.#roster.get(vm) === undefined) known.delete(vm);
      }
    }
    this.#chooseNeighbours();
    for (const listener of this.#listeners) listener();
  }

  #flush(): void {
    const changes = [...this.#spreading.values()];
    this.#spreading.clear();
    if (changes.length === 0) return;
    for (const link of this.#links.all()) {
      const { vm } = link.peer;
      if (this.#links.to(vm) !== link) continue;
      const near = this.#keeping.has(vm);
      // Whoever is linked hears of this daemon itself, neighbour or not: one
      // that has just started doesn't know its neighbours yet.
      const states = changes
        .filter(({ state, from }) =>
          from !== vm && (near || state.member.vm === this.self.vm)
        )
        .map(({ state }) => state);
      if (states.length > 0) link.send({ kind: FrameKind.Members, states });
    }
  }

  // Candidates

  async #readDirectory(): Promise<void> {
    const listed = await this.#kernel.platform.directory.list();
    if (listed.err) return;
    const entries = listed.val.filter((vm) =>
      vm.role === Role.Entry && vm.id !== this.self.vm
    );
    this.#listed = new Map(entries.map((vm) => [vm.id, vm]));
  }

  // Dials a few daemons at once; done when all of them answered or failed.
  async #seekFirst(): Promise<void> {
    await this.#readDirectory();
    const known = this.#absent().concat(this.members().map(({ vm }) => vm));
    const others = rank(
      known.filter((vm) => vm !== this.self.vm).map((vm) => ({ vm })),
      this.#kernel.incarnation,
    );
    const dials = others.slice(0, SEEKERS).map(({ vm }) =>
      this.#links.connect(vm, Opening.Candidate)
    );
    const links = await Promise.all(dials);
    if (links.every((link) => link.err)) this.#settled = true;
  }

  async #seek(): Promise<void> {
    let listedAt = this.#now();
    while (!this.#stopping.signal.aborted) {
      await this.#sleep(SEEK_MS);
      if (this.#now() - listedAt >= this.#listingMs()) {
        listedAt = this.#now();
        await this.#readDirectory();
      }
      const chance = SEEKERS / this.members().length;
      for (const vm of this.#absent()) {
        if (Math.random() < chance) {
          void this.#links.connect(vm, Opening.Candidate);
        }
      }
    }
  }

  // Daemons find each other by gossip too: calls of the platform's list don't
  // grow with their number.
  #listingMs(): number {
    const growth = Math.max(1, this.members().length / LISTERS);
    return this.#timing.directoryMs * growth;
  }

  #addressOf(vm: string): string | undefined {
    return this.#listed.get(vm)?.address ??
      this.#roster.get(vm)?.member.address;
  }

  // Listed or dead daemons that may be there again.
  #absent(): string[] {
    const dead = this.#roster.states()
      .filter((state) => state.status >= Liveness.Dead)
      .map((state) => state.member.vm);
    const unknown = [...this.#listed.keys()].filter((vm) =>
      this.#roster.get(vm) === undefined
    );
    return [...dead, ...unknown];
  }
}

register({
  key: peersKey,
  requires: [],
  create: (kernel) => new Mesh(kernel),
});
