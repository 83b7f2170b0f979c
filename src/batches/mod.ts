/**
 * Batches of opaque requests: submitted at once, run asynchronously, and their
 * results listed at positions that never change.
 *
 * @module
 */

import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";
import type { HeaderFields } from "../outside/mod.ts";

/** The request that scores a completed item. */
export interface Reward {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  /** Base64 of the body as received. */
  readonly body: string;
}

/** One request of a batch. */
export interface Item {
  readonly id: string;
  readonly path: string;
  readonly fields: HeaderFields;
  /** Base64 of the body as received. */
  readonly body: string;
  /** Prompt tokens plus the maximum number of output tokens. */
  readonly tokens: number;
  /** Names of the prompt's leading parts, in order. */
  readonly prefixes: readonly string[];
  /** Output tokens that the trainer expects; 0 if it gave no estimate. */
  readonly expectedTokens: number;
  readonly model: string;
  /** Items of one group share a prompt. */
  readonly group: string;
  readonly reward?: Reward;
}

/** A batch as a trainer submitted it. */
export interface BatchSubmission {
  readonly id: string;
  /** Name of the route at the time of the submission. */
  readonly route: string;
  readonly host: string;
  /** Path of the submission; absent in batches of earlier builds. */
  readonly path?: string;
  readonly organisation: string;
  readonly rank?: number;
  /** Number of groups that the trainer waits for. */
  readonly wantedGroups: number;
  /** Oldest weight version that may generate any part of a result. */
  readonly minVersion: number;
  readonly items: readonly Item[];
}

/** How an item ended. */
export enum ItemOutcome {
  Completed = "completed",
  GivenUp = "given_up",
}

/** The result of an item; its position in the list never changes. */
export interface ItemResult {
  readonly id: string;
  readonly end: ItemOutcome;
  /** Data of all events in order, one event per line. */
  readonly text: string;
  /** Every weight version that generated a part of the text. */
  readonly versions: readonly number[];
  /** Seal of the response to the reward request. */
  readonly score?: string;
}

/** Consecutive results of a batch, from a position on. */
export interface Page {
  /** Number of items in the batch. */
  readonly total: number;
  readonly results: readonly ItemResult[];
  /** Position after the last of these results. */
  readonly next: number;
}

/** Accepts batches, runs them, and stores their results. */
export abstract class Batches extends Plugin {
  /** Accepts a batch; repeating a submission succeeds without effect. */
  abstract submit(submission: BatchSubmission): Promise<Result<true, Refusal>>;

  /** Whether this batch was accepted before. */
  abstract isAccepted(
    submission: BatchSubmission,
  ): Promise<Result<boolean, Refusal>>;

  /**
   * Returns results from position `after` on; if there are none yet, waits for
   * one for at most `waitMs`.
   */
  abstract read(batch: BatchRef, options: {
    after: number;
    waitMs: number;
    signal: AbortSignal;
  }): Promise<Result<Page, Refusal>>;

  /** Returns the base64 body of an item whose result is not listed yet. */
  abstract body(
    batch: BatchRef,
    item: string,
  ): Promise<Result<string, Refusal>>;

  /** Ends a batch; listed results stay readable. */
  abstract end(batch: BatchRef): Promise<Result<true, Refusal>>;
}

/** Identifies a batch, and who asks for it. */
export interface BatchRef {
  readonly id: string;
  /** Empty for a caller without a key. */
  readonly organisation: string;
}

/** Whether a caller may access a batch; those of open routes are open. */
export function isAccessible(
  batch: Pick<BatchSubmission, "organisation">,
  { organisation }: BatchRef,
): boolean {
  return batch.organisation === "" || batch.organisation === organisation;
}

/** The key of the batches plug-in. */
export const batchesKey = new PluginKey<Batches>("batches");
