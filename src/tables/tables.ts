/**
 * The two tables: routes say who may call, for what, at which priority; pools
 * name the upstreams serving them.
 *
 * @module
 */

/** What a route's callers do. */
export enum Kind {
  /** Model completions for callers. */
  Model = "model",
  /** Plain forwarding to services beside the engines. */
  Service = "service",
  /** Steps of samples for trainers. */
  Training = "training",
}

/** Classes of urgency, the most urgent first. */
export enum Priority {
  Interactive = "interactive",
  Standard = "standard",
  Training = "training",
  Batch = "batch",
}

/** A caller's key: its SHA-256 and whose it is. */
export interface Key {
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
  readonly kind: Kind;
  readonly pool: string;
  readonly priority: Priority;
  /** Whether callers need no key. */
  readonly open: boolean;
  /** Whether a request of this route may be repeated. */
  readonly repeatable: boolean;
  /** Tenants that may call, each with its share of the pool. */
  readonly tenants: readonly Share[];
  readonly keys: readonly Key[];
  /** Bound on a request's time, in milliseconds. */
  readonly deadlineMs: number;
  /** Most bytes of a request's body. */
  readonly maxBodyBytes: number;
  /** For training: how many versions old a sample may be. */
  readonly stalenessBound: number;
}

/** A tenant's contract on a route's pool. */
export interface Share {
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
}

/** Both tables; they change together. */
export interface Tables {
  readonly routes: readonly Route[];
  readonly pools: readonly Pool[];
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
