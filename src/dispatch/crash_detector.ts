/**
 * Tells an upstream's crash from the break of one connection, and a crash
 * that a request caused from an availability zone that was reclaimed.
 *
 * A break opens an episode. It ends as a crash when the upstream's load can't
 * be read or every request that ran there broke, and as a mere break when
 * one of them is served or the load can be read while others still run.
 *
 * @module
 */

import type { ActivePermit } from "./permits.ts";
import { Outcome } from "./mod.ts";
import { type Quarantine, Suspicion } from "./quarantine.ts";
import type { Upstream } from "./shards.ts";

/** What an attempt to read an upstream's load showed. */
export enum ProbeResult {
  Alive = "alive",
  /** No answer came in time. */
  Silent = "silent",
  /** Nothing listens there. */
  Gone = "gone",
}

/** Breaks further apart than this are not of one crash. */
const MAX_EPISODE_MS = 2000;

/** Upstreams of a zone that fall within this time fell with the zone. */
const ZONE_OUTAGE_WINDOW_MS = 2000;

/** Fewest upstreams that tell a cut link from upstreams that fell. */
const MIN_PARTITIONED_UPSTREAMS = 3;

interface Episode {
  readonly upstream: Upstream;
  readonly startedAt: number;
  /** Everything that ran on the upstream when the episode began. */
  readonly holdings: readonly ActivePermit[];
  readonly broken: Set<string>;
  readonly ended: Set<string>;
}

interface Crash {
  readonly upstream: Upstream;
  readonly at: number;
  readonly fingerprints: readonly string[];
}

/** A shard's recent breaks and crashes. */
export class CrashDetector {
  readonly #quarantine: Quarantine;
  readonly #episodes = new Map<string, Episode>();
  /** Upstreams that fell and have not answered since. */
  readonly #down = new Set<string>();
  #recentCrashes: readonly Crash[] = [];
  #upstreams: readonly Upstream[] = [];

  constructor(options: { quarantine: Quarantine }) {
    this.#quarantine = options.quarantine;
  }

  /** Takes in the shard's upstreams. */
  setUpstreams(upstreams: readonly Upstream[]): void {
    this.#upstreams = upstreams;
  }

  /** Takes in how a request ended; `running` are those still there. */
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
    episode.ended.add(holding.permit);
    if (outcome === Outcome.Served) return this.#dismiss(episode);
    const all = episode.holdings.every(({ permit }) =>
      episode.ended.has(permit)
    );
    if (all && episode.broken.size > 1) this.#endAsCrash(episode, now);
  }

  /** Takes in what a read of the load showed; `running` are permits in use. */
  probed(upstream: Upstream, options: {
    result: ProbeResult;
    running: readonly ActivePermit[];
    now: number;
  }): void {
    const { result, running: holdings, now } = options;
    const episode = this.#episode(upstream.id, now);
    if (result === ProbeResult.Silent && episode === undefined) return;
    if (result !== ProbeResult.Alive) {
      // Whoever held a permit may have died with the upstream and told nothing.
      this.#endAsCrash(episode ?? newEpisode(upstream, { holdings, now }), now);
      return;
    }
    this.#down.delete(upstream.id);
    if (episode === undefined) return;
    const running = episode.holdings.some(({ permit }) =>
      !episode.ended.has(permit)
    );
    // Where nothing else ran, an upstream may have crashed and restarted.
    if (running || episode.holdings.length === 1) this.#dismiss(episode);
  }

  #connectionBroke(holding: ActivePermit, options: {
    upstream: Upstream;
    running: readonly ActivePermit[];
    now: number;
  }): void {
    const { upstream, running, now } = options;
    const { fingerprint } = holding.demand;
    if (now < holding.isolatedUntil) {
      if (!upstream.leaving) {
        this.#quarantine.quarantine(fingerprint, upstream.id);
      }
      this.#recordCrash({ upstream, at: now, fingerprints: [fingerprint] });
      return;
    }
    if (upstream.leaving) return;
    this.#quarantine.suspect(fingerprint, {
      upstream: upstream.id,
      ranMs: now - holding.grantedAt,
    });
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
    this.#dismiss(episode);
    return undefined;
  }

  #endAsCrash(episode: Episode, now: number): void {
    this.#episodes.delete(episode.upstream.id);
    if (episode.upstream.leaving) return;
    const fingerprints = episode.holdings
      .map(({ demand }) => demand.fingerprint);
    for (const { demand, grantedAt } of episode.holdings) {
      this.#quarantine.suspect(demand.fingerprint, {
        upstream: episode.upstream.id,
        ranMs: episode.startedAt - grantedAt,
      });
    }
    this.#recordCrash({ upstream: episode.upstream, at: now, fingerprints });
  }

  #dismiss(episode: Episode): void {
    this.#episodes.delete(episode.upstream.id);
    for (const { demand } of episode.holdings) {
      const finding = this.#quarantine.finding(demand.fingerprint);
      if (finding?.upstream !== episode.upstream.id) continue;
      if (finding.crashes > 1) this.#quarantine.lift(demand.fingerprint);
      else this.#quarantine.clear(demand.fingerprint);
    }
  }

  /** Notes a crash; if its zone was reclaimed, nobody is blamed. */
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
      // Who crashed one upstream among others and another alone is no victim
      // of a zone: two such requests at a time look like one, too.
      const suspicion = this.#quarantine.suspicion(fingerprint);
      if (suspicion === Suspicion.Quarantined) continue;
      this.#quarantine.clear(fingerprint);
    }
  }

  /** Whether a zone was reclaimed, or this daemon is cut off from them all. */
  #isZoneOutage(crash: Crash, zoneCrashes: readonly Crash[]): boolean {
    const { upstream, fingerprints } = crash;
    const standing = this.#upstreams
      .filter(({ id, leaving }) => !leaving && !this.#down.has(id));
    const partitioned = standing.length === 0 &&
      this.#recentCrashes.length >= MIN_PARTITIONED_UPSTREAMS;
    if (partitioned) return true;
    if (!upstream.reclaimable || zoneCrashes.length < 2) return false;
    // Upstreams that one request felled have that request in common.
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

/** An episode with all that ran on the upstream when it began. */
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
