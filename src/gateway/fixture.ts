/**
 * Test fixture: a gateway with fakes of the plug-ins and the engine that it
 * depends on.
 *
 * @module
 */

import * as O from "fp-ts/Option";
import { Err, Ok, type Result } from "ts-results";
import {
  type Claim,
  type ClaimOutcome,
  type ClaimResult,
  Claims,
  claimsKey,
  ClaimState,
  type FoundClaim,
  type IdempotencyScope,
} from "../claims/mod.ts";
import { OutcomeEndpoint, outcomesKey } from "../claims/outcomes.ts";
import {
  ActiveConfiguration,
  activeConfigurationKey,
  type Caller,
} from "../config/mod.ts";
import {
  type Demand,
  Dispatch,
  dispatchKey,
  type Outcome,
  type Permit,
  type Pressure,
  type UpstreamStatus,
} from "../dispatch/mod.ts";
import {
  Kernel,
  type Plugin,
  type PluginKey,
  Reason,
  Refusal,
  type Registration,
  Verdict,
} from "../kernel/mod.ts";
import {
  type CacheEvent,
  type Chunk,
  Engine,
  type EngineFailure,
  type Failure,
  Fault,
  type Generation,
  type Load,
  type Platform,
  type Target,
} from "../outside/mod.ts";
import type { NoticeFeed } from "../outside/upstream_notices.ts";
import type { Settings } from "../settings/mod.ts";
import {
  type CallerKey,
  type Configuration,
  Priority,
  type Route,
  RouteKind,
} from "../tables/mod.ts";
import { Usage, usageKey, type UsageRecord } from "../usage/mod.ts";
import { Completions, completionsKey } from "./completions.ts";
import { ServiceForwarder, serviceForwarderKey } from "./service_forwarder.ts";
import { HttpGateway } from "./http_gateway.ts";
import { gatewayKey, generatorKey } from "./mod.ts";
import { ResumingGenerator } from "./resuming_generator.ts";
import { pool } from "../../stand_ins/builders.ts";

/** A model route with the given changes. */
export function modelRoute(changes: Partial<Route> = {}): Route {
  return {
    name: "appraise",
    path: "",
    model: "appraise-lm",
    kind: RouteKind.Model,
    pool: "appraise",
    priority: Priority.Interactive,
    open: false,
    repeatable: true,
    tenants: [{ tenant: "authority", weight: 3 }],
    keys: [{ id: "k1", sha256: "", tenant: "authority" }],
    deadlineMs: 5000,
    maxBodyBytes: 4096,
    stalenessBound: 0,
    ...changes,
  };
}

/** A service route with the given changes. */
export function serviceRoute(changes: Partial<Route> = {}): Route {
  return modelRoute({
    name: "lots",
    path: "/lots",
    model: "",
    kind: RouteKind.Service,
    pool: "lots",
    maxBodyBytes: 1 << 20,
    ...changes,
  });
}

/** The key that the fake configuration grants, with the ID `k1`. */
export const KEY = "sk-secret-1";

/** A configuration that grants `KEY` until `withdraw` is called. */
export class FakeConfig extends ActiveConfiguration {
  withdrawn = false;
  readonly #listeners = new Set<(configuration: Configuration) => void>();
  readonly #routes: readonly Route[];

  constructor(routes: readonly Route[]) {
    super();
    this.#routes = routes;
  }

  current(): O.Option<Configuration> {
    return O.some(this.#configuration());
  }

  ageMs(): number {
    return 0;
  }

  fresh(): boolean {
    return true;
  }

  authorize(
    route: Route,
    key: O.Option<string>,
  ): Result<Caller, Refusal> {
    const caller = this.identify(key);
    return caller.err && route.open
      ? Ok({ organisation: "", keyId: "" })
      : caller;
  }

  identify(key: O.Option<string>): Result<Caller, Refusal> {
    if (O.isSome(key) && key.value === KEY && !this.withdrawn) {
      return Ok({ organisation: "authority", keyId: "k1" });
    }
    return Err(
      new Refusal({
        verdict: Verdict.NotRun,
        reason: O.isSome(key) ? Reason.UnknownKey : Reason.NoKey,
        message: "No key",
      }),
    );
  }

  granted(_route: string, keyId: string): O.Option<CallerKey> {
    if (this.withdrawn) return O.none;
    return O.some({ id: keyId, sha256: "", tenant: "authority" });
  }

  onChange(listener: (configuration: Configuration) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  withdraw() {
    this.withdrawn = true;
    for (const listener of this.#listeners) listener(this.#configuration());
  }

  #configuration(): Configuration {
    return {
      revision: 1,
      attempt: "",
      author: "",
      note: "",
      at: "",
      tables: { routes: this.#routes, pools: [pool({ name: "appraise" })] },
    };
  }
}

/** Grants each permit at once, on the first upstream that isn't excluded. */
export class FakeDispatch extends Dispatch {
  targets: readonly Target[] = [];
  refusal: Refusal | undefined;
  readonly demands: Demand[] = [];
  readonly released: { target: string; outcome: Outcome }[] = [];
  /** Controls the `leaving` signal of the last permit granted. */
  leaving = new AbortController();

  acquire(demand: Demand): Promise<Result<Permit, Refusal>> {
    this.demands.push(demand);
    if (this.refusal) return Promise.resolve(Err(this.refusal));
    const target = this.targets
      .find(({ id }) => !demand.exclude.includes(id));
    if (target === undefined) return Promise.resolve(Err(NO_UPSTREAM));
    this.leaving = new AbortController();
    const { signal } = this.leaving;
    const release = (outcome: Outcome) => {
      this.released.push({ target: target.id, outcome });
    };
    return Promise.resolve(Ok({ target, leaving: signal, release }));
  }

  upstreams(): readonly UpstreamStatus[] {
    return [];
  }

  pressure(): Promise<Pressure> {
    return Promise.resolve({ running: 0, queued: 0, urgent: 0, slots: 0 });
  }
}

const NO_UPSTREAM = new Refusal({
  verdict: Verdict.NotRun,
  reason: Reason.NoUpstream,
  message: "No upstream is left",
});

/** Collects the recorded usage. */
export class FakeUsage extends Usage {
  readonly uses: UsageRecord[] = [];

  record(use: UsageRecord): Promise<void> {
    this.uses.push(use);
    return Promise.resolve();
  }
}

/** Keeps claims in memory. */
export class FakeClaims extends Claims {
  readonly held = new Map<
    string,
    { claim: Claim; outcome?: ClaimOutcome }
  >();
  refusal: Refusal | undefined;

  claim(
    scope: IdempotencyScope,
    fingerprint: string,
  ): Promise<Result<ClaimResult, Refusal>> {
    if (this.refusal) return Promise.resolve(Err(this.refusal));
    return Promise.resolve(Ok(this.#standing(scope, fingerprint)));
  }

  settle(claim: Claim, outcome: ClaimOutcome) {
    this.held.set(claim.id, { claim, outcome });
  }

  release(claim: Claim) {
    this.held.delete(claim.id);
  }

  find(
    { key }: IdempotencyScope,
  ): Promise<Result<O.Option<FoundClaim>, Refusal>> {
    const held = O.fromNullable(this.held.get(key));
    return Promise.resolve(Ok(
      O.map(({ outcome }: { outcome?: ClaimOutcome }) => ({
        outcome: O.fromNullable(outcome),
      }))(held),
    ));
  }

  #standing({ key: id }: IdempotencyScope, fingerprint: string): ClaimResult {
    const held = this.held.get(id);
    if (held === undefined) {
      const claim = { id, attempt: "1", fingerprint };
      this.held.set(id, { claim });
      return { standing: ClaimState.Granted, claim };
    }
    if (held.claim.fingerprint !== fingerprint) {
      return { standing: ClaimState.Mismatch };
    }
    const { outcome } = held;
    return outcome
      ? { standing: ClaimState.Ended, outcome }
      : { standing: ClaimState.Held };
  }
}

/** Behaviour of an engine in one attempt. */
export type Script = (
  generation: Generation,
  signal: AbortSignal,
) => AsyncGenerator<Result<Chunk, EngineFailure>, void, void>;

/** An engine that runs one script for each attempt and repeats the last. */
export class FakeEngine extends Engine {
  scripts: Script[] = [words("a", "b")];
  readonly generations: Generation[] = [];

  generate(
    _target: Target,
    generation: Generation,
    signal: AbortSignal,
  ): AsyncGenerator<Result<Chunk, EngineFailure>, void, void> {
    this.generations.push(generation);
    const [script] = this.scripts;
    if (this.scripts.length > 1) this.scripts.shift();
    return script(generation, signal);
  }

  load(): Promise<Result<Load, Failure>> {
    return Promise.resolve(Err(NOT_SUPPORTED));
  }

  events(): Promise<Result<readonly CacheEvent[], Failure>> {
    return Promise.resolve(Ok([]));
  }

  loadWeights(): Promise<Result<true, Failure>> {
    return Promise.resolve(Err(NOT_SUPPORTED));
  }
}

const NOT_SUPPORTED: Failure = { fault: Fault.Unknown, message: "" };

/** A chunk of one token. */
export function chunk(
  generation: Generation,
  text: string,
  changes: Partial<Chunk> = {},
): Chunk {
  return {
    id: generation.id,
    text,
    tokens: 1,
    weightVersion: 1,
    finishReason: "",
    promptTokens: 0,
    ...changes,
  };
}

/** An attempt that generates these texts and finishes. */
export function words(...texts: string[]): Script {
  return async function* (generation) {
    for (const text of texts.slice(0, -1)) yield Ok(chunk(generation, text));
    const last = { finishReason: "stop", promptTokens: 7 };
    yield Ok(chunk(generation, texts[texts.length - 1], last));
  };
}

/** An attempt that generates these texts, then fails. */
export function failing(
  kind: EngineFailure["kind"],
  ...texts: string[]
): Script {
  return async function* (generation) {
    for (const text of texts) yield Ok(chunk(generation, text));
    yield Err({ kind, message: "" });
  };
}

/** A running gateway and its fakes. */
export interface Fixture {
  readonly kernel: Kernel;
  readonly url: string;
  readonly config: FakeConfig;
  readonly dispatch: FakeDispatch;
  readonly usage: FakeUsage;
  readonly engine: FakeEngine;
  readonly claims: FakeClaims;
}

/** Runs `body` with a gateway that listens on loopback. */
export async function withGateway(
  options: {
    routes?: readonly Route[];
    targets?: readonly Target[];
    drainMs?: number;
    silenceMs?: number;
    /** Replaces the fake engine. */
    engine?: Engine;
    notices?: NoticeFeed;
  },
  body: (fixture: Fixture) => Promise<void>,
): Promise<void> {
  const engine = new FakeEngine();
  const config = new FakeConfig(options.routes ?? [modelRoute()]);
  const dispatch = new FakeDispatch();
  dispatch.targets = options.targets ??
    ["u1", "u2", "u3"].map((id) => ({ id, address: "127.0.0.1:1" }));
  const usage = new FakeUsage();
  const claims = new FakeClaims();
  const kernel = new Kernel({
    settings: settings(options),
    platform: {
      engine: options.engine ?? engine,
      notices: options.notices,
    } as unknown as Platform,
    incarnation: "test",
    registrations: [
      plugin(activeConfigurationKey, () => config),
      plugin(dispatchKey, () => dispatch),
      plugin(usageKey, () => usage),
      plugin(claimsKey, () => claims),
      plugin(gatewayKey, (kernel) => new HttpGateway({ kernel })),
      plugin(generatorKey, (kernel) => new ResumingGenerator({ kernel })),
      plugin(completionsKey, (kernel) => new Completions({ kernel })),
      plugin(serviceForwarderKey, (kernel) => new ServiceForwarder({ kernel })),
      plugin(outcomesKey, (kernel) => new OutcomeEndpoint({ kernel })),
    ],
  });
  await kernel.start();
  const { port } = kernel.get(gatewayKey) as HttpGateway;
  const url = `http://127.0.0.1:${port}`;
  try {
    await body({ kernel, url, config, dispatch, usage, engine, claims });
  } finally {
    await kernel.shutdown();
  }
}

/** A registration without requirements, so in the order of the list. */
export function plugin<T extends Plugin>(
  key: PluginKey<T>,
  create: (kernel: Kernel) => T,
): Registration {
  return { key, requires: [], create };
}

/** Settings of a daemon that listens on any port of the loopback interface. */
export function settings(
  options: { vm?: string; drainMs?: number; silenceMs?: number },
): Settings {
  return {
    vm: options.vm ?? "vm1",
    availabilityZone: "az1",
    region: "r1",
    http: { host: "127.0.0.1", port: 0 },
    peer: { host: "127.0.0.1", port: 0 },
    peerSecret: "",
    platform: {
      keyValue: "",
      directory: "",
      orders: "",
      reports: "",
      weights: "",
    },
    dataFolder: "",
    timing: {
      peerSilenceMs: 1000,
      heartbeatMs: 100,
      leaseMs: 1000,
      freshnessMs: 1000,
      usageWindowMs: 1000,
      usageGraceMs: 100,
      directoryMs: 100,
      loadMs: 100,
      upstreamSilenceMs: options.silenceMs ?? 2000,
      drainMs: options.drainMs ?? 200,
      claimRetentionMs: 1000,
    },
  };
}
