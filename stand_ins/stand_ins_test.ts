import { expect } from "earl";
import { test } from "node:test";
import { startEngine, tokenOf } from "./engine.ts";
import { FaultKind } from "./faults.ts";
import type { HistoryEvent } from "./history.ts";
import { startPlatform, vm } from "./platform.ts";
import { startService } from "./service.ts";

async function postJson(url: string, body: unknown): Promise<Response> {
  return await fetch(url, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(body),
  });
}

async function getJson<T>(url: string): Promise<T> {
  return await (await fetch(url)).json() as T;
}

interface CompletionChunk {
  readonly id: string;
  readonly text: string;
  readonly weight_version: number;
  readonly finish_reason: string;
}

function completion(fields: Record<string, unknown> = {}) {
  return {
    request_id: "r1",
    model: "m",
    prompt: "say [tokens=10]",
    resume: "",
    max_tokens: 100,
    seed: 1,
    priority: 0,
    ...fields,
  };
}

async function readChunks(
  response: Response,
): Promise<readonly CompletionChunk[]> {
  const lines = (await response.text()).split("\n\n")
    .filter((line) => line.startsWith("data: {"));
  return lines.map((line) => JSON.parse(line.slice("data: ".length)));
}

function textOf(parts: readonly CompletionChunk[]): string {
  return parts.map(({ text }) => text).join("");
}

test("a compare-and-swap applies once and returns the winner", async () => {
  const platform = await startPlatform();
  const swap = (value: string) =>
    postJson(`${platform.url}/kv/swap`, { key: "k", value, expected: 0 });
  const first = await (await swap("one")).json();
  const second = await (await swap("two")).json() as {
    applied: boolean;
    current: { value: string };
  };
  expect(first).toEqual({ applied: true, revision: 1 });
  expect([second.applied, second.current.value]).toEqual([false, "one"]);
  await platform.close();
});

test("entries written under a lease are deleted when it expires", async () => {
  const platform = await startPlatform();
  const grant = await (await postJson(`${platform.url}/leases`, { ttlMs: 30 }))
    .json() as { id: string };
  const written = { key: "k", value: "v", expected: 0, lease: grant.id };
  await postJson(`${platform.url}/kv/swap`, written);
  const watch = `${platform.url}/kv/watch?key=k&known=1&waitMs=2000`;
  expect(await getJson(watch)).toEqual({ entry: null });
  const renewal = await postJson(`${platform.url}/leases/renew`, grant);
  expect(renewal.status).toEqual(409);
  await platform.close();
});

test("a write takes effect although its response is lost", async () => {
  const platform = await startPlatform();
  platform.inject([{ kind: FaultKind.Lost, operation: "swap", count: 1 }]);
  const write = { key: "k", value: "v", expected: 0 };
  await expect(postJson(`${platform.url}/kv/swap`, write)).toBeRejected();
  const answer = await getJson<{ entry: { value: string } }>(
    `${platform.url}/kv?key=k`,
  );
  expect(answer.entry.value).toEqual("v");
  expect(platform.calls()).toEqual({ swap: 1, get: 1 });
  await platform.close();
});

test("the list of VMs is served with a lag", async () => {
  const platform = await startPlatform({ lagMs: 60 });
  platform.setVms([vm({ id: "e1" })]);
  const listed = () => getJson<{ vms: unknown[] }>(`${platform.url}/vms`);
  expect((await listed()).vms.length).toEqual(0);
  await new Promise((resolve) => setTimeout(resolve, 80));
  expect((await listed()).vms.length).toEqual(1);
  await platform.close();
});

test("orders start upstreams, and stale terms are refused", async () => {
  const events: HistoryEvent[] = [];
  const offer = { pool: "p", availabilityZone: "a", reclaimable: false };
  const platform = await startPlatform({
    fenced: true,
    sink: (event) => events.push(event),
    offers: [{ ...offer, pricePerHour: 1, available: 2 }],
    launch: (wanted) => Promise.resolve(vm({ ...wanted, id: "new" })),
  });
  const order = { ...offer, id: "1", count: 1, term: 2, holder: "x" };
  expect((await postJson(`${platform.url}/orders`, order)).status).toEqual(200);
  const old = { ...order, id: "2", count: 2, term: 1 };
  expect((await postJson(`${platform.url}/orders`, old)).status).toEqual(409);
  await new Promise((resolve) => setTimeout(resolve, 20));
  expect(platform.vms().map(({ id }) => id)).toEqual(["new"]);
  const ordered = events.filter(({ kind }) => kind === "ordered");
  expect(ordered.map(({ accepted }) => accepted)).toEqual([true, false]);
  await platform.close();
});

test("a generation resumed on another engine continues the same text", async () => {
  const [one, two] = await Promise.all([
    startEngine({ tokenMs: 1 }),
    startEngine({ tokenMs: 1 }),
  ]);
  const allChunks = await readChunks(
    await postJson(`${one.url}/v1/completions`, completion()),
  );
  const resume = textOf(allChunks.slice(0, 4));
  const rest = await readChunks(
    await postJson(`${two.url}/v1/completions`, completion({ resume })),
  );
  expect(resume + textOf(rest)).toEqual(textOf(allChunks));
  expect(allChunks.length).toEqual(10);
  expect(allChunks[0].text).toEqual(tokenOf(completion(), 0));
  expect(allChunks[9].finish_reason).toEqual("stop");
  await Promise.all([one.close(), two.close()]);
});

test("a weight swap during a generation changes the version of later tokens", async () => {
  const events: HistoryEvent[] = [];
  const sink = (event: HistoryEvent) => events.push(event);
  const engine = await startEngine({ tokenMs: 5, loadMs: 20, sink });
  const prompt = "[tokens=30]";
  const answer = postJson(
    `${engine.url}/v1/completions`,
    completion({ prompt }),
  );
  await postJson(`${engine.url}/weights`, { model: "m", version: 2, term: 1 });
  const versions = (await readChunks(await answer)).map((p) =>
    p.weight_version
  );
  expect(new Set(versions)).toEqual(new Set([1, 2]));
  const finished = events.find(({ kind }) => kind === "finished");
  expect(finished?.versions).toEqual([
    { version: 1, tokens: versions.filter((v) => v === 1).length },
    { version: 2, tokens: versions.filter((v) => v === 2).length },
  ]);
  await engine.close();
});

test("a prompt with the crash marker crashes the engine", async () => {
  const engine = await startEngine({ crashMarker: "boom" });
  const answer = postJson(
    `${engine.url}/v1/completions`,
    completion({ prompt: "boom" }),
  ).then((response) => response.text());
  await expect(answer).toBeRejected();
  await expect(fetch(`${engine.url}/load`)).toBeRejected();
  await engine.close();
});

test("a closed connection cancels its generation", async () => {
  const events: HistoryEvent[] = [];
  const engine = await startEngine({ sink: (event) => events.push(event) });
  const abort = new AbortController();
  const response = await fetch(`${engine.url}/v1/completions`, {
    method: "POST",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(completion({ prompt: "[tokens=1000]" })),
    signal: abort.signal,
  });
  expect(response.status).toEqual(200);
  abort.abort();
  await new Promise((resolve) => setTimeout(resolve, 50));
  const kinds = events.map(({ kind }) => kind);
  expect(kinds).toEqual(["received", "started", "cancelled"]);
  await engine.close();
});

test("a service records each run with its raw headers", async () => {
  const events: HistoryEvent[] = [];
  const service = await startService({ sink: (event) => events.push(event) });
  await fetch(`${service.url}/notes/1`, {
    method: "PUT",
    body: "hello",
    headers: { "idempotency-key": "k1", "x-odd": "1" },
  });
  const { method, path, body, idempotencyKey, rawHeaders } = events[0];
  expect({ method, path, body, idempotencyKey }).toEqual({
    method: "PUT",
    path: "/notes/1",
    body: "hello",
    idempotencyKey: "k1",
  });
  expect((rawHeaders as string[]).includes("x-odd")).toEqual(true);
  await service.close();
});
