/**
 * The mesh of daemons. Each one keeps links to a few neighbours, monitors them,
 * and passes membership changes on; links to other daemons are opened for
 * requests and closed when idle.
 *
 * @module
 */

import { setMaxListeners } from "node:events";
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
import { cancelled, type Link, type LinkMessage, unreachable } from "./link.ts";
import { LinkManager } from "./link_manager.ts";
import { type Member, Peers, peersKey } from "./mod.ts";
import { hash, neighbours, rank, rankForDuty } from "./rendezvous.ts";
import {
  Liveness,
  MembershipList,
  type MemberState,
} from "./membership_list.ts";
import {
  EndReason,
  FrameKind,
  OpenReason,
  PeerMetrics,
} from "./peer_metrics.ts";
import { withTimeout } from "./with_timeout.ts";

const log = logger("peers");

/** Interval of the checks of links, suspicions and pauses. */
const CHECK_INTERVAL_MS = 100;
/** Delay between attempts to dial a neighbour without a link. */
const REDIAL_DELAY_MS = 250;
/** Time that a suspect has to refute before it is declared dead. */
const SUSPICION_TIMEOUT_MS = 600;
/** A link that is unused for this long is closed. */
const IDLE_TIMEOUT_MS = 60_000;
/** Heartbeat intervals of silence after which a ping is sent. */
const PING_AFTER_HEARTBEATS = 1.5;
/** Delay in which membership changes are combined into one message. */
const CHANGE_COALESCING_MS = 10;
/** Interval of the attempts to dial daemons that are listed or dead. */
const DISCOVERY_INTERVAL_MS = 1000;
/**
 * Mean number of dials per interval to one absent daemon, from all daemons
 * together; also the maximum number of dials for first contact.
 */
const DISCOVERY_DIAL_COUNT = 8;
/** With more members, each reads the platform's list at longer intervals. */
const FULL_RATE_LISTING_MEMBERS = 8;
/** Successive messages with a different digest before a sync is requested. */
const MISMATCHES_BEFORE_SYNC = 3;
/** First delay before a daemon that refuted is suspected again; it doubles. */
const MIN_SUSPICION_BACKOFF_MS = 5000;
const MAX_SUSPICION_BACKOFF_MS = 60_000;
/** Maximum number of names whose ranking is cached. */
const MAX_CACHED_RANKINGS = 20_000;
/** Of requests to this daemon itself, which use no link. */
const NO_LINK_END = new AbortController().signal;
setMaxListeners(0, NO_LINK_END);
/** Cores of a daemon whose settings name none. */
const DEFAULT_CORES = 1;
/** Maximum time that the start waits for first contact. */
const FIRST_CONTACT_TIMEOUT_MS = 1500;

const memberStateSchema: z.ZodType<MemberState> = z.object({
  member: z.object({
    vm: z.string(),
    incarnation: z.string(),
    address: z.string(),
    http: z.string(),
    availabilityZone: z.string(),
    leaving: z.boolean(),
    // Daemons of earlier versions announce none.
    cores: z.number().positive().default(DEFAULT_CORES),
  }),
  counter: z.number().int().nonnegative(),
  status: z.number().int().min(Liveness.Alive).max(Liveness.Left),
});

interface SuspicionRecord {
  readonly counter: number;
  readonly waitMs: number;
  readonly until: number;
}

interface MembershipChange {
  readonly state: MemberState;
  /** The peer that reported the change; empty if this daemon found it. */
  readonly from: string;
}

/** Plug-in for membership and the links among the daemons. */
export class Mesh extends Peers {
  override readonly props = {
    status: () => ({
      self: this.self,
      members: this.members(),
      neighbours: [...this.#neighbourLoops.keys()],
      settled: this.settled(),
    }),
    ready: () => this.#started,
  };
  readonly #kernel: Kernel;
  readonly #metrics: PeerMetrics;
  readonly #links: LinkManager;
  readonly #gossip: Gossip;
  readonly #handlers = new RequestHandlers();
  readonly #neighbourLoops = new Map<string, AbortController>();
  readonly #suspicions = new Map<string, SuspicionRecord>();
  readonly #digestMismatches = new Map<string, number>();
  readonly #listeners = new Set<() => void>();
  readonly #rankings = new Map<string, readonly Member[]>();
  readonly #dutyRankings = new Map<string, readonly Member[]>();
  readonly #stopping = new AbortController();
  readonly #pendingChanges = new Map<string, MembershipChange>();
  #listed: ReadonlyMap<string, Vm> = new Map();
  #membership: MembershipList;
  #seenGeneration = 0;
  #lastCheckAt = 0;
  #settled = false;
  #started = false;

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
    this.#metrics = new PeerMetrics(kernel);
    this.#membership = this.#createMembership(kernel.settings.peer.port);
    const digest = () => this.#membership.digest();
    const use = {
      addressOf: (vm: string) => this.#addressOf(vm),
      serveLink: (link: Link) => this.#serveLink(link),
      digest,
    };
    this.#links = new LinkManager({ kernel, metrics: this.#metrics, use });
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
    return this.#membership.self.member;
  }

  members(): readonly Member[] {
    return this.#membership.live();
  }

  ranked(name: string): readonly Member[] {
    return this.#cachedRanking(this.#rankings, { name, rank });
  }

  override rankedForDuty(name: string): readonly Member[] {
    return this.#cachedRanking(this.#dutyRankings, { name, rank: rankForDuty });
  }

  #cachedRanking(cache: Map<string, readonly Member[]>, { name, rank }: {
    name: string;
    rank: (members: readonly Member[], name: string) => readonly Member[];
  }): readonly Member[] {
    const known = cache.get(name);
    if (known !== undefined) return known;
    if (cache.size >= MAX_CACHED_RANKINGS) cache.clear();
    const eligible = this.members().filter((member) => !member.leaving);
    const ranking = rank(
      eligible.length > 0 ? eligible : this.members(),
      name,
    );
    cache.set(name, ranking);
    return ranking;
  }

  async ask(vm: string, kind: string, body: unknown, options: {
    timeoutMs: number;
    signal?: AbortSignal;
  }): Promise<Result<unknown, Refusal>> {
    if (options.signal?.aborted) return Err(cancelled(Verdict.NotRun));
    if (vm === this.self.vm) return await this.#askSelf(kind, body, options);
    const ready = this.#links.recentlyActive(vm);
    if (ready !== undefined) return await ready.ask(kind, body, options);
    const deadline = this.#now() + options.timeoutMs;
    const { clock } = this.#kernel;
    const link = await withTimeout(this.#links.ensureAlive(vm), {
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
    this.#gossip.sendNow(section);
  }

  override settled(): boolean {
    return this.#settled && !this.#wasPausedTooLong();
  }

  override async start(): Promise<void> {
    for (const [, plugin] of this.#kernel.plugins) this.#serve(plugin.props);
    const port = await this.#links.listen(this.#kernel.settings.peer);
    this.#membership = this.#createMembership(port);
    this.#lastCheckAt = this.#now();
    void this.#runChecks();
    void this.#runGossipRounds();
    const firstContact = this.#dialInitial();
    void firstContact.then(() => this.#runDiscovery());
    await Promise.race([firstContact, this.#sleep(FIRST_CONTACT_TIMEOUT_MS)]);
    this.#started = true;
  }

  override open(): Promise<void> {
    this.#announceLeaving(false);
    return Promise.resolve();
  }

  override beginShutdown(): void {
    this.#announceLeaving(true);
  }

  override async stop(): Promise<void> {
    this.#record([this.#membership.leave(this.#now())], "");
    this.#sendPendingChanges();
    this.#stopping.abort();
    for (const loop of this.#neighbourLoops.values()) loop.abort();
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

  #createMembership(port: number): MembershipList {
    const { settings, incarnation } = this.#kernel;
    const self = {
      vm: settings.vm,
      incarnation,
      address: `${settings.peer.host}:${port}`,
      http: `${settings.http.host}:${settings.http.port}`,
      availabilityZone: settings.availabilityZone,
      // Must not own anything until all plug-ins can serve it.
      leaving: true,
      cores: settings.processorCores ?? DEFAULT_CORES,
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
    const run = this.#handlers.run(kind, body, {
      from: this.self.vm,
      linkEnd: NO_LINK_END,
    });
    const { clock } = this.#kernel;
    const answer = await withTimeout(run, { ...options, clock });
    if (answer !== undefined) return answer;
    if (options.signal?.aborted) return Err(cancelled(Verdict.MayHaveRun));
    return Err(
      unreachable(Verdict.MayHaveRun, "The daemon did not answer in time"),
    );
  }

  // Links

  // Synchronizes a new link, then serves it until it is closed.
  async #serveLink(link: Link): Promise<void> {
    link.send({ kind: FrameKind.Sync, digests: this.#membership.digests() });
    this.#gossip.onNewLink(link);
    await link.run((message) => this.#receive(link, message));
  }

  #neighbourLinks(): readonly Link[] {
    return [...this.#neighbourLoops.keys()].flatMap((vm) => {
      const link = this.#links.to(vm);
      return link === undefined ? [] : [link];
    });
  }

  #receive(link: Link, message: LinkMessage): void {
    // Messages buffered while this daemon was paused are not acted on: their
    // senders have given up on them.
    if (this.#wasPausedTooLong()) return this.#handlePause(this.#now());
    switch (message.kind) {
      case FrameKind.Ping:
        link.lastMonitoredByPeerAt = this.#now();
        link.send({ kind: FrameKind.Pong, digest: this.#membership.digest() });
        this.#compareDigest(link, message.digest);
        break;
      case FrameKind.Pong:
        this.#compareDigest(link, message.digest);
        break;
      case FrameKind.Ask:
        link.lastUsedAt = this.#now();
        void this.#handlers.answer(link, message);
        break;
      case FrameKind.Sync:
        this.#sync(link, message.digests);
        break;
      case FrameKind.Members:
        this.#receiveStates(link, message.states);
        break;
      case FrameKind.Gossip:
        link.lastMonitoredByPeerAt = this.#now();
        this.#compareDigest(link, message.digest);
        this.#gossip.receive(link.peer.vm, message.sections);
        break;
    }
  }

  // Periodic tasks

  async #runGossipRounds(): Promise<void> {
    const { heartbeatMs } = this.#timing;
    // Spreads the rounds of daemons that were started together.
    await this.#sleep(hash(this.#kernel.incarnation) % heartbeatMs);
    while (!this.#stopping.signal.aborted) {
      this.#gossip.runRound(heartbeatMs);
      await this.#sleep(heartbeatMs);
    }
  }

  async #runChecks(): Promise<void> {
    while (!this.#stopping.signal.aborted) {
      await this.#sleep(CHECK_INTERVAL_MS);
      const now = this.#now();
      this.#handlePause(now);
      for (const link of this.#links.all()) this.#checkLink(link, now);
      this.#record(
        this.#membership.expireSuspects(SUSPICION_TIMEOUT_MS, now),
        "",
      );
    }
  }

  #wasPausedTooLong(): boolean {
    return this.#now() - this.#lastCheckAt > this.#timing.peerSilenceMs;
  }

  // Silence during a pause of this daemon says nothing about its peers.
  #handlePause(now: number): void {
    const pauseMs = now - this.#lastCheckAt;
    this.#lastCheckAt = now;
    if (pauseMs < this.#timing.heartbeatMs) return;
    this.#membership.restartSuspicions(now);
    for (const link of this.#links.all()) link.silenceBaselineAt = now;
    if (pauseMs <= this.#timing.peerSilenceMs) return;
    log("resumed after pause; links closed", { pauseMs: Math.round(pauseMs) });
    this.#metrics.resumedAfterPause();
    this.#settled = false;
    for (const link of this.#links.all()) link.close(EndReason.Paused);
    void this.#dialInitial();
  }

  #checkLink(link: Link, now: number): void {
    const { vm } = link.peer;
    const { heartbeatMs, peerSilenceMs } = this.#timing;
    const isMonitored = this.#neighbourLoops.has(vm) &&
      this.#links.to(vm) === link;
    if (isMonitored && !link.isMonitored) link.silenceBaselineAt = now;
    link.isMonitored = isMonitored;
    if (link.silentMs(now) > peerSilenceMs) return link.close(EndReason.Silent);
    const lastUsedAt = Math.max(link.lastUsedAt, link.lastMonitoredByPeerAt);
    if (!isMonitored && link.pending === 0) {
      if (now - lastUsedAt > IDLE_TIMEOUT_MS) link.close(EndReason.Idle);
      return;
    }
    // Gossip is the neighbours' heartbeat; pings are needed on links that this
    // end alone monitors, such as those with pending requests.
    const lastEvidenceAt = Math.max(link.lastPingAt, link.lastReceivedAt);
    if (now - lastEvidenceAt > PING_AFTER_HEARTBEATS * heartbeatMs) {
      link.ping(this.#membership.digest());
    }
  }

  // Neighbours

  #updateNeighbours(): void {
    const vms = this.members().map((member) => member.vm);
    const wanted = neighbours(this.self.vm, vms);
    for (const [vm, loop] of this.#neighbourLoops) {
      if (wanted.has(vm)) continue;
      loop.abort();
      this.#neighbourLoops.delete(vm);
    }
    if (this.#stopping.signal.aborted) return;
    for (const vm of wanted) {
      if (this.#neighbourLoops.has(vm)) continue;
      const loop = new AbortController();
      this.#neighbourLoops.set(vm, loop);
      void this.#maintainLink(vm, loop.signal);
    }
  }

  // Keeps a link to a neighbour open; suspects the neighbour if it can't.
  async #maintainLink(vm: string, signal: AbortSignal): Promise<void> {
    const ended = new Promise<void>((resolve) =>
      signal.addEventListener("abort", () => resolve(), { once: true })
    );
    while (!signal.aborted) {
      const link = await this.#links.connect(vm, OpenReason.Neighbour);
      if (signal.aborted) return;
      if (link.ok) {
        const openedAt = this.#now();
        await Promise.race([link.val.closed, ended]);
        if (this.#now() - openedAt > REDIAL_DELAY_MS) continue;
      } else {
        this.#suspect(vm);
      }
      await this.#kernel.clock.sleep(REDIAL_DELAY_MS, signal);
    }
  }

  #suspect(vm: string): void {
    const now = this.#now();
    const state = this.#membership.get(vm);
    const previous = this.#suspicions.get(vm);
    const refuted = previous !== undefined && state !== undefined &&
      state.counter > previous.counter;
    if (refuted && now < previous.until) return;
    const change = this.#membership.suspect(vm, now);
    if (change === undefined) return;
    const waitMs = refuted
      ? Math.min(2 * previous.waitMs, MAX_SUSPICION_BACKOFF_MS)
      : MIN_SUSPICION_BACKOFF_MS;
    this.#suspicions.set(vm, {
      counter: change.counter,
      waitMs,
      until: now + waitMs,
    });
    this.#record([change], "");
  }

  // Members

  #announceLeaving(leaving: boolean): void {
    if (this.self.leaving === leaving) return;
    const self = { ...this.self, leaving };
    this.#record([this.#membership.announce(self, this.#now())], "");
    this.#sendPendingChanges();
  }

  #receiveStates(link: Link, states: unknown): void {
    const parsed = z.array(memberStateSchema).safeParse(states);
    if (!parsed.success) return link.close(EndReason.Protocol);
    this.#settled = true;
    const changes = this.#membership.merge(parsed.data, this.#now());
    this.#record(changes, link.peer.vm);
  }

  #sync(link: Link, digests: readonly number[]): void {
    const states = this.#membership.differingStates(digests);
    if (states.length === 0) this.#settled = true;
    // Sent also without states, as the reply that lets the peer become settled.
    link.send({ kind: FrameKind.Members, states });
  }

  #compareDigest(link: Link, digest: number): void {
    const { vm } = link.peer;
    if (digest === this.#membership.digest()) {
      this.#digestMismatches.delete(vm);
      return;
    }
    const mismatches = (this.#digestMismatches.get(vm) ?? 0) + 1;
    this.#digestMismatches.set(vm, mismatches % MISMATCHES_BEFORE_SYNC);
    if (mismatches < MISMATCHES_BEFORE_SYNC) return;
    link.send({ kind: FrameKind.Sync, digests: this.#membership.digests() });
  }

  // Records changes and schedules a message to the neighbours.
  #record(changes: readonly MemberState[], from: string): void {
    if (changes.length === 0) return;
    if (this.#pendingChanges.size === 0) {
      this.#kernel.clock.after(
        CHANGE_COALESCING_MS,
        () => this.#sendPendingChanges(),
      );
    }
    for (const state of changes) {
      this.#pendingChanges.set(state.member.vm, { state, from });
      const status = Liveness[state.status].toLowerCase();
      this.#metrics.changed(status);
      log("member", { vm: state.member.vm, status });
    }
    this.#handleMemberChange();
  }

  #handleMemberChange(): void {
    if (this.#membership.generation === this.#seenGeneration) return;
    this.#seenGeneration = this.#membership.generation;
    this.#rankings.clear();
    this.#dutyRankings.clear();
    for (const perMember of [this.#suspicions, this.#digestMismatches]) {
      for (const vm of perMember.keys()) {
        if (this.#membership.get(vm) === undefined) perMember.delete(vm);
      }
    }
    this.#updateNeighbours();
    for (const listener of this.#listeners) listener();
  }

  #sendPendingChanges(): void {
    const changes = [...this.#pendingChanges.values()];
    this.#pendingChanges.clear();
    if (changes.length === 0) return;
    for (const link of this.#links.all()) {
      const { vm } = link.peer;
      if (this.#links.to(vm) !== link) continue;
      const isNeighbour = this.#neighbourLoops.has(vm);
      // This daemon's own state is sent on all links, since a daemon that has
      // just started doesn't know its neighbours yet.
      const states = changes
        .filter(({ state, from }) =>
          from !== vm && (isNeighbour || state.member.vm === this.self.vm)
        )
        .map(({ state }) => state);
      if (states.length > 0) link.send({ kind: FrameKind.Members, states });
    }
  }

  // Discovery

  async #readDirectory(): Promise<void> {
    const listed = await this.#kernel.platform.directory.list();
    if (listed.err) return;
    const entries = listed.val.filter((vm) =>
      vm.role === Role.Entry && vm.id !== this.self.vm
    );
    this.#listed = new Map(entries.map((vm) => [vm.id, vm]));
  }

  // Dials a few daemons concurrently; resolves when all connected or failed.
  async #dialInitial(): Promise<void> {
    await this.#readDirectory();
    const known = this.#absentVms().concat(this.members().map(({ vm }) => vm));
    const others = rank(
      known.filter((vm) => vm !== this.self.vm).map((vm) => ({ vm })),
      this.#kernel.incarnation,
    );
    const dials = others.slice(0, DISCOVERY_DIAL_COUNT).map(({ vm }) =>
      this.#links.connect(vm, OpenReason.Candidate)
    );
    const links = await Promise.all(dials);
    if (links.every((link) => link.err)) this.#settled = true;
  }

  async #runDiscovery(): Promise<void> {
    let lastListedAt = this.#now();
    while (!this.#stopping.signal.aborted) {
      await this.#sleep(DISCOVERY_INTERVAL_MS);
      if (this.#now() - lastListedAt >= this.#listingIntervalMs()) {
        lastListedAt = this.#now();
        await this.#readDirectory();
      }
      const probability = DISCOVERY_DIAL_COUNT / this.members().length;
      for (const vm of this.#absentVms()) {
        if (Math.random() < probability) {
          void this.#links.connect(vm, OpenReason.Candidate);
        }
      }
    }
  }

  // Daemons also learn of each other from peers, so the interval grows with the
  // number of members, and the total rate of platform calls does not.
  #listingIntervalMs(): number {
    const factor = Math.max(
      1,
      this.members().length / FULL_RATE_LISTING_MEMBERS,
    );
    return this.#timing.directoryMs * factor;
  }

  #addressOf(vm: string): string | undefined {
    return this.#listed.get(vm)?.address ??
      this.#membership.get(vm)?.member.address;
  }

  // Daemons to dial: dead ones, and listed ones that are not in the membership.
  #absentVms(): string[] {
    const dead = this.#membership.states()
      .filter((state) => state.status >= Liveness.Dead)
      .map((state) => state.member.vm);
    const unknown = [...this.#listed.keys()].filter((vm) =>
      this.#membership.get(vm) === undefined
    );
    return [...dead, ...unknown];
  }
}

register({
  key: peersKey,
  requires: [],
  create: (kernel) => new Mesh(kernel),
});
