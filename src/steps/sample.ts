/**
 * A sample under way and a whole one. Both name the weight versions that made
 * their tokens, as told by the engine with the tokens themselves.
 *
 * @module
 */

import type { Chunk } from "../outside/mod.ts";

/** A run of tokens that one weight version made. */
export interface VersionSpan {
  readonly version: number;
  /** First token, counted from 0. */
  readonly from: number;
  /** One past the last token. */
  readonly to: number;
}

/** A sample, whole once it has a finish reason. */
export interface Sample {
  readonly text: string;
  readonly spans: readonly VersionSpan[];
  readonly tokens: number;
  readonly promptTokens: number;
  /** Empty while the sample is not whole. */
  readonly finishReason: string;
}

/** A sample before its first token. */
export const EMPTY_SAMPLE: Sample = {
  text: "",
  spans: [],
  tokens: 0,
  promptTokens: 0,
  finishReason: "",
};

/** The sample with the engine's next chunk. */
export function extend(sample: Sample, chunk: Chunk): Sample {
  return {
    text: sample.text + chunk.text,
    spans: extendSpans(sample.spans, chunk, sample.tokens),
    tokens: sample.tokens + chunk.tokens,
    promptTokens: Math.max(sample.promptTokens, chunk.promptTokens),
    finishReason: chunk.finishReason,
  };
}

function extendSpans(
  spans: readonly VersionSpan[],
  chunk: Chunk,
  from: number,
): readonly VersionSpan[] {
  if (chunk.tokens === 0) return spans;
  const to = from + chunk.tokens;
  const last = spans.at(-1);
  if (last === undefined || last.version !== chunk.weightVersion) {
    return [...spans, { version: chunk.weightVersion, from, to }];
  }
  return [...spans.slice(0, -1), { ...last, to }];
}

/** The oldest weight version in the sample; infinite without tokens. */
export function oldestVersion(sample: Sample): number {
  return sample.spans.reduce(
    (oldest, span) => Math.min(oldest, span.version),
    Infinity,
  );
}
