import { expect } from "earl";
import { afterEach, test } from "node:test";
import {
  answerHead,
  type EndlessAnswer,
  type EndlessServer,
  startEndlessServer,
} from "../../stand_ins/endless_server.ts";
import { HttpEndpoint } from "./http_endpoint.ts";
import { HttpEngine } from "./http_engine.ts";
import { EngineFault, Fault } from "./mod.ts";

const MIB = 1024 * 1024;
const SILENCE_MS = 200;
const FLOOD = "x".repeat(65_536);

const servers: EndlessServer[] = [];
const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
  for (const server of servers.splice(0)) server.stop();
  await Promise.all(closers.splice(0).map((close) => close()));
});

async function serverOf(answer: EndlessAnswer): Promise<EndlessServer> {
  const server = await startEndlessServer(answer);
  servers.push(server);
  return server;
}

/** Makes a call to a server with this answer. */
async function call(answer: EndlessAnswer) {
  const server = await serverOf(answer);
  const endpoint = new HttpEndpoint({ url: `http://${server.address}` });
  closers.push(() => endpoint.close());
  const startedAt = Date.now();
  const reply = await endpoint.request({
    method: "GET",
    path: "/",
    timeoutMs: 500,
  });
  return { reply, server, tookMs: Date.now() - startedAt };
}

/** Runs a generation on a server with this answer, for 3 s at most. */
async function generate(answer: EndlessAnswer) {
  const server = await serverOf(answer);
  const engine = new HttpEngine({ silenceMs: SILENCE_MS });
  closers.push(() => engine.close());
  const startedAt = Date.now();
  const stream = engine.generate({ id: "u", address: server.address }, {
    id: "r1",
    model: "m",
    prompt: "p",
    resume: "",
    maxTokens: 100,
    temperature: 1,
    seed: 1,
    priority: 0,
  }, AbortSignal.timeout(3000));
  let fault: EngineFault | undefined;
  let chunks = 0;
  for await (const item of stream) {
    if (item.err) fault = item.val.kind;
    else chunks += 1;
  }
  return { fault, chunks, server, tookMs: Date.now() - startedAt };
}

async function closed(server: EndlessServer, maxWaitMs = 1000): Promise<void> {
  const endsAt = Date.now() + maxWaitMs;
  while (server.openConnections > 0 && Date.now() < endsAt) {
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  expect(server.openConnections).toEqual(0);
}

test("an answer without end is cut at the limit of a call", async () => {
  const { reply, server } = await call({
    head: answerHead("200 OK"),
    piece: FLOOD,
  });
  expect(reply.err && reply.val.fault).toEqual(Fault.Unknown);
  await closed(server);
  expect(server.readBytes < 24 * MIB).toEqual(true);
});

test("a refusal without end is cut at the limit of a call", async () => {
  const { reply, server } = await call({
    head: answerHead("503 Busy"),
    piece: FLOOD,
  });
  expect(reply.err && reply.val.fault).toEqual(Fault.Unknown);
  await closed(server);
  expect(server.readBytes < 24 * MIB).toEqual(true);
});

for (
  const [name, head] of [
    ["an answer", answerHead("200 OK")],
    ["a refusal", answerHead("503 Busy")],
    ["a head", () => "HTTP/1.1 200 OK\r\nX-A: "],
  ] as const
) {
  test(`${name} that drips ends with the timeout of its call`, async () => {
    const { reply, server, tookMs } = await call({
      head,
      piece: "x",
      intervalMs: 10,
    });
    expect(reply.err && reply.val.fault).toEqual(Fault.Unknown);
    expect(tookMs < 1000).toEqual(true);
    await closed(server);
  });
}

test("interim heads without end end with the timeout of the call", async () => {
  const { reply, server, tookMs } = await call({
    head: () => "",
    piece: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n".repeat(100),
  });
  expect(reply.err && reply.val.fault).toEqual(Fault.Unknown);
  expect(tookMs < 1000).toEqual(true);
  await closed(server);
});

test("a line of a generation without end is cut at its limit", async () => {
  const { fault, server } = await generate({
    head: answerHead("200 OK"),
    piece: FLOOD,
  });
  expect(fault).toEqual(EngineFault.Broken);
  await closed(server);
  expect(server.readBytes < 8 * MIB).toEqual(true);
});

for (const [name, piece] of [["bytes", "x"], ["lines", ": comment\n"]]) {
  test(`${name} without an event are silence of a generation`, async () => {
    const { fault, server, tookMs } = await generate({
      head: answerHead("200 OK"),
      piece,
      intervalMs: 20,
    });
    expect(fault).toEqual(EngineFault.Silent);
    expect(tookMs < 3 * SILENCE_MS).toEqual(true);
    await closed(server);
  });
}

test("a refused generation's body without end is cut", async () => {
  const { fault, server } = await generate({
    head: answerHead("400 Bad"),
    piece: FLOOD,
  });
  expect(fault).toEqual(EngineFault.Refused);
  await closed(server);
  expect(server.readBytes < 8 * MIB).toEqual(true);
});

test("bytes after a generation's last chunk keep no connection open", async () => {
  const chunk = JSON.stringify({
    id: "r1",
    text: "t",
    tokens: 1,
    weight_version: 1,
    finish_reason: "stop",
  });
  const { chunks, server } = await generate({
    head: (id) => answerHead("200 OK")(id) + `data: ${chunk}\n\n`,
    piece: "x",
    intervalMs: 20,
  });
  expect(chunks).toEqual(1);
  await closed(server, 2000);
});
