/**
 * Semantic checks of the rows and of the references between the two tables.
 * Each row must already conform to its schema.
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

/** First path segments that are reserved for the daemon. */
const RESERVED_SEGMENTS = ["admin", "healthz", "metrics", "readyz", "v1"];

/**
 * All problems of the tables. Pools in `invalidPools` exist, but their rows could
 * not be read, so references to them are not reported.
 */
export function checkTables(
  tables: Tables,
  options: { invalidPools?: readonly string[] } = {},
): readonly Problem[] {
  const invalidPools = options.invalidPools ?? [];
  return [
    ...tables.pools.flatMap(checkPool),
    ...duplicatesOf(tables.pools.map((pool) => pool.name))
      .map((name) => poolsProblem(name, "", `pool "${name}" is defined twice`)),
    ...tables.routes.flatMap((route) =>
      isExchange(route) ? checkExchange(route, tables) : checkRoute(route)
    ),
    ...duplicatesOf(tables.routes.map((route) => route.name))
      .map((name) =>
        routesProblem(name, "", `route "${name}" is defined twice`)
      ),
    ...tables.routes.flatMap((route) =>
      isExchange(route) ? [] : checkPoolOf(route, tables, invalidPools)
    ),
    ...checkTargets(tables.routes.filter((route) => !isExchange(route))),
    ...checkKeys(tables.routes),
    ...checkWeights(tables.routes),
  ];
}

function checkPool(pool: Pool): readonly Problem[] {
  const problems: Problem[] = [];
  if (pool.minUpstreams > pool.maxUpstreams) {
    const text = `"${pool.minUpstreams}" is more than max_upstreams ` +
      `"${pool.maxUpstreams}"`;
    problems.push(poolsProblem(pool.name, "min_upstreams", text));
  }
  for (const zone of duplicatesOf(pool.availabilityZones)) {
    const text = `zone "${zone}" is listed twice`;
    problems.push(poolsProblem(pool.name, "availability_zones", text));
  }
  return problems;
}

function checkRoute(route: Route): readonly Problem[] {
  const problems: Problem[] = [];
  const add = (key: string, message: string) => {
    problems.push(routesProblem(route.name, key, message));
  };
  const service = route.kind === RouteKind.Service;
  if (service && route.path === "") add("path", "a service route needs one");
  if (service && route.model !== "") {
    add("model", `a service route must have none, not "${route.model}"`);
  }
  if (!service && route.model === "") {
    add("model", `a ${route.kind} route needs one`);
  }
  if (!service && route.path !== "") {
    add("path", `a ${route.kind} route must have none, not "${route.path}"`);
  }
  if (!service && !route.repeatable) {
    add("repeatable", "must be true except for a service route");
  }
  if (RESERVED_SEGMENTS.includes(route.path.split("/")[1] ?? "")) {
    add("path", `"${route.path}" is served by the daemon itself`);
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
    return [routesProblem(route.name, "exchange", text)];
  }
  const unknown = exchange.pools.filter(({ pool }) =>
    !pools.some(({ name }) => name === pool)
  );
  return unknown.map(({ pool }) =>
    routesProblem(
      route.name,
      "exchange",
      `pool "${pool}" is not in ${TableFile.Pools}`,
    )
  );
}

function checkCallers(route: Route): readonly Problem[] {
  const problems: Problem[] = [];
  const add = (key: string, message: string) => {
    problems.push(routesProblem(route.name, key, message));
  };
  const organisations = route.tenants.map((share) => share.tenant);
  const shares = new Set(organisations);
  for (const organisation of duplicatesOf(organisations)) {
    add(`tenants.${organisation}`, `tenant "${organisation}" is listed twice`);
  }
  for (const id of duplicatesOf(route.keys.map((key) => key.id))) {
    add(`keys.${id}`, `key "${id}" is listed twice`);
  }
  for (const key of route.keys) {
    if (shares.has(key.tenant)) continue;
    add(`keys.${key.id}`, `tenant "${key.tenant}" has no share on this route`);
  }
  if (route.open && route.keys.length > 0) {
    add("keys", "an open route must have none");
  }
  if (route.open && route.kind === RouteKind.Training) {
    add("open", "must be false for a training route, which requires keys");
  }
  if (route.open && organisations.length > 1) {
    add(
      "tenants",
      "must have at most one entry for an open route, which is billed",
    );
  }
  if (!route.open && organisations.length === 0) {
    add("tenants", "must have at least one entry unless the route is open");
  }
  return problems;
}

function checkPoolOf(
  route: Route,
  tables: Tables,
  invalidPools: readonly string[],
): readonly Problem[] {
  if (invalidPools.includes(route.pool)) return [];
  const pool = tables.pools.find((pool) => pool.name === route.pool);
  if (pool === undefined) {
    const text = `pool "${route.pool}" is not in ${TableFile.Pools}`;
    return [routesProblem(route.name, "pool", text)];
  }
  const service = route.kind === RouteKind.Service;
  if (service === (pool.model === "")) return [];
  const text = service
    ? `a service route can't use pool "${pool.name}" with a model`
    : `a ${route.kind} route can't use pool "${pool.name}" without a model`;
  return [routesProblem(route.name, "pool", text)];
}

/** Paths must be unique among routes, and models among routes of a kind. */
function checkTargets(routes: readonly Route[]): readonly Problem[] {
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
    problems.push(routesProblem(route.name, service ? "path" : "model", text));
  }
  return problems;
}

/** A key may occur on several routes, but with one organisation and one id. */
function checkKeys(routes: readonly Route[]): readonly Problem[] {
  const problems: Problem[] = [];
  const byId = new Map<string, CallerKey>();
  const byHash = new Map<string, CallerKey>();
  for (const route of routes) {
    for (const key of route.keys) {
      const sameId = byId.get(key.id) ?? key;
      const sameHash = byHash.get(key.sha256) ?? key;
      byId.set(key.id, sameId);
      byHash.set(key.sha256, sameHash);
      if (sameId.sha256 !== key.sha256 || sameId.tenant !== key.tenant) {
        const text =
          `id "${key.id}" has another key or tenant on another route`;
        problems.push(routesProblem(route.name, `keys.${key.id}`, text));
      }
      if (sameHash.id !== key.id) {
        const text = `the same key also has the id "${sameHash.id}"`;
        problems.push(routesProblem(route.name, `keys.${key.id}`, text));
      }
    }
  }
  return problems;
}

/** An organisation has the same weight in a pool on all routes. */
function checkWeights(routes: readonly Route[]): readonly Problem[] {
  const problems: Problem[] = [];
  const weights = new Map<string, { route: string; weight: number }>();
  for (const route of routes) {
    for (const { tenant, weight } of route.tenants) {
      const poolAndOrganisation = `${route.pool} ${tenant}`;
      const first = weights.get(poolAndOrganisation) ??
        { route: route.name, weight };
      weights.set(poolAndOrganisation, first);
      if (first.weight === weight) continue;
      const text = `weight "${weight}", but "${first.weight}" on route ` +
        `"${first.route}" of the same pool`;
      problems.push(routesProblem(route.name, `tenants.${tenant}`, text));
    }
  }
  return problems;
}

function duplicatesOf(names: readonly string[]): readonly string[] {
  const seen = new Set<string>();
  const duplicates = new Set<string>();
  for (const name of names) (seen.has(name) ? duplicates : seen).add(name);
  return [...duplicates];
}

function routesProblem(table: string, key: string, message: string): Problem {
  return { file: TableFile.Routes, table, key, message };
}

function poolsProblem(table: string, key: string, message: string): Problem {
  return { file: TableFile.Pools, table, key, message };
}
