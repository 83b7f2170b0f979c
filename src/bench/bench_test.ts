import { expect } from "earl";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { arrivals } from "./arrivals.ts";
import { runBench } from "./bench.ts";
import { compareReports, formatDifferences } from "./compare.ts";
import { parseCounters, risen } from "./counters.ts";
import { readStream, readWhole } from "./load.ts";
import { type CallerPlan, parsePlan } from "./plan.ts";
import { plotGoodput } from "./plot.ts";
import { type BenchReport, CallerTally, Timing } from "./report.ts";
import { stepOf } from "./training.ts";

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
  const tally = new CallerTally({ name: "chat", tenant: "one", seconds: 20 });
  tally.sent();
  tally.answered(40, { endMs: 11_000, tokens: 50 });
  return {
    seed: 1,
    seconds: 20,
    windowMs: 10_000,
    callers: [tally.report],
    tenants: [tally.goodput],
    trainers: [],
    sendLag: new Timing().times,
    counters: {},
    ...fields,
  };
}

async function* parts(...texts: readonly string[]) {
  for (const text of texts) yield await Promise.resolve(Buffer.from(text));
}

test("a plan names what is wrong with it", () => {
  expect(parsePlan("[[callers]]\nname = 3").err).toEqual(true);
  expect(parsePlan("not toml").err).toEqual(true);
  expect(parsePlan(PLAN).unwrap().callers[0].bursts).toEqual([
    { fromS: 5, toS: 10, factor: 10 },
  ]);
});

test("a seed gives the same requests, another seed others", () => {
  const all = (seed: number) => [...arrivals(caller(), seed, { seconds: 2 })];
  expect(all(1)).toEqual(all(1));
  expect(all(1)).not.toEqual(all(2));
});

test("a burst multiplies the rate", () => {
  const times = [...arrivals(caller(), 1, { seconds: 10 })]
    .map(({ atMs }) => atMs);
  const calm = times.filter((atMs) => atMs < 5_000).length;
  const flood = times.length - calm;
  expect(calm > 400 && calm < 600).toEqual(true);
  expect(flood > 4_700 && flood < 5_300).toEqual(true);
});

test("prompts share a prefix and have the length asked for", () => {
  const plan = caller({ promptChars: 100, sharedChars: 60, prefixes: 2 });
  const prompts = [...arrivals(plan, 1, { seconds: 2 })]
    .map(({ prompt }) => prompt);
  expect(new Set(prompts.map((prompt) => prompt.slice(0, 60))).size)
    .toEqual(2);
  expect(new Set(prompts).size).toEqual(prompts.length);
  expect(prompts.every(({ length }) => length === 100)).toEqual(true);
});

test("a stream ends by [DONE], by a refusal, or is cut", async () => {
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

test("an answer without a verdict is told by its status", () => {
  expect(readWhole(502, "oops"))
    .toEqual({ reason: "http_502", verdict: "unknown" });
});

test("goodput counts in the window in which the answer ended", () => {
  expect(report().tenants[0].windows).toEqual([
    { answers: 0, tokens: 0 },
    { answers: 1, tokens: 50 },
  ]);
});

test("counters are read with their labels and only rises are told", () => {
  const before = parseCounters('toucanwind_a_total{x="1"} 2\nother 3\n');
  expect(risen(before, { ...before, toucanwind_b_total: 1 }))
    .toEqual({ toucanwind_b_total: 1 });
});

test("a comparison tells the change of each figure", () => {
  const text = formatDifferences(
    compareReports(report(), report({ callers: [] })),
  );
  expect(text).toMatchRegex(/chat answered +1 +0 +-100\.0 %/);
  expect(text).toMatchRegex(/tenant one tokens +50 +50 +0\.0 %/);
});

test("a chart has a line for each tenant and escapes names", () => {
  const [tenant] = report().tenants;
  const svg = plotGoodput(
    report({ tenants: [tenant, { ...tenant, tenant: "<" }] }),
  );
  expect(svg.match(/<polyline/g)?.length).toEqual(2);
  expect(svg.includes("&lt;</text>")).toEqual(true);
});

test("a trainer's groups get the instructions in turn", () => {
  const [trainer] = parsePlan(PLAN).unwrap().trainers;
  const { groups } = stepOf(trainer, { seed: 1, n: 0 });
  expect(groups.map(({ prompt }) => prompt.split(" ")[0]))
    .toEqual(["short", "long", "short"]);
});

test("a run counts answers, refusals and lost requests", async () => {
  let asked = 0;
  const server = createServer((request, response) => {
    if (request.url === "/metrics") return response.end();
    const answers = [
      () => response.end('{"usage":{"completion_tokens":3}}'),
      () =>
        response.writeHead(429).end('{"error":{"reason":"r","verdict":"v"}}'),
      () => response.destroy(),
    ];
    answers[asked++ % answers.length]();
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
