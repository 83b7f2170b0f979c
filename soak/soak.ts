/**
 * One run of the soak test: starts daemons as processes with their upstreams
 * and their key-value service behind TCP relays, injects faults, waits for
 * recovery, and checks the invariants.
 *
 * @module
 */

import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { join } from "node:path";
import { manifest } from "../platform/fixture_test.ts";
import { CallOutcome } from "../stand_ins/memory_transactional_key_value.ts";
import { RelayMode, TcpRelay } from "../stand_ins/tcp_relay.ts";
import {
  Handling,
  PlatformProtocolStandIn,
  type PlatformUpstreamStandIn,
} from "../stand_ins/platform_protocol.ts";
import { findViolations, lateRequests, type RunRecord } from "./invariants.ts";
import { uniform } from "../stand_ins/hash_random.ts";
import { DaemonProcess } from "./daemons.ts";
import {
  type Announcement,
  type Disturbance,
  type PlannedFault,
  SoakFault,
} from "./fault_plan.ts";
import { LONG_PREFIX, SLOW_SERVICE, SoakWorkload } from "./soak_workload.ts";

/** All daemons serve again within this time after the last fault. */
const RECOVERY_TIMEOUT_MS = 10_000;

/** Long enough for a fault to interrupt a stream. */
const EVENTS_PER_ITEM = 12;
const EVENT_INTERVAL_MS = 25;
/** Paces of the service of long batches; they are under way for over 10 s. */
const SLOW_EVENT_INTERVALS_MS = [90, 300, 800];

/** Upstreams say something of themselves for this long at least. */
const ANNOUNCED_MS = 6000;
const LIMITS_PER_S = [0.5, 2, 5];

/** Silent peers have been replaced as owners after this time. */
const REPLACED_AFTER_MS = 2000;

/** The result of a run. */
export interface SoakOutcome {
  readonly violations: readonly string[];
  readonly requests: number;
  readonly served: number;
  readonly batches: number;
  readonly results: number;
  /** Batches whose end was acknowledged. */
  readonly ended: number;
  /** Late requests of ended batches, those of daemons out of touch included. */
  readonly late: number;
  /** Longest time for which this process, upstreams and store included, stood. */
  readonly stallMs: number;
  /** Folder with the daemons' logs; kept if there are violations. */
  readonly logs: string;
}

interface SoakUpstream {
  readonly standIn: PlatformUpstreamStandIn;
  readonly relay: TcpRelay;
}

/** Where a fault is injected. */
interface FaultTargets {
  readonly daemon: DaemonProcess;
  readonly upstream: SoakUpstream;
}

const OWNER_FAULTS = [SoakFault.KillOwner, SoakFault.CutOffOwner];

/** Runs daemons while the faults of a plan are injected. */
export class Soak {
  readonly #platform = new PlatformProtocolStandIn();
  readonly #daemons: DaemonProcess[] = [];
  readonly #upstreams: SoakUpstream[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "toucanwind-soak-"));
  readonly #disturbances: Disturbance[] = [];
  readonly #announcements: Announcement[] = [];
  readonly #delays = monitorEventLoopDelay();
  readonly #daemonCount: number;
  readonly #seed: number;
  #version = 1;

  constructor(options: { daemons?: number; seed: number }) {
    this.#daemonCount = options.daemons ?? 3;
    this.#seed = options.seed;
  }

  async run(
    plan: readonly PlannedFault[],
    runMs: number,
  ): Promise<SoakOutcome> {
    await this.#start();
    const workload = new SoakWorkload({
      daemons: this.#daemons,
      seed: this.#seed,
    });
    workload.start();
    this.#delays.enable();
    const startedAt = Date.now();
    const faults = plan.map(async (fault) => {
      await sleep(startedAt + fault.atMs - Date.now());
      await this.#recordFault(fault);
    });
    await sleep(runMs);
    await Promise.all(faults);
    const unrecovered = await this.#awaitRecovery(workload);
    await workload.stop();
    this.#delays.disable();
    await workload.readAllBatches();
    const violations = [
      ...unrecovered,
      ...findViolations(this.#runRecord(workload)),
    ];
    const outcome = this.#outcome(workload, violations);
    if (violations.length > 0) this.#writeRecord(workload);
    await this.#end(violations.length > 0);
    return outcome;
  }

  #runRecord(workload: SoakWorkload): RunRecord {
    return {
      attempts: workload.attempts,
      observedResults: workload.observedResults,
      finalReads: workload.finalReads,
      batches: workload.batches,
      missing: workload.missing,
      stoppedAt: workload.stoppedAt,
      disturbances: this.#disturbances,
      announcements: this.#announcements,
      upstreams: this.#upstreams.map(({ standIn }) => standIn),
      platform: this.#platform,
      crashes: this.#daemons.flatMap(({ crashes }) => crashes),
    };
  }

  #outcome(workload: SoakWorkload, violations: readonly string[]): SoakOutcome {
    return {
      violations,
      requests: workload.attempts.length,
      served: workload.attempts.filter(({ status }) => status === 200).length,
      batches: workload.batches.length,
      results: new Set(
        workload.observedResults.map(({ batch, position }) =>
          `${batch}/${position}`
        ),
      ).size,
      ended: workload.batches.filter(({ endedAt }) => endedAt !== undefined)
        .length,
      late: lateRequests(this.#runRecord(workload)).length,
      stallMs: Math.round(this.#delays.max / 1e6),
      logs: this.#folder,
    };
  }

  async #start(): Promise<void> {
    await this.#platform.start();
    this.#platform.records.put("op/config", JSON.stringify(soakManifest(1)));
    for (const id of ["app-1", "app-2"]) await this.#addUpstream(id, "app", []);
    for (const service of ["lm", SLOW_SERVICE]) {
      for (const n of [1, 2, 3]) {
        await this.#addUpstream(`${service}-${n}`, service, ["m"]);
      }
    }
    for (let n = 1; n <= this.#daemonCount; n++) {
      const daemon = new DaemonProcess({
        node: `front-${n}`,
        host: `127.0.0.${n + 1}`,
        folder: this.#folder,
        store: this.#platform.address,
      });
      this.#daemons.push(daemon);
      await daemon.writeSettingsAndStart();
    }
    await sleep(2500);
  }

  async #addUpstream(
    id: string,
    service: string,
    models: string[],
  ): Promise<void> {
    const standIn = await this.#platform.add({ id, service, models });
    standIn.events = EVENTS_PER_ITEM;
    standIn.eventIntervalMs = service === SLOW_SERVICE
      ? pick(SLOW_EVENT_INTERVALS_MS, uniform(this.#seed, id))
      : EVENT_INTERVAL_MS;
    const [host, port] = standIn.address.split(":");
    const relay = new TcpRelay({ host, port: Number(port) });
    standIn.listed = `127.0.0.1:${await relay.listen()}`;
    this.#upstreams.push({ standIn, relay });
    this.#publishUpstream({ standIn, relay });
  }

  #publishUpstream({ standIn }: SoakUpstream, state = "ready"): void {
    this.#platform.records.put(`servers/${standIn.id}`, standIn.entry(state));
  }

  async #recordFault(fault: PlannedFault): Promise<void> {
    const from = Date.now();
    const targets = {
      daemon: OWNER_FAULTS.includes(fault.kind)
        ? this.#owner()
        : pick(this.#daemons, fault.target),
      upstream: pick(this.#upstreams, fault.target),
    };
    await this.#inject(fault, targets);
    const reach = this.#reach(fault.kind, targets);
    this.#disturbances.push({
      kind: fault.kind,
      from,
      to: Date.now(),
      ...reach,
    });
  }

  /** The daemon that sent the last item of a long batch. */
  #owner(): DaemonProcess {
    const last = this.#upstreams
      .filter(({ standIn }) => standIn.service === SLOW_SERVICE)
      .flatMap(({ standIn }) => standIn.executed.slice(-1))
      .sort((a, b) => a.at - b.at).at(-1);
    return this.#daemons.find(({ host }) => host === last?.sender) ??
      this.#daemons[0];
  }

  /** The daemons and the upstreams' connections that a fault holds up. */
  #reach(kind: SoakFault, { daemon, upstream }: FaultTargets) {
    const daemons = this.#daemons.map(({ host }) => host);
    switch (kind) {
      case SoakFault.KillDaemon:
      case SoakFault.KillOwner:
      case SoakFault.CutOffDaemon:
      case SoakFault.CutOffOwner:
      case SoakFault.PauseDaemon:
      case SoakFault.RestartDaemon:
      case SoakFault.CutStore:
      case SoakFault.SilentStore:
      case SoakFault.StoreOneWay:
        return { daemons: [daemon.host], upstreams: [] };
      case SoakFault.KillAll:
      case SoakFault.KillInTurn:
      case SoakFault.RestartAll:
      case SoakFault.SlowStore:
      case SoakFault.StoreRefuses:
      case SoakFault.StoreLosesAnswers:
        return { daemons, upstreams: [] };
      case SoakFault.ResetUpstream:
      case SoakFault.SilentUpstream:
      case SoakFault.SlowUpstream:
      case SoakFault.CrashUpstream:
        return { daemons: [], upstreams: [upstream.standIn.id] };
      default:
        return { daemons: [], upstreams: [] };
    }
  }

  async #inject(
    { kind, durationMs }: PlannedFault,
    { daemon, upstream }: FaultTargets,
  ): Promise<void> {
    const { records } = this.#platform;
    switch (kind) {
      case SoakFault.KillDaemon:
      case SoakFault.KillOwner:
        return await this.#killAndRestart([daemon], durationMs);
      case SoakFault.KillAll:
        return await this.#killAndRestart(this.#daemons, durationMs / 4);
      case SoakFault.KillInTurn:
        for (const one of this.#daemons) {
          await this.#killAndRestart([one], durationMs / 4);
        }
        return;
      case SoakFault.PauseDaemon:
        daemon.signal("SIGSTOP");
        await sleep(durationMs);
        return daemon.signal("SIGCONT");
      case SoakFault.RestartDaemon:
        return await restart(daemon);
      case SoakFault.RestartAll:
        await Promise.all(this.#daemons.map(restart));
        return;
      case SoakFault.CutOffDaemon:
      case SoakFault.CutOffOwner: {
        const peers = this.#daemons.filter((one) => one !== daemon);
        daemon.cutOff(peers);
        await sleep(REPLACED_AFTER_MS + durationMs);
        return daemon.reconnect(peers);
      }
      case SoakFault.Reload:
        return daemon.signal("SIGHUP");
      case SoakFault.CutStore:
        daemon.store.cut();
        break;
      case SoakFault.SilentStore:
        daemon.store.mode = RelayMode.Silent;
        break;
      case SoakFault.StoreOneWay:
        daemon.store.mode = RelayMode.OneWay;
        break;
      case SoakFault.SlowStore:
        for (const { store } of this.#daemons) store.delayMs = 150;
        break;
      case SoakFault.StoreRefuses:
        records.outcomeFor = () => CallOutcome.Refused;
        break;
      case SoakFault.StoreLosesAnswers:
        records.outcomeFor = () =>
          Math.random() < 0.3 ? CallOutcome.Lost : CallOutcome.Answered;
        break;
      case SoakFault.ResetUpstream:
        return upstream.relay.reset();
      case SoakFault.SilentUpstream:
        return upstream.relay.silence();
      case SoakFault.SlowUpstream:
        upstream.relay.delayMs = 60;
        break;
      case SoakFault.CrashUpstream:
        upstream.relay.cut();
        break;
      case SoakFault.BrokenAnswers:
        upstream.standIn.handlingFor = () => drawHandling();
        break;
      case SoakFault.UpstreamLimited:
        return await this.#announce(
          upstream,
          durationMs,
          pick(LIMITS_PER_S, durationMs % 1000 / 1000),
        );
      case SoakFault.UpstreamSaysLeaving:
        return await this.#announce(upstream, durationMs);
      case SoakFault.UpstreamLeaves:
        this.#publishUpstream(upstream, "draining");
        break;
      case SoakFault.Manifest:
        this.#version += 1;
        return records.put(
          "op/config",
          JSON.stringify(soakManifest(this.#version)),
        );
    }
    await sleep(durationMs);
    this.#endFault(daemon, upstream);
  }

  /** An upstream names a limit, or says that it leaves, and is replaced then. */
  async #announce(
    { standIn }: SoakUpstream,
    durationMs: number,
    limitPerS?: number,
  ): Promise<void> {
    const from = Date.now();
    standIn.saysLeaving = limitPerS === undefined;
    standIn.namedLimit = limitPerS?.toString();
    await sleep(ANNOUNCED_MS + durationMs);
    standIn.restart();
    const to = Date.now();
    this.#announcements.push({ upstream: standIn.id, from, to, limitPerS });
  }

  #endFault(daemon: DaemonProcess, upstream: SoakUpstream): void {
    daemon.store.heal();
    for (const { store } of this.#daemons) store.delayMs = 0;
    upstream.relay.heal();
    upstream.standIn.handlingFor = () => Handling.Serve;
    this.#platform.records.outcomeFor = () => CallOutcome.Answered;
    this.#publishUpstream(upstream);
  }

  async #killAndRestart(
    daemons: readonly DaemonProcess[],
    durationMs: number,
  ): Promise<void> {
    for (const daemon of daemons) daemon.signal("SIGKILL");
    await Promise.all(daemons.map((daemon) => daemon.exited()));
    await sleep(durationMs);
    for (const daemon of daemons) daemon.start();
  }

  /** Probes each daemon until it serves; returns those that do not in time. */
  async #awaitRecovery(workload: SoakWorkload): Promise<readonly string[]> {
    const endsAt = Date.now() + RECOVERY_TIMEOUT_MS;
    const unrecovered: string[] = [];
    for (const daemon of this.#daemons) {
      daemon.signal("SIGCONT");
      daemon.start();
    }
    for (const daemon of this.#daemons) {
      let served = 0;
      while (served < 5 && Date.now() < endsAt) {
        const id = `probe-${daemon.node}-${Date.now()}`;
        const reply = await workload.attempt(daemon, { id, path: "/lots/p" });
        served = reply.status === 200 ? served + 1 : 0;
        await sleep(50);
      }
      if (served < 5) unrecovered.push(`Not recovered in time: ${daemon.node}`);
    }
    return unrecovered;
  }

  /** Writes the faults, the batches and what ran late beside the logs. */
  #writeRecord(workload: SoakWorkload): void {
    const late = lateRequests(this.#runRecord(workload));
    const { batches } = workload;
    const record = { disturbances: this.#disturbances, batches, late };
    writeFileSync(join(this.#folder, "record.json"), JSON.stringify(record));
  }

  async #end(keepLogs: boolean): Promise<void> {
    await Promise.all(this.#daemons.map((daemon) => daemon.end()));
    await Promise.all(this.#upstreams.map(({ relay }) => relay.close()));
    await this.#platform.stop();
    if (!keepLogs) rmSync(this.#folder, { recursive: true });
  }
}

/** Ends a daemon in order and starts it again. */
async function restart(daemon: DaemonProcess): Promise<void> {
  daemon.signal("SIGTERM");
  await daemon.exited();
  daemon.start();
}

/** The fixture's manifest with a route and a service for long batches. */
function soakManifest(version: number) {
  const { routes, services, ...rest } = manifest(version);
  const rollouts = routes.find(({ name }) => name === "rollouts");
  const engines = services.find(({ name }) => name === "lm");
  const long = {
    name: "epics",
    prefix: LONG_PREFIX,
    service: SLOW_SERVICE,
  };
  return {
    ...rest,
    routes: [...routes, { ...rollouts, ...long }],
    services: [...services, { ...engines, name: SLOW_SERVICE }],
  };
}

/** Draws how a faulty upstream handles one request. */
function drawHandling(): Handling {
  const draw = Math.random();
  if (draw < 0.15) return Handling.Break;
  if (draw < 0.25) return Handling.Foreign;
  if (draw < 0.4) return Handling.Refuse;
  return Handling.Serve;
}

function pick<T>(all: readonly T[], target: number): T {
  return all[Math.floor(target * all.length)];
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, Math.max(0, ms)));
}
