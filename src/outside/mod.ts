/**
 * Abstract interfaces of the platform's services and of the upstreams. The
 * daemon's logic depends on these only; most have an HTTP client beside them.
 *
 * @module
 */

import { fromNullable, type Option } from "fp-ts/Option";
import type { Result } from "ts-results";
import type { AnswerLimits } from "./answer_limits.ts";
import type { AgedEvacuatedZones, Evacuations } from "./evacuated_zones.ts";
import { connectTo, Reachability } from "./reachability.ts";
import type { NoticeFeed } from "./upstream_notices.ts";
import type { UpstreamTransport } from "./upstream_transport.ts";

export { Reachability };

/** How a call to an external service failed. */
export enum Fault {
  /** The call was not sent, so it had no effect. */
  NotSent = "not_sent",
  /** The service refused the call; it had no effect. */
  Refused = "refused",
  /** Another instance answers at the address; the call had no effect. */
  Replaced = "replaced",
  /** No answer came; the call may have taken effect. */
  Unknown = "unknown",
}

/** A failed call to an external service. */
export interface Failure {
  readonly fault: Fault;
  readonly message: string;
}

/** An entry of the key-value service. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Increases with every write to the service; 0 for an absent key. */
  readonly revision: number;
}

/** A lease of the key-value service; its keys are deleted when it ends. */
export interface KeyValueLease {
  readonly id: string;
  readonly ttlMs: number;
}

/** Result of a compare-and-swap; `current` is the entry that prevented it. */
export type SwapResult =
  | { readonly applied: true; readonly revision: number }
  | { readonly applied: false; readonly current: Option<KeyValueEntry> };

/** The platform's key-value service. A value has at most one megabyte. */
export abstract class KeyValue {
  /** Reads one key. */
  abstract get(key: string): Promise<Result<Option<KeyValueEntry>, Failure>>;

  /** Reads the entries under `prefix` in key order, from after key `after`. */
  abstract range(
    prefix: string,
    options?: { after?: string; limit?: number },
  ): Promise<Result<readonly KeyValueEntry[], Failure>>;

  /**
   * Writes `value` if the key's revision is `expected` (0 for absent).
   * After `Fault.Unknown` the write may have taken effect: read the key first.
   */
  abstract swap(key: string, options: {
    value: string;
    expected: number;
    lease?: string;
  }): Promise<Result<SwapResult, Failure>>;

  /** Deletes the key if its revision is `expected`. */
  abstract remove(
    key: string,
    expected: number,
  ): Promise<Result<SwapResult, Failure>>;

  /** Grants a lease that expires `ttlMs` after its last renewal. */
  abstract grant(ttlMs: number): Promise<Result<KeyValueLease, Failure>>;

  /** Renews a lease; refused if it has expired. */
  abstract renew(id: string): Promise<Result<KeyValueLease, Failure>>;

  /** Revokes a lease. */
  abstract revoke(id: string): Promise<Result<true, Failure>>;

  /**
   * Waits until `key` has a revision other than `known`, at most `waitMs`.
   * Returns the entry at that time, changed or not.
   */
  abstract watch(
    key: string,
    options: { known: number; waitMs: number; signal?: AbortSignal },
  ): Promise<Result<Option<KeyValueEntry>, Failure>>;
}

/** Changes of several keys that are applied atomically. */
export interface Transaction {
  /** Revisions that these keys must have; 0 for an absent key. */
  readonly expected: readonly { key: string; revision: number }[];
  readonly writes: readonly { key: string; value: string; lease?: string }[];
  readonly removes?: readonly string[];
}

/** Result of a transaction: applied, or not as expected revisions differ. */
export type TransactionResult =
  | { readonly applied: true; readonly revision: number }
  | { readonly applied: false; readonly current: readonly KeyValueEntry[] };

/** Entries at this revision of the service or a later one. */
export interface Snapshot {
  readonly entries: readonly KeyValueEntry[];
  /** Increases with every change of any key. */
  readonly revision: number;
}

/** A key-value service with transactions over several keys. */
export abstract class TransactionalKeyValue extends KeyValue {
  /** Reads the entries under a prefix in key order, at most `limit`. */
  abstract snapshot(
    prefix: string,
    options?: { limit?: number },
  ): Promise<Result<Snapshot, Failure>>;

  /**
   * Applies a transaction. After `Fault.Unknown` it may have taken effect, or
   * may do so later.
   */
  abstract commit(
    change: Transaction,
  ): Promise<Result<TransactionResult, Failure>>;

  async swap(key: string, options: {
    value: string;
    expected: number;
    lease?: string;
  }): Promise<Result<SwapResult, Failure>> {
    const { value, expected, lease } = options;
    return (await this.commit({
      expected: [{ key, revision: expected }],
      writes: [{ key, value, lease }],
    })).map(toSwapResult);
  }

  async remove(
    key: string,
    expected: number,
  ): Promise<Result<SwapResult, Failure>> {
    return (await this.commit({
      expected: [{ key, revision: expected }],
      writes: [],
      removes: [key],
    })).map(toSwapResult);
  }
}

/** Converts the result of a transaction on one key. */
function toSwapResult(commit: TransactionResult): SwapResult {
  if (commit.applied) return commit;
  return { applied: false, current: fromNullable(commit.current[0]) };
}

/** Purpose of a VM on the platform's list. */
export enum Role {
  Entry = "entry",
  Upstream = "upstream",
}

/** State of a VM on the platform's list. */
export enum VmState {
  Live = "live",
  Leaving = "leaving",
}

/** An item of the platform's list of VMs. */
export interface Vm {
  readonly id: string;
  readonly role: Role;
  readonly standing: VmState;
  readonly availabilityZone: string;
  /** Host and port: the peer port of an entry, the HTTP port of an upstream. */
  readonly address: string;
  /** Host and port of an entry's HTTP port; empty for an upstream. */
  readonly http: string;
  /** The pool that an upstream belongs to; empty for an entry. */
  readonly pool: string;
  /** Whether the platform may reclaim the VM at a few seconds' notice. */
  readonly reclaimable: boolean;
  /** Concurrent requests of an upstream, if the list has them. */
  readonly slots?: number;
  /** Weight version by model, if the list has them. */
  readonly weightVersions?: Readonly<Record<string, number>>;
  /** Orders accepted by an upstream since its start. */
  readonly orders?: number;
  /** Start time of an upstream in milliseconds since the Unix epoch. */
  readonly bornAt?: number;
  /** For how long an upstream stays cold, if the list says so. */
  readonly coldMs?: number;
}

/** The platform's list of live and leaving VMs, which lags behind. */
export abstract class Directory {
  abstract list(): Promise<Result<readonly Vm[], Failure>>;
}

/** A list of VMs; its revision increases whenever it may have changed. */
export interface VmListing {
  readonly vms: readonly Vm[];
  readonly revision: number;
  /** Absent if they were not read, or come from a daemon of an earlier build. */
  readonly evacuated?: AgedEvacuatedZones;
}

/** A source of lists of VMs that have revisions. */
export abstract class VmListingSource {
  /**
   * Whether it reads evacuated zones too. A list must then not be used before
   * these are known, or a restarted daemon would send to an evacuated zone.
   */
  readonly readsEvacuations: boolean = false;

  abstract read(): Promise<Result<VmListing, Failure>>;
}

/** Sets how many upstreams of a pool run in one availability zone. */
export interface Order {
  /** Idempotency key: the platform carries out an id once. */
  readonly id: string;
  readonly pool: string;
  readonly availabilityZone: string;
  readonly reclaimable: boolean;
  /** Wanted number of running upstreams. */
  readonly count: number;
  /** Fencing token of the lease holder; increases with each holder. */
  readonly term: number;
  /** The daemon that placed the order, for information only. */
  readonly holder: string;
}

/** What the platform offers in one availability zone for one pool. */
export interface Offer {
  readonly pool: string;
  readonly availabilityZone: string;
  readonly reclaimable: boolean;
  /** Price of one running upstream for an hour. */
  readonly pricePerHour: number;
  readonly running: number;
  /** Upstreams that are ordered but not yet live. */
  readonly starting: number;
  /** How many the platform could run now, including the running ones. */
  readonly available: number;
  /** Milliseconds until an announced reclaim; absent if there is none. */
  readonly reclaimInMs?: number;
}

/** The platform's service for ordering upstreams by availability zone. */
export abstract class OrderService {
  abstract offers(): Promise<Result<readonly Offer[], Failure>>;
  /** Places an order; `signal` limits how long it is in flight. */
  abstract place(
    order: Order,
    signal: AbortSignal,
  ): Promise<Result<true, Failure>>;
}

/** A request of the operators to retire a VM. */
export interface RetirementRequest {
  readonly vm: string;
  /** Differs for each request for the same VM. */
  readonly revision: number;
}

/** Whether an answer was written, or there was one. */
export type RetirementWrite = "written" | "answered before";

/** The operators' requests to retire VMs. */
export abstract class RetirementService {
  /** All requests, answered or not; at most one call. */
  abstract requests(): Promise<Result<readonly RetirementRequest[], Failure>>;

  /** Answers that a VM is drained, unless there is an answer. */
  abstract complete(vm: string): Promise<Result<RetirementWrite, Failure>>;
}

/** One organisation's usage in one window. Resends are byte-identical. */
export interface Report {
  readonly tenant: string;
  /** Start of the window, as an ISO 8601 instant. */
  readonly window: string;
  readonly holder: string;
  readonly term: number;
  readonly lines: readonly ReportLine[];
}

/** Usage of one model by one route. */
export interface ReportLine {
  readonly route: string;
  /** For late usage, the closed window that it belongs to; else empty. */
  readonly lateFrom: string;
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** The platform's service for usage reports. */
export abstract class ReportService {
  /** Sends `body`, the sealed text of a report, under `id`. */
  abstract send(
    id: string,
    body: string,
    signal: AbortSignal,
  ): Promise<Result<true, Failure>>;
}

/** The weight store, which is rate-limited. */
export abstract class WeightStore {
  /** The latest version published for each model; 0 before the first. */
  abstract latest(
    models: readonly string[],
  ): Promise<Result<ReadonlyMap<string, number>, Failure>>;

  /** Waits until a new version may have been published, at most `waitMs`. */
  abstract changed(options: {
    waitMs: number;
    signal: AbortSignal;
  }): Promise<void>;
}

/** An upstream's load as it reports it, which lags behind. */
export interface Load {
  readonly running: number;
  readonly queued: number;
  /** Largest number of requests in the engine's batch. */
  readonly slots: number;
  readonly weightVersion: number;
  readonly adapters: readonly string[];
  /** Weight version by model, if the engine serves several. */
  readonly weightVersions?: Readonly<Record<string, number>>;
  /** Whether the engine is carrying out an order. */
  readonly busy?: boolean;
  /** Orders accepted since the engine started. */
  readonly orders?: number;
}

/** A prefix that an engine added to its cache or evicted. */
export interface CacheEvent {
  readonly seq: number;
  readonly prefix: string;
  readonly cached: boolean;
}

/** A generation to run on an upstream. */
export interface Generation {
  /** Id of the request, which each chunk repeats. */
  readonly id: string;
  readonly model: string;
  readonly prompt: string;
  /** Text generated so far, from which the engine continues. */
  readonly resume: string;
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number;
  /** Higher priorities run first. */
  readonly priority: number;
}

/** A part of a generation's output. */
export interface Chunk {
  readonly id: string;
  readonly text: string;
  readonly tokens: number;
  readonly weightVersion: number;
  /** Empty until the last chunk; `stop` or `length` there. */
  readonly finishReason: string;
  /** Number of prompt tokens in the last chunk, else 0. */
  readonly promptTokens: number;
}

/** Why a call to an engine ended early; `kind` says if it may have run. */
export interface EngineFailure {
  readonly kind: EngineFault;
  readonly message: string;
}

/** Ways in which a call to an upstream ends early. */
export enum EngineFault {
  /** The connection failed: the upstream received nothing. */
  Connect = "connect",
  /** The upstream refused to run the request. */
  Refused = "refused",
  /** The connection broke after the request was sent. */
  Broken = "broken",
  /** No data arrived within the silence timeout. */
  Silent = "silent",
  /** The stream ended without its last chunk. */
  Truncated = "truncated",
  /** The caller or a time limit cancelled it. */
  Cancelled = "cancelled",
}

/** Identity and address of an upstream. */
export interface Target {
  readonly id: string;
  readonly address: string;
}

/** Client of model engines. */
export abstract class Engine {
  /** Runs a generation; if it is incomplete, the last item is the failure. */
  abstract generate(
    target: Target,
    generation: Generation,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Chunk, EngineFailure>, void, void>;

  abstract load(target: Target): Promise<Result<Load, Failure>>;

  /** Whether an upstream reports its load; a plain service doesn't. */
  reportsLoad(_target: Target): boolean {
    return true;
  }

  /** Opens and closes a connection to an upstream; sends nothing on it. */
  connect(target: Target): Promise<Reachability> {
    return connectTo(target.address);
  }

  /** Asks an upstream that reports no load whether it is alive. */
  checkHealth(_target: Target, _path: string): Promise<Reachability> {
    return Promise.resolve(Reachability.Unknown);
  }

  /** Cache events after `seq`; a gap in `seq` means lost events. */
  abstract events(
    target: Target,
    seq: number,
  ): Promise<Result<readonly CacheEvent[], Failure>>;

  /** Orders the engine to load a weight version; fenced by `term`. */
  abstract loadWeights(target: Target, options: {
    model: string;
    version: number;
    term: number;
    /** The daemon that placed the order, for information only. */
    holder?: string;
    /** Expected number of accepted orders, if the engine shall check it. */
    orders?: number;
    signal: AbortSignal;
  }): Promise<Result<true, Failure>>;
}

/** All external services that a daemon uses. */
export interface Platform {
  readonly keyValue: KeyValue;
  readonly directory: Directory;
  readonly orders: OrderService;
  readonly reports: ReportService;
  readonly weights: WeightStore;
  readonly engine: Engine;
  /** The key-value service, if it has transactions. */
  readonly records?: TransactionalKeyValue;
  /** Forwards requests unmodified, for routes that need it. */
  readonly upstreamTransport?: UpstreamTransport;
  /** Limits that the clients share; absent if they need none. */
  readonly answerLimits?: AnswerLimits;
  /** What upstreams say of themselves; absent if they say nothing. */
  readonly notices?: NoticeFeed;
  /** Requests to retire VMs; absent on platforms without any. */
  readonly retirements?: RetirementService;
  /** The evacuated zones; absent on platforms without evacuations. */
  readonly evacuations?: Evacuations;
}

export {
  type AgedEvacuatedZones,
  type EvacuatedZones,
  type EvacuationChange,
  Evacuations,
} from "./evacuated_zones.ts";
export { type StatedLoad, type UpstreamNotice } from "./upstream_notices.ts";
export {
  type HeaderFields,
  isFinal,
  isNotExecuted,
  Loss,
  type LostRequest,
  type StreamEvent,
  type UpstreamRequest,
  type UpstreamResponse,
  type UpstreamStream,
  UpstreamTransport,
} from "./upstream_transport.ts";
