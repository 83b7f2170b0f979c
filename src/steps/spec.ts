/**
 * What a trainer asks for: a step of groups, each a prompt sampled several
 * times. A specification is immutable and complete, so that any daemon can
 * run the step from it.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";

/** A prompt and how often it is sampled. */
export interface PromptGroup {
  readonly prompt: string;
  readonly samples: number;
}

/** A step as submitted, with its tenant from the trainer's key. */
export interface StepSpec {
  /** The trainer's own name for the step. */
  readonly id: string;
  readonly route: string;
  readonly tenant: string;
  /** Public name of the key that submitted it. */
  readonly keyId: string;
  readonly groups: readonly PromptGroup[];
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number;
  /** How many weight versions a sample may be behind the trainer. */
  readonly stalenessBound: number;
  /** The trainer's weight version at submission. */
  readonly version: number;
}

/** Most samples of one step. */
export const MAX_SAMPLES = 8192;

/** Most bytes of all prompts of one step together. */
export const MAX_PROMPT_BYTES = 8 * 1024 * 1024;

const submission = z.strictObject({
  step: z.string().min(1).max(128).regex(/^[\w.:-]+$/),
  groups: z.array(z.strictObject({
    prompt: z.string(),
    samples: z.int().min(1).max(1024),
  })).min(1).max(MAX_SAMPLES),
  max_tokens: z.int().min(1).max(1 << 20),
  temperature: z.number().min(0).max(10).default(1),
  seed: z.int().min(0).default(0),
  staleness_bound: z.int().min(0).max(1 << 20).optional(),
  version: z.int().min(0),
});

/** A submission as parsed from JSON, before the key's tenant is known. */
export interface Submission {
  readonly id: string;
  readonly groups: readonly PromptGroup[];
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number;
  /** Absent where the route's bound shall hold. */
  readonly stalenessBound: number | undefined;
  readonly version: number;
}

/** Reads a submission; the error is one sentence for the trainer. */
export function parseSubmission(body: unknown): Result<Submission, string> {
  const parsed = submission.safeParse(body);
  if (!parsed.success) return Err(z.prettifyError(parsed.error));
  const { step, max_tokens, staleness_bound, ...rest } = parsed.data;
  const total = rest.groups.reduce((sum, group) => sum + group.samples, 0);
  if (total > MAX_SAMPLES) {
    return Err(`A step has at most ${MAX_SAMPLES} samples, not "${total}"`);
  }
  const bytes = rest.groups.reduce(
    (sum, group) => sum + Buffer.byteLength(group.prompt),
    0,
  );
  if (bytes > MAX_PROMPT_BYTES) {
    return Err(
      `Prompts hold at most ${MAX_PROMPT_BYTES} bytes, not "${bytes}"`,
    );
  }
  return Ok({
    ...rest,
    id: step,
    maxTokens: max_tokens,
    stalenessBound: staleness_bound,
  });
}

/** The name under which daemons agree on a step's owner. */
export function stepName(spec: {
  tenant: string;
  route: string;
  id: string;
}): string {
  return `step/${spec.tenant}/${spec.route}/${spec.id}`;
}

/** Digest of a specification; equal for a resubmission of the same step. */
export function specDigest(spec: StepSpec): string {
  const { version: _version, keyId: _keyId, ...fixed } = spec;
  return createHash("sha256")
    .update(JSON.stringify(fixed, Object.keys(fixed).sort()))
    .update(JSON.stringify(fixed.groups))
    .digest("base64url");
}

/** Where a sample stands in its step. */
export interface Position {
  readonly group: number;
  readonly index: number;
}

/** The positions of a step's samples, by sample number. */
export function positions(spec: StepSpec): readonly Position[] {
  return spec.groups.flatMap((group, number) =>
    Array.from(
      { length: group.samples },
      (_, index) => ({ group: number, index }),
    )
  );
}
