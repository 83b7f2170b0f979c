/**
 * Runs daemons as processes with stand-ins, callers, trainers and operators
 * for a bounded time, injects faults, and returns the history of events.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setMaxListeners } from "node:events";
import { setTimeout as sleep } from "node:timers/promises";
import { isSome } from "fp-ts/Option";
import { EditOutcome, RevisionStore } from "../src/cli/revision_store.ts";
import { SystemClock } from "../src/kernel/mod.ts";
import { HttpKeyValue } from "../src/outside/http_key_value.ts";
import { VmState } from "../src/outside/mod.ts";
import { Priority, RouteKind, type Tables } from "../src/tables/mod.ts";
import { key, pool, route, tables } from "../stand_ins/builders.ts";
import {
  type Cluster,
  type Daemon,
  startCluster,
} from "../stand_ins/cluster.ts";
import type { EngineStandIn } from "../stand_ins/engine.ts";
import { FaultKind } from "../stand_ins/faults.ts";
import { HashRandom } from "../stand_ins/hash_random.ts";
import { type Credentials, RecordingCaller } from "./recording_caller.ts";
import type { EventHistory } from "./events.ts";
import { Recorder } from "./recorder.ts";
import { ScenarioFault, type ScheduledFault } from "./schedule.ts";
import { runTrainer } from "./trainers.ts";

/** How a run is set up. */
export interface ScenarioOptions {
  readonly seed: number;
  /** Duration of load and faults. */
  readonly runMs: number;
  readonly scheduledFaults: readonly ScheduledFault[];
  readonly daemons?: number;
  /** Whether operators edit tables and new weights are published. */
  readonly changes?: boolean;
  /** Environment of the daemons, such as switches that disable a feature. */
  readonly env?: Readonly<Record<string, string>>;
}

/** What was recorded in a run. */
export interface ScenarioOutcome {
  readonly history: EventHistory;
  /** Number of steps that trainers completed. */
  readonly steps: number;
  /** Names the trainers if a last step did not end in time. */
  readonly unfinishedTrainers: readonly string[];
  /** The daemons' logs, metrics and status, and the platform's stored keys. */
  readonly diagnostics: string;
  readonly secrets: readonly string[];
}

/** A prompt with this text crashes the upstream. */
export const POISON = "[poison]";

const ZONES = ["a", "b"];
const SECRETS = {
  one: "secret-of-tenant-one",
  two: "secret-of-tenant-two",
  trainer: "secret-of-the-trainer",
  guest: "secret-of-a-guest",
  poison: "secret-of-the-sender-of-poison",
};
const UNKNOWN_KEY: Credentials = {
  organisation: "",
  keyId: "",
  secret: "secret-that-nobody-granted",
};
const NO_KEY: Credentials = { organisation: "", keyId: "", secret: "" };
const PUBLISH_INTERVAL_MS = 2_500;
const EDIT_INTERVAL_MS = 1_500;
const OBSERVE_INTERVAL_MS = 300;
/** Timeout for the trainers' last steps after load and faults end. */
const FINAL_STEPS_TIMEOUT_MS = 25_000;
/** Delay until the load balancer sees that a daemon is no longer ready. */
const BALANCER_LAG_MS = 500;
const USAGE_WINDOW_MS = 2_000;
const USAGE_GRACE_MS = 1_000;
const MODEL = "model";

/** Runs one scenario and stops everything that it started. */
export async function runScenario(
  options: ScenarioOptions,
): Promise<ScenarioOutcome> {
  const cluster = await startCluster({
    daemons: options.daemons ?? 4,
    availabilityZones: ZONES,
    viaRelays: true,
    tables: scenarioTables(),
    env: options.env,
    timing: {
      usage_window_ms: USAGE_WINDOW_MS,
      usage_grace_ms: USAGE_GRACE_MS,
      upstream_silence_ms: 1_500,
    },
    platform: {
      lagMs: 300,
      startMs: 200,
      leaveMs: 4_000,
      offers: ZONES.flatMap((availabilityZone) => [
        offer(availabilityZone, true),
        offer(availabilityZone, false),
      ]),
    },
    orderedEngines: {
      tokenMs: 4,
      slots: 8,
      lagMs: 200,
      eventLoss: 0.1,
      loadMs: 100,
      crashMarker: POISON,
    },
  });
  try {
    return await new ScenarioRun(cluster, options).run();
  } finally {
    await cluster.stop();
  }
}

class ScenarioRun {
  readonly #cluster: Cluster;
  readonly #options: ScenarioOptions;
  readonly #recorder: Recorder;
  readonly #random: HashRandom;
  /** Aborts when the load ends. */
  readonly #end = new AbortController();
  readonly #callerCredentials: readonly Credentials[];
  readonly #tasks = new Set<Promise<unknown>>();
  /** Daemons that the load balancer sends no requests to. */
  readonly #outOfRotation = new Set<Daemon>();
  #version = 1;

  constructor(cluster: Cluster, options: ScenarioOptions) {
    this.#cluster = cluster;
    this.#options = options;
    this.#recorder = new Recorder({ history: cluster.history });
    this.#random = new HashRandom({ seed: options.seed + 1_000_000 });
    this.#callerCredentials = [credentialsOf("one"), credentialsOf("two")];
    // Each repeated task adds a listener to this signal.
    setMaxListeners(0, this.#end.signal);
  }

  async run(): Promise<ScenarioOutcome> {
    const { runMs } = this.#options;
    const services = ["desk-1", "desk-2"];
    for (const id of services) {
      await this.#cluster.addService({ id, pool: "desk" });
    }
    await this.#awaitUpstreams();
    const giveUp = new AbortController();
    const trainers = ["trainer-1", "trainer-2"].map((name) =>
      this.#runTrainer(name, giveUp.signal)
    );
    this.#startLoad();
    if (this.#options.changes ?? true) this.#change();
    this.#startObservers();
    const faults = this.#options.scheduledFaults.map((one) =>
      this.#inject(one)
    );
    await sleep(runMs);
    this.#end.abort();
    await Promise.all(faults);
    await Promise.all(this.#tasks);
    const unfinishedTrainers = await this.#awaitTrainers(trainers, giveUp);
    await sleep(2 * USAGE_WINDOW_MS + USAGE_GRACE_MS + 1_500);
    return {
      history: this.#cluster.history,
      steps: (await Promise.all(trainers)).reduce((a, b) => a + b, 0),
      unfinishedTrainers,
      diagnostics: await this.#diagnosticTexts(),
      secrets: [...Object.values(SECRETS), UNKNOWN_KEY.secret],
    };
  }

  /** Waits until the ordered upstreams serve a request. */
  async #awaitUpstreams(): Promise<void> {
    const caller = new RecordingCaller({
      name: "first",
      recorder: this.#recorder,
    });
    const completion = {
      route: "chat",
      model: MODEL,
      tokens: 3,
      stream: false,
    };
    for (let tries = 0; tries < 100; tries++) {
      await caller.complete(this.#entry(), {
        credentials: credentialsOf("one"),
        completion,
      });
      const { history } = this.#cluster;
      if (history.some(({ kind }) => kind === "answered")) break;
      await sleep(200);
    }
    await caller.close();
  }

  #entry(): string {
    const { daemons } = this.#cluster;
    const running = daemons.filter((daemon) =>
      daemon.pid !== 0 && !this.#outOfRotation.has(daemon)
    );
    const all = running.length > 0 ? running : daemons;
    return all[Math.floor(this.#random.next() * all.length)].url;
  }

  async #runTrainer(name: string, giveUp: AbortSignal): Promise<number> {
    return await runTrainer({
      name,
      entries: this.#cluster.daemons.map(({ url }) => url),
      key: SECRETS.trainer,
      recorder: this.#recorder,
      shape: {
        groups: 6,
        samplesPerGroup: 4,
        tokens: (group) => group === 5 ? 160 : 20 + 5 * group,
        stalenessBound: 1,
      },
      version: () => this.#version,
      last: this.#end.signal,
      signal: giveUp,
    });
  }

  /** Waits for the last steps; names the trainers if one does not end. */
  async #awaitTrainers(
    trainers: readonly Promise<number>[],
    giveUp: AbortController,
  ): Promise<readonly string[]> {
    const ended = await Promise.race([
      Promise.all(trainers).then(() => true),
      sleep(FINAL_STEPS_TIMEOUT_MS).then(() => false),
    ]);
    giveUp.abort();
    return ended ? [] : ["trainers"];
  }

  #startLoad(): void {
    const caller = new RecordingCaller({
      name: "caller",
      recorder: this.#recorder,
    });
    const completion = (tokens: number, stream: boolean) => ({
      route: "chat",
      model: MODEL,
      tokens,
      stream,
    });
    this.#repeat(60, (n) =>
      caller.complete(this.#entry(), {
        credentials:
          this.#callerCredentials[n % this.#callerCredentials.length],
        completion: completion(3 + (n % 40), n % 2 === 0),
      }));
    this.#repeat(500, (n) =>
      caller.complete(this.#entry(), {
        credentials: n % 2 === 0 ? UNKNOWN_KEY : NO_KEY,
        completion: completion(5, false),
      }));
    this.#repeat(400, () =>
      caller.complete(this.#entry(), {
        credentials: { ...NO_KEY, organisation: "public" },
        completion: { ...completion(5, true), route: "open", model: "open" },
      }));
    this.#repeat(150, () => this.#callUntilAnswered(caller));
    this.#repeat(700, () =>
      caller.call(this.#entry(), {
        credentials: credentialsOf("one"),
        path: "/desk",
        idempotencyKey: "",
      }));
    this.#end.signal.addEventListener("abort", () => {
      void Promise.all(this.#tasks).then(() => caller.close());
    });
  }

  /** Resends a request with an idempotency key, up to five times in all. */
  async #callUntilAnswered(caller: RecordingCaller): Promise<void> {
    const idempotencyKey = randomUUID();
    for (let tries = 0; tries < 5; tries++) {
      const answered = await caller.call(this.#entry(), {
        credentials: credentialsOf("two"),
        path: "/desk",
        idempotencyKey,
      });
      if (answered) return;
      await sleep(200);
    }
  }

  #change(): void {
    this.#repeat(PUBLISH_INTERVAL_MS, () => {
      this.#version++;
      this.#cluster.platform.publish(MODEL, this.#version);
      return Promise.resolve();
    });
    this.#repeat(EDIT_INTERVAL_MS, () => this.#edit([]));
    this.#track(this.#grantAndWithdraw());
  }

  /** Commits an operator's edit; records the ids of keys that it withdraws. */
  async #edit(
    withdraws: readonly string[],
    change: (tables: Tables) => Tables = (same) => same,
  ): Promise<boolean> {
    const revisions = new RevisionStore({
      keyValue: new HttpKeyValue({ url: this.#cluster.platform.url }),
      clock: new SystemClock(),
      retryTimeoutMs: 8_000,
    });
    const head = await revisions.head();
    if (head.err || !isSome(head.val)) return false;
    const { stamp, tables } = head.val.value;
    if (tables.err) return false;
    const attempt = randomUUID();
    const commit = await revisions.commit({
      on: stamp.revision,
      tables: change(tables.val),
      attempt,
      author: "operator",
      note: attempt,
    });
    if (commit.ending !== EditOutcome.Accepted) return false;
    const { revision } = commit.stamp;
    this.#recorder.record("accepted", {
      at: "operator",
      revision,
      attempt,
      withdraws,
    });
    return true;
  }

  /** Uses a key before its grant, while it is valid, and once withdrawn. */
  async #grantAndWithdraw(): Promise<void> {
    const caller = new RecordingCaller({
      name: "guest",
      recorder: this.#recorder,
    });
    const granted = key(SECRETS.guest, "one");
    const withChatKeys = (
      tables: Tables,
      keys: (route: Tables["routes"][0]) => Tables["routes"][0]["keys"],
    ) => ({
      ...tables,
      routes: tables.routes.map((row) =>
        row.name === "chat" ? { ...row, keys: keys(row) } : row
      ),
    });
    const uses = this.#repeat(50, () =>
      caller.complete(this.#entry(), {
        credentials: credentialsOf("guest", "one"),
        completion: { route: "chat", model: MODEL, tokens: 3, stream: false },
      }));
    const grant = (tables: Tables) =>
      withChatKeys(tables, (row) => [...row.keys, granted]);
    const withdraw = (tables: Tables) =>
      withChatKeys(
        tables,
        (row) => row.keys.filter(({ id }) => id !== granted.id),
      );
    await this.#retryUntilAccepted(() => this.#edit([], grant));
    await sleep(this.#options.runMs / 4);
    await this.#retryUntilAccepted(() => this.#edit([granted.id], withdraw));
    await uses;
    await caller.close();
  }

  async #retryUntilAccepted(edit: () => Promise<boolean>): Promise<void> {
    while (!this.#end.signal.aborted && !await edit()) await sleep(100);
  }

  /** Records which revision each daemon has in force. */
  #startObservers(): void {
    for (const daemon of this.#cluster.daemons) {
      this.#repeat(OBSERVE_INTERVAL_MS, async () => {
        const { pid } = daemon;
        const revision = await revisionOf(daemon);
        if (revision === undefined) return;
        this.#recorder.record("in force", {
          at: "observer",
          daemon: daemon.id,
          pid,
          revision,
        });
      });
    }
  }

  /**
   * Starts `task` every `everyMs` until the load ends. Returns when all started
   * ones have ended, so that their connections can be closed.
   */
  #repeat(
    everyMs: number,
    task: (n: number) => Promise<unknown>,
  ): Promise<void> {
    return this.#track((async () => {
      const started: Promise<unknown>[] = [];
      for (let n = 0; !this.#end.signal.aborted; n++) {
        started.push(this.#track(task(n)));
        await sleep(everyMs, undefined, { signal: this.#end.signal })
          .catch(() => {});
      }
      await Promise.all(started);
    })());
  }

  #track<T>(task: Promise<T>): Promise<T> {
    const tracked = task.finally(() => this.#tasks.delete(tracked));
    this.#tasks.add(tracked);
    return tracked;
  }

  async #inject(injection: ScheduledFault): Promise<void> {
    await sleep(injection.atMs);
    const { fault } = injection;
    this.#recordFault(fault, "begin");
    await this.#fail(injection);
    this.#recordFault(fault, "end");
  }

  #recordFault(fault: ScenarioFault, phase: "begin" | "end"): void {
    this.#recorder.record("fault", { at: "faults", fault, target: "", phase });
  }

  async #fail({ fault, durationMs, target }: ScheduledFault): Promise<void> {
    switch (fault) {
      case ScenarioFault.KillEntry:
        return await this.#killAndRestart(this.#daemon(target), durationMs);
      case ScenarioFault.PauseEntry:
        return await pause(this.#daemon(target), durationMs + 2_000);
      case ScenarioFault.RestartEntry:
        return await this.#restart(this.#daemon(target));
      case ScenarioFault.PlatformOutage:
        return await this.#platformFault(FaultKind.Outage, durationMs);
      case ScenarioFault.PlatformSlow:
        return await this.#platformFault(FaultKind.Delay, durationMs);
      case ScenarioFault.PlatformLostAnswers:
        return await this.#platformFault(FaultKind.Lost, durationMs);
      case ScenarioFault.EngineCrash:
        this.#engine(target)?.crash();
        return await this.#removeCrashedUpstreams();
      case ScenarioFault.EngineSilent:
        return await this.#silence(this.#engine(target), durationMs);
      case ScenarioFault.EngineBreaks:
        return this.#engine(target)?.behave({ breaks: 5 });
      case ScenarioFault.EngineTruncates:
        return this.#engine(target)?.behave({ truncate: 5 });
      case ScenarioFault.EngineCrosses:
        return this.#engine(target)?.behave({ cross: 5 });
      case ScenarioFault.SwapsFail:
        return this.#engine(target)?.behave({ failSwaps: 3 });
      case ScenarioFault.ZoneReclaimed:
        return await this.#reclaim(ZONES[target < 0.5 ? 0 : 1]);
      case ScenarioFault.UpstreamLeaves:
        return this.#startLeaving(target);
      case ScenarioFault.Poison:
        return await this.#poison();
      case ScenarioFault.LinksCut:
        return await this.#cutLinks(this.#daemon(target), durationMs);
      case ScenarioFault.LinksSilent:
        return this.#cluster.relays.get(this.#daemon(target).id)?.silence();
      case ScenarioFault.OperatorRace:
        await Promise.all([1, 2, 3].map(() => this.#edit([])));
        return;
    }
  }

  #daemon(target: number): Daemon {
    const { daemons } = this.#cluster;
    return daemons[Math.floor(target * daemons.length)];
  }

  #engine(target: number): EngineStandIn | undefined {
    const engines = [...this.#cluster.engines.values()];
    return engines[Math.floor(target * engines.length)];
  }

  async #cutLinks(daemon: Daemon, durationMs: number): Promise<void> {
    const relay = this.#cluster.relays.get(daemon.id);
    relay?.cut();
    await sleep(durationMs);
    relay?.heal();
  }

  async #killAndRestart(daemon: Daemon, durationMs: number): Promise<void> {
    await daemon.kill();
    await sleep(durationMs);
    daemon.start();
    await daemon.ready().catch(() => {});
  }

  async #restart(daemon: Daemon): Promise<void> {
    if (daemon.pid === 0) return;
    const ended = daemon.terminate();
    await sleep(BALANCER_LAG_MS);
    this.#outOfRotation.add(daemon);
    await ended;
    daemon.start();
    await daemon.ready().catch(() => {});
    this.#outOfRotation.delete(daemon);
  }

  async #platformFault(kind: FaultKind, durationMs: number): Promise<void> {
    const probability = kind === FaultKind.Outage ? 1 : 0.5;
    const { seed } = this.#options;
    const injection = {
      kind,
      operation: "*",
      probability,
      delayMs: 1_500,
      seed,
    };
    this.#cluster.platform.inject([injection]);
    await sleep(durationMs);
    this.#cluster.platform.inject([]);
  }

  async #silence(
    engine: EngineStandIn | undefined,
    durationMs: number,
  ): Promise<void> {
    engine?.behave({ silent: true });
    await sleep(durationMs);
    engine?.behave({ silent: false });
  }

  async #reclaim(zone: string): Promise<void> {
    const { platform } = this.#cluster;
    await platform.reclaim(zone, 1_500);
    await sleep(2_000);
    platform.setOffers(ZONES.flatMap((availabilityZone) => [
      offer(availabilityZone, true),
      offer(availabilityZone, false),
    ]));
  }

  /** The platform announces that an upstream leaves, then removes its VM. */
  #startLeaving(target: number): void {
    const { platform, engines } = this.#cluster;
    const ids = [...engines.keys()];
    const id = ids[Math.floor(target * ids.length)];
    const vm = platform.vms().find((candidate) => candidate.id === id);
    if (vm === undefined) return;
    platform.putVm({ ...vm, standing: VmState.Leaving });
    setTimeout(() => platform.removeVm(vm.id), 5_000).unref();
  }

  /** Sends and resends one request that crashes each upstream that runs it. */
  async #poison(): Promise<void> {
    const caller = new RecordingCaller({
      name: "poison",
      recorder: this.#recorder,
    });
    const completion = {
      route: "chat",
      model: MODEL,
      tokens: 20,
      stream: false,
      note: POISON,
      id: `poison-${randomUUID()}`,
    };
    for (let n = 0; n < 8; n++) {
      await caller.complete(this.#entry(), {
        credentials: credentialsOf("poison", "two"),
        completion,
      });
      await this.#removeCrashedUpstreams();
      await sleep(150);
    }
    await caller.close();
  }

  /** Removes crashed upstreams from the list of VMs, as the platform does. */
  async #removeCrashedUpstreams(): Promise<void> {
    await sleep(700);
    const { history, platform, engines } = this.#cluster;
    const down = new Set(
      history.filter(({ kind }) => kind === "down").map(({ at }) => at),
    );
    for (const id of down) {
      if (!engines.has(id)) continue;
      engines.delete(id);
      platform.removeVm(id);
    }
  }

  /** All logs, metrics and status pages, and all stored keys and values. */
  async #diagnosticTexts(): Promise<string> {
    const texts = this.#cluster.daemons.map((daemon) => daemon.log());
    for (const daemon of this.#cluster.daemons) {
      texts.push(await textOf(`${daemon.url}/metrics`));
      texts.push(await textOf(`${daemon.url}/admin/status`));
    }
    texts.push(await textOf(`${this.#cluster.platform.url}/kv/range?prefix=`));
    return texts.join("\n");
  }
}

async function pause(daemon: Daemon, durationMs: number): Promise<void> {
  daemon.pause();
  await sleep(durationMs);
  daemon.resume();
}

async function textOf(url: string): Promise<string> {
  const response = await fetch(url, { signal: AbortSignal.timeout(2_000) })
    .catch(() => undefined);
  return await response?.text().catch(() => "") ?? "";
}

async function revisionOf(daemon: Daemon): Promise<number | undefined> {
  const text = await textOf(`${daemon.url}/metrics`);
  const line = /^toucanwind_config_revision (\d+)/m.exec(text);
  return line === null ? undefined : Number(line[1]);
}

function credentialsOf(
  name: keyof typeof SECRETS,
  organisation: string = name,
): Credentials {
  const secret = SECRETS[name];
  return {
    organisation,
    secret,
    keyId: key(secret, organisation).id,
  };
}

function offer(availabilityZone: string, reclaimable: boolean) {
  return {
    pool: "lm",
    availabilityZone,
    reclaimable,
    pricePerHour: reclaimable ? 1 : 3,
    available: 3,
  };
}

/** Routes and pools of a scenario. */
export function scenarioTables(): Tables {
  const organisations = ["one", "two"].map((tenant) => ({ tenant, weight: 1 }));
  return tables({
    pools: [
      pool({
        minUpstreams: 4,
        maxUpstreams: 5,
        reclaimableShare: 0.5,
        availabilityZones: ZONES,
      }),
      pool({ name: "desk", model: "", minUpstreams: 0, maxUpstreams: 2 }),
    ],
    routes: [
      route({
        tenants: organisations,
        keys: [
          key(SECRETS.one, "one"),
          key(SECRETS.two, "two"),
          key(SECRETS.poison, "two"),
        ],
      }),
      route({
        name: "open",
        model: "open",
        open: true,
        tenants: [{ tenant: "public", weight: 1 }],
        keys: [],
      }),
      route({
        name: "train",
        model: "model",
        kind: RouteKind.Training,
        priority: Priority.Training,
        tenants: [{ tenant: "trainer", weight: 1 }],
        keys: [key(SECRETS.trainer, "trainer")],
        deadlineMs: 60_000,
      }),
      route({
        name: "desk",
        path: "/desk",
        model: "",
        kind: RouteKind.Service,
        pool: "desk",
        priority: Priority.Standard,
        repeatable: false,
        tenants: organisations,
        keys: [key(SECRETS.one, "one"), key(SECRETS.two, "two")],
        deadlineMs: 5_000,
      }),
    ],
  });
}
