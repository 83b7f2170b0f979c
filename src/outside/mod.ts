/**
 * What the daemon asks of the platform and of upstreams, as abstract classes.
 * Decisions depend on these only; each has one HTTP implementation beside it.
 *
 * @module
 */

import { fromNullable, type Option } from "fp-ts/Option";
import type { Result } from "ts-results";
import type { UpstreamTransport } from "./upstream_transport.ts";

/** How a call to an outside service failed. */
export enum Fault {
  /** The call surely had no effect. */
  NotSent = "not_sent",
  /** The call was answered with a refusal; it had no effect. */
  Refused = "refused",
  /** No answer came; the call may have taken effect. */
  Unknown = "unknown",
}

/** A failed call to an outside service. */
export interface Failure {
  readonly fault: Fault;
  readonly message: string;
}

/** A value of the key-value service. */
export interface KeyValueEntry {
  readonly key: string;
  readonly value: string;
  /** Grows with every write to the service; 0 stands for an absent key. */
  readonly revision: number;
}

/** A lease of the key-value service; keys written under it vanish with it. */
export interface KeyValueLease {
  readonly id: string;
  readonly ttlMs: number;
}

/** A compare-and-swap that was answered: applied, or lost to `current`. */
export type SwapResult =
  | { readonly applied: true; readonly revision: number }
  | { readonly applied: false; readonly current: Option<KeyValueEntry> };

/** The platform's key-value service. Values hold at most a megabyte. */
export abstract class KeyValue {
  /** Reads one key. */
  abstract get(key: string): Promise<Result<Option<KeyValueEntry>, Failure>>;

  /** Reads keys under `prefix` in order, after the key `after`. */
  abstract range(
    prefix: string,
    options?: { after?: string; limit?: number },
  ): Promise<Result<readonly KeyValueEntry[], Failure>>;

  /**
   * Writes `value` if the key's revision is `expected` (0 for absent).
   * On `Fault.Unknown` the write may have taken effect: read before deciding.
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

  /** Makes a lease that lapses `ttlMs` after its last renewal. */
  abstract grant(ttlMs: number): Promise<Result<KeyValueLease, Failure>>;

  /** Renews a lease; a lapsed one is refused. */
  abstract renew(id: string): Promise<Result<KeyValueLease, Failure>>;

  /** Ends a lease at once. */
  abstract revoke(id: string): Promise<Result<true, Failure>>;

  /**
   * Waits until `key` has a revision other than `known`, at most `waitMs`.
   * Answers with the entry as it is then, changed or not.
   */
  abstract watch(
    key: string,
    options: { known: number; waitMs: number; signal?: AbortSignal },
  ): Promise<Result<Option<KeyValueEntry>, Failure>>;
}

/** Changes of several keys that take effect together or not at all. */
export interface Transaction {
  /** Keys that must have these revisions; 0 stands for an absent key. */
  readonly expected: readonly { key: string; revision: number }[];
  readonly writes: readonly { key: string; value: string; lease?: string }[];
  readonly removes?: readonly string[];
}

/** An answered change: applied, or refused as the expected keys differ. */
export type TransactionResult =
  | { readonly applied: true; readonly revision: number }
  | { readonly applied: false; readonly current: readonly KeyValueEntry[] };

/** Entries as of a revision of the service at least. */
export interface Snapshot {
  readonly entries: readonly KeyValueEntry[];
  /** Grows with every change of any key. */
  readonly revision: number;
}

/** A key-value service that changes several keys at once. */
export abstract class TransactionalKeyValue extends KeyValue {
  /** All entries under a prefix. */
  abstract snapshot(prefix: string): Promise<Result<Snapshot, Failure>>;

  /** On `Fault.Unknown` the change may have taken effect, or may yet. */
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
    })).map(swapOf);
  }

  async remove(
    key: string,
    expected: number,
  ): Promise<Result<SwapResult, Failure>> {
    return (await this.commit({
      expected: [{ key, revision: expected }],
      writes: [],
      removes: [key],
    })).map(swapOf);
  }
}

/** A change of one key as a swap. */
function swapOf(commit: TransactionResult): SwapResult {
  if (commit.applied) return commit;
  return { applied: false, current: fromNullable(commit.current[0]) };
}

/** What a VM on the platform's list is for. */
export enum Role {
  Entry = "entry",
  Upstream = "upstream",
}

/** What the platform's list says of a VM. */
export enum VmState {
  Live = "live",
  Leaving = "leaving",
}

/** One line of the platform's list of VMs. */
export interface Vm {
  readonly id: string;
  readonly role: Role;
  readonly standing: VmState;
  readonly availabilityZone: string;
  /** Host and port: an entry's peer port, an upstream's HTTP port. */
  readonly address: string;
  /** Host and port of an entry's HTTP port; empty for an upstream. */
  readonly http: string;
  /** The pool that an upstream belongs to; empty for an entry. */
  readonly pool: string;
  /** Whether the VM can be reclaimed at a few seconds' notice. */
  readonly reclaimable: boolean;
  /** Requests that an upstream runs at once, where the list says so. */
  readonly slots?: number;
  /** Weight version by model, where the list says so. */
  readonly weightVersions?: Readonly<Record<string, number>>;
  /** Orders that an upstream has accepted since its start. */
  readonly orders?: number;
  /** Start of an upstream in milliseconds since the Unix epoch. */
  readonly bornAt?: number;
}

/** The platform's lagging list of live and leaving VMs. */
export abstract class Directory {
  abstract list(): Promise<Result<readonly Vm[], Failure>>;
}

/** A list with a number that grows whenever the list may have changed. */
export interface VmListing {
  readonly vms: readonly Vm[];
  readonly revision: number;
}

/** A source of lists that can be told apart by age. */
export abstract class VmListingSource {
  abstract read(): Promise<Result<VmListing, Failure>>;
}

/** How many upstreams of a pool shall run in one availability zone. */
export interface Order {
  /** Makes resending harmless: the platform runs an id once. */
  readonly id: string;
  readonly pool: string;
  readonly availabilityZone: string;
  readonly reclaimable: boolean;
  /** Wanted number of running upstreams. */
  readonly count: number;
  /** Term of the holder; rises with each holder. */
  readonly term: number;
  /** The ordering daemon, for the record. */
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
  /** Upstreams ordered but not yet live. */
  readonly starting: number;
  /** How many the platform could run now, the running ones included. */
  readonly available: number;
  /** Milliseconds until a reclaim that was announced; absent without one. */
  readonly reclaimInMs?: number;
}

/** The interface on which upstreams are ordered by availability zone. */
export abstract class OrderService {
  abstract offers(): Promise<Result<readonly Offer[], Failure>>;
  /** Places an order; `signal` bounds how long it stays in flight. */
  abstract place(
    order: Order,
    signal: AbortSignal,
  ): Promise<Result<true, Failure>>;
}

/** One usage report: a tenant's window. Resends are byte-identical. */
export interface Report {
  readonly tenant: string;
  /** Start of the window, as an ISO 8601 instant. */
  readonly window: string;
  readonly holder: string;
  readonly term: number;
  readonly lines: readonly ReportLine[];
}

/** What one route used of one model. */
export interface ReportLine {
  readonly route: string;
  /** The window of the use where it was closed before; else empty. */
  readonly lateFrom: string;
  readonly requests: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** The interface that takes usage reports. */
export abstract class ReportService {
  /** Sends `body`, the sealed text of a report, under `id`. */
  abstract send(
    id: string,
    body: string,
    signal: AbortSignal,
  ): Promise<Result<true, Failure>>;
}

/** The rate-limited weight store. */
export abstract class WeightStore {
  /** The newest version published for each model; 0 before the first. */
  abstract latest(
    models: readonly string[],
  ): Promise<Result<ReadonlyMap<string, number>, Failure>>;

  /** Waits until another version may be there, at most `waitMs`. */
  abstract changed(options: {
    waitMs: number;
    signal: AbortSignal;
  }): Promise<void>;
}

/** An upstream's load, as it tells it; lags behind the truth. */
export interface Load {
  readonly running: number;
  readonly queued: number;
  /** Requests that the engine batches at once. */
  readonly slots: number;
  readonly weightVersion: number;
  readonly adapters: readonly string[];
  /** Weight version by model, where an engine serves several. */
  readonly weightVersions?: Readonly<Record<string, number>>;
  /** Whether an order is being carried out. */
  readonly busy?: boolean;
  /** Orders accepted since the engine's start. */
  readonly orders?: number;
}

/** A prefix that an engine put into its cache or evicted. */
export interface CacheEvent {
  readonly seq: number;
  readonly prefix: string;
  readonly cached: boolean;
}

/** A generation to run on an upstream. */
export interface Generation {
  /** The request's own marker; comes back in each chunk. */
  readonly id: string;
  readonly model: string;
  readonly prompt: string;
  /** Text generated earlier, which the engine continues. */
  readonly resume: string;
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number;
  /** Higher runs first. */
  readonly priority: number;
}

/** A piece of a generation. */
export interface Chunk {
  readonly id: string;
  readonly text: string;
  readonly tokens: number;
  readonly weightVersion: number;
  /** Empty until the last chunk; `stop` or `length` there. */
  readonly finishReason: string;
  /** Tokens of the prompt; in the last chunk, else 0. */
  readonly promptTokens: number;
}

/** How a call to an engine ended early, and whether it may have run. */
export interface EngineFailure {
  readonly kind: EngineFault;
  readonly message: string;
}

/** Ways in which a call to an upstream ends early. */
export enum EngineFault {
  /** No connection was made: the upstream saw nothing. */
  Connect = "connect",
  /** The upstream answered that it does not run the request. */
  Refused = "refused",
  /** The connection broke after the request was sent. */
  Broken = "broken",
  /** Nothing came for longer than the bound on silence. */
  Silent = "silent",
  /** The stream ended without its last chunk. */
  Truncated = "truncated",
  /** The caller or a bound cancelled it. */
  Cancelled = "cancelled",
}

/** The address of an upstream, with its identity. */
export interface Target {
  readonly id: string;
  readonly address: string;
}

/** What the daemon asks of a model engine. */
export abstract class Engine {
  /** Runs a generation; the last item says how it ended, if not whole. */
  abstract generate(
    target: Target,
    generation: Generation,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Chunk, EngineFailure>, void, void>;

  abstract load(target: Target): Promise<Result<Load, Failure>>;

  /** Cache events after `seq`; gaps in `seq` are events that were lost. */
  abstract events(
    target: Target,
    seq: number,
  ): Promise<Result<readonly CacheEvent[], Failure>>;

  /** Orders a weight version to be loaded, under the holder's term. */
  abstract loadWeights(target: Target, options: {
    model: string;
    version: number;
    term: number;
    /** The ordering daemon, for the record. */
    holder?: string;
    /** Orders that the engine has accepted, if it shall check that. */
    orders?: number;
    signal: AbortSignal;
  }): Promise<Result<true, Failure>>;
}

/** Everything outside that the daemon reaches. */
export interface Platform {
  readonly keyValue: KeyValue;
  readonly directory: Directory;
  readonly orders: OrderService;
  readonly reports: ReportService;
  readonly weights: WeightStore;
  readonly engine: Engine;
  /** The key-value service, where it changes several keys at once. */
  readonly records?: TransactionalKeyValue;
  /** What passes requests on byte for byte, where routes ask for that. */
  readonly upstreamTransport?: UpstreamTransport;
}

export {
  type HeaderFields as Fields,
  isNotExecuted as isUnrun,
  Loss,
  type LostRequest as Lost,
  type StreamEvent as Piece,
  type UpstreamRequest as Parcel,
  type UpstreamResponse as Delivery,
  type UpstreamStream as Flow,
  UpstreamTransport as Carrier,
} from "./upstream_transport.ts";
