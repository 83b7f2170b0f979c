/**
 * The availability zones that operators have evacuated, as one daemon knows
 * them. Each daemon has a replica; the newer revision wins.
 *
 * @module
 */

import { type Clock, logger } from "../kernel/mod.ts";

const log = logger("directory");

/** Most zones that are kept; operators evacuate a few. */
export const MAX_EVACUATED_ZONES = 256;

/** Zones named in one log line. */
const MAX_LOGGED_ZONES = 16;

/**
 * Entries of the key-value service may expire without a new revision, so values
 * of one revision can differ. The age of a received value may lack the latency
 * of its message, so one that differs must be newer by more than this.
 */
const SAME_REVISION_MARGIN_MS = 100;

/** The evacuated zones at a revision of the key-value service. */
export interface EvacuatedZones {
  readonly revision: number;
  readonly zones: readonly string[];
}

/** The evacuated zones with the time since they were known to be current. */
export interface AgedEvacuatedZones extends EvacuatedZones {
  readonly ageMs: number;
}

/** What changed between two values. */
export interface EvacuationChange {
  readonly started: readonly string[];
  readonly ended: readonly string[];
}

/** This daemon's replica of the evacuated zones. */
export class Evacuations {
  readonly #clock: Clock;
  readonly #listeners = new Set<(change: EvacuationChange) => void>();
  #value: EvacuatedZones | undefined;
  #zones: ReadonlySet<string> = new Set();
  #currentAt = -Infinity;

  constructor(options: { clock: Clock }) {
    this.#clock = options.clock;
  }

  /** The newest value; undefined before the first one. */
  get newest(): AgedEvacuatedZones | undefined {
    if (this.#value === undefined) return undefined;
    return { ...this.#value, ageMs: this.ageMs };
  }

  /** Time since the value was known to be current; infinite before the first. */
  get ageMs(): number {
    return this.#clock.now() - this.#currentAt;
  }

  /** The evacuated zones. */
  get zones(): ReadonlySet<string> {
    return this.#zones;
  }

  /** Whether this zone is evacuated. */
  has(zone: string): boolean {
    return this.#zones.has(zone);
  }

  /** Applies a value that was read or received, unless it is older. */
  merge({ revision, zones, ageMs }: AgedEvacuatedZones): void {
    const now = this.#clock.now();
    const known = this.#value;
    const kept = new Set(zones.slice(0, MAX_EVACUATED_ZONES));
    if (known !== undefined) {
      if (revision < known.revision) return;
      const isConflicting = revision === known.revision &&
        !isSameSet(this.#zones, kept);
      const gainMs = now - ageMs - this.#currentAt;
      if (isConflicting && gainMs <= SAME_REVISION_MARGIN_MS) return;
    }
    const before = this.#zones;
    this.#value = { revision, zones: [...kept] };
    this.#zones = kept;
    this.#currentAt = Math.max(now - ageMs, this.#currentAt);
    const change = {
      started: [...kept].filter((zone) => !before.has(zone)),
      ended: [...before].filter((zone) => !kept.has(zone)),
    };
    if (change.started.length + change.ended.length > 0) this.#changed(change);
  }

  /**
   * Calls `listener` after each change with the zones whose evacuation began or
   * ended; returns a function to stop.
   */
  onChange(listener: (change: EvacuationChange) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  #changed(change: EvacuationChange): void {
    log("evacuated zones changed", {
      started: change.started.slice(0, MAX_LOGGED_ZONES),
      ended: change.ended.slice(0, MAX_LOGGED_ZONES),
      zones: [...this.#zones].slice(0, MAX_LOGGED_ZONES),
      count: this.#zones.size,
      revision: this.#value?.revision,
      ageMs: Math.round(this.ageMs),
    });
    for (const listener of this.#listeners) listener(change);
  }
}

function isSameSet(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return a.size === b.size && [...a].every((zone) => b.has(zone));
}
