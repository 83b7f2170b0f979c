/**
 * Which requests are suspected, or convicted, of crashing upstreams. Every
 * daemon holds the whole set and merges what the others tell.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";

/** What is held against a request's fingerprint. */
export enum Suspicion {
  /** Nothing, or no longer anything. */
  None = "none",
  /** It ran on an upstream that crashed: it runs alone next. */
  Suspect = "suspect",
  /** An upstream that ran it alone crashed as well: it runs no more. */
  Quarantined = "quarantined",
}

/** How long a suspicion lasts after its last change. */
export const FINDING_TTL_MS = 600_000;

/** What daemons tell each other of one fingerprint. */
export interface Finding {
  readonly fingerprint: string;
  readonly suspicion: Suspicion;
  /** Grows with each change; of two findings the larger one holds. */
  readonly stamp: number;
  /** Crashes that it was part of. */
  readonly crashes: number;
  /** Longest that it ran before a crash, in milliseconds. */
  readonly ranMs: number;
  /** The upstream whose failure caused the finding; counts once. */
  readonly upstream: string;
  /** Milliseconds until the finding is forgotten. */
  readonly remainingMs: number;
}

interface StoredFinding {
  readonly finding: Finding;
  readonly until: number;
}

/** The findings known to one daemon. */
export class Quarantine {
  readonly #clock: Clock;
  readonly #kept = new Map<string, StoredFinding>();
  readonly #listeners: ((finding: Finding) => void)[] = [];

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  /** What is held against a fingerprint now. */
  suspicion(fingerprint: string): Suspicion {
    return this.finding(fingerprint)?.suspicion ?? Suspicion.None;
  }

  /** The finding on a fingerprint, if there is one. */
  finding(fingerprint: string): Finding | undefined {
    const kept = this.#kept.get(fingerprint);
    if (kept === undefined || kept.until <= this.#clock.now()) return undefined;
    return kept.finding;
  }

  /** Suspects a request that ran on `upstream` when that failed. */
  suspect(fingerprint: string, options: {
    upstream: string;
    ranMs: number;
  }): void {
    const known = this.finding(fingerprint);
    if (known?.suspicion === Suspicion.Quarantined) return;
    const suspected = known?.suspicion === Suspicion.Suspect;
    if (suspected && known.upstream === options.upstream) return;
    this.#change(fingerprint, {
      suspicion: Suspicion.Suspect,
      crashes: (known?.crashes ?? 0) + 1,
      ranMs: Math.max(known?.ranMs ?? 0, options.ranMs),
      upstream: options.upstream,
    });
  }

  /** Convicts a request that crashed an upstream alone. */
  quarantine(fingerprint: string, upstream: string): void {
    this.#change(fingerprint, { suspicion: Suspicion.Quarantined, upstream });
  }

  /** Drops a suspicion and forgets the crashes: the request is innocent. */
  clear(fingerprint: string): void {
    if (this.finding(fingerprint) === undefined) return;
    this.#change(fingerprint, {
      suspicion: Suspicion.None,
      crashes: 0,
      ranMs: 0,
    });
  }

  /** Drops a suspicion but keeps count: the request may run beside others. */
  lift(fingerprint: string): void {
    if (this.suspicion(fingerprint) !== Suspicion.Suspect) return;
    this.#change(fingerprint, { suspicion: Suspicion.None });
  }

  /** All findings, with the time that each has left. */
  findings(): readonly Finding[] {
    const now = this.#clock.now();
    const findings: Finding[] = [];
    for (const [fingerprint, { finding, until }] of this.#kept) {
      if (until <= now) this.#kept.delete(fingerprint);
      else findings.push({ ...finding, remainingMs: until - now });
    }
    return findings;
  }

  /** Takes in another daemon's finding, unless a newer one is known. */
  merge(finding: Finding): void {
    const known = this.finding(finding.fingerprint);
    if (known !== undefined && !supersedes(finding, known)) return;
    this.#store(finding);
  }

  /** Calls `listener` after each change made here, not for merged ones. */
  onChange(listener: (finding: Finding) => void): void {
    this.#listeners.push(listener);
  }

  #change(fingerprint: string, change: Partial<Finding>): void {
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
  }

  #store(finding: Finding): void {
    const until = this.#clock.now() + finding.remainingMs;
    this.#kept.set(finding.fingerprint, { finding, until });
  }
}

const SEVERITY: Readonly<Record<Suspicion, number>> = {
  [Suspicion.None]: 0,
  [Suspicion.Suspect]: 1,
  [Suspicion.Quarantined]: 2,
};

/** Whether `a` holds against `b`; of equal stamps the severer one does. */
function supersedes(a: Finding, b: Finding): boolean {
  if (a.stamp !== b.stamp) return a.stamp > b.stamp;
  return SEVERITY[a.suspicion] > SEVERITY[b.suspicion];
}
