/**
 * The messages between daemons about permits.
 *
 * @module
 */

import { z } from "zod";
import { Reason, Refusal, Verdict } from "../kernel/mod.ts";
import { Priority } from "../tables/mod.ts";
import { Outcome } from "./mod.ts";
import { RunEnd } from "./quarantine.ts";

/** Kinds of peer requests that this plug-in answers. */
export enum Message {
  /** Waits for a permit. */
  Acquire = "dispatch.acquire",
  /** Ends a wait that its caller cancelled. */
  Cancel = "dispatch.cancel",
  /** Releases permits. */
  Release = "dispatch.release",
  /** Renews the permits that a daemon holds. */
  Renew = "dispatch.renew",
  /** Reports permits that a leader doesn't know. */
  Adopt = "dispatch.adopt",
  /** Asks a daemon for its permits of a shard, its findings and notices. */
  Holdings = "dispatch.holdings",
  /** Asks a leader for its shard's load and capacity. */
  Pressure = "dispatch.pressure",
  /** Sends findings on requests that may crash upstreams. */
  Findings = "dispatch.findings",
  /** Sends what upstreams said of themselves. */
  Notices = "dispatch.notices",
}

const demand = z.object({
  id: z.string(),
  pool: z.string(),
  route: z.string(),
  tenant: z.string(),
  priority: z.enum(Priority),
  weight: z.number().positive(),
  tokens: z.number().nonnegative(),
  prefixes: z.array(z.string()),
  remainingMs: z.number(),
  minVersion: z.number(),
  model: z.string().optional(),
  startInMs: z.number().optional(),
  exclude: z.array(z.string()),
  avoid: z.array(z.string()).optional(),
  fingerprint: z.string(),
  crashLimit: z.number().optional(),
  attempt: z.number(),
});

/** A finding as daemons exchange and store it. */
export const finding = z.object({
  fingerprint: z.string(),
  runs: z.array(z.object({
    permit: z.string(),
    upstream: z.string(),
    end: z.enum(RunEnd),
    isolated: z.boolean(),
    ranMs: z.number(),
    ageMs: z.number(),
  })),
});

/** Body of `Message.Findings`, and of the gossip of findings. */
export const findingsBody = z.object({ findings: z.array(finding) });

const notice = z.object({
  upstream: z.string(),
  limitPerS: z.number().optional(),
  leaving: z.boolean(),
  bornAt: z.number().optional(),
  ageMs: z.number(),
  /** Absent from daemons of earlier builds. */
  cold: z.object({ leftMs: z.number(), bornAt: z.number().optional() })
    .optional(),
});

/** Body of `Message.Notices`, and of the gossip of notices. */
export const noticesBody = z.object({ notices: z.array(notice) });

/** Body of `Message.Acquire`. */
export const acquireBody = z.object({
  shard: z.string(),
  ticket: z.string(),
  availabilityZone: z.string(),
  demand,
  /** The entry's finding on the request's fingerprint, if there is one. */
  findings: z.array(finding),
  /** Whether to serve although another daemon seems to be the leader. */
  insist: z.boolean(),
  /** Time that it has waited, if its wait was moved from another shard. */
  waitedMs: z.number().nonnegative().optional(),
});

/** How a wait for a permit ended. */
export enum AcquireEnding {
  Granted = "granted",
  Refused = "refused",
  Moved = "moved",
}

/** Answer to `Message.Acquire`. */
export const acquireAnswer = z.discriminatedUnion("ending", [
  z.object({
    ending: z.literal(AcquireEnding.Granted),
    permit: z.string(),
    ticket: z.string(),
    upstream: z.string(),
    address: z.string(),
    isolated: z.boolean(),
  }),
  z.object({
    ending: z.literal(AcquireEnding.Refused),
    reason: z.enum(Reason),
    message: z.string(),
    retryAfterMs: z.number(),
  }),
  z.object({ ending: z.literal(AcquireEnding.Moved), keeper: z.string() }),
]);

/** An answer to `Message.Acquire`. */
export type AcquireAnswer = z.infer<typeof acquireAnswer>;

/** Body of `Message.Cancel`. */
export const cancelBody = z.object({ shard: z.string(), ticket: z.string() });

/** Body of `Message.Release`. */
export const releaseBody = z.object({
  ends: z.array(z.object({
    shard: z.string(),
    permit: z.string(),
    outcome: z.enum(Outcome),
    tokens: z.number(),
    /** The newest load that the entry heard from the upstream. */
    load: z.object({
      /** Running, waiting, slots, and the pace in percent if stated. */
      figures: z.array(z.number().nonnegative()).min(3).max(4),
      ageMs: z.number().nonnegative(),
      // A load that can't be read must not keep a permit from its release.
    }).optional().catch(undefined),
  })),
});

/** The release of one permit. */
export type PermitEnd = z.infer<typeof releaseBody>["ends"][number];

/** Body of `Message.Renew`: permits by shard. */
export const renewBody = z.object({
  shards: z.record(z.string(), z.array(z.string())),
});

/** Answer to `Message.Renew`: permits that the leader doesn't know. */
export const renewAnswer = z.object({ unknown: z.array(z.string()) });

const held = z.object({
  permit: z.string(),
  ticket: z.string(),
  upstream: z.string(),
  heldMs: z.number(),
  demand,
  isolated: z.boolean(),
});

/** Body of `Message.Adopt`. */
export const holdingsBody = z.object({
  shard: z.string(),
  holdings: z.array(held),
});

/** Answer to `Message.Holdings`: all that a new leader has to know. */
export const holdingsAnswer = holdingsBody.extend({
  findings: z.array(finding),
  /** Absent from daemons of earlier builds. */
  notices: z.array(notice).default([]),
  /** Upstreams that are cold as their evacuation ended; absent as well. */
  restored: z.array(z.object({
    upstream: z.string(),
    leftMs: z.number().nonnegative(),
    bornAt: z.number().optional(),
  })).default([]),
});

/** A permit as its holder reports it. */
export type ReportedPermit = z.infer<typeof held>;

/** Body of `Message.Holdings` and `Message.Pressure`. */
export const shardBody = z.object({ shard: z.string() });

/** Answer to `Message.Pressure`. */
export const pressureAnswer = z.object({
  running: z.number(),
  queued: z.number(),
  urgent: z.number(),
  slots: z.number(),
  models: z.record(z.string(), z.number()).optional(),
});

/** Gossip about each shard. */
export const summariesBody = z.object({
  summaries: z.array(z.object({
    shard: z.string(),
    pool: z.string(),
    /** Unique to one leader of the shard. */
    keeper: z.string(),
    /** Increases with each change of the summary. */
    seq: z.number(),
    running: z.number(),
    queued: z.number(),
    slots: z.number(),
    tenants: z.record(
      z.string(),
      z.object({
        weight: z.number().positive(),
        running: z.number(),
        waiting: z.number(),
      }),
    ),
    upstreams: z.array(z.object({
      id: z.string(),
      running: z.number(),
      queued: z.number(),
      weightVersion: z.number(),
    })),
    /** Absent from daemons of earlier builds. */
    models: z.record(
      z.string(),
      z.object({
        /** Weight version, slots, and those in use. */
        versions: z.array(
          z.tuple([z.number(), z.number(), z.number()]).readonly(),
        ).readonly(),
        queued: z.number(),
      }),
    ).optional(),
  })),
});

/** A shard's load, in total, by organisation and by upstream. */
export type ShardSummary = z.infer<typeof summariesBody>["summaries"][number];

/** A refusal of a request that has not run. */
export function notRun(
  reason: Reason,
  message: string,
  retryAfterMs = 0,
): Refusal {
  return new Refusal({
    verdict: Verdict.NotRun,
    reason,
    message,
    retryAfterMs,
  });
}
