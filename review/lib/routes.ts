/**
 * Routes and services of the manifest that the cases use, with the figures of
 * the sheet of the small site.
 *
 * @module
 */

import { HOST } from "./site.ts";

/** A plain service. */
export const APP = { name: "app", health_path: "/health", max_conns: 96 };

/** A service of model samplers. */
export const LM = {
  name: "lm",
  health_path: "/health",
  max_conns: 130,
  engine: { slots: 8, models: [{ name: "m" }] },
};

/** A route to the plain service. */
export function plainRoute(name: string, type: string, more: object = {}) {
  return {
    name,
    host: HOST,
    prefix: `/${name}/`,
    type,
    timeout_ms: 2000,
    latency_goal_ms: 400,
    priority: 2,
    service: "app",
    max_attempts: 3,
    ...more,
  };
}

/** The batch route to the model samplers. */
export const BATCH_ROUTE = {
  name: "rollouts",
  host: HOST,
  prefix: "/rollouts/",
  type: "rollout",
  timeout_ms: 10_000,
  latency_goal_ms: 500,
  priority: 0,
  service: "lm",
  max_attempts: 3,
  result_target_ms: 7500,
  retention_s: 60,
};
