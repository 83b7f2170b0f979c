import { expect } from "earl";
import fc from "fast-check";
import { none, some } from "fp-ts/Option";
import { test, type TestContext } from "node:test";
import { setImmediate } from "node:timers/promises";
import { Err, Ok, type Result } from "ts-results";
import {
  InProcessPeers,
  PeerNetwork,
} from "../../stand_ins/in_process_peers.ts";
import {
  Kernel,
  ManualClock,
  Reason,
  type Refusal,
  Verdict,
} from "../kernel/mod.ts";
import { peersKey } from "../peers/mod.ts";
import { Fault, type KeyValueEntry, type Platform } from "../outside/mod.ts";
import type { Settings } from "../settings/mod.ts";
import {
  type Configuration,
  CONFIGURATION_KEY,
  encodeConfiguration,
  hashKey,
  Priority,
  type Route,
  RouteKind,
} from "../tables/mod.ts";
import { ReplicatedConfiguration } from "./replicated_configuration.ts";
import { activeConfigurationKey, type Caller } from "./mod.ts";

const FRESHNESS_MS = 2500;
const STEP_MS = 50;
const GOSSIP_MS = 500;

const route = (name: string, keys: readonly string[]): Route => ({
  name,
  path: `/${name}`,
  model: "",
  kind: RouteKind.Service,
  pool: "pool",
  priority: Priority.Standard,
  open: name === "open",
  repeatable: true,
  tenants: name === "open" ? [] : [{ tenant: "t1", weight: 1 }],
  keys: keys.map((key) => ({
    id: `id-${key}`,
    sha256: hashKey(key),
    tenant: "t1",
  })),
  deadlineMs: 1000,
  maxBodyBytes: 1000,
  stalenessBound: 0,
});

const configuration = (
  revision: number,
  keys: readonly string[] = ["key"],
): Configuration => ({
  revision,
  attempt: `attempt-${revision}`,
  author: "operator",
  note: "",
  at: "2026-01-01T00:00:00.000Z",
  tables: {
    routes: [route("main", keys), route("other", ["other"]), route("open", [])],
    pools: [{
      name: "pool",
      model: "",
      minUpstreams: 0,
      maxUpstreams: 1,
      reclaimableShare: 0,
      availabilityZones: ["az-1"],
      slots: 1,
      fenced: false,
    }],
  },
});

const encoded = (revision: number, keys?: readonly string[]) =>
  encodeConfiguration(configuration(revision, keys)).unwrap();

/** Key-value service with a single key. */
class SingleKeyStore {
  value: string | undefined;
  revision = 0;
  down = false;
  /** VMs of daemons that can't reach it. */
  readonly unreachableFrom = new Set<string>();
  silentWatches = false;
  calls = 0;
  readonly #changed = new Set<() => void>();

  write(value: string): void {
    this.value = value;
    this.revision++;
    for (const notify of this.#changed) notify();
  }

  platform(vm: string, clock: ManualClock): Platform {
    const get = () => {
      this.calls++;
      return Promise.resolve(this.#answer(vm));
    };
    const watch = async (
      _key: string,
      options: { known: number; waitMs: number; signal?: AbortSignal },
    ) => {
      this.calls++;
      if (this.silentWatches) return await new Promise<never>(() => {});
      if (this.#answer(vm).err || this.revision !== options.known) {
        return this.#answer(vm);
      }
      const change = new AbortController();
      const notify = () => change.abort();
      this.#changed.add(notify);
      options.signal?.addEventListener("abort", notify);
      await clock.sleep(options.waitMs, change.signal);
      this.#changed.delete(notify);
      return this.#answer(vm);
    };
    return { keyValue: { get, watch } } as unknown as Platform;
  }

  #answer(vm: string): Result<typeof none | ReturnType<typeof found>, {
    fault: Fault;
    message: string;
  }> {
    if (this.down || this.unreachableFrom.has(vm)) {
      return Err({ fault: Fault.Unknown, message: "Down" });
    }
    return Ok(
      this.value === undefined ? none : found(this.value, this.revision),
    );
  }
}

const found = (value: string, revision: number) =>
  some<KeyValueEntry>({ key: CONFIGURATION_KEY, value, revision });

class TestCluster {
  readonly clock = new ManualClock();
  readonly network = new PeerNetwork();
  readonly store = new SingleKeyStore();
  readonly #t: TestContext;

  constructor(t: TestContext) {
    this.#t = t;
  }

  daemon(vm: string): ReplicatedConfiguration {
    const peers = new InProcessPeers({ vm, network: this.network });
    const kernel = new Kernel({
      settings: { vm, timing: { freshnessMs: FRESHNESS_MS } } as Settings,
      platform: this.store.platform(vm, this.clock),
      incarnation: `${vm}-run`,
      clock: this.clock,
      registrations: [
        { key: peersKey, requires: [], create: () => peers },
        {
          key: activeConfigurationKey,
          requires: [],
          create: (owner) => new ReplicatedConfiguration(owner),
        },
      ],
    });
    const configuration = kernel.get(
      activeConfigurationKey,
    ) as ReplicatedConfiguration;
    peers.serve(configuration);
    void configuration.start();
    this.#t.after(() => configuration.stop());
    return configuration;
  }

  async run(ms: number): Promise<void> {
    const endAt = this.clock.now() + ms;
    while (this.clock.now() < endAt) {
      this.clock.advance(STEP_MS);
      if (this.clock.now() % GOSSIP_MS === 0) this.network.exchange();
      await setImmediate();
    }
  }
}

async function startCluster(t: TestContext, vms: readonly string[] = ["vm-a"]) {
  const cluster = new TestCluster(t);
  cluster.store.write(encoded(1));
  const daemons = vms.map((vm) => cluster.daemon(vm));
  await cluster.run(2000);
  return { testCluster: cluster, store: cluster.store, daemons };
}

const revision = (configuration: ReplicatedConfiguration) => {
  const current = configuration.current();
  return current._tag === "None" ? 0 : current.value.revision;
};

const use = (
  configuration: ReplicatedConfiguration,
  key: string,
  name = "main",
) => configuration.authorize(route(name, []), key === "" ? none : some(key));

const reason = (result: Result<Caller, Refusal>) =>
  result.ok ? "admitted" : result.val.reason;

test("a key is valid for its organisation, on its route only", async (t) => {
  const { daemons: [a] } = await startCluster(t);
  expect(use(a, "key").val).toEqual({ organisation: "t1", keyId: "id-key" });
  expect(reason(use(a, "other"))).toEqual(Reason.KeyNotForRoute);
  expect(reason(use(a, "wrong"))).toEqual(Reason.UnknownKey);
  expect(reason(use(a, ""))).toEqual(Reason.NoKey);
  expect(use(a, "", "open").val).toEqual({ organisation: "", keyId: "" });
  expect(reason(use(a, "key", "gone"))).toEqual(Reason.NoRoute);
});

test("a withdrawn key is refused by all daemons within a second", async (t) => {
  const vms = Array.from({ length: 20 }, (_, index) => `vm-${index}`);
  const { testCluster: cluster, store, daemons } = await startCluster(t, vms);
  store.write(encoded(2, ["new"]));
  await cluster.run(1000);
  for (const daemon of daemons) {
    expect(reason(use(daemon, "key"))).toEqual(Reason.KeyWithdrawn);
    expect(reason(use(daemon, "new"))).toEqual("admitted");
    expect(daemon.granted("main", "id-key")).toEqual(none);
  }
});

test("a few daemons read the platform, all have a current view", async (t) => {
  const vms = Array.from({ length: 40 }, (_, index) => `vm-${index}`);
  const { testCluster: cluster, store, daemons } = await startCluster(t, vms);
  const before = store.calls;
  await cluster.run(10_000);
  expect(store.calls - before <= 10 * 8 * 2.5).toEqual(true);
  for (const daemon of daemons) expect(daemon.ageMs() < 1500).toEqual(true);
});

test("gossip passes a current view on over many hops at once", async (t) => {
  const vms = Array.from({ length: 12 }, (_, index) => `vm-${index}`);
  const cluster = new TestCluster(t);
  cluster.store.write(encoded(1));
  // The daemons form a chain; only the last one reaches the platform.
  for (const vm of vms.slice(0, -1)) cluster.store.unreachableFrom.add(vm);
  vms.forEach((a, index) => {
    for (const b of vms.slice(index + 2)) cluster.network.cut(a, b);
  });
  const daemons = vms.map((vm) => cluster.daemon(vm));
  await cluster.run(12_000);
  expect(daemons[0].ageMs() < 1200).toEqual(true);
});

test("a new revision is found while a watch is silent", async (t) => {
  const { testCluster: cluster, store, daemons: [a] } = await startCluster(t);
  store.silentWatches = true;
  store.write(encoded(2));
  await cluster.run(100);
  store.write(encoded(3));
  await cluster.run(1000);
  expect(revision(a)).toEqual(3);
});

test("a daemon without platform and peers refuses requests with keys", async (t) => {
  const { testCluster: cluster, store, daemons } = await startCluster(t, [
    "a",
    "b",
    "c",
  ]);
  store.unreachableFrom.add("a");
  cluster.network.cut("a", "b");
  cluster.network.cut("a", "c");
  store.write(encoded(2, []));
  await cluster.run(FRESHNESS_MS + 500);
  const refusal = use(daemons[0], "key").val as Refusal;
  expect(refusal.reason).toEqual(Reason.StaleConfiguration);
  expect(refusal.verdict).toEqual(Verdict.NotRun);
  expect(use(daemons[0], "", "open").ok).toEqual(true);
  expect(reason(use(daemons[1], "key"))).toEqual(Reason.KeyWithdrawn);
  cluster.network.leave("b");
  cluster.network.leave("c");
  await cluster.run(10_000);
  expect(daemons[0].fresh()).toEqual(false);
});

test("a daemon without the platform stays current by its peers", async (t) => {
  const { testCluster: cluster, store, daemons } = await startCluster(t, [
    "a",
    "b",
    "c",
  ]);
  store.unreachableFrom.add("a");
  store.write(encoded(2, []));
  await cluster.run(5000);
  expect(daemons[0].ageMs() < FRESHNESS_MS).toEqual(true);
  expect(reason(use(daemons[0], "key"))).toEqual(Reason.KeyWithdrawn);
});

test("an outage that affects all daemons does not stop service", async (t) => {
  const { testCluster: cluster, store, daemons } = await startCluster(t, [
    "a",
    "b",
    "c",
  ]);
  store.down = true;
  for (let second = 0; second < 60; second++) {
    await cluster.run(1000);
    for (const daemon of daemons) {
      expect(reason(use(daemon, "key"))).toEqual("admitted");
    }
  }
  store.write(encoded(2, []));
  store.down = false;
  await cluster.run(1500);
  for (const daemon of daemons) {
    expect(reason(use(daemon, "key"))).toEqual(Reason.KeyWithdrawn);
  }
});

test("a daemon that was paused does not admit on its old view", async (t) => {
  const { testCluster: cluster, daemons: [a] } = await startCluster(t, [
    "a",
    "b",
  ]);
  cluster.clock.advance(60_000);
  expect(reason(use(a, "key"))).toEqual(Reason.StaleConfiguration);
});

test("gossip sent before a pause confirms nothing after it", async (t) => {
  const { testCluster: cluster, store, daemons } = await startCluster(t, [
    "a",
    "b",
  ]);
  const [a, b] = daemons;
  const buffered = b.props.gossip!.config.offer("elsewhere");
  store.down = true;
  const message = { ...buffered as object };
  cluster.clock.advance(60_000);
  a.props.gossip!.config.accept(message, "b");
  expect(a.fresh()).toEqual(false);
});

test("echoed gossip counts from when the echoed message was sent", async (t) => {
  const { testCluster: cluster, store, daemons } = await startCluster(t, [
    "a",
    "b",
  ]);
  const [a, b] = daemons;
  store.down = true;
  cluster.network.cut("a", "b");
  await cluster.run(450);
  const question = a.props.gossip!.config.offer("b");
  b.props.gossip!.config.accept(question, "a");
  cluster.clock.advance(450);
  const buffered = b.props.gossip!.config.offer("a");
  cluster.clock.advance(60_000);
  a.props.gossip!.config.accept(buffered, "b");
  expect(a.ageMs() >= 60_000).toEqual(true);
  expect(a.fresh()).toEqual(false);
});

test("a daemon started in an outage takes its peers' newest revision", async (t) => {
  const { testCluster: cluster, store, daemons } = await startCluster(t, [
    "a",
    "b",
  ]);
  store.write(encoded(2));
  await cluster.run(1000);
  store.down = true;
  await cluster.run(10_000);
  const booted = cluster.daemon("c");
  expect(booted.props.ready!()).toEqual(false);
  await cluster.run(3000);
  expect(booted.props.ready!()).toEqual(true);
  expect(revision(booted)).toEqual(2);
  expect(reason(use(booted, "key"))).toEqual("admitted");
  expect(reason(use(daemons[0], "key"))).toEqual("admitted");
});

test("a daemon alone in an outage is not ready", async (t) => {
  const cluster = new TestCluster(t);
  cluster.store.down = true;
  const a = cluster.daemon("a");
  await cluster.run(10_000);
  expect(a.props.ready!()).toEqual(false);
});

test("an undecodable value does not replace a valid one", async (t) => {
  const { testCluster: cluster, store, daemons: [a] } = await startCluster(t);
  store.write("{}");
  await cluster.run(FRESHNESS_MS);
  expect(revision(a)).toEqual(1);
  store.write(encoded(2));
  await cluster.run(1000);
  expect(revision(a)).toEqual(2);
});

test("a daemon that knows of a newer revision is not fresh in an outage", async (t) => {
  const { testCluster: cluster, store, daemons: [a] } = await startCluster(t, [
    "a",
    "b",
  ]);
  store.down = true;
  const message = { run: "x", at: 0, revision: 9, ageMs: null };
  a.props.gossip!.config.accept(message, "b");
  await cluster.run(FRESHNESS_MS + 500);
  expect(a.fresh()).toEqual(false);
});

test("the revision in force never decreases, whatever is received", async () => {
  const values = Array.from({ length: 6 }, (_, index) => encoded(index + 1));
  const events = fc.array(
    fc.record({
      daemon: fc.constantFrom(0, 1, 2),
      value: fc.integer({ min: 0, max: 5 }),
      entryRevision: fc.integer({ min: 1, max: 8 }),
      gossip: fc.boolean(),
      ms: fc.integer({ min: 0, max: 3 }),
    }),
    { maxLength: 25 },
  );
  await fc.assert(
    fc.asyncProperty(events, async (events) => {
      const stops: (() => void)[] = [];
      const t = { after: (stop: () => void) => void stops.push(stop) };
      const cluster = new TestCluster(t as unknown as TestContext);
      const daemons = ["a", "b", "c"].map((vm) => cluster.daemon(vm));
      const newest = [0, 0, 0];
      for (const daemon of daemons) {
        daemon.onChange(({ revision }) => {
          const index = daemons.indexOf(daemon);
          expect(revision > newest[index]).toEqual(true);
          newest[index] = revision;
        });
      }
      for (const event of events) {
        cluster.store.value = values[event.value];
        cluster.store.revision = event.entryRevision;
        await cluster.run(event.ms * 250);
        if (event.gossip) cluster.network.exchange();
        daemons.forEach((daemon, index) => {
          expect(revision(daemon)).toEqual(newest[index]);
        });
      }
      for (const stop of stops) stop();
    }),
    { seed: 7, numRuns: 40 },
  );
});
