/**
 * The keepers that run on this daemon: made for shards that fall to it, fed
 * with load reports and cache events, and closed when a shard moves on.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { type Kernel, type Log, logger } from "../kernel/mod.ts";
import type { Member, Peers } from "../peers/mod.ts";
import { type Failure, Fault, type Load, type Target } from "../outside/mod.ts";
import type { Result } from "ts-results";
import type { Candidate } from "./upstream_selector.ts";
import { ProbeResult } from "./crash_detector.ts";
import type { Fleet, Shard } from "./fleet.ts";
import { Headroom } from "./headroom.ts";
import { ShardLeader } from "./shard_leader.ts";
import { type Held, holdingsAnswer, Message } from "./messages.ts";
import type { Quarantine } from "./quarantine.ts";
import type { Elsewhere } from "./queue.ts";
import { loadOfOtherShards, type Summaries } from "./summaries.ts";
import type { Upstream } from "./shards.ts";

/** How long a new keeper waits to be told of the permits in use. */
const WARM_UP_MS = 500;

/** A load report that takes longer counts as none. */
const PROBE_TIMEOUT_MS = 1000;

/** How long a keeper is kept for entries that insist on it. */
const INSISTED_MS = 5000;

/** A keeper with what belongs to hosting it. */
interface Host {
  readonly shard: string;
  readonly pool: string;
  readonly id: string;
  readonly keeper: ShardLeader;
  readonly abort: AbortController;
  /** One reading task for each upstream, by the upstream's id. */
  readonly readers: Map<string, AbortController>;
  insistedAt: number;
  seq: number;
}

/** The keepers of this daemon. */
export class Hosting {
  readonly #kernel: Kernel;
  readonly #peers: Peers;
  readonly #quarantine: Quarantine;
  readonly #summaries: Summaries;
  readonly #hosts = new Map<string, Host>();
  readonly #log: Log = logger("dispatch");
  #fleet: Fleet;
  #count = 0;
  #closed = false;

  constructor(options: {
    kernel: Kernel;
    peers: Peers;
    quarantine: Quarantine;
    summaries: Summaries;
    fleet: Fleet;
  }) {
    this.#kernel = options.kernel;
    this.#peers = options.peers;
    this.#quarantine = options.quarantine;
    this.#summaries = options.summaries;
    this.#fleet = options.fleet;
  }

  /** The shards kept here. */
  list(): readonly Pick<Host, "shard" | "pool" | "keeper">[] {
    return [...this.#hosts.values()];
  }

  /** Opens and closes keepers after a change of members or upstreams. */
  assign(fleet: Fleet): void {
    this.#fleet = fleet;
    for (const host of [...this.#hosts.values()]) {
      if (!this.#wanted(host)) this.#close(host);
    }
    for (const shard of fleet.shards) {
      if (this.#owns(shard.name)) this.#open(shard);
    }
    for (const host of this.#hosts.values()) this.#supply(host);
  }

  /** The keeper of a shard, if it is to be asked here. */
  keeper(name: string, insist = false): ShardLeader | undefined {
    if (this.#closed) return undefined;
    const host = this.#hosts.get(name);
    if (!insist) return host?.keeper;
    const shard = this.#fleet.shard(name);
    const opened = host ??
      (shard === undefined ? undefined : this.#open(shard));
    if (opened === undefined) return undefined;
    opened.insistedAt = this.#kernel.clock.now();
    return opened.keeper;
  }

  /** Ends leases and waits that are over. */
  tick(): void {
    for (const { keeper } of this.#hosts.values()) keeper.tick();
  }

  /** Tells of each shard's load, and its keeper of the pool's other shards. */
  publish(): void {
    for (const host of this.#hosts.values()) {
      host.keeper.setOtherShards(this.#elsewhere(host));
      host.seq += 1;
      const { running, queued, slots } = host.keeper.pressure();
      this.#summaries.publish({
        shard: host.shard,
        pool: host.pool,
        keeper: host.id,
        seq: host.seq,
        running,
        queued,
        slots,
        tenants: Object.fromEntries(host.keeper.organisations),
        upstreams: host.keeper.candidates.map(reported),
      });
    }
  }

  #elsewhere({ shard, pool }: Host): Elsewhere {
    const summaries = this.#fleet.of(pool)
      .filter(({ name }) => name !== shard)
      .flatMap(({ name }) => this.#summaries.of(name) ?? []);
    return loadOfOtherShards(summaries);
  }

  /** Closes all keepers for good. */
  close(): void {
    this.#closed = true;
    for (const host of [...this.#hosts.values()]) this.#close(host);
  }

  #owns(name: string): boolean {
    if (this.#closed) return false;
    return this.#peers.ranked(name)[0]?.vm === this.#peers.self.vm;
  }

  #wanted(host: Host): boolean {
    if (this.#fleet.shard(host.shard) === undefined) return false;
    if (this.#owns(host.shard)) return true;
    return this.#kernel.clock.now() - host.insistedAt < INSISTED_MS;
  }

  #open(shard: Shard): Host {
    const known = this.#hosts.get(shard.name);
    if (known !== undefined) return known;
    this.#count += 1;
    const id = `${this.#kernel.incarnation}.${this.#count}`;
    const host: Host = {
      shard: shard.name,
      pool: shard.pool,
      id,
      keeper: new ShardLeader({
        clock: this.#kernel.clock,
        prefix: `${shortened(id)}.`,
        quarantine: this.#quarantine,
        headroom: new Headroom(),
        warm: false,
        onBreak: (upstream) => void this.#probe(shard.name, upstream),
      }),
      abort: new AbortController(),
      readers: new Map(),
      insistedAt: -Infinity,
      seq: 0,
    };
    this.#hosts.set(shard.name, host);
    this.#log("keeper opened", { shard: shard.name });
    this.#supply(host);
    void this.#warm(host);
    return host;
  }

  #close(host: Host): void {
    this.#hosts.delete(host.shard);
    host.abort.abort();
    for (const reader of host.readers.values()) reader.abort();
    host.keeper.close();
    this.#log("keeper closed", { shard: host.shard });
  }

  /** Gives a keeper its upstreams and reads from each of them. */
  #supply(host: Host): void {
    const upstreams = this.#fleet.shard(host.shard)?.upstreams ?? [];
    host.keeper.setUpstreams(upstreams);
    const present = new Set(upstreams.map(({ id }) => id));
    for (const [id, reader] of host.readers) {
      if (present.has(id)) continue;
      reader.abort();
      host.readers.delete(id);
    }
    for (const upstream of upstreams) {
      if (host.readers.has(upstream.id)) continue;
      const reader = new AbortController();
      host.readers.set(upstream.id, reader);
      void this.#read(host, upstream, reader.signal);
    }
  }

  /** Learns the permits in use from all daemons, then starts granting. */
  async #warm(host: Host): Promise<void> {
    const asked = this.#peers.members()
      .map((member) => this.#askHoldings(host, member));
    await Promise.all(asked);
    host.keeper.warmed();
  }

  async #askHoldings(host: Host, member: Member): Promise<void> {
    const answer = await this.#peers.ask(
      member.vm,
      Message.Holdings,
      { shard: host.shard },
      { timeoutMs: WARM_UP_MS, signal: host.abort.signal },
    );
    // A daemon that doesn't answer tells with its next renewal.
    if (answer.err) return;
    const parsed = holdingsAnswer.safeParse(answer.val);
    if (!parsed.success) return;
    const { holdings, findings } = parsed.data;
    for (const finding of findings) this.#quarantine.merge(finding);
    this.adopt(host.shard, member.vm, holdings);
  }

  /** Takes over permits that `entry` holds. */
  adopt(shard: string, entry: string, holdings: readonly Held[]): void {
    const now = this.#kernel.clock.now();
    this.#hosts.get(shard)?.keeper.adopt(
      holdings.map(({ permit, ticket, upstream, heldMs, demand }) => ({
        permit,
        ticket,
        upstream,
        entry,
        demand,
        grantedAt: now - heldMs,
      })),
    );
  }

  /** Reads an upstream's load and cache events until it goes. */
  async #read(
    host: Host,
    upstream: Upstream,
    signal: AbortSignal,
  ): Promise<void> {
    const { clock, settings } = this.#kernel;
    let seq = 0;
    while (!signal.aborted) {
      const alive = await this.#probe(host.shard, upstream.id);
      if (alive && !signal.aborted) {
        seq = await this.#events(host, upstream, seq);
      }
      await clock.sleep(settings.timing.loadMs, signal);
    }
  }

  /** Reads an upstream's load once; tells whether it answered. */
  async #probe(shard: string, id: string): Promise<boolean> {
    const upstream = this.#fleet.upstream(id);
    if (upstream === undefined) return false;
    const answer = await this.#bounded(
      this.#kernel.platform.engine.load(targetOf(upstream)),
    );
    const load = answer?.ok ? answer.val : undefined;
    this.#hosts.get(shard)?.keeper.probed(id, reachOf(answer), load);
    return answer?.ok === true;
  }

  async #events(host: Host, upstream: Upstream, seq: number): Promise<number> {
    const answer = await this.#bounded(
      this.#kernel.platform.engine.events(targetOf(upstream), seq),
    );
    if (answer === undefined || answer.err || answer.val.length === 0) {
      return seq;
    }
    host.keeper.cached(upstream.id, answer.val);
    return answer.val.reduce((last, event) => Math.max(last, event.seq), seq);
  }

  /** The value of `promise`, or nothing when it takes too long. */
  #bounded<T>(promise: Promise<T>): Promise<T | undefined> {
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

/** Eight characters that tell keepers apart; permits' ids travel often. */
function shortened(id: string): string {
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

/** What the answer to a load read, or its absence, shows. */
function reachOf(answer: Result<Load, Failure> | undefined): ProbeResult {
  if (answer === undefined) return ProbeResult.Silent;
  if (answer.ok) return ProbeResult.Alive;
  switch (answer.val.fault) {
    // A plain service that refuses to tell its load is there all the same.
    case Fault.Refused:
      return ProbeResult.Alive;
    case Fault.NotSent:
      return ProbeResult.Gone;
    case Fault.Unknown:
      return ProbeResult.Silent;
  }
}

function targetOf({ id, address }: Upstream): Target {
  return { id, address };
}
