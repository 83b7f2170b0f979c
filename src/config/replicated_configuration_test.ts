import { expect } from "earl";
import fc from "fast-check";
import { none, some } from "fp-ts/Option";
import { test, type TestContext } from "node:test";
import { setImmediate } from "node:timers/promises";
import { Err, Ok, type Result } from "ts-results";
import { PeerNetwork, SoloPeers } from "../../stand_ins/peers.ts";
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

/** The platform's service with one value. */
class Store {
  value: string | undefined;
  revision = 0;
  down = false;
  /** Daemons that do not reach it. */
  readonly cut = new Set<string>();
  silentWatches = false;
  calls = 0;
  readonly #changed = new Set<() => void>();

  write(value: string): void {
    this.value = value;
    this.revision++;
    for (const wake of this.#changed) wake();
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
      const wake = () => change.abort();
      this.#changed.add(wake);
      options.signal?.addEventListener("abort", wake);
      await clock.sleep(options.waitMs, change.signal);
      this.#changed.delete(wake);
      return this.#answer(vm);
    };
    return { keyValue: { get, watch } } as unknown as Platform;
  }

  #answer(vm: string): Result<typeof none | ReturnType<typeof found>, {
    fault: Fault;
    message: string;
  }> {
    if (this.down || this.cut.has(vm)) {
      return Err({ fault: Fault.Unknown, message: "Down" });
    }
    return Ok(
      this.value === undefined ? none : found(this.value, this.revision),
    );
  }
}

const found = (value: string, revision: number) =>
  some<KeyValueEntry>({ key: CONFIGURATION_KEY, value, revision });

class World {
  readonly clock = new ManualClock();
  readonly network = new PeerNetwork();
  readonly store = new Store();
  readonly #t: TestContext;

  constructor(t: TestContext) {
    this.#t = t;
  }

  daemon(vm: string): ReplicatedConfiguration {
    const peers = new SoloPeers({ vm, network: this.network });
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
          create: (it) => new ReplicatedConfiguration(it),
        },
      ],
    });
    const follower = kernel.get(
      activeConfigurationKey,
    ) as ReplicatedConfiguration;
    peers.serve(follower);
    void follower.start();
    this.#t.after(() => follower.stop());
    return follower;
  }

  async run(ms: number): Promise<void> {
    const end = this.clock.now() + ms;
    while (this.clock.now() < end) {
      this.clock.advance(STEP_MS);
      if (this.clock.now() % GOSSIP_MS === 0) this.network.exchange();
      await setImmediate();
    }
  }
}

async function world(t: TestContext, vms: readonly string[] = ["vm-a"]) {
  const it = new World(t);
  it.store.write(encoded(1));
  const daemons = vms.map((vm) => it.daemon(vm));
  await it.run(2000);
  return { world: it, store: it.store, daemons };
}

const revision = (it: ReplicatedConfiguration) => {
  const current = it.current();
  return current._tag === "None" ? 0 : current.value.revision;
};

const use = (it: ReplicatedConfiguration, key: string, name = "main") =>
  it.authorize(route(name, []), key === "" ? none : some(key));

const reason = (result: Result<Caller, Refusal>) =>
  result.ok ? "admitted" : result.val.reason;

test("a good key is its tenant's, on its route only", async (t) => {
  const { daemons: [a] } = await world(t);
  expect(use(a, "key").val).toEqual({ organisation: "t1", keyId: "id-key" });
  expect(reason(use(a, "other"))).toEqual(Reason.KeyNotForRoute);
  expect(reason(use(a, "wrong"))).toEqual(Reason.UnknownKey);
  expect(reason(use(a, ""))).toEqual(Reason.NoKey);
  expect(use(a, "", "open").val).toEqual({ organisation: "", keyId: "" });
  expect(reason(use(a, "key", "gone"))).toEqual(Reason.NoRoute);
});

test("a withdrawn key stops everywhere within a second", async (t) => {
  const vms = Array.from({ length: 20 }, (_, index) => `vm-${index}`);
  const { world: it, store, daemons } = await world(t, vms);
  store.write(encoded(2, ["new"]));
  await it.run(1000);
  for (const one of daemons) {
    expect(reason(use(one, "key"))).toEqual(Reason.KeyWithdrawn);
    expect(reason(use(one, "new"))).toEqual("admitted");
    expect(one.granted("main", "id-key")).toEqual(none);
  }
});

test("a few daemons ask the platform, all have a current view", async (t) => {
  const vms = Array.from({ length: 40 }, (_, index) => `vm-${index}`);
  const { world: it, store, daemons } = await world(t, vms);
  const before = store.calls;
  await it.run(10_000);
  expect(store.calls - before <= 10 * 8 * 2.5).toEqual(true);
  for (const one of daemons) expect(one.ageMs() < 1500).toEqual(true);
});

test("a current view crosses many hops at once", async (t) => {
  const vms = Array.from({ length: 12 }, (_, index) => `vm-${index}`);
  const it = new World(t);
  it.store.write(encoded(1));
  // A line whose last daemon alone reaches the platform.
  for (const vm of vms.slice(0, -1)) it.store.cut.add(vm);
  vms.forEach((a, index) => {
    for (const b of vms.slice(index + 2)) it.network.cut(a, b);
  });
  const daemons = vms.map((vm) => it.daemon(vm));
  await it.run(12_000);
  expect(daemons[0].ageMs() < 1200).toEqual(true);
});

test("a silent watch does not keep a revision away", async (t) => {
  const { world: it, store, daemons: [a] } = await world(t);
  store.silentWatches = true;
  store.write(encoded(2));
  await it.run(100);
  store.write(encoded(3));
  await it.run(1000);
  expect(revision(a)).toEqual(3);
});

test("a daemon cut from platform and peers refuses keyed work", async (t) => {
  const { world: it, store, daemons } = await world(t, ["a", "b", "c"]);
  store.cut.add("a");
  it.network.cut("a", "b");
  it.network.cut("a", "c");
  store.write(encoded(2, []));
  await it.run(FRESHNESS_MS + 500);
  const refusal = use(daemons[0], "key").val as Refusal;
  expect(refusal.reason).toEqual(Reason.StaleConfiguration);
  expect(refusal.verdict).toEqual(Verdict.NotRun);
  expect(use(daemons[0], "", "open").ok).toEqual(true);
  expect(reason(use(daemons[1], "key"))).toEqual(Reason.KeyWithdrawn);
  it.network.leave("b");
  it.network.leave("c");
  await it.run(10_000);
  expect(daemons[0].fresh()).toEqual(false);
});

test("a daemon cut from the platform only goes by its peers", async (t) => {
  const { world: it, store, daemons } = await world(t, ["a", "b", "c"]);
  store.cut.add("a");
  store.write(encoded(2, []));
  await it.run(5000);
  expect(daemons[0].ageMs() < FRESHNESS_MS).toEqual(true);
  expect(reason(use(daemons[0], "key"))).toEqual(Reason.KeyWithdrawn);
});

test("an outage that all share does not stop service", async (t) => {
  const { world: it, store, daemons } = await world(t, ["a", "b", "c"]);
  store.down = true;
  for (let second = 0; second < 60; second++) {
    await it.run(1000);
    for (const one of daemons) {
      expect(reason(use(one, "key"))).toEqual("admitted");
    }
  }
  store.write(encoded(2, []));
  store.down = false;
  await it.run(1500);
  for (const one of daemons) {
    expect(reason(use(one, "key"))).toEqual(Reason.KeyWithdrawn);
  }
});

test("a daemon that was paused admits nothing on its old view", async (t) => {
  const { world: it, daemons: [a] } = await world(t, ["a", "b"]);
  it.clock.advance(60_000);
  expect(reason(use(a, "key"))).toEqual(Reason.StaleConfiguration);
});

test("gossip from before a pause proves nothing after it", async (t) => {
  const { world: it, store, daemons } = await world(t, ["a", "b"]);
  const [a, b] = daemons;
  const buffered = b.props.gossip!.config.offer("elsewhere");
  store.down = true;
  const news = { ...buffered as object };
  it.clock.advance(60_000);
  a.props.gossip!.config.accept(news, "b");
  expect(a.fresh()).toEqual(false);
});

test("echoed gossip counts from when its question was written", async (t) => {
  const { world: it, store, daemons } = await world(t, ["a", "b"]);
  const [a, b] = daemons;
  store.down = true;
  it.network.cut("a", "b");
  await it.run(450);
  const said = a.props.gossip!.config.offer("b");
  b.props.gossip!.config.accept(said, "a");
  it.clock.advance(450);
  const buffered = b.props.gossip!.config.offer("a");
  it.clock.advance(60_000);
  a.props.gossip!.config.accept(buffered, "b");
  expect(a.ageMs() >= 60_000).toEqual(true);
  expect(a.fresh()).toEqual(false);
});

test("a daemon that boots in an outage takes its peers' newest", async (t) => {
  const { world: it, store, daemons } = await world(t, ["a", "b"]);
  store.write(encoded(2));
  await it.run(1000);
  store.down = true;
  await it.run(10_000);
  const late = it.daemon("c");
  expect(late.props.ready!()).toEqual(false);
  await it.run(3000);
  expect(late.props.ready!()).toEqual(true);
  expect(revision(late)).toEqual(2);
  expect(reason(use(late, "key"))).toEqual("admitted");
  expect(reason(use(daemons[0], "key"))).toEqual("admitted");
});

test("a daemon alone in an outage is not ready", async (t) => {
  const it = new World(t);
  it.store.down = true;
  const a = it.daemon("a");
  await it.run(10_000);
  expect(a.props.ready!()).toEqual(false);
});

test("a value that can't be decoded does not replace a good one", async (t) => {
  const { world: it, store, daemons: [a] } = await world(t);
  store.write("{}");
  await it.run(FRESHNESS_MS);
  expect(revision(a)).toEqual(1);
  store.write(encoded(2));
  await it.run(1000);
  expect(revision(a)).toEqual(2);
});

test("who knows of a newer revision does not go on in an outage", async (t) => {
  const { world: it, store, daemons: [a] } = await world(t, ["a", "b"]);
  store.down = true;
  const news = { run: "x", at: 0, revision: 9, ageMs: null };
  a.props.gossip!.config.accept(news, "b");
  await it.run(FRESHNESS_MS + 500);
  expect(a.fresh()).toEqual(false);
});

test("the revision only grows, whatever the sources say", async () => {
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
      const it = new World(t as unknown as TestContext);
      const daemons = ["a", "b", "c"].map((vm) => it.daemon(vm));
      const newest = [0, 0, 0];
      for (const one of daemons) {
        one.onChange(({ revision }) => {
          const index = daemons.indexOf(one);
          expect(revision > newest[index]).toEqual(true);
          newest[index] = revision;
        });
      }
      for (const event of events) {
        it.store.value = values[event.value];
        it.store.revision = event.entryRevision;
        await it.run(event.ms * 250);
        if (event.gossip) it.network.exchange();
        daemons.forEach((one, index) => {
          expect(revision(one)).toEqual(newest[index]);
        });
      }
      for (const stop of stops) stop();
    }),
    { seed: 7, numRuns: 40 },
  );
});
