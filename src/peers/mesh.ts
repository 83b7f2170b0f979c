/**
 * The mesh of daemons. Each keeps links to a few neighbours, watches them, and
 * passes on what changes among the members; links to others are opened when a
 * request needs them and closed when idle.
 *
 * @module
 */

import { setImmediate } from "node:timers/promises";
import { connect, createServer, type Server, type Socket } from "node:net";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import {
  type GossipSection,
  type Kernel,
  logger,
  type PeerHandler,
  Reason,
  Refusal,
  register,
  Verdict,
} from "../kernel/mod.ts";
import { Role, type Vm } from "../platform/mod.ts";
import type { Listener } from "../settings/mod.ts";
import { Side } from "./handshake.ts";
import {
  cancelled,
  Link,
  type Message,
  openLink,
  unreachable,
} from "./link.ts";
import { type Member, Peers, peersKey } from "./mod.ts";
import { hash, neighbours, rank } from "./rendezvous.ts";
import { type MemberState, Roster, Status } from "./roster.ts";
import { Closing, DialFault, FrameKind, Opening, Traffic } from "./traffic.ts";
import { within } from "./within.ts";

const log = logger("peers");

const TICK_MS = 100;
/** Longest time for a connection and its handshake. */
const DIAL_TIMEOUT_MS = 400;
/** Wait between attempts to reach a lost neighbour. */
const REDIAL_MS = 250;
/** Time that a suspect has to refute. */
const SUSPICION_MS = 600;
/** A link unused for so long is closed. */
const IDLE_MS = 60_000;
/** Turns of gossip missed before a proof of life is asked for. */
const PING_TURNS = 1.5;
/** Part of a turn after which gossip that was sent early counts as the turn. */
const EARLY_TURN = 0.7;
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
/** Most connections from peers, proven or not. */
const MAX_CONNECTIONS = 4096;
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
  status: z.number().int().min(Status.Alive).max(Status.Left),
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
  readonly #traffic: Traffic;
  readonly #handlers = new Map<string, PeerHandler>();
  readonly #sections = new Map<string, GossipSection>();
  readonly #links = new Map<string, readonly Link[]>();
  readonly #dials = new Map<string, Promise<Result<Link, Refusal>>>();
  readonly #keeping = new Map<string, AbortController>();
  readonly #accusations = new Map<string, Accusation>();
  readonly #unlike = new Map<string, number>();
  readonly #listeners = new Set<() => void>();
  readonly #rankings = new Map<string, readonly Member[]>();
  readonly #sockets = new Set<Socket>();
  readonly #stopping = new AbortController();
  readonly #poked = new Set<string>();
  readonly #spreading = new Map<string, Change>();
  #listed: ReadonlyMap<string, Vm> = new Map();
  #roster: Roster;
  #server: Server | undefined;
  #generation = 0;
  #tickedAt = 0;
  #settled = false;
  #started = false;

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
    this.#traffic = new Traffic(kernel);
    this.#roster = this.#makeRoster(kernel.settings.peer.port);
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
    const ready = this.#linkTo(vm);
    if (ready !== undefined && this.#heardLately(ready)) {
      return await ready.ask(kind, body, options);
    }
    const deadline = this.#now() + options.timeoutMs;
    const { clock } = this.#kernel;
    const link = await within(this.#provenLink(vm), { ...options, clock });
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

  override poke(section: string): void {
    const first = this.#poked.size === 0;
    this.#poked.add(section);
    if (first) void this.#gossipPoked();
  }

  override settled(): boolean {
    const pause = this.#now() - this.#tickedAt;
    return this.#settled && pause <= this.#timing.peerSilenceMs;
  }

  override async start(): Promise<void> {
    for (const [, plugin] of this.#kernel.plugins) this.#serve(plugin.props);
    await this.#listen(this.#kernel.settings.peer);
    this.#tickedAt = this.#now();
    void this.#tick();
    void this.#gossip();
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
    for (const link of this.#allLinks()) link.close(Closing.Stopping);
    await this.#closeServer();
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

  #makeRoster(port: number): Roster {
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
    return new Roster({ self, now: this.#now() });
  }

  // Requests from peers

  #serve(props: {
    readonly peerHandlers?: Readonly<Record<string, PeerHandler>>;
    readonly gossip?: Readonly<Record<string, GossipSection>>;
  }): void {
    for (const [kind, handler] of Object.entries(props.peerHandlers ?? {})) {
      if (this.#handlers.has(kind)) {
        throw new RangeError(`Peer handler "${kind}" is there twice`);
      }
      this.#handlers.set(kind, handler);
    }
    for (const [name, section] of Object.entries(props.gossip ?? {})) {
      this.#sections.set(name, section);
    }
  }

  async #run(
    kind: string,
    body: unknown,
    from: string,
  ): Promise<Result<unknown, Refusal>> {
    const handler = this.#handlers.get(kind);
    if (handler === undefined) return Err(notUnderstood(kind));
    try {
      return Ok(await handler(body, from));
    } catch (error) {
      return Err(error instanceof Refusal ? error : failed(error));
    }
  }

  async #askSelf(kind: string, body: unknown, options: {
    timeoutMs: number;
    signal?: AbortSignal;
  }): Promise<Result<unknown, Refusal>> {
    const run = this.#run(kind, body, this.self.vm);
    const { clock } = this.#kernel;
    const answer = await within(run, { ...options, clock });
    if (answer !== undefined) return answer;
    if (options.signal?.aborted) return Err(cancelled(Verdict.MayHaveRun));
    return Err(
      unreachable(Verdict.MayHaveRun, "The daemon did not answer in time"),
    );
  }

  async #answer(link: Link, id: number, name: string, body: unknown) {
    const answer = await this.#run(name, body, link.peer.vm);
    try {
      if (answer.ok) {
        link.send({ kind: FrameKind.Answer, id, body: answer.val });
        return;
      }
      link.send({ kind: FrameKind.Refuse, id, refusal: { ...answer.val } });
    } catch (error) {
      // The handler ran, but its answer can't be encoded.
      link.send({ kind: FrameKind.Refuse, id, refusal: { ...failed(error) } });
    }
  }

  // Links

  async #listen(listener: Listener): Promise<void> {
    const server = createServer((socket) => void this.#accept(socket));
    server.maxConnections = MAX_CONNECTIONS;
    this.#server = server;
    await new Promise<void>((resolve, reject) => {
      server.once("error", reject);
      server.listen(listener.port, listener.host, resolve);
    });
    const address = server.address();
    if (address === null || typeof address === "string") return;
    this.#roster = this.#makeRoster(address.port);
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
    if (this.#stopping.signal.aborted) return link.close(Closing.Stopping);
    // What an earlier link took may not have arrived.
    for (const section of this.#sections.values()) section.forget?.(vm);
    this.#links.set(vm, [...this.#links.get(vm) ?? [], link]);
    link.send({ kind: FrameKind.Sync, digests: this.#roster.digests() });
    this.#gossipTo(link);
    await link.run((message) => this.#receive(link, message));
    const rest = (this.#links.get(vm) ?? []).filter((it) => it !== link);
    if (rest.length > 0) this.#links.set(vm, rest);
    else this.#links.delete(vm);
  }

  #receive(link: Link, message: Message): void {
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
        void this.#answer(link, message.id, message.name, message.body);
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
        this.#hearGossip(link, message.sections);
        break;
    }
  }

  #allLinks(): readonly Link[] {
    return [...this.#links.values()].flat();
  }

  // Both ends pick the same of two links: the one from the lesser VM id.
  #linkTo(vm: string): Link | undefined {
    const preferred = this.self.vm < vm ? Side.Dialler : Side.Acceptor;
    const links = (this.#links.get(vm) ?? []).filter((link) => link.open);
    return links.findLast((link) => link.side === preferred) ?? links.at(-1);
  }

  // A link that was heard lately; one that wasn't is proven or replaced.
  async #provenLink(vm: string): Promise<Result<Link, Refusal>> {
    const link = this.#linkTo(vm);
    if (link === undefined) return await this.#connect(vm, Opening.Request);
    if (this.#heardLately(link)) return Ok(link);
    const digest = this.#roster.digest();
    if (await link.prove(DIAL_TIMEOUT_MS, digest)) return Ok(link);
    link.close(Closing.Silent);
    return await this.#connect(vm, Opening.Request);
  }

  #heardLately(link: Link): boolean {
    return this.#now() - link.heardAt <= 2 * this.#timing.heartbeatMs;
  }

  async #connect(
    vm: string,
    opening: Opening,
  ): Promise<Result<Link, Refusal>> {
    const link = this.#linkTo(vm);
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

  async #dial(vm: string, opening: Opening): Promise<Result<Link, Refusal>> {
    const address = this.#listed.get(vm)?.address ??
      this.#roster.get(vm)?.member.address;
    if (address === undefined || this.#stopping.signal.aborted) {
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

  // Time

  async #tick(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      await this.#sleep(TICK_MS);
      const now = this.#now();
      this.#noticePause(now);
      this.#tickedAt = now;
      for (const link of this.#allLinks()) this.#watch(link, now);
      this.#record(this.#roster.expire(SUSPICION_MS, now), "");
    }
  }

  // After a pause, silence is this daemon's own and accuses nobody.
  #noticePause(now: number): void {
    const pauseMs = now - this.#tickedAt;
    if (pauseMs < this.#timing.heartbeatMs) return;
    this.#roster.postpone(now);
    for (const link of this.#allLinks()) link.watchedAt = now;
    if (pauseMs <= this.#timing.peerSilenceMs) return;
    log("woke", { pauseMs: Math.round(pauseMs) });
    this.#traffic.woke();
    this.#settled = false;
    for (const link of this.#allLinks()) link.close(Closing.Away);
    void this.#seekFirst();
  }

  #watch(link: Link, now: number): void {
    const { vm } = link.peer;
    const { heartbeatMs, peerSilenceMs } = this.#timing;
    const watched = this.#keeping.has(vm) && this.#linkTo(vm) === link;
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
      const link = await this.#connect(vm, Opening.Neighbour);
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
      const status = Status[state.status].toLowerCase();
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
    for (const link of this.#allLinks()) {
      const { vm } = link.peer;
      if (this.#linkTo(vm) !== link) continue;
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
      this.#connect(vm, Opening.Candidate)
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
        if (Math.random() < chance) void this.#connect(vm, Opening.Candidate);
      }
    }
  }

  // Daemons find each other by gossip too: calls of the platform's list don't
  // grow with their number.
  #listingMs(): number {
    const growth = Math.max(1, this.members().length / LISTERS);
    return this.#timing.directoryMs * growth;
  }

  // Listed or dead daemons that may be there again.
  #absent(): string[] {
    const dead = this.#roster.states()
      .filter((state) => state.status >= Status.Dead)
      .map((state) => state.member.vm);
    const unknown = [...this.#listed.keys()].filter((vm) =>
      this.#roster.get(vm) === undefined
    );
    return [...dead, ...unknown];
  }

  // Gossip

  async #gossip(): Promise<void> {
    const { heartbeatMs } = this.#timing;
    // Daemons started together don't gossip in step.
    await this.#sleep(hash(this.#kernel.incarnation) % heartbeatMs);
    while (!this.#stopping.signal.aborted) {
      const dueAt = this.#now() - EARLY_TURN * heartbeatMs;
      for (const link of this.#neighbourLinks()) {
        if (link.gossipedAt <= dueAt) this.#gossipTo(link);
      }
      await this.#sleep(heartbeatMs);
    }
  }

  async #gossipPoked(): Promise<void> {
    await setImmediate();
    const poked = [...this.#poked];
    this.#poked.clear();
    for (const link of this.#neighbourLinks()) {
      const news = this.#offers(link, poked);
      if (Object.keys(news).length === 0) continue;
      // The frame is sent anyway: what else is new goes with it.
      this.#gossipTo(link, news);
    }
  }

  #neighbourLinks(): readonly Link[] {
    return [...this.#keeping.keys()].flatMap((vm) => {
      const link = this.#linkTo(vm);
      return link === undefined ? [] : [link];
    });
  }

  #offers(link: Link, names: Iterable<string>): Record<string, unknown> {
    const offers: Record<string, unknown> = {};
    for (const name of names) {
      const body = this.#sections.get(name)?.offer(link.peer.vm);
      if (body !== undefined) offers[name] = body;
    }
    return offers;
  }

  // A neighbour's turn: everything that is new to it, and a proof of life.
  #gossipTo(link: Link, news: Readonly<Record<string, unknown>> = {}): void {
    const rest = [...this.#sections.keys()].filter((name) => !(name in news));
    const sections = { ...news, ...this.#offers(link, rest) };
    link.gossipedAt = this.#now();
    const digest = this.#roster.digest();
    link.send({ kind: FrameKind.Gossip, digest, sections });
  }

  #hearGossip(link: Link, sections: Readonly<Record<string, unknown>>): void {
    for (const [name, body] of Object.entries(sections)) {
      try {
        this.#sections.get(name)?.accept(body, link.peer.vm);
      } catch (error) {
        // What a peer offers can't harm more than its own section.
        log("gossip_failed", { section: name, error: String(error) });
      }
    }
  }
}

class DialError extends Error {
  readonly fault: DialFault;

  constructor(fault: DialFault) {
    super(fault);
    this.fault = fault;
  }
}

function notUnderstood(kind: string): Refusal {
  return new Refusal({
    verdict: Verdict.NotRun,
    reason: Reason.PeerFailed,
    message: `The peer does not know requests of kind "${kind}"`,
  });
}

function failed(error: unknown): Refusal {
  return new Refusal({
    verdict: Verdict.MayHaveRun,
    reason: Reason.PeerFailed,
    message: error instanceof Error ? error.message : String(error),
  });
}

register({
  key: peersKey,
  requires: [],
  create: (kernel) => new Mesh(kernel),
});
