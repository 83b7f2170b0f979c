/**
 * Keeps the configuration up to date. A few daemons read and watch the
 * platform's key-value service; all exchange revision and age by gossip and
 * fetch newer revisions from peers. The revision in force never decreases.
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
import { Keyring, KeyStatus } from "./keyring.ts";
import {
  ActiveConfiguration,
  activeConfigurationKey,
  type Caller,
} from "./mod.ts";

const log = logger("config");

/** Number of daemons that watch the key-value service for all the others. */
const WATCHER_COUNT = 4;
const POLL_INTERVAL_MS = 500;
/** Age, as a fraction of the freshness bound, at which a watcher reads. */
const READ_AGE_FRACTION = 0.2;
/** Bounds the delay of a change that a silent watch misses. */
const MAX_READ_AGE_MS = 1000;
/** Timeout of a read from the platform and of a fetch from a peer. */
const READ_TIMEOUT_MS = 2000;
const WATCH_WAIT_MS = 5000;
/** A watch unanswered for this long after its wait counts as silent. */
const WATCH_TIMEOUT_MARGIN_MS = 1000;
/** Total rate of reads by daemons without a current view. */
const FALLBACK_READS_PER_S = 16;
/** Age, as a fraction of the freshness bound, at which any daemon reads. */
const FALLBACK_AGE_FRACTION = 0.6;
/** With a large or infinite freshness bound, edits must still take effect. */
const MAX_FALLBACK_AGE_MS = 1500;
/** Smallest gain in freshness that is gossiped at once. */
const GOSSIP_GAIN_MS = 400;
/** Backoff before an unusable revision is fetched again. */
const REFETCH_BACKOFF_MS = 10_000;
/** Longest time that `start` waits for a first view. */
const FIRST_VIEW_TIMEOUT_MS = 1000;
const RETRY_AFTER_MS = 1000;
const FETCH_REQUEST = "config.fetch";
const GOSSIP_SECTION = "config";

/** Origin of a revision. */
enum Source {
  Platform = "platform",
  Peer = "peer",
}

/** Why a received configuration was ignored. */
enum Ignored {
  Older = "older",
  Undecodable = "undecodable",
}

// `at` is the sender's monotonic time, which the receiver returns in `echo`
// together with the time in between.
const gossipSchema = z.object({
  run: z.string(),
  at: z.number(),
  revision: z.number().int(),
  ageMs: z.number().nullable(),
  echo: z.object({ run: z.string(), at: z.number(), heldMs: z.number() })
    .optional(),
});

type GossipMessage = z.infer<typeof gossipSchema>;

const fetchAnswerSchema = z.object({
  text: z.string(),
  ageMs: z.number().nullable(),
});

interface ReceivedMessage {
  readonly run: string;
  readonly at: number;
  readonly receivedAt: number;
}

interface SentMessage {
  readonly at: number;
  readonly freshAt: number;
  readonly revision: number;
}

/** The configuration in force, replicated from the platform and from peers. */
export class ReplicatedConfiguration extends ActiveConfiguration {
  override readonly props: Props = {
    peerHandlers: {
      [FETCH_REQUEST]: () => Promise.resolve(this.#answerFetch()),
    },
    gossip: {
      [GOSSIP_SECTION]: {
        offer: (peer) => this.#offer(peer),
        forget: (peer) => this.#lastSent.delete(peer),
        accept: (body, peer) => this.#accept(gossipSchema.parse(body), peer),
      },
    },
    status: () => ({
      revision: this.#revision,
      ageMs: Math.round(this.ageMs()),
      fresh: this.fresh(),
      watching: this.#watching(),
    }),
    ready: () => this.#viewKnown,
  };
  readonly #kernel: Kernel;
  readonly #freshness: Freshness;
  readonly #keyring = new Keyring();
  // Distinguishes times of this process from those of an earlier one.
  readonly #run = randomBytes(6).toString("base64url");
  readonly #listeners = new Set<(configuration: Configuration) => void>();
  readonly #stopping = new AbortController();
  readonly #lastReceived = new Map<string, ReceivedMessage>();
  readonly #lastSent = new Map<string, SentMessage>();
  readonly #revisionsTotal: Counter<"source">;
  readonly #ignoredTotal: Counter<"source" | "reason">;
  readonly #callsTotal: Counter<"call" | "outcome">;
  readonly #refusalsTotal: Counter<"reason">;
  readonly #age: Gauge;
  readonly #inForce: Gauge;
  #current: Option<Configuration> = none;
  #text = "";
  #entryRevision = 0;
  #entryValid = false;
  #highestSeenRevision = 0;
  #gossipedFreshAt = -Infinity;
  #fetching = false;
  #lastUnusable = { revision: 0, at: -Infinity };
  #viewKnown = false;
  #resolveFirstView!: () => void;
  readonly #firstView = new Promise<void>((resolve) =>
    this.#resolveFirstView = resolve
  );

  constructor(kernel: Kernel) {
    super();
    this.#kernel = kernel;
    const boundMs = kernel.settings.timing.freshnessMs;
    this.#freshness = new Freshness({ boundMs });
    this.#revisionsTotal = kernel.counter(
      "toucanwind_config_revisions_total",
      "Revisions of the configuration that came into force here",
      ["source"],
    );
    this.#ignoredTotal = kernel.counter(
      "toucanwind_config_ignored_total",
      "Configurations that were not used",
      ["source", "reason"],
    );
    this.#callsTotal = kernel.counter(
      "toucanwind_config_calls_total",
      "Calls for the configuration, to the platform and to peers",
      ["call", "outcome"],
    );
    this.#refusalsTotal = kernel.counter(
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
    // A newer revision is known to exist, so this view is not current.
    if (this.#highestSeenRevision > this.#revision) return false;
    return this.#freshness.isOutageShared(this.#vm, this.#vms(), now);
  }

  authorize(route: Route, key: Option<string>): Result<Caller, Refusal> {
    const current = this.#keyring.route(route.name);
    if (current === undefined) return this.#refuse(Reason.NoRoute);
    if (current.open) {
      return Ok({ organisation: current.tenants[0]?.tenant ?? "", keyId: "" });
    }
    if (current.exchange !== undefined) return this.identify(key);
    if (isNone(key)) return this.#refuse(Reason.NoKey);
    if (!this.fresh()) return this.#refuse(Reason.StaleConfiguration);
    const sha256 = hashKey(key.value);
    const found = this.#keyring.findByHash(route.name, sha256);
    if (isNone(found)) {
      return this.#refuse(REASON_BY_KEY_STATUS[this.#keyring.statusOf(sha256)]);
    }
    return Ok({ organisation: found.value.tenant, keyId: found.value.id });
  }

  identify(key: Option<string>): Result<Caller, Refusal> {
    if (isNone(key)) return this.#refuse(Reason.NoKey);
    if (!this.fresh()) return this.#refuse(Reason.StaleConfiguration);
    const sha256 = hashKey(key.value);
    const holder = this.#keyring.organisation(sha256);
    if (isNone(holder)) {
      return this.#refuse(REASON_BY_KEY_STATUS[this.#keyring.statusOf(sha256)]);
    }
    const { name: organisation, rank, allowedRegions } = holder.value;
    return Ok({ organisation, keyId: "", rank, allowedRegions });
  }

  granted(route: string, keyId: string): Option<CallerKey> {
    return this.#keyring.findById(route, keyId);
  }

  onChange(listener: (configuration: Configuration) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  override async start(): Promise<void> {
    void this.#poll();
    void this.#watch();
    const late = this.#kernel.clock.sleep(FIRST_VIEW_TIMEOUT_MS, this.#signal);
    await Promise.race([this.#firstView, late]);
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
    this.#refusalsTotal.inc({ reason });
    return Err(
      new Refusal({
        verdict: Verdict.NotRun,
        reason,
        message: REFUSAL_MESSAGES[reason] ?? "The request is not allowed",
        retryAfterMs: reason === Reason.StaleConfiguration ? RETRY_AFTER_MS : 0,
      }),
    );
  }

  // Key-value service

  #watching(): boolean {
    return this.#peers.rankedForDuty("config-watch").slice(0, WATCHER_COUNT)
      .some((member) => member.vm === this.#vm);
  }

  async #poll(): Promise<void> {
    while (!this.#signal.aborted) {
      const now = this.#now();
      this.#freshness.updateMembers(this.#vms(), now);
      this.#forgetRemovedMembers();
      this.#age.set(Math.min(this.ageMs() / 1000, Number.MAX_SAFE_INTEGER));
      const due = this.ageMs() > this.#maxWatcherAgeMs;
      if ((this.#watching() && due) || this.#needsFallback()) void this.#read();
      await this.#kernel.clock.sleep(POLL_INTERVAL_MS, this.#signal);
    }
  }

  // A watch confirms the view only when it is answered, so a watcher also reads
  // once the view reaches this age.
  get #maxWatcherAgeMs(): number {
    const { freshnessMs } = this.#kernel.settings.timing;
    return Math.min(MAX_READ_AGE_MS, freshnessMs * READ_AGE_FRACTION);
  }

  // Whether to read without being a watcher, because gossip brings no current
  // view. Random, so that the reads of all daemons stay within the total rate.
  #needsFallback(): boolean {
    const { freshnessMs } = this.#kernel.settings.timing;
    const fallbackAgeMs = Math.min(
      FALLBACK_AGE_FRACTION * freshnessMs,
      MAX_FALLBACK_AGE_MS,
    );
    if (this.ageMs() < fallbackAgeMs) return false;
    const readsPerPoll = FALLBACK_READS_PER_S * POLL_INTERVAL_MS / 1000;
    return Math.random() < readsPerPoll / this.#vms().length;
  }

  async #read(): Promise<void> {
    const askedAt = this.#now();
    const { clock, platform } = this.#kernel;
    const answer = await withTimeout(platform.keyValue.get(CONFIGURATION_KEY), {
      clock,
      timeoutMs: READ_TIMEOUT_MS,
      signal: this.#signal,
    });
    this.#handleAnswer(answer, askedAt, "read");
  }

  async #watch(): Promise<void> {
    while (!this.#signal.aborted) {
      if (!this.#watching()) {
        await this.#kernel.clock.sleep(POLL_INTERVAL_MS, this.#signal);
        continue;
      }
      const askedAt = this.#now();
      const known = this.#entryRevision;
      this.#handleAnswer(await this.#waitForChange(), askedAt, "watch");
      // Waits before the next watch if this one brought nothing newer, as it
      // may have been answered at once.
      if (this.#entryRevision > known) continue;
      await this.#kernel.clock.sleep(POLL_INTERVAL_MS, this.#signal);
    }
  }

  // A watch that outlasts its wait is abandoned: its connection may be silent.
  async #waitForChange(): Promise<
    Result<Option<KeyValueEntry>, Failure> | undefined
  > {
    const abandoned = new AbortController();
    const { clock, platform } = this.#kernel;
    const watch = platform.keyValue.watch(CONFIGURATION_KEY, {
      known: this.#entryRevision,
      waitMs: WATCH_WAIT_MS,
      signal: abandoned.signal,
    });
    try {
      return await withTimeout(watch, {
        clock,
        timeoutMs: WATCH_WAIT_MS + WATCH_TIMEOUT_MARGIN_MS,
        signal: this.#signal,
      });
    } finally {
      abandoned.abort();
    }
  }

  #handleAnswer(
    answer: Result<Option<KeyValueEntry>, Failure> | undefined,
    askedAt: number,
    call: string,
  ): void {
    const outcome = answer === undefined
      ? "abandoned"
      : answer.ok
      ? "answered"
      : "failed";
    this.#callsTotal.inc({ call, outcome });
    if (answer === undefined || answer.err) return;
    if (isNone(answer.val)) this.#handleAbsentEntry(askedAt);
    else this.#handleEntry(answer.val.value, askedAt);
  }

  #handleAbsentEntry(askedAt: number): void {
    if (this.#revision > 0) return this.#ignore(Source.Platform, Ignored.Older);
    this.#confirmCurrent(askedAt);
    this.#setViewKnown();
  }

  #handleEntry(entry: KeyValueEntry, askedAt: number): void {
    if (entry.revision !== this.#entryRevision) {
      if (entry.revision < this.#entryRevision) {
        return this.#ignore(Source.Platform, Ignored.Older);
      }
      this.#entryValid = this.#apply(entry.value, Source.Platform);
      this.#entryRevision = entry.revision;
    }
    if (this.#entryValid) this.#confirmCurrent(askedAt);
  }

  // Puts a newer revision into force; returns false if the text is unusable.
  #apply(text: string, source: Source): boolean {
    const decoded = decodeConfiguration(text);
    if (decoded.err) {
      log("revision undecodable, ignored", {
        source,
        problems: decoded.val.length,
      });
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
    this.#revisionsTotal.inc({ source });
    this.#inForce.set(configuration.revision);
    log("in_force", { revision: configuration.revision, source });
    this.#setViewKnown();
    this.#peers.gossipNow(GOSSIP_SECTION);
    for (const listener of this.#listeners) listener(configuration);
    return true;
  }

  #ignore(source: Source, reason: Ignored): void {
    this.#ignoredTotal.inc({ source, reason });
  }

  #setViewKnown(): void {
    this.#viewKnown = true;
    this.#resolveFirstView();
  }

  #confirmCurrent(at: number): void {
    if (!this.#freshness.confirmCurrent(at)) return;
    if (at - this.#gossipedFreshAt < GOSSIP_GAIN_MS) return;
    this.#gossipedFreshAt = at;
    this.#peers.gossipNow(GOSSIP_SECTION);
  }

  // Gossip

  #offer(peer: string): GossipMessage | undefined {
    const now = this.#now();
    const { freshAt } = this.#freshness;
    const lastSent = this.#lastSent.get(peer);
    const isUpToDate = lastSent !== undefined &&
      lastSent.revision === this.#revision &&
      now - lastSent.at < GOSSIP_GAIN_MS &&
      freshAt - lastSent.freshAt < GOSSIP_GAIN_MS;
    if (isUpToDate) return undefined;
    this.#lastSent.set(peer, { at: now, freshAt, revision: this.#revision });
    const lastReceived = this.#lastReceived.get(peer);
    const echo = lastReceived === undefined ? undefined : {
      run: lastReceived.run,
      at: lastReceived.at,
      heldMs: now - lastReceived.receivedAt,
    };
    return {
      run: this.#run,
      at: now,
      revision: this.#revision,
      ageMs: ageMsOf(freshAt, now),
      ...echo === undefined ? {} : { echo },
    };
  }

  #accept(sent: GossipMessage, peer: string): void {
    const now = this.#now();
    this.#lastReceived.set(peer, {
      run: sent.run,
      at: sent.at,
      receivedAt: now,
    });
    this.#highestSeenRevision = Math.max(
      this.#highestSeenRevision,
      sent.revision,
    );
    if (sent.revision > this.#revision) void this.#fetch(sent.revision, peer);
    if (sent.echo === undefined || sent.echo.run !== this.#run) return;
    // The message was written after this moment, however late it arrives.
    const sentAfter = sent.echo.at + sent.echo.heldMs;
    this.#freshness.recordContact(peer, sentAfter);
    if (sent.revision > this.#revision || sent.ageMs === null) return;
    this.#confirmCurrent(sentAfter - sent.ageMs);
  }

  async #fetch(revision: number, peer: string): Promise<void> {
    const backoffOver =
      this.#now() - this.#lastUnusable.at >= REFETCH_BACKOFF_MS;
    if (
      this.#fetching ||
      (revision <= this.#lastUnusable.revision && !backoffOver)
    ) {
      return;
    }
    this.#fetching = true;
    const askedAt = this.#now();
    const answer = await this.#peers.ask(peer, FETCH_REQUEST, null, {
      timeoutMs: READ_TIMEOUT_MS,
      signal: this.#signal,
    });
    this.#fetching = false;
    const outcome = answer.ok ? "answered" : "failed";
    this.#callsTotal.inc({ call: "fetch", outcome });
    if (answer.err) return;
    const fetched = fetchAnswerSchema.safeParse(answer.val);
    if (!fetched.success || !this.#apply(fetched.data.text, Source.Peer)) {
      this.#lastUnusable = { revision, at: this.#now() };
      return;
    }
    const { ageMs } = fetched.data;
    if (ageMs !== null) this.#confirmCurrent(askedAt - ageMs);
  }

  #answerFetch(): z.infer<typeof fetchAnswerSchema> {
    const ageMs = ageMsOf(this.#freshness.freshAt, this.#now());
    return { text: this.#text, ageMs };
  }

  #forgetRemovedMembers(): void {
    const vms = new Set(this.#vms());
    for (const messages of [this.#lastReceived, this.#lastSent]) {
      for (const vm of messages.keys()) if (!vms.has(vm)) messages.delete(vm);
    }
  }
}

const REASON_BY_KEY_STATUS: Readonly<Record<KeyStatus, Reason>> = {
  [KeyStatus.Granted]: Reason.KeyNotForRoute,
  [KeyStatus.Withdrawn]: Reason.KeyWithdrawn,
  [KeyStatus.Unknown]: Reason.UnknownKey,
};

const REFUSAL_MESSAGES: Readonly<Partial<Record<Reason, string>>> = {
  [Reason.NoRoute]: "The route does not exist",
  [Reason.NoKey]: "The route needs a key",
  [Reason.StaleConfiguration]: "Keys can't be checked at the moment",
  [Reason.KeyNotForRoute]: "The key is not for this route",
  [Reason.KeyWithdrawn]: "The key was withdrawn",
  [Reason.UnknownKey]: "The key is not known",
};

function ageMsOf(freshAt: number, now: number): number | null {
  return freshAt === -Infinity ? null : now - freshAt;
}

register({
  key: activeConfigurationKey,
  requires: [peersKey],
  create: (kernel) => new ReplicatedConfiguration(kernel),
});
