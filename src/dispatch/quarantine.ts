/**
 * Tracks which requests are suspected of crashing upstreams, or quarantined for
 * it. A finding is the set of a request's failed runs. Every daemon holds all
 * findings and merges those of the others: runs are only added, and what is
 * known of one run only advances, so that no daemon's belief removes what
 * another one saw.
 *
 * @module
 */

import { type Clock, logger } from "../kernel/mod.ts";

const log = logger("dispatch");

/** How strongly a request's fingerprint is suspected. */
export enum Suspicion {
  /** Not suspected, or no longer. */
  None = "none",
  /** It ran on an upstream that seems to have crashed: it runs isolated next. */
  Suspect = "suspect",
  /** It ran on several, isolated on one of them. */
  Quarantined = "quarantined",
}

/** Whether and how a request may run, by what is known about it. */
export enum Admission {
  /** Beside other requests. */
  Shared = "shared",
  /** Alone on an upstream. */
  Isolated = "isolated",
  /** Alone on an upstream, once its back-off has passed. */
  Delayed = "delayed",
  /** Not any more. */
  Refused = "refused",
}

/** Whether a request that is admitted like this runs alone. */
export function mustIsolate(admission: Admission): boolean {
  return admission === Admission.Isolated || admission === Admission.Delayed;
}

/** What is known of the end of a failed run. */
export enum RunEnd {
  /** It got no answer, and its upstream answered nothing else meanwhile. */
  Unanswered = "unanswered",
  /** Its connection broke. */
  Broken = "broken",
  /** Its upstream is known to have survived it. */
  Survived = "survived",
  /** Its upstream is known to be gone. */
  Crashed = "crashed",
  /** The request was served later, or its upstream was reclaimed. */
  Excused = "excused",
}

/** Of two accounts of one run, the one with the higher rank holds. */
const RANK: Readonly<Record<RunEnd, number>> = {
  [RunEnd.Unanswered]: 0,
  [RunEnd.Broken]: 1,
  [RunEnd.Survived]: 2,
  [RunEnd.Crashed]: 3,
  [RunEnd.Excused]: 4,
};

/** How much a run counts against its request. */
const WEIGHT: Readonly<Record<RunEnd, number>> = {
  [RunEnd.Unanswered]: 1,
  [RunEnd.Broken]: 2,
  [RunEnd.Survived]: 0,
  [RunEnd.Crashed]: 2,
  [RunEnd.Excused]: 0,
};

/** Weight that quarantines a request if one of its failed runs was isolated. */
const QUARANTINE_WEIGHT = 4;

/** Weight that quarantines a request whether it ran isolated or not. */
const MAX_SHARED_WEIGHT = 6;

/** Back-off of a quarantined request after two crashes; it doubles with each. */
const MIN_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 3000;

/** How long a failed run counts. */
export const FINDING_TTL_MS = 600_000;

/** Limits on memory; findings that weigh least are dropped first. */
const MAX_RUNS_PER_FINDING = 16;
const MAX_FINDINGS = 4096;

/** Findings kept when the limit is exceeded, so that it is rarely reached. */
const KEPT_FINDINGS = 3584;

/** A run of a request that ended without an answer of its upstream. */
export interface FailedRun {
  /** Unique to the run, and the same for its entry and its leader. */
  readonly permit: string;
  readonly upstream: string;
  readonly end: RunEnd;
  /** Whether it was granted its upstream alone. */
  readonly isolated: boolean;
  readonly ranMs: number;
}

/** What daemons exchange about one run. */
export interface ReportedRun extends FailedRun {
  /** Milliseconds since it ended. */
  readonly ageMs: number;
}

/** The failed runs of all requests with one fingerprint. */
export interface Finding {
  readonly fingerprint: string;
  readonly runs: readonly ReportedRun[];
}

/** A finding and the number of its changes on this daemon. */
export interface VersionedFinding extends Finding {
  readonly version: number;
}

interface StoredRun extends FailedRun {
  readonly endedAt: number;
}

interface StoredFinding {
  readonly runs: ReadonlyMap<string, StoredRun>;
  readonly version: number;
}

/** The weight of the failed runs of one crash. */
interface CrashRecord {
  readonly weight: number;
  readonly isolated: boolean;
  readonly endedAt: number;
}

/** The findings known to one daemon. */
export class Quarantine {
  readonly #clock: Clock;
  readonly #findings = new Map<string, StoredFinding>();
  readonly #listeners: ((finding: Finding) => void)[] = [];

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  /** How strongly a fingerprint is suspected now. */
  suspicion(fingerprint: string): Suspicion {
    const crashes = this.#crashes(fingerprint);
    if (crashes.length === 0) return Suspicion.None;
    const weight = crashes.reduce((sum, { weight }) => sum + weight, 0);
    const isolated = crashes.some(({ isolated }) => isolated);
    const limit = isolated ? QUARANTINE_WEIGHT : MAX_SHARED_WEIGHT;
    return weight >= limit ? Suspicion.Quarantined : Suspicion.Suspect;
  }

  /** Number of upstreams that seem to have crashed under a fingerprint. */
  crashes(fingerprint: string): number {
    return this.#crashes(fingerprint).length;
  }

  /** The finding on a fingerprint, if there is one. */
  finding(fingerprint: string): Finding | undefined {
    const now = this.#clock.now();
    const runs = this.#runs(fingerprint);
    if (runs.length === 0) return undefined;
    return { fingerprint, runs: runs.map((run) => reportOf(run, now)) };
  }

  /** Longest time that a request ran before an upstream seemed to crash. */
  longestRunMs(fingerprint: string): number {
    return this.#runs(fingerprint)
      .filter(({ end }) => WEIGHT[end] > 0)
      .reduce((longest, { ranMs }) => Math.max(longest, ranMs), 0);
  }

  /** Whether and how a request may run now. */
  admission({ fingerprint, crashLimit = 0 }: {
    fingerprint: string;
    crashLimit?: number;
  }): Admission {
    switch (this.suspicion(fingerprint)) {
      case Suspicion.None:
        return Admission.Shared;
      case Suspicion.Suspect:
        return Admission.Isolated;
      case Suspicion.Quarantined: {
        const crashes = this.#crashes(fingerprint);
        if (crashes.length >= crashLimit) return Admission.Refused;
        const last = Math.max(...crashes.map(({ endedAt }) => endedAt));
        return this.#clock.now() - last < backoffMs(crashes.length)
          ? Admission.Delayed
          : Admission.Isolated;
      }
    }
  }

  /** Records a failed run, or what became known of one that is recorded. */
  record(fingerprint: string, run: FailedRun): void {
    const endedAt = this.#clock.now();
    this.#add(fingerprint, [{ ...run, endedAt }], { origin: "here" });
  }

  /** Excuses the failed runs that `covers` selects, for `reason`. */
  excuse(fingerprint: string, { reason, covers }: {
    reason: string;
    covers: (run: { permit: string; endedAt: number }) => boolean;
  }): void {
    const excused = this.#runs(fingerprint)
      .filter((run) => run.end !== RunEnd.Excused && covers(run))
      .map((run) => ({ ...run, end: RunEnd.Excused }));
    this.#add(fingerprint, excused, { origin: "here", reason });
  }

  /** All findings, with their versions on this daemon. */
  findings(): readonly VersionedFinding[] {
    const findings: VersionedFinding[] = [];
    for (const [fingerprint, { version }] of this.#findings) {
      const finding = this.finding(fingerprint);
      if (finding === undefined) this.#findings.delete(fingerprint);
      else findings.push({ ...finding, version });
    }
    return findings;
  }

  /** Adds what another daemon knows; `origin` is where it came from. */
  merge({ fingerprint, runs }: Finding, origin = "a peer"): void {
    const now = this.#clock.now();
    const stored = runs
      .map(({ ageMs, ...run }) => ({ ...run, endedAt: now - ageMs }));
    this.#add(fingerprint, stored, { origin });
  }

  /** Calls `listener` after each local change, but not for merged findings. */
  onChange(listener: (finding: Finding) => void): void {
    this.#listeners.push(listener);
  }

  #add(fingerprint: string, added: readonly StoredRun[], options: {
    origin: string;
    reason?: string;
  }): void {
    const known = this.#findings.get(fingerprint);
    const before = this.suspicion(fingerprint);
    const runs = new Map(known?.runs);
    const changed = added.filter((run) => {
      const old = runs.get(run.permit);
      const merged = old === undefined ? run : mergeRuns(old, run);
      if (merged === old) return false;
      runs.set(run.permit, merged);
      return true;
    });
    if (changed.length === 0) return;
    this.#findings.set(fingerprint, {
      runs: limitRuns(runs),
      version: (known?.version ?? 0) + 1,
    });
    this.#logChange(fingerprint, { changed, before, ...options });
    this.#limitFindings();
    if (options.origin !== "here") return;
    const finding = this.finding(fingerprint);
    if (finding === undefined) return;
    for (const listener of this.#listeners) listener(finding);
  }

  #runs(fingerprint: string): readonly StoredRun[] {
    const since = this.#clock.now() - FINDING_TTL_MS;
    const stored = this.#findings.get(fingerprint)?.runs.values() ?? [];
    return [...stored].filter(({ endedAt }) => endedAt > since);
  }

  /** The crashes that failed runs show: equal requests may share one. */
  #crashes(fingerprint: string): readonly CrashRecord[] {
    if (!this.#findings.has(fingerprint)) return [];
    const counted = this.#runs(fingerprint)
      .filter(({ end }) => WEIGHT[end] > 0)
      .sort((a, b) => a.endedAt - b.endedAt);
    const crashes: CrashRecord[] = [];
    const lastOn = new Map<string, number>();
    for (const { upstream, end, isolated, ranMs, endedAt } of counted) {
      const index = lastOn.get(upstream);
      const last = index === undefined ? undefined : crashes[index];
      const weight = WEIGHT[end];
      if (
        index === undefined || last === undefined ||
        endedAt - ranMs > last.endedAt
      ) {
        lastOn.set(upstream, crashes.length);
        crashes.push({ weight, isolated, endedAt });
        continue;
      }
      crashes[index] = {
        weight: Math.max(last.weight, weight),
        isolated: last.isolated || isolated,
        endedAt,
      };
    }
    return crashes;
  }

  /** Drops findings that say least, the oldest first, beyond the limit. */
  #limitFindings(): void {
    if (this.#findings.size <= MAX_FINDINGS) return;
    this.findings();
    const bySuspicion = (wanted: Suspicion) =>
      [...this.#findings.keys()]
        .filter((fingerprint) => this.suspicion(fingerprint) === wanted);
    const excess = this.#findings.size - KEPT_FINDINGS;
    const dropped = [
      ...bySuspicion(Suspicion.None),
      ...bySuspicion(Suspicion.Suspect),
      ...bySuspicion(Suspicion.Quarantined),
    ].slice(0, Math.max(0, excess));
    for (const fingerprint of dropped) this.#findings.delete(fingerprint);
  }

  #logChange(fingerprint: string, { changed, before, origin, reason }: {
    changed: readonly StoredRun[];
    before: Suspicion;
    origin: string;
    reason?: string;
  }): void {
    const suspicion = this.suspicion(fingerprint);
    // What is merged is logged where it began, unless it changes a decision.
    if (origin !== "here" && suspicion === before) return;
    const { permit, upstream, end, isolated, ranMs, endedAt } =
      changed[changed.length - 1];
    log(EVENTS[suspicion], {
      fingerprint,
      crashes: this.crashes(fingerprint),
      before,
      origin,
      reason,
      permit,
      upstream,
      end,
      isolated,
      ranMs: Math.round(ranMs),
      ageMs: Math.round(this.#clock.now() - endedAt),
    });
  }
}

const EVENTS: Readonly<Record<Suspicion, string>> = {
  [Suspicion.None]: "request cleared",
  [Suspicion.Suspect]: "request suspected",
  [Suspicion.Quarantined]: "request quarantined",
};

/** The union of two accounts of one run; `a` itself if `b` adds nothing. */
function mergeRuns(a: StoredRun, b: StoredRun): StoredRun {
  const end = RANK[b.end] > RANK[a.end] ? b.end : a.end;
  const isolated = a.isolated || b.isolated;
  if (end === a.end && isolated === a.isolated) return a;
  return { ...a, end, isolated };
}

/** Keeps the runs that count, and of the others the newest. */
function limitRuns(
  runs: ReadonlyMap<string, StoredRun>,
): ReadonlyMap<string, StoredRun> {
  if (runs.size <= MAX_RUNS_PER_FINDING) return runs;
  const kept = [...runs.values()]
    .sort((a, b) => WEIGHT[b.end] - WEIGHT[a.end] || b.endedAt - a.endedAt)
    .slice(0, MAX_RUNS_PER_FINDING);
  return new Map(kept.map((run) => [run.permit, run]));
}

function reportOf({ endedAt, ...run }: StoredRun, now: number): ReportedRun {
  return { ...run, ageMs: now - endedAt };
}

/** Time after a crash before a quarantined request runs again. */
function backoffMs(crashes: number): number {
  const doublings = Math.max(0, crashes - 2);
  return Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** doublings);
}
