/**
 * One run of the soak: daemons as processes, upstreams and store behind
 * relays, faults from outside, and after them a check that all is well again.
 *
 * @module
 */

import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { manifest } from "../platform/fixture_test.ts";
import { CallOutcome } from "../stand_ins/memory_transactional_key_value.ts";
import { RelayMode, TcpRelay } from "../stand_ins/tcp_relay.ts";
import {
  Handling,
  PlatformProtocolStandIn,
  type PlatformUpstreamStandIn,
} from "../stand_ins/platform_protocol.ts";
import { broken } from "./checks.ts";
import { Daemon } from "./daemons.ts";
import { type Injection, Kind } from "./plan.ts";
import { Workload } from "./workload.ts";

/** Time in which everything serves again after the last fault. */
const RECOVER_MS = 10_000;

/** Events of an item: long enough to be cut. */
const EVENTS = 12;
const EVENT_MS = 25;

/** What a run came to. */
export interface Outcome {
  readonly violations: readonly string[];
  readonly requests: number;
  readonly served: number;
  readonly batches: number;
  readonly results: number;
  /** Folder with the daemons' logs; kept if something was broken. */
  readonly logs: string;
}

interface Upstream {
  readonly server: PlatformUpstreamStandIn;
  readonly link: TcpRelay;
}

/** Runs daemons under a plan of faults. */
export class Soak {
  readonly #site = new PlatformProtocolStandIn();
  readonly #daemons: Daemon[] = [];
  readonly #upstreams: Upstream[] = [];
  readonly #folder = mkdtempSync(join(tmpdir(), "toucanwind-soak-"));
  readonly #size: number;
  #version = 1;

  constructor(options: { daemons?: number } = {}) {
    this.#size = options.daemons ?? 3;
  }

  async run(plan: readonly Injection[], runMs: number): Promise<Outcome> {
    await this.#begin();
    const workload = new Workload({ daemons: this.#daemons });
    workload.start();
    const startedAt = Date.now();
    const faults = plan.map(async (injection) => {
      await sleep(startedAt + injection.atMs - Date.now());
      await this.#inject(injection);
    });
    await sleep(runMs);
    await Promise.all(faults);
    const stuck = await this.#recovered(workload);
    await workload.stop();
    await this.#readAll(workload);
    const violations = [...stuck, ...broken(this.#history(workload))];
    const outcome = this.#outcome(workload, violations);
    await this.#end(violations.length > 0);
    return outcome;
  }

  #history(workload: Workload) {
    return {
      told: workload.told,
      seen: workload.seen,
      batches: workload.batches,
      missing: workload.missing,
      upstreams: this.#upstreams.map(({ server }) => server),
      site: this.#site,
      ownEnds: this.#daemons.flatMap(({ ownEnds }) => ownEnds),
    };
  }

  #outcome(workload: Workload, violations: readonly string[]): Outcome {
    return {
      violations,
      requests: workload.told.length,
      served: workload.told.filter(({ status }) => status === 200).length,
      batches: workload.batches.length,
      results: new Set(
        workload.seen.map(({ batch, position }) => `${batch}/${position}`),
      ).size,
      logs: this.#folder,
    };
  }

  async #begin(): Promise<void> {
    await this.#site.start();
    this.#site.records.put("op/config", JSON.stringify(manifest()));
    for (const id of ["app-1", "app-2"]) await this.#add(id, "app", []);
    for (const id of ["lm-1", "lm-2"]) await this.#add(id, "lm", ["m"]);
    for (let n = 1; n <= this.#size; n++) {
      const daemon = new Daemon({
        node: `front-${n}`,
        folder: this.#folder,
        store: this.#site.address,
      });
      this.#daemons.push(daemon);
      await daemon.begin();
    }
    await sleep(2500);
  }

  async #add(id: string, service: string, models: string[]): Promise<void> {
    const server = await this.#site.add({ id, service, models });
    server.events = EVENTS;
    server.eventIntervalMs = EVENT_MS;
    const [host, port] = server.address.split(":");
    const link = new TcpRelay({ host, port: Number(port) });
    server.listed = `127.0.0.1:${await link.listen()}`;
    this.#upstreams.push({ server, link });
    this.#list({ server, link });
  }

  #list({ server }: Upstream, state = "ready"): void {
    this.#site.records.put(`servers/${server.id}`, server.entry(state));
  }

  async #inject({ kind, forMs, target }: Injection): Promise<void> {
    const daemon = pick(this.#daemons, target);
    const upstream = pick(this.#upstreams, target);
    const { records } = this.#site;
    switch (kind) {
      case Kind.KillDaemon:
        return await this.#kill([daemon], forMs);
      case Kind.KillAll:
        return await this.#kill(this.#daemons, forMs / 4);
      case Kind.PauseDaemon:
        daemon.signal("SIGSTOP");
        await sleep(forMs);
        return daemon.signal("SIGCONT");
      case Kind.RestartDaemon:
        daemon.signal("SIGTERM");
        await daemon.gone();
        return daemon.start();
      case Kind.Reload:
        return daemon.signal("SIGHUP");
      case Kind.CutStore:
        daemon.store.cut();
        break;
      case Kind.SilentStore:
        daemon.store.mode = RelayMode.Silent;
        break;
      case Kind.StoreOneWay:
        daemon.store.mode = RelayMode.OneWay;
        break;
      case Kind.SlowStore:
        for (const { store } of this.#daemons) store.delayMs = 150;
        break;
      case Kind.StoreRefuses:
        records.outcomeFor = () => CallOutcome.Refused;
        break;
      case Kind.StoreLosesAnswers:
        records.outcomeFor = () =>
          Math.random() < 0.3 ? CallOutcome.Lost : CallOutcome.Answered;
        break;
      case Kind.ResetUpstream:
        return upstream.link.reset();
      case Kind.SilentUpstream:
        return upstream.link.silence();
      case Kind.SlowUpstream:
        upstream.link.delayMs = 60;
        break;
      case Kind.BrokenAnswers:
        upstream.server.handlingFor = () => spoilt();
        break;
      case Kind.UpstreamLeaves:
        this.#list(upstream, "draining");
        break;
      case Kind.Manifest:
        this.#version += 1;
        return records.put(
          "op/config",
          JSON.stringify(manifest(this.#version)),
        );
    }
    await sleep(forMs);
    this.#mend(daemon, upstream);
  }

  #mend(daemon: Daemon, upstream: Upstream): void {
    daemon.store.heal();
    for (const { store } of this.#daemons) store.delayMs = 0;
    upstream.link.heal();
    upstream.server.handlingFor = () => Handling.Serve;
    this.#site.records.outcomeFor = () => CallOutcome.Answered;
    this.#list(upstream);
  }

  async #kill(daemons: readonly Daemon[], forMs: number): Promise<void> {
    for (const daemon of daemons) daemon.signal("SIGKILL");
    await Promise.all(daemons.map((daemon) => daemon.gone()));
    await sleep(forMs);
    for (const daemon of daemons) daemon.start();
  }

  /** Each daemon serves again in time; what doesn't is told. */
  async #recovered(workload: Workload): Promise<readonly string[]> {
    const endsAt = Date.now() + RECOVER_MS;
    const stuck: string[] = [];
    for (const daemon of this.#daemons) {
      daemon.signal("SIGCONT");
      daemon.start();
    }
    for (const daemon of this.#daemons) {
      let served = 0;
      while (served < 5 && Date.now() < endsAt) {
        const id = `probe-${daemon.node}-${Date.now()}`;
        const told = await workload.attempt(daemon, { id, path: "/lots/p" });
        served = told.status === 200 ? served + 1 : 0;
        await sleep(50);
      }
      if (served < 5) stuck.push(`Not recovered in time: ${daemon.node}`);
    }
    return stuck;
  }

  /** Every accepted batch is read from the start, at each daemon. */
  async #readAll(workload: Workload): Promise<void> {
    for (const { id, items, accepted } of workload.batches) {
      if (!accepted) continue;
      for (const daemon of this.#daemons) {
        let after = 0;
        for (let turn = 0; turn < 20 && after < items.length; turn++) {
          after = await workload.look(daemon, { id, after });
        }
      }
    }
  }

  async #end(keep: boolean): Promise<void> {
    await Promise.all(this.#daemons.map((daemon) => daemon.end()));
    await Promise.all(this.#upstreams.map(({ link }) => link.close()));
    await this.#site.stop();
    if (!keep) rmSync(this.#folder, { recursive: true });
  }
}

/** What an upstream at fault does with one request. */
function spoilt(): Handling {
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
