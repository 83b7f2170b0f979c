import { none } from "fp-ts/Option";
import { expect } from "earl";
import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { test } from "node:test";
import { startEngine } from "../../stand_ins/engine.ts";
import { FaultKind } from "../../stand_ins/faults.ts";
import { startPlatform } from "../../stand_ins/platform.ts";
import { HttpEndpoint } from "./http_endpoint.ts";
import { HttpEngine } from "./http_engine.ts";
import { setExpiryCheck } from "./expiry.ts";
import { HttpKeyValue } from "./http_key_value.ts";
import { HttpOrderService } from "./http_platform.ts";
import { type Chunk, EngineFault, Fault, type Generation } from "./mod.ts";
import { NoticeFeed, type UpstreamNotice } from "./upstream_notices.ts";

const NEVER_ABORTED = new AbortController().signal;

function generation(fields: Partial<Generation> = {}): Generation {
  return {
    id: "r1",
    model: "m",
    prompt: "[tokens=5]",
    resume: "",
    maxTokens: 100,
    temperature: 1,
    seed: 1,
    priority: 0,
    ...fields,
  };
}

/** Runs a generation; returns its chunks, and the fault if it failed. */
async function run(engine: HttpEngine, address: string, options: {
  generation?: Partial<Generation>;
  signal?: AbortSignal;
} = {}): Promise<{ chunks: Chunk[]; fault?: EngineFault }> {
  const chunks: Chunk[] = [];
  const stream = engine.generate(
    { id: "u", address },
    generation(options.generation),
    options.signal ?? NEVER_ABORTED,
  );
  for await (const item of stream) {
    if (item.err) return { chunks, fault: item.val.kind };
    chunks.push(item.val);
  }
  return { chunks };
}

/** A TCP server that handles each connection with `serve`. */
async function startTcpServer(
  serve: (socket: Socket) => void,
): Promise<Server> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    serve(socket);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return server;
}

function addressOf(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

test("a complete stream ends with its last chunk and keeps its connection", async () => {
  const connections = new Set<unknown>();
  const standIn = await startEngine({
    tokenMs: 1,
    sink: (event) => event.connection && connections.add(event.connection),
  });
  const engine = new HttpEngine();
  const { host } = new URL(standIn.url);
  for (let n = 0; n < 3; n++) {
    const { chunks, fault } = await run(engine, host, {
      generation: { id: `r${n}` },
    });
    expect([chunks.length, chunks[4].finishReason]).toEqual([5, "stop"]);
    expect(fault).toEqual(undefined);
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  expect(connections.size).toEqual(1);
  await engine.close();
  await standIn.close();
});

// A late copy of a refusal, which names no generation, refused the next one.
test("a refused generation leaves no connection to the next one", async () => {
  const sockets: Socket[] = [];
  const server = await startTcpServer((socket) =>
    socket.on("data", () => {
      sockets.push(socket);
      socket.write("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    })
  );
  const engine = new HttpEngine();
  for (const id of ["a", "b"]) {
    await run(engine, addressOf(server), { generation: { id } });
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  expect(new Set(sockets).size).toEqual(2);
  await engine.close();
  server.close();
});

test("a refused connection means that nothing was sent", async () => {
  const server = await startTcpServer(() => {});
  const address = addressOf(server);
  server.close();
  await once(server, "close");
  const engine = new HttpEngine();
  expect((await run(engine, address)).fault).toEqual(EngineFault.Connect);
  const load = await engine.load({ id: "u", address });
  expect(load.err && load.val.fault).toEqual(Fault.NotSent);
  await engine.close();
});

test("after a connection broke the request may have run", async () => {
  const server = await startTcpServer((socket) =>
    socket.once("data", () => socket.destroy())
  );
  const engine = new HttpEngine();
  const address = addressOf(server);
  expect((await run(engine, address)).fault).toEqual(EngineFault.Broken);
  const load = await engine.load({ id: "u", address });
  expect(load.err && load.val.fault).toEqual(Fault.Unknown);
  await engine.close();
  server.close();
});

test("a reply without a length that is reset is a failure", async (t) => {
  const server = await startTcpServer((socket) =>
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n[]");
      setTimeout(() => socket.resetAndDestroy(), 50);
    })
  );
  const endpoint = new HttpEndpoint({ url: `http://${addressOf(server)}` });
  t.after(() => Promise.all([endpoint.close(), server.close()]));
  const reply = await endpoint.request({ method: "GET", path: "/" });
  expect(reply.err && reply.val.fault).toEqual(Fault.Unknown);
});

test("an aborted call resets its connection and is not sent again", async () => {
  const ends: string[] = [];
  let calls = 0;
  const server = await startTcpServer((socket) => {
    socket.on("data", () => calls += 1);
    socket.on(
      "error",
      (error: NodeJS.ErrnoException) => ends.push(error.code ?? ""),
    );
    socket.on("end", () => ends.push("end"));
  });
  const url = `http://${addressOf(server)}`;
  const keyValue = new HttpKeyValue({ url, timeoutMs: 50 });
  const answer = await keyValue.get("k");
  expect(answer.err && answer.val.fault).toEqual(Fault.Unknown);
  await new Promise((resolve) => setTimeout(resolve, 20));
  expect([...new Set(ends)]).toEqual(["ECONNRESET"]);
  expect(calls).toEqual(1);
  await keyValue.close();
  server.close();
});

test("a call that expired before its body was written is not sent", async () => {
  const platform = await startPlatform();
  const orderService = new HttpOrderService({ url: platform.url });
  const order = {
    id: "1",
    pool: "lm",
    availabilityZone: "a",
    reclaimable: false,
    count: 1,
    term: 1,
    holder: "one",
  };
  const { signal } = new AbortController();
  let checks = 0;
  setExpiryCheck(signal, () => ++checks > 0);
  const late = await orderService.place(order, signal);
  expect([late.err, checks > 0, platform.calls()]).toEqual([true, true, {}]);
  const inTime = await orderService.place(order, new AbortController().signal);
  expect([inTime.ok, platform.calls()]).toEqual([true, { order: 1 }]);
  await orderService.close();
  await platform.close();
});

test("each way of ending early is reported as its own fault", async () => {
  const standIn = await startEngine({ tokenMs: 2 });
  const engine = new HttpEngine();
  const { host } = new URL(standIn.url);
  const fault = async () => (await run(engine, host)).fault;
  standIn.behave({ truncate: 1 });
  expect(await fault()).toEqual(EngineFault.Truncated);
  standIn.behave({ breaks: 1 });
  expect(await fault()).toEqual(EngineFault.Broken);
  standIn.behave({ cross: 1 });
  expect(await fault()).toEqual(EngineFault.Broken);
  standIn.behave({ refuse: true });
  expect(await fault()).toEqual(EngineFault.Refused);
  await engine.close();
  await standIn.close();
});

test("an odd status or a part of a head is no generation", async () => {
  const head = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
  const answers = [
    ...["000", "099", "199", "600", "999"].map((status) =>
      head.replace("200", status)
    ),
    ...upTo(head.length - 1).map((bytes) => head.slice(0, bytes)),
  ];
  for (const answer of answers) {
    const server = await startTcpServer((socket) =>
      socket.once("data", () => socket.end(answer))
    );
    const engine = new HttpEngine();
    const { chunks, fault } = await run(engine, addressOf(server));
    expect([chunks.length, fault]).toEqual([0, EngineFault.Broken]);
    await engine.close();
    server.close();
  }
});

function upTo(count: number): readonly number[] {
  return Array.from({ length: count }, (_, n) => n + 1);
}

test("a silent stream is aborted and its connections are replaced", async () => {
  const standIn = await startEngine({ tokenMs: 2 });
  const engine = new HttpEngine({ silenceMs: 60 });
  const { host } = new URL(standIn.url);
  await run(engine, host);
  standIn.behave({ silent: true });
  expect((await run(engine, host)).fault).toEqual(EngineFault.Silent);
  standIn.behave({ silent: false });
  const { chunks, fault } = await run(engine, host);
  expect([chunks.length, fault]).toEqual([5, undefined]);
  await engine.close();
  await standIn.close();
});

test("a cancelled stream is cancelled at the engine", async () => {
  const kinds: string[] = [];
  const standIn = await startEngine({ sink: ({ kind }) => kinds.push(kind) });
  const engine = new HttpEngine();
  const { host } = new URL(standIn.url);
  const stream = engine.generate(
    { id: "u", address: host },
    generation({ prompt: "[tokens=1000]" }),
    NEVER_ABORTED,
  );
  await stream.next();
  await stream.return();
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(kinds).toEqual(["received", "started", "cancelled"]);
  const abort = new AbortController();
  setTimeout(() => abort.abort(), 20);
  const { fault } = await run(engine, host, {
    generation: { prompt: "[tokens=1000]" },
    signal: abort.signal,
  });
  expect(fault).toEqual(EngineFault.Cancelled);
  await engine.close();
  await standIn.close();
});

test("the key-value client distinguishes kinds of failures", async () => {
  const platform = await startPlatform();
  const keyValue = new HttpKeyValue({ url: platform.url, timeoutMs: 100 });
  const missing = await keyValue.get("k");
  expect(missing.unwrap()).toEqual(none);
  platform.inject([{ kind: FaultKind.Lost, operation: "swap", count: 1 }]);
  const write = { value: "v", expected: 0 };
  const lost = await keyValue.swap("k", write);
  expect(lost.err && lost.val.fault).toEqual(Fault.Unknown);
  const again = (await keyValue.swap("k", write)).unwrap();
  expect(again.applied).toEqual(false);
  const renewal = await keyValue.renew("nobody's");
  expect(renewal.err && renewal.val.fault).toEqual(Fault.Refused);
  platform.inject([
    { kind: FaultKind.Delay, operation: "get", delayMs: 300 },
  ]);
  const slow = await keyValue.get("k");
  expect(slow.err && slow.val.fault).toEqual(Fault.Unknown);
  await keyValue.close();
  await platform.close();
});

test("a watch ends when the key changes", async () => {
  const platform = await startPlatform();
  const keyValue = new HttpKeyValue({ url: platform.url });
  const watch = keyValue.watch("k", { known: 0, waitMs: 5000 });
  await keyValue.swap("k", { value: "v", expected: 0 });
  const entry = (await watch).unwrap();
  expect(entry._tag === "Some" && entry.value.value).toEqual("v");
  await keyValue.close();
  await platform.close();
});

test("engines name limits and their leaving in answers and in load reports", async () => {
  const standIn = await startEngine();
  const feed = new NoticeFeed();
  const notices: UpstreamNotice[] = [];
  feed.onNotice((notice) => notices.push(notice));
  const engine = new HttpEngine({ notices: feed });
  const address = standIn.url.slice("http://".length);
  try {
    standIn.behave({ limitPerS: 2.5, leaving: true });
    await run(engine, address);
    (await engine.load({ id: "u", address })).unwrap();
    standIn.behave({ limitPerS: 0, leaving: false });
    await run(engine, address);
    expect(notices.map(({ limitPerS, leaving }) => [limitPerS, leaving]))
      .toEqual([[2.5, true], [2.5, true], [undefined, false]]);
  } finally {
    await engine.close();
    await standIn.close();
  }
});
