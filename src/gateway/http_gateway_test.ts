import { expect } from "earl";
import { connect } from "node:net";
import { test } from "node:test";
import { Kernel } from "../kernel/mod.ts";
import type { Platform } from "../outside/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { withGateway } from "./fixture.ts";
import { HttpGateway } from "./http_gateway.ts";

/** Sends `text` and returns all data received until the connection closes. */
function sent(port: number, text: string): Promise<string> {
  return new Promise((resolve, reject) => {
    let answer = "";
    const socket = connect(port, "127.0.0.1", () => socket.write(text));
    socket.on("data", (data) => answer += data);
    socket.on("error", reject);
    socket.on("close", () => resolve(answer));
  });
}

test("a request that arrives too slowly times out", async () => {
  const kernel = new Kernel({
    settings: { http: { host: "127.0.0.1", port: 0 } } as Settings,
    platform: {} as Platform,
    incarnation: "test",
    registrations: [],
  });
  const gateway = new HttpGateway({
    kernel,
    headersTimeoutMs: 100,
    requestTimeoutMs: 100,
  });
  await gateway.open();
  try {
    const head = await sent(gateway.port, "GET /healthz HTTP/1.1\r\n");
    expect(head.startsWith("HTTP/1.1 408")).toEqual(true);
  } finally {
    await gateway.stop();
  }
});

test("headers above the size limit are refused", async () => {
  await withGateway({}, async ({ url }) => {
    const { port } = new URL(url);
    const long = `x-long: ${"x".repeat(20_000)}\r\n\r\n`;
    const answer = await sent(
      Number(port),
      `GET /healthz HTTP/1.1\r\n${long}`,
    );
    expect(answer.startsWith("HTTP/1.1 431")).toEqual(true);
  });
});

test("a path without a route is refused as not run", async () => {
  await withGateway({ routes: [] }, async ({ url }) => {
    const response = await fetch(`${url}/nowhere`);
    expect(response.status).toEqual(404);
    expect((await response.text()).includes("not run")).toEqual(true);
  });
});
