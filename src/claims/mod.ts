/**
 * Claims: at most one run for each idempotency key, on routes whose requests
 * may not be repeated.
 *
 * @module
 */

import type { Option } from "fp-ts/Option";
import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";

/** What an idempotency key is unique within. */
export interface IdempotencyScope {
  readonly organisation: string;
  readonly route: string;
  /** The idempotency key. */
  readonly key: string;
}

/** Leave to run the request of one idempotency key, once. */
export interface Claim {
  /** Hash of the scope. */
  readonly id: string;
  /** Unique to this try of the request. */
  readonly attempt: string;
  /** Hash of the request; a resend has the same. */
  readonly fingerprint: string;
}

/** How a claimed request ended. */
export enum OutcomeKind {
  /** An upstream answered. */
  Answered = "answered",
  /** It may have run, and its answer was lost. */
  Lost = "lost",
}

/** The end of a claimed request, as kept for its caller. */
export interface ClaimOutcome {
  readonly ending: OutcomeKind;
  /** HTTP status of the answer; 0 when it was lost. */
  readonly status: number;
  readonly contentType: string;
  /** The answer's body, or empty where it was too large to keep. */
  readonly body: string;
  /** Whether `body` is all of the answer. */
  readonly whole: boolean;
  /** SHA-256 of the body as sent, in hexadecimal; empty when lost. */
  readonly digest: string;
}

/** What became of an attempt to claim. */
export enum ClaimState {
  /** The claim is this attempt's: run the request once. */
  Granted = "granted",
  /** Another attempt holds the claim, and its outcome is unknown. */
  Held = "held",
  /** The request has ended. */
  Ended = "ended",
  /** The key came with another request before. */
  Mismatch = "mismatch",
}

/** The answer to an attempt to claim. */
export type ClaimResult =
  | { readonly standing: ClaimState.Granted; readonly claim: Claim }
  | { readonly standing: ClaimState.Held }
  | { readonly standing: ClaimState.Ended; readonly outcome: ClaimOutcome }
  | { readonly standing: ClaimState.Mismatch };

/** What is known of an idempotency key; no outcome while it may run. */
export interface FoundClaim {
  readonly outcome: Option<ClaimOutcome>;
}

/** Grants claims and keeps their outcomes. */
export abstract class Claims extends Plugin {
  /** Claims a request; nothing has run on behalf of a refused one. */
  abstract claim(
    scope: IdempotencyScope,
    fingerprint: string,
  ): Promise<Result<ClaimResult, Refusal>>;

  /** Keeps the outcome of a claim, soon and without waiting for it. */
  abstract settle(claim: Claim, outcome: ClaimOutcome): void;

  /** Gives back a claim whose request surely did not run. */
  abstract release(claim: Claim): void;

  /** What is known of an idempotency key; `None` if it was never claimed. */
  abstract find(
    scope: IdempotencyScope,
  ): Promise<Result<Option<FoundClaim>, Refusal>>;
}

/** The key of the claims plug-in. */
export const claimsKey = new PluginKey<Claims>("claims");
