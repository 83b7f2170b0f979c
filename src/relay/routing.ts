/**
 * Selects the route of a request by its host and path, and a pool of that
 * route.
 *
 * @module
 */

import { fromNullable, type Option } from "fp-ts/Option";
import type { ExchangeTerms, Route } from "../tables/mod.ts";

/** A route whose requests are forwarded byte for byte. */
export type ExchangeRoute = Route & { readonly exchange: ExchangeTerms };

/** Index of the exchange and batch routes of one configuration revision. */
export class Routing {
  readonly #byHost: ReadonlyMap<string, readonly ExchangeRoute[]>;

  constructor(routes: readonly Route[]) {
    const byHost = new Map<string, ExchangeRoute[]>();
    for (const route of routes) {
      if (!isExchange(route)) continue;
      const { host } = route.exchange;
      byHost.set(host, [...byHost.get(host) ?? [], route]);
    }
    for (const hostRoutes of byHost.values()) {
      hostRoutes.sort((a, b) =>
        b.exchange.prefix.length - a.exchange.prefix.length
      );
    }
    this.#byHost = byHost;
  }

  /** The route with the longest prefix of the path. */
  find(host: string, path: string): Option<ExchangeRoute> {
    const [pathWithoutQuery] = path.split("?", 1);
    const hostRoutes = this.ofHost(host);
    return fromNullable(
      hostRoutes.find(({ exchange }) =>
        pathWithoutQuery.startsWith(exchange.prefix)
      ),
    );
  }

  /** All routes of a host, given with or without its port. */
  ofHost(host: string): readonly ExchangeRoute[] {
    const name = host.toLowerCase();
    return this.#byHost.get(name) ??
      this.#byHost.get(name.replace(/:\d+$/, "")) ?? [];
  }
}

/** Draws a pool of a route by weight; `random` is in [0, 1). */
export function drawPool({ pools }: ExchangeTerms, random: number): string {
  const total = pools.reduce((sum, { weight }) => sum + weight, 0);
  let remainingWeight = random * total;
  for (const { pool, weight } of pools) {
    remainingWeight -= weight;
    if (remainingWeight < 0) return pool;
  }
  return pools[0].pool;
}

function isExchange(route: Route): route is ExchangeRoute {
  return route.exchange !== undefined;
}
