/**
 * The records of a claim log, their encoding, and the index built from them.
 * Daemons that apply the same records in the same order get the same claims.
 *
 * @module
 */

import * as O from "fp-ts/Option";
import { z } from "zod";
import { type Claim, type ClaimOutcome, OutcomeKind } from "./mod.ts";

/** Kinds of record. The values are short, because each record stores one. */
export enum RecordKind {
  Claimed = "c",
  Released = "r",
  Settled = "s",
}

/** A record of a claim log. */
export type ClaimRecord =
  | { readonly kind: RecordKind.Claimed; readonly claim: Claim }
  | { readonly kind: RecordKind.Released; readonly claim: Claim }
  | {
    readonly kind: RecordKind.Settled;
    readonly claim: Claim;
    readonly outcome: ClaimOutcome;
  };

/** Records written together, as one value of the key-value service. */
export interface Segment {
  /** Position in the log; 1 for the first segment. */
  readonly number: number;
  /**
   * Unique to the write. By it the writer recognizes its own segment after the
   * response to the write was lost.
   */
  readonly attempt: string;
  readonly records: readonly ClaimRecord[];
}

const ClaimSchema = z.object({
  id: z.string(),
  attempt: z.string(),
  fingerprint: z.string(),
});

/** Schema of outcomes sent between daemons and stored in the log. */
export const OutcomeSchema = z.object({
  ending: z.enum(OutcomeKind),
  status: z.int(),
  contentType: z.string(),
  body: z.string(),
  whole: z.boolean(),
  digest: z.string(),
});

/** Schema of records sent between daemons and stored in the log. */
export const RecordSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal(RecordKind.Claimed), claim: ClaimSchema }),
  z.object({ kind: z.literal(RecordKind.Released), claim: ClaimSchema }),
  z.object({
    kind: z.literal(RecordKind.Settled),
    claim: ClaimSchema,
    outcome: OutcomeSchema,
  }),
]);

const SegmentSchema = z.object({
  number: z.int(),
  attempt: z.string(),
  records: z.array(RecordSchema),
});

/** Encodes a segment as JSON. */
export function encodeSegment(segment: Segment): string {
  return JSON.stringify(segment);
}

/** Decodes a segment from JSON; throws if the text is not a segment. */
export function decodeSegment(text: string): Segment {
  return SegmentSchema.parse(JSON.parse(text));
}

/** The claim that holds an idempotency key, with its outcome. */
export interface IndexedClaim {
  readonly claim: Claim;
  readonly outcome: O.Option<ClaimOutcome>;
  /** When its last record was applied, on the monotonic clock. */
  readonly at: number;
}

/** The claims that result from a log's records, by id. */
export class ClaimIndex {
  readonly #claims = new Map<string, IndexedClaim>();
  /** Released attempts and the time of release; they cannot claim again. */
  readonly #released = new Map<string, number>();

  /** The claim that holds an id. */
  get(id: string): O.Option<IndexedClaim> {
    return O.fromNullable(this.#claims.get(id));
  }

  /** Number of ids that are claimed or settled. */
  get size(): number {
    return this.#claims.size;
  }

  /** Applies the next record of the log. The first claim of an id wins. */
  apply(record: ClaimRecord, at: number): void {
    const { claim } = record;
    const holder = this.#claims.get(claim.id);
    const isHolder = holder === undefined ||
      holder.claim.attempt === claim.attempt;
    if (record.kind === RecordKind.Released) {
      this.#released.set(claim.attempt, at);
      if (isHolder && (holder === undefined || O.isNone(holder.outcome))) {
        this.#claims.delete(claim.id);
      }
      return;
    }
    if (!isHolder || this.#released.has(claim.attempt)) return;
    const outcome = record.kind === RecordKind.Settled
      ? O.some(record.outcome)
      : holder?.outcome ?? O.none;
    // Keeps the map ordered by `at`, so that `prune` visits the oldest first.
    this.#claims.delete(claim.id);
    this.#claims.set(claim.id, { claim, outcome, at });
  }

  /** Removes claims and releases applied before `at`. */
  prune(at: number): void {
    for (const [id, holder] of this.#claims) {
      if (holder.at >= at) break;
      this.#claims.delete(id);
    }
    for (const [attempt, releasedAt] of this.#released) {
      if (releasedAt >= at) break;
      this.#released.delete(attempt);
    }
  }
}
