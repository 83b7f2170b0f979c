/**
 * Prints the tables as two TOML files in canonical form: equal tables give
 * equal files.
 *
 * @module
 */

import { contramap, type Ord } from "fp-ts/Ord";
import * as RA from "fp-ts/ReadonlyArray";
import * as S from "fp-ts/string";
import type {
  CallerKey,
  OrganisationShare,
  Pool,
  Route,
  Tables,
} from "./tables.ts";

/** Both files as text; parsing them returns the canonical tables. */
export function printTables(
  tables: Tables,
): { readonly routes: string; readonly pools: string } {
  const { routes, pools } = canonicalTables(tables);
  return {
    routes: routes.map(printRoute).join("\n"),
    pools: pools.map(printPool).join("\n"),
  };
}

/** The tables with their rows and lists sorted by name. */
export function canonicalTables(tables: Tables): Tables {
  return {
    ...tables,
    routes: RA.sort(byName)(tables.routes.map((route) => ({
      ...route,
      tenants: RA.sort(byOrganisation)(route.tenants),
      keys: RA.sort(byId)(route.keys),
    }))),
    pools: RA.sort(byName)(tables.pools.map((pool) => ({
      ...pool,
      availabilityZones: RA.sort(S.Ord)(pool.availabilityZones),
    }))),
  };
}

/** Whether the tables are equal except for order. */
export function sameTables(a: Tables, b: Tables): boolean {
  const left = printTables(a);
  const right = printTables(b);
  return left.routes === right.routes && left.pools === right.pools;
}

const byName: Ord<{ readonly name: string }> = contramap(
  (row: { readonly name: string }) => row.name,
)(S.Ord);
const byOrganisation: Ord<OrganisationShare> = contramap((
  share: OrganisationShare,
) => share.tenant)(S.Ord);
const byId: Ord<CallerKey> = contramap((key: CallerKey) => key.id)(S.Ord);

// Strings need no escaping: each matches a pattern of the schema, none of which
// admits a character that TOML has to escape.

function printRoute(route: Route): string {
  const lines = [
    `[routes.${route.name}]`,
    `kind = "${route.kind}"`,
    ...(route.model === "" ? [] : [`model = "${route.model}"`]),
    ...(route.path === "" ? [] : [`path = "${route.path}"`]),
    `pool = "${route.pool}"`,
    `priority = "${route.priority}"`,
    `open = ${route.open}`,
    `repeatable = ${route.repeatable}`,
    `deadline_ms = ${route.deadlineMs}`,
    `max_body_bytes = ${route.maxBodyBytes}`,
    `staleness_bound = ${route.stalenessBound}`,
  ];
  if (route.tenants.length > 0) lines.push("", "[routes.NAME.tenants]");
  lines.push(
    ...route.tenants.map((share) => `${share.tenant} = ${share.weight}`),
  );
  if (route.keys.length > 0) lines.push("", "[routes.NAME.keys]");
  lines.push(
    ...route.keys.map((key) =>
      `${key.id} = { tenant = "${key.tenant}", sha256 = "${key.sha256}" }`
    ),
  );
  return lines.join("\n").replaceAll("routes.NAME", `routes.${route.name}`) +
    "\n";
}

function printPool(pool: Pool): string {
  const zones = pool.availabilityZones.map((zone) => `"${zone}"`);
  const lines = [
    `[pools.${pool.name}]`,
    ...(pool.model === "" ? [] : [`model = "${pool.model}"`]),
    `min_upstreams = ${pool.minUpstreams}`,
    `max_upstreams = ${pool.maxUpstreams}`,
    `reclaimable_share = ${pool.reclaimableShare}`,
    `availability_zones = [${zones.join(", ")}]`,
    `slots = ${pool.slots}`,
    `fenced = ${pool.fenced}`,
  ];
  return lines.join("\n") + "\n";
}
