import { expect } from "earl";
import {
  createServer,
  type IncomingMessage,
  request as httpRequest,
  type ServerResponse,
} from "node:http";
import {
  type AddressInfo,
  createServer as createNetServer,
  type Socket,
} from "node:net";
import { test } from "node:test";
import { Outcome } from "../dispatch/mod.ts";
import { Reason, Verdict } from "../kernel/mod.ts";
import { type Fixture, KEY, serviceRoute, withGateway } from "./fixture.ts";
import {
  NoticeFeed,
  type UpstreamNotice,
} from "../outside/upstream_notices.ts";
import type { RefusalBody } from "./mod.ts";

const ANSWER_TIMEOUT_MS = 10_000;

interface Upstream {
  readonly address: string;
  readonly requests: { raw: IncomingMessage; body: string }[];
}

/** Runs `body` with an HTTP service that responds by `answer`. */
async function withService(
  answer: (request: IncomingMessage, response: ServerResponse) => void,
  body: (upstream: Upstream) => Promise<void>,
): Promise<void> {
  const requests: Upstream["requests"] = [];
  const server = createServer(async (request, response) => {
    let text = "";
    try {
      for await (const chunk of request) text += chunk;
    } catch {
      return;
    }
    requests.push({ raw: request, body: text });
    answer(request, response);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  try {
    await body({ address: `127.0.0.1:${port}`, requests });
  } finally {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  }
}

/** Runs `body` with a TCP server that handles connections by `handle`. */
async function withTcpServer(
  handle: (socket: Socket) => void,
  body: (address: string) => Promise<void>,
): Promise<void> {
  const sockets = new Set<Socket>();
  const server = createNetServer((socket) => {
    sockets.add(socket);
    socket.on("error", () => {});
    handle(socket);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  try {
    await body(`127.0.0.1:${port}`);
  } finally {
    for (const socket of sockets) socket.destroy();
    await new Promise((resolve) => server.close(resolve));
  }
}

function targets(...addresses: string[]) {
  return addresses.map((address, n) => ({ id: `s${n + 1}`, address }));
}

function call(
  { url }: Fixture,
  options: RequestInit & { path?: string } = {},
): Promise<Response> {
  const headers = { "x-api-key": KEY, ...options.headers };
  return fetch(url + (options.path ?? "/lots/7"), { ...options, headers });
}

const UNREACHABLE_ADDRESS = "127.0.0.1:1";

function echo(_request: IncomingMessage, response: ServerResponse) {
  response.setHeader("x-service", "yes");
  response.end("answer");
}

test("a request is forwarded without key, cookie or forged organisation", async () => {
  await withService(echo, async (upstream) => {
    const routes = [serviceRoute()];
    const options = { routes, targets: targets(upstream.address) };
    await withGateway(options, async (fixture) => {
      const response = await call(fixture, {
        method: "PUT",
        body: "bid",
        path: "/lots/7?open=1",
        headers: {
          cookie: "session=1",
          "x-toucanwind-tenant": "forged",
          "x-tenant-id": "forged",
          "x-kept": "yes",
        },
      });
      expect(await response.text()).toEqual("answer");
      expect(response.headers.get("x-service")).toEqual("yes");
      const [{ raw, body }] = upstream.requests;
      expect([raw.method, raw.url, body])
        .toEqual(["PUT", "/lots/7?open=1", "bid"]);
      const sent = raw.rawHeaders.join("\n");
      expect(sent.includes(KEY)).toEqual(false);
      expect(sent.includes("forged")).toEqual(false);
      expect(raw.headers.cookie).toEqual(undefined);
      expect(raw.headers["x-kept"]).toEqual("yes");
      expect(raw.headers["x-toucanwind-tenant"]).toEqual("authority");
      expect(fixture.usage.uses.length).toEqual(1);
      expect(fixture.dispatch.released)
        .toEqual([{ target: "s1", outcome: Outcome.Served }]);
    });
  });
});

test("large bodies are streamed in both directions", async () => {
  const large = "x".repeat(300_000);
  const respondLarge = (
    _request: IncomingMessage,
    response: ServerResponse,
  ) => {
    response.write(large);
    response.end(large);
  };
  await withService(respondLarge, async (upstream) => {
    const routes = [serviceRoute()];
    const options = { routes, targets: targets(upstream.address) };
    await withGateway(options, async (fixture) => {
      const response = await call(fixture, { method: "POST", body: large });
      expect((await response.text()).length).toEqual(600_000);
      expect(upstream.requests[0].body.length).toEqual(300_000);
    });
  });
});

test("a streamed body that contains the key does not reach an upstream", async () => {
  await withService(echo, async (upstream) => {
    const routes = [serviceRoute()];
    const options = { routes, targets: targets(upstream.address) };
    await withGateway(options, async (fixture) => {
      const body = "x".repeat(100_000) + KEY;
      const response = await call(fixture, { method: "POST", body });
      expect(response.status).toEqual(400);
      expect(upstream.requests.length).toEqual(0);
    });
  });
});

test("a request is retried when an upstream is unreachable", async () => {
  await withService(echo, async (upstream) => {
    const routes = [serviceRoute()];
    const options = {
      routes,
      targets: targets(UNREACHABLE_ADDRESS, upstream.address),
    };
    await withGateway(options, async (fixture) => {
      const response = await call(fixture, { method: "POST", body: "b" });
      expect(await response.text()).toEqual("answer");
      expect(fixture.dispatch.released.map(({ outcome }) => outcome))
        .toEqual([Outcome.Unreachable, Outcome.Served]);
    });
  });
});

test("only a request that reached no upstream is refused as not run", async () => {
  const routes = [serviceRoute({ repeatable: false })];
  const disconnect = (socket: Socket) =>
    socket.once("data", () => socket.destroy());
  await withTcpServer(disconnect, async (address) => {
    for (
      const [target, verdict] of [
        [UNREACHABLE_ADDRESS, Verdict.NotRun],
        [address, Verdict.MayHaveRun],
      ]
    ) {
      const options = { routes, targets: targets(target, target) };
      await withGateway(options, async (fixture) => {
        const response = await call(fixture, { method: "POST", body: "b" });
        const { error } = await response.json() as RefusalBody;
        expect(error.verdict).toEqual(verdict as Verdict);
        expect(fixture.dispatch.demands.length).toEqual(1);
      });
    }
  });
});

test("responses without a body are forwarded", async () => {
  const respondWithoutBody = (
    request: IncomingMessage,
    response: ServerResponse,
  ) => {
    const status = request.url === "/lots/none" ? 204 : 304;
    if (request.method === "HEAD") response.setHeader("content-length", "9");
    response.writeHead(request.method === "HEAD" ? 200 : status).end();
  };
  await withService(respondWithoutBody, async (upstream) => {
    const routes = [serviceRoute()];
    const options = { routes, targets: targets(upstream.address) };
    await withGateway(options, async (fixture) => {
      const head = await call(fixture, { method: "HEAD" });
      expect([head.status, head.headers.get("content-length")])
        .toEqual([200, "9"]);
      const none = await call(fixture, { path: "/lots/none" });
      expect(none.status).toEqual(204);
      expect((await call(fixture)).status).toEqual(304);
      expect(fixture.usage.uses.length).toEqual(3);
    });
  });
});

test("a caller that reads slowly gets the complete response", async () => {
  const large = Buffer.alloc(8_000_000, "x");
  const respondLarge = (
    _request: IncomingMessage,
    response: ServerResponse,
  ) => {
    response.end(large);
  };
  await withService(respondLarge, async (upstream) => {
    const routes = [serviceRoute()];
    const options = { routes, targets: targets(upstream.address) };
    await withGateway(options, async (fixture) => {
      const response = await call(fixture);
      let bytes = 0;
      for await (const chunk of response.body ?? []) {
        if (bytes < 500_000) {
          await new Promise((resolve) => setTimeout(resolve, 10));
        }
        bytes += (chunk as Uint8Array).length;
      }
      expect(bytes).toEqual(8_000_000);
    });
  });
});

test("a request to a silent upstream ends at its deadline", async () => {
  const routes = [serviceRoute({ deadlineMs: 300, repeatable: false })];
  await withTcpServer(() => {}, async (address) => {
    const options = { routes, targets: targets(address) };
    await withGateway(options, async (fixture) => {
      const response = await call(fixture);
      const { error } = await response.json() as RefusalBody;
      expect(error.reason).toEqual(Reason.DeadlineExceeded);
      expect(error.verdict).toEqual(Verdict.MayHaveRun);
    });
  });
});

test("a response that breaks off also breaks off for the caller", async () => {
  const routes = [serviceRoute()];
  const disconnect = (socket: Socket) =>
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf");
      setTimeout(() => socket.destroy(), 20);
    });
  await withTcpServer(disconnect, async (address) => {
    const options = { routes, targets: targets(address) };
    await withGateway(options, async (fixture) => {
      const response = await call(fixture);
      await expect(response.text()).toBeRejected();
      expect(fixture.usage.uses.length).toEqual(0);
      expect(fixture.dispatch.released[0].outcome).toEqual(Outcome.Broken);
    });
  });
});

// Any three digits were passed on as a status.
for (const status of ["000", "099", "199", "600", "999"]) {
  test(`status ${status} of a service reaches no caller`, async () => {
    const answer = (socket: Socket) =>
      socket.once("data", () => {
        socket.end(`HTTP/1.1 ${status} Odd\r\ncontent-length: 3\r\n\r\nodd`);
      });
    await withTcpServer(answer, async (address) => {
      const routes = [{ ...serviceRoute(), repeatable: false }];
      await withGateway(
        { routes, targets: targets(address) },
        async (fixture) => {
          const response = await call(fixture);
          expect([response.status, (await response.text()).includes("odd")])
            .toEqual([502, false]);
        },
      );
    });
  });
}

test("a head that ends in the middle is no success of a service", async () => {
  const whole = "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n";
  for (let bytes = 1; bytes < whole.length; bytes += 3) {
    const cut = (socket: Socket) =>
      socket.once("data", () => socket.end(whole.slice(0, bytes)));
    await withTcpServer(cut, async (address) => {
      const routes = [{ ...serviceRoute(), repeatable: false }];
      await withGateway(
        { routes, targets: targets(address) },
        async (fixture) => {
          expect((await call(fixture)).status).toEqual(502);
        },
      );
    });
  }
});

test("a response without a length that is reset breaks off for the caller", async () => {
  const handle = (socket: Socket) => {
    socket.once("data", () => {
      socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
      setTimeout(() => socket.resetAndDestroy(), 100);
    });
  };
  await withTcpServer(handle, async (address) => {
    const options = { routes: [serviceRoute()], targets: targets(address) };
    await withGateway(options, async (fixture) => {
      const response = await call(fixture);
      expect(response.status).toEqual(200);
      await expect(response.text()).toBeRejected();
    });
  });
});

test("a path matches the longest prefix that ends at a slash", async () => {
  await withService(echo, async (upstream) => {
    const routes = [
      serviceRoute({ path: "/lots", open: true }),
      serviceRoute({ name: "sold", path: "/lots/sold", open: true }),
    ];
    const options = { routes, targets: targets(upstream.address) };
    await withGateway(options, async (fixture) => {
      for (const path of ["/lots/sold?x=1", "/lots/soldier", "/lotsmore"]) {
        await (await call(fixture, { path })).text();
      }
      expect(fixture.dispatch.demands.map(({ route }) => route))
        .toEqual(["sold", "lots"]);
    });
  });
});

test("a graceful shutdown completes running requests", async () => {
  const respondSlowly = (
    _request: IncomingMessage,
    response: ServerResponse,
  ) => {
    setTimeout(() => response.end("answer"), 300);
  };
  await withService(respondSlowly, async (upstream) => {
    const routes = [serviceRoute()];
    const options = {
      routes,
      targets: targets(upstream.address),
      drainMs: 3000,
    };
    await withGateway(options, async (fixture) => {
      const running = call(fixture);
      await new Promise((resolve) => setTimeout(resolve, 50));
      const shutdown = fixture.kernel.shutdown();
      const ready = await fetch(`${fixture.url}/readyz`);
      expect(ready.status).toEqual(503);
      expect(ready.headers.get("connection")).toEqual("close");
      expect(await (await running).text()).toEqual("answer");
      await shutdown;
    });
  });
});

test("a late request on an idle connection is served while draining", async () => {
  await withService(echo, async (upstream) => {
    const routes = [serviceRoute()];
    const options = {
      routes,
      targets: targets(upstream.address),
      drainMs: 1000,
    };
    await withGateway(options, async (fixture) => {
      const sockets: Socket[] = [];
      await get(fixture.url, sockets);
      const shutdown = fixture.kernel.shutdown();
      // By then the listener is closed, but the connection is still open.
      await new Promise((resolve) => setTimeout(resolve, 250));
      await expect(fetch(fixture.url)).toBeRejected();
      expect(await get(fixture.url, sockets)).toEqual("close");
      await shutdown;
    });
  });
});

/** Gets `/lots`, on the first socket if any; returns `Connection`. */
function get(url: string, sockets: Socket[]): Promise<string | undefined> {
  const [open] = sockets;
  return new Promise((resolve, reject) => {
    const request = httpRequest(`${url}/lots`, {
      headers: { "x-api-key": KEY, connection: "keep-alive" },
      agent: undefined,
      createConnection: open ? () => open : undefined,
    }, (response) => {
      response.resume();
      response.on("end", () => resolve(response.headers.connection));
      response.on("close", () => reject(new Error("The response was cut")));
    });
    request.on("socket", (socket) => sockets.push(socket));
    request.setTimeout(
      ANSWER_TIMEOUT_MS,
      () => request.destroy(new Error(`No answer in ${ANSWER_TIMEOUT_MS} ms`)),
    );
    request.on("error", reject);
    request.end();
  });
}

test("what a service says of itself in its answers is passed on", async () => {
  const answer = (_request: IncomingMessage, response: ServerResponse) => {
    response.setHeader("upstream-limit", "1.5");
    response.end();
  };
  await withService(answer, async ({ address }) => {
    const notices = new NoticeFeed();
    const heard: UpstreamNotice[] = [];
    notices.onNotice((notice) => heard.push(notice));
    const options = {
      routes: [serviceRoute()],
      targets: targets(address),
      notices,
    };
    await withGateway(options, async (fixture) => {
      await call(fixture);
      expect(heard.map(({ upstream, limitPerS }) => [upstream, limitPerS]))
        .toEqual([["s1", 1.5]]);
    });
  });
});
