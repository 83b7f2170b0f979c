/**
 * The HTTP endpoint at which callers look up outcomes of idempotency keys.
 *
 * @module
 */

import type { FastifyReply, FastifyRequest } from "fastify";
import * as O from "fp-ts/Option";
import { activeConfigurationKey } from "../config/mod.ts";
import { RequestAdmission } from "../gateway/request_admission.ts";
import { type Gateway, gatewayKey } from "../gateway/mod.ts";
import { type Kernel, Plugin, PluginKey, register } from "../kernel/mod.ts";
import type { Route } from "../tables/mod.ts";
import { type Claims, claimsKey, type FoundClaim } from "./mod.ts";

/** The known state of an idempotency key. */
export enum OutcomeState {
  /** Never claimed: no request has run. */
  Unknown = "unknown",
  /** Claimed: a request is running, or ended without a recorded outcome. */
  Claimed = "claimed",
  Answered = "answered",
  Lost = "lost",
}

/** Serves `GET /v1/outcomes/<idempotency key>?route=<route>`. */
export class OutcomeEndpoint extends Plugin {
  readonly #gateway: Gateway;
  readonly #claims: Claims;
  readonly #admission: RequestAdmission;

  constructor(options: { kernel: Kernel }) {
    super();
    const { kernel } = options;
    this.#gateway = kernel.get(gatewayKey);
    this.#claims = kernel.get(claimsKey);
    const config = kernel.get(activeConfigurationKey);
    this.#admission = new RequestAdmission({ kernel, config });
  }

  override start(): Promise<void> {
    this.#gateway.server.get(
      "/v1/outcomes/:key",
      (request, reply) => this.#serve(request, reply),
    );
    return Promise.resolve();
  }

  async #serve(request: FastifyRequest, reply: FastifyReply) {
    const { key } = request.params as { key: string };
    const { route: name } = request.query as { route?: string };
    const admitted = this.#admission.admit(request, routeNamed(name));
    if (admitted.err) return this.#gateway.refuse(reply, admitted.val);
    const { route, caller } = admitted.val;
    const scope = { organisation: caller.organisation, route: route.name, key };
    const found = await this.#claims.find(scope);
    if (found.err) {
      return this.#gateway.refuse(reply, found.val, { route: route.name });
    }
    return reply.send(responseBody(found.val));
  }
}

function routeNamed(name: string | undefined) {
  return (routes: readonly Route[]) =>
    O.fromNullable(routes.find((route) => route.name === name));
}

function responseBody(found: O.Option<FoundClaim>): unknown {
  if (O.isNone(found)) return { state: OutcomeState.Unknown };
  const { outcome } = found.value;
  if (O.isNone(outcome)) return { state: OutcomeState.Claimed };
  const { ending, status, contentType, body, whole, digest } = outcome.value;
  return {
    state: ending,
    status,
    content_type: contentType,
    body: whole ? body : null,
    sha256: digest,
  };
}

/** The key of the outcomes plug-in. */
export const outcomesKey = new PluginKey<OutcomeEndpoint>("outcomes");

register({
  key: outcomesKey,
  requires: [gatewayKey, activeConfigurationKey, claimsKey],
  create: (kernel) => new OutcomeEndpoint({ kernel }),
});
