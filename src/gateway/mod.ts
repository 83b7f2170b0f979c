/**
 * The HTTP front: one server for callers, trainers and operators.
 *
 * @module
 */

import type { FastifyInstance } from "fastify";
import { Plugin, PluginKey } from "../kernel/mod.ts";

/** The HTTP server; plug-ins add their routes in their `start`. */
export abstract class Gateway extends Plugin {
  /** Registered routes are served once all plug-ins have started. */
  abstract readonly server: FastifyInstance;
}

/** The key of the gateway plug-in. */
export const gatewayKey = new PluginKey<Gateway>("gateway");
