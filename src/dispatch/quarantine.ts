/**
 * Tracks which requests are suspected of crashing upstreams, or quarantined for
 * it. Every daemon holds all findings and merges those of the others.
 *
 * @module
 */

import { type Clock, logger } from "../kernel/mod.ts";

const log = logger("dispatch");

/** How strongly a request's fingerprint is suspected. */
export enum Suspicion {
  /** Not suspected, or no longer. */
  None = "none",
  /** It ran on an upstream that crashed: it runs isolated next. */
  Suspect = "suspect",
  /** An upstream that ran it isolated crashed as well. */
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

/** Back-off of a quarantined request after two crashes; it doubles with each. */
const MIN_BACKOFF_MS = 500;
const MAX_BACKOFF_MS = 3000;

/** How long a finding is valid after its last change. */
export const FINDING_TTL_MS = 600_000;

/** What daemons exchange about one fingerprint. */
export interface Finding {
  readonly fingerprint: string;
  readonly suspicion: Suspicion;
  /** Increases with each change; the finding with the larger one wins. */
  readonly stamp: number;
  /** Crashes of upstreams that it was running on. */
  readonly crashes: number;
  /** Longest time that it ran before a crash, in milliseconds. */
  readonly ranMs: number;
  /** The upstream whose failure caused the finding; it is counted once. */
  readonly upstream: string;
  /** Milliseconds until the finding expires. */
  readonly remainingMs: number;
}

interface StoredFinding {
  readonly finding: Finding;
  readonly until: number;
}

/** A run that ended with the crash of its upstream. */
export interface CrashedRun {
  readonly upstream: string;
  readonly ranMs: number;
  /** Whether nothing else ran there. */
  readonly isolated: boolean;
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
    return this.finding(fingerprint)?.suspicion ?? Suspicion.None;
  }

  /** The finding on a fingerprint, if there is one. */
  finding(fingerprint: string): Finding | undefined {
    const kept = this.#findings.get(fingerprint);
    if (kept === undefined) return undefined;
    const remainingMs = kept.until - this.#clock.now();
    return remainingMs <= 0 ? undefined : { ...kept.finding, remainingMs };
  }

  /** Whether and how a request may run now. */
  admission({ fingerprint, crashLimit = 0 }: {
    fingerprint: string;
    crashLimit?: number;
  }): Admission {
    const finding = this.finding(fingerprint);
    switch (finding?.suspicion) {
      case undefined:
      case Suspicion.None:
        return Admission.Shared;
      case Suspicion.Suspect:
        return Admission.Isolated;
      case Suspicion.Quarantined:
        if (finding.crashes >= crashLimit) return Admission.Refused;
        return ageMsOf(finding) < backoffMs(finding.crashes)
          ? Admission.Delayed
          : Admission.Isolated;
    }
  }

  /** Suspects a request that was running on `upstream` when it failed. */
  suspect(fingerprint: string, run: CrashedRun): void {
    const known = this.finding(fingerprint);
    if (known?.suspicion === Suspicion.Quarantined) {
      return this.quarantine(fingerprint, run);
    }
    const suspected = known?.suspicion === Suspicion.Suspect;
    if (suspected && known.upstream === run.upstream) return;
    const finding = this.#change(fingerprint, {
      suspicion: Suspicion.Suspect,
      crashes: (known?.crashes ?? 0) + 1,
      ranMs: Math.max(known?.ranMs ?? 0, run.ranMs),
      upstream: run.upstream,
    });
    logChange("request suspected", finding, { run });
  }

  /** Quarantines a request that crashed an upstream while running isolated. */
  quarantine(fingerprint: string, run: CrashedRun): void {
    const known = this.finding(fingerprint);
    // Both the entry and the leader report a crash, in either order.
    const counted = known !== undefined && known.upstream === run.upstream &&
      known.suspicion !== Suspicion.None && ageMsOf(known) <= run.ranMs;
    if (counted && known.suspicion === Suspicion.Quarantined) return;
    const finding = this.#change(fingerprint, {
      suspicion: Suspicion.Quarantined,
      crashes: (known?.crashes ?? 0) + (counted ? 0 : 1),
      ranMs: Math.max(known?.ranMs ?? 0, run.ranMs),
      upstream: run.upstream,
    });
    logChange("request quarantined", finding, { run });
  }

  /** Drops a suspicion and its crash count: the request was not the cause. */
  clear(fingerprint: string, reason: string): void {
    const known = this.finding(fingerprint);
    if (known === undefined) return;
    this.#change(fingerprint, {
      suspicion: Suspicion.None,
      crashes: 0,
      ranMs: 0,
    });
    if (known.crashes > 0) {
      logChange("request cleared", known, { reason });
    }
  }

  /** Drops a suspicion but not the count: it may run beside others again. */
  lift(fingerprint: string, reason: string): void {
    if (this.suspicion(fingerprint) !== Suspicion.Suspect) return;
    const finding = this.#change(fingerprint, { suspicion: Suspicion.None });
    logChange("suspicion lifted", finding, { reason });
  }

  /** All findings, each with its remaining time. */
  findings(): readonly Finding[] {
    const now = this.#clock.now();
    const findings: Finding[] = [];
    for (const [fingerprint, { finding, until }] of this.#findings) {
      if (until <= now) this.#findings.delete(fingerprint);
      else findings.push({ ...finding, remainingMs: until - now });
    }
    return findings;
  }

  /** Merges another daemon's finding, unless a newer one is known. */
  merge(finding: Finding): void {
    const known = this.finding(finding.fingerprint);
    if (known !== undefined && !supersedes(finding, known)) return;
    this.#store(finding);
  }

  /** Calls `listener` after each local change, but not for merged findings. */
  onChange(listener: (finding: Finding) => void): void {
    this.#listeners.push(listener);
  }

  #change(fingerprint: string, change: Partial<Finding>): Finding {
    const known = this.finding(fingerprint);
    const finding = {
      fingerprint,
      suspicion: Suspicion.None,
      crashes: 0,
      ranMs: 0,
      upstream: "",
      ...known,
      ...change,
      stamp: (known?.stamp ?? 0) + 1,
      remainingMs: FINDING_TTL_MS,
    };
    this.#store(finding);
    for (const listener of this.#listeners) listener(finding);
    return finding;
  }

  #store(finding: Finding): void {
    const until = this.#clock.now() + finding.remainingMs;
    this.#findings.set(finding.fingerprint, { finding, until });
  }
}

/** Time since a finding changed. */
function ageMsOf({ remainingMs }: Finding): number {
  return FINDING_TTL_MS - remainingMs;
}

/** Time after a crash before a quarantined request runs again. */
function backoffMs(crashes: number): number {
  const doublings = Math.max(0, crashes - 2);
  return Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** doublings);
}

/** Logs a change of a finding, and the crashed run or reason that caused it. */
function logChange(event: string, finding: Finding, { run, reason }: {
  run?: CrashedRun;
  reason?: string;
}): void {
  const { fingerprint, crashes, upstream } = finding;
  log(event, {
    fingerprint,
    crashes,
    upstream,
    ranMs: Math.round(run?.ranMs ?? finding.ranMs),
    isolated: run?.isolated,
    reason,
  });
}

const SEVERITY: Readonly<Record<Suspicion, number>> = {
  [Suspicion.None]: 0,
  [Suspicion.Suspect]: 1,
  [Suspicion.Quarantined]: 2,
};

/** Whether `a` replaces `b`; if the stamps are equal, the more severe wins. */
function supersedes(a: Finding, b: Finding): boolean {
  if (a.stamp !== b.stamp) return a.stamp > b.stamp;
  return SEVERITY[a.suspicion] > SEVERITY[b.suspicion];
}
