/**
 * Whether the rows make sense and the two tables agree. Each row is taken to
 * have its shape already.
 *
 * @module
 */

import { type Problem, TableFile } from "./problem.ts";
import {
  type CallerKey,
  type Pool,
  type Route,
  RouteKind,
  type Tables,
} from "./tables.ts";

/** First path segments that the daemon serves itself. */
const RESERVED = ["admin", "healthz", "metrics", "readyz", "v1"];

/**
 * Every disagreement in the tables. Pools in `unread` exist, but their rows
 * could not be read: nothing is held against the routes that name them.
 */
export function checkTables(
  tables: Tables,
  options: { unread?: readonly string[] } = {},
): readonly Problem[] {
  const unread = options.unread ?? [];
  return [
    ...tables.pools.flatMap(checkPool),
    ...repeated(tables.pools.map((pool) => pool.name))
      .map((name) => inPools(name, "", `pool "${name}" stands twice`)),
    ...tables.routes.flatMap((route) =>
      isExchange(route) ? checkExchange(route, tables) : checkRoute(route)
    ),
    ...repeated(tables.routes.map((route) => route.name))
      .map((name) => inRoutes(name, "", `route "${name}" stands twice`)),
    ...tables.routes.flatMap((route) =>
      isExchange(route) ? [] : checkJoin(route, tables, unread)
    ),
    ...checkClaims(tables.routes.filter((route) => !isExchange(route))),
    ...checkKeys(tables.routes),
    ...checkWeights(tables.routes),
  ];
}

function checkPool(pool: Pool): readonly Problem[] {
  const problems: Problem[] = [];
  if (pool.minUpstreams > pool.maxUpstreams) {
    const text = `"${pool.minUpstreams}" is more than max_upstreams ` +
      `"${pool.maxUpstreams}"`;
    problems.push(inPools(pool.name, "min_upstreams", text));
  }
  for (const zone of repeated(pool.availabilityZones)) {
    const text = `zone "${zone}" stands twice`;
    problems.push(inPools(pool.name, "availability_zones", text));
  }
  return problems;
}

function checkRoute(route: Route): readonly Problem[] {
  const problems: Problem[] = [];
  const found = (key: string, message: string) => {
    problems.push(inRoutes(route.name, key, message));
  };
  const service = route.kind === RouteKind.Service;
  if (service && route.path === "") found("path", "a service route needs one");
  if (service && route.model !== "") {
    found("model", `a service route has none, but it is "${route.model}"`);
  }
  if (!service && route.model === "") {
    found("model", `a ${route.kind} route needs one`);
  }
  if (!service && route.path !== "") {
    found("path", `a ${route.kind} route has none, but it is "${route.path}"`);
  }
  if (!service && !route.repeatable) {
    found("repeatable", "only a service route can be unrepeatable");
  }
  if (RESERVED.includes(route.path.split("/")[1] ?? "")) {
    found("path", `"${route.path}" is served by the daemon itself`);
  }
  problems.push(...checkCallers(route));
  return problems;
}

function isExchange({ kind }: Route): boolean {
  return kind === RouteKind.Exchange || kind === RouteKind.Batch;
}

function checkExchange(route: Route, { pools }: Tables): readonly Problem[] {
  const { exchange } = route;
  if (exchange === undefined) {
    const text = `a ${route.kind} route needs its terms`;
    return [inRoutes(route.name, "exchange", text)];
  }
  const unknown = exchange.pools.filter(({ pool }) =>
    !pools.some(({ name }) => name === pool)
  );
  return unknown.map(({ pool }) =>
    inRoutes(
      route.name,
      "exchange",
      `pool "${pool}" is not in ${TableFile.Pools}`,
    )
  );
}

function checkCallers(route: Route): readonly Problem[] {
  const problems: Problem[] = [];
  const found = (key: string, message: string) => {
    problems.push(inRoutes(route.name, key, message));
  };
  const tenants = route.tenants.map((share) => share.tenant);
  const shares = new Set(tenants);
  for (const tenant of repeated(tenants)) {
    found(`tenants.${tenant}`, `tenant "${tenant}" stands twice`);
  }
  for (const id of repeated(route.keys.map((key) => key.id))) {
    found(`keys.${id}`, `key "${id}" stands twice`);
  }
  for (const key of route.keys) {
    if (shares.has(key.tenant)) continue;
    found(`keys.${key.id}`, `tenant "${key.tenant}" has no share here`);
  }
  if (route.open && route.keys.length > 0) {
    found("keys", "an open route has none");
  }
  if (route.open && route.kind === RouteKind.Training) {
    found("open", "a training route needs keys");
  }
  if (route.open && tenants.length > 1) {
    found("tenants", "an open route has at most one, which is billed");
  }
  if (!route.open && tenants.length === 0) {
    found("tenants", "a route that is not open needs one at least");
  }
  return problems;
}

function checkJoin(
  route: Route,
  tables: Tables,
  unread: readonly string[],
): readonly Problem[] {
  if (unread.includes(route.pool)) return [];
  const pool = tables.pools.find((pool) => pool.name === route.pool);
  if (pool === undefined) {
    const text = `pool "${route.pool}" is not in ${TableFile.Pools}`;
    return [inRoutes(route.name, "pool", text)];
  }
  const service = route.kind === RouteKind.Service;
  if (service === (pool.model === "")) return [];
  const text = service
    ? `a service route can't use pool "${pool.name}" of a model`
    : `a ${route.kind} route can't use pool "${pool.name}" without a model`;
  return [inRoutes(route.name, "pool", text)];
}

/** No two routes may claim one path, nor one model for one kind of caller. */
function checkClaims(routes: readonly Route[]): readonly Problem[] {
  const problems: Problem[] = [];
  const claimed = new Map<string, Route>();
  for (const route of routes) {
    const service = route.kind === RouteKind.Service;
    const claim = service ? route.path : route.model;
    if (claim === "") continue;
    const first = claimed.get(`${route.kind} ${claim}`);
    if (first === undefined || first.name === route.name) {
      claimed.set(`${route.kind} ${claim}`, route);
      continue;
    }
    const text = `"${claim}" is claimed by route "${first.name}" too`;
    problems.push(inRoutes(route.name, service ? "path" : "model", text));
  }
  return problems;
}

/** A key may stand on many routes, but it is one tenant's and has one id. */
function checkKeys(routes: readonly Route[]): readonly Problem[] {
  const problems: Problem[] = [];
  const byId = new Map<string, CallerKey>();
  const byHash = new Map<string, CallerKey>();
  for (const route of routes) {
    for (const key of route.keys) {
      const other = byId.get(key.id) ?? key;
      const twin = byHash.get(key.sha256) ?? key;
      byId.set(key.id, other);
      byHash.set(key.sha256, twin);
      if (other.sha256 !== key.sha256 || other.tenant !== key.tenant) {
        const text = `id "${key.id}" stands for another key on another route`;
        problems.push(inRoutes(route.name, `keys.${key.id}`, text));
      }
      if (twin.id !== key.id) {
        const text = `the same key has the id "${twin.id}" too`;
        problems.push(inRoutes(route.name, `keys.${key.id}`, text));
      }
    }
  }
  return problems;
}

/** A tenant has one weight in a pool, on whichever route it calls. */
function checkWeights(routes: readonly Route[]): readonly Problem[] {
  const problems: Problem[] = [];
  const weights = new Map<string, { route: string; weight: number }>();
  for (const route of routes) {
    for (const { tenant, weight } of route.tenants) {
      const place = `${route.pool} ${tenant}`;
      const first = weights.get(place) ?? { route: route.name, weight };
      weights.set(place, first);
      if (first.weight === weight) continue;
      const text = `weight "${weight}", but "${first.weight}" on route ` +
        `"${first.route}" of the same pool`;
      problems.push(inRoutes(route.name, `tenants.${tenant}`, text));
    }
  }
  return problems;
}

function repeated(names: readonly string[]): readonly string[] {
  const seen = new Set<string>();
  const again = new Set<string>();
  for (const name of names) (seen.has(name) ? again : seen).add(name);
  return [...again];
}

function inRoutes(table: string, key: string, message: string): Problem {
  return { file: TableFile.Routes, table, key, message };
}

function inPools(table: string, key: string, message: string): Problem {
  return { file: TableFile.Pools, table, key, message };
}
