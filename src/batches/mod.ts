/**
 * Batches: many opaque requests that are submitted at once, run later, and
 * whose results are kept by position.
 *
 * @module
 */

import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";
import type { Fields } from "../outside/mod.ts";

/** The request that scores a finished item. */
export interface Reward {
  readonly id: string;
  readonly host: string;
  readonly path: string;
  /** In base64, as it came. */
  readonly body: string;
}

/** One request of a batch. */
export interface Item {
  readonly id: string;
  readonly path: string;
  readonly fields: Fields;
  /** In base64, as it came. */
  readonly body: string;
  /** Tokens of the prompt and at most of the output together. */
  readonly tokens: number;
  /** Prompt's parts by name, the first part first. */
  readonly prefixes: readonly string[];
  /** Tokens of output that the trainer expects; 0 where it doesn't say. */
  readonly expectedTokens: number;
  readonly model: string;
  /** Items of one group share their prompt. */
  readonly group: string;
  readonly reward?: Reward;
}

/** A batch as a trainer submitted it. */
export interface BatchSubmission {
  readonly id: string;
  readonly route: string;
  readonly host: string;
  readonly organisation: string;
  readonly rank?: number;
  /** Groups that the trainer waits for. */
  readonly wantedGroups: number;
  /** Oldest weight version that may make any part of a result. */
  readonly minVersion: number;
  readonly items: readonly Item[];
}

/** How an item ended. */
export enum ItemOutcome {
  Completed = "completed",
  GivenUp = "given_up",
}

/** The result of an item; its position in the batch never changes. */
export interface ItemResult {
  readonly id: string;
  readonly end: ItemOutcome;
  /** Data of all events in order, one a line. */
  readonly text: string;
  /** Every weight version that made an event of the text. */
  readonly versions: readonly number[];
  /** Seal of the reward's answer. */
  readonly score?: string;
}

/** A part of a batch's results, from a position on. */
export interface Page {
  /** Number of items. */
  readonly total: number;
  readonly results: readonly ItemResult[];
  /** Position after the last of these results. */
  readonly next: number;
}

/** Takes batches, runs them, and keeps their results. */
export abstract class Batches extends Plugin {
  /** Accepts a batch once; a repeated submission is accepted again. */
  abstract submit(submission: BatchSubmission): Promise<Result<true, Refusal>>;

  /** Results from position `after` on; waits for one at most `waitMs`. */
  abstract read(batch: BatchRef, options: {
    after: number;
    waitMs: number;
    signal: AbortSignal;
  }): Promise<Result<Page, Refusal>>;

  /** The body of an item that is not listed yet, in base64. */
  abstract body(
    batch: BatchRef,
    item: string,
  ): Promise<Result<string, Refusal>>;

  /** Ends a batch; what is listed stays listed. */
  abstract end(batch: BatchRef): Promise<Result<true, Refusal>>;
}

/** A batch of an organisation. */
export interface BatchRef {
  readonly id: string;
  readonly organisation: string;
}

/** The key of the batches plug-in. */
export const batchesKey = new PluginKey<Batches>("batches");
