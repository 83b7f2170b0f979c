import { expect } from "earl";
import { test, type TestContext } from "node:test";
import { setTimeout as sleep } from "node:timers/promises";
import { Ok, type Result } from "ts-results";
import { CallResult, MemoryKeyValue } from "../cli/command_fixture.ts";
import { Kernel } from "../kernel/mod.ts";
import { peersKey } from "../peers/mod.ts";
import {
  type Failure,
  type Platform,
  type Report,
  ReportService,
} from "../outside/mod.ts";
import type { Settings } from "../settings/mod.ts";
import { PeerNetwork, SoloPeers } from "../../stand_ins/peers.ts";
import { ReplicatedUsage } from "./replicated_usage.ts";
import { type Usage, usageKey, type UsageRecord } from "./mod.ts";

const WINDOW_MS = 300;

/** Takes reports and keeps every text that came. */
class Desk extends ReportService {
  readonly taken = new Map<string, string[]>();

  override send(id: string, body: string): Promise<Result<true, Failure>> {
    this.taken.set(id, [...this.taken.get(id) ?? [], body]);
    return Promise.resolve(Ok(true as const));
  }

  /** Output tokens billed, each report counted once. */
  get billed(): number {
    return [...this.taken.values()]
      .flatMap(([body]) => (JSON.parse(body) as Report).lines)
      .reduce((sum, line) => sum + line.outputTokens, 0);
  }

  /** Windows that any line is late from. */
  get late(): readonly string[] {
    return [...this.taken.values()]
      .flatMap(([body]) => (JSON.parse(body) as Report).lines)
      .map(({ lateFrom }) => lateFrom)
      .filter((lateFrom) => lateFrom !== "");
  }
}

interface Node {
  readonly peers: SoloPeers;
  readonly usage: Usage;
  readonly kernel: Kernel;
}

function fixture(t: TestContext, count: number) {
  const network = new PeerNetwork();
  const desk = new Desk();
  const keyValue = new MemoryKeyValue();
  const platform = { keyValue, reports: desk } as unknown as Platform;
  const nodes = Array.from(
    { length: count },
    (_, n) => startNode(`vm-${n + 1}`, { network, platform }),
  );
  t.after(async () => {
    for (const { kernel } of nodes) {
      for (const [, plugin] of kernel.plugins) await plugin.stop();
    }
  });
  return { network, desk, keyValue, nodes };
}

function startNode(
  vm: string,
  options: { network: PeerNetwork; platform: Platform },
): Node {
  const peers = new SoloPeers({ vm, network: options.network });
  const timing = {
    usageWindowMs: WINDOW_MS,
    usageGraceMs: 100,
    leaseMs: 600,
  };
  const kernel = new Kernel({
    settings: { vm, timing } as unknown as Settings,
    platform: options.platform,
    incarnation: peers.self.incarnation,
    registrations: [
      { key: peersKey, requires: [], create: () => peers },
      {
        key: usageKey,
        requires: [],
        create: (made) => new ReplicatedUsage(made),
      },
    ],
  });
  const usage = kernel.get(usageKey);
  peers.serve(usage);
  void kernel.start();
  return { peers, usage, kernel };
}

function use(id: string, fields: Partial<UsageRecord> = {}): UsageRecord {
  return {
    id,
    tenant: "one",
    route: "chat",
    promptTokens: 1,
    outputTokens: 10,
    ...fields,
  };
}

async function until(holds: () => boolean): Promise<void> {
  for (let tries = 0; tries < 200 && !holds(); tries++) await sleep(25);
}

test("what all daemons record is billed once", async (t) => {
  const { desk, nodes } = fixture(t, 3);
  await Promise.all(nodes.map(({ usage }, n) => usage.record(use(`${n}`))));
  await until(() => desk.billed >= 30);
  await sleep(2 * WINDOW_MS);
  expect(desk.billed).toEqual(30);
});

test("a killed daemon's use is billed from its copies", async (t) => {
  const { desk, network, nodes } = fixture(t, 3);
  await nodes[0].usage.record(use("a"));
  network.leave("vm-1");
  await nodes[0].usage.stop();
  await until(() => desk.billed >= 10);
  await sleep(2 * WINDOW_MS);
  expect(desk.billed).toEqual(10);
});

test("a shared use of two daemons is billed once", async (t) => {
  const { desk, nodes } = fixture(t, 3);
  const shared = use("pull-1", { shared: true });
  await Promise.all(nodes.map(({ usage }) => usage.record(shared)));
  await until(() => desk.billed >= 10);
  await sleep(3 * WINDOW_MS);
  expect(desk.billed).toEqual(10);
});

test("use that no seal could see is billed late, once", async (t) => {
  const { desk, network, nodes } = fixture(t, 3);
  network.leave("vm-1");
  network.cut("vm-1", "vm-2");
  network.cut("vm-1", "vm-3");
  // No copy can be made yet, so the answer would not be released.
  void nodes[0].usage.record(use("unseen"));
  await nodes[1].usage.record(use("seen"));
  await until(() => desk.billed >= 10);
  await sleep(2 * WINDOW_MS);
  expect(desk.billed).toEqual(10);
  network.heal();
  network.join(nodes[0].peers);
  await until(() => desk.billed >= 20);
  await sleep(3 * WINDOW_MS);
  expect(desk.billed).toEqual(20);
  expect(desk.late.length).toEqual(1);
});

test("a window's report is the same text however often it is sent", async (t) => {
  const { desk, nodes } = fixture(t, 3);
  for (let n = 0; n < 12; n++) {
    await nodes[n % 3].usage.record(use(`${n}`));
    await sleep(WINDOW_MS / 4);
  }
  await until(() => desk.billed >= 120);
  const texts = [...desk.taken.values()].map((bodies) => new Set(bodies).size);
  expect(texts.every((count) => count === 1)).toEqual(true);
  expect(desk.billed).toEqual(120);
});

test("a seal whose answer was lost stands", async (t) => {
  const { desk, keyValue, nodes } = fixture(t, 3);
  let lost = 0;
  keyValue.planCall = (operation, key) =>
    operation === "swap" && key.includes("/seal/") && lost++ < 3
      ? CallResult.AnswerLost
      : CallResult.Answered;
  await nodes[0].usage.record(use("a"));
  await until(() => desk.billed >= 10);
  await sleep(2 * WINDOW_MS);
  expect(desk.billed).toEqual(10);
  expect(lost > 0).toEqual(true);
});
