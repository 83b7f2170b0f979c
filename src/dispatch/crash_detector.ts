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

import type { Holding } from "./permits.ts";
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
const EPISODE_MS = 2000;

/** Upstreams of a zone that fall within this time fell with the zone. */
const ZONE_MS = 2000;

/** Fewest upstreams that tell a cut link from upstreams that fell. */
const CUT_OFF = 3;

interface Episode {
  readonly upstream: Upstream;
  readonly startedAt: number;
  /** Everything that ran on the upstream when the episode began. */
  readonly holdings: readonly Holding[];
  readonly broken: Set<string>;
  readonly ended: Set<string>;
}

interface Fall {
  readonly upstream: Upstream;
  readonly at: number;
  readonly fingerprints: readonly string[];
}

/** A shard's recent breaks and crashes. */
export class Crashes {
  readonly #quarantine: Quarantine;
  readonly #episodes = new Map<string, Episode>();
  /** Upstreams that fell and have not answered since. */
  readonly #down = new Set<string>();
  #falls: readonly Fall[] = [];
  #upstreams: readonly Upstream[] = [];

  constructor(options: { quarantine: Quarantine }) {
    this.#quarantine = options.quarantine;
  }

  /** Takes in the shard's upstreams. */
  setUpstreams(upstreams: readonly Upstream[]): void {
    this.#upstreams = upstreams;
  }

  /** Takes in how a request ended; `running` are those still there. */
  ended(holding: Holding, options: {
    outcome: Outcome;
    upstream: Upstream;
    running: readonly Holding[];
    now: number;
  }): void {
    const { outcome, upstream, now } = options;
    if (outcome === Outcome.Broken) this.#broke(holding, options);
    const episode = this.#episode(upstream.id, now);
    if (episode === undefined) return;
    episode.ended.add(holding.permit);
    if (outcome === Outcome.Served) return this.#acquit(episode);
    const all = episode.holdings.every(({ permit }) =>
      episode.ended.has(permit)
    );
    if (all && episode.broken.size > 1) this.#crashed(episode, now);
  }

  /** Takes in what a read of the load showed; `running` are permits in use. */
  probed(upstream: Upstream, options: {
    reach: ProbeResult;
    running: readonly Holding[];
    now: number;
  }): void {
    const { reach, running: holdings, now } = options;
    const episode = this.#episode(upstream.id, now);
    if (reach === ProbeResult.Silent && episode === undefined) return;
    if (reach !== ProbeResult.Alive) {
      // Whoever held a permit may have died with the upstream and told nothing.
      this.#crashed(episode ?? begun(upstream, { holdings, now }), now);
      return;
    }
    this.#down.delete(upstream.id);
    if (episode === undefined) return;
    const running = episode.holdings.some(({ permit }) =>
      !episode.ended.has(permit)
    );
    // Where nothing else ran, an upstream may have crashed and restarted.
    if (running || episode.holdings.length === 1) this.#acquit(episode);
  }

  #broke(holding: Holding, options: {
    upstream: Upstream;
    running: readonly Holding[];
    now: number;
  }): void {
    const { upstream, running, now } = options;
    const { fingerprint } = holding.demand;
    if (now < holding.aloneUntil) {
      if (!upstream.leaving) {
        this.#quarantine.convict(fingerprint, upstream.id);
      }
      this.#fell({ upstream, at: now, fingerprints: [fingerprint] });
      return;
    }
    if (upstream.leaving) return;
    this.#quarantine.suspect(fingerprint, {
      upstream: upstream.id,
      ranMs: now - holding.grantedAt,
    });
    const episode = this.#episode(upstream.id, now) ??
      begun(upstream, { holdings: [holding, ...running], now });
    episode.broken.add(holding.permit);
    this.#episodes.set(upstream.id, episode);
  }

  #episode(upstream: string, now: number): Episode | undefined {
    const episode = this.#episodes.get(upstream);
    if (episode === undefined || now - episode.startedAt <= EPISODE_MS) {
      return episode;
    }
    this.#acquit(episode);
    return undefined;
  }

  #crashed(episode: Episode, now: number): void {
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
    this.#fell({ upstream: episode.upstream, at: now, fingerprints });
  }

  #acquit(episode: Episode): void {
    this.#episodes.delete(episode.upstream.id);
    for (const { demand } of episode.holdings) {
      const finding = this.#quarantine.finding(demand.fingerprint);
      if (finding?.upstream !== episode.upstream.id) continue;
      if (finding.crashes > 1) this.#quarantine.ease(demand.fingerprint);
      else this.#quarantine.clear(demand.fingerprint);
    }
  }

  /** Notes a crash; if its zone was reclaimed, nobody is blamed. */
  #fell(fall: Fall): void {
    if (this.#down.has(fall.upstream.id)) return;
    this.#down.add(fall.upstream.id);
    const recent = this.#falls.filter(({ at, upstream }) =>
      fall.at - at <= ZONE_MS && upstream.id !== fall.upstream.id
    );
    this.#falls = [...recent, fall];
    const fallen = this.#falls.filter((other) => alike(other, fall));
    if (!this.#reclaimed(fall, fallen)) return;
    for (const fingerprint of fallen.flatMap(named)) {
      // Who crashed one upstream among others and another alone is no victim
      // of a zone: two such requests at a time look like one, too.
      const suspicion = this.#quarantine.suspicion(fingerprint);
      if (suspicion === Suspicion.Quarantined) continue;
      this.#quarantine.clear(fingerprint);
    }
  }

  /** Whether a zone was reclaimed, or this daemon is cut off from them all. */
  #reclaimed(fall: Fall, fallen: readonly Fall[]): boolean {
    const { upstream, fingerprints } = fall;
    const standing = this.#upstreams
      .filter(({ id, leaving }) => !leaving && !this.#down.has(id));
    const cutOff = standing.length === 0 && this.#falls.length >= CUT_OFF;
    if (cutOff) return true;
    if (!upstream.reclaimable || fallen.length < 2) return false;
    // Upstreams that one request felled have that request in common.
    const unrelated = fallen.some((other) =>
      other !== fall &&
      !other.fingerprints.some((name) => fingerprints.includes(name))
    );
    return unrelated &&
      !standing.some((other) =>
        other.reclaimable &&
        other.availabilityZone === upstream.availabilityZone
      );
  }
}

function alike(a: Fall, b: Fall): boolean {
  return a.upstream.reclaimable === b.upstream.reclaimable &&
    a.upstream.availabilityZone === b.upstream.availabilityZone;
}

/** An episode with all that ran on the upstream when it began. */
function begun(upstream: Upstream, options: {
  holdings: readonly Holding[];
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

function named(fall: Fall): readonly string[] {
  return fall.fingerprints;
}
