/**
 * What callers may ask of completions, in the shape of the OpenAI interface.
 *
 * @module
 */

import * as O from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import { Reason, Refusal, Verdict } from "../kernel/mod.ts";

const MAX_TOKENS = 65_536;
const MAX_SEED = 2 ** 31;

/** Options that would change the answer and are not offered. */
const NOT_OFFERED = {
  n: z.literal(1).nullish(),
  best_of: z.literal(1).nullish(),
  echo: z.literal(false).nullish(),
  stop: z.null().optional(),
  suffix: z.null().optional(),
  logprobs: z.literal(false).nullish(),
  tools: z.array(z.never()).nullish(),
};

const OPTIONS = {
  model: z.string().min(1),
  max_tokens: z.int().min(1).max(MAX_TOKENS).default(256),
  temperature: z.number().min(0).max(2).default(1),
  seed: z.int().nullish(),
  stream: z.boolean().default(false),
  stream_options: z.object({ include_usage: z.boolean().optional() })
    .nullish(),
};

const Completion = z.object({
  ...NOT_OFFERED,
  ...OPTIONS,
  prompt: z.string(),
});

const ChatCompletion = z.object({
  ...NOT_OFFERED,
  ...OPTIONS,
  messages: z.array(z.object({ role: z.string(), content: z.string() }))
    .min(1),
});

/** What a caller asks for, in either shape. */
export interface Ask {
  readonly chat: boolean;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number;
  readonly stream: boolean;
  readonly includeUsage: boolean;
}

/** Reads a body; `chat` says which shape it has. */
export function parseAsk(
  raw: string,
  options: { chat: boolean },
): Result<Ask, Refusal> {
  const json = O.tryCatch(() => JSON.parse(raw) as unknown);
  if (O.isNone(json)) return Err(badRequest("The body is not JSON"));
  return options.chat ? chatAsk(json.value) : textAsk(json.value);
}

function textAsk(json: unknown): Result<Ask, Refusal> {
  const parsed = Completion.safeParse(json);
  if (!parsed.success) return Err(badBody(parsed.error));
  return Ok({ ...common(parsed.data), chat: false });
}

function chatAsk(json: unknown): Result<Ask, Refusal> {
  const parsed = ChatCompletion.safeParse(json);
  if (!parsed.success) return Err(badBody(parsed.error));
  const turns = parsed.data.messages
    .map(({ role, content }) => `<|${role}|>\n${content}\n`);
  const prompt = `${turns.join("")}<|assistant|>\n`;
  return Ok({ ...common({ ...parsed.data, prompt }), chat: true });
}

function common(
  body: Omit<z.infer<typeof Completion>, keyof typeof NOT_OFFERED>,
): Omit<Ask, "chat"> {
  return {
    model: body.model,
    prompt: body.prompt,
    maxTokens: body.max_tokens,
    temperature: body.temperature,
    seed: body.seed ?? Math.floor(Math.random() * MAX_SEED),
    stream: body.stream,
    includeUsage: body.stream_options?.include_usage === true,
  };
}

function badBody(error: z.ZodError): Refusal {
  const [issue] = error.issues;
  const place = issue.path.join(".");
  return badRequest(`The body's "${place}" can't be used: ${issue.message}`);
}

/** The refusal of a request that can't be understood. */
export function badRequest(message: string): Refusal {
  const reason = Reason.BadRequest;
  return new Refusal({ verdict: Verdict.NotRun, reason, message });
}
