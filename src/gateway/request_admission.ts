/**
 * Admission of callers' requests: finds the route, checks the key, and sets
 * the deadline. Running requests are ended when their key is withdrawn.
 *
 * @module
 */

import type { FastifyRequest } from "fastify";
import * as O from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import type { ActiveConfiguration, Caller } from "../config/mod.ts";
import type { Demand } from "../dispatch/mod.ts";
import { type Kernel, Reason, Refusal, Verdict } from "../kernel/mod.ts";
import type { Configuration, Route } from "../tables/mod.ts";

/** An admitted request, which may be dispatched. */
export interface Admitted {
  /** The request's ID, unique across all daemons. */
  readonly id: string;
  readonly route: Route;
  readonly caller: Caller;
  /** The key as the caller presented it; never leaves this daemon. */
  readonly key: O.Option<string>;
  /** The organisation's weight on the route. */
  readonly weight: number;
  /** The model of the route's pool; the route may publish another name. */
  readonly model: string;
  /** Time on the monotonic clock, in milliseconds. */
  readonly deadlineAt: number;
}

const DEADLINE_MS_HEADER = "x-deadline-ms";

/** Admits requests under the configuration in force. */
export class RequestAdmission {
  readonly #kernel: Kernel;
  readonly #config: ActiveConfiguration;
  #seq = 0;

  constructor(options: { kernel: Kernel; config: ActiveConfiguration }) {
    this.#kernel = options.kernel;
    this.#config = options.config;
  }

  /** Admits a request to the route that `findRoute` selects. */
  admit(
    request: FastifyRequest,
    findRoute: (routes: readonly Route[]) => O.Option<Route>,
  ): Result<Admitted, Refusal> {
    const configuration = this.#config.current();
    if (O.isNone(configuration)) return Err(NO_CONFIGURATION);
    const found = findRoute(configuration.value.tables.routes);
    if (O.isNone(found)) return Err(NO_ROUTE);
    const route = found.value;
    const key = presentedKey(request);
    const caller = this.#config.authorize(route, key);
    if (caller.err) return caller;
    if (isKeyForwarded(request, key)) return Err(KEY_FORWARDED);
    const contentLength = Number(request.headers["content-length"] ?? 0);
    if (contentLength > route.maxBodyBytes) return Err(TOO_LARGE);
    const pool = configuration.value.tables.pools
      .find(({ name }) => name === route.pool);
    const share = route.tenants
      .find(({ tenant }) => tenant === caller.val.organisation);
    return Ok({
      id: `${this.#kernel.incarnation}-${++this.#seq}`,
      route,
      caller: caller.val,
      key,
      weight: share?.weight ?? 1,
      model: pool?.model ?? "",
      deadlineAt: this.#kernel.clock.now() + timeLimitMs(request, route),
    });
  }

  /** Returns the demand of an admitted request on its pool. */
  demand(
    admitted: Admitted,
    options: {
      tokens: number;
      prefixes?: readonly string[];
      fingerprint: string;
    },
  ): Demand {
    const { id, route, caller, weight, deadlineAt } = admitted;
    return {
      id,
      pool: route.pool,
      route: route.name,
      tenant: caller.organisation,
      priority: route.priority,
      weight,
      tokens: options.tokens,
      prefixes: options.prefixes ?? [],
      remainingMs: deadlineAt - this.#kernel.clock.now(),
      minVersion: 0,
      exclude: [],
      fingerprint: options.fingerprint,
      attempt: 0,
    };
  }
}

/** The running requests, which end when their key is withdrawn. */
export class RunningRequests {
  readonly #config: ActiveConfiguration;
  readonly #entries = new Set<{ admitted: Admitted; end: () => void }>();

  constructor(options: { config: ActiveConfiguration }) {
    this.#config = options.config;
    this.#config.onChange((configuration) => this.#endWithdrawn(configuration));
  }

  /**
   * Calls `end` when the request's key is withdrawn. Returns a function that
   * removes the request.
   */
  add(admitted: Admitted, end: () => void): () => void {
    const entry = { admitted, end };
    this.#entries.add(entry);
    return () => this.#entries.delete(entry);
  }

  #endWithdrawn({ tables }: Configuration) {
    for (const entry of this.#entries) {
      if (this.#granted(entry.admitted, tables.routes)) continue;
      this.#entries.delete(entry);
      entry.end();
    }
  }

  #granted({ route, caller }: Admitted, routes: readonly Route[]): boolean {
    if (caller.keyId === "") {
      return routes.some(({ name, open }) => name === route.name && open);
    }
    return O.isSome(this.#config.granted(route.name, caller.keyId));
  }
}

/** The request's key, from `Authorization: Bearer` or `X-Api-Key`. */
export function presentedKey(request: FastifyRequest): O.Option<string> {
  const { authorization } = request.headers;
  if (authorization !== undefined && /^bearer /i.test(authorization)) {
    return O.some(authorization.slice("bearer ".length).trim());
  }
  const header = request.headers["x-api-key"];
  return typeof header === "string" ? O.some(header) : O.none;
}

/** Whether the key also occurs where it would be forwarded to upstreams. */
function isKeyForwarded(
  request: FastifyRequest,
  key: O.Option<string>,
): boolean {
  if (O.isNone(key) || key.value === "") return false;
  const { rawHeaders } = request.raw;
  for (let i = 0; i < rawHeaders.length; i += 2) {
    if (KEY_HEADERS.has(rawHeaders[i].toLowerCase())) continue;
    if (rawHeaders[i + 1].includes(key.value)) return true;
  }
  return rawAndDecoded(request.url).includes(key.value);
}

/** Headers that may carry credentials; none of them is forwarded. */
export const KEY_HEADERS: ReadonlySet<string> = new Set([
  "authorization",
  "proxy-authorization",
  "x-api-key",
  "cookie",
]);

function rawAndDecoded(url: string): string {
  if (!url.includes("%")) return url;
  try {
    return url + decodeURIComponent(url);
  } catch {
    return url;
  }
}

/** The caller's time limit, at most that of the route. */
function timeLimitMs(request: FastifyRequest, route: Route): number {
  const header = request.headers[DEADLINE_MS_HEADER];
  if (header === undefined) return route.deadlineMs;
  const requestedMs = Number(header);
  if (!(requestedMs >= 0)) return route.deadlineMs;
  return Math.min(requestedMs, route.deadlineMs);
}

const NO_CONFIGURATION = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.StaleConfiguration,
  message: "No configuration is known yet",
  retryAfterMs: 1000,
});

const NO_ROUTE = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.NoRoute,
  message: "No route serves this request",
});

const KEY_FORWARDED = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.BadRequest,
  message: "The key may stand in its own header only",
});

/** Refusal of a body that exceeds the route's `maxBodyBytes`. */
export const TOO_LARGE = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.TooLarge,
  message: "The request's body is too large for its route",
});

/** Refusal of a running request whose key was withdrawn. */
export const KEY_WITHDRAWN = new Refusal({
  verdict: Verdict.MayHaveRun,
  reason: Reason.KeyWithdrawn,
  message: "The key was withdrawn while the request ran",
});
