import { expect } from "earl";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { test } from "node:test";
import { TcpRelay } from "./tcp_relay.ts";

/** A relay in front of a server that tells each caller its address. */
async function relayed(run: (relay: TcpRelay, port: number) => Promise<void>) {
  const sockets: Socket[] = [];
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.on("data", () => socket.write(socket.remoteAddress ?? ""));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const relay = new TcpRelay({ host: "127.0.0.1", port });
  try {
    await run(relay, await relay.listen());
  } finally {
    await relay.close();
    for (const socket of sockets) socket.destroy();
    server.close();
  }
}

/** A caller at a loopback address. */
function caller(localAddress: string, port: number): Socket {
  return connect({ host: "127.0.0.1", port, localAddress });
}

/** What the server answers; undefined if nothing in 200 ms. */
async function ask(socket: Socket): Promise<string | undefined> {
  socket.write("?");
  const answer = once(socket, "data").then(([bytes]) => `${bytes}`);
  const nothing = new Promise<undefined>((resolve) =>
    setTimeout(resolve, 200, undefined)
  );
  return await Promise.race([answer, nothing]);
}

test("a relay's server sees the address that a connection came from", () =>
  relayed(async (_, port) => {
    const socket = caller("127.0.0.7", port);
    expect(await ask(socket)).toEqual("127.0.0.7");
    socket.destroy();
  }));

test("a relay that ignores a host silences only that host's connections", () =>
  relayed(async (relay, port) => {
    const ignored = caller("127.0.0.7", port);
    const other = caller("127.0.0.8", port);
    await Promise.all([ask(ignored), ask(other)]);
    relay.ignore("127.0.0.7");
    const fresh = caller("127.0.0.7", port);
    expect(await Promise.all([ignored, fresh, other].map(ask)))
      .toEqual([undefined, undefined, "127.0.0.8"]);
    relay.acceptFrom("127.0.0.7");
    const healed = caller("127.0.0.7", port);
    expect(await ask(healed)).toEqual("127.0.0.7");
    for (const socket of [ignored, other, fresh, healed]) socket.destroy();
  }));
