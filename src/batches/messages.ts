/**
 * Messages between daemons about batches.
 *
 * @module
 */

import { z } from "zod";
import { resultsSchema } from "./batch_store.ts";

/** Peer requests of the batches plug-in. */
export enum Message {
  /** Asks a daemon to run a batch, or to stop if the batch has ended. */
  Own = "batches.own",
  /** Asks a batch's owner for results. */
  Read = "batches.read",
}

/** Body of `Message.Own`. */
export const ownBody = z.object({ id: z.string(), ended: z.boolean() });

/** Body of `Message.Read`. */
export const readBody = z.object({
  id: z.string(),
  after: z.number(),
  waitMs: z.number(),
});

/** Answer to `Message.Read`. */
export const readAnswer = z.object({
  run: z.boolean(),
  results: resultsSchema,
  /** Age of the owner's last proof of ownership; earlier builds send none. */
  provenMsAgo: z.number().nonnegative().optional(),
});

/** An owner's answer to a reader. */
export type ReadAnswer = z.infer<typeof readAnswer>;
