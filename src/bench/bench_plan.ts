/**
 * The plan of a bench run, read from TOML: callers with open-loop load, and
 * trainers.
 *
 * @module
 */

import { parse } from "smol-toml";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";

/** An interval in which a caller sends at a different rate. */
export interface Burst {
  readonly fromS: number;
  readonly toS: number;
  /** Multiplier of the rate. */
  readonly factor: number;
}

/** A source of requests of one organisation to one model route. */
export interface CallerPlan {
  readonly name: string;
  readonly organisation: string;
  readonly key: string;
  readonly model: string;
  readonly ratePerS: number;
  readonly promptChars: number;
  /** Length of the shared prefix of the prompts. */
  readonly sharedChars: number;
  /** Number of distinct shared prefixes. */
  readonly prefixes: number;
  /** Prepended to each prompt. */
  readonly instruction: string;
  readonly outputTokens: number;
  readonly stream: boolean;
  /** Index of the only entry to use; all entries in turn when absent. */
  readonly entry?: number;
  readonly bursts: readonly Burst[];
}

/** A trainer that runs its steps one after another. */
export interface TrainerPlan {
  readonly name: string;
  readonly route: string;
  readonly key: string;
  readonly groups: number;
  readonly samples: number;
  readonly maxTokens: number;
  readonly promptChars: number;
  /** Prepended to the prompts of the groups, in turn. */
  readonly instructions: readonly string[];
  readonly stalenessBound?: number;
  /** Simulated training time per sample. */
  readonly trainMs: number;
  /** Weight version that the trainer requests. */
  readonly version: number;
}

/** The load of one run. */
export interface BenchPlan {
  readonly callers: readonly CallerPlan[];
  readonly trainers: readonly TrainerPlan[];
}

const count = z.int().min(1);
const nonNegativeNumber = z.number().min(0);

const burst = z.strictObject({
  from_s: nonNegativeNumber,
  to_s: nonNegativeNumber,
  factor: nonNegativeNumber,
})
  .transform(({ from_s, to_s, factor }): Burst => ({
    fromS: from_s,
    toS: to_s,
    factor,
  }));

const caller = z.strictObject({
  name: z.string().min(1),
  tenant: z.string().min(1),
  key: z.string().default(""),
  model: z.string().min(1),
  rate_per_s: nonNegativeNumber,
  prompt_chars: count.default(400),
  shared_chars: z.int().min(0).default(0),
  prefixes: count.default(1),
  instruction: z.string().default(""),
  output_tokens: count.default(32),
  stream: z.boolean().default(true),
  entry: z.int().min(0).optional(),
  bursts: z.array(burst).default([]),
}).transform((row): CallerPlan => ({
  name: row.name,
  organisation: row.tenant,
  key: row.key,
  model: row.model,
  ratePerS: row.rate_per_s,
  promptChars: row.prompt_chars,
  sharedChars: row.shared_chars,
  prefixes: row.prefixes,
  instruction: row.instruction,
  outputTokens: row.output_tokens,
  stream: row.stream,
  entry: row.entry,
  bursts: row.bursts,
}));

const trainer = z.strictObject({
  name: z.string().regex(/^[\w.:-]{1,64}$/),
  route: z.string().min(1),
  key: z.string().min(1),
  groups: count.default(8),
  samples: count.default(4),
  max_tokens: count.default(256),
  prompt_chars: count.default(400),
  instructions: z.array(z.string()).min(1).default([""]),
  staleness_bound: z.int().min(0).optional(),
  train_ms: nonNegativeNumber.default(0),
  version: z.int().min(0).default(1),
}).transform((row): TrainerPlan => ({
  name: row.name,
  route: row.route,
  key: row.key,
  groups: row.groups,
  samples: row.samples,
  maxTokens: row.max_tokens,
  promptChars: row.prompt_chars,
  instructions: row.instructions,
  stalenessBound: row.staleness_bound,
  trainMs: row.train_ms,
  version: row.version,
}));

const plan = z.strictObject({
  callers: z.array(caller).default([]),
  trainers: z.array(trainer).default([]),
});

/** Parses a plan from TOML; the error text is shown to the operator. */
export function parsePlan(text: string): Result<BenchPlan, string> {
  try {
    const parsed = plan.safeParse(parse(text));
    return parsed.success
      ? Ok(parsed.data)
      : Err(z.prettifyError(parsed.error));
  } catch (error) {
    return Err(`The plan is not valid TOML: ${String(error)}`);
  }
}
