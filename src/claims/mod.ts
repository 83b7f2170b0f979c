/**
 * Claims of idempotency keys, which ensure that a request runs at most once per
 * key on routes whose requests must not be repeated.
 *
 * @module
 */

import type { Option } from "fp-ts/Option";
import type { Result } from "ts-results";
import { Plugin, PluginKey, type Refusal } from "../kernel/mod.ts";

/** An idempotency key and what it is unique within. */
export interface IdempotencyScope {
  readonly organisation: string;
  readonly route: string;
  /** The idempotency key. */
  readonly key: string;
}

/** Permission to run the request of an idempotency key once. */
export interface Claim {
  /** Hash of the scope. */
  readonly id: string;
  /** Unique to this attempt. */
  readonly attempt: string;
  /** Hash of the request; a retry of the request has the same. */
  readonly fingerprint: string;
}

/** How a claimed request ended. */
export enum OutcomeKind {
  /** An upstream responded. */
  Answered = "answered",
  /** It may have run, and its response was lost. */
  Lost = "lost",
}

/** The outcome of a claimed request, kept to be replayed to its caller. */
export interface ClaimOutcome {
  readonly ending: OutcomeKind;
  /** HTTP status of the response; 0 if it was lost. */
  readonly status: number;
  readonly contentType: string;
  /** Body of the response; empty if it was too large to keep. */
  readonly body: string;
  /** Whether `body` is the complete body. */
  readonly whole: boolean;
  /** SHA-256 of the body as sent, in hexadecimal; empty if lost. */
  readonly digest: string;
}

/** State of an idempotency key as one attempt to claim it finds it. */
export enum ClaimState {
  /** This attempt holds the claim and may run the request once. */
  Granted = "granted",
  /** Another attempt holds the claim, and its outcome is unknown. */
  Held = "held",
  /** The request has ended. */
  Ended = "ended",
  /** The key was used before with a different request. */
  Mismatch = "mismatch",
}

/** The result of an attempt to claim an idempotency key. */
export type ClaimResult =
  | { readonly standing: ClaimState.Granted; readonly claim: Claim }
  | { readonly standing: ClaimState.Held }
  | { readonly standing: ClaimState.Ended; readonly outcome: ClaimOutcome }
  | { readonly standing: ClaimState.Mismatch };

/** A claimed idempotency key; without an outcome while it may be running. */
export interface FoundClaim {
  readonly outcome: Option<ClaimOutcome>;
}

/** Grants claims and stores their outcomes. */
export abstract class Claims extends Plugin {
  /** Claims a request. A refusal means that the request has not run. */
  abstract claim(
    scope: IdempotencyScope,
    fingerprint: string,
  ): Promise<Result<ClaimResult, Refusal>>;

  /** Stores the outcome of a claim in the background. */
  abstract settle(claim: Claim, outcome: ClaimOutcome): void;

  /** Releases a claim whose request certainly did not run. */
  abstract release(claim: Claim): void;

  /** Looks up an idempotency key; `None` if it was never claimed. */
  abstract find(
    scope: IdempotencyScope,
  ): Promise<Result<Option<FoundClaim>, Refusal>>;
}

/** The key of the claims plug-in. */
export const claimsKey = new PluginKey<Claims>("claims");
