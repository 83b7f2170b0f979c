/**
 * A manifest with a route of each kind, with the values of the users' sheets.
 *
 * @module
 */

/** The host of all routes. */
export const HOST = "shop.example";

/** The key of the only tenant. */
export const KEY = "a-key-of-acme-0001";

/** The model that the samplers of `lm` serve. */
export const MODEL = "m";

const ROUTES = [
  { name: "lots", type: "idempotent", service: "app", timeout_ms: 10_000 },
  { name: "posts", type: "non_idempotent", service: "app", timeout_ms: 10_000 },
  { name: "rollouts", type: "rollout", service: "lm", timeout_ms: 10_000 },
  { name: "chats", type: "stream", service: "lm", timeout_ms: 10_000 },
  {
    name: "tales",
    type: "stream",
    service: "lm",
    timeout_ms: 10_000,
    resumable: true,
  },
];

/** The manifest; `change` replaces some of its fields. */
export function manifest(change: Readonly<Record<string, unknown>> = {}) {
  return {
    version: 1,
    routes: ROUTES.map((route) => ({
      host: HOST,
      prefix: `/${route.name}/`,
      latency_goal_ms: 500,
      priority: 2,
      max_attempts: 3,
      ...route.type === "rollout"
        ? { result_target_ms: 7500, retention_s: 60 }
        : {},
      ...route,
    })),
    services: [
      { name: "app", health_path: "/health", max_conns: 96 },
      {
        name: "lm",
        health_path: "/health",
        max_conns: 130,
        engine: {
          slots: 8,
          kv_cache_tokens: 83_744,
          models: [{ name: MODEL }],
        },
      },
    ],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 33_554_432,
      header_timeout_ms: 3000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "acme", api_keys: [KEY], priority: 1 }],
    ...change,
  };
}
