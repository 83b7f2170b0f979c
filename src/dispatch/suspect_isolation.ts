/**
 * The isolation of requests that may have crashed upstreams. A suspect runs alone
 * on its upstream, so that another crash there shows whether it is the cause, and
 * no other request is lost with it.
 *
 * @module
 */

import type { Clock } from "../kernel/mod.ts";
import type { CrashDetector } from "./crash_detector.ts";
import type { Demand } from "./mod.ts";
import type { ActivePermits } from "./permits.ts";
import {
  Admission,
  mustIsolate,
  type Quarantine,
  Suspicion,
} from "./quarantine.ts";
import type { Ticket } from "./queue.ts";
import { isInUse, type Upstream } from "./shards.ts";
import type { Candidate } from "./upstream_selector.ts";

/** Time that a suspect runs isolated beyond 1.5 times what it ran before. */
const ISOLATION_MARGIN_MS = 500;

/** One upstream in this many may be reserved for suspects; at least one. */
const UPSTREAMS_PER_RESERVATION = 3;

/**
 * Time for which a crashed upstream holds quarantined requests back; less than
 * their longest back-off, so that one that crashes them all leaves others a turn.
 */
const CRASH_HOLD_MS = 1000;

/** Decides when and where the suspects of one shard run. */
export class SuspectIsolation {
  readonly #clock: Clock;
  readonly #quarantine: Quarantine;
  readonly #crashes: CrashDetector;
  readonly #permits: ActivePermits;
  /** The waiting suspects, by the upstream that is kept free for them. */
  readonly #reservations = new Map<string, string>();
  #upstreamCount = 0;

  constructor(options: {
    clock: Clock;
    quarantine: Quarantine;
    crashes: CrashDetector;
    permits: ActivePermits;
  }) {
    this.#clock = options.clock;
    this.#quarantine = options.quarantine;
    this.#crashes = options.crashes;
    this.#permits = options.permits;
  }

  /** Replaces the list of the shard's upstreams. */
  setUpstreams(upstreams: readonly Upstream[]): void {
    this.#upstreamCount = upstreams.length;
    const inUse = new Set(upstreams.filter(isInUse).map(({ id }) => id));
    // A suspect would wait for one out of use as long as it stays so.
    for (const id of this.#reservations.keys()) {
      if (!inUse.has(id)) this.#reservations.delete(id);
    }
  }

  /** Whether a request may start now if an upstream suits it. */
  isReady({ id, demand }: Ticket, free: readonly Candidate[]): boolean {
    const admission = this.#quarantine.admission(demand);
    if (admission === Admission.Shared) return true;
    if (admission !== Admission.Isolated) return false;
    // Equal suspects run one at a time, so that few upstreams are at risk.
    const running = this.#permits.withFingerprint(demand.fingerprint);
    if (running.length > 0) return false;
    const holdsReservation = [...this.#reservations.values()].includes(id);
    if (this.#quarantined(demand) && !holdsReservation && !this.#mayTry()) {
      return false;
    }
    return this.#mayReserve() ||
      free.some(({ upstream, inFlight }) =>
        inFlight === 0 &&
        (this.#reservations.get(upstream.id) ?? id) === id
      );
  }

  /** Whether a request must run alone on its upstream. */
  runsIsolated(demand: Demand): boolean {
    return mustIsolate(this.#quarantine.admission(demand));
  }

  /** Whether an upstream is kept free for a waiting suspect. */
  isReserved(upstream: string): boolean {
    return this.#reservations.has(upstream);
  }

  /** Whether the one request that runs on an upstream must stay alone there. */
  isOccupied(upstream: string, now: number): boolean {
    if (this.#permits.inFlight(upstream) !== 1) return false;
    return this.#permits.on(upstream)[0].isolatedUntil > now;
  }

  /** An idle one of the eligible upstreams; reserves one if none is idle. */
  select(
    ticket: Ticket,
    eligible: readonly Candidate[],
  ): Candidate | undefined {
    const fitting = eligible.filter(({ upstream }) =>
      (this.#reservations.get(upstream.id) ?? ticket.id) === ticket.id
    );
    const empty = fitting.find(({ inFlight }) => inFlight === 0);
    if (empty !== undefined) return empty;
    const reserved = [...this.#reservations.values()].includes(ticket.id);
    if (fitting.length === 0 || reserved || !this.#mayReserve()) {
      return undefined;
    }
    const leastLoaded = fitting
      .reduce((a, b) => b.inFlight < a.inFlight ? b : a);
    this.#reservations.set(leastLoaded.upstream.id, ticket.id);
    return undefined;
  }

  /** When a request that starts now need no longer be alone. */
  endOf(demand: Demand, now: number): number {
    if (!this.runsIsolated(demand)) return -Infinity;
    const { fingerprint } = demand;
    if (this.#quarantine.crashes(fingerprint) > 1) return Infinity;
    const ranMs = this.#quarantine.longestRunMs(fingerprint);
    return now + ranMs * 1.5 + ISOLATION_MARGIN_MS;
  }

  /** Drops the reservations of a request that no longer waits. */
  dropReservations(ticket: Ticket): void {
    for (const [upstream, id] of this.#reservations) {
      if (id === ticket.id) this.#reservations.delete(upstream);
    }
  }

  /**
   * Whether one more quarantined request may run. Those that run, and upstreams
   * that isolated ones crashed, take no more of the shard than reservations.
   */
  #mayTry(): boolean {
    const running = [...this.#permits.all()]
      .filter(({ demand }) => this.#quarantined(demand)).length;
    const crashed = this.#crashes
      .isolatedCrashesSince(this.#clock.now() - CRASH_HOLD_MS);
    return running + crashed + this.#reservations.size < this.#maxReservations;
  }

  #mayReserve(): boolean {
    return this.#reservations.size < this.#maxReservations;
  }

  get #maxReservations(): number {
    return Math.max(
      1,
      Math.floor(this.#upstreamCount / UPSTREAMS_PER_RESERVATION),
    );
  }

  #quarantined({ fingerprint }: Demand): boolean {
    return this.#quarantine.suspicion(fingerprint) === Suspicion.Quarantined;
  }
}
