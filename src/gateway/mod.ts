/**
 * Interface of the gateway plug-in: the HTTP server for callers, trainers and
 * operators.
 *
 * @module
 */

import type { FastifyInstance, FastifyReply } from "fastify";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";

export { ENGINE_PRIORITY, Generator, generatorKey } from "./generator.ts";
export { httpStatusOf, type RefusalBody, refusalBody } from "./refusal.ts";

/** The HTTP server; plug-ins register their routes in `start`. */
export abstract class Gateway extends Plugin {
  /** Registered routes are served once all plug-ins have started. */
  abstract readonly server: FastifyInstance;

  /**
   * Responds with a refusal and counts it. `route` is the name of a configured
   * route; `status` overrides the HTTP status of the refusal's reason.
   */
  abstract refuse(
    reply: FastifyReply,
    refusal: Refusal,
    options?: { route?: string; status?: number },
  ): FastifyReply;

  /** Counts a refusal that was not sent by `refuse`. */
  abstract count(refusal: Refusal, route: string): void;
}

/** The key of the gateway plug-in. */
export const gatewayKey = new PluginKey<Gateway>("gateway");
