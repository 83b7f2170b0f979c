/**
 * The dispatch plug-in. Each daemon has a client side, which requests permits,
 * and the leaders of the shards that are assigned to it.
 *
 * @module
 */

import { isSome, toUndefined } from "fp-ts/Option";
import type { Result } from "ts-results";
import {
  type ActiveConfiguration,
  activeConfigurationKey,
} from "../config/mod.ts";
import {
  type GossipSection,
  type Kernel,
  logger,
  type PeerHandler,
  type Props,
  Reason,
  type Refusal,
  register,
} from "../kernel/mod.ts";
import { type Peers, peersKey } from "../peers/mod.ts";
import type { UpstreamNotice, Vm } from "../outside/mod.ts";
import { DeploymentRegions } from "../tables/mod.ts";
import { EntryClient } from "./entry.ts";
import { Fleet } from "./fleet.ts";
import { LocalLeaders } from "./local_leaders.ts";
import type { WaitResult } from "./shard_leader.ts";
import {
  acquireBody,
  AcquireEnding,
  cancelBody,
  findingsBody,
  holdingsBody,
  Message,
  noticesBody,
  pressureAnswer,
  releaseBody,
  renewBody,
  shardBody,
} from "./messages.ts";
import {
  type Demand,
  Dispatch,
  dispatchKey,
  type Permit,
  type Pressure,
  type UpstreamStatus,
} from "./mod.ts";
import { ColdPeriods } from "./cold_periods.ts";
import { DispatchMetrics } from "./dispatch_metrics.ts";
import { FindingStore } from "./finding_store.ts";
import { GossipOffers } from "./offers.ts";
import {
  HEARD_HERE,
  KnownNotices,
  type ReportedNotice,
} from "./known_notices.ts";
import { RENEWAL_INTERVAL_MS } from "./permits.ts";
import { type Finding, Quarantine } from "./quarantine.ts";
import { loadOf, StatedLoads } from "./stated_loads.ts";
import { ShardSummaries } from "./summaries.ts";
import { HeldPermits } from "./held_permits.ts";

const log = logger("dispatch");

/** How often leaders end expired permits and waits. */
const TICK_INTERVAL_MS = 100;

/** Interval between summaries: a minimum, and per shard of the system. */
const MIN_PUBLISH_INTERVAL_MS = 500;
const PUBLISH_INTERVAL_PER_SHARD_MS = 100;

/** How long findings are collected before the leaders are notified. */
const FINDINGS_BATCH_MS = 2;

/** Time that a start waits for the stored findings; they may arrive later. */
const FINDINGS_TIMEOUT_MS = 500;

/** Gossip section that carries findings. */
const FINDINGS_SECTION = "dispatch.findings";

/** Gossip section that carries what upstreams said of themselves. */
const NOTICES_SECTION = "dispatch.notices";

/** Timeout of messages that need a quick answer. */
const NOTIFICATION_TIMEOUT_MS = 1000;

/** Obtains permits from the shard leaders on all daemons. */
export class Dispatcher extends Dispatch {
  override readonly props: Props;
  readonly #kernel: Kernel;
  readonly #peers: Peers;
  readonly #config: ActiveConfiguration;
  readonly #quarantine: Quarantine;
  readonly #notices: KnownNotices;
  readonly #statedLoads: StatedLoads;
  readonly #metrics: DispatchMetrics;
  readonly #coldPeriods: ColdPeriods;
  readonly #summaries: ShardSummaries;
  readonly #localLeaders: LocalLeaders;
  readonly #heldPermits: HeldPermits;
  readonly #entry: EntryClient;
  readonly #findingOffers: GossipOffers;
  readonly #noticeOffers: GossipOffers;
  readonly #findingStore: FindingStore;
  readonly #regions: DeploymentRegions;
  readonly #abort = new AbortController();
  #unsubscribers: readonly (() => void)[] = [];
  #vms: readonly Vm[] = [];
  #fleet = new Fleet();
  #findings: readonly Finding[] = [];

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
    this.#peers = kernel.get(peersKey);
    this.#config = kernel.get(activeConfigurationKey);
    this.#regions = new DeploymentRegions(kernel.settings);
    this.#quarantine = new Quarantine({ clock: kernel.clock });
    const { clock } = kernel;
    this.#notices = new KnownNotices({ clock });
    this.#statedLoads = new StatedLoads({ clock });
    this.#coldPeriods = new ColdPeriods({ clock, notices: this.#notices });
    this.#metrics = new DispatchMetrics(kernel);
    const gossip = { clock: kernel.clock, peers: this.#peers };
    this.#summaries = new ShardSummaries(gossip);
    this.#findingOffers = new GossipOffers(gossip);
    this.#noticeOffers = new GossipOffers(gossip);
    this.#findingStore = new FindingStore({
      clock: kernel.clock,
      keyValue: kernel.platform.keyValue,
    });
    const shared = {
      kernel,
      clock,
      peers: this.#peers,
      quarantine: this.#quarantine,
      notices: this.#notices,
      statedLoads: this.#statedLoads,
      coldPeriods: this.#coldPeriods,
      summaries: this.#summaries,
      fleet: this.#fleet,
    };
    this.#localLeaders = new LocalLeaders({
      ...shared,
      onLimitedGrant: (waitedMs) => this.#metrics.grantedLimited(waitedMs),
      onColdGrant: (waitedMs) => this.#metrics.grantedCold(waitedMs),
    });
    this.#heldPermits = new HeldPermits(shared);
    this.#entry = new EntryClient({
      ...shared,
      heldPermits: this.#heldPermits,
      onRetry: (reason) => this.#metrics.retried(reason),
      onMove: (reason) => this.#metrics.moved(reason),
    });
    this.#quarantine.onChange((finding) => this.#notifyFinding(finding));
    this.#notices.onChange((notice, origin) =>
      this.#noticeChanged(notice, origin)
    );
    this.props = {
      peerHandlers: this.#handlers(),
      gossip: {
        "dispatch.shards": this.#summaries,
        [FINDINGS_SECTION]: this.#findingsSection(),
        [NOTICES_SECTION]: this.#noticesSection(),
      },
      status: () => this.#status(),
    };
  }

  override async start(): Promise<void> {
    this.#unsubscribers = [
      this.#peers.onChange(() => this.#assign()),
      this.#config.onChange(() => this.#assign()),
      this.#kernel.platform.notices?.onNotice((notice) =>
        this.#heardNotice(notice)
      ) ?? (() => {}),
      // Not with the next list: unused permits are returned at once.
      this.#kernel.platform.evacuations?.onChange(() => this.#assign()) ??
        (() => {}),
    ];
    const recovered = this.#recoverFindings();
    await Promise.race([
      recovered,
      this.#kernel.clock.sleep(FINDINGS_TIMEOUT_MS, this.#abort.signal),
    ]);
    await this.#readDirectory();
    const { timing } = this.#kernel.settings;
    this.#repeat(() => timing.directoryMs, () => this.#readDirectory());
    this.#repeat(() => TICK_INTERVAL_MS, () => this.#localLeaders.tick());
    this.#repeat(() => RENEWAL_INTERVAL_MS, () => this.#heldPermits.renew());
    this.#repeat(() => this.#publishIntervalMs(), () => this.#publish());
  }

  override drain(): Promise<void> {
    this.#localLeaders.close();
    return Promise.resolve();
  }

  override stop(): Promise<void> {
    for (const remove of this.#unsubscribers) remove();
    this.#localLeaders.close();
    this.#abort.abort();
    return Promise.resolve();
  }

  async acquire(
    demand: Demand,
    signal: AbortSignal,
  ): Promise<Result<Permit, Refusal>> {
    const startedAt = this.#kernel.clock.now();
    const permit = await this.#entry.acquire(demand, signal);
    const { priority } = demand;
    if (permit.err) {
      const { reason } = permit.val;
      this.#metrics.refused(reason);
      if (reason === Reason.Quarantined) this.#refusedQuarantined(demand);
      return permit;
    }
    this.#metrics.granted(priority, this.#kernel.clock.now() - startedAt);
    return permit;
  }

  async #recoverFindings(): Promise<void> {
    const findings = await this.#findingStore.read(this.#abort.signal);
    for (const finding of findings) {
      this.#quarantine.merge(finding, "the key-value service");
    }
  }

  #refusedQuarantined({ id, route, fingerprint, attempt }: Demand): void {
    const finding = this.#quarantine.finding(fingerprint);
    if (finding !== undefined) void this.#findingStore.write(finding);
    const runs = finding?.runs ?? [];
    log("quarantined request refused", {
      id,
      route,
      attempt,
      fingerprint,
      crashes: this.#quarantine.crashes(fingerprint),
      runs: runs.map(({ upstream, end, ageMs }) =>
        `${upstream} ${end} ${Math.round(ageMs)}`
      ),
    });
  }

  upstreams(pool: string): readonly UpstreamStatus[] {
    return this.#fleet.shardsOfPool(pool).flatMap((shard) => {
      const summary = this.#summaries.latest(shard.name);
      const leader = this.#peers.rankedForDuty(shard.name)[0]?.vm ?? "";
      return shard.upstreams.map((upstream) => {
        const known = summary?.upstreams.find(({ id }) => id === upstream.id);
        return {
          id: upstream.id,
          pool,
          availabilityZone: upstream.availabilityZone,
          keeper: leader,
          running: known?.running ?? 0,
          queued: known?.queued ?? 0,
          weightVersion: known?.weightVersion ?? 0,
          reclaimable: upstream.reclaimable,
          leaving: upstream.leaving,
          ...upstream.evacuated ? { evacuated: true } : {},
          ...this.#notices.limitOf(upstream.id) === Infinity
            ? {}
            : { limitPerS: this.#notices.limitOf(upstream.id) },
        };
      });
    });
  }

  async pressure(pool: string): Promise<Pressure> {
    const shards = this.#fleet.shardsOfPool(pool);
    const all = await Promise.all(
      shards.map(({ name }) => this.#pressureOf(name)),
    );
    return all.reduce(addPressure, {
      running: 0,
      queued: 0,
      urgent: 0,
      slots: 0,
    });
  }

  async #pressureOf(shard: string): Promise<Pressure> {
    const none = { running: 0, queued: 0, urgent: 0, slots: 0 };
    const leader = this.#peers.rankedForDuty(shard)[0]?.vm;
    if (leader === undefined) return none;
    const answer = await this.#peers.ask(leader, Message.Pressure, { shard }, {
      timeoutMs: NOTIFICATION_TIMEOUT_MS,
    });
    const parsed = pressureAnswer.safeParse(answer.ok ? answer.val : undefined);
    if (parsed.success) return parsed.data;
    const { running, queued, slots } = this.#summaries.latest(shard) ?? none;
    return { running, queued, slots, urgent: 0 };
  }

  #handlers(): Readonly<Record<Message, PeerHandler>> {
    const answer = (body: unknown) => Promise.resolve(body);
    return {
      [Message.Acquire]: (body, from, linkEnd) =>
        this.#handleAcquire(body, from, linkEnd),
      [Message.Cancel]: (body) => {
        const { shard, ticket } = cancelBody.parse(body);
        return answer(
          this.#localLeaders.leader(shard)?.cancel(ticket) ?? false,
        );
      },
      [Message.Release]: (body) => {
        for (const end of releaseBody.parse(body).ends) {
          const { permit, outcome, tokens, load } = end;
          const leader = this.#localLeaders.leader(end.shard);
          if (load !== undefined) {
            leader?.stated(permit, loadOf(load), load.ageMs);
          }
          leader?.release(permit, outcome, tokens);
        }
        return answer(true);
      },
      [Message.Renew]: (body) => {
        const { shards } = renewBody.parse(body);
        const unknown = Object.entries(shards).flatMap(([shard, permits]) =>
          this.#localLeaders.leader(shard)?.renew(permits) ?? []
        );
        return answer({ unknown });
      },
      [Message.Adopt]: (body, from) => {
        const { shard, holdings } = holdingsBody.parse(body);
        this.#localLeaders.adopt(shard, from, holdings);
        return answer(true);
      },
      [Message.Holdings]: (body) => {
        const { shard } = shardBody.parse(body);
        return answer({
          shard,
          holdings: this.#heldPermits.held(shard),
          findings: this.#quarantine.findings(),
          notices: this.#notices.all(),
          restored: this.#coldPeriods.restored(),
        });
      },
      [Message.Pressure]: (body) => {
        const { shard } = shardBody.parse(body);
        return answer(this.#localLeaders.leader(shard)?.pressure());
      },
      [Message.Findings]: (body, from) => {
        for (const finding of findingsBody.parse(body).findings) {
          this.#quarantine.merge(finding, from);
        }
        return answer(true);
      },
      [Message.Notices]: (body, from) => {
        this.#mergeNotices(body, from);
        return answer(true);
      },
    };
  }

  /**
   * Queues a request from `entry` at a leader on this daemon. The wait ends with
   * its link: a permit that can't be delivered would hold a slot until it
   * expires, and the entry waits again under another ticket.
   */
  #handleAcquire(
    body: unknown,
    entry: string,
    linkEnd: AbortSignal,
  ): Promise<unknown> {
    const { shard, ticket, findings, insist, ...rest } = acquireBody
      .parse(body);
    const { demand } = rest;
    for (const finding of findings) this.#quarantine.merge(finding, entry);
    const leader = this.#localLeaders.leader(shard, insist);
    if (leader === undefined) {
      return Promise.resolve(this.#moved(shard));
    }
    const queuedAt = this.#kernel.clock.now();
    return new Promise((resolve) => {
      const end = () => {
        if (!leader.cancel(ticket)) return;
        log("wait ended with its link", { id: demand.id, shard, entry });
      };
      linkEnd.addEventListener("abort", end, { once: true });
      leader.submit(
        { id: ticket, entry, queuedAt, ...rest },
        (answer) => {
          linkEnd.removeEventListener("abort", end);
          resolve(this.#answer(shard, ticket, answer));
        },
      );
    });
  }

  #answer(shard: string, ticket: string, answer: WaitResult): unknown {
    if ("moved" in answer) return this.#moved(shard);
    if ("refusal" in answer) {
      const { reason, message, retryAfterMs } = answer.refusal;
      return { ending: AcquireEnding.Refused, reason, message, retryAfterMs };
    }
    const { permit, upstream, isolated } = answer;
    const { id, address } = upstream;
    return {
      ending: AcquireEnding.Granted,
      permit,
      ticket,
      upstream: id,
      address,
      isolated,
    };
  }

  /** Names the shard's leader as seen from here, other than this daemon. */
  #moved(shard: string): unknown {
    const self = this.#peers.self.vm;
    const vm = this.#peers.rankedForDuty(shard)
      .find(({ vm }) => vm !== self)?.vm;
    if (vm !== undefined) return { ending: AcquireEnding.Moved, keeper: vm };
    return {
      ending: AcquireEnding.Refused,
      reason: Reason.Draining,
      message: "The last daemon is shutting down",
      retryAfterMs: NOTIFICATION_TIMEOUT_MS,
    };
  }

  async #readDirectory(): Promise<void> {
    const vms = await this.#kernel.platform.directory.list();
    // Without an answer the last list stays in use; load reports show which
    // upstreams are gone.
    if (vms.err) return;
    this.#vms = vms.val;
    this.#assign();
  }

  #assign(): void {
    if (this.#abort.signal.aborted) return;
    const configuration = toUndefined(this.#config.current());
    const before = this.#fleet;
    this.#fleet = new Fleet({
      vms: this.#vms,
      configuration,
      regions: this.#regions,
      evacuatedZones: this.#kernel.platform.evacuations?.zones,
      saysLeaving: (id, bornAt) => this.#notices.isLeaving(id, bornAt),
    });
    // Daemons that lead no shard do so too, as any of them may be the successor.
    for (const { upstreams } of this.#fleet.shards) {
      for (const upstream of upstreams) this.#coldPeriods.observe(upstream);
    }
    this.#heldPermits.setFleet(this.#fleet);
    this.#entry.setFleet(this.#fleet);
    this.#localLeaders.assign(this.#fleet);
    this.#observeEvacuations(before);
  }

  #observeEvacuations(before: Fleet): void {
    this.#metrics.setFleet(this.#fleet);
    const pools = this.#fleet.evacuatedPools();
    const known = before.evacuatedPools();
    for (const pool of pools) {
      if (!known.includes(pool)) log("pool evacuated", { pool });
    }
    for (const pool of known) {
      if (!pools.includes(pool)) log("pool no longer evacuated", { pool });
    }
  }

  #publish(): void {
    this.#localLeaders.publish();
    this.#metrics.publish(this.#localLeaders.list());
  }

  /** Grows with the number of shards, so that the gossip volume does not. */
  #publishIntervalMs(): number {
    return Math.max(
      MIN_PUBLISH_INTERVAL_MS,
      this.#fleet.shards.length * PUBLISH_INTERVAL_PER_SHARD_MS,
    );
  }

  /** Sends a finding to all leaders; other daemons receive it by gossip. */
  #notifyFinding(finding: Finding): void {
    this.#findings = [...this.#findings, finding];
    if (this.#findings.length > 1) return;
    this.#kernel.clock.after(FINDINGS_BATCH_MS, () => {
      const findings = this.#findings;
      this.#findings = [];
      this.#peers.gossipNow(FINDINGS_SECTION);
      for (const vm of this.#leaderVms()) {
        void this.#peers.ask(vm, Message.Findings, { findings }, {
          timeoutMs: NOTIFICATION_TIMEOUT_MS,
        });
      }
    });
  }

  #leaderVms(): ReadonlySet<string> {
    const vms = new Set(
      this.#fleet.shards.flatMap(({ name }) =>
        this.#peers.rankedForDuty(name).slice(0, 1).map(({ vm }) => vm)
      ),
    );
    vms.delete(this.#peers.self.vm);
    return vms;
  }

  #heardNotice(notice: UpstreamNotice): void {
    const { upstream, load } = notice;
    this.#notices.heard(notice, this.#fleet.upstream(upstream)?.bornAt);
    this.#statedLoads.heard(notice);
    const shard = this.#fleet.shardOf(upstream);
    if (load === undefined || shard === undefined) return;
    // Answers to health checks and reports release no permit.
    this.#localLeaders.leader(shard.name)?.statedHere(upstream, load);
  }

  /** Applies a notice here; tells the others of what was heard here. */
  #noticeChanged(notice: ReportedNotice, origin: string): void {
    if (notice.leaving) this.#assign();
    this.#localLeaders.limitsChanged();
    if (origin !== HEARD_HERE) return;
    this.#peers.gossipNow(NOTICES_SECTION);
    const shard = this.#fleet.shardOf(notice.upstream);
    if (shard === undefined) return;
    const [leader] = this.#peers.rankedForDuty(shard.name);
    if (leader.vm === this.#peers.self.vm) return;
    void this.#peers.ask(leader.vm, Message.Notices, { notices: [notice] }, {
      timeoutMs: NOTIFICATION_TIMEOUT_MS,
    });
  }

  #mergeNotices(body: unknown, from: string): void {
    for (const notice of noticesBody.parse(body).notices) {
      this.#notices.merge(notice, from);
    }
  }

  #noticesSection(): GossipSection {
    return {
      offer: (peer) => {
        const notices = this.#noticeOffers
          .takeUnsent(peer, this.#notices.all(), {
            key: ({ upstream }) => upstream,
            version: ({ version }) => version,
          });
        return notices.length === 0 ? undefined : { notices };
      },
      accept: (body, peer) => this.#mergeNotices(body, peer),
      forget: (peer) => this.#noticeOffers.forget(peer),
    };
  }

  #findingsSection(): GossipSection {
    return {
      offer: (peer) => {
        const all = this.#quarantine.findings();
        const findings = this.#findingOffers.takeUnsent(peer, all, {
          key: ({ fingerprint }) => fingerprint,
          version: ({ version }) => version,
        });
        return findings.length === 0 ? undefined : { findings };
      },
      accept: (body) => {
        for (const finding of findingsBody.parse(body).findings) {
          this.#quarantine.merge(finding);
        }
      },
      forget: (peer) => this.#findingOffers.forget(peer),
    };
  }

  #status(): unknown {
    return {
      configured: isSome(this.#config.current()),
      permits: this.#heldPermits.size,
      shards: this.#fleet.shards.map(({ name, upstreams }) => ({
        name,
        keeper: this.#peers.rankedForDuty(name)[0]?.vm ?? "",
        upstreams: upstreams.map(({ id }) => id),
      })),
      kept: this.#localLeaders.list().map(({ shard, leader }) => ({
        shard,
        ...leader.pressure(),
        selection: leader.selection,
      })),
      findings: this.#quarantine.findings(),
      notices: this.#notices.all(),
      cold: this.#coldPeriods.all(),
    };
  }

  /** Runs `task` repeatedly; each run starts after the previous one. */
  #repeat(delayMs: () => number, task: () => void | Promise<void>): void {
    const { signal } = this.#abort;
    const run = async () => {
      while (!signal.aborted) {
        await this.#kernel.clock.sleep(delayMs(), signal);
        if (!signal.aborted) await task();
      }
    };
    void run();
  }
}

function addPressure(a: Pressure, b: Pressure): Pressure {
  return {
    running: a.running + b.running,
    queued: a.queued + b.queued,
    urgent: a.urgent + b.urgent,
    slots: a.slots + b.slots,
    models: addCounts(a.models ?? {}, b.models ?? {}),
  };
}

function addCounts(
  a: Readonly<Record<string, number>>,
  b: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> {
  const sums = new Map(Object.entries(a));
  for (const [name, count] of Object.entries(b)) {
    sums.set(name, (sums.get(name) ?? 0) + count);
  }
  return Object.fromEntries(sums);
}

register({
  key: dispatchKey,
  requires: [peersKey, activeConfigurationKey],
  create: (kernel) => new Dispatcher(kernel),
});
