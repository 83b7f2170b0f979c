/**
 * The HTTP front: one server for callers, trainers and operators.
 *
 * @module
 */

import type { FastifyInstance, FastifyReply } from "fastify";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";

export { ENGINE_PRIORITY, Generator, generatorKey } from "./generator.ts";
export { httpStatusOf, type RefusalBody, refusalBody } from "./refusal.ts";

/** The HTTP server; plug-ins add their routes in their `start`. */
export abstract class Gateway extends Plugin {
  /** Registered routes are served once all plug-ins have started. */
  abstract readonly server: FastifyInstance;

  /**
   * Answers with a refusal and counts it. `route` is the name of a route of
   * the tables; `status` replaces the HTTP status that the reason implies.
   */
  abstract refuse(
    reply: FastifyReply,
    refusal: Refusal,
    options?: { route?: string; status?: number },
  ): FastifyReply;

  /** Counts a refusal that is told in another way than by `refuse`. */
  abstract count(refusal: Refusal, route: string): void;
}

/** The key of the gateway plug-in. */
export const gatewayKey = new PluginKey<Gateway>("gateway");
