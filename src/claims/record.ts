/**
 * The records of a claim log and what they add up to. Every daemon that reads
 * the same records in the same order comes to the same holders.
 *
 * @module
 */

import * as O from "fp-ts/Option";
import { z } from "zod";
import { type Claim, type ClaimOutcome, OutcomeKind } from "./mod.ts";

/** Kinds of record; the values are short as each is written many times. */
export enum RecordKind {
  Claimed = "c",
  Released = "r",
  Settled = "s",
}

/** One line of a claim log. */
export type ClaimRecord =
  | { readonly kind: RecordKind.Claimed; readonly claim: Claim }
  | { readonly kind: RecordKind.Released; readonly claim: Claim }
  | {
    readonly kind: RecordKind.Settled;
    readonly claim: Claim;
    readonly outcome: ClaimOutcome;
  };

/** Records that were written at once, as one value. */
export interface Segment {
  /** Place in the log; 1 for the first. */
  readonly number: number;
  /** Unique to the write; its author recognises it after a lost answer. */
  readonly attempt: string;
  readonly records: readonly ClaimRecord[];
}

const ClaimSchema = z.object({
  id: z.string(),
  attempt: z.string(),
  fingerprint: z.string(),
});

/** An outcome as it travels between daemons and to the platform. */
export const OutcomeSchema = z.object({
  ending: z.enum(OutcomeKind),
  status: z.int(),
  contentType: z.string(),
  body: z.string(),
  whole: z.boolean(),
  digest: z.string(),
});

/** A record as it travels between daemons and to the platform. */
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

/** A segment as the text of its value. */
export function encodeSegment(segment: Segment): string {
  return JSON.stringify(segment);
}

/** A segment from the text of its value; throws on anything else. */
export function decodeSegment(text: string): Segment {
  return SegmentSchema.parse(JSON.parse(text));
}

/** Who holds an idempotency key, and with what outcome. */
export interface IndexedClaim {
  readonly claim: Claim;
  readonly outcome: O.Option<ClaimOutcome>;
  /** When this daemon learnt of it last, on its monotonic clock. */
  readonly at: number;
}

/** The holders that a log's records add up to. */
export class ClaimIndex {
  readonly #holders = new Map<string, IndexedClaim>();
  /** Attempts given back, with the time; they never hold again. */
  readonly #released = new Map<string, number>();

  /** Who holds the claim with this id. */
  get(id: string): O.Option<IndexedClaim> {
    return O.fromNullable(this.#holders.get(id));
  }

  /** Number of ids that are held or settled. */
  get size(): number {
    return this.#holders.size;
  }

  /** Takes in the next record of the log. The first claim of an id wins. */
  apply(record: ClaimRecord, at: number): void {
    const { claim } = record;
    const holder = this.#holders.get(claim.id);
    const own = holder === undefined || holder.claim.attempt === claim.attempt;
    if (record.kind === RecordKind.Released) {
      this.#released.set(claim.attempt, at);
      if (own && (holder === undefined || O.isNone(holder.outcome))) {
        this.#holders.delete(claim.id);
      }
      return;
    }
    if (!own || this.#released.has(claim.attempt)) return;
    const outcome = record.kind === RecordKind.Settled
      ? O.some(record.outcome)
      : holder?.outcome ?? O.none;
    // Kept in order of `at`, so that `prune` meets the oldest first.
    this.#holders.delete(claim.id);
    this.#holders.set(claim.id, { claim, outcome, at });
  }

  /** Forgets what was learnt before `at`. */
  prune(at: number): void {
    for (const [id, holder] of this.#holders) {
      if (holder.at >= at) break;
      this.#holders.delete(id);
    }
    for (const [attempt, releasedAt] of this.#released) {
      if (releasedAt >= at) break;
      this.#released.delete(attempt);
    }
  }
}
