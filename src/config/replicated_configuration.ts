/**
 * Follows the configuration: from the platform's service on a few daemons, by
 * gossip on all. The revision in force here only grows.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import { isNone, none, type Option, some } from "fp-ts/Option";
import type { Counter, Gauge } from "prom-client";
import { Err, Ok, type Result } from "ts-results";
import { z } from "zod";
import {
  type Kernel,
  logger,
  type Props,
  Reason,
  Refusal,
  register,
  Verdict,
} from "../kernel/mod.ts";
import { type Peers, peersKey } from "../peers/mod.ts";
import { withTimeout } from "../peers/with_timeout.ts";
import type { Failure, KeyValueEntry } from "../outside/mod.ts";
import {
  type CallerKey,
  type Configuration,
  CONFIGURATION_KEY,
  decodeConfiguration,
  hashKey,
  type Route,
} from "../tables/mod.ts";
import { Freshness } from "./freshness.ts";
import { Keyring, Match } from "./keyring.ts";
import {
  ActiveConfiguration,
  activeConfigurationKey,
  type Caller,
} from "./mod.ts";

const log = logger("config");

/** Daemons that ask the platform; the others rely on them. */
const WATCHERS = 4;
const READ_MS = 500;
/** Part of the bound on age after which a watcher reads. */
const READ_AGE = 0.2;
/** A change that a silent watch misses is found within this. */
const MAX_READ_AFTER_MS = 1000;
/** A read or fetch that takes longer is abandoned. */
const READ_TIMEOUT_MS = 2000;
const WATCH_MS = 5000;
/** Time beyond its wait after which a watch is taken for silent. */
const WATCH_MARGIN_MS = 1000;
/** Reads a second by daemons that lack a current view, over all of them. */
const RESCUERS = 16;
/** Part of the bound on age at which a daemon asks the platform itself. */
const RESCUE_AGE = 0.6;
/** Where any age will do for keys, edits must come into force all the same. */
const MAX_RESCUE_MS = 1500;
/** A gain in freshness worth telling at once. */
const TELL_MS = 400;
/** A revision that could not be used is not fetched again for so long. */
const REFETCH_MS = 10_000;
/** Longest that the start waits for a first view. */
const FIRST_VIEW_MS = 1000;
const RETRY_AFTER_MS = 1000;
const FETCH = "config.fetch";
const SECTION = "config";

/** Where a revision came from. */
enum Source {
  Platform = "platform",
  Peer = "peer",
}

/** Why something from a source was not used. */
enum Ignored {
  Older = "older",
  Undecodable = "undecodable",
}

// `at` is the sender's own time, meant to be echoed; `echo` is the receiver's.
const newsSchema = z.object({
  run: z.string(),
  at: z.number(),
  revision: z.number().int(),
  ageMs: z.number().nullable(),
  echo: z.object({ run: z.string(), at: z.number(), heldMs: z.number() })
    .optional(),
});

type News = z.infer<typeof newsSchema>;

const fetchedSchema = z.object({
  text: z.string(),
  ageMs: z.number().nullable(),
});

interface Heard {
  readonly run: string;
  readonly at: number;
  readonly heardAt: number;
}

interface Told {
  readonly at: number;
  readonly freshAt: number;
  readonly revision: number;
}

/** The configuration in force, followed. */
export class ReplicatedConfiguration extends ActiveConfiguration {
  override readonly props: Props = {
    peerHandlers: { [FETCH]: () => Promise.resolve(this.#answerFetch()) },
    gossip: {
      [SECTION]: {
        offer: (peer) => this.#offer(peer),
        forget: (peer) => this.#told.delete(peer),
        accept: (body, peer) => this.#accept(newsSchema.parse(body), peer),
      },
    },
    status: () => ({
      revision: this.#revision,
      ageMs: Math.round(this.ageMs()),
      fresh: this.fresh(),
      watching: this.#watching(),
    }),
    ready: () => this.#viewed,
  };
  readonly #kernel: Kernel;
  readonly #freshness: Freshness;
  readonly #keyring = new Keyring();
  // Tells this run's own times from those of an earlier one.
  readonly #run = randomBytes(6).toString("base64url");
  readonly #listeners = new Set<(configuration: Configuration) => void>();
  readonly #stopping = new AbortController();
  readonly #heard = new Map<string, Heard>();
  readonly #told = new Map<string, Told>();
  readonly #taken: Counter<"source">;
  readonly #ignored: Counter<"source" | "reason">;
  readonly #asked: Counter<"call" | "outcome">;
  readonly #refused: Counter<"reason">;
  readonly #age: Gauge;
  readonly #inForce: Gauge;
  #current: Option<Configuration> = none;
  #text = "";
  #entryRevision = 0;
  #entryGood = false;
  #aheadRevision = 0;
  #toldFreshAt = -Infinity;
  #fetching = false;
  #unusable = { revision: 0, at: -Infinity };
  #viewed = false;
  #firstView!: () => void;
  readonly #hasView = new Promise<void>((resolve) => this.#firstView = resolve);

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
    const boundMs = kernel.settings.timing.freshnessMs;
    this.#freshness = new Freshness({ boundMs });
    this.#taken = kernel.counter(
      "toucanwind_config_revisions_total",
      "Revisions of the configuration that came into force here",
      ["source"],
    );
    this.#ignored = kernel.counter(
      "toucanwind_config_ignored_total",
      "Configurations that were not used",
      ["source", "reason"],
    );
    this.#asked = kernel.counter(
      "toucanwind_config_calls_total",
      "Calls for the configuration, to the platform and to peers",
      ["call", "outcome"],
    );
    this.#refused = kernel.counter(
      "toucanwind_config_refusals_total",
      "Callers that were not authorized",
      ["reason"],
    );
    this.#age = kernel.gauge(
      "toucanwind_config_age_seconds",
      "Age of the view of the configuration",
    );
    this.#inForce = kernel.gauge(
      "toucanwind_config_revision",
      "Revision of the configuration in force here",
    );
  }

  current(): Option<Configuration> {
    return this.#current;
  }

  ageMs(): number {
    return this.#freshness.ageMs(this.#now());
  }

  fresh(): boolean {
    const now = this.#now();
    if (this.#freshness.current(now)) return true;
    // Who knows of a newer revision knows that its own view is not current.
    if (this.#aheadRevision > this.#revision) return false;
    return this.#freshness.outageShared(this.#vm, this.#vms(), now);
  }

  authorize(route: Route, key: Option<string>): Result<Caller, Refusal> {
    const current = this.#keyring.route(route.name);
    if (current === undefined) return this.#refuse(Reason.NoRoute);
    if (current.open) {
      return Ok({ organisation: current.tenants[0]?.tenant ?? "", keyId: "" });
    }
    if (isNone(key)) return this.#refuse(Reason.NoKey);
    if (!this.fresh()) return this.#refuse(Reason.StaleConfiguration);
    const sha256 = hashKey(key.value);
    if (current.exchange !== undefined) {
      const holder = this.#keyring.organisation(sha256);
      if (isNone(holder)) {
        return this.#refuse(REASONS[this.#keyring.match(sha256)]);
      }
      const { name: organisation, rank } = holder.value;
      return Ok({ organisation: organisation, keyId: "", rank });
    }
    const found = this.#keyring.find(route.name, sha256);
    if (isNone(found)) {
      return this.#refuse(REASONS[this.#keyring.match(sha256)]);
    }
    return Ok({ organisation: found.value.tenant, keyId: found.value.id });
  }

  granted(route: string, keyId: string): Option<CallerKey> {
    return this.#keyring.named(route, keyId);
  }

  onChange(listener: (configuration: Configuration) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  override async start(): Promise<void> {
    void this.#poll();
    void this.#watch();
    const late = this.#kernel.clock.sleep(FIRST_VIEW_MS, this.#signal);
    await Promise.race([this.#hasView, late]);
  }

  override stop(): Promise<void> {
    this.#stopping.abort();
    return Promise.resolve();
  }

  get #peers(): Peers {
    return this.#kernel.get(peersKey);
  }

  get #vm(): string {
    return this.#peers.self.vm;
  }

  get #signal(): AbortSignal {
    return this.#stopping.signal;
  }

  get #revision(): number {
    return isNone(this.#current) ? 0 : this.#current.value.revision;
  }

  #now(): number {
    return this.#kernel.clock.now();
  }

  #vms(): readonly string[] {
    return this.#peers.members().map((member) => member.vm);
  }

  #refuse(reason: Reason): Result<Caller, Refusal> {
    this.#refused.inc({ reason });
    return Err(
      new Refusal({
        verdict: Verdict.NotRun,
        reason,
        message: MESSAGES[reason] ?? "The request is not allowed",
        retryAfterMs: reason === Reason.StaleConfiguration ? RETRY_AFTER_MS : 0,
      }),
    );
  }

  // The platform

  #watching(): boolean {
    return this.#peers.ranked("config-watch").slice(0, WATCHERS)
      .some((member) => member.vm === this.#vm);
  }

  async #poll(): Promise<void> {
    while (!this.#signal.aborted) {
      const now = this.#now();
      this.#freshness.observe(this.#vms(), now);
      this.#forgetGone();
      this.#age.set(Math.min(this.ageMs() / 1000, Number.MAX_SAFE_INTEGER));
      const due = this.ageMs() > this.#readAfterMs;
      if ((this.#watching() && due) || this.#rescues()) void this.#read();
      await this.#kernel.clock.sleep(READ_MS, this.#signal);
    }
  }

  // A watch shows a view to be current only once it is answered: a view that
  // grows old meanwhile is read.
  get #readAfterMs(): number {
    const { freshnessMs } = this.#kernel.settings.timing;
    return Math.min(MAX_READ_AFTER_MS, freshnessMs * READ_AGE);
  }

  // Whether a daemon that hears nothing current asks the platform itself.
  #rescues(): boolean {
    const { freshnessMs } = this.#kernel.settings.timing;
    const rescueMs = Math.min(RESCUE_AGE * freshnessMs, MAX_RESCUE_MS);
    if (this.ageMs() < rescueMs) return false;
    const perTurn = RESCUERS * READ_MS / 1000;
    return Math.random() < perTurn / this.#vms().length;
  }

  async #read(): Promise<void> {
    const askedAt = this.#now();
    const { clock, platform } = this.#kernel;
    const answer = await withTimeout(platform.keyValue.get(CONFIGURATION_KEY), {
      clock,
      timeoutMs: READ_TIMEOUT_MS,
      signal: this.#signal,
    });
    this.#hear(answer, askedAt, "read");
  }

  async #watch(): Promise<void> {
    while (!this.#signal.aborted) {
      if (!this.#watching()) {
        await this.#kernel.clock.sleep(READ_MS, this.#signal);
        continue;
      }
      const askedAt = this.#now();
      const known = this.#entryRevision;
      this.#hear(await this.#waitForChange(), askedAt, "watch");
      // A watch that brings nothing newer isn't repeated at once, however
      // quickly it was answered.
      if (this.#entryRevision > known) continue;
      await this.#kernel.clock.sleep(READ_MS, this.#signal);
    }
  }

  // A watch that outlasts its wait is abandoned: its link may be silent.
  async #waitForChange(): Promise<
    Result<Option<KeyValueEntry>, Failure> | undefined
  > {
    const over = new AbortController();
    const { clock, platform } = this.#kernel;
    const watch = platform.keyValue.watch(CONFIGURATION_KEY, {
      known: this.#entryRevision,
      waitMs: WATCH_MS,
      signal: over.signal,
    });
    try {
      return await withTimeout(watch, {
        clock,
        timeoutMs: WATCH_MS + WATCH_MARGIN_MS,
        signal: this.#signal,
      });
    } finally {
      over.abort();
    }
  }

  #hear(
    answer: Result<Option<KeyValueEntry>, Failure> | undefined,
    askedAt: number,
    call: string,
  ): void {
    const outcome = answer === undefined
      ? "abandoned"
      : answer.ok
      ? "answered"
      : "failed";
    this.#asked.inc({ call, outcome });
    if (answer === undefined || answer.err) return;
    if (isNone(answer.val)) this.#hearAbsent(askedAt);
    else this.#hearEntry(answer.val.value, askedAt);
  }

  #hearAbsent(askedAt: number): void {
    if (this.#revision > 0) return this.#ignore(Source.Platform, Ignored.Older);
    this.#prove(askedAt);
    this.#view();
  }

  #hearEntry(entry: KeyValueEntry, askedAt: number): void {
    if (entry.revision !== this.#entryRevision) {
      if (entry.revision < this.#entryRevision) {
        return this.#ignore(Source.Platform, Ignored.Older);
      }
      this.#entryGood = this.#take(entry.value, Source.Platform);
      this.#entryRevision = entry.revision;
    }
    if (this.#entryGood) this.#prove(askedAt);
  }

  // Puts a newer revision into force; false when the text is of no use.
  #take(text: string, source: Source): boolean {
    const decoded = decodeConfiguration(text);
    if (decoded.err) {
      log("undecodable", { source, problems: decoded.val.length });
      this.#ignore(source, Ignored.Undecodable);
      return false;
    }
    const configuration = decoded.val;
    if (configuration.revision === this.#revision) return true;
    if (configuration.revision < this.#revision) {
      this.#ignore(source, Ignored.Older);
      return false;
    }
    this.#current = some(configuration);
    this.#text = text;
    this.#keyring.update(configuration);
    this.#taken.inc({ source });
    this.#inForce.set(configuration.revision);
    log("in_force", { revision: configuration.revision, source });
    this.#view();
    this.#peers.gossipNow(SECTION);
    for (const listener of this.#listeners) listener(configuration);
    return true;
  }

  #ignore(source: Source, reason: Ignored): void {
    this.#ignored.inc({ source, reason });
  }

  #view(): void {
    this.#viewed = true;
    this.#firstView();
  }

  #prove(at: number): void {
    if (!this.#freshness.prove(at)) return;
    if (at - this.#toldFreshAt < TELL_MS) return;
    this.#toldFreshAt = at;
    this.#peers.gossipNow(SECTION);
  }

  // Gossip

  #offer(peer: string): News | undefined {
    const now = this.#now();
    const { freshAt } = this.#freshness;
    const told = this.#told.get(peer);
    const known = told !== undefined && told.revision === this.#revision &&
      now - told.at < TELL_MS && freshAt - told.freshAt < TELL_MS;
    if (known) return undefined;
    this.#told.set(peer, { at: now, freshAt, revision: this.#revision });
    const heard = this.#heard.get(peer);
    const echo = heard === undefined ? undefined : {
      run: heard.run,
      at: heard.at,
      heldMs: now - heard.heardAt,
    };
    return {
      run: this.#run,
      at: now,
      revision: this.#revision,
      ageMs: ageOf(freshAt, now),
      ...echo === undefined ? {} : { echo },
    };
  }

  #accept(news: News, peer: string): void {
    const now = this.#now();
    this.#heard.set(peer, { run: news.run, at: news.at, heardAt: now });
    this.#aheadRevision = Math.max(this.#aheadRevision, news.revision);
    if (news.revision > this.#revision) void this.#fetch(news.revision, peer);
    if (news.echo === undefined || news.echo.run !== this.#run) return;
    // The news was surely written after this moment, however late it came.
    const saidAt = news.echo.at + news.echo.heldMs;
    this.#freshness.heard(peer, saidAt);
    if (news.revision > this.#revision || news.ageMs === null) return;
    this.#prove(saidAt - news.ageMs);
  }

  async #fetch(revision: number, peer: string): Promise<void> {
    const again = this.#now() - this.#unusable.at >= REFETCH_MS;
    if (this.#fetching || (revision <= this.#unusable.revision && !again)) {
      return;
    }
    this.#fetching = true;
    const askedAt = this.#now();
    const answer = await this.#peers.ask(peer, FETCH, null, {
      timeoutMs: READ_TIMEOUT_MS,
      signal: this.#signal,
    });
    this.#fetching = false;
    const outcome = answer.ok ? "answered" : "failed";
    this.#asked.inc({ call: "fetch", outcome });
    if (answer.err) return;
    const fetched = fetchedSchema.safeParse(answer.val);
    if (!fetched.success || !this.#take(fetched.data.text, Source.Peer)) {
      this.#unusable = { revision, at: this.#now() };
      return;
    }
    const { ageMs } = fetched.data;
    if (ageMs !== null) this.#prove(askedAt - ageMs);
  }

  #answerFetch(): z.infer<typeof fetchedSchema> {
    const ageMs = ageOf(this.#freshness.freshAt, this.#now());
    return { text: this.#text, ageMs };
  }

  #forgetGone(): void {
    const vms = new Set(this.#vms());
    for (const known of [this.#heard, this.#told]) {
      for (const vm of known.keys()) if (!vms.has(vm)) known.delete(vm);
    }
  }
}

const REASONS: Readonly<Record<Match, Reason>> = {
  [Match.Granted]: Reason.KeyNotForRoute,
  [Match.Withdrawn]: Reason.KeyWithdrawn,
  [Match.Unknown]: Reason.UnknownKey,
};

const MESSAGES: Readonly<Partial<Record<Reason, string>>> = {
  [Reason.NoRoute]: "The route does not exist",
  [Reason.NoKey]: "The route needs a key",
  [Reason.StaleConfiguration]: "Keys can't be checked at the moment",
  [Reason.KeyNotForRoute]: "The key is not for this route",
  [Reason.KeyWithdrawn]: "The key was withdrawn",
  [Reason.UnknownKey]: "The key is not known",
};

function ageOf(freshAt: number, now: number): number | null {
  return freshAt === -Infinity ? null : now - freshAt;
}

register({
  key: activeConfigurationKey,
  requires: [peersKey],
  create: (kernel) => new ReplicatedConfiguration(kernel),
});
