/**
 * The specification of a step: groups, each a prompt to be sampled several
 * times. A specification is immutable and complete, so that any daemon can
 * run the step from it.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";

/** A prompt and its number of samples. */
export interface PromptGroup {
  readonly prompt: string;
  readonly samples: number;
}

/** A step as submitted, with the organisation of the trainer's key. */
export interface StepSpec {
  /** Name of the step, chosen by the trainer. */
  readonly id: string;
  readonly route: string;
  readonly tenant: string;
  /** Public name of the key that submitted it. */
  readonly keyId: string;
  readonly groups: readonly PromptGroup[];
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number;
  /** Number of weight versions that a sample may be behind the trainer. */
  readonly stalenessBound: number;
  /** The trainer's weight version at submission. */
  readonly version: number;
}

/** Maximum number of samples of one step. */
export const MAX_SAMPLES_PER_STEP = 8192;

/** Maximum total size of the prompts of one step. */
export const MAX_PROMPT_BYTES_PER_STEP = 8 * 1024 * 1024;

const submissionSchema = z.strictObject({
  step: z.string().min(1).max(128).regex(/^[\w.:-]+$/),
  groups: z.array(z.strictObject({
    prompt: z.string(),
    samples: z.int().min(1).max(1024),
  })).min(1).max(MAX_SAMPLES_PER_STEP),
  max_tokens: z.int().min(1).max(1 << 20),
  temperature: z.number().min(0).max(10).default(1),
  seed: z.int().min(0).default(0),
  staleness_bound: z.int().min(0).max(1 << 20).optional(),
  version: z.int().min(0),
});

/** A submission as parsed from JSON, without what the trainer's key adds. */
export interface StepSubmission {
  readonly id: string;
  readonly groups: readonly PromptGroup[];
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number;
  /** The bound of the route applies if absent. */
  readonly stalenessBound: number | undefined;
  readonly version: number;
}

/** Parses a submission; the error is a message for the trainer. */
export function parseSubmission(body: unknown): Result<StepSubmission, string> {
  const parsed = submissionSchema.safeParse(body);
  if (!parsed.success) return Err(z.prettifyError(parsed.error));
  const { step, max_tokens, staleness_bound, ...rest } = parsed.data;
  const total = rest.groups.reduce((sum, group) => sum + group.samples, 0);
  if (total > MAX_SAMPLES_PER_STEP) {
    return Err(
      `A step has at most ${MAX_SAMPLES_PER_STEP} samples, not "${total}"`,
    );
  }
  const bytes = rest.groups.reduce(
    (sum, group) => sum + Buffer.byteLength(group.prompt),
    0,
  );
  if (bytes > MAX_PROMPT_BYTES_PER_STEP) {
    return Err(
      `Prompts hold at most ${MAX_PROMPT_BYTES_PER_STEP} bytes, not "${bytes}"`,
    );
  }
  return Ok({
    ...rest,
    id: step,
    maxTokens: max_tokens,
    stalenessBound: staleness_bound,
  });
}

/** The name of a step, by which daemons determine its owner. */
export function stepName(spec: {
  tenant: string;
  route: string;
  id: string;
}): string {
  return `step/${spec.tenant}/${spec.route}/${spec.id}`;
}

/** Digest of a specification; the same for a resubmission of the step. */
export function specDigest(spec: StepSpec): string {
  const { version: _version, keyId: _keyId, ...digested } = spec;
  return createHash("sha256")
    .update(JSON.stringify(digested, Object.keys(digested).sort()))
    .update(JSON.stringify(digested.groups))
    .digest("base64url");
}

/** Position of a sample in its step. */
export interface SamplePosition {
  readonly group: number;
  readonly index: number;
}

/** The positions of a step's samples, by sample number. */
export function samplePositions(spec: StepSpec): readonly SamplePosition[] {
  return spec.groups.flatMap((group, number) =>
    Array.from(
      { length: group.samples },
      (_, index) => ({ group: number, index }),
    )
  );
}
