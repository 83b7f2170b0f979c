import { expect } from "earl";
import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import { type Exchange, RequestConnections } from "./request_connections.ts";

/** Connections to a server that tells the port that each request came from. */
async function open(t: TestContext, { delayMs = 0 } = {}) {
  const server = createServer((message, response) => {
    const answer = () => response.end(`${message.socket.remotePort}`);
    setTimeout(answer, delayMs);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const connections = new RequestConnections({
    origin: `http://127.0.0.1:${port}`,
    client: {},
  });
  t.after(async () => {
    await connections.destroy();
    server.closeAllConnections();
    server.close();
  });
  const exchange = (id: string) =>
    connections.send(id, { method: "GET", path: "/" });
  /** Sends a request; returns the port that it came from. */
  const send = async (id: string, use = (_: Exchange) => {}) => {
    const sent = await exchange(id);
    use(sent);
    const from = await sent.response.body.text();
    await settled();
    return from;
  };
  return { connections, server, send };
}

/** Resolves once the client has handled what it has received. */
function settled(): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, 10));
}

// A late copy of the first answer was taken for the answer to the second send.
test("no connection carries a request twice", async (t) => {
  const { send } = await open(t);
  const ports = [await send("a"), await send("a"), await send("a")];
  expect(new Set(ports).size).toEqual(3);
});

test("a connection is reused for other requests", async (t) => {
  const { connections, send } = await open(t);
  const ports = [await send("a"), await send("b"), await send("c")];
  expect([new Set(ports).size, connections.size]).toEqual([1, 1]);
  const again = await send("a");
  expect([again === ports[0], await send("d") === ports[0]])
    .toEqual([false, true]);
});

test("requests at once have a connection each", async (t) => {
  const { send } = await open(t, { delayMs: 20 });
  const ports = await Promise.all(["a", "b", "c"].map((id) => send(id)));
  expect(new Set(ports).size).toEqual(3);
});

test("a retired connection ends its request and carries no other", async (t) => {
  const { connections, send } = await open(t);
  const first = await send("a", ({ retire }) => retire());
  expect([connections.size, await send("b") === first]).toEqual([0, false]);
});

test("a connection is first until it has carried a request", async (t) => {
  const { send } = await open(t);
  const firsts: boolean[] = [];
  const note = ({ isFirst }: Exchange) => firsts.push(isFirst);
  await send("a", note);
  await send("b", note);
  await send("a", note);
  expect(firsts).toEqual([true, false, true]);
});

test("a connection that the upstream closed is replaced", async (t) => {
  const { connections, server, send } = await open(t);
  await send("a");
  server.closeAllConnections();
  await settled();
  expect(connections.size).toEqual(0);
  expect((await send("a")).length > 0).toEqual(true);
});

test("connections that can't be opened are dropped", async (t) => {
  const { connections, server, send } = await open(t);
  server.close();
  server.closeAllConnections();
  await once(server, "close");
  await expect(send("a")).toBeRejected();
  await settled();
  expect(connections.size).toEqual(0);
});

test("a connection is replaced before it keeps too many ids", async (t) => {
  const { send } = await open(t);
  const ports = new Set<string>();
  for (let n = 0; n < 501; n++) {
    ports.add(await send(`r${n}`));
  }
  expect(ports.size).toEqual(2);
});
