import { expect } from "earl";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test } from "node:test";
import { OutcomeKind } from "../claims/mod.ts";
import { Reason, Refusal, Verdict } from "../kernel/mod.ts";
import { EngineFault } from "../outside/mod.ts";
import {
  failing,
  type Fixture,
  KEY,
  modelRoute,
  serviceRoute,
  withGateway,
} from "./fixture.ts";
import type { RefusalBody } from "./mod.ts";

const ROUTES = [
  serviceRoute({ repeatable: false }),
  modelRoute({ repeatable: false }),
];

/** Runs `body` with a service that responds with its number of runs. */
async function withCountingService(
  body: (fixture: Fixture, runs: () => number) => Promise<void>,
): Promise<void> {
  let runs = 0;
  const server = createServer((request, response) => {
    runs++;
    request.resume();
    response.end(request.url === "/lots/large" ? "x".repeat(9000) : `${runs}`);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const targets = [{ id: "s1", address: `127.0.0.1:${port}` }];
  try {
    await withGateway(
      { routes: ROUTES, targets },
      (fixture) => body(fixture, () => runs),
    );
  } finally {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  }
}

function post({ url }: Fixture, path = "/lots/7", body = "bid") {
  const headers = { "x-api-key": KEY, "idempotency-key": "once" };
  return fetch(url + path, { method: "POST", headers, body });
}

async function refusal(response: Promise<Response>) {
  const { status, ...rest } = await response.then(async (answer) => ({
    status: answer.status,
    body: await answer.json() as RefusalBody,
  }));
  return { status, ...rest.body.error };
}

test("a resend gets the first response and does not run", async () => {
  await withCountingService(async (fixture, runs) => {
    expect(await (await post(fixture)).text()).toEqual("1");
    const again = await post(fixture);
    expect(await again.text()).toEqual("1");
    expect(again.headers.get("x-idempotent-replay")).toEqual("true");
    expect(runs()).toEqual(1);
  });
});

test("a different request with the same key is refused", async () => {
  await withCountingService(async (fixture, runs) => {
    await (await post(fixture)).text();
    const other = await refusal(post(fixture, "/lots/7", "other"));
    expect([other.status, other.verdict]).toEqual([422, Verdict.NotRun]);
    expect(runs()).toEqual(1);
  });
});

test("a resend is refused as run if its response was too large to keep", async () => {
  await withCountingService(async (fixture, runs) => {
    await (await post(fixture, "/lots/large")).text();
    const again = await refusal(post(fixture, "/lots/large"));
    expect([again.status, again.verdict])
      .toEqual([409, Verdict.MayHaveRun]);
    expect(runs()).toEqual(1);
  });
});

test("the claim of a request that did not run is released", async () => {
  await withCountingService(async (fixture, runs) => {
    const { targets } = fixture.dispatch;
    fixture.dispatch.targets = [];
    const first = await refusal(post(fixture));
    expect(first.verdict).toEqual(Verdict.NotRun);
    fixture.dispatch.targets = targets;
    expect((await post(fixture)).status).toEqual(200);
    expect(runs()).toEqual(1);
  });
});

test("a request that can't be claimed is not run", async () => {
  await withCountingService(async (fixture, runs) => {
    fixture.claims.refusal = new Refusal({
      verdict: Verdict.NotRun,
      reason: Reason.PlatformDown,
      message: "Down",
      retryAfterMs: 1000,
    });
    const answer = await refusal(post(fixture));
    expect([answer.status, answer.reason])
      .toEqual([503, Reason.PlatformDown]);
    expect(runs()).toEqual(0);
  });
});

test("a completion that broke off is recorded as lost and not rerun", async () => {
  await withGateway({ routes: ROUTES }, async (fixture) => {
    fixture.engine.scripts = [failing(EngineFault.Broken)];
    const body = JSON.stringify({ model: "appraise-lm", prompt: "p" });
    const first = await refusal(post(fixture, "/v1/completions", body));
    expect(first.verdict).toEqual(Verdict.MayHaveRun);
    const again = await refusal(post(fixture, "/v1/completions", body));
    expect(again.status).toEqual(409);
    expect(fixture.engine.generations.length).toEqual(1);
    const { url } = fixture;
    const headers = { "x-api-key": KEY };
    const path = "/v1/outcomes/once?route=appraise";
    const outcome = await fetch(url + path, { headers });
    expect((await outcome.json() as { state: string }).state)
      .toEqual(OutcomeKind.Lost);
  });
});

test("a streamed completion is replayed unchanged", async () => {
  await withGateway({ routes: ROUTES }, async (fixture) => {
    const body = JSON.stringify({
      model: "appraise-lm",
      prompt: "p",
      stream: true,
    });
    const first = await (await post(fixture, "/v1/completions", body)).text();
    const again = await post(fixture, "/v1/completions", body);
    expect(await again.text()).toEqual(first);
    expect(again.headers.get("content-type")?.startsWith("text/event-stream"))
      .toEqual(true);
    expect(fixture.engine.generations.length).toEqual(1);
  });
});
