/**
 * Distinguishes the crash of an upstream from a single broken connection, and a
 * crash caused by a request from the reclaim of an availability zone.
 *
 * A broken connection opens an episode. It ends as a crash if the upstream's
 * load cannot be read or every request that ran there broke, and without one if
 * the load can be read while others still run. A request that is served isn't
 * part of it: its release may have crossed the break.
 *
 * @module
 */

import type { ActivePermit } from "./permits.ts";
import { Outcome } from "./mod.ts";
import { type Quarantine, Suspicion } from "./quarantine.ts";
import type { Upstream } from "./shards.ts";

/** The result of an attempt to read an upstream's load. */
export enum ProbeResult {
  Alive = "alive",
  /** No answer arrived before the timeout. */
  Silent = "silent",
  /** Nothing listens at its address. */
  Gone = "gone",
}

/** Connections that break further apart than this are not of one crash. */
const MAX_EPISODE_MS = 2000;

/** Crashes in one zone within this time may be due to its reclaim. */
const ZONE_OUTAGE_WINDOW_MS = 2000;

/** Fewest upstreams lost at once that indicate a network partition. */
const MIN_PARTITIONED_UPSTREAMS = 3;

interface Episode {
  readonly upstream: Upstream;
  readonly startedAt: number;
  /** What ran on the upstream when it began, but for what was served since. */
  holdings: readonly ActivePermit[];
  readonly broken: Set<string>;
  readonly ended: Set<string>;
}

interface Crash {
  readonly upstream: Upstream;
  readonly at: number;
  readonly fingerprints: readonly string[];
}

/** Detects crashes of a shard's upstreams, and suspects the requests. */
export class CrashDetector {
  readonly #quarantine: Quarantine;
  readonly #episodes = new Map<string, Episode>();
  /** Upstreams that crashed and have not answered since. */
  readonly #down = new Set<string>();
  /** When isolated requests crashed upstreams that have not answered since. */
  readonly #isolatedCrashes = new Map<string, number>();
  #recentCrashes: readonly Crash[] = [];
  #upstreams: readonly Upstream[] = [];

  constructor(options: { quarantine: Quarantine }) {
    this.#quarantine = options.quarantine;
  }

  /** Replaces the shard's upstreams. */
  setUpstreams(upstreams: readonly Upstream[]): void {
    this.#upstreams = upstreams;
  }

  /** Upstreams that isolated requests crashed after `since`, if still down. */
  isolatedCrashesSince(since: number): number {
    for (const [id, at] of this.#isolatedCrashes) {
      if (at <= since) this.#isolatedCrashes.delete(id);
    }
    return this.#isolatedCrashes.size;
  }

  /** Records how a request ended; `running` are permits still in use there. */
  ended(holding: ActivePermit, options: {
    outcome: Outcome;
    upstream: Upstream;
    running: readonly ActivePermit[];
    now: number;
  }): void {
    const { outcome, upstream, now } = options;
    if (outcome === Outcome.Broken) this.#connectionBroke(holding, options);
    const episode = this.#episode(upstream.id, now);
    if (episode === undefined) return;
    if (outcome === Outcome.Served) {
      episode.holdings = episode.holdings
        .filter(({ permit }) => permit !== holding.permit);
    } else episode.ended.add(holding.permit);
    const all = episode.holdings.every(({ permit }) =>
      episode.ended.has(permit)
    );
    if (all && episode.broken.size > 1) this.#endAsCrash(episode, now);
  }

  /** Records the result of a load read; `running` are permits in use. */
  probed(upstream: Upstream, options: {
    result: ProbeResult;
    running: readonly ActivePermit[];
    now: number;
  }): void {
    const { result, running: holdings, now } = options;
    const episode = this.#episode(upstream.id, now);
    if (result === ProbeResult.Silent && episode === undefined) return;
    if (result !== ProbeResult.Alive) {
      // Holders may have failed with the upstream, without a release.
      this.#endAsCrash(episode ?? newEpisode(upstream, { holdings, now }), now);
      return;
    }
    this.#down.delete(upstream.id);
    this.#isolatedCrashes.delete(upstream.id);
    if (episode === undefined) return;
    const running = episode.holdings.some(({ permit }) =>
      !episode.ended.has(permit)
    );
    // If none of several still runs, it may have crashed and restarted.
    if (running) this.#dismiss(episode, "others still run there");
    else if (episode.holdings.length === 1) {
      this.#dismiss(episode, "its upstream reports its load");
    }
  }

  #connectionBroke(holding: ActivePermit, options: {
    upstream: Upstream;
    running: readonly ActivePermit[];
    now: number;
  }): void {
    const { upstream, running, now } = options;
    const { fingerprint } = holding.demand;
    const isolated = now < holding.isolatedUntil;
    const ranMs = now - holding.grantedAt;
    const run = { upstream: upstream.id, ranMs, isolated };
    if (isolated) {
      this.#isolatedCrashes.set(upstream.id, now);
      if (!upstream.leaving) this.#quarantine.quarantine(fingerprint, run);
      this.#recordCrash({ upstream, at: now, fingerprints: [fingerprint] });
      return;
    }
    if (upstream.leaving) return;
    this.#quarantine.suspect(fingerprint, run);
    const episode = this.#episode(upstream.id, now) ??
      newEpisode(upstream, { holdings: [holding, ...running], now });
    episode.broken.add(holding.permit);
    this.#episodes.set(upstream.id, episode);
  }

  #episode(upstream: string, now: number): Episode | undefined {
    const episode = this.#episodes.get(upstream);
    if (episode === undefined || now - episode.startedAt <= MAX_EPISODE_MS) {
      return episode;
    }
    this.#dismiss(episode, "no crash was found in time");
    return undefined;
  }

  #endAsCrash(episode: Episode, now: number): void {
    this.#episodes.delete(episode.upstream.id);
    if (episode.upstream.leaving) return;
    const fingerprints = episode.holdings
      .map(({ demand }) => demand.fingerprint);
    for (const { demand, grantedAt, isolatedUntil } of episode.holdings) {
      this.#quarantine.suspect(demand.fingerprint, {
        upstream: episode.upstream.id,
        ranMs: episode.startedAt - grantedAt,
        isolated: episode.startedAt < isolatedUntil,
      });
    }
    this.#recordCrash({ upstream: episode.upstream, at: now, fingerprints });
  }

  /** Ends an episode without a crash, and drops the suspicions from it. */
  #dismiss(episode: Episode, reason: string): void {
    this.#episodes.delete(episode.upstream.id);
    for (const { demand } of episode.holdings) {
      const finding = this.#quarantine.finding(demand.fingerprint);
      if (finding?.upstream !== episode.upstream.id) continue;
      if (finding.crashes > 1) {
        this.#quarantine.lift(demand.fingerprint, reason);
      } else this.#quarantine.clear(demand.fingerprint, reason);
    }
  }

  /** Records a crash; if its zone was reclaimed, no request is suspected. */
  #recordCrash(crash: Crash): void {
    if (this.#down.has(crash.upstream.id)) return;
    this.#down.add(crash.upstream.id);
    const recent = this.#recentCrashes.filter(({ at, upstream }) =>
      crash.at - at <= ZONE_OUTAGE_WINDOW_MS &&
      upstream.id !== crash.upstream.id
    );
    this.#recentCrashes = [...recent, crash];
    const zoneCrashes = this.#recentCrashes.filter((other) =>
      sameZone(other, crash)
    );
    if (!this.#isZoneOutage(crash, zoneCrashes)) return;
    for (const fingerprint of zoneCrashes.flatMap(fingerprintsOf)) {
      // A request that crashed one upstream beside others and another isolated
      // stays quarantined: two such requests at once look like a zone outage.
      const suspicion = this.#quarantine.suspicion(fingerprint);
      if (suspicion === Suspicion.Quarantined) continue;
      this.#quarantine.clear(fingerprint, "its zone was lost");
    }
  }

  /** Whether a zone was reclaimed, or this daemon is cut off from all. */
  #isZoneOutage(crash: Crash, zoneCrashes: readonly Crash[]): boolean {
    const { upstream, fingerprints } = crash;
    const standing = this.#upstreams
      .filter(({ id, leaving }) => !leaving && !this.#down.has(id));
    const partitioned = standing.length === 0 &&
      this.#recentCrashes.length >= MIN_PARTITIONED_UPSTREAMS;
    if (partitioned) return true;
    if (!upstream.reclaimable || zoneCrashes.length < 2) return false;
    // Upstreams that were crashed by one request have that request in common.
    const unrelated = zoneCrashes.some((other) =>
      other !== crash &&
      !other.fingerprints.some((name) => fingerprints.includes(name))
    );
    return unrelated &&
      !standing.some((other) =>
        other.reclaimable &&
        other.availabilityZone === upstream.availabilityZone
      );
  }
}

function sameZone(a: Crash, b: Crash): boolean {
  return a.upstream.reclaimable === b.upstream.reclaimable &&
    a.upstream.availabilityZone === b.upstream.availabilityZone;
}

/** An episode with all permits that were in use when it began. */
function newEpisode(upstream: Upstream, options: {
  holdings: readonly ActivePermit[];
  now: number;
}): Episode {
  return {
    upstream,
    startedAt: options.now,
    holdings: options.holdings,
    broken: new Set(),
    ended: new Set(),
  };
}

function fingerprintsOf(crash: Crash): readonly string[] {
  return crash.fingerprints;
}
