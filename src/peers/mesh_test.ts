import { expect } from "earl";
import fc from "fast-check";
import { connect, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { type PeerHandler, Reason, Refusal, Verdict } from "../kernel/mod.ts";
import {
  entry,
  forkMesh,
  startMesh,
  type VmList,
} from "../../stand_ins/loopback_mesh.ts";
import { TcpRelay } from "../../stand_ins/tcp_relay.ts";
import { codec, encodeFrame, MAX_FRAME_BYTES } from "./frame.ts";
import { performHandshake, Side, sign } from "./handshake.ts";
import { FrameSource } from "./link.ts";
import { FrameKind } from "./peer_metrics.ts";

async function daemon(
  t: TestContext,
  vm: string,
  options: Omit<Parameters<typeof startMesh>[0], "vm"> = {},
) {
  const it = await startMesh({ ...options, vm });
  t.after(() => it.mesh.stop());
  return it;
}

type Daemon = Awaited<ReturnType<typeof daemon>>;

async function waitUntil(
  check: () => boolean,
  timeoutMs = 5000,
): Promise<number> {
  const from = performance.now();
  while (!check()) {
    if (performance.now() - from > timeoutMs) {
      throw new Error(`Condition not met after "${timeoutMs}" ms`);
    }
    await sleep(10);
  }
  return performance.now() - from;
}

const hasMembers = (it: Daemon, count: number) => () =>
  it.mesh.members().length === count;

async function daemons(t: TestContext, count: number, list: VmList = []) {
  const all: Daemon[] = [];
  for (let i = 0; i < count; i++) {
    all.push(await daemon(t, `vm-${String(i).padStart(2, "0")}`, { list }));
  }
  for (const it of all) await waitUntil(hasMembers(it, count));
  return all;
}

/** Puts a relay before a daemon's port, to cut or silence connections. */
function relay(t: TestContext) {
  const relays: TcpRelay[] = [];
  const front = async (port: number) => {
    const it = new TcpRelay({ host: "127.0.0.1", port });
    relays.push(it);
    t.after(() => it.close());
    return await it.listen();
  };
  return { relays, front };
}

async function socketTo(t: TestContext, port: number): Promise<Socket> {
  const socket = connect(port, "127.0.0.1");
  socket.on("error", () => {});
  t.after(() => socket.destroy());
  await new Promise((done) => socket.once("connect", done));
  return socket;
}

/** A bare connection that completes the handshake with the right secret. */
async function authenticatedPeer(t: TestContext, port: number, vm = "vm-x") {
  const socket = await socketTo(t, port);
  const source = new FrameSource(socket);
  source.reader.maxBytes = MAX_FRAME_BYTES;
  const session = await performHandshake({
    send: (bytes) => void socket.write(bytes),
    receive: async () => (await source.next())!,
  }, { side: Side.Dialler, secret: "secret", vm, incarnation: "x" });
  const signed = (seq: number, message: unknown) => {
    const content = codec.encode(message);
    return encodeFrame(sign(session.sendKey, seq, content), content);
  };
  return { socket, signed, next: () => source.next() };
}

const ask = (name: string) => ({ kind: FrameKind.Ask, id: 1, name, body: 0 });

test("daemons discover each other through the platform's list", async (t) => {
  const [a, b] = await daemons(t, 3);
  expect(a.mesh.members().map(({ vm }) => vm)).toEqual([
    "vm-00",
    "vm-01",
    "vm-02",
  ]);
  // A daemon that has just opened is ranked by the others with a delay.
  for (const it of [a, b]) {
    await waitUntil(() => it.mesh.ranked("x").length === 3, 300);
  }
  expect(a.mesh.ranked("x")).toEqual(b.mesh.ranked("x"));
});

test("requests to a peer and to this daemon itself are answered", async (t) => {
  const list: VmList = [];
  const echo: PeerHandler = (body, from) => Promise.resolve([body, from]);
  const a = await daemon(t, "vm-a", { list, handlers: { echo } });
  await daemon(t, "vm-b", { list, handlers: { echo } });
  await waitUntil(hasMembers(a, 2));
  for (const vm of ["vm-a", "vm-b"]) {
    const answer = await a.mesh.ask(vm, "echo", { x: 1 }, { timeoutMs: 1000 });
    expect(answer.val).toEqual([{ x: 1 }, "vm-a"]);
  }
});

test("answers out of order are matched with their requests", async (t) => {
  const list: VmList = [];
  const wait: PeerHandler = async (body) => {
    await sleep(body as number);
    return body;
  };
  const a = await daemon(t, "vm-a", { list });
  await daemon(t, "vm-b", { list, handlers: { wait } });
  await waitUntil(hasMembers(a, 2));
  const delays = [90, 60, 30, 0, 75, 15];
  const answers = await Promise.all(
    delays.map((it) => a.mesh.ask("vm-b", "wait", it, { timeoutMs: 1000 })),
  );
  expect(answers.map((it) => it.val)).toEqual(delays);
});

test("a timed-out request may have run; a late answer is dropped", async (t) => {
  const list: VmList = [];
  const slow: PeerHandler = () => sleep(200);
  const a = await daemon(t, "vm-a", { list });
  await daemon(t, "vm-b", { list, handlers: { slow } });
  await waitUntil(hasMembers(a, 2));
  const answer = await a.mesh.ask("vm-b", "slow", 0, { timeoutMs: 50 });
  expect((answer.val as Refusal).verdict).toEqual(Verdict.MayHaveRun);
  await sleep(300);
  const late = a.kernel.metrics.getSingleMetric(
    "toucanwind_peer_late_answers_total",
  )!;
  expect((await late.get()).values[0].value).toEqual(1);
});

test("a refusal is returned unchanged; unknown kinds do not run", async (t) => {
  const list: VmList = [];
  const refusal = new Refusal({
    verdict: Verdict.NotRun,
    reason: Reason.QueueFull,
    message: "Full",
    retryAfterMs: 70,
  });
  const a = await daemon(t, "vm-a", { list });
  await daemon(t, "vm-b", {
    list,
    handlers: { full: () => Promise.reject(refusal) },
  });
  await waitUntil(hasMembers(a, 2));
  const full = await a.mesh.ask("vm-b", "full", 0, { timeoutMs: 1000 });
  expect(full.val).toEqual(refusal);
  const newer = await a.mesh.ask("vm-b", "newer", 0, { timeoutMs: 1000 });
  expect((newer.val as Refusal).verdict).toEqual(Verdict.NotRun);
});

test("a request to an unknown peer is not run", async (t) => {
  const a = await daemon(t, "vm-a");
  const answer = await a.mesh.ask("vm-z", "echo", 0, { timeoutMs: 1000 });
  expect((answer.val as Refusal).verdict).toEqual(Verdict.NotRun);
});

for (const signal of ["SIGSTOP", "SIGKILL"] as const) {
  test(`a process that got ${signal} is removed within 3 s`, async (t) => {
    const list: VmList = [];
    const others = await daemons(t, 2, list);
    const child = forkMesh({ vm: "vm-z", list });
    t.after(() => child.kill("SIGKILL"));
    for (const it of others) await waitUntil(hasMembers(it, 3));
    child.kill(signal);
    const buffered = others[0].mesh.ask("vm-z", "count", 0, {
      timeoutMs: 1000,
    });
    for (const it of others) {
      expect(await waitUntil(hasMembers(it, 2)) < 3000).toEqual(true);
    }
    if (signal === "SIGKILL") return;
    const refusal = (await buffered).val as Refusal;
    expect(refusal.verdict).toEqual(Verdict.MayHaveRun);
    const reported = new Promise((done) => child.once("message", done));
    child.kill("SIGCONT");
    for (const it of others) await waitUntil(hasMembers(it, 3));
    const report = { wakes: 1, settled: true, ran: 0, members: 3 };
    expect(await reported).toEqual(report);
  });
}

test("a silent link is replaced and its peer remains a member", async (t) => {
  const list: VmList = [];
  const { relays, front } = relay(t);
  const b = await daemon(t, "vm-b", { list, front });
  const a = await daemon(t, "vm-a", { list });
  await waitUntil(hasMembers(a, 2));
  let lost = 0;
  a.mesh.onChange(() => {
    if (a.mesh.members().length < 2) lost++;
  });
  relays[0].silence();
  const closed = "toucanwind_peer_links_closed_total";
  while (await a.counted(closed, "silent") === 0) await sleep(10);
  const answer = await a.mesh.ask("vm-b", "none", 0, { timeoutMs: 1000 });
  expect((answer.val as Refusal).reason).toEqual(Reason.PeerFailed);
  expect(lost).toEqual(0);
  expect(hasMembers(b, 2)()).toEqual(true);
});

test("unanswered requests do not keep a silent link open", async (t) => {
  const list: VmList = [];
  const { relays, front } = relay(t);
  await daemon(t, "vm-b", { list, front });
  const a = await daemon(t, "vm-a", { list });
  await waitUntil(hasMembers(a, 2));
  relays[0].silence();
  const closed = "toucanwind_peer_links_closed_total";
  const from = performance.now();
  while (await a.counted(closed, "silent") === 0) {
    await a.mesh.ask("vm-b", "none", 0, { timeoutMs: 20 });
    expect(performance.now() - from < 3000).toEqual(true);
  }
});

test("a cut link between two daemons makes neither dead", async (t) => {
  const list: VmList = [];
  const { relays, front } = relay(t);
  const z = await daemon(t, "vm-z", { list, front });
  const a = await daemon(t, "vm-a", { list });
  await waitUntil(hasMembers(a, 2));
  // Daemons started from now on are linked with vm-z directly.
  list[0] = entry("vm-z", z.port);
  const b = await daemon(t, "vm-b", { list: [...list] });
  list.push(entry("vm-b", b.port));
  await waitUntil(hasMembers(a, 3));
  await waitUntil(hasMembers(z, 3));
  list[0] = entry("vm-z", 1);
  list.splice(1, 1, entry("vm-a", 1));
  let lost = 0;
  for (const it of [a, b, z]) {
    it.mesh.onChange(() => {
      if (it.mesh.members().length < 3) lost++;
    });
  }
  relays[0].cut();
  await sleep(2500);
  expect(lost).toEqual(0);
  const changes = "toucanwind_peer_member_changes_total";
  expect(await b.counted(changes, "suspect") >= 1).toEqual(true);
});

test("a leaving daemon is a member that owns nothing", async (t) => {
  const [a, b] = await daemons(t, 2);
  b.mesh.beginShutdown();
  await waitUntil(() => a.mesh.ranked("x").length === 1);
  expect(a.mesh.members().length).toEqual(2);
  expect(a.mesh.ranked("x")[0].vm).toEqual("vm-00");
});

test("a starting daemon owns nothing until it opens", async (t) => {
  const list: VmList = [];
  const a = await daemon(t, "vm-a", { list });
  const b = await daemon(t, "vm-b", { list, starting: true });
  await waitUntil(hasMembers(a, 2));
  expect(a.mesh.ranked("x").length).toEqual(1);
  await b.mesh.open();
  await waitUntil(() => a.mesh.ranked("x").length === 2, 300);
});

test("gossip is sent anew on a new link", async (t) => {
  const list: VmList = [];
  const forgotten: string[] = [];
  const section = {
    offer: () => undefined,
    accept: () => {},
    forget: (peer: string) => void forgotten.push(peer),
  };
  const a = await daemon(t, "vm-a", { list, gossip: { section } });
  await daemon(t, "vm-b", { list });
  await waitUntil(hasMembers(a, 2));
  expect(forgotten.includes("vm-b")).toEqual(true);
});

test("a stopped daemon is removed at once", async (t) => {
  const [a, b] = await daemons(t, 2);
  await b.mesh.stop();
  expect(await waitUntil(hasMembers(a, 1)) < 300).toEqual(true);
});

test("a restarted daemon is a member with its new incarnation", async (t) => {
  const list: VmList = [];
  const a = await daemon(t, "vm-a", { list });
  const first = await daemon(t, "vm-b", { list });
  await waitUntil(hasMembers(a, 2));
  await first.mesh.stop();
  list.pop();
  await daemon(t, "vm-b", { list, incarnation: "later" });
  await waitUntil(() =>
    a.mesh.members().some(({ incarnation }) => incarnation === "later")
  );
});

test("24 daemons agree though each has 6 neighbours at most", async (t) => {
  const all = await daemons(t, 24);
  const last = all.at(-1)!;
  await last.mesh.stop();
  for (const it of all.slice(0, -1)) {
    expect(await waitUntil(hasMembers(it, 23)) < 1000).toEqual(true);
  }
  const status = all[0].mesh.props.status();
  expect(status.neighbours.length <= 6).toEqual(true);
});

test("gossipNow reaches the neighbours within 200 ms", async (t) => {
  const list: VmList = [];
  const received: unknown[] = [];
  const news: unknown[] = [];
  const section = {
    offer: () => news[0],
    accept: (body: unknown) => void received.push(body),
  };
  const a = await daemon(t, "vm-a", { list, gossip: { section } });
  await daemon(t, "vm-b", { list, gossip: { section } });
  await waitUntil(hasMembers(a, 2));
  news.push("news");
  a.mesh.gossipNow("section");
  expect(await waitUntil(() => received.includes("news")) < 200).toEqual(true);
});

test("a daemon with another secret does not become a member", async (t) => {
  const list: VmList = [];
  const a = await daemon(t, "vm-a", { list });
  await daemon(t, "vm-b", { list, secret: "other" });
  await sleep(500);
  expect(a.mesh.members().length).toEqual(1);
  const faults = "toucanwind_peer_dial_failures_total";
  expect(await a.counted(faults, "handshake") >= 1).toEqual(true);
});

test("forged, replayed and reordered frames close the link", async (t) => {
  let ran = 0;
  const count: PeerHandler = () => Promise.resolve(ran++);
  const a = await daemon(t, "vm-a", { handlers: { count } });
  const cases = [
    (signed: (seq: number, it: unknown) => Buffer) => {
      const forged = signed(0, ask("count"));
      forged[forged.length - 1] ^= 1;
      return [forged];
    },
    (signed: (seq: number, it: unknown) => Buffer) => [
      signed(1, ask("count")),
    ],
    (signed: (seq: number, it: unknown) => Buffer) => {
      const once = signed(0, { kind: FrameKind.Pong, digest: 0 });
      return [once, once, signed(1, ask("count"))];
    },
  ];
  for (const make of cases) {
    const { socket, signed } = await authenticatedPeer(t, a.port);
    const closed = new Promise((done) => socket.once("close", done));
    for (const bytes of make(signed)) socket.write(bytes);
    await closed;
  }
  expect(ran).toEqual(0);
  const closed = "toucanwind_peer_links_closed_total";
  expect(await a.counted(closed, "forged")).toEqual(3);
});

test("a frame of unknown kind is ignored", async (t) => {
  let ran = 0;
  const count: PeerHandler = () => Promise.resolve(ran++);
  const a = await daemon(t, "vm-a", { handlers: { count } });
  const { socket, signed } = await authenticatedPeer(t, a.port);
  socket.write(signed(0, { kind: 99, more: [1, 2] }));
  socket.write(signed(1, { ...ask("count"), added: true }));
  await waitUntil(() => ran === 1);
});

test("unauthenticated bytes neither run nor fill the memory", async (t) => {
  let ran = 0;
  const count: PeerHandler = () => Promise.resolve(ran++);
  const a = await daemon(t, "vm-a", { handlers: { count } });
  const before = process.memoryUsage().rss;
  const inputs = fc.sample(fc.uint8Array({ maxLength: 2000 }), {
    seed: 4,
    numRuns: 100,
  });
  const huge = Buffer.alloc(64 * 1024, 0xff);
  for (const bytes of [...inputs, huge]) {
    const socket = await socketTo(t, a.port);
    socket.write(bytes);
    socket.end(encodeFrame(bytes));
  }
  await sleep(700);
  expect(ran).toEqual(0);
  expect(a.mesh.members().length).toEqual(1);
  const grownBytes = process.memoryUsage().rss - before;
  expect(grownBytes).toBeLessThan(128 * 1024 * 1024);
});

test("malformed frames of an authenticated peer close one link", async (t) => {
  const a = await daemon(t, "vm-a");
  const messages = fc.sample(
    fc.record({ kind: fc.integer({ min: 0, max: 12 }), states: fc.anything() }),
    { seed: 5, numRuns: 60 },
  );
  for (const message of messages) {
    const { socket, signed } = await authenticatedPeer(t, a.port);
    socket.end(signed(0, message));
  }
  await sleep(100);
  const { signed, socket, next } = await authenticatedPeer(t, a.port);
  socket.write(signed(0, ask("none")));
  expect(await next()).not.toEqual(undefined);
});
