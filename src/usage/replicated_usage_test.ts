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
import {
  InProcessPeers,
  PeerNetwork,
} from "../../stand_ins/in_process_peers.ts";
import { ReplicatedUsage } from "./replicated_usage.ts";
import { type Usage, usageKey, type UsageRecord } from "./mod.ts";

const WINDOW_MS = 300;

/** Accepts reports and records each text received. */
class RecordingReportService extends ReportService {
  readonly taken = new Map<string, string[]>();

  override send(id: string, body: string): Promise<Result<true, Failure>> {
    this.taken.set(id, [...this.taken.get(id) ?? [], body]);
    return Promise.resolve(Ok(true as const));
  }

  /** Billed output tokens, each report counted once. */
  get billedOutputTokens(): number {
    return [...this.taken.values()]
      .flatMap(([body]) => (JSON.parse(body) as Report).lines)
      .reduce((sum, line) => sum + line.outputTokens, 0);
  }

  /** The windows to which late lines belong. */
  get late(): readonly string[] {
    return [...this.taken.values()]
      .flatMap(([body]) => (JSON.parse(body) as Report).lines)
      .map(({ lateFrom }) => lateFrom)
      .filter((lateFrom) => lateFrom !== "");
  }
}

interface TestDaemon {
  readonly peers: InProcessPeers;
  readonly usage: Usage;
  readonly kernel: Kernel;
}

function fixture(t: TestContext, count: number) {
  const network = new PeerNetwork();
  const reportService = new RecordingReportService();
  const keyValue = new MemoryKeyValue();
  const platform = { keyValue, reports: reportService } as unknown as Platform;
  const daemons = Array.from(
    { length: count },
    (_, n) => startDaemon(`vm-${n + 1}`, { network, platform }),
  );
  t.after(async () => {
    for (const { kernel } of daemons) {
      for (const [, plugin] of kernel.plugins) await plugin.stop();
    }
  });
  return { network, reportService, keyValue, daemons };
}

function startDaemon(
  vm: string,
  options: { network: PeerNetwork; platform: Platform },
): TestDaemon {
  const peers = new InProcessPeers({ vm, network: options.network });
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

test("usage recorded by several daemons is billed once", async (t) => {
  const { reportService, daemons } = fixture(t, 3);
  await Promise.all(daemons.map(({ usage }, n) => usage.record(use(`${n}`))));
  await until(() => reportService.billedOutputTokens >= 30);
  await sleep(2 * WINDOW_MS);
  expect(reportService.billedOutputTokens).toEqual(30);
});

test("the usage of a killed daemon is billed from its copies", async (t) => {
  const { reportService, network, daemons } = fixture(t, 3);
  await daemons[0].usage.record(use("a"));
  network.leave("vm-1");
  await daemons[0].usage.stop();
  await until(() => reportService.billedOutputTokens >= 10);
  await sleep(2 * WINDOW_MS);
  expect(reportService.billedOutputTokens).toEqual(10);
});

test("a shared record of several daemons is billed once", async (t) => {
  const { reportService, daemons } = fixture(t, 3);
  const shared = use("pull-1", { shared: true });
  await Promise.all(daemons.map(({ usage }) => usage.record(shared)));
  await until(() => reportService.billedOutputTokens >= 10);
  await sleep(3 * WINDOW_MS);
  expect(reportService.billedOutputTokens).toEqual(10);
});

test("usage recorded during a partition is billed once, as late", async (t) => {
  const { reportService, network, daemons } = fixture(t, 3);
  network.leave("vm-1");
  network.cut("vm-1", "vm-2");
  network.cut("vm-1", "vm-3");
  // Not awaited: without a reachable backup the response is not released.
  void daemons[0].usage.record(use("unseen"));
  await daemons[1].usage.record(use("seen"));
  await until(() => reportService.billedOutputTokens >= 10);
  await sleep(2 * WINDOW_MS);
  expect(reportService.billedOutputTokens).toEqual(10);
  network.heal();
  network.join(daemons[0].peers);
  await until(() => reportService.billedOutputTokens >= 20);
  await sleep(3 * WINDOW_MS);
  expect(reportService.billedOutputTokens).toEqual(20);
  expect(reportService.late.length).toEqual(1);
});

test("a window's report has the same text each time it is sent", async (t) => {
  const { reportService, daemons } = fixture(t, 3);
  for (let n = 0; n < 12; n++) {
    await daemons[n % 3].usage.record(use(`${n}`));
    await sleep(WINDOW_MS / 4);
  }
  await until(() => reportService.billedOutputTokens >= 120);
  const texts = [...reportService.taken.values()].map((bodies) =>
    new Set(bodies).size
  );
  expect(texts.every((count) => count === 1)).toEqual(true);
  expect(reportService.billedOutputTokens).toEqual(120);
});

test("a seal applies if the answer to its write is lost", async (t) => {
  const { reportService, keyValue, daemons } = fixture(t, 3);
  let lost = 0;
  keyValue.planCall = (operation, key) =>
    operation === "swap" && key.includes("/seal/") && lost++ < 3
      ? CallResult.AnswerLost
      : CallResult.Answered;
  await daemons[0].usage.record(use("a"));
  await until(() => reportService.billedOutputTokens >= 10);
  await sleep(2 * WINDOW_MS);
  expect(reportService.billedOutputTokens).toEqual(10);
  expect(lost > 0).toEqual(true);
});
