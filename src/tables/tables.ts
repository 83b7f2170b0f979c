/**
 * The two tables: routes say who may call, for what, at which priority; pools
 * name the upstreams serving them.
 *
 * @module
 */

/** What a route's callers do. */
export enum RouteKind {
  /** Model completions for callers. */
  Model = "model",
  /** Plain forwarding to services beside the engines. */
  Service = "service",
  /** Steps of samples for trainers. */
  Training = "training",
  /** Requests that are passed on byte for byte. */
  Exchange = "exchange",
  /** Batches of such requests, kept until each has a result. */
  Batch = "batch",
}

/** Classes of urgency, the most urgent first. */
export enum Priority {
  Interactive = "interactive",
  Standard = "standard",
  Training = "training",
  Batch = "batch",
}

/** Classes by rank; ranks beyond the last are all of the last one. */
const CLASSES = [
  Priority.Interactive,
  Priority.Standard,
  Priority.Training,
  Priority.Batch,
] as const;

/** The class of urgency of a rank, of which 0 is the most urgent. */
export function priorityOf(rank: number): Priority {
  return CLASSES[Math.min(Math.max(0, rank), CLASSES.length - 1)];
}

/** A caller's key: its SHA-256 and whose it is. */
export interface CallerKey {
  /** Short public name of the key; safe in logs. */
  readonly id: string;
  readonly sha256: string;
  readonly tenant: string;
}

/** A line of the routes table. */
export interface Route {
  readonly name: string;
  /** Path prefix of a service route; model routes go by `model`. */
  readonly path: string;
  /** The model name that callers ask for; empty for service routes. */
  readonly model: string;
  readonly kind: RouteKind;
  readonly pool: string;
  readonly priority: Priority;
  /** Whether callers need no key. */
  readonly open: boolean;
  /** Whether a request of this route may be repeated. */
  readonly repeatable: boolean;
  /** Tenants that may call, each with its share of the pool. */
  readonly tenants: readonly OrganisationShare[];
  readonly keys: readonly CallerKey[];
  /** Bound on a request's time, in milliseconds. */
  readonly deadlineMs: number;
  /** Most bytes of a request's body. */
  readonly maxBodyBytes: number;
  /** For training: how many versions old a sample may be. */
  readonly stalenessBound: number;
  /** For exchange and batch routes, which every organisation may call. */
  readonly exchange?: ExchangeTerms;
}

/** Terms on which a route's requests are passed on byte for byte. */
export interface ExchangeTerms {
  readonly host: string;
  /** Begins and ends with a slash; the longest that begins a path is used. */
  readonly prefix: string;
  /** The pools among which the requests are split. */
  readonly pools: readonly PoolShare[];
  /** Time within which an answer has its full worth, in milliseconds. */
  readonly latencyGoalMs: number;
  /** Most upstreams that one request may be sent to. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly rank: number;
  /** Whether answers are streams of numbered events. */
  readonly streamed: boolean;
  /** Whether a broken stream may go on at another upstream. */
  readonly resumable: boolean;
  /** For batch routes only. */
  readonly batch?: BatchTerms;
}

/** A pool's part of a route's requests. */
export interface PoolShare {
  readonly pool: string;
  readonly weight: number;
}

/** What a batch route promises. */
export interface BatchTerms {
  /** Time from a submission until all results are due, in milliseconds. */
  readonly resultTargetMs: number;
  /** Time after which an item may be given up, in milliseconds. */
  readonly retentionMs: number;
  /** Whether all of a result must be made by one weight version. */
  readonly singleVersion: boolean;
}

/** An organisation that may call every exchange and batch route. */
export interface Organisation {
  readonly name: string;
  /** SHA-256 of each of its keys. */
  readonly keys: readonly string[];
  /** Goes before a route's rank. */
  readonly rank?: number;
}

/** Bounds on what a caller's connection may do. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** A tenant's contract on a route's pool. */
export interface OrganisationShare {
  readonly tenant: string;
  /** Weight against the other tenants of the same pool. */
  readonly weight: number;
}

/** A line of the pools table. */
export interface Pool {
  readonly name: string;
  /** The model whose weights the upstreams load; empty for plain services. */
  readonly model: string;
  /** Fewest running upstreams, over all availability zones. */
  readonly minUpstreams: number;
  readonly maxUpstreams: number;
  /** Of `maxUpstreams`, the part that may be reclaimable; 0 to 1. */
  readonly reclaimableShare: number;
  readonly availabilityZones: readonly string[];
  /** Requests that one upstream runs at once. */
  readonly slots: number;
  /** Whether the engines refuse an order with an old term. */
  readonly fenced: boolean;
  /** Models that share the upstreams; `model` is the only one without it. */
  readonly models?: readonly string[];
  /** Versions that an upstream may be behind and still serve; 0 if absent. */
  readonly versionLag?: number;
  /** Where upstreams are ordered, and what they cost there. */
  readonly scaling?: Scaling;
}

/** On what terms upstreams of a pool are ordered. */
export interface Scaling {
  /** Bounds on the number in each availability zone. */
  readonly minPerZone: number;
  readonly maxPerZone: number;
  /** Time from an order until the upstream serves, in milliseconds. */
  readonly bootMs: number;
  /** Price of a reclaimable upstream in parts of another one's. */
  readonly reclaimablePrice?: number;
  /** Price of a second of an upstream, by availability zone. */
  readonly zonePrices: Readonly<Record<string, number>>;
}

/** Both tables; they change together. */
export interface Tables {
  readonly routes: readonly Route[];
  readonly pools: readonly Pool[];
  readonly organisations?: readonly Organisation[];
  readonly callerLimits?: CallerLimits;
}

/** A revision of the tables, as kept by the platform's service. */
export interface Configuration {
  /** 1 for the first; each edit adds 1. */
  readonly revision: number;
  /** Unique to the edit; lets its author recognise it. */
  readonly attempt: string;
  readonly author: string;
  readonly note: string;
  /** ISO 8601 instant of the edit. */
  readonly at: string;
  readonly tables: Tables;
}

/** The key under which the platform's service holds the configuration. */
export const CONFIGURATION_KEY = "toucanwind/configuration";
