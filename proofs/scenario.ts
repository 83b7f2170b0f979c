/**
 * A run under faults: real daemons, stand-ins, callers, trainers and
 * operators for a bounded time, and the history of it all.
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
import { type Badge, Caller } from "./caller.ts";
import type { History } from "./events.ts";
import { Recorder } from "./recorder.ts";
import { Fault, type Injection } from "./schedule.ts";
import { train } from "./trainers.ts";

/** How a run is set up. */
export interface ScenarioOptions {
  readonly seed: number;
  /** How long load and faults last. */
  readonly runMs: number;
  readonly injections: readonly Injection[];
  readonly daemons?: number;
  /** Whether operators edit and weights change during the run. */
  readonly changes?: boolean;
  /** Environment of the daemons, such as switches that turn a part off. */
  readonly env?: Readonly<Record<string, string>>;
}

/** What a run left behind. */
export interface Outcome {
  readonly history: History;
  /** Steps that trainers ended. */
  readonly steps: number;
  /** Trainers whose last step did not end in time. */
  readonly stuck: readonly string[];
  /** Everything that daemons wrote or answered about themselves. */
  readonly words: string;
  readonly secrets: readonly string[];
}

/** In the prompt of a request that takes its upstream down. */
export const POISON = "[poison]";

const ZONES = ["a", "b"];
const SECRETS = {
  one: "secret-of-tenant-one",
  two: "secret-of-tenant-two",
  trainer: "secret-of-the-trainer",
  guest: "secret-of-a-guest",
  poison: "secret-of-the-sender-of-poison",
};
const UNKNOWN: Badge = {
  tenant: "",
  keyId: "",
  secret: "secret-that-nobody-granted",
};
const NOBODY: Badge = { tenant: "", keyId: "", secret: "" };
const PUBLISH_MS = 2_500;
const EDIT_MS = 1_500;
const OBSERVE_MS = 300;
/** How long the trainers' last steps may take after load and faults. */
const SETTLE_MS = 25_000;
/** How late the balancer sees that a daemon is not ready any more. */
const BALANCER_LAG_MS = 500;
const WINDOW_MS = 2_000;
const GRACE_MS = 1_000;
const MODEL = "model";

/** Runs one scenario; everything that it starts has ended when it resolves. */
export async function runScenario(options: ScenarioOptions): Promise<Outcome> {
  const cluster = await startCluster({
    daemons: options.daemons ?? 4,
    availabilityZones: ZONES,
    viaRelays: true,
    tables: scenarioTables(),
    env: options.env,
    timing: {
      usage_window_ms: WINDOW_MS,
      usage_grace_ms: GRACE_MS,
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
    return await new Scenario(cluster, options).run();
  } finally {
    await cluster.stop();
  }
}

class Scenario {
  readonly #cluster: Cluster;
  readonly #options: ScenarioOptions;
  readonly #recorder: Recorder;
  readonly #random: HashRandom;
  readonly #end = new AbortController();
  readonly #badges: readonly Badge[];
  readonly #tasks = new Set<Promise<unknown>>();
  /** Daemons that the balancer knows to be away. */
  readonly #away = new Set<Daemon>();
  #version = 1;

  constructor(cluster: Cluster, options: ScenarioOptions) {
    this.#cluster = cluster;
    this.#options = options;
    this.#recorder = new Recorder({ history: cluster.history });
    this.#random = new HashRandom({ seed: options.seed + 1_000_000 });
    this.#badges = [badge("one"), badge("two")];
    // Each loop of the load waits for the same end.
    setMaxListeners(0, this.#end.signal);
  }

  async run(): Promise<Outcome> {
    const { runMs } = this.#options;
    const services = ["desk-1", "desk-2"];
    for (const id of services) {
      await this.#cluster.addService({ id, pool: "desk" });
    }
    await this.#awaitUpstreams();
    const give = new AbortController();
    const trainers = ["trainer-1", "trainer-2"].map((name) =>
      this.#train(name, give.signal)
    );
    this.#load();
    if (this.#options.changes ?? true) this.#change();
    this.#observe();
    const faults = this.#options.injections.map((one) => this.#inject(one));
    await sleep(runMs);
    this.#end.abort();
    await Promise.all(faults);
    await Promise.all(this.#tasks);
    const stuck = await this.#settle(trainers, give);
    await sleep(2 * WINDOW_MS + GRACE_MS + 1_500);
    return {
      history: this.#cluster.history,
      steps: (await Promise.all(trainers)).reduce((a, b) => a + b, 0),
      stuck,
      words: await this.#words(),
      secrets: [...Object.values(SECRETS), UNKNOWN.secret],
    };
  }

  /** Waits until upstreams were ordered and serve. */
  async #awaitUpstreams(): Promise<void> {
    const caller = new Caller({ name: "first", recorder: this.#recorder });
    const ask = { route: "chat", model: MODEL, tokens: 3, stream: false };
    for (let tries = 0; tries < 100; tries++) {
      await caller.complete(this.#entry(), { badge: badge("one"), ask });
      const { history } = this.#cluster;
      if (history.some(({ kind }) => kind === "answered")) break;
      await sleep(200);
    }
    await caller.close();
  }

  #entry(): string {
    const { daemons } = this.#cluster;
    const running = daemons.filter((daemon) =>
      daemon.pid !== 0 && !this.#away.has(daemon)
    );
    const all = running.length > 0 ? running : daemons;
    return all[Math.floor(this.#random.next() * all.length)].url;
  }

  async #train(name: string, give: AbortSignal): Promise<number> {
    return await train({
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
      signal: give,
    });
  }

  /** Lets trainers end their steps; names those that do not. */
  async #settle(
    trainers: readonly Promise<number>[],
    give: AbortController,
  ): Promise<readonly string[]> {
    const ended = await Promise.race([
      Promise.all(trainers).then(() => true),
      sleep(SETTLE_MS).then(() => false),
    ]);
    give.abort();
    return ended ? [] : ["trainers"];
  }

  #load(): void {
    const caller = new Caller({ name: "caller", recorder: this.#recorder });
    const ask = (tokens: number, stream: boolean) => ({
      route: "chat",
      model: MODEL,
      tokens,
      stream,
    });
    this.#every(60, (n) =>
      caller.complete(this.#entry(), {
        badge: this.#badges[n % this.#badges.length],
        ask: ask(3 + (n % 40), n % 2 === 0),
      }));
    this.#every(500, (n) =>
      caller.complete(this.#entry(), {
        badge: n % 2 === 0 ? UNKNOWN : NOBODY,
        ask: ask(5, false),
      }));
    this.#every(400, () =>
      caller.complete(this.#entry(), {
        badge: { ...NOBODY, tenant: "public" },
        ask: { ...ask(5, true), route: "open", model: "open" },
      }));
    this.#every(150, () => this.#callOnce(caller));
    this.#every(700, () =>
      caller.call(this.#entry(), {
        badge: badge("one"),
        path: "/desk",
        idempotencyKey: "",
      }));
    this.#end.signal.addEventListener("abort", () => {
      void Promise.all(this.#tasks).then(() => caller.close());
    });
  }

  /** Sends a request with an idempotency key until it is answered. */
  async #callOnce(caller: Caller): Promise<void> {
    const idempotencyKey = randomUUID();
    for (let tries = 0; tries < 5; tries++) {
      const answered = await caller.call(this.#entry(), {
        badge: badge("two"),
        path: "/desk",
        idempotencyKey,
      });
      if (answered) return;
      await sleep(200);
    }
  }

  #change(): void {
    this.#every(PUBLISH_MS, () => {
      this.#version++;
      this.#cluster.platform.publish(MODEL, this.#version);
      return Promise.resolve();
    });
    this.#every(EDIT_MS, () => this.#edit([]));
    this.#track(this.#grantAndWithdraw());
  }

  /** An edit by an operator, without what `withdraw` names. */
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

  /** Grants a key, uses it, withdraws it, and goes on using it. */
  async #grantAndWithdraw(): Promise<void> {
    const caller = new Caller({ name: "guest", recorder: this.#recorder });
    const granted = key(SECRETS.guest, "one");
    const put = (
      tables: Tables,
      keys: (route: Tables["routes"][0]) => Tables["routes"][0]["keys"],
    ) => ({
      ...tables,
      routes: tables.routes.map((row) =>
        row.name === "chat" ? { ...row, keys: keys(row) } : row
      ),
    });
    const uses = this.#every(50, () =>
      caller.complete(this.#entry(), {
        badge: badge("guest", "one"),
        ask: { route: "chat", model: MODEL, tokens: 3, stream: false },
      }));
    const grant = (tables: Tables) =>
      put(tables, (row) => [...row.keys, granted]);
    const withdraw = (tables: Tables) =>
      put(tables, (row) => row.keys.filter(({ id }) => id !== granted.id));
    await this.#insist(() => this.#edit([], grant));
    await sleep(this.#options.runMs / 4);
    await this.#insist(() => this.#edit([granted.id], withdraw));
    await uses;
    await caller.close();
  }

  async #insist(edit: () => Promise<boolean>): Promise<void> {
    while (!this.#end.signal.aborted && !await edit()) await sleep(100);
  }

  /** Records which revision each daemon has in force. */
  #observe(): void {
    for (const daemon of this.#cluster.daemons) {
      this.#every(OBSERVE_MS, async () => {
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

  /** Starts `task` every `everyMs` until the load ends. */
  #every(
    everyMs: number,
    task: (n: number) => Promise<unknown>,
  ): Promise<void> {
    return this.#track((async () => {
      for (let n = 0; !this.#end.signal.aborted; n++) {
        this.#track(task(n));
        await sleep(everyMs, undefined, { signal: this.#end.signal })
          .catch(() => {});
      }
    })());
  }

  #track<T>(task: Promise<T>): Promise<T> {
    const tracked = task.finally(() => this.#tasks.delete(tracked));
    this.#tasks.add(tracked);
    return tracked;
  }

  async #inject(injection: Injection): Promise<void> {
    await sleep(injection.atMs);
    const { fault } = injection;
    this.#mark(fault, "begin");
    await this.#fail(injection);
    this.#mark(fault, "end");
  }

  #mark(fault: Fault, phase: "begin" | "end"): void {
    this.#recorder.record("fault", { at: "faults", fault, target: "", phase });
  }

  async #fail({ fault, forMs, target }: Injection): Promise<void> {
    switch (fault) {
      case Fault.KillEntry:
        return await this.#kill(this.#daemon(target), forMs);
      case Fault.PauseEntry:
        return await pause(this.#daemon(target), forMs + 2_000);
      case Fault.RestartEntry:
        return await this.#restart(this.#daemon(target));
      case Fault.PlatformOutage:
        return await this.#platformFault(FaultKind.Outage, forMs);
      case Fault.PlatformSlow:
        return await this.#platformFault(FaultKind.Delay, forMs);
      case Fault.PlatformLostAnswers:
        return await this.#platformFault(FaultKind.Lost, forMs);
      case Fault.EngineCrash:
        this.#engine(target)?.crash();
        return await this.#bury();
      case Fault.EngineSilent:
        return await this.#silence(this.#engine(target), forMs);
      case Fault.EngineBreaks:
        return this.#engine(target)?.behave({ breaks: 5 });
      case Fault.EngineTruncates:
        return this.#engine(target)?.behave({ truncate: 5 });
      case Fault.EngineCrosses:
        return this.#engine(target)?.behave({ cross: 5 });
      case Fault.SwapsFail:
        return this.#engine(target)?.behave({ failSwaps: 3 });
      case Fault.ZoneReclaimed:
        return await this.#reclaim(ZONES[target < 0.5 ? 0 : 1]);
      case Fault.UpstreamLeaves:
        return this.#leave(target);
      case Fault.Poison:
        return await this.#poison();
      case Fault.LinksCut:
        return await this.#cutLinks(this.#daemon(target), forMs);
      case Fault.LinksSilent:
        return this.#cluster.relays.get(this.#daemon(target).id)?.silence();
      case Fault.OperatorRace:
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

  async #cutLinks(daemon: Daemon, forMs: number): Promise<void> {
    const relay = this.#cluster.relays.get(daemon.id);
    relay?.cut();
    await sleep(forMs);
    relay?.heal();
  }

  async #kill(daemon: Daemon, forMs: number): Promise<void> {
    await daemon.kill();
    await sleep(forMs);
    daemon.start();
    await daemon.ready().catch(() => {});
  }

  async #restart(daemon: Daemon): Promise<void> {
    if (daemon.pid === 0) return;
    const ended = daemon.terminate();
    await sleep(BALANCER_LAG_MS);
    this.#away.add(daemon);
    await ended;
    daemon.start();
    await daemon.ready().catch(() => {});
    this.#away.delete(daemon);
  }

  async #platformFault(kind: FaultKind, forMs: number): Promise<void> {
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
    await sleep(forMs);
    this.#cluster.platform.inject([]);
  }

  async #silence(
    engine: EngineStandIn | undefined,
    forMs: number,
  ): Promise<void> {
    engine?.behave({ silent: true });
    await sleep(forMs);
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

  /** The platform takes an upstream away for reasons of its own. */
  #leave(target: number): void {
    const { platform, engines } = this.#cluster;
    const ids = [...engines.keys()];
    const id = ids[Math.floor(target * ids.length)];
    const vm = platform.vms().find((candidate) => candidate.id === id);
    if (vm === undefined) return;
    platform.putVm({ ...vm, standing: VmState.Leaving });
    setTimeout(() => platform.removeVm(vm.id), 5_000).unref();
  }

  /** Sends the request that crashes upstreams, again and again. */
  async #poison(): Promise<void> {
    const caller = new Caller({ name: "poison", recorder: this.#recorder });
    const ask = {
      route: "chat",
      model: MODEL,
      tokens: 20,
      stream: false,
      note: POISON,
      id: `poison-${randomUUID()}`,
    };
    for (let n = 0; n < 8; n++) {
      await caller.complete(this.#entry(), {
        badge: badge("poison", "two"),
        ask,
      });
      await this.#bury();
      await sleep(150);
    }
    await caller.close();
  }

  /** Takes crashed upstreams off the list, as the platform does. */
  async #bury(): Promise<void> {
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

  /** All that daemons wrote or say of themselves, and all that is kept. */
  async #words(): Promise<string> {
    const words = this.#cluster.daemons.map((daemon) => daemon.log());
    for (const daemon of this.#cluster.daemons) {
      words.push(await textOf(`${daemon.url}/metrics`));
      words.push(await textOf(`${daemon.url}/admin/status`));
    }
    words.push(await textOf(`${this.#cluster.platform.url}/kv/range?prefix=`));
    return words.join("\n");
  }
}

async function pause(daemon: Daemon, forMs: number): Promise<void> {
  daemon.pause();
  await sleep(forMs);
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

function badge(name: keyof typeof SECRETS, tenant: string = name): Badge {
  const secret = SECRETS[name];
  return { tenant, secret, keyId: key(secret, tenant).id };
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

/** The tables of a scenario. */
export function scenarioTables(): Tables {
  const tenants = ["one", "two"].map((tenant) => ({ tenant, weight: 1 }));
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
        tenants,
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
        tenants,
        keys: [key(SECRETS.one, "one"), key(SECRETS.two, "two")],
        deadlineMs: 5_000,
      }),
    ],
  });
}
