/**
 * The shard leaders on this daemon. One is created for each shard assigned to
 * it, supplied with load reports and cache events, and closed when the shard
 * moves to another daemon.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { type Kernel, type Log, logger } from "../kernel/mod.ts";
import type { Member, Peers } from "../peers/mod.ts";
import {
  type Failure,
  Fault,
  type Load,
  Reachability,
  type Target,
} from "../outside/mod.ts";
import type { Result } from "ts-results";
import type { Candidate } from "./upstream_selector.ts";
import { ProbeResult } from "./crash_detector.ts";
import type { Fleet, Shard } from "./fleet.ts";
import { Headroom } from "./headroom.ts";
import { ShardLeader } from "./shard_leader.ts";
import { holdingsAnswer, Message, type ReportedPermit } from "./messages.ts";
import type { ColdPeriods } from "./cold_periods.ts";
import type { KnownNotices } from "./known_notices.ts";
import { limitShareOf } from "./limit_share.ts";
import type { Quarantine } from "./quarantine.ts";
import type { OtherShards } from "./queue.ts";
import { loadOfOtherShards, type ShardSummaries } from "./summaries.ts";
import type { Upstream } from "./shards.ts";

/** How long a new leader waits for reports of the permits in use. */
const RECOVERY_TIMEOUT_MS = 500;

/** Timeout of reading a load report or cache events. */
const PROBE_TIMEOUT_MS = 1000;

/** Shortest time between two probes of an upstream that may have crashed. */
const MIN_PROBE_INTERVAL_MS = 100;

/** Load reports of cold upstreams are read less often, by this factor. */
const COLD_POLL_FACTOR = 2;

/**
 * Reports of upstreams that neither load weights nor fail are read less often:
 * each read has a price, and requests and refusals tell of a change as well.
 */
const STEADY_POLL_FACTOR = 2;

/** Time for which a leader that an entry insisted on is kept open. */
const INSISTED_LEADER_TTL_MS = 5000;

/** A leader with its host-side state. */
interface HostedLeader {
  readonly shard: string;
  readonly pool: string;
  readonly id: string;
  readonly leader: ShardLeader;
  readonly abort: AbortController;
  /** The polling task of each upstream, by the upstream's id. */
  readonly readers: Map<string, AbortController>;
  /** When each upstream was last probed as it may have crashed. */
  readonly suspectedAt: Map<string, number>;
  insistedAt: number;
  seq: number;
}

/** The shard leaders on this daemon. */
export class LocalLeaders {
  readonly #kernel: Kernel;
  readonly #peers: Peers;
  readonly #quarantine: Quarantine;
  readonly #notices: KnownNotices;
  readonly #coldPeriods: ColdPeriods;
  readonly #summaries: ShardSummaries;
  readonly #onLimitedGrant: (waitedMs: number) => void;
  readonly #onColdGrant: (waitedMs: number) => void;
  readonly #hosted = new Map<string, HostedLeader>();
  readonly #log: Log = logger("dispatch");
  #fleet: Fleet;
  #count = 0;
  #closed = false;

  constructor(options: {
    kernel: Kernel;
    peers: Peers;
    quarantine: Quarantine;
    notices: KnownNotices;
    coldPeriods: ColdPeriods;
    summaries: ShardSummaries;
    fleet: Fleet;
    /** Called with the wait for each permit on an upstream with a limit. */
    onLimitedGrant?: (waitedMs: number) => void;
    /** Called with the wait for each permit on a cold upstream. */
    onColdGrant?: (waitedMs: number) => void;
  }) {
    this.#onLimitedGrant = options.onLimitedGrant ?? (() => {});
    this.#onColdGrant = options.onColdGrant ?? (() => {});
    this.#kernel = options.kernel;
    this.#peers = options.peers;
    this.#quarantine = options.quarantine;
    this.#notices = options.notices;
    this.#coldPeriods = options.coldPeriods;
    this.#summaries = options.summaries;
    this.#fleet = options.fleet;
  }

  /** The shards led by this daemon. */
  list(): readonly Pick<HostedLeader, "shard" | "pool" | "leader">[] {
    return [...this.#hosted.values()];
  }

  /** Opens and closes leaders after a change of members or upstreams. */
  assign(fleet: Fleet): void {
    this.#fleet = fleet;
    for (const host of [...this.#hosted.values()]) {
      if (!this.#wanted(host)) this.#close(host);
    }
    for (const shard of fleet.shards) {
      if (this.#isLeaderOf(shard.name)) this.#open(shard);
    }
    for (const host of this.#hosted.values()) this.#updateUpstreams(host);
  }

  /** Starts what changed limits of upstreams allow. */
  limitsChanged(): void {
    for (const { leader } of this.#hosted.values()) leader.limitsChanged();
  }

  /** The leader of a shard, if it is on this daemon; `insist` opens one. */
  leader(name: string, insist = false): ShardLeader | undefined {
    if (this.#closed) return undefined;
    const host = this.#hosted.get(name);
    if (!insist) return host?.leader;
    const shard = this.#fleet.shard(name);
    const opened = host ??
      (shard === undefined ? undefined : this.#open(shard));
    if (opened === undefined) return undefined;
    opened.insistedAt = this.#kernel.clock.now();
    return opened.leader;
  }

  /** Ends expired permits and waits. */
  tick(): void {
    for (const { leader } of this.#hosted.values()) leader.tick();
  }

  /** Publishes each shard's load; updates leaders with that of other shards. */
  publish(): void {
    for (const host of this.#hosted.values()) {
      host.leader.setOtherShards(this.#otherShards(host));
      host.seq += 1;
      const { running, queued, slots } = host.leader.pressure();
      this.#summaries.publish({
        shard: host.shard,
        pool: host.pool,
        keeper: host.id,
        seq: host.seq,
        running,
        queued,
        slots,
        tenants: Object.fromEntries(host.leader.organisations),
        upstreams: host.leader.candidates.map(reported),
        models: host.leader.modelCapacities(),
      });
    }
  }

  #otherShards({ shard, pool }: HostedLeader): OtherShards {
    const summaries = this.#fleet.shardsOfPool(pool)
      .filter(({ name }) => name !== shard)
      .flatMap(({ name }) => this.#summaries.latest(name) ?? []);
    return loadOfOtherShards(summaries);
  }

  /** Closes all leaders; no more are opened. */
  close(): void {
    this.#closed = true;
    for (const host of [...this.#hosted.values()]) this.#close(host);
  }

  #isLeaderOf(name: string): boolean {
    if (this.#closed) return false;
    return this.#peers.rankedForDuty(name)[0]?.vm === this.#peers.self.vm;
  }

  #wanted(host: HostedLeader): boolean {
    if (this.#fleet.shard(host.shard) === undefined) return false;
    if (this.#isLeaderOf(host.shard)) return true;
    return this.#kernel.clock.now() - host.insistedAt < INSISTED_LEADER_TTL_MS;
  }

  #open(shard: Shard): HostedLeader {
    const known = this.#hosted.get(shard.name);
    if (known !== undefined) return known;
    this.#count += 1;
    const id = `${this.#kernel.incarnation}.${this.#count}`;
    const host: HostedLeader = {
      shard: shard.name,
      pool: shard.pool,
      id,
      leader: new ShardLeader({
        clock: this.#kernel.clock,
        prefix: `${shortHash(id)}.`,
        quarantine: this.#quarantine,
        notices: this.#notices,
        coldPeriods: this.#coldPeriods,
        headroom: new Headroom(),
        onLimitedGrant: this.#onLimitedGrant,
        onColdGrant: this.#onColdGrant,
        granting: false,
        onSuspicion: (upstream) => this.#probeSuspected(shard.name, upstream),
      }),
      abort: new AbortController(),
      readers: new Map(),
      suspectedAt: new Map(),
      insistedAt: -Infinity,
      seq: 0,
    };
    this.#hosted.set(shard.name, host);
    this.#log("shard leader opened", { shard: shard.name });
    this.#updateUpstreams(host);
    void this.#recoverPermits(host);
    return host;
  }

  #close(host: HostedLeader): void {
    this.#hosted.delete(host.shard);
    host.abort.abort();
    for (const reader of host.readers.values()) reader.abort();
    host.leader.close();
    this.#log("shard leader closed", { shard: host.shard });
  }

  /** Gives a leader its upstreams, and polls each of them. */
  #updateUpstreams(host: HostedLeader): void {
    const upstreams = this.#fleet.shard(host.shard)?.upstreams ?? [];
    host.leader.limitShare = limitShareOf({
      isLeader: this.#isLeaderOf(host.shard),
      members: this.#peers.members().map(({ vm }) => vm),
      listed: this.#fleet.daemons,
    });
    host.leader.setUpstreams(upstreams);
    const present = new Set(upstreams.map(({ id }) => id));
    for (const [id, reader] of host.readers) {
      if (present.has(id)) continue;
      reader.abort();
      host.readers.delete(id);
      host.suspectedAt.delete(id);
    }
    for (const upstream of upstreams) {
      if (host.readers.has(upstream.id)) continue;
      const reader = new AbortController();
      host.readers.set(upstream.id, reader);
      void this.#pollUpstream(host, upstream, reader.signal);
    }
  }

  /** Fetches the permits in use from all daemons, then starts granting. */
  async #recoverPermits(host: HostedLeader): Promise<void> {
    const asked = this.#peers.members()
      .map((member) => this.#fetchHeldPermits(host, member));
    await Promise.all(asked);
    host.leader.startGranting();
  }

  async #fetchHeldPermits(host: HostedLeader, member: Member): Promise<void> {
    const answer = await this.#peers.ask(
      member.vm,
      Message.Holdings,
      { shard: host.shard },
      { timeoutMs: RECOVERY_TIMEOUT_MS, signal: host.abort.signal },
    );
    // A daemon that doesn't answer reports its permits at its next renewal.
    if (answer.err) return;
    const parsed = holdingsAnswer.safeParse(answer.val);
    if (!parsed.success) return;
    const { holdings, findings, notices, restored } = parsed.data;
    for (const one of restored) this.#coldPeriods.mergeRestored(one);
    for (const notice of notices) this.#notices.merge(notice, member.vm);
    for (const finding of findings) {
      this.#quarantine.merge(finding, member.vm);
    }
    this.adopt(host.shard, member.vm, holdings);
  }

  /** Takes over permits that `entry` holds. */
  adopt(
    shard: string,
    entry: string,
    holdings: readonly ReportedPermit[],
  ): void {
    const now = this.#kernel.clock.now();
    this.#hosted.get(shard)?.leader.adopt(
      holdings.map(({ heldMs, ...holding }) => ({
        ...holding,
        entry,
        grantedAt: now - heldMs,
      })),
    );
  }

  /** Polls an upstream's load and cache events until it is removed. */
  async #pollUpstream(
    host: HostedLeader,
    upstream: Upstream,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, settings } = this.#kernel;
    let seq = 0;
    while (!signal.aborted) {
      const alive = await this.#probe(host.shard, upstream.id);
      if (alive && !signal.aborted && !this.#isEvacuated(upstream.id)) {
        seq = await this.#events(host, upstream, seq);
      }
      const factor = this.#pollFactor(host, upstream.id);
      await clock.sleep(settings.timing.loadMs * factor, signal);
    }
  }

  #pollFactor({ leader }: HostedLeader, id: string): number {
    if (this.#coldPeriods.isCold(id)) return COLD_POLL_FACTOR;
    return leader.isSteady(id) ? STEADY_POLL_FACTOR : 1;
  }

  /** Probes an upstream at once, but not again for each of many failures. */
  #probeSuspected(shard: string, id: string): void {
    const host = this.#hosted.get(shard);
    const now = this.#kernel.clock.now();
    if (host === undefined) return;
    const last = host.suspectedAt.get(id) ?? -Infinity;
    if (now - last < MIN_PROBE_INTERVAL_MS) return;
    host.suspectedAt.set(id, now);
    void this.#probe(shard, id, { suspected: true });
  }

  /**
   * Probes an upstream by reading its load. One that reports none is connected
   * to and asked for its health, if there is a reason to. Returns whether its
   * load was read.
   */
  async #probe(shard: string, id: string, { suspected = false } = {}) {
    const upstream = this.#fleet.upstream(id);
    const leader = this.#hosted.get(shard)?.leader;
    if (upstream === undefined || leader === undefined) return false;
    if (!leader.mayProbe(id)) return false;
    const { engine } = this.#kernel.platform;
    const target = targetOf(upstream);
    if (!engine.reportsLoad(target)) {
      const connected = suspected || leader.isTripped(id)
        ? await this.#reach(engine.connect(target))
        : ProbeResult.NotAsked;
      leader.probed(id, connected);
      const { healthPath } = upstream;
      const mayAsk = connected === ProbeResult.Reachable &&
        healthPath !== undefined && leader.takeStart(id);
      if (mayAsk) {
        const health = engine.checkHealth(target, healthPath);
        leader.probed(id, await this.#reach(health));
      }
      return false;
    }
    const answer = await this.#withTimeout(engine.load(target));
    const load = answer?.ok ? answer.val : undefined;
    leader.probed(id, await this.#probeResult(target, answer), load);
    return answer?.ok === true;
  }

  #isEvacuated(id: string): boolean {
    return this.#fleet.upstream(id)?.evacuated === true;
  }

  /** What the answer to a load read, or a timeout, shows. */
  async #probeResult(
    target: Target,
    answer: Result<Load, Failure> | undefined,
  ): Promise<ProbeResult> {
    const { engine } = this.#kernel.platform;
    if (answer === undefined) return ProbeResult.Silent;
    if (answer.ok) return ProbeResult.Alive;
    switch (answer.val.fault) {
      case Fault.Refused:
        return ProbeResult.Reachable;
      case Fault.Replaced:
        return ProbeResult.Gone;
      case Fault.NotSent:
        // Only a refused connection shows that it ended.
        return await this.#reach(engine.connect(target));
      case Fault.Unknown:
        return ProbeResult.Silent;
    }
  }

  async #reach(answer: Promise<Reachability>): Promise<ProbeResult> {
    switch (await this.#withTimeout(answer)) {
      case Reachability.Alive:
        return ProbeResult.Alive;
      case Reachability.Connected:
        return ProbeResult.Reachable;
      case Reachability.Gone:
        return ProbeResult.Gone;
      default:
        return ProbeResult.Silent;
    }
  }

  async #events(
    host: HostedLeader,
    upstream: Upstream,
    seq: number,
  ): Promise<number> {
    const answer = await this.#withTimeout(
      this.#kernel.platform.engine.events(targetOf(upstream), seq),
    );
    if (answer === undefined || answer.err || answer.val.length === 0) {
      return seq;
    }
    host.leader.cached(upstream.id, answer.val);
    return answer.val.reduce((last, event) => Math.max(last, event.seq), seq);
  }

  /** The value of `promise`; undefined if it fails or times out. */
  #withTimeout<T>(promise: Promise<T>): Promise<T | undefined> {
    return new Promise((resolve) => {
      const cancel = this.#kernel.clock.after(
        PROBE_TIMEOUT_MS,
        () => resolve(undefined),
      );
      const done = (value: T | undefined) => {
        cancel();
        resolve(value);
      };
      promise.then(done, () => done(undefined));
    });
  }
}

/** Eight characters that identify a leader, as permit ids are sent often. */
function shortHash(id: string): string {
  return createHash("sha256").update(id).digest("base64url").slice(0, 8);
}

function reported({ upstream, inFlight, foreign, load }: Candidate) {
  return {
    id: upstream.id,
    running: inFlight + foreign,
    queued: load?.queued ?? 0,
    weightVersion: load?.weightVersion ?? 0,
  };
}

function targetOf({ id, address }: Upstream): Target {
  return { id, address };
}
