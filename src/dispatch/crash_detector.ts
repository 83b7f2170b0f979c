/**
 * Collects the evidence on requests that crash upstreams: runs whose connection
 * broke or that got no answer, and what is found of their upstreams after it.
 *
 * A broken connection opens an episode. Its upstream crashed if nothing listens
 * there any more or every request that ran there broke; it survived if it
 * reports its load while others still run. Without either, only the runs that
 * broke are held against their requests. Nothing but an answer of the upstream
 * itself counts as a sign of life.
 *
 * @module
 */

import { logger } from "../kernel/mod.ts";
import type { ActivePermit } from "./permits.ts";
import { Outcome } from "./mod.ts";
import { type Quarantine, RunEnd, Suspicion } from "./quarantine.ts";
import type { Upstream } from "./shards.ts";

const log = logger("dispatch");

/** What an attempt to reach an upstream showed. */
export enum ProbeResult {
  /** The upstream itself answered. */
  Alive = "alive",
  /** Something accepts connections there, maybe its successor. */
  Reachable = "reachable",
  /** No answer arrived before the timeout. */
  Silent = "silent",
  /** Nothing, or another instance, listens at its address. */
  Gone = "gone",
  /** It was not asked. */
  NotAsked = "not_asked",
}

/** Connections that break further apart than this are not of one crash. */
const MAX_EPISODE_MS = 2000;

/** No upstream restarts in less time than this. */
const MIN_RESTART_MS = 300;

/** Crashes in one zone within this time may be due to its reclaim. */
const ZONE_OUTAGE_WINDOW_MS = 2000;

/** Shortest silence of an upstream that counts against what it runs. */
const MIN_SILENCE_MS = 150;

/**
 * Least part of a run for which its upstream must have been silent: it may
 * have answered others before the run crashed it.
 */
const MIN_SILENT_FRACTION = 0.5;

/** Time after an unanswered run in which its upstream may be found gone. */
const SILENCE_MEMORY_MS = 5000;

/** Time in which a sign of life shows that this daemon isn't cut off. */
const LIFE_SIGN_WINDOW_MS = 2000;

/** Most fingerprints of one crash in the log. */
const MAX_LOGGED_FINGERPRINTS = 16;

interface Episode {
  readonly upstream: Upstream;
  readonly startedAt: number;
  /** When the upstream last answered, or the run that broke was granted. */
  readonly aliveAt: number;
  /** What ran on the upstream when it began, but for what was served since. */
  holdings: readonly ActivePermit[];
  readonly broken: Set<string>;
  readonly ended: Set<string>;
}

interface Crash {
  readonly upstream: Upstream;
  readonly at: number;
  readonly holdings: readonly ActivePermit[];
}

/** A run without an answer. */
interface UnansweredRun {
  readonly holding: ActivePermit;
  readonly upstream: Upstream;
  readonly endedAt: number;
  /** Whether it is held against its request. */
  recorded: boolean;
}

/** Detects crashes of a shard's upstreams, and suspects the requests. */
export class CrashDetector {
  readonly #quarantine: Quarantine;
  readonly #episodes = new Map<string, Episode>();
  /** When upstreams crashed that have not answered since. */
  readonly #down = new Map<string, number>();
  /** When isolated requests crashed upstreams that have not answered since. */
  readonly #isolatedCrashes = new Map<string, number>();
  /** When each upstream answered last. */
  readonly #answeredAt = new Map<string, number>();
  #lastLifeSignAt = -Infinity;
  #unanswered: readonly UnansweredRun[] = [];
  #recentCrashes: readonly Crash[] = [];
  #upstreams: readonly Upstream[] = [];

  constructor(options: { quarantine: Quarantine }) {
    this.#quarantine = options.quarantine;
  }

  /** Replaces the shard's upstreams. */
  setUpstreams(upstreams: readonly Upstream[]): void {
    this.#upstreams = upstreams;
    const present = new Set(upstreams.map(({ id }) => id));
    for (const known of [this.#answeredAt, this.#down]) {
      for (const id of known.keys()) if (!present.has(id)) known.delete(id);
    }
  }

  /** Upstreams that isolated requests crashed after `since`, if still down. */
  isolatedCrashesSince(since: number): number {
    for (const [id, at] of this.#isolatedCrashes) {
      if (at <= since) this.#isolatedCrashes.delete(id);
    }
    return this.#isolatedCrashes.size;
  }

  /**
   * Records how a request ended; `running` are permits still in use there.
   * Returns whether the upstream should be probed.
   */
  ended(holding: ActivePermit, options: {
    outcome: Outcome;
    upstream: Upstream;
    running: readonly ActivePermit[];
    now: number;
  }): boolean {
    const { outcome, upstream, now } = options;
    if (isAnswer(outcome)) {
      this.#answered(upstream.id, { now, since: holding.grantedAt });
    }
    this.#excuse(holding, outcome);
    if (outcome === Outcome.Broken) this.#connectionBroke(holding, options);
    const silent = outcome === Outcome.Silent ||
      outcome === Outcome.Cancelled;
    const suspicious = outcome === Outcome.Broken ||
      outcome === Outcome.Unreachable ||
      silent && this.#endedUnanswered(holding, options);
    const episode = this.#episode(upstream.id, now);
    if (episode === undefined) return suspicious;
    if (outcome === Outcome.Served || outcome === Outcome.Failed) {
      episode.holdings = episode.holdings
        .filter(({ permit }) => permit !== holding.permit);
    } else episode.ended.add(holding.permit);
    const all = episode.holdings.every(({ permit }) =>
      episode.ended.has(permit)
    );
    if (all && episode.broken.size > 1) {
      this.#endAsCrash(episode, { now, evidence: "every connection broke" });
    }
    return suspicious;
  }

  /** Records the result of a probe; `running` are permits in use. */
  probed(upstream: Upstream, options: {
    result: ProbeResult;
    running: readonly ActivePermit[];
    now: number;
  }): void {
    const { result, running, now } = options;
    const episode = this.#episode(upstream.id, now);
    switch (result) {
      case ProbeResult.NotAsked:
      case ProbeResult.Silent:
        return;
      case ProbeResult.Reachable:
        return this.#sawLife(now);
      case ProbeResult.Gone:
        // Holders may have failed with the upstream, without a release.
        return this.#endAsCrash(
          episode ?? newEpisode(upstream, { holdings: running, now }),
          { now, evidence: "nothing listens there" },
        );
      case ProbeResult.Alive:
        this.#answered(upstream.id, { now, since: now });
        if (episode !== undefined) this.#reportedAlive(episode, now);
    }
  }

  /** Ends an episode if the upstream's answer shows that it survived. */
  #reportedAlive(episode: Episode, now: number): void {
    const running = episode.holdings.some(({ permit }) =>
      !episode.ended.has(permit)
    );
    // After a longer silence it may have crashed and restarted; what still
    // runs then is unknown until the ends of what broke have arrived.
    const restarted = now - episode.aliveAt > MIN_RESTART_MS;
    const survived = running
      ? !restarted || now - episode.startedAt > MIN_RESTART_MS
      : !restarted && episode.holdings.length === 1;
    if (!survived) return;
    this.#episodes.delete(episode.upstream.id);
    const broken = episode.holdings
      .filter(({ permit }) => episode.broken.has(permit));
    this.#record(broken, { ...episode, end: RunEnd.Survived });
  }

  #connectionBroke(holding: ActivePermit, options: {
    upstream: Upstream;
    running: readonly ActivePermit[];
    now: number;
  }): void {
    const { upstream, running, now } = options;
    if (wasIsolated(holding)) this.#isolatedCrashes.set(upstream.id, now);
    // One that leaves ends its connections without a crash.
    const end = upstream.leaving ? RunEnd.Unanswered : RunEnd.Broken;
    if (upstream.leaving && isOwed(holding)) return;
    this.#record([holding], { upstream, startedAt: now, end });
    if (upstream.leaving) return;
    const episode = this.#episode(upstream.id, now) ??
      newEpisode(upstream, {
        holdings: [holding, ...running],
        now,
        aliveAt: Math.max(
          holding.grantedAt,
          this.#answeredAt.get(upstream.id) ?? -Infinity,
        ),
      });
    episode.broken.add(holding.permit);
    this.#episodes.set(upstream.id, episode);
  }

  /** Notes a run without an answer, if its upstream was silent meanwhile. */
  #endedUnanswered(holding: ActivePermit, { upstream, now }: {
    upstream: Upstream;
    now: number;
  }): boolean {
    if (isOwed(holding)) return false;
    const answeredAt = this.#answeredAt.get(upstream.id) ?? -Infinity;
    const silentMs = now - Math.max(holding.grantedAt, answeredAt);
    const ranMs = now - holding.grantedAt;
    if (silentMs < MIN_SILENCE_MS) return false;
    if (silentMs < ranMs * MIN_SILENT_FRACTION) return false;
    const run = { holding, upstream, endedAt: now, recorded: false };
    this.#unanswered = [...this.#unanswered, run]
      .filter(({ endedAt }) => now - endedAt <= SILENCE_MEMORY_MS);
    if (this.#lastLifeSignAt > holding.grantedAt) this.#sawLife(now);
    return true;
  }

  /** Excuses runs that an answer, or the lack of a connection, explains. */
  #excuse({ permit, demand, grantedAt }: ActivePermit, outcome: Outcome): void {
    const { fingerprint } = demand;
    if (outcome === Outcome.Served) {
      this.#quarantine.excuse(fingerprint, {
        reason: "it was served",
        // A run that began before says nothing of one that failed after it.
        covers: (run) => run.permit === permit || run.endedAt <= grantedAt,
      });
    } else if (isAnswer(outcome) || outcome === Outcome.Unreachable) {
      // Its upstream was found gone while this run's end was on its way.
      this.#quarantine.excuse(fingerprint, {
        reason: "the run was answered or never began",
        covers: (run) => run.permit === permit,
      });
    }
  }

  /** Records an answer to a request that was sent after `since`. */
  #answered(upstream: string, { now, since }: {
    now: number;
    since: number;
  }): void {
    if (since >= (this.#down.get(upstream) ?? -Infinity)) {
      this.#down.delete(upstream);
      this.#isolatedCrashes.delete(upstream);
    }
    this.#answeredAt.set(upstream, now);
    this.#sawLife(now);
    this.#unanswered = this.#unanswered
      .filter((run) => run.upstream.id !== upstream);
  }

  /** The shard's upstreams are reachable: silent ones have a cause there. */
  #sawLife(now: number): void {
    this.#lastLifeSignAt = now;
    for (const run of this.#unanswered) {
      if (run.recorded || now - run.endedAt > LIFE_SIGN_WINDOW_MS) continue;
      run.recorded = true;
      const { holding, upstream, endedAt } = run;
      this.#record([holding], {
        upstream,
        startedAt: endedAt,
        end: RunEnd.Unanswered,
      });
    }
  }

  #episode(upstream: string, now: number): Episode | undefined {
    const episode = this.#episodes.get(upstream);
    if (episode === undefined || now - episode.startedAt <= MAX_EPISODE_MS) {
      return episode;
    }
    this.#episodes.delete(upstream);
    return undefined;
  }

  #endAsCrash(episode: Episode, { now, evidence }: {
    now: number;
    evidence: string;
  }): void {
    const { upstream } = episode;
    this.#episodes.delete(upstream.id);
    const silent = this.#unanswered
      .filter((run) => run.upstream.id === upstream.id);
    this.#unanswered = this.#unanswered
      .filter((run) => run.upstream.id !== upstream.id);
    if (upstream.leaving) return;
    const holdings = [
      ...episode.holdings,
      ...silent.map(({ holding }) => holding),
    ];
    if (holdings.length > 0) {
      log("upstream crashed", {
        upstream: upstream.id,
        evidence,
        running: episode.holdings.length,
        unanswered: silent.length,
        fingerprints: holdings.slice(0, MAX_LOGGED_FINGERPRINTS)
          .map(({ demand }) => demand.fingerprint),
      });
    }
    this.#record(holdings, { ...episode, end: RunEnd.Crashed });
    this.#recordCrash({ upstream, at: now, holdings });
  }

  #record(holdings: readonly ActivePermit[], { upstream, startedAt, end }: {
    upstream: Upstream;
    startedAt: number;
    end: RunEnd;
  }): void {
    for (const holding of holdings) {
      const { permit, demand, grantedAt } = holding;
      this.#quarantine.record(demand.fingerprint, {
        permit,
        upstream: upstream.id,
        end,
        isolated: wasIsolated(holding),
        ranMs: Math.max(0, startedAt - grantedAt),
      });
    }
  }

  /** Records a crash; if its zone was reclaimed, no request is suspected. */
  #recordCrash(crash: Crash): void {
    if (this.#down.has(crash.upstream.id)) return;
    this.#down.set(crash.upstream.id, crash.at);
    const recent = this.#recentCrashes.filter(({ at, upstream }) =>
      crash.at - at <= ZONE_OUTAGE_WINDOW_MS &&
      upstream.id !== crash.upstream.id
    );
    this.#recentCrashes = [...recent, crash];
    const zoneCrashes = this.#recentCrashes.filter((other) =>
      sameZone(other, crash)
    );
    if (!this.#isReclaim(crash, zoneCrashes)) return;
    const holdings = zoneCrashes.flatMap(({ holdings }) => holdings);
    for (const { demand: { fingerprint } } of holdings) {
      // A request that crashed one upstream beside others and another isolated
      // stays quarantined: two such requests at once look like a reclaim.
      const suspicion = this.#quarantine.suspicion(fingerprint);
      if (suspicion === Suspicion.Quarantined) continue;
      this.#quarantine.excuse(fingerprint, {
        reason: "its zone was reclaimed",
        covers: ({ permit }) =>
          holdings.some((holding) => holding.permit === permit),
      });
    }
  }

  /** Whether the reclaimable upstreams of a zone were reclaimed. */
  #isReclaim(crash: Crash, zoneCrashes: readonly Crash[]): boolean {
    const { upstream } = crash;
    if (!upstream.reclaimable || zoneCrashes.length < 2) return false;
    // Upstreams that were crashed by one request have that request in common.
    const fingerprints = fingerprintsOf(crash);
    const unrelated = zoneCrashes.some((other) =>
      other !== crash &&
      !fingerprintsOf(other).some((name) => fingerprints.includes(name))
    );
    const standing = this.#upstreams
      .filter(({ id, leaving }) => !leaving && !this.#down.has(id));
    return unrelated &&
      !standing.some((other) =>
        other.reclaimable &&
        other.availabilityZone === upstream.availabilityZone
      );
  }
}

/** Whether an upstream answered, with whatever result. */
function isAnswer(outcome: Outcome): boolean {
  return outcome === Outcome.Served || outcome === Outcome.Failed ||
    outcome === Outcome.Refused;
}

function wasIsolated({ isolatedUntil }: ActivePermit): boolean {
  return isolatedUntil !== -Infinity;
}

/** Whether the request was handed in for later, and is owed. */
function isOwed({ demand }: ActivePermit): boolean {
  return demand.crashLimit !== undefined;
}

function sameZone(a: Crash, b: Crash): boolean {
  return a.upstream.reclaimable === b.upstream.reclaimable &&
    a.upstream.availabilityZone === b.upstream.availabilityZone;
}

/** An episode with all permits that were in use when it began. */
function newEpisode(upstream: Upstream, options: {
  holdings: readonly ActivePermit[];
  now: number;
  aliveAt?: number;
}): Episode {
  return {
    upstream,
    startedAt: options.now,
    aliveAt: options.aliveAt ?? options.now,
    holdings: options.holdings,
    broken: new Set(),
    ended: new Set(),
  };
}

function fingerprintsOf({ holdings }: Crash): readonly string[] {
  return holdings.map(({ demand }) => demand.fingerprint);
}
