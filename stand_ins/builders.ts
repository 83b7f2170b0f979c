/**
 * Builders of configuration tables for tests, with a default for every field.
 *
 * @module
 */

import { createHash } from "node:crypto";
import {
  type CallerKey,
  type Pool,
  Priority,
  type Route,
  RouteKind,
  type Tables,
} from "../src/tables/mod.ts";

/** A pool of engines. */
export function pool(fields: Partial<Pool> = {}): Pool {
  return {
    name: "lm",
    model: "model",
    minUpstreams: 0,
    maxUpstreams: 8,
    reclaimableShare: 0,
    availabilityZones: ["a"],
    slots: 8,
    fenced: false,
    ...fields,
  };
}

/** A route for model completions to the pool `lm`. */
export function route(fields: Partial<Route> = {}): Route {
  return {
    name: "chat",
    path: "",
    model: "model",
    kind: RouteKind.Model,
    pool: "lm",
    priority: Priority.Interactive,
    open: false,
    repeatable: true,
    tenants: [{ tenant: "one", weight: 1 }],
    keys: [key("key-one", "one")],
    deadlineMs: 30_000,
    maxBodyBytes: 1 << 20,
    stalenessBound: 1,
    ...fields,
  };
}

/** The caller key for `secret`, with an id taken from the secret's hash. */
export function key(secret: string, organisation: string): CallerKey {
  const sha256 = createHash("sha256").update(secret).digest("hex");
  return { id: sha256.slice(0, 8), sha256, tenant: organisation };
}

/** Both tables; one route and its pool by default. */
export function tables(fields: Partial<Tables> = {}): Tables {
  return { routes: [route()], pools: [pool()], ...fields };
}
