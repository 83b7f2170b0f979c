import { expect } from "earl";
import { test } from "node:test";
import { Outcome } from "../dispatch/mod.ts";
import { Reason, Refusal, Verdict } from "../kernel/mod.ts";
import { EngineFault } from "../outside/mod.ts";
import {
  chunk,
  failing,
  type Fixture,
  KEY,
  modelRoute,
  withGateway,
  words,
} from "./fixture.ts";
import type { RefusalBody } from "./mod.ts";
import { Ok } from "ts-results";

interface CompletionAnswer extends Partial<RefusalBody> {
  choices?: {
    text?: string;
    message?: { content: string };
    delta?: { content: string };
  }[];
  usage?: { prompt_tokens: number; completion_tokens: number };
}

function postCompletion(
  { url }: Fixture,
  body: Record<string, unknown> = {},
  options: {
    headers?: Record<string, string>;
    path?: string;
    signal?: AbortSignal;
  } = {},
) {
  return fetch(url + (options.path ?? "/v1/completions"), {
    method: "POST",
    headers: {
      "content-type": "application/json",
      authorization: `Bearer ${KEY}`,
      ...options.headers,
    },
    body: JSON.stringify({ model: "appraise-lm", prompt: "p", ...body }),
    signal: options.signal,
  });
}

async function answerOf(
  response: Promise<Response>,
): Promise<CompletionAnswer> {
  return await (await response).json() as CompletionAnswer;
}

test("a completion is answered and its usage recorded", async () => {
  await withGateway({}, async (fixture) => {
    const answer = await answerOf(postCompletion(fixture));
    expect(answer.choices?.[0].text).toEqual("ab");
    expect(answer.usage?.completion_tokens).toEqual(2);
    expect(fixture.usage.uses.map((use) => [use.tenant, use.outputTokens]))
      .toEqual([["authority", 2]]);
    expect(fixture.dispatch.demands[0].weight).toEqual(3);
    expect(fixture.dispatch.released)
      .toEqual([{ target: "u1", outcome: Outcome.Served }]);
  });
});

test("the engine gets the model name of the pool, not of the route", async () => {
  await withGateway({}, async (fixture) => {
    await answerOf(postCompletion(fixture));
    expect(fixture.engine.generations.map(({ model }) => model))
      .toEqual(["model"]);
  });
});

test("a chat completion accepts its key in x-api-key", async () => {
  await withGateway({}, async (fixture) => {
    const headers = { authorization: "", "x-api-key": KEY };
    const messages = [{ role: "user", content: "hello" }];
    const path = "/v1/chat/completions";
    const answer = await answerOf(
      postCompletion(fixture, { messages }, { headers, path }),
    );
    expect(answer.choices?.[0].message?.content).toEqual("ab");
  });
});

test("a stream ends with [DONE]", async () => {
  await withGateway({}, async (fixture) => {
    const text = await (await postCompletion(fixture, { stream: true })).text();
    expect(text.endsWith("data: [DONE]\n\n")).toEqual(true);
    expect(text.split("\n\n").length).toEqual(4);
  });
});

test("a broken attempt resumes on another upstream from its text so far", async () => {
  await withGateway({}, async (fixture) => {
    fixture.engine.scripts = [
      failing(EngineFault.Broken, "one "),
      words("two"),
    ];
    const answer = await answerOf(postCompletion(fixture, { max_tokens: 10 }));
    expect(answer.choices?.[0].text).toEqual("one two");
    expect(fixture.engine.generations[1].resume).toEqual("one ");
    expect(fixture.engine.generations[1].maxTokens).toEqual(9);
    expect(fixture.dispatch.released.map(({ target }) => target))
      .toEqual(["u1", "u2"]);
  });
});

test("a chunk with another request's ID is never forwarded", async () => {
  await withGateway({}, async (fixture) => {
    fixture.engine.scripts = [
      async function* (generation) {
        yield Ok(chunk(generation, "crossed", { id: "other" }));
      },
      words("mine"),
    ];
    const answer = await answerOf(postCompletion(fixture));
    expect(answer.choices?.[0].text).toEqual("mine");
  });
});

test("a generation moves to another upstream when its own leaves", async () => {
  await withGateway({}, async (fixture) => {
    const { engine, dispatch } = fixture;
    engine.scripts = [
      async function* (generation, signal) {
        yield Ok(chunk(generation, "one "));
        dispatch.leaving.abort();
        expect(signal.aborted).toEqual(true);
        yield* failing(EngineFault.Cancelled)(generation, signal);
      },
      words("two"),
    ];
    const answer = await answerOf(postCompletion(fixture));
    expect(answer.choices?.[0].text).toEqual("one two");
    expect(dispatch.released[0].outcome).toEqual(Outcome.Cancelled);
  });
});

test("a stream that can't continue ends with an error event", async () => {
  await withGateway({}, async (fixture) => {
    fixture.engine.scripts = [failing(EngineFault.Truncated, "x")];
    const response = await postCompletion(fixture, {
      stream: true,
      max_tokens: 9,
    });
    const text = await response.text();
    expect(text.includes("[DONE]")).toEqual(false);
    expect(text.includes("event: error")).toEqual(true);
    expect(text.includes(Verdict.MayHaveRun)).toEqual(true);
  });
});

test("a request on a route that may not be repeated is sent once", async () => {
  const routes = [modelRoute({ repeatable: false })];
  await withGateway({ routes }, async (fixture) => {
    fixture.engine.scripts = [failing(EngineFault.Broken), words("a")];
    const answer = await answerOf(postCompletion(fixture));
    expect(answer.error?.verdict).toEqual(Verdict.MayHaveRun);
    expect(fixture.engine.generations.length).toEqual(1);
  });
});

test("a request that no upstream accepted is refused as not run", async () => {
  await withGateway({}, async (fixture) => {
    fixture.engine.scripts = [failing(EngineFault.Connect)];
    const response = await postCompletion(fixture);
    const answer = await response.json() as CompletionAnswer;
    expect(response.status).toEqual(503);
    expect(answer.error?.verdict).toEqual(Verdict.NotRun);
  });
});

test("retries end when the retry budget is spent", async () => {
  await withGateway({}, async (fixture) => {
    fixture.engine.scripts = [failing(EngineFault.Broken)];
    await answerOf(postCompletion(fixture));
    const answer = await answerOf(postCompletion(fixture));
    expect(answer.error?.reason).toEqual(Reason.RetryBudgetSpent);
    expect(fixture.engine.generations.length).toEqual(3);
  });
});

test("resuming after generated text spends no retry budget", async () => {
  await withGateway({}, async (fixture) => {
    for (let n = 0; n < 5; n++) {
      fixture.engine.scripts = [
        failing(EngineFault.Broken, "one "),
        words("two"),
      ];
      const answer = await answerOf(
        postCompletion(fixture, { max_tokens: 10 }),
      );
      expect(answer.choices?.[0].text).toEqual("one two");
    }
  });
});

test("a refusal says when to retry, and is counted", async () => {
  await withGateway({}, async (fixture) => {
    fixture.dispatch.refusal = new Refusal({
      verdict: Verdict.NotRun,
      reason: Reason.TenantOverShare,
      message: "Full",
      retryAfterMs: 1500,
    });
    const response = await postCompletion(fixture);
    expect(response.status).toEqual(429);
    expect(response.headers.get("retry-after")).toEqual("2");
    const answer = await response.json() as CompletionAnswer;
    expect(answer.error?.retry_after_ms).toEqual(1500);
    const metrics = await (await fetch(`${fixture.url}/metrics`)).text();
    expect(metrics.includes(
      'toucanwind_refusals_total{reason="tenant_over_share",route="appraise"} 1',
    )).toEqual(true);
  });
});

test("the deadline is the shorter of the caller's and the route's", async () => {
  await withGateway({}, async (fixture) => {
    const { engine, dispatch } = fixture;
    engine.scripts = [async function* (generation, signal) {
      const ended = new Promise((resolve) =>
        signal.addEventListener("abort", resolve)
      );
      await ended;
      yield* failing(EngineFault.Cancelled)(generation, signal);
    }];
    const headers = { "x-deadline-ms": "50" };
    const answer = await answerOf(postCompletion(fixture, {}, { headers }));
    expect(answer.error?.reason).toEqual(Reason.DeadlineExceeded);
    expect(answer.error?.verdict).toEqual(Verdict.MayHaveRun);
    expect(dispatch.demands[0].remainingMs <= 50).toEqual(true);
    expect(dispatch.released[0].outcome).toEqual(Outcome.Cancelled);
  });
});

test("a caller that disconnects cancels its attempt at the upstream", async () => {
  await withGateway({}, async (fixture) => {
    const abort = new AbortController();
    let cancelled = () => {};
    const ended = new Promise<void>((resolve) => cancelled = resolve);
    fixture.engine.scripts = [async function* (generation, signal) {
      signal.addEventListener("abort", cancelled);
      yield Ok(chunk(generation, "x"));
      await ended;
      yield* failing(EngineFault.Cancelled)(generation, signal);
    }];
    const { signal } = abort;
    const response = await postCompletion(fixture, { stream: true }, {
      signal,
    });
    expect(response.status).toEqual(200);
    abort.abort();
    await ended;
  });
});

test("a withdrawn key ends its running stream with an error", async () => {
  await withGateway({}, async (fixture) => {
    fixture.engine.scripts = [async function* (generation, signal) {
      yield Ok(chunk(generation, "x"));
      await new Promise((resolve) => signal.addEventListener("abort", resolve));
      yield* failing(EngineFault.Cancelled)(generation, signal);
    }];
    const response = await postCompletion(fixture, { stream: true });
    fixture.config.withdraw();
    const text = await response.text();
    expect(text.includes(Reason.KeyWithdrawn)).toEqual(true);
    expect(text.includes("[DONE]")).toEqual(false);
    expect(fixture.usage.uses[0].outputTokens).toEqual(1);
  });
});

test("requests that can't be served are refused with their reason", async () => {
  await withGateway({}, async (fixture) => {
    const status = async (
      body: Record<string, unknown>,
      options: { headers?: Record<string, string>; path?: string } = {},
    ) => (await postCompletion(fixture, body, options)).status;
    expect(await status({ model: "other" })).toEqual(404);
    expect(await status({ n: 2 })).toEqual(400);
    expect(await status({}, { headers: { authorization: "Bearer x" } }))
      .toEqual(401);
    expect(await status({ prompt: "x".repeat(5000) })).toEqual(413);
    expect(await status({ prompt: `my key is ${KEY}` })).toEqual(400);
    const headers = { "x-api-key": KEY };
    const body = '{"model":"appraise-lm","prompt":"\\u0073k-secret-1"}';
    const url = `${fixture.url}/v1/completions`;
    const escapedKeyResponse = await fetch(url, {
      method: "POST",
      headers,
      body,
    });
    expect(escapedKeyResponse.status).toEqual(400);
    expect(await status({}, { path: `/v1/completions?k=${KEY}` }))
      .toEqual(400);
    expect(await status({}, { headers: { "x-other": KEY } })).toEqual(400);
    expect(fixture.engine.generations.length).toEqual(0);
  });
});
