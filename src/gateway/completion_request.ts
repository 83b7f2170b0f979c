/**
 * Parses and validates completion requests in the format of the OpenAI API.
 *
 * @module
 */

import * as O from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import { Reason, Refusal, Verdict } from "../kernel/mod.ts";

const MAX_TOKENS = 65_536;
const MAX_SEED = 2 ** 31;

/** Unsupported options, accepted only with values that have no effect. */
const UNSUPPORTED_OPTIONS = {
  n: z.literal(1).nullish(),
  best_of: z.literal(1).nullish(),
  echo: z.literal(false).nullish(),
  stop: z.null().optional(),
  suffix: z.null().optional(),
  logprobs: z.literal(false).nullish(),
  tools: z.array(z.never()).nullish(),
};

const SUPPORTED_OPTIONS = {
  model: z.string().min(1),
  max_tokens: z.int().min(1).max(MAX_TOKENS).default(256),
  temperature: z.number().min(0).max(2).default(1),
  seed: z.int().nullish(),
  stream: z.boolean().default(false),
  stream_options: z.object({ include_usage: z.boolean().optional() })
    .nullish(),
};

const TextCompletionBody = z.object({
  ...UNSUPPORTED_OPTIONS,
  ...SUPPORTED_OPTIONS,
  prompt: z.string(),
});

const ChatCompletionBody = z.object({
  ...UNSUPPORTED_OPTIONS,
  ...SUPPORTED_OPTIONS,
  messages: z.array(z.object({ role: z.string(), content: z.string() }))
    .min(1),
});

/** A text or chat completion request in one common form. */
export interface CompletionRequest {
  /** Whether it came as a chat completion. */
  readonly chat: boolean;
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly temperature: number;
  readonly seed: number;
  readonly stream: boolean;
  readonly includeUsage: boolean;
}

/** Parses a body, as a chat completion if `chat` is set. */
export function parseCompletionRequest(
  raw: string,
  options: { chat: boolean },
): Result<CompletionRequest, Refusal> {
  const json = O.tryCatch(() => JSON.parse(raw) as unknown);
  if (O.isNone(json)) return Err(badRequest("The body is not JSON"));
  return options.chat
    ? parseChatCompletion(json.value)
    : parseTextCompletion(json.value);
}

function parseTextCompletion(
  json: unknown,
): Result<CompletionRequest, Refusal> {
  const parsed = TextCompletionBody.safeParse(json);
  if (!parsed.success) return Err(invalidBody(parsed.error));
  return Ok({ ...commonFields(parsed.data), chat: false });
}

function parseChatCompletion(
  json: unknown,
): Result<CompletionRequest, Refusal> {
  const parsed = ChatCompletionBody.safeParse(json);
  if (!parsed.success) return Err(invalidBody(parsed.error));
  const turns = parsed.data.messages
    .map(({ role, content }) => `<|${role}|>\n${content}\n`);
  const prompt = `${turns.join("")}<|assistant|>\n`;
  return Ok({ ...commonFields({ ...parsed.data, prompt }), chat: true });
}

function commonFields(
  body: Omit<
    z.infer<typeof TextCompletionBody>,
    keyof typeof UNSUPPORTED_OPTIONS
  >,
): Omit<CompletionRequest, "chat"> {
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

function invalidBody(error: z.ZodError): Refusal {
  const [issue] = error.issues;
  const fieldPath = issue.path.join(".");
  return badRequest(
    `The body's "${fieldPath}" can't be used: ${issue.message}`,
  );
}

/** Refusal of an invalid request. */
export function badRequest(message: string): Refusal {
  const reason = Reason.BadRequest;
  return new Refusal({ verdict: Verdict.NotRun, reason, message });
}
