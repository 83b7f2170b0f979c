import { expect } from "earl";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { arrivals } from "./arrivals.ts";
import { runBench } from "./bench.ts";
import { type CallerPlan, parsePlan } from "./bench_plan.ts";
import { readResponse, readStream } from "./caller_load.ts";
import { counterIncreases, parseCounters } from "./counters.ts";
import { plotGoodput } from "./goodput_chart.ts";
import { type BenchReport, CallerTally, TimeHistogram } from "./report.ts";
import { compareReports, formatDifferences } from "./report_comparison.ts";
import { buildStep } from "./training.ts";

const PLAN = `
[[callers]]
name = "chat"
tenant = "one"
model = "model"
rate_per_s = 100
stream = false
[[callers.bursts]]
from_s = 5
to_s = 10
factor = 10

[[trainers]]
name = "t"
route = "train"
key = "k"
groups = 3
instructions = ["short ", "long "]
`;

function caller(fields: Partial<CallerPlan> = {}): CallerPlan {
  const { callers } = parsePlan(PLAN).unwrap();
  return { ...callers[0], ...fields };
}

function report(fields: Partial<BenchReport> = {}): BenchReport {
  const tally = new CallerTally({
    name: "chat",
    organisation: "one",
    seconds: 20,
  });
  tally.sent();
  tally.answered(40, { endMs: 11_000, tokens: 50 });
  return {
    seed: 1,
    seconds: 20,
    windowMs: 10_000,
    callers: [tally.report],
    tenants: [tally.goodput],
    trainers: [],
    sendLag: new TimeHistogram().distribution,
    counters: {},
    ...fields,
  };
}

async function* parts(...texts: readonly string[]) {
  for (const text of texts) yield await Promise.resolve(Buffer.from(text));
}

test("invalid plans are rejected, and bursts are parsed", () => {
  expect(parsePlan("[[callers]]\nname = 3").err).toEqual(true);
  expect(parsePlan("not toml").err).toEqual(true);
  expect(parsePlan(PLAN).unwrap().callers[0].bursts).toEqual([
    { fromS: 5, toS: 10, factor: 10 },
  ]);
});

test("the seed determines the requests", () => {
  const all = (seed: number) => [...arrivals(caller(), seed, { seconds: 2 })];
  expect(all(1)).toEqual(all(1));
  expect(all(1)).not.toEqual(all(2));
});

test("a burst multiplies the request rate", () => {
  const times = [...arrivals(caller(), 1, { seconds: 10 })]
    .map(({ atMs }) => atMs);
  const outside = times.filter((atMs) => atMs < 5_000).length;
  const during = times.length - outside;
  expect(outside > 400 && outside < 600).toEqual(true);
  expect(during > 4_700 && during < 5_300).toEqual(true);
});

test("prompts share a prefix and have the configured length", () => {
  const plan = caller({ promptChars: 100, sharedChars: 60, prefixes: 2 });
  const prompts = [...arrivals(plan, 1, { seconds: 2 })]
    .map(({ prompt }) => prompt);
  expect(new Set(prompts.map((prompt) => prompt.slice(0, 60))).size)
    .toEqual(2);
  expect(new Set(prompts).size).toEqual(prompts.length);
  expect(prompts.every(({ length }) => length === 100)).toEqual(true);
});

test("a stream without [DONE] or a refusal is truncated", async () => {
  let first = 0;
  const read = (...texts: string[]) =>
    readStream(parts(...texts), () => first++);
  const token = 'data: {"choices":[{"text":"a"}]}\n\n';
  const usage = 'data: {"choices":[],"usage":{"completion_tokens":2}}\n\n';
  expect(
    await read(
      token.slice(0, 9),
      token.slice(9),
      token,
      usage,
      "data: [DONE]\n\n",
    ),
  )
    .toEqual({ tokens: 2 });
  expect(first).toEqual(1);
  expect(await read('data: {"error":{"reason":"r","verdict":"v"}}\n\n'))
    .toEqual({ reason: "r", verdict: "v" });
  expect(await read(token)).toEqual({ reason: "cut", verdict: "unknown" });
});

test("an answer without a verdict is reported by its HTTP status", () => {
  expect(readResponse(502, "oops"))
    .toEqual({ reason: "http_502", verdict: "unknown" });
});

test("goodput is counted in the window in which the answer ended", () => {
  expect(report().tenants[0].windows).toEqual([
    { answers: 0, tokens: 0 },
    { answers: 1, tokens: 50 },
  ]);
});

test("counters keep their labels and only increases are reported", () => {
  const before = parseCounters('toucanwind_a_total{x="1"} 2\nother 3\n');
  expect(counterIncreases(before, { ...before, toucanwind_b_total: 1 }))
    .toEqual({ toucanwind_b_total: 1 });
});

test("a comparison prints the change of each figure", () => {
  const text = formatDifferences(
    compareReports(report(), report({ callers: [] })),
  );
  expect(text).toMatchRegex(/chat answered +1 +0 +-100\.0 %/);
  expect(text).toMatchRegex(/tenant one tokens +50 +50 +0\.0 %/);
});

test("a chart has a line for each organisation and escapes names", () => {
  const [organisation] = report().tenants;
  const svg = plotGoodput(
    report({ tenants: [organisation, { ...organisation, tenant: "<" }] }),
  );
  expect(svg.match(/<polyline/g)?.length).toEqual(2);
  expect(svg.includes("&lt;</text>")).toEqual(true);
});

test("the groups of a step get the instructions in turn", () => {
  const [trainer] = parsePlan(PLAN).unwrap().trainers;
  const { groups } = buildStep(trainer, { seed: 1, n: 0 });
  expect(groups.map(({ prompt }) => prompt.split(" ")[0]))
    .toEqual(["short", "long", "short"]);
});

test("a run counts answers, refusals and lost requests", async () => {
  let received = 0;
  const server = createServer((request, response) => {
    if (request.url === "/metrics") return response.end();
    const answers = [
      () => response.end('{"usage":{"completion_tokens":3}}'),
      () =>
        response.writeHead(429).end('{"error":{"reason":"r","verdict":"v"}}'),
      () => response.destroy(),
    ];
    answers[received++ % answers.length]();
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  const plan = { callers: [caller()], trainers: [] };
  const entries = [`http://127.0.0.1:${port}`];
  const { callers } = await runBench(plan, entries, { seconds: 0.3 });
  server.close();
  const [{ sent, answered, refusals }] = callers;
  const counts = new Map(refusals.map(({ reason, count }) => [reason, count]));
  expect(sent > 5).toEqual(true);
  expect(answered).toEqual(Math.ceil(sent / 3));
  expect(counts.get("r")).toEqual(Math.ceil((sent - 1) / 3));
  expect(counts.get("connection_lost")).toEqual(Math.floor(sent / 3));
});
