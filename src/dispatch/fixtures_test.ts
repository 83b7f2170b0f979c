/**
 * Builders for the tests of this folder, and daemons linked in memory.
 *
 * @module
 */

import { none, type Option, some } from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import { ActiveConfiguration } from "../config/mod.ts";
import { activeConfigurationKey } from "../config/mod.ts";
import {
  Kernel,
  Reason,
  Refusal,
  SystemClock,
  Verdict,
} from "../kernel/mod.ts";
import { MemoryTransactionalKeyValue } from "../../stand_ins/memory_transactional_key_value.ts";
import { type Member, Peers, peersKey } from "../peers/mod.ts";
import {
  type Failure,
  Fault,
  type Load,
  type Platform,
  Reachability,
  Role,
  type Vm,
  VmState,
} from "../outside/mod.ts";
import { Evacuations } from "../outside/evacuated_zones.ts";
import { NoticeFeed } from "../outside/upstream_notices.ts";
import type { Settings } from "../settings/mod.ts";
import {
  type ColdStart,
  type Configuration,
  type Pool,
  Priority,
} from "../tables/mod.ts";
import { Dispatcher } from "./dispatcher.ts";
import { type Demand, dispatchKey } from "./mod.ts";
import type { Ticket } from "./queue.ts";
import { hash, type Upstream } from "./shards.ts";

let count = 0;

export function demand(part: Partial<Demand> = {}): Demand {
  count += 1;
  return {
    id: `request-${count}`,
    pool: "lm",
    route: "chat",
    tenant: "a",
    priority: Priority.Standard,
    weight: 1,
    tokens: 100,
    prefixes: [],
    remainingMs: 60_000,
    minVersion: 0,
    exclude: [],
    fingerprint: `fingerprint-${count}`,
    attempt: 0,
    ...part,
  };
}

export function ticket(part: Partial<Demand> = {}): Ticket {
  const wanted = demand(part);
  return {
    id: wanted.id,
    entry: "entry-1",
    availabilityZone: "zone-1",
    demand: wanted,
    queuedAt: 0,
  };
}

export function upstream(part: Partial<Upstream> = {}): Upstream {
  const id = part.id ?? "up-1";
  return {
    id,
    address: `${id}:80`,
    pool: "lm",
    availabilityZone: "zone-1",
    reclaimable: false,
    leaving: false,
    evacuated: false,
    slots: 2,
    ...part,
  };
}

export function vm(part: Partial<Vm> = {}): Vm {
  const id = part.id ?? "up-1";
  return {
    id,
    role: Role.Upstream,
    standing: VmState.Live,
    availabilityZone: "zone-1",
    address: `${id}:80`,
    http: "",
    pool: "lm",
    reclaimable: false,
    ...part,
  };
}

export function load(part: Partial<Load> = {}): Load {
  return {
    running: 0,
    queued: 0,
    slots: 2,
    weightVersion: 1,
    adapters: [],
    ...part,
  };
}

const pool: Pool = {
  name: "lm",
  model: "lm",
  minUpstreams: 1,
  maxUpstreams: 8,
  reclaimableShare: 0,
  availabilityZones: ["zone-1"],
  slots: 2,
  fenced: true,
};

class FixedConfig extends ActiveConfiguration {
  readonly #coldStart: ColdStart | undefined;

  constructor(coldStart?: ColdStart) {
    super();
    this.#coldStart = coldStart;
  }

  current(): Option<Configuration> {
    return some({
      revision: 1,
      attempt: "1",
      author: "",
      note: "",
      at: "",
      tables: {
        routes: [],
        pools: [{ ...pool, coldStart: this.#coldStart }],
      },
    });
  }
  ageMs(): number {
    return 0;
  }
  fresh(): boolean {
    return true;
  }
  authorize(): never {
    throw new Error("Not used");
  }
  identify(): never {
    throw new Error("Not used");
  }
  granted(): Option<never> {
    return none;
  }
  onChange(): () => void {
    return () => {};
  }
}

/** Daemons in one process, their links and the VMs of their platform. */
export class DispatchCluster {
  readonly nodes = new Map<string, Kernel>();
  readonly lost = new Set<string>();
  readonly keyValue = new MemoryTransactionalKeyValue();
  readonly listeners = new Set<() => void>();
  vms: readonly Vm[];
  /** Daemons that are cut off from all others, which still count them. */
  readonly cut = new Set<string>();
  /** What upstreams say of themselves in answers to each daemon. */
  readonly feeds = new Map<string, NoticeFeed>();
  /** The evacuated zones as each daemon knows them. */
  readonly evacuations = new Map<string, Evacuations>();
  /** Kinds of message whose next answer is lost. */
  readonly droppedAnswers = new Set<string>();
  /** Kinds of message that never arrive. */
  readonly droppedMessages = new Set<string>();
  /** What upstreams report of their load. */
  readonly loads = new Map<string, Partial<Load>>();
  /** How often the daemons read the list of VMs. */
  readonly #directoryMs: number;
  /** How often each daemon sends gossip to all others; never without it. */
  readonly #gossipMs: number | undefined;
  #gossipTimer: ReturnType<typeof setInterval> | undefined;

  /** How the pool's upstreams are cold after a start, if they are. */
  readonly #coldStart: ColdStart | undefined;

  constructor(options: {
    vms: readonly Vm[];
    directoryMs?: number;
    gossipMs?: number;
    coldStart?: ColdStart;
  }) {
    this.vms = options.vms;
    this.#coldStart = options.coldStart;
    this.#directoryMs = options.directoryMs ?? 20;
    this.#gossipMs = options.gossipMs;
  }

  add(id: string): Dispatcher {
    const kernel = new Kernel({
      settings: settings(id, this.#directoryMs),
      platform: this.#platform(id),
      incarnation: `${id}-1`,
      clock: new SystemClock(),
      registrations: [
        {
          key: peersKey,
          requires: [],
          create: () => new InMemoryPeers(this, id),
        },
        {
          key: activeConfigurationKey,
          requires: [],
          create: () => new FixedConfig(this.#coldStart),
        },
        {
          key: dispatchKey,
          requires: [],
          create: (kernel) => new Dispatcher(kernel),
        },
      ],
    });
    this.nodes.set(id, kernel);
    return kernel.get(dispatchKey) as Dispatcher;
  }

  async start(): Promise<void> {
    for (const kernel of this.nodes.values()) await kernel.start();
    if (this.#gossipMs === undefined) return;
    this.#gossipTimer = setInterval(() => this.#gossip(), this.#gossipMs);
  }

  /** Passes the summaries of shards between all daemons that are linked. */
  #gossip(): void {
    const linked = [...this.nodes]
      .filter(([id]) => !this.lost.has(id) && !this.cut.has(id))
      .map(([id, kernel]) => ({
        id,
        section: kernel.get(dispatchKey).props.gossip?.["dispatch.shards"],
      }));
    for (const from of linked) {
      for (const to of linked) {
        if (from === to) continue;
        const offered = from.section?.offer(to.id);
        if (offered === undefined) continue;
        to.section?.accept(JSON.parse(JSON.stringify(offered)), from.id);
      }
    }
  }

  /** Fails a daemon: its links break and the others notice. */
  failDaemon(id: string): void {
    this.lost.add(id);
    for (const listener of this.listeners) listener();
  }

  /** Cuts a daemon off: its links end, and no new ones come about. */
  cutOff(id: string): void {
    this.cut.add(id);
    for (const listener of this.listeners) listener();
  }

  async stop(): Promise<void> {
    clearInterval(this.#gossipTimer);
    for (const kernel of this.nodes.values()) await kernel.shutdown();
  }

  leaderOf(shard: string): string {
    const kernel = [...this.nodes.entries()]
      .find(([id]) => !this.lost.has(id));
    return kernel?.[1].get(peersKey).ranked(shard)[0].vm ?? "";
  }

  /** A daemon gets an answer in which an upstream says that it leaves. */
  announceLeaving(daemon: string, upstream: string): void {
    const fields = { limit: [], leaving: ["1"] };
    this.feeds.get(daemon)?.publish(upstream, fields, { requestAgeMs: 0 });
  }

  /** These daemons, or all, learn which zones are evacuated from now on. */
  evacuate(
    zones: readonly string[],
    daemons: readonly string[] = [...this.nodes.keys()],
  ): void {
    for (const daemon of daemons) {
      const known = this.evacuations.get(daemon);
      const revision = (known?.newest?.revision ?? 0) + 1;
      known?.merge({ revision, zones, ageMs: 0 });
    }
  }

  /** A daemon gets an answer in which an upstream names a limit, or none. */
  announceLimit(daemon: string, upstream: string, limit?: string): void {
    const fields = { limit: limit === undefined ? [] : [limit], leaving: [] };
    this.feeds.get(daemon)?.publish(upstream, fields, { requestAgeMs: 0 });
  }

  /** A daemon gets an answer in which an upstream states its load. */
  announceLoad(daemon: string, upstream: string, load: string): void {
    const fields = { limit: [], leaving: [], load: [load] };
    this.feeds.get(daemon)?.publish(upstream, fields, { requestAgeMs: 0 });
  }

  /** A daemon gets an answer in which an upstream says for how long it is cold. */
  announceCold(daemon: string, upstream: string, coldMs: number): void {
    const fields = { limit: [], leaving: [], cold: [`${coldMs}`] };
    this.feeds.get(daemon)?.publish(upstream, fields, { requestAgeMs: 0 });
  }

  #platform(id: string): Platform {
    const notices = new NoticeFeed();
    this.feeds.set(id, notices);
    const evacuations = new Evacuations({ clock: new SystemClock() });
    this.evacuations.set(id, evacuations);
    const platform = {
      notices,
      evacuations,
      keyValue: this.keyValue,
      directory: { list: () => Promise.resolve(Ok(this.vms)) },
      engine: {
        load: ({ id }: { id: string }): Promise<Result<Load, Failure>> =>
          Promise.resolve(
            this.vms.some((one) => one.id === id)
              ? Ok(load(this.loads.get(id)))
              : Err({ fault: Fault.NotSent, message: "Gone" }),
          ),
        reportsLoad: () => true,
        connect: ({ id }: { id: string }) =>
          Promise.resolve(
            this.vms.some((one) => one.id === id)
              ? Reachability.Connected
              : Reachability.Gone,
          ),
        events: () => Promise.resolve(Ok([])),
      },
    };
    return platform as unknown as Platform;
  }
}

class InMemoryPeers extends Peers {
  readonly self: Member;
  readonly #cluster: DispatchCluster;

  constructor(cluster: DispatchCluster, id: string) {
    super();
    this.#cluster = cluster;
    this.self = member(id);
  }

  members(): readonly Member[] {
    return [...this.#cluster.nodes.keys()]
      .filter((id) => !this.#cluster.lost.has(id))
      .map(member);
  }

  ranked(name: string): readonly Member[] {
    const score = ({ vm }: Member) => hash(`${name}@${vm}`);
    return [...this.members()].sort((a, b) => score(b) - score(a));
  }

  async ask(
    id: string,
    kind: string,
    body: unknown,
    options: { timeoutMs: number; signal?: AbortSignal },
  ): Promise<Result<unknown, Refusal>> {
    const kernel = this.#cluster.nodes.get(id);
    if (kernel === undefined || !this.#reaches(id)) {
      return Err(failed(Verdict.NotRun));
    }
    if (this.#cluster.droppedMessages.has(kind)) {
      return Err(failed(Verdict.MayHaveRun));
    }
    const handler = kernel.get(dispatchKey).props.peerHandlers?.[kind];
    if (handler === undefined) return Err(failed(Verdict.MayHaveRun));
    const copy: unknown = JSON.parse(JSON.stringify(body));
    const link = new AbortController();
    const answer = handler(copy, this.self.vm, link.signal);
    const dropped = this.#cluster.droppedAnswers.delete(kind);
    const lost = this.#ends(id, { ...options, link });
    const first = await Promise.race([
      answer.then((value) => Ok(value)),
      lost.promise,
    ]);
    lost.end();
    return dropped ? Err(failed(Verdict.MayHaveRun)) : first;
  }

  onChange(listener: () => void): () => void {
    this.#cluster.listeners.add(listener);
    return () => this.#cluster.listeners.delete(listener);
  }

  #reaches(id: string): boolean {
    const { lost, cut } = this.#cluster;
    if (lost.has(id)) return false;
    return id === this.self.vm || !cut.has(id) && !cut.has(this.self.vm);
  }

  /** Resolves when the link breaks, the caller aborts or the time is over. */
  #ends(id: string, options: {
    timeoutMs: number;
    signal?: AbortSignal;
    link: AbortController;
  }) {
    let end = () => {};
    const promise = new Promise<Result<unknown, Refusal>>((resolve) => {
      const settle = () => resolve(Err(failed(Verdict.MayHaveRun)));
      const listener = () => {
        if (this.#reaches(id)) return;
        options.link.abort();
        settle();
      };
      const timer = setTimeout(settle, Math.min(options.timeoutMs, 10_000));
      this.#cluster.listeners.add(listener);
      options.signal?.addEventListener("abort", settle);
      end = () => {
        clearTimeout(timer);
        this.#cluster.listeners.delete(listener);
        options.signal?.removeEventListener("abort", settle);
      };
    });
    return { promise, end: () => end() };
  }
}

function failed(verdict: Verdict): Refusal {
  return new Refusal({
    verdict,
    reason: Reason.PeerFailed,
    message: "The link is broken",
  });
}

function member(vm: string): Member {
  return {
    vm,
    incarnation: `${vm}-1`,
    address: `${vm}:1`,
    http: `${vm}:2`,
    availabilityZone: "zone-1",
    leaving: false,
    cores: 1,
  };
}

function settings(id: string, directoryMs: number): Settings {
  const part = {
    vm: id,
    availabilityZone: "zone-1",
    region: "r",
    timing: { directoryMs, loadMs: 50 },
  };
  return part as unknown as Settings;
}
