/**
 * Schemas of the rows. Both the files and the stored configuration are
 * validated against them; neither may contain additional columns.
 *
 * @module
 */

import { z } from "zod";
import { type Pool, Priority, type Route, RouteKind } from "./tables.ts";

const DAY_MS = 86_400_000;
const MAX_BODY_BYTES = 67_108_864;
const MAX_UPSTREAMS = 10_000;
const MAX_SLOTS = 4_096;
const MAX_STALENESS_VERSIONS = 1_000;
const MIN_WEIGHT = 0.001;
const MAX_WEIGHT = 1_000_000;
const MAX_AUTHOR_CHARS = 200;
const MAX_NOTE_CHARS = 500;
const MAX_ATTEMPTS = 1_000;
const MAX_RANK = 1_000;
const MAX_REQUEST_BYTES = 2 ** 31;
const MIN_COLD_PER_S = 0.001;

/** Limits on a list of allowed regions. */
export const MAX_ALLOWED_REGIONS = 64;
export const MAX_REGION_CHARS = 200;

const name = z.string().regex(
  /^[a-z0-9][a-z0-9_-]{0,62}$/,
  "must be 1 to 63 lower-case letters, digits, - and _, not led by - or _",
);

const model = z.string().regex(
  /^([A-Za-z0-9][A-Za-z0-9._:\/@-]{0,126})?$/,
  "must be a model's name of at most 127 letters, digits and . _ : / @ -",
);

const path = z.string().max(256, "must be at most 256 characters").regex(
  /^((\/(?!\.{1,2}(\/|$))[A-Za-z0-9._~-]+)+)?$/,
  "must be a path like /lots/search, without a slash at the end",
);

function integerBetween(min: number, max: number) {
  const message = `must be a whole number from ${min} to ${max}`;
  return z.number(message).int(message).min(min, message).max(max, message);
}

function numberBetween(min: number, max: number) {
  const message = `must be a number from ${min} to ${max}`;
  return z.number(message).min(min, message).max(max, message);
}

const share = z.strictObject({
  tenant: name,
  weight: numberBetween(MIN_WEIGHT, MAX_WEIGHT),
});

const key = z.strictObject({
  id: name,
  sha256: z.string().regex(
    /^[0-9a-f]{64}$/,
    "must be a SHA-256 as 64 lower-case hexadecimal digits",
  ),
  tenant: name,
});

const batchTerms = z.strictObject({
  resultTargetMs: integerBetween(1, DAY_MS),
  retentionMs: integerBetween(1, DAY_MS),
  singleVersion: z.boolean(),
});

const allowedRegions = z.array(z.string().min(1).max(MAX_REGION_CHARS))
  .max(MAX_ALLOWED_REGIONS);

const exchange = z.strictObject({
  host: z.string().max(256),
  prefix: z.string().regex(/^\/(.*\/)?$/, "must begin and end with a slash"),
  pools: z.array(
    z.strictObject({ pool: name, weight: numberBetween(0, MAX_WEIGHT) }),
  ).min(1),
  latencyGoalMs: integerBetween(1, DAY_MS),
  maxAttempts: integerBetween(1, MAX_ATTEMPTS),
  rank: integerBetween(0, MAX_RANK),
  streamed: z.boolean(),
  resumable: z.boolean(),
  batch: batchTerms.optional(),
  allowedRegions: allowedRegions.optional(),
});

const scaling = z.strictObject({
  minPerZone: integerBetween(0, MAX_UPSTREAMS),
  maxPerZone: integerBetween(0, MAX_UPSTREAMS),
  bootMs: integerBetween(0, DAY_MS),
  reclaimablePrice: z.number().optional(),
  zonePrices: z.record(z.string(), z.number()),
});

const coldStart = z.strictObject({
  durationMs: numberBetween(1, DAY_MS),
  requestsPerS: numberBetween(MIN_COLD_PER_S, MAX_WEIGHT),
});

const organisation = z.strictObject({
  name: z.string().min(1).max(200),
  keys: z.array(z.string().length(64)),
  rank: integerBetween(0, MAX_RANK).optional(),
  allowedRegions: allowedRegions.optional(),
});

const callerLimits = z.strictObject({
  maxHeaderBytes: integerBetween(1, MAX_BODY_BYTES),
  maxBodyBytes: integerBetween(1, MAX_REQUEST_BYTES),
  headerTimeoutMs: integerBetween(1, DAY_MS),
  idleTimeoutMs: integerBetween(1, DAY_MS),
});

/** A row of the routes table. */
export const routeRow = z.strictObject({
  name,
  path,
  model,
  kind: z.enum(
    RouteKind,
    `must be one of ${Object.values(RouteKind).join(", ")}`,
  ),
  pool: name,
  priority: z.enum(
    Priority,
    `must be one of ${Object.values(Priority).join(", ")}`,
  ),
  open: z.boolean("must be true or false"),
  repeatable: z.boolean("must be true or false"),
  tenants: z.array(share),
  keys: z.array(key),
  deadlineMs: integerBetween(1, DAY_MS),
  maxBodyBytes: integerBetween(1, MAX_BODY_BYTES),
  stalenessBound: integerBetween(0, MAX_STALENESS_VERSIONS),
  exchange: exchange.optional(),
}) satisfies z.ZodType<Route>;

/** A row of the pools table. */
export const poolRow = z.strictObject({
  name,
  model,
  minUpstreams: integerBetween(0, MAX_UPSTREAMS),
  maxUpstreams: integerBetween(0, MAX_UPSTREAMS),
  reclaimableShare: numberBetween(0, 1),
  availabilityZones: z.array(name).min(1, "must name at least one zone").max(
    64,
  ),
  slots: integerBetween(1, MAX_SLOTS),
  fenced: z.boolean("must be true or false"),
  models: z.array(z.string().max(200)).optional(),
  versionLag: integerBetween(0, MAX_STALENESS_VERSIONS).optional(),
  scaling: scaling.optional(),
  healthPath: z.string().optional(),
  coldStart: coldStart.optional(),
}) satisfies z.ZodType<Pool>;

const stamp = {
  revision: integerBetween(1, Number.MAX_SAFE_INTEGER),
  attempt: z.string().min(1).max(100),
  author: z.string().max(MAX_AUTHOR_CHARS),
  note: z.string().max(MAX_NOTE_CHARS),
  at: z.iso.datetime({ offset: true }),
};

/** The metadata of a stored configuration; its tables are not validated. */
export const revisionMetadataRow = z.object(stamp);

/** A stored configuration. */
export const configurationRow = z.strictObject({
  ...stamp,
  tables: z.strictObject({
    routes: z.array(routeRow),
    pools: z.array(poolRow),
    organisations: z.array(organisation).optional(),
    callerLimits: callerLimits.optional(),
  }),
});
