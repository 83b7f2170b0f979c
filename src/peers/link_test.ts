import { expect } from "earl";
import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { Kernel, SystemClock } from "../kernel/mod.ts";
import type { Platform } from "../outside/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { Side } from "./handshake.ts";
import { openLink } from "./link.ts";
import { EndReason, FrameKind, PeerMetrics } from "./peer_metrics.ts";

/** Both ends of a link over the loopback interface. */
async function ends(t: TestContext) {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as { port: number };
  const dialled = connect(port, "127.0.0.1");
  const [accepted] = await once(server, "connection") as [Socket];
  t.after(() => {
    dialled.destroy();
    accepted.destroy();
    server.close();
  });
  const kernel = new Kernel({
    settings: {} as Settings,
    platform: {} as Platform,
    incarnation: "run",
    registrations: [],
  });
  const metrics = new PeerMetrics(kernel);
  const clock = new SystemClock();
  const end = (socket: Socket, side: Side, vm: string) =>
    openLink(socket, {
      side,
      secret: "secret",
      vm,
      incarnation: `${vm}-run`,
      timeoutMs: 1000,
      clock,
      metrics,
    });
  const [near, far] = await Promise.all([
    end(dialled, Side.Dialler, "vm-a"),
    end(accepted, Side.Acceptor, "vm-b"),
  ]);
  return { near, far, dialled };
}

test("frames behind the one that closed a link are not acted on", async (t) => {
  const { near, far, dialled } = await ends(t);
  const received: FrameKind[] = [];
  dialled.cork();
  near.ping(0);
  near.send({ kind: FrameKind.Ask, id: 1, name: "count", body: 0 });
  dialled.uncork();
  await far.run((message) => {
    received.push(message.kind);
    far.close(EndReason.Paused);
  });
  expect(received).toEqual([FrameKind.Ping]);
});
